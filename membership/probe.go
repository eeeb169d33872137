package membership

import (
	"slices"
	"time"

	"github.com/rattanthread/rattanthread/fleet"
)

// probes is the state of the failure detector.
type probes struct {
	sequence uint64
	next     time.Time // start of the next probe
	round    []fleet.HostID
	active   []*probe // ordered by sequence
	relays   []relay
}

// probe is a probe of a member. It consists of one or more attempts.
type probe struct {
	sequence uint64
	target   fleet.HostID
	started  time.Time
	retry    time.Time
}

// relay is an indirect probe on behalf of another host.
type relay struct {
	sequence          uint64 // sequence of this host's Ping
	requester         fleet.HostID
	requesterSequence uint64 // sequence of the PingRequest
	expires           time.Time
}

func (t *Table) tickProbes(now time.Time, sends []fleet.Send) []fleet.Send {
	t.probes.relays = slices.DeleteFunc(t.probes.relays, func(r relay) bool { return now.After(r.expires) })
	sends = t.retryProbes(now, sends)
	if now.Before(t.probes.next) {
		return t.pingPartitioned(sends)
	}
	t.probes.next = now.Add(t.timing.Probe)
	for _, m := range t.targets() {
		sends = t.probe(now, m, sends)
	}
	return t.pingUnreachable(sends)
}

// targets returns the members to probe in this interval: the next ones of the
// round, every member whose suspicion this host raised, and one member that a
// peer has reported dead.
func (t *Table) targets() []*member {
	var targets []*member
	reported := false
	for _, m := range t.livePeers() {
		if m.suspectedLocally {
			targets = append(targets, m)
		}
		if m.reportedDead && !reported {
			reported = true
			targets = append(targets, m)
		}
	}
	probes := 1
	if t.failureBurst() {
		probes = burstProbes
	}
	for range probes {
		if m := t.nextInRound(); m != nil && !slices.Contains(targets, m) {
			targets = append(targets, m)
		}
	}
	return targets
}

// failureBurst reports whether several members are suspected at once, so that
// more have probably failed. More probes per interval then detect these sooner.
// To limit the cost, each probe uses a single relay, as relays are likely to be
// partitioned too.
func (t *Table) failureBurst() bool {
	suspects := 0
	for _, m := range t.livePeers() {
		if m.Status == Suspect {
			suspects++
		}
	}
	return suspects >= burstSuspects
}

// nextInRound returns the next live member to probe. Each round contains every
// live member once in a new random order, which bounds the time until a member
// is probed.
func (t *Table) nextInRound() *member {
	for range 2 {
		for len(t.probes.round) > 0 {
			id := t.probes.round[0]
			t.probes.round = t.probes.round[1:]
			if m := t.members[id]; m != nil && m.live() {
				return m
			}
		}
		t.probes.round = t.shuffledPeers()
	}
	return nil
}

func (t *Table) shuffledPeers() []fleet.HostID {
	var ids []fleet.HostID
	for _, m := range t.livePeers() {
		ids = append(ids, m.Host.ID)
	}
	t.Random.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	return ids
}

// probe starts a probe of a member unless one is in progress.
func (t *Table) probe(now time.Time, m *member, sends []fleet.Send) []fleet.Send {
	if slices.ContainsFunc(t.probes.active, func(p *probe) bool { return p.target == m.Host.ID }) {
		return sends
	}
	t.counts.Probes++
	t.probes.sequence++
	p := &probe{
		sequence: t.probes.sequence,
		target:   m.Host.ID,
		started:  now,
		retry:    now.Add(t.timing.Retry),
	}
	t.probes.active = append(t.probes.active, p)
	return t.ping(p.target, p.sequence, sends)
}

func (t *Table) ping(to fleet.HostID, sequence uint64, sends []fleet.Send) []fleet.Send {
	return append(sends, fleet.Send{To: to, Message: &Ping{Header: t.header(to), Sequence: sequence}})
}

// retryProbes repeats the unanswered probes, directly and through relays, and
// fails those whose interval is over.
func (t *Table) retryProbes(now time.Time, sends []fleet.Send) []fleet.Send {
	var kept []*probe
	for _, p := range t.probes.active {
		switch {
		case now.Sub(p.started) >= t.timing.Probe:
			t.probeFailed(now, p)
			continue
		case !now.Before(p.retry):
			p.retry = now.Add(t.timing.Retry)
			sends = t.retry(p, sends)
		}
		kept = append(kept, p)
	}
	t.probes.active = kept
	return sends
}

