package flow

import (
	"time"

	"github.com/rattanthread/rattanthread/fleet"
)

// sweepShare is the number of ticks in which the records of every split slot are
// visited once, and between looks for splits that are over.
const sweepShare = 16

// sweep drops the records that are due from a share of the split slots and gives
// up those of them that others own. It retires the splits that are over, all at
// once so that it takes few messages.
func (r *Router) sweep(now time.Time) []fleet.Send {
	r.sweepAt = (r.sweepAt + 1) % sweepShare
	var sends []fleet.Send
	given := make(map[fleet.HostID]*recordsBuilder)
	for _, s := range r.services {
		for _, state := range s.orderedSplits() {
			if int(state.slot)%sweepShare == r.sweepAt {
				r.expire(now, s, state)
				r.giveUp(now, s, state, given)
			}
		}
		if r.sweepAt != 0 {
			continue
		}
		if over := r.over(now, s); len(over) > 0 {
			sends = append(sends, r.retire(now, s, over)...)
		}
	}
	return append(sends, r.sendCopies(given)...)
}

// giveUp ends this host's authority over a slot that another host has owned since
// the last visit. The new owner's fetch may never have arrived, and two hosts
// must not both decide for longer than it takes. The new owner is told what was
// decided here.
func (r *Router) giveUp(now time.Time, s *service, state *slotState, given map[fleet.HostID]*recordsBuilder) {
	f := state.live
	if state.owner == r.view.Self || state.owner == "" || f.current() == authorityNone {
		state.lost = false
		return
	}
	if !state.lost {
		state.lost = true
		return
	}
	state.lost = false
	f.release()
	r.builder(given, state.owner).addSlot(s, f, seconds(now))
}

// expire drops the records of a slot that are due.
func (r *Router) expire(now time.Time, s *service, state *slotState) {
	state.live.mu.Lock()
	defer state.live.mu.Unlock()
	r.count.Add(int64(-state.live.records.expire(seconds(now), s.idleTimeout())))
	state.live.expireInquiries(now)
}

// over returns the split slots that this host may retire.
func (r *Router) over(now time.Time, s *service) []uint16 {
	var over []uint16
	for _, state := range s.orderedSplits() {
		if r.isOver(now, s, state) {
			over = append(over, state.slot)
		}
	}
	return over
}

// isOver reports whether this host owns the split and it is over: no flow has used
// another server than the target for the idle timeout, and the target admits freely.
func (r *Router) isOver(now time.Time, s *service, state *slotState) bool {
	target := s.target[state.slot]
	if state.owner != r.view.Self || target == noServer {
		return false
	}
	if server := &s.servers[target]; !server.usable() || server.admission != AdmitFreely {
		return false
	}
	f := state.live
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.authority != authorityFull {
		return false
	}
	if s.agreed[state.slot] == target && f.onlyOn(target) {
		return true // unrecorded flows are on the agreed server, too
	}
	return now.Sub(f.lastOther) > s.idleTimeout()
}

// onlyOn reports whether every recorded flow is on one server.
func (f *slotFlows) onlyOn(server uint16) bool {
	if !f.records.onlyOn(server) {
		return false
	}
	return f.halfOpen == nil || f.halfOpen.onlyOn(server)
}

// retire makes slots whole and tells all peers. A peer that misses it goes on
// handing off the packets of these slots, and they still reach the same server.
func (r *Router) retire(now time.Time, s *service, slots []uint16) []fleet.Send {
	for _, slot := range slots {
		s.agreed[slot] = s.target[slot]
		s.epochs[slot] = max(s.epochs[slot]+1, seconds(now))
		r.dropSplit(s, slot)
	}
	r.stats.retired.Add(int64(len(slots)))
	m := &Retire{Service: s.name, Agreed: s.agreedSlots(slots)}
	var sends []fleet.Send
	for _, peer := range r.peers() {
		sends = append(sends, fleet.Send{To: peer, Message: m})
	}
	return sends
}

func (r *Router) receiveRetire(m *Retire) {
	if s := r.byName[m.Service]; s != nil && s.present && r.ready {
		r.takeAgreed(m.Agreed, s)
	}
}

// takeAgreed takes the agreed servers of slots that were retired since this host
// last heard of them.
func (r *Router) takeAgreed(agreed []AgreedSlots, s *service) {
	for _, a := range agreed {
		for _, slot := range a.Slots {
			if slot >= SlotCount || a.Epoch <= s.epochs[slot] {
				continue
			}
			s.epochs[slot] = a.Epoch
			s.agreed[slot] = s.serverIndex(a.Server)
			s.view = nil
			r.dirty = true
			switch {
			case s.whole(slot) && s.splits[slot] != nil:
				r.dropSplit(s, slot)
			case !s.whole(slot) && s.splits[slot] == nil:
				r.addSplit(time.Time{}, s, slot, authorityNone)
			}
		}
	}
}
