package membership

import (
	"time"

	"github.com/rattanthread/rattanthread/fleet"
)

// handleHeader processes the header of a message. It reports whether this host
// refuted a claim of the sender, which must then be informed at once.
func (t *Table) handleHeader(now time.Time, header *Header) (refuted bool) {
	t.mergeClaim(now, header.Self, true)
	if m := t.members[header.Self.Host]; m != nil {
		m.LastSeen = now
		m.attempts = 0
		t.setMemberState(m, header.State)
	}
	refuted = t.refute(now, header.About)
	if m := t.members[header.Self.Host]; m != nil && m.live() {
		// A host that is considered dead may be unable to receive refutations,
		// so its claims about others are ignored.
		t.mergeClaims(now, header.Updates, true)
	}
	t.rebuild()
	t.mergeAcks(header)
	if header.Acks.ListHash == t.listHash {
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
func (t *Table) mergeClaim(now time.Time, claim Claim, forward bool) {
	if claim.Host == t.Self.ID {
		t.refute(now, claim)
		return
	}
	member := t.members[claim.Host]
	if member == nil || member.Status == Candidate {
		t.addMember(now, member, claim, forward)
		return
	}
	newer := member.compare(claim)
	if newer < 0 || (newer == 0 && claim.Status <= member.Status) {
		return
	}
	switch claim.Status {
	case Alive:
		t.markAlive(now, member, claim, forward)
	case Suspect:
		if newer > 0 {
			member.update(claim)
		}
		if newer > 0 || member.Status == Alive {
			t.markSuspect(now, member, forward)
		}
	case Dead:
		t.handleDeadClaim(member, claim)
	case Left:
		member.update(claim)
		t.setStatus(now, member, Left, forward)
	}
}

// addMember handles a claim about a host that is not in the table or is only a
// candidate.
func (t *Table) addMember(now time.Time, m *member, claim Claim, forward bool) {
	if claim.Contact == nil || (claim.Status != Alive && claim.Status != Suspect) {
		return
	}
	if m == nil {
		m = &member{Member: Member{Host: fleet.Host{ID: claim.Host}}}
		t.members[claim.Host] = m
	}
	m.update(claim)
	m.contactChanged = true
	t.setStatus(now, m, Alive, forward)
}

// markAlive applies a newer claim that a member is alive.
func (t *Table) markAlive(now time.Time, m *member, claim Claim, forward bool) {
	if m.Status == Suspect {
		t.counts.Recoveries++
	}
	m.contactChanged = claim.Incarnation != m.Host.Incarnation || !m.live()
	m.update(claim)
	t.setStatus(now, m, Alive, forward)
}

// handleDeadClaim handles a claim that a member is dead. A live member is never
// marked dead on the claim of a peer, which may itself be partitioned: the member
// is probed first, and receives the claim so that it can refute it.
func (t *Table) handleDeadClaim(m *member, claim Claim) {
	if m.live() {
		m.reportedDead = true
		return
	}
	m.update(claim)
}

// refute raises the refutation number of this host if a claim states that this host
// is not alive, and reports whether it did. It also records a later incarnation.
func (t *Table) refute(now time.Time, claim Claim) (refuted bool) {
	if claim.Host != t.Self.ID {
		return false
	}
	if claim.Incarnation > t.Self.Incarnation {
		t.superseded = max(t.superseded, claim.Incarnation)
		return false
	}
	if claim.Incarnation < t.Self.Incarnation || claim.Refutation < t.selfRecord.refutation || claim.Status < Suspect {
		return false
	}
	t.counts.Refutations++
	t.selfRecord.refutation = claim.Refutation + 1
	t.nextGossip = now
	if claim.Status != Suspect {
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
