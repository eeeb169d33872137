package backend

import (
	"slices"
	"time"

	"github.com/rattanthread/rattanthread/config"
	"github.com/rattanthread/rattanthread/fleet"
)

// View is the fleet and the configuration as seen by a host.
type View struct {
	Self    fleet.HostID
	Hosts   []fleet.HostID // live, sorted
	Servers []config.Server
	// Excluded holds the servers that must receive no work, as their data centre is
	// out of service.
	Excluded map[fleet.ServerID]bool
}

// Admission is how new work may be sent to a server.
type Admission uint8

// The admissions. The zero value admits nothing.
const (
	AdmitNone     Admission = iota // no new work
	AdmitByCredit                  // one unit of work for each Credit.Take that succeeds
	AdmitFreely                    // any new work
)

// Pool is the state of the backend servers as seen by one host. It is not safe for
// concurrent use. The zero value is ready for Install.
type Pool struct {
	// Limits must not change after the first call.
	Limits Limits

	self      fleet.HostID
	hosts     []fleet.HostID
	lastSeen  map[fleet.HostID]time.Time // when each host was last seen live
	started   time.Time
	servers   map[fleet.ServerID]*server
	serverIDs []fleet.ServerID
	credit    Credit

	polls     sentTimes[PollID]
	requests  sentTimes[CreditRequestID]
	lastPoll  time.Time
	lastSync  time.Time
	peerIndex int
	changed   []fleet.ServerRecord
	handovers map[fleet.ServerID]receivedHandover
}

// server is the state of one backend server.
type server struct {
	config        config.Server
	drained       bool
	record        fleet.ServerRecord
	digest        uint64 // of the record
	allocatorHost fleet.HostID
	allocator     *allocator // set while this host is the allocator
	ledger        ledger     // outlives allocator, as the credit does
	detector      detector
	promise       promise
	served        uint64
	bucket        *creditBucket
	// admissionDigest is a digest of the admission; zero until that is first set.
	admissionDigest uint64

	// After draining, a server is admitted by credit until returningUntil, or until
	// there is a record newer than drainedRecord.
	drainedRecord  fleet.ServerRecord
	returningUntil time.Time

	// A finding of this host limits the admission to localLimit until
	// localLimitUntil.
	localLimitUntil time.Time
	localLimit      Admission
}

// Install applies a change of the configuration or of the live hosts.
func (p *Pool) Install(now time.Time, view View) []fleet.Send {
	if p.started.IsZero() {
		p.started = now
		p.servers = make(map[fleet.ServerID]*server)
		p.lastSeen = make(map[fleet.HostID]time.Time)
		p.handovers = make(map[fleet.ServerID]receivedHandover)
	}
	p.self = view.Self
	reappeared := p.reappeared(view.Hosts)
	p.hosts = slices.Clone(view.Hosts)
	p.updateLastSeen(now)
	p.installServers(now, view)
	p.credit.install(p.servers)
	return append(p.flush(), p.compareDigests(reappeared)...)
}

// reappeared returns the hosts that had disappeared and are live again.
func (p *Pool) reappeared(hosts []fleet.HostID) []fleet.HostID {
	var reappeared []fleet.HostID
	for _, host := range hosts {
		if _, seen := p.lastSeen[host]; seen && !slices.Contains(p.hosts, host) {
			reappeared = append(reappeared, host)
		}
	}
	return reappeared
}

func (p *Pool) installServers(now time.Time, view View) {
	listed := make(map[fleet.ServerID]bool, len(view.Servers))
	for _, cfg := range view.Servers {
		listed[cfg.Name] = true
		p.installServer(now, cfg, cfg.Drain || view.Excluded[cfg.Name])
	}
	for id := range p.servers {
		if !listed[id] {
			delete(p.servers, id)
		}
	}
	p.sortServers()
}

func (p *Pool) installServer(now time.Time, cfg config.Server, drained bool) {
	srv := p.servers[cfg.Name]
	if srv == nil {
		srv = &server{bucket: &creditBucket{}}
		p.servers[cfg.Name] = srv
	}
	if srv.drained && !drained {
		srv.drainedRecord = srv.record
		srv.returningUntil = now.Add(warmupTime(cfg))
	}
	srv.config, srv.drained = cfg, drained
	p.assignAllocator(now, srv)
	p.applyDrain(srv)
	srv.updateAdmission(now)
}

// updateLastSeen updates the set of hosts that may be running: the live ones, and
// those that disappeared without a planned stop less than MemberExpiry ago.
func (p *Pool) updateLastSeen(now time.Time) {
	for _, host := range p.hosts {
		p.lastSeen[host] = now
	}
	for host, seen := range p.lastSeen {
		if now.Sub(seen) > p.limits().MemberExpiry {
			delete(p.lastSeen, host)
		}
	}
}

func (p *Pool) limits() Limits {
	return p.Limits.withDefaults()
}

