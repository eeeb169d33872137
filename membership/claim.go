package membership

import (
	"time"

	"github.com/rattanthread/rattanthread/fleet"
)

// readHeader takes in the header of a message. It reports whether this host had
// to refute something, of which the sender should hear at once.
func (t *Table) readHeader(now time.Time, h *Header) (refuted bool) {
	t.learn(now, h.Self, true)
	if m := t.members[h.Self.Host]; m != nil {
		m.LastHeard = now
		m.attempts = 0
		t.readState(m, h.State)
	}
	refuted = t.learnSelf(now, h.About)
	if m := t.members[h.Self.Host]; m != nil && m.live() {
		// A host that is held dead may be unable to hear refutations.
		t.learnAll(now, h.News, true)
	}
	t.rebuild()
	t.readAcks(h)
	if h.Acks.List == t.list {
		t.synced = true
	}
	return refuted
}

func (t *Table) learnAll(now time.Time, claims []Claim, spread bool) {
	for _, c := range claims {
		t.learn(now, c, spread)
	}
}

// learn takes in a claim about a host. With spread, what is new is passed on.
func (t *Table) learn(now time.Time, c Claim, spread bool) {
	if c.Host == t.Self.ID {
		t.learnSelf(now, c)
		return
	}
	m := t.members[c.Host]
	if m == nil || m.Status == Candidate {
		t.learnNew(now, m, c, spread)
		return
	}
	newer := m.compare(c)
	if newer < 0 || (newer == 0 && c.Status <= m.Status) {
		return
	}
	switch c.Status {
	case Alive:
		t.revive(now, m, c, spread)
	case Suspect:
		if newer > 0 {
			m.place(c)
		}
		if newer > 0 || m.Status == Alive {
			t.suspect(now, m, spread)
		}
	case Dead:
		t.learnDead(m, c)
	case Left:
		m.place(c)
		t.setStatus(now, m, Left, spread)
	}
}

// learnNew takes in a claim about a host that this one has not heard of.
func (t *Table) learnNew(now time.Time, m *member, c Claim, spread bool) {
	if c.Contact == nil || (c.Status != Alive && c.Status != Suspect) {
		return
	}
	if m == nil {
		m = &member{Member: Member{Host: fleet.Host{ID: c.Host}}}
		t.members[c.Host] = m
	}
	m.place(c)
	m.moved = true
	t.setStatus(now, m, Alive, spread)
}

// revive handles a newer claim that a member is alive.
func (t *Table) revive(now time.Time, m *member, c Claim, spread bool) {
	if m.Status == Suspect {
		t.counts.Recoveries++
	}
	m.moved = c.Incarnation != m.Host.Incarnation || !m.live()
	m.place(c)
	t.setStatus(now, m, Alive, spread)
}

// learnDead handles a claim that a member is dead. A death is never taken over
// from a peer which may itself be cut off: the member is probed first, and told
// of the claim so that it can refute it.
func (t *Table) learnDead(m *member, c Claim) {
	if m.live() {
		m.doubted = true
		return
	}
	m.place(c)
}

// learnSelf refutes a claim that this host is not alive. It reports whether it did.
func (t *Table) learnSelf(now time.Time, c Claim) (refuted bool) {
	if c.Host != t.Self.ID {
		return false
	}
	if c.Incarnation > t.Self.Incarnation {
		t.superseded = max(t.superseded, c.Incarnation)
		return false
	}
	if c.Incarnation < t.Self.Incarnation || c.Refutation < t.me.refutation || c.Status < Suspect {
		return false
	}
	t.counts.Refutations++
	t.me.refutation = c.Refutation + 1
	t.nextGossip = now
	if c.Status != Suspect {
		t.interrupt(now)
	}
	return true
}

// suspect starts or restarts a suspicion.
func (t *Table) suspect(now time.Time, m *member, spread bool) {
	t.counts.Suspicions++
	t.setStatus(now, m, Suspect, spread)
}

// endSuspicions declares dead the members that did not refute in time.
func (t *Table) endSuspicions(now time.Time) {
	for _, m := range t.livePeers() {
		if m.Status == Suspect && now.Sub(m.since) >= t.timing.Suspicion {
			t.counts.Deaths++
			t.setStatus(now, m, Dead, true)
		}
	}
}

func (t *Table) setStatus(now time.Time, m *member, s Status, spread bool) {
	m.Status = s
	m.since = now
	m.doubted = false
	m.suspector = false
	t.setFresh(m, spread)
	m.sent = 0
	t.outdated = true
}
