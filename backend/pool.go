package backend

import (
	"slices"
	"time"

	"github.com/rattanthread/rattanthread/config"
	"github.com/rattanthread/rattanthread/fleet"
)

// View is what a host knows of the fleet and the configuration.
type View struct {
	Self    fleet.HostID
	Hosts   []fleet.HostID // live, sorted
	Servers []config.Server
	// Excluded holds the servers that must get nothing, as their data centre is out.
	Excluded map[fleet.ServerID]bool
}

// Admission tells how new work may be given to a server.
type Admission uint8

// The admissions. The zero value admits nothing.
const (
	AdmitNone     Admission = iota // no new work
	AdmitByCredit                  // one unit of work for each Credit.Take that succeeds
	AdmitFreely                    // any new work
)

// Pool is the state of the backend servers as one host sees it. It belongs to
// the control goroutine. The zero value is ready for Install.
type Pool struct {
	// Limits must be set before the first call, if at all.
	Limits Limits

	self    fleet.HostID
	hosts   []fleet.HostID
	known   map[fleet.HostID]time.Time // when each host was last seen live
	started time.Time
	servers map[fleet.ServerID]*server
	sorted  []fleet.ServerID
	credit  Credit

	polls     sentTimes[PollID]
	asks      sentTimes[AskID]
	lastPoll  time.Time
	lastSync  time.Time
	peerIndex int
	changed   []fleet.ServerRecord
	handovers map[fleet.ServerID]receivedHandover
}

// server is what a Pool knows of one backend server.
type server struct {
	config   config.Server
	drained  bool
	record   fleet.ServerRecord
	digest   uint64 // of the record
	keeper   fleet.HostID
	keeping  *keeping // set while this host is the keeper
	ledger   ledger   // outlives keeping, as the credit does
	detector detector
	promise  promise
	served   uint64
	tank     *tank
	// admissionDigest is of how the server admits new work; zero until that is known.
	admissionDigest uint64

	// A server that comes back from draining is admitted by credit until a
	// record newer than this one is known.
	returnedFrom  fleet.ServerRecord
	returnedUntil time.Time

	// What this host found out by itself lowers the admission until then.
	heldUntil time.Time
	held      Admission
}

// Install takes over a new configuration or a change of the live hosts.
func (p *Pool) Install(now time.Time, v View) []fleet.Send {
	if p.started.IsZero() {
		p.started = now
		p.servers = make(map[fleet.ServerID]*server)
		p.known = make(map[fleet.HostID]time.Time)
		p.handovers = make(map[fleet.ServerID]receivedHandover)
	}
	p.self = v.Self
	returned := p.returned(v.Hosts)
	p.hosts = slices.Clone(v.Hosts)
	p.noteHosts(now)
	p.installServers(now, v)
	p.credit.install(p.servers)
	return append(p.flush(), p.compare(returned)...)
}

// returned lists the hosts that had vanished and are back.
func (p *Pool) returned(hosts []fleet.HostID) []fleet.HostID {
	var returned []fleet.HostID
	for _, h := range hosts {
		if _, known := p.known[h]; known && !slices.Contains(p.hosts, h) {
			returned = append(returned, h)
		}
	}
	return returned
}

func (p *Pool) installServers(now time.Time, v View) {
	listed := make(map[fleet.ServerID]bool, len(v.Servers))
	for _, c := range v.Servers {
		listed[c.Name] = true
		p.installServer(now, c, c.Drain || v.Excluded[c.Name])
	}
	for id := range p.servers {
		if !listed[id] {
			delete(p.servers, id)
		}
	}
	p.sortServers()
}

func (p *Pool) installServer(now time.Time, c config.Server, drained bool) {
	s := p.servers[c.Name]
	if s == nil {
		s = &server{tank: &tank{}}
		p.servers[c.Name] = s
	}
	if s.drained && !drained {
		s.returnedFrom = s.record
		s.returnedUntil = now.Add(warmupTime(c))
	}
	s.config, s.drained = c, drained
	p.assignKeeper(now, s)
	p.followDrain(s)
	s.refresh(now)
}

// noteHosts remembers which hosts may be running: the live ones, and those that
// vanished without a planned stop less than ForgetAfter ago.
func (p *Pool) noteHosts(now time.Time) {
	for _, h := range p.hosts {
		p.known[h] = now
	}
	for h, seen := range p.known {
		if now.Sub(seen) > p.limits().ForgetAfter {
			delete(p.known, h)
		}
	}
}

func (p *Pool) limits() Limits {
	return p.Limits.withDefaults()
}

