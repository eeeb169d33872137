package backend

import (
	"math"
	"time"

	"github.com/rattanthread/rattanthread/fleet"
)

// boundWindow is the period to which the bound on new work applies.
const boundWindow = time.Second

// growthFactor is the ratio of the final bound of a warming server to its ColdRate.
const growthFactor = 16.0

// allocator is the state that a host keeps while it is the allocator of one server.
type allocator struct {
	startedAt   time.Time
	predecessor fleet.HostID
	promises    map[fleet.HostID]time.Time // when the promise of each host's share expires
	hostCounts  map[fleet.HostID]int       // how many hosts may be running, as reported by each host
	progress    float64                    // 0 is cold, 1 is warm
	lastGrowth  time.Time
	served      map[fleet.HostID]uint64
	load        workload
	alarms      map[fleet.HostID]time.Time
}

// promise records the allocator that may use this host's share of a server's bound.
type promise struct {
	to    fleet.HostID
	until time.Time
}

// receivedHandover is a handover that is applied when this host becomes the allocator.
type receivedHandover struct {
	from fleet.HostID
	at   time.Time
	Handover
}

// sentTimes holds the send times of the last 64 numbered messages.
type sentTimes[ID ~uint64] struct {
	last ID
	sent [64]time.Time
}

func (t *sentTimes[ID]) next(now time.Time) ID {
	t.last++
	t.sent[t.last%ID(len(t.sent))] = now
	return t.last
}

// lookUp returns when id was sent. If once is set, later lookups of id fail.
func (t *sentTimes[ID]) lookUp(id ID, once bool) (time.Time, bool) {
	if id == 0 || id > t.last || t.last-id >= ID(len(t.sent)) {
		return time.Time{}, false
	}
	slot := &t.sent[id%ID(len(t.sent))]
	at := *slot
	if once {
		*slot = time.Time{}
	}
	return at, !at.IsZero()
}

// promiseHoldTime is how long after a promise the credit that is based on it may
// still be spent, or the work admitted by it may still count against the bound.
func (l Limits) promiseHoldTime() time.Duration {
	return l.PromiseLifetime + l.CreditLifetime + boundWindow
}

func (p *Pool) assignAllocator(now time.Time, srv *server) {
	srv.allocatorHost = fleet.Rendezvous("keeper/"+string(srv.config.Name), p.hosts)
	if srv.allocatorHost != p.self {
		srv.allocator = nil
		return
	}
	if srv.allocator == nil {
		srv.allocator = newAllocator(now)
	}
	p.applyHandover(now, srv)
}

func newAllocator(now time.Time) *allocator {
	return &allocator{
		startedAt:  now,
		lastGrowth: now,
		promises:   make(map[fleet.HostID]time.Time),
		hostCounts: make(map[fleet.HostID]int),
		served:     make(map[fleet.HostID]uint64),
		alarms:     make(map[fleet.HostID]time.Time),
	}
}

func (p *Pool) handleHandover(now time.Time, from fleet.HostID, message *Handover) {
	p.handovers[message.Server] = receivedHandover{from: from, at: now, Handover: *message}
	if srv := p.servers[message.Server]; srv != nil {
		p.applyHandover(now, srv)
	}
}

// applyHandover takes over the predecessor's outstanding credit, so that hosts can
// promise their shares to this host immediately.
func (p *Pool) applyHandover(now time.Time, srv *server) {
	handover, ok := p.handovers[srv.config.Name]
	if !ok || srv.allocator == nil || srv.allocator.predecessor == handover.from {
		return
	}
	delete(p.handovers, srv.config.Name)
	if now.Sub(handover.at) > p.limits().promiseHoldTime() {
		return
	}
	alloc := srv.allocator
	alloc.predecessor = handover.from
	srv.ledger.add(now.Add(p.limits().creditHoldTime()), handover.Outstanding)
	if handover.Incarnation == srv.record.Incarnation && handover.Sequence == srv.record.Sequence {
		alloc.progress = max(alloc.progress, handover.Progress)
	}
}

func (s *server) handoverMessages(now time.Time, others []fleet.HostID) []fleet.Send {
	next := fleet.Rendezvous("keeper/"+string(s.config.Name), others)
	alloc := s.allocator
	s.allocator = nil
	if next == "" {
		return nil
	}
	return []fleet.Send{{To: next, Message: &Handover{
		Server:      s.config.Name,
		Outstanding: s.ledger.outstanding(now),
		Progress:    alloc.progress,
		Incarnation: s.record.Incarnation,
		Sequence:    s.record.Sequence,
	}}}
}

// applyDrain updates the record when draining of the server starts or ends.
func (p *Pool) applyDrain(srv *server) {
	if srv.allocator == nil || srv.record.Sequence == 0 {
		return
	}
	draining := srv.record.Phase == fleet.ServerDraining
	if srv.drained && !draining {
		p.setPhase(srv, fleet.ServerDraining)
	}
	if !srv.drained && draining {
		p.setPhase(srv, fleet.ServerCold)
	}
}

// setPhase creates a new record of a server of which this host is the allocator.
func (p *Pool) setPhase(srv *server, phase fleet.ServerPhase) {
	record := srv.record
	if record.Phase == fleet.ServerSuspected && phase == fleet.ServerCold {
		record.Incarnation++
	}
	record.Server, record.Phase = srv.config.Name, phase
	record.Sequence++
	if phase != fleet.ServerWarming && phase != fleet.ServerWarm {
		srv.allocator.resetWarmup()
	}
	if phase == fleet.ServerSuspected {
		srv.detector.successes = 0
	}
	srv.setRecord(record)
	p.changed = append(p.changed, record)
}

