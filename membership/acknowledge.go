package membership

import "time"

// localView is the state of this host, whether all live hosts have acknowledged
// it, and the most recent states.
type localView struct {
	state    State
	since    time.Time
	complete bool // every live host has acknowledged state
	recent   []stateChange
}

type stateChange struct {
	state State
	since time.Time
}

// sameOrLater reports whether a equals s or has a higher revision. A host at a
// higher revision has not necessarily acknowledged s: it may have skipped s.
func (a State) sameOrLater(s State) bool {
	return a.Revision > s.Revision || a == s
}

// SetLocalState sets the state of this host, which its messages announce.
func (t *Table) SetLocalState(now time.Time, state State) {
	t.lazyInit()
	if state == t.local.state && !t.local.since.IsZero() {
		return
	}
	t.addRecent(now, state)
	t.local.state = state
	t.local.since = now
	t.selfRecord.State = state
	for _, m := range t.members {
		m.acked = m.State == state
	}
	t.nextGossip = now
	t.version++
	t.rebuild()
	t.updateComplete()
}

// addRecent appends s to the recent local states, of which it keeps
// maxRecentStates.
func (t *Table) addRecent(now time.Time, s State) {
	t.local.recent = append(t.local.recent, stateChange{s, now})
	if n := len(t.local.recent); n > maxRecentStates {
		t.local.recent = t.local.recent[n-maxRecentStates:]
	}
}

// Settled reports whether every live host has acknowledged the local state, or
// Timing.Settle has passed since s became the local state. A state that is not
// among the recent local states is not settled.
func (t *Table) Settled(now time.Time, s State) bool {
	t.lazyInit()
	t.rebuild()
	for i := len(t.local.recent) - 1; i >= 0; i-- {
		r := t.local.recent[i]
		if r.state == s {
			return t.local.complete || now.Sub(r.since) >= t.timing.Settle
		}
	}
	return false
}

// awaitingAcks reports whether acknowledgements of the local state are missing
// and Timing.Settle has not passed.
func (t *Table) awaitingAcks(now time.Time) bool {
	t.rebuild()
	return !t.local.complete && now.Sub(t.local.since) < t.timing.Settle
}

// setMemberState records the state that a member has announced for itself.
func (t *Table) setMemberState(m *member, s State) {
	m.State = s
	if s == t.local.state {
		m.acked = true
	}
}

// acks returns which live hosts have acknowledged the local state.
func (t *Table) acks() Acks {
	a := Acks{ListHash: t.listHash, Complete: t.local.complete}
	if a.Complete {
		return a
	}
	a.Bits = make([]byte, (len(t.hosts)+7)/8)
	for i, h := range t.hosts {
		if m := t.members[h.ID]; m == nil || m.acked {
			a.Bits[i/8] |= 1 << (i % 8)
		}
	}
	return a
}

// mergeAcks merges the acknowledgements that the sender has recorded. They are
// ignored unless both hosts have the same list of live hosts and the same state.
func (t *Table) mergeAcks(header *Header) {
	if t.local.complete && header.State == t.local.state {
		return
	}
	if header.Acks.ListHash == t.listHash && header.State == t.local.state {
		for i, host := range t.hosts {
			m := t.members[host.ID]
			if m == nil || !(header.Acks.Complete || hasBit(header.Acks.Bits, i)) {
				continue
			}
			m.acked = true
			if header.State.sameOrLater(m.State) {
				m.State = header.State
			}
		}
	}
	t.updateComplete()
}

// senderLacksAcks reports whether the sender still waits for acknowledgements of
// the local state although this host has recorded all of them.
func (t *Table) senderLacksAcks(header *Header) bool {
	return t.local.complete && !header.Acks.Complete && header.Acks.ListHash == t.listHash && header.State == t.local.state
}

func hasBit(b []byte, i int) bool {
	return i/8 < len(b) && b[i/8]&(1<<(i%8)) != 0
}

// updateComplete recomputes whether every live host has acknowledged the local state.
func (t *Table) updateComplete() {
	complete := true
	for _, m := range t.peers {
		complete = complete && m.acked
	}
	if complete != t.local.complete {
		t.local.complete = complete
		t.version++
	}
}