func (t *Table) retry(p *probe, sends []fleet.Send) []fleet.Send {
	t.counts.Retries++
	ping := &Ping{Header: t.bareHeader(p.target), Sequence: p.sequence}
	sends = append(sends, fleet.Send{To: p.target, Message: ping})
	n := probeFanout
	if t.failureBurst() {
		n = 1
	}
	for _, peer := range t.pick(t.livePeers(), n, p.target) {
		to := peer.Host.ID
		request := &PingRequest{Header: t.header(to), Sequence: p.sequence, Target: p.target}
		sends = append(sends, fleet.Send{To: to, Message: request})
	}
	return sends
}

// probeFailed handles a probe that ended without a response.
func (t *Table) probeFailed(now time.Time, p *probe) {
	t.counts.Failures++
	m := t.members[p.target]
	if m == nil || !m.live() {
		return
	}
	m.reportedDead = false
	if m.Status == Alive {
		t.markSuspect(now, m, true)
	}
	m.suspectedLocally = true
}

// handleAck completes the probe that the Ack belongs to, or relays the Ack to the
// host that requested the probe.
func (t *Table) handleAck(from fleet.HostID, received *Ack) []fleet.Send {
	if from == received.Subject {
		t.handleConfirmation(from, received)
	}
	t.probes.active = slices.DeleteFunc(t.probes.active, func(p *probe) bool {
		return p.sequence == received.Sequence && p.target == received.Subject
	})
	i := slices.IndexFunc(t.probes.relays, func(r relay) bool { return r.sequence == received.Sequence })
	if i < 0 || from != received.Subject {
		return nil
	}
	r := t.probes.relays[i]
	t.probes.relays = slices.Delete(t.probes.relays, i, i+1)
	ack := &Ack{Header: t.header(r.requester), Sequence: r.requesterSequence, Subject: received.Subject}
	ack.Header.Updates = append([]Claim{received.Header.Self}, ack.Header.Updates...)
	return []fleet.Send{{To: r.requester, Message: ack}}
}

// relayPing pings a member on behalf of the sender.
func (t *Table) relayPing(now time.Time, from fleet.HostID, request *PingRequest) []fleet.Send {
	if t.members[request.Target] == nil || len(t.probes.relays) >= maxRelays {
		return nil
	}
	t.probes.sequence++
	t.probes.relays = append(t.probes.relays, relay{
		sequence:          t.probes.sequence,
		requester:         from,
		requesterSequence: request.Sequence,
		expires:           now.Add(t.timing.Probe),
	})
	return t.ping(request.Target, t.probes.sequence, nil)
}

// pingUnreachable pings dead members and candidates in case they respond. New
// candidates come first. Each of the others gets about one ping per interval
// from all hosts together, independently of the number of hosts.
func (t *Table) pingUnreachable(sends []fleet.Send) []fleet.Send {
	t.rebuild()
	var rest []*member
	pings := 0
	for _, m := range t.unreachable {
		if m.attempts >= candidatePings || m.lastListed.IsZero() {
			rest = append(rest, m)
			continue
		}
		if pings < isolatedPings {
			sends = t.attemptContact(m, sends)
			pings++
		}
	}
	for _, m := range t.pick(rest, t.unreachablePings(len(rest)), "") {
		sends = t.attemptContact(m, sends)
	}
	return sends
}

// pingPartitioned pings one unreachable member if there are so many that a network
// partition is likely. It is called at every tick that starts no probes: until the
// sides of a partition detect each other again, they place flows independently of
// each other.
func (t *Table) pingPartitioned(sends []fleet.Send) []fleet.Send {
	t.rebuild()
	if len(t.unreachable) < burstSuspects {
		return sends
	}
	for _, m := range t.pick(t.unreachable, 1, "") {
		t.probes.sequence++
		ping := &Ping{Header: t.bareHeader(m.Host.ID), Sequence: t.probes.sequence}
		sends = append(sends, fleet.Send{To: m.Host.ID, Message: ping})
	}
	return sends
}

// unreachablePings returns how many of n unreachable members to ping in this interval.
func (t *Table) unreachablePings(n int) int {
	if n == 0 {
		return 0
	}
	if len(t.peers) == 0 {
		return isolatedPings
	}
	if t.Random.IntN(len(t.peers)+1) < n {
		return 1
	}
	return 0
}

func (t *Table) attemptContact(m *member, sends []fleet.Send) []fleet.Send {
	m.attempts++
	t.probes.sequence++
	return t.ping(m.Host.ID, t.probes.sequence, sends)
}