// Observe takes in one observation of this host.
func (p *Pool) Observe(now time.Time, e Evidence) []fleet.Send {
	s := p.servers[e.Server]
	if s == nil {
		return nil
	}
	if e.Kind == EvidenceServed {
		s.served++
	}
	found := s.detector.observe(now, e)
	if found == findingNone {
		return nil
	}
	s.hold(now, found)
	if s.keeping == nil {
		return p.alarm(s, found)
	}
	p.conclude(s, found)
	s.refresh(now)
	return p.flush()
}

// holdTime is how long a host's own finding lowers the admission while it
// waits for the keeper's record.
const holdTime = 2 * time.Second

func (s *server) hold(now time.Time, found finding) {
	switch found {
	case findingFailing:
		s.held, s.heldUntil = AdmitNone, now.Add(holdTime)
	case findingCold:
		s.held, s.heldUntil = AdmitByCredit, now.Add(holdTime)
	case findingNone, findingUp:
		return
	}
	s.refresh(now)
}

func (p *Pool) alarm(s *server, found finding) []fleet.Send {
	if found == findingUp || s.keeper == "" {
		return nil
	}
	return []fleet.Send{{To: s.keeper, Message: &Alarm{
		Server:      s.config.Name,
		Finding:     uint8(found),
		Incarnation: s.record.Incarnation,
		Sequence:    s.record.Sequence,
	}}}
}

// Receive takes in a message of a peer.
func (p *Pool) Receive(now time.Time, from fleet.HostID, m fleet.Message) []fleet.Send {
	if p.started.IsZero() {
		return nil
	}
	switch m := m.(type) {
	case *CreditPoll:
		return p.answerPoll(now, from, m)
	case *CreditAsk:
		return p.answerAsk(now, from, m)
	case *CreditGrant:
		p.takeGrant(m)
		return nil
	case *Alarm:
		p.takeAlarm(now, from, m)
	case *Handover:
		p.takeHandover(now, from, m)
	case *Leave:
		delete(p.known, from)
	case *Records:
		p.takeRecords(now, m.Records)
	case *RecordDigest:
		return p.answerDigest(from, m)
	case *BucketDigests:
		return p.answerBuckets(from, m)
	}
	return p.flush()
}

// Tick does what is due at now. It is to be called every 100 to 200 ms.
func (p *Pool) Tick(now time.Time) []fleet.Send {
	if p.started.IsZero() {
		return nil
	}
	p.noteHosts(now)
	for _, id := range p.sorted {
		s := p.servers[id]
		p.tickKeeping(now, s)
		s.refresh(now)
	}
	sends := p.flush()
	sends = append(sends, p.poll(now)...)
	return append(sends, p.sync(now)...)
}

// Stop hands everything this host keeps to the next keepers. After it the host
// must take no more credit and call only Receive.
func (p *Pool) Stop(now time.Time) []fleet.Send {
	rest := slices.DeleteFunc(slices.Clone(p.hosts), func(h fleet.HostID) bool { return h == p.self })
	sends := p.flush()
	for _, id := range p.sorted {
		if s := p.servers[id]; s.keeping != nil {
			sends = append(sends, s.handOver(now, rest)...)
		}
		p.servers[id].admit(AdmitNone)
	}
	for _, h := range rest {
		sends = append(sends, fleet.Send{To: h, Message: &Leave{}})
	}
	return sends
}

// Admission tells how new work may be given to the server.
func (p *Pool) Admission(id fleet.ServerID) Admission {
	s := p.servers[id]
	if s == nil {
		return AdmitNone
	}
	return s.tank.admitted()
}

// Keeps lists the servers whose health this host should probe, sorted.
func (p *Pool) Keeps() []fleet.ServerID {
	var kept []fleet.ServerID
	for _, id := range p.sorted {
		if s := p.servers[id]; s.keeping != nil && !s.drained {
			kept = append(kept, id)
		}
	}
	return kept
}

// Credit returns the credit that this host holds.
func (p *Pool) Credit() *Credit {
	return &p.credit
}

func (p *Pool) sortServers() {
	p.sorted = p.sorted[:0]
	for id := range p.servers {
		p.sorted = append(p.sorted, id)
	}
	slices.Sort(p.sorted)
}

// refresh works out the admission and shows it to the traffic goroutines.
func (s *server) refresh(now time.Time) {
	admission := s.admissionByRecord()
	if admission == AdmitFreely && s.returning(now) {
		admission = AdmitByCredit
	}
	if now.Before(s.heldUntil) {
		admission = min(admission, s.held)
	}
	s.admit(admission)
}

func (s *server) returning(now time.Time) bool {
	return now.Before(s.returnedUntil) && !s.record.NewerThan(s.returnedFrom)
}

func (s *server) admissionByRecord() Admission {
	if s.drained {
		return AdmitNone
	}
	switch s.record.Phase {
	case fleet.ServerSuspected, fleet.ServerGone:
		return AdmitNone
	case fleet.ServerWarm:
		return AdmitFreely
	default:
		return AdmitByCredit
	}
}
