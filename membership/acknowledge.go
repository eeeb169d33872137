package membership

import "time"

// views is the local state, who has acknowledged it, and earlier local states.
type views struct {
	local    State
	since    time.Time
	complete bool // every live host has acknowledged local
	recent   []localState
}

type localState struct {
	state State
	since time.Time
}

// follows reports whether a is a later state than s, or the same. A host at a
// later state has not acknowledged s: it may have gone there without s.
func (a State) follows(s State) bool {
	return a.Revision > s.Revision || a == s
}

// SetLocal sets the view version of this host, which its probes announce.
func (t *Table) SetLocal(now time.Time, s State) {
	t.start()
	if s == t.views.local && !t.views.since.IsZero() {
		return
	}
	t.remember(now, s)
	t.views.local = s
	t.views.since = now
	t.me.State = s
	for _, m := range t.members {
		m.acked = m.State == s
	}
	t.nextGossip = now
	t.version++
	t.rebuild()
	t.countAcks()
}

// remember adds s to the recent local states.
func (t *Table) remember(now time.Time, s State) {
	t.views.recent = append(t.views.recent, localState{s, now})
	if n := len(t.views.recent); n > recentStates {
		t.views.recent = t.views.recent[n-recentStates:]
	}
}

// Settled reports whether every live host has acknowledged s, or the bounded
// wait since s became the local state has ended. A state that was never local
// is not settled.
func (t *Table) Settled(now time.Time, s State) bool {
	t.start()
	t.rebuild()
	for i := len(t.views.recent) - 1; i >= 0; i-- {
		r := t.views.recent[i]
		if r.state == s {
			return t.views.complete || now.Sub(r.since) >= t.timing.Settle
		}
	}
	return false
}

// awaitingAcks reports whether the local state still waits for acknowledgements.
func (t *Table) awaitingAcks(now time.Time) bool {
	t.rebuild()
	return !t.views.complete && now.Sub(t.views.since) < t.timing.Settle
}

// readState takes in the view version that a member has announced itself.
func (t *Table) readState(m *member, s State) {
	m.State = s
	if s == t.views.local {
		m.acked = true
	}
}

// acks returns who has acknowledged the local state.
func (t *Table) acks() Acks {
	a := Acks{List: t.list, Complete: t.views.complete}
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

// readAcks merges what the sender knows of acknowledgements. It counts only
// when both hold the same list of live hosts and the same state.
func (t *Table) readAcks(h *Header) {
	if t.views.complete && h.State == t.views.local {
		return
	}
	if h.Acks.List == t.list && h.State == t.views.local {
		for i, host := range t.hosts {
			m := t.members[host.ID]
			if m == nil || !(h.Acks.Complete || bit(h.Acks.Bits, i)) {
				continue
			}
			m.acked = true
			if h.State.follows(m.State) {
				m.State = h.State
			}
		}
	}
	t.countAcks()
}

// knowsMoreAcks reports whether the sender waits for acknowledgements of the
// same state that this host knows to be complete.
func (t *Table) knowsMoreAcks(h *Header) bool {
	return t.views.complete && !h.Acks.Complete && h.Acks.List == t.list && h.State == t.views.local
}

func bit(b []byte, i int) bool {
	return i/8 < len(b) && b[i/8]&(1<<(i%8)) != 0
}

// countAcks decides anew whether the local state is complete.
func (t *Table) countAcks() {
	complete := true
	for _, m := range t.peers {
		complete = complete && m.acked
	}
	if complete != t.views.complete {
		t.views.complete = complete
		t.version++
	}
}
