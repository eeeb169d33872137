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
	order    []fleet.HostID
	active   []*probe // by sequence
	relays   []relay
}

// probe is one probe of a member, of several attempts.
type probe struct {
	sequence uint64
	target   fleet.HostID
	started  time.Time
	retry    time.Time
}

// relay is a probe on behalf of another host.
type relay struct {
	sequence  uint64 // of this host's ping
	requester fleet.HostID
	answer    uint64 // the requester's sequence
	expires   time.Time
}

func (t *Table) tickProbes(now time.Time, sends []fleet.Send) []fleet.Send {
	t.probes.relays = slices.DeleteFunc(t.probes.relays, func(r relay) bool { return now.After(r.expires) })
	sends = t.retryProbes(now, sends)
	if now.Before(t.probes.next) {
		return t.pingCutOff(sends)
	}
	t.probes.next = now.Add(t.timing.Probe)
	for _, m := range t.targets() {
		sends = t.probe(now, m, sends)
	}
	return t.pingLost(sends)
}

// targets returns the members to probe in this interval: the next ones of the round,
// every member whose suspicion this host raised, and one doubted member.
func (t *Table) targets() []*member {
	var targets []*member
	doubted := false
	for _, m := range t.livePeers() {
		if m.suspector {
			targets = append(targets, m)
		}
		if m.doubted && !doubted {
			doubted = true
			targets = append(targets, m)
		}
	}
	probes := 1
	if t.burst() {
		probes = burstProbes
	}
	for range probes {
		if m := t.nextOfRound(); m != nil && !slices.Contains(targets, m) {
			targets = append(targets, m)
		}
	}
	return targets
}

// burst reports whether several members are suspected at once, so that more are
// likely to be lost. More probes then find them sooner, and fewer helpers, which
// are likely to be cut off too, keep the cost down.
func (t *Table) burst() bool {
	suspects := 0
	for _, m := range t.livePeers() {
		if m.Status == Suspect {
			suspects++
		}
	}
	return suspects >= burstSuspects
}

// nextOfRound returns the live members in turn, each round in a new random
// order, so that the time until a member is probed is bounded.
func (t *Table) nextOfRound() *member {
	for range 2 {
		for len(t.probes.order) > 0 {
			id := t.probes.order[0]
			t.probes.order = t.probes.order[1:]
			if m := t.members[id]; m != nil && m.live() {
				return m
			}
		}
		t.probes.order = t.shuffled()
	}
	return nil
}

func (t *Table) shuffled() []fleet.HostID {
	var ids []fleet.HostID
	for _, m := range t.livePeers() {
		ids = append(ids, m.Host.ID)
	}
	t.Random.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	return ids
}

// probe starts a probe of a member, unless one is under way.
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

// retryProbes repeats the probes without an answer, directly and through
// helpers, and ends those whose interval is over.
func (t *Table) retryProbes(now time.Time, sends []fleet.Send) []fleet.Send {
	var kept []*probe
	for _, p := range t.probes.active {
		switch {
		case now.Sub(p.started) >= t.timing.Probe:
			t.failed(now, p)
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
	again := &Ping{Header: t.bareHeader(p.target), Sequence: p.sequence}
	sends = append(sends, fleet.Send{To: p.target, Message: again})
	n := helpers
	if t.burst() {
		n = 1
	}
	for _, helper := range t.pick(t.livePeers(), n, p.target) {
		to := helper.Host.ID
		request := &PingRequest{Header: t.header(to), Sequence: p.sequence, Target: p.target}
		sends = append(sends, fleet.Send{To: to, Message: request})
	}
	return sends
}

// failed handles the end of a probe without an answer.
func (t *Table) failed(now time.Time, p *probe) {
	t.counts.Failures++
	m := t.members[p.target]
	if m == nil || !m.live() {
		return
	}
	m.doubted = false
	if m.Status == Alive {
		t.suspect(now, m, true)
	}
	m.suspector = true
}

// readAck ends the probe that the Ack answers, or relays the Ack.
func (t *Table) readAck(from fleet.HostID, a *Ack) []fleet.Send {
	if from == a.Subject {
		t.confirmedBy(from, a)
	}
	t.probes.active = slices.DeleteFunc(t.probes.active, func(p *probe) bool {
		return p.sequence == a.Sequence && p.target == a.Subject
	})
	i := slices.IndexFunc(t.probes.relays, func(r relay) bool { return r.sequence == a.Sequence })
	if i < 0 || from != a.Subject {
		return nil
	}
	r := t.probes.relays[i]
	t.probes.relays = slices.Delete(t.probes.relays, i, i+1)
	answer := &Ack{Header: t.header(r.requester), Sequence: r.answer, Subject: a.Subject}
	answer.Header.News = append([]Claim{a.Header.Self}, answer.Header.News...)
	return []fleet.Send{{To: r.requester, Message: answer}}
}

// relay probes a member on behalf of the sender.
func (t *Table) relay(now time.Time, from fleet.HostID, r *PingRequest) []fleet.Send {
	if t.members[r.Target] == nil || len(t.probes.relays) >= maxRelays {
		return nil
	}
	t.probes.sequence++
	t.probes.relays = append(t.probes.relays, relay{
		sequence:  t.probes.sequence,
		requester: from,
		answer:    r.Sequence,
		expires:   now.Add(t.timing.Probe),
	})
	return t.ping(r.Target, t.probes.sequence, nil)
}

// pingLost pings dead members and candidates, in case they are back. New
// candidates come first. The others get about one ping per interval from the
// whole fleet for each of them, whatever its size.
func (t *Table) pingLost(sends []fleet.Send) []fleet.Send {
	t.rebuild()
	var rest []*member
	pings := 0
	for _, m := range t.lost {
		if m.attempts >= firstAttempts || m.hinted.IsZero() {
			rest = append(rest, m)
			continue
		}
		if pings < isolatedPings {
			sends = t.pingOnce(m, sends)
			pings++
		}
	}
	for _, m := range t.pick(rest, t.lostPings(len(rest)), "") {
		sends = t.pingOnce(m, sends)
	}
	return sends
}

// pingCutOff pings one lost member at every tick while so many are lost that they
// are likely to be cut off: until the two sides know of each other, they place
// flows without each other's knowledge.
func (t *Table) pingCutOff(sends []fleet.Send) []fleet.Send {
	t.rebuild()
	if len(t.lost) < burstSuspects {
		return sends
	}
	for _, m := range t.pick(t.lost, 1, "") {
		t.probes.sequence++
		ping := &Ping{Header: t.bareHeader(m.Host.ID), Sequence: t.probes.sequence}
		sends = append(sends, fleet.Send{To: m.Host.ID, Message: ping})
	}
	return sends
}

// lostPings returns how many of n lost members to ping in this interval.
func (t *Table) lostPings(n int) int {
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

func (t *Table) pingOnce(m *member, sends []fleet.Send) []fleet.Send {
	m.attempts++
	t.probes.sequence++
	return t.ping(m.Host.ID, t.probes.sequence, sends)
}
