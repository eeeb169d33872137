package backend

import (
	"math"
	"time"

	"github.com/rattanthread/rattanthread/fleet"
)

// boundWindow is the time over which a bound on new work per second is kept.
const boundWindow = time.Second

// growthFactor is how much the bound of a warming server grows over ColdRate.
const growthFactor = 16.0

// keeping is the state of a keeper for one server.
type keeping struct {
	since    time.Time
	succeeds fleet.HostID
	promises map[fleet.HostID]time.Time // until when each host's share may be used
	known    map[fleet.HostID]int       // how many hosts each host believes to be running
	progress float64                    // 0 is cold, 1 is warm
	grownAt  time.Time
	served   map[fleet.HostID]uint64
	load     workload
	doubts   map[fleet.HostID]time.Time
}

// promise is the share of a server's bound that this host left to a keeper.
type promise struct {
	to    fleet.HostID
	until time.Time
}

// receivedHandover is a handover that waits for this host to become keeper.
type receivedHandover struct {
	from fleet.HostID
	at   time.Time
	Handover
}

// sentTimes remembers when the last few numbered messages were sent.
type sentTimes[ID ~uint64] struct {
	last ID
	sent [64]time.Time
}

func (t *sentTimes[ID]) next(now time.Time) ID {
	t.last++
	t.sent[t.last%ID(len(t.sent))] = now
	return t.last
}

// take returns when id was sent. With forget set, id is known only once.
func (t *sentTimes[ID]) take(id ID, forget bool) (time.Time, bool) {
	if id == 0 || id > t.last || t.last-id >= ID(len(t.sent)) {
		return time.Time{}, false
	}
	slot := &t.sent[id%ID(len(t.sent))]
	at := *slot
	if forget {
		*slot = time.Time{}
	}
	return at, !at.IsZero()
}

// lapse is how long after a promise was given the credit that rests on it may
// still be spent or still weigh on the server.
func (l Limits) lapse() time.Duration {
	return l.PromiseLifetime + l.CreditLifetime + boundWindow
}

func (p *Pool) assignKeeper(now time.Time, s *server) {
	s.keeper = fleet.Rendezvous("keeper/"+string(s.config.Name), p.hosts)
	if s.keeper != p.self {
		s.keeping = nil
		return
	}
	if s.keeping == nil {
		s.keeping = newKeeping(now)
	}
	p.useHandover(now, s)
}

func newKeeping(now time.Time) *keeping {
	return &keeping{
		since:    now,
		grownAt:  now,
		promises: make(map[fleet.HostID]time.Time),
		known:    make(map[fleet.HostID]int),
		served:   make(map[fleet.HostID]uint64),
		doubts:   make(map[fleet.HostID]time.Time),
	}
}

func (p *Pool) takeHandover(now time.Time, from fleet.HostID, m *Handover) {
	p.handovers[m.Server] = receivedHandover{from: from, at: now, Handover: *m}
	if s := p.servers[m.Server]; s != nil {
		p.useHandover(now, s)
	}
}

// useHandover takes over the predecessor's outstanding credit, so that hosts
// may leave their shares to this host at once.
func (p *Pool) useHandover(now time.Time, s *server) {
	h, ok := p.handovers[s.config.Name]
	if !ok || s.keeping == nil || s.keeping.succeeds == h.from {
		return
	}
	delete(p.handovers, s.config.Name)
	if now.Sub(h.at) > p.limits().lapse() {
		return
	}
	k := s.keeping
	k.succeeds = h.from
	s.ledger.add(now.Add(p.limits().creditHold()), h.Outstanding)
	if h.Incarnation == s.record.Incarnation && h.Sequence == s.record.Sequence {
		k.progress = max(k.progress, h.Progress)
	}
}

func (s *server) handOver(now time.Time, rest []fleet.HostID) []fleet.Send {
	next := fleet.Rendezvous("keeper/"+string(s.config.Name), rest)
	k := s.keeping
	s.keeping = nil
	if next == "" {
		return nil
	}
	return []fleet.Send{{To: next, Message: &Handover{
		Server:      s.config.Name,
		Outstanding: s.ledger.outstanding(now),
		Progress:    k.progress,
		Incarnation: s.record.Incarnation,
		Sequence:    s.record.Sequence,
	}}}
}

// followDrain keeps the record in step with the operators' wish to drain.
func (p *Pool) followDrain(s *server) {
	if s.keeping == nil || s.record.Sequence == 0 {
		return
	}
	draining := s.record.Phase == fleet.ServerDraining
	if s.drained && !draining {
		p.setPhase(s, fleet.ServerDraining)
	}
	if !s.drained && draining {
		p.setPhase(s, fleet.ServerCold)
	}
}