// Observe processes one observation of this host.
func (p *Pool) Observe(now time.Time, evidence Evidence) []fleet.Send {
	srv := p.servers[evidence.Server]
	if srv == nil {
		return nil
	}
	if evidence.Kind == EvidenceServed {
		srv.served++
	}
	result := srv.detector.observe(now, evidence)
	if result == findingNone {
		return nil
	}
	srv.limitLocally(now, result)
	if srv.allocator == nil {
		return p.alarm(srv, result)
	}
	p.applyFinding(srv, result)
	srv.updateAdmission(now)
	return p.flush()
}

// localLimitTime is how long a finding of this host limits the admission while the
// host waits for a record from the allocator.
const localLimitTime = 2 * time.Second

func (s *server) limitLocally(now time.Time, result finding) {
	switch result {
	case findingFailing:
		s.localLimit, s.localLimitUntil = AdmitNone, now.Add(localLimitTime)
	case findingCold:
		s.localLimit, s.localLimitUntil = AdmitByCredit, now.Add(localLimitTime)
	case findingNone, findingUp:
		return
	}
	s.updateAdmission(now)
}

func (p *Pool) alarm(srv *server, result finding) []fleet.Send {
	if result == findingUp || srv.allocatorHost == "" {
		return nil
	}
	return []fleet.Send{{To: srv.allocatorHost, Message: &Alarm{
		Server:      srv.config.Name,
		Finding:     uint8(result),
		Incarnation: srv.record.Incarnation,
		Sequence:    srv.record.Sequence,
	}}}
}

// Receive processes a message from a peer.
func (p *Pool) Receive(now time.Time, from fleet.HostID, message fleet.Message) []fleet.Send {
	if p.started.IsZero() {
		return nil
	}
	switch message := message.(type) {
	case *CreditPoll:
		return p.handlePoll(now, from, message)
	case *CreditRequest:
		return p.handleRequest(now, from, message)
	case *CreditGrant:
		p.handleGrant(message)
		return nil
	case *Alarm:
		p.handleAlarm(now, from, message)
	case *Handover:
		p.handleHandover(now, from, message)
	case *Leave:
		delete(p.lastSeen, from)
	case *Records:
		p.handleRecords(now, message.Records)
	case *RecordDigest:
		return p.handleDigest(from, message)
	case *BucketDigests:
		return p.handleBucketDigests(from, message)
	}
	return p.flush()
}

// Tick performs the periodic work. It must be called every 100 to 200 ms.
func (p *Pool) Tick(now time.Time) []fleet.Send {
	if p.started.IsZero() {
		return nil
	}
	p.updateLastSeen(now)
	for _, id := range p.serverIDs {
		srv := p.servers[id]
		p.tickAllocator(now, srv)
		srv.updateAdmission(now)
	}
	sends := p.flush()
	sends = append(sends, p.poll(now)...)
	return append(sends, p.sync(now)...)
}

// Stop hands the servers of which this host is the allocator to the next allocators.
// Afterwards the host must take no more credit and call only Receive.
func (p *Pool) Stop(now time.Time) []fleet.Send {
	others := slices.DeleteFunc(slices.Clone(p.hosts), func(host fleet.HostID) bool { return host == p.self })
	sends := p.flush()
	for _, id := range p.serverIDs {
		if srv := p.servers[id]; srv.allocator != nil {
			sends = append(sends, srv.handoverMessages(now, others)...)
		}
		p.servers[id].setAdmission(AdmitNone)
	}
	for _, host := range others {
		sends = append(sends, fleet.Send{To: host, Message: &Leave{}})
	}
	return sends
}

// Admission returns how new work may be sent to the server.
func (p *Pool) Admission(id fleet.ServerID) Admission {
	srv := p.servers[id]
	if srv == nil {
		return AdmitNone
	}
	return srv.bucket.currentAdmission()
}

// ServersToProbe returns the servers whose health this host should probe, sorted:
// those of which it is the allocator, except drained ones.
func (p *Pool) ServersToProbe() []fleet.ServerID {
	var ids []fleet.ServerID
	for _, id := range p.serverIDs {
		if srv := p.servers[id]; srv.allocator != nil && !srv.drained {
			ids = append(ids, id)
		}
	}
	return ids
}

// Credit returns the credit of this host.
func (p *Pool) Credit() *Credit {
	return &p.credit
}

func (p *Pool) sortServers() {
	p.serverIDs = p.serverIDs[:0]
	for id := range p.servers {
		p.serverIDs = append(p.serverIDs, id)
	}
	slices.Sort(p.serverIDs)
}

// updateAdmission computes the admission and publishes it to the traffic goroutines.
func (s *server) updateAdmission(now time.Time) {
	admission := s.admissionByRecord()
	if admission == AdmitFreely && s.returning(now) {
		admission = AdmitByCredit
	}
	if now.Before(s.localLimitUntil) {
		admission = min(admission, s.localLimit)
	}
	s.setAdmission(admission)
}

func (s *server) returning(now time.Time) bool {
	return now.Before(s.returningUntil) && !s.record.NewerThan(s.drainedRecord)
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
