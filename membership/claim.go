package membership

import (
	"time"

	"github.com/rattanthread/rattanthread/fleet"
)

// handleHeader processes the header of a message. It reports whether this host
// refuted a claim of the sender, which must then be informed at once.
func (t *Table) handleHeader(now time.Time, h *Header) (refuted bool) {
	t.mergeClaim(now, h.Self, true)
	if m := t.members[h.Self.Host]; m != nil {
		m.LastHeard = now
		m.attempts = 0
		t.setMemberState(m, h.State)
	}
	refuted = t.refute(now, h.About)
	if m := t.members[h.Self.Host]; m != nil && m.live() {
		// A host that is considered dead may be unable to receive refutations,
		// so its claims about others are ignored.
		t.mergeClaims(now, h.Updates, true)
	}
	t.rebuild()
	t.mergeAcks(h)
	if h.Acks.ListHash == t.listHash {
		t.synced = true
	}
	return refuted
}

func (t *Table) mergeClaims(now time.Time, claims []Claim, forward bool) {
	for _, c := range claims {
		t.mergeClaim(now, c, forward)
	}
}

// mergeClaim merges a claim about a host into the table. If forward is set, a
// change is gossiped to other members.
func (t *Table) mergeClaim(now time.Time, c Claim, forward bool) {
	if c.Host == t.Self.ID {
		t.refute(now, c)
		return
	}
	m := t.members[c.Host]
	if m == nil || m.Status == Candidate {
		t.addMember(now, m, c, forward)
		return
	}
	newer := m.compare(c)
	if newer < 0 || (newer == 0 && c.Status <= m.Status) {
		return
	}
	switch c.Status {
	case Alive:
		t.markAlive(now, m, c, forward)
	case Suspect:
		if newer > 0 {
			m.update(c)
		}
		if newer > 0 || m.Status == Alive {
			t.markSuspect(now, m, forward)
		}
	case Dead:
		t.handleDeadClaim(m, c)
	case Left:
		m.update(c)
		t.setStatus(now, m, Left, forward)
	}
}

// addMember handles a claim about a host that is not in the table or is only a
// candidate.
func (t *Table) addMember(now time.Time, m *member, c Claim, forward bool) {
	if c.Contact == nil || (c.Status != Alive && c.Status != Suspect) {
		return
	}
	if m == nil {
		m = &member{Member: Member{Host: fleet.Host{ID: c.Host}}}
		t.members[c.Host] = m
	}
	m.update(c)
	m.contactChanged = true
	t.setStatus(now, m, Alive, forward)
}

// markAlive applies a newer claim that a member is alive.
func (t *Table) markAlive(now time.Time, m *member, c Claim, forward bool) {
	if m.Status == Suspect {
		t.counts.Recoveries++
	}
	m.contactChanged = c.Incarnation != m.Host.Incarnation || !m.live()
	m.update(c)
	t.setStatus(now, m, Alive, forward)
}

// handleDeadClaim handles a claim that a member is dead. A live member is never
// marked dead because a peer says so, as that peer may itself be partitioned:
// the member is probed first, and receives the claim so that it can refute it.
func (t *Table) handleDeadClaim(m *member, c Claim) {
	if m.live() {
		m.reportedDead = true
		return
	}
	m.update(c)
}

// refute raises the refutation number of this host if c claims that this host is
// not alive. It reports whether it did.
func (t *Table) refute(now time.Time, c Claim) (refuted bool) {
	if c.Host != t.Self.ID {
		return false
	}
	if c.Incarnation > t.Self.Incarnation {
		t.superseded = max(t.superseded, c.Incarnation)
		return false
	}
	if c.Incarnation < t.Self.Incarnation || c.Refutation < t.selfRecord.refutation || c.Status < Suspect {
		return false
	}
	t.counts.Refutations++
	t.selfRecord.refutation = c.Refutation + 1
	t.nextGossip = now
	if c.Status != Suspect {
		t.markStale(now)
	}
	return true
}

// markSuspect starts or restarts the suspicion of a member.
func (t *Table) markSuspect(now time.Time, m *member, forward bool) {
	t.counts.Suspicions++
	t.setStatus(now, m, Suspect, forward)
}

// expireSuspicions marks dead the members that did not refute their suspicion in time.
func (t *Table) expireSuspicions(now time.Time) {
	for _, m := range t.livePeers() {
		if m.Status == Suspect && now.Sub(m.since) >= t.timing.Suspicion {
			t.counts.Deaths++
			t.setStatus(now, m, Dead, true)
		}
	}
}

func (t *Table) setStatus(now time.Time, m *member, s Status, forward bool) {
	m.Status = s
	m.since = now
	m.reportedDead = false
	m.suspectedLocally = false
	t.setPending(m, forward)
	m.transmissions = 0
	t.outdated = true
}