// applyFinding creates a new record if a finding changes the phase of the server.
func (p *Pool) applyFinding(srv *server, result finding) {
	if srv.drained || srv.record.Sequence == 0 {
		return
	}
	phase := srv.record.Phase
	switch {
	case result == findingFailing && phase != fleet.ServerSuspected:
		p.setPhase(srv, fleet.ServerSuspected)
	case result == findingCold && (phase == fleet.ServerWarm || phase == fleet.ServerWarming):
		p.setPhase(srv, fleet.ServerCold)
	case result == findingUp && phase == fleet.ServerSuspected:
		p.setPhase(srv, fleet.ServerCold)
	}
}

// handleAlarm applies the finding of another host. If this host has recently seen
// the server do work, two hosts must raise an alarm, so that one host with a broken
// network cannot take a server out of service.
func (p *Pool) handleAlarm(now time.Time, from fleet.HostID, alarm *Alarm) {
	srv := p.servers[alarm.Server]
	if srv == nil || srv.allocator == nil {
		return
	}
	if alarm.Incarnation != srv.record.Incarnation || alarm.Sequence != srv.record.Sequence {
		return
	}
	result := finding(alarm.Finding)
	if result != findingFailing && result != findingCold {
		return
	}
	if now.Sub(srv.detector.lastServed) < servedFreshness && !srv.allocator.recordAlarm(now, from) {
		return
	}
	p.applyFinding(srv, result)
	srv.updateAdmission(now)
}

// recordAlarm records an alarm and reports whether another host has raised one
// recently.
func (a *allocator) recordAlarm(now time.Time, from fleet.HostID) bool {
	a.alarms[from] = now
	for host, at := range a.alarms {
		if host != from && now.Sub(at) < servedFreshness {
			return true
		}
	}
	return false
}

// tickAllocator creates the first record and advances the warm-up of a server.
func (p *Pool) tickAllocator(now time.Time, srv *server) {
	alloc := srv.allocator
	if alloc == nil {
		return
	}
	if srv.record.Sequence == 0 {
		p.makeFirstRecord(now, srv)
		return
	}
	p.applyDrain(srv)
	if srv.record.Phase == fleet.ServerWarming && alloc.progress == 0 && alloc.predecessor == "" {
		p.setPhase(srv, fleet.ServerCold)
	}
	alloc.grow(now, srv)
	switch {
	case srv.record.Phase == fleet.ServerCold && alloc.progress > 0:
		p.setPhase(srv, fleet.ServerWarming)
	case srv.record.Phase == fleet.ServerWarming && alloc.progress >= 1:
		p.setPhase(srv, fleet.ServerWarm)
	}
}

// makeFirstRecord creates the first record of a server, as cold or draining. It first
// waits for the records that peers may still hold, so that a warm server stays warm.
func (p *Pool) makeFirstRecord(now time.Time, srv *server) {
	if now.Sub(srv.allocator.startedAt) < p.limits().promiseHoldTime() && len(p.hosts) > 1 {
		return
	}
	srv.record.Incarnation = 1
	if srv.drained {
		p.setPhase(srv, fleet.ServerDraining)
		return
	}
	p.setPhase(srv, fleet.ServerCold)
}

// grow advances the warm-up by the time that the server was active. The bound grows
// exponentially with the progress, see rate.
func (a *allocator) grow(now time.Time, srv *server) {
	elapsed := now.Sub(a.lastGrowth)
	a.lastGrowth = now
	a.load.decay(elapsed)
	if srv.record.Phase != fleet.ServerCold && srv.record.Phase != fleet.ServerWarming {
		return
	}
	if a.load.isActive(a.rate(srv)) {
		a.progress = min(1, a.progress+elapsed.Seconds()/warmupTime(srv.config).Seconds())
	}
}

// resetWarmup restarts the warm-up. Work that was served before does not count.
func (a *allocator) resetWarmup() {
	a.progress, a.load = 0, workload{}
	clear(a.served)
}

// rate returns the bound on new work per second over all hosts.
func (a *allocator) rate(srv *server) float64 {
	return coldRate(srv.config) * math.Pow(growthFactor, a.progress)
}

// boundPeriod returns the period to which the bound applies: boundWindow, or the time
// in which the bound reaches one unit if that is longer.
func boundPeriod(rate float64) time.Duration {
	return max(boundWindow, time.Duration(float64(time.Second)/rate))
}

// creditHoldTime is how long granted credit counts against the bound: while it may
// be spent, and for one more window, as work of that window may still run.
func (l Limits) creditHoldTime() time.Duration {
	return l.CreditLifetime + boundWindow
}

// bound returns how much credit may be outstanding at now: the part of the server's
// bound that belongs to the hosts with an unexpired promise.
func (a *allocator) bound(now time.Time, srv *server, localCount int) int {
	rate := a.rate(srv)
	hosts := localCount
	shares := 0
	for host, until := range a.promises {
		if now.Before(until) {
			shares++
			hosts = max(hosts, a.hostCounts[host])
		}
	}
	if hosts == 0 {
		return 0
	}
	return int(rate * boundPeriod(rate).Seconds() * float64(shares) / float64(hosts))
}
