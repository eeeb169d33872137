package flow

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/rattanthread/rattanthread/fleet"
)

const (
	// syncRetry is how long to wait for a peer's answer before asking the next.
	syncRetry = 500 * time.Millisecond
	// syncWait is how long a fresh host asks its peers before it becomes ready
	// without an answer.
	syncWait = 5 * time.Second
	// slotsPerMessage bounds the slots in one message.
	slotsPerMessage = 4096
)

// syncState is how far a fresh host is in learning the split slots.
type syncState struct {
	since, sent time.Time
	peer        fleet.HostID
	next        int
	unready     map[fleet.HostID]bool
	parts       map[int]*Splits
}

// repeatSync asks a peer for the split slots, if none was asked lately.
func (r *Router) repeatSync(now time.Time) []fleet.Send {
	peers := r.peers()
	if len(peers) == 0 {
		r.becomeReady()
		return nil
	}
	if now.Sub(r.sync.since) >= syncWait {
		r.stats.unsynced.Store(1)
		r.becomeReady()
		return nil
	}
	if now.Sub(r.sync.sent) < syncRetry {
		return nil
	}
	return r.askNextPeer(now, peers)
}

func (r *Router) askNextPeer(now time.Time, peers []fleet.HostID) []fleet.Send {
	r.sync.peer = peers[r.sync.next%len(peers)]
	r.sync.next++
	r.sync.sent = now
	r.sync.parts = make(map[int]*Splits)
	return []fleet.Send{{To: r.sync.peer, Message: new(SplitsRequest)}}
}

func (r *Router) becomeReady() {
	r.ready = true
	r.synced = true
	r.dirty = true
}

// Resync makes the host learn the split slots again. It is to be called when
// peers may have taken this host for dead: after a pause, or when it refutes a
// suspicion. The host gives up what it decides about and drops all packets until
// a peer has answered; it keeps its records.
func (r *Router) Resync(now time.Time) []fleet.Send {
	if !r.ready {
		return nil
	}
	r.ready = false
	r.sync = syncState{since: now}
	clear(r.fetches)
	for _, s := range r.services {
		for _, state := range s.splits {
			state.live.release()
			state.fetch, state.announced, state.settled = 0, false, time.Time{}
		}
	}
	sends := r.repeatSync(now)
	r.publish()
	return sends
}

// answerSync tells a fresh host which slots are split.
func (r *Router) answerSync(to fleet.HostID) []fleet.Send {
	messages := []*Splits{{Ready: r.ready}}
	n := 0
	for _, s := range r.services {
		if !r.ready || !s.present || len(s.splits) == 0 {
			continue
		}
		if n >= slotsPerMessage {
			messages, n = append(messages, &Splits{Ready: true}), 0
		}
		last := messages[len(messages)-1]
		last.Services = append(last.Services, ServiceSplits{Service: s.name, Agreed: s.agreedSlots(s.splitSlots())})
		n += len(s.splits)
	}
	var sends []fleet.Send
	for i, m := range messages {
		m.Tables, m.Part, m.Parts = r.tables(), i, len(messages)
		sends = append(sends, fleet.Send{To: to, Message: m})
	}
	return sends
}

// splitSlots returns the split slots in order.
func (s *service) splitSlots() []uint16 {
	slots := make([]uint16, 0, len(s.splits))
	for _, state := range s.orderedSplits() {
		slots = append(slots, state.slot)
	}
	return slots
}

// orderedSplits returns the split slots by slot. The caller must not modify the
// slice; it stays as it is when splits come or go.
func (s *service) orderedSplits() []*slotState {
	if s.ordered == nil && len(s.splits) > 0 {
		s.ordered = slices.SortedFunc(maps.Values(s.splits), func(a, b *slotState) int {
			return cmp.Compare(a.slot, b.slot)
		})
	}
	return s.ordered
}

// agreedSlots groups slots by their agreed server and epoch.
func (s *service) agreedSlots(slots []uint16) []AgreedSlots {
	type group struct {
		server uint16
		epoch  uint32
	}
	at := make(map[group]int)
	var out []AgreedSlots
	for _, slot := range slots {
		g := group{s.agreed[slot], s.epochs[slot]}
		i, ok := at[g]
		if !ok {
			i = len(out)
			at[g] = i
			out = append(out, AgreedSlots{Server: s.serverID(g.server), Epoch: g.epoch})
		}
		out[i].Slots = append(out[i].Slots, slot)
	}
	return out
}

// receiveSplits takes a peer's answer. It counts only if the peer has the same
// tables: with others, its slots could be whole where this host's are split.
func (r *Router) receiveSplits(now time.Time, from fleet.HostID, m *Splits) {
	if r.ready || from != r.sync.peer {
		return
	}
	if !m.Ready {
		r.peerUnready(from)
		return
	}
	if m.Tables != r.tables() || m.Parts < 1 {
		return
	}
	r.sync.parts[m.Part] = m
	if len(r.sync.parts) < m.Parts {
		return
	}
	listed := make(map[slotKey]bool)
	for _, part := range r.sync.parts {
		for i := range part.Services {
			r.applySplits(now, &part.Services[i], listed)
		}
	}
	r.dropUnlisted(listed)
	r.becomeReady()
}

// dropUnlisted makes the slots whole that the peer has whole. It has the same
// tables, so the slot's agreed server is its target.
func (r *Router) dropUnlisted(listed map[slotKey]bool) {
	for _, s := range r.services {
		for _, slot := range s.splitSlots() {
			if listed[slotKey{s.name, slot}] {
				continue
			}
			s.agreed[slot] = s.target[slot]
			if s.whole(slot) {
				r.dropSplit(s, slot)
			}
		}
	}
}

// peerUnready notes that a peer knows no more. When none does, the whole fleet
// is fresh, and no slot is split.
func (r *Router) peerUnready(peer fleet.HostID) {
	if r.sync.unready == nil {
		r.sync.unready = make(map[fleet.HostID]bool)
	}
	r.sync.unready[peer] = true
	r.sync.sent = time.Time{}
	for _, peer := range r.peers() {
		if !r.sync.unready[peer] {
			return
		}
	}
	r.becomeReady()
}

func (r *Router) applySplits(now time.Time, m *ServiceSplits, listed map[slotKey]bool) {
	s := r.byName[m.Service]
	if s == nil || !s.present {
		return
	}
	for _, a := range m.Agreed {
		for _, slot := range a.Slots {
			if slot >= SlotCount {
				continue
			}
			listed[slotKey{s.name, slot}] = true
			s.agreed[slot], s.epochs[slot] = s.serverIndex(a.Server), a.Epoch
			if s.splits[slot] == nil {
				r.addSplit(now, s, slot, authorityNone)
			}
		}
	}
	s.view = nil
}
