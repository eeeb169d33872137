package flow

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/rattanthread/rattanthread/fleet"
)

const (
	// syncRetryInterval is how long to wait for a peer's response before asking
	// the next.
	syncRetryInterval = 500 * time.Millisecond
	// syncTimeout is how long a newly started host asks its peers before it
	// becomes ready without a response.
	syncTimeout = 5 * time.Second
	// maxSlotsPerMessage limits the slots in one message.
	maxSlotsPerMessage = 4096
)

// syncState is the progress of fetching the list of split slots from a peer.
type syncState struct {
	since, sent  time.Time
	peer         fleet.HostID
	nextPeer     int
	unreadyPeers map[fleet.HostID]bool
	parts        map[int]*Splits
}

// repeatSync requests the split slots from the next peer when a request is due. It
// makes the host ready if it has no peers, or after syncTimeout.
func (r *Router) repeatSync(now time.Time) []fleet.Send {
	peers := r.peers()
	if len(peers) == 0 {
		r.setReady()
		return nil
	}
	if now.Sub(r.sync.since) >= syncTimeout {
		r.stats.unsynced.Store(1)
		r.setReady()
		return nil
	}
	if now.Sub(r.sync.sent) < syncRetryInterval {
		return nil
	}
	return r.requestSplits(now, peers)
}

func (r *Router) requestSplits(now time.Time, peers []fleet.HostID) []fleet.Send {
	r.sync.peer = peers[r.sync.nextPeer%len(peers)]
	r.sync.nextPeer++
	r.sync.sent = now
	r.sync.parts = make(map[int]*Splits)
	return []fleet.Send{{To: r.sync.peer, Message: new(SplitsRequest)}}
}

func (r *Router) setReady() {
	r.ready = true
	r.synced = true
	r.dirty = true
}

// Resync fetches the split slots again. It must be called when peers may have
// considered this host dead: after a pause, or when it refutes a suspicion. The
// host releases its authority and drops all packets until a peer has responded;
// it keeps its records.
func (r *Router) Resync(now time.Time) []fleet.Send {
	if !r.ready {
		return nil
	}
	r.ready = false
	r.sync = syncState{since: now}
	clear(r.fetches)
	for _, svc := range r.services {
		for _, state := range svc.splits {
			state.flows.release()
			state.fetch, state.acknowledged, state.settled = 0, false, time.Time{}
		}
	}
	sends := r.repeatSync(now)
	r.publish()
	return sends
}

// receiveSplitsRequest responds with the split slots.
func (r *Router) receiveSplitsRequest(to fleet.HostID) []fleet.Send {
	messages := []*Splits{{Ready: r.ready}}
	slots := 0
	for _, svc := range r.services {
		if !r.ready || !svc.present || len(svc.splits) == 0 {
			continue
		}
		if slots >= maxSlotsPerMessage {
			messages, slots = append(messages, &Splits{Ready: true}), 0
		}
		last := messages[len(messages)-1]
		last.Services = append(last.Services, ServiceSplits{Service: svc.name, Agreed: svc.agreedSlots(svc.splitSlotNumbers())})
		slots += len(svc.splits)
	}
	var sends []fleet.Send
	for i, message := range messages {
		message.Tables, message.Part, message.Parts = r.tablesDigest(), i, len(messages)
		sends = append(sends, fleet.Send{To: to, Message: message})
	}
	return sends
}

// splitSlotNumbers returns the split slots in order.
func (s *service) splitSlotNumbers() []uint16 {
	slots := make([]uint16, 0, len(s.splits))
	for _, state := range s.splitsBySlot() {
		slots = append(slots, state.slot)
	}
	return slots
}

// splitsBySlot returns the splits ordered by slot. The caller must not modify the
// slice; it does not change when splits are added or dropped.
func (s *service) splitsBySlot() []*slotState {
	if s.sortedSplits == nil && len(s.splits) > 0 {
		s.sortedSplits = slices.SortedFunc(maps.Values(s.splits), func(a, b *slotState) int {
			return cmp.Compare(a.slot, b.slot)
		})
	}
	return s.sortedSplits
}

// agreedSlots groups slots by their agreed server and epoch.
func (s *service) agreedSlots(slots []uint16) []AgreedSlots {
	type group struct {
		server uint16
		epoch  uint32
	}
	indexes := make(map[group]int)
	var groups []AgreedSlots
	for _, slot := range slots {
		key := group{s.agreed[slot], s.epochs[slot]}
		i, ok := indexes[key]
		if !ok {
			i = len(groups)
			indexes[key] = i
			groups = append(groups, AgreedSlots{Server: s.serverID(key.server), Epoch: key.epoch})
		}
		groups[i].Slots = append(groups[i].Slots, slot)
	}
	return groups
}

// receiveSplits applies a peer's list of split slots. It ignores the list unless
// the peer has the same tables: otherwise a slot that is split on this host could
// be unsplit on the peer.
func (r *Router) receiveSplits(now time.Time, from fleet.HostID, message *Splits) {
	if r.ready || from != r.sync.peer {
		return
	}
	if !message.Ready {
		r.peerUnready(from)
		return
	}
	if message.Tables != r.tablesDigest() || message.Parts < 1 {
		return
	}
	r.sync.parts[message.Part] = message
	if len(r.sync.parts) < message.Parts {
		return
	}
	listed := make(map[slotKey]bool)
	for _, part := range r.sync.parts {
		for i := range part.Services {
			r.applySplits(now, &part.Services[i], listed)
		}
	}
	r.dropUnlisted(listed)
	r.setReady()
}

// dropUnlisted ends the splits that the peer does not have. The peer has the same
// tables, so the agreed server of these slots is their target.
func (r *Router) dropUnlisted(listed map[slotKey]bool) {
	for _, svc := range r.services {
		for _, slot := range svc.splitSlotNumbers() {
			if listed[slotKey{svc.name, slot}] {
				continue
			}
			svc.agreed[slot] = svc.target[slot]
			if svc.needsNoSplit(slot) {
				r.dropSplit(svc, slot)
			}
		}
	}
}

// peerUnready records that a peer does not have the split slots either. If no peer
// has them, all hosts have just started and no slot is split.
func (r *Router) peerUnready(peer fleet.HostID) {
	if r.sync.unreadyPeers == nil {
		r.sync.unreadyPeers = make(map[fleet.HostID]bool)
	}
	r.sync.unreadyPeers[peer] = true
	r.sync.sent = time.Time{}
	for _, peer := range r.peers() {
		if !r.sync.unreadyPeers[peer] {
			return
		}
	}
	r.setReady()
}

func (r *Router) applySplits(now time.Time, splits *ServiceSplits, listed map[slotKey]bool) {
	svc := r.byName[splits.Service]
	if svc == nil || !svc.present {
		return
	}
	for _, group := range splits.Agreed {
		for _, slot := range group.Slots {
			if slot >= SlotCount {
				continue
			}
			listed[slotKey{svc.name, slot}] = true
			svc.agreed[slot], svc.epochs[slot] = svc.serverIndex(group.Server), group.Epoch
			if svc.splits[slot] == nil {
				r.addSplit(now, svc, slot, authorityNone)
			}
		}
	}
	svc.view = nil
}