// setPhase makes a new record of a server that this host keeps.
func (p *Pool) setPhase(s *server, phase fleet.ServerPhase) {
	r := s.record
	if r.Phase == fleet.ServerSuspected && phase == fleet.ServerCold {
		r.Incarnation++
	}
	r.Server, r.Phase = s.config.Name, phase
	r.Sequence++
	if phase != fleet.ServerWarming && phase != fleet.ServerWarm {
		s.keeping.cool()
	}
	if phase == fleet.ServerSuspected {
		s.detector.successes = 0
	}
	s.setRecord(r)
	p.changed = append(p.changed, r)
}

// conclude turns a finding about a kept server into a new record.
func (p *Pool) conclude(s *server, found finding) {
	if s.drained || s.record.Sequence == 0 {
		return
	}
	phase := s.record.Phase
	switch {
	case found == findingFailing && phase != fleet.ServerSuspected:
		p.setPhase(s, fleet.ServerSuspected)
	case found == findingCold && (phase == fleet.ServerWarm || phase == fleet.ServerWarming):
		p.setPhase(s, fleet.ServerCold)
	case found == findingUp && phase == fleet.ServerSuspected:
		p.setPhase(s, fleet.ServerCold)
	}
}

// takeAlarm believes one other host unless this host sees the server at work;
// then it takes two. So a host with a broken network condemns no server.
func (p *Pool) takeAlarm(now time.Time, from fleet.HostID, m *Alarm) {
	s := p.servers[m.Server]
	if s == nil || s.keeping == nil {
		return
	}
	if m.Incarnation != s.record.Incarnation || m.Sequence != s.record.Sequence {
		return
	}
	found := finding(m.Finding)
	if found != findingFailing && found != findingCold {
		return
	}
	if now.Sub(s.detector.lastServed) < servedFreshness && !s.keeping.doubted(now, from) {
		return
	}
	p.conclude(s, found)
	s.refresh(now)
}

// doubted notes that from raised an alarm, and reports whether another host
// did so lately.
func (k *keeping) doubted(now time.Time, from fleet.HostID) bool {
	k.doubts[from] = now
	for host, at := range k.doubts {
		if host != from && now.Sub(at) < servedFreshness {
			return true
		}
	}
	return false
}

// tickKeeping makes the first record, and lets a server warm up.
func (p *Pool) tickKeeping(now time.Time, s *server) {
	k := s.keeping
	if k == nil {
		return
	}
	if s.record.Sequence == 0 {
		p.makeFirstRecord(now, s)
		return
	}
	p.followDrain(s)
	if s.record.Phase == fleet.ServerWarming && k.progress == 0 && k.succeeds == "" {
		p.setPhase(s, fleet.ServerCold)
	}
	k.grow(now, s)
	switch {
	case s.record.Phase == fleet.ServerCold && k.progress > 0:
		p.setPhase(s, fleet.ServerWarming)
	case s.record.Phase == fleet.ServerWarming && k.progress >= 1:
		p.setPhase(s, fleet.ServerWarm)
	}
}

// makeFirstRecord waits for records that peers may still hold before it states
// that a server is cold.
func (p *Pool) makeFirstRecord(now time.Time, s *server) {
	if now.Sub(s.keeping.since) < p.limits().lapse() && len(p.hosts) > 1 {
		return
	}
	s.record.Incarnation = 1
	if s.drained {
		p.setPhase(s, fleet.ServerDraining)
		return
	}
	p.setPhase(s, fleet.ServerCold)
}

// grow raises the bound with the time that the server has been at work.
func (k *keeping) grow(now time.Time, s *server) {
	passed := now.Sub(k.grownAt)
	k.grownAt = now
	k.load.decay(passed)
	if s.record.Phase != fleet.ServerCold && s.record.Phase != fleet.ServerWarming {
		return
	}
	if k.load.atWork(k.rate(s)) {
		k.progress = min(1, k.progress+passed.Seconds()/warmupTime(s.config).Seconds())
	}
}

// cool starts the warm-up again. Work that was served before does not count.
func (k *keeping) cool() {
	k.progress, k.load = 0, workload{}
	clear(k.served)
}

// rate is the bound on new work per second over all hosts.
func (k *keeping) rate(s *server) float64 {
	return coldRate(s.config) * math.Pow(growthFactor, k.progress)
}

// window is the time over which a bound of at least one unit is kept.
func window(rate float64) time.Duration {
	return max(boundWindow, time.Duration(float64(time.Second)/rate))
}

// creditHold is how long granted credit counts against the bound: while it may
// be spent, and one window more, as work of that window may still run.
func (l Limits) creditHold() time.Duration {
	return l.CreditLifetime + boundWindow
}

// bound is how much credit may be outstanding at now: the part of the server's
// bound that belongs to the hosts which promised their share.
func (k *keeping) bound(now time.Time, s *server, knownHere int) int {
	rate := k.rate(s)
	hosts := knownHere
	shares := 0
	for host, until := range k.promises {
		if now.Before(until) {
			shares++
			hosts = max(hosts, k.known[host])
		}
	}
	if hosts == 0 {
		return 0
	}
	return int(rate * window(rate).Seconds() * float64(shares) / float64(hosts))
}
