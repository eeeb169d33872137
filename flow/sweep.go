package flow

import (
	"time"

	"github.com/rattanthread/rattanthread/fleet"
)

// sweepPhases is the number of ticks in which every split slot is swept once, and
// the number of ticks between checks for finished splits.
const sweepPhases = 16

// sweep removes expired records from a fraction of the split slots, and releases
// those that other hosts own. It retires all finished splits in one tick, which
// takes fewer messages.
func (r *Router) sweep(now time.Time) []fleet.Send {
	r.sweepPhase = (r.sweepPhase + 1) % sweepPhases
	var sends []fleet.Send
	builders := make(map[fleet.HostID]*recordsBuilder)
	for _, svc := range r.services {
		for _, state := range svc.splitsBySlot() {
			if int(state.slot)%sweepPhases == r.sweepPhase {
				r.expire(now, svc, state)
				r.releaseLost(now, svc, state, builders)
			}
		}
		if r.sweepPhase != 0 {
			continue
		}
		if finished := r.finishedSplits(now, svc); len(finished) > 0 {
			sends = append(sends, r.retire(now, svc, finished)...)
		}
	}
	return append(sends, r.sendCopies(builders)...)
}

// releaseLost releases this host's authority over a slot that another host has
// owned since the last sweep. The new owner's fetch may have been lost, and the
// time in which two hosts have authority must be bounded. The records are sent to
// the new owner.
func (r *Router) releaseLost(now time.Time, svc *service, state *slotState, builders map[fleet.HostID]*recordsBuilder) {
	flows := state.flows
	if state.owner == r.view.Self || state.owner == "" || flows.currentAuthority() == authorityNone {
		state.ownershipLost = false
		return
	}
	if !state.ownershipLost {
		state.ownershipLost = true
		return
	}
	state.ownershipLost = false
	flows.release()
	r.builderFor(builders, state.owner).addSlotRecords(svc, flows, seconds(now))
}

// expire removes the expired records and inquiries of a slot.
func (r *Router) expire(now time.Time, svc *service, state *slotState) {
	state.flows.mu.Lock()
	defer state.flows.mu.Unlock()
	r.recordCount.Add(int64(-state.flows.records.expire(seconds(now), svc.idleTimeout())))
	state.flows.expireInquiries(now)
}

// finishedSplits returns the split slots that this host may retire.
func (r *Router) finishedSplits(now time.Time, svc *service) []uint16 {
	var finished []uint16
	for _, state := range svc.splitsBySlot() {
		if r.splitFinished(now, svc, state) {
			finished = append(finished, state.slot)
		}
	}
	return finished
}

// splitFinished reports whether this host owns the split and may retire it: no flow
// has used a server other than the target for the idle timeout, and the target
// admits freely.
func (r *Router) splitFinished(now time.Time, svc *service, state *slotState) bool {
	target := svc.target[state.slot]
	if state.owner != r.view.Self || target == noServer {
		return false
	}
	if server := &svc.servers[target]; !server.usable() || server.admission != AdmitFreely {
		return false
	}
	flows := state.flows
	flows.mu.Lock()
	defer flows.mu.Unlock()
	if flows.authority != authorityFull {
		return false
	}
	if svc.agreed[state.slot] == target && flows.onlyOn(target) {
		return true // unrecorded flows are on the agreed server as well
	}
	return now.Sub(flows.lastOffTarget) > svc.idleTimeout()
}

// onlyOn reports whether every recorded or half-open flow is on server.
func (f *slotFlows) onlyOn(server uint16) bool {
	if !f.records.onlyOn(server) {
		return false
	}
	return f.halfOpen == nil || f.halfOpen.onlyOn(server)
}

// retire ends the splits of slots and announces this to all peers. A peer that
// misses the message keeps handing off the packets of these slots, which still
// reach the same server.
func (r *Router) retire(now time.Time, svc *service, slots []uint16) []fleet.Send {
	for _, slot := range slots {
		svc.agreed[slot] = svc.target[slot]
		svc.epochs[slot] = max(svc.epochs[slot]+1, seconds(now))
		r.dropSplit(svc, slot)
	}
	r.stats.retired.Add(int64(len(slots)))
	message := &Retire{Service: svc.name, Agreed: svc.agreedSlots(slots)}
	var sends []fleet.Send
	for _, peer := range r.peers() {
		sends = append(sends, fleet.Send{To: peer, Message: message})
	}
	return sends
}

func (r *Router) receiveRetire(message *Retire) {
	if svc := r.byName[message.Service]; svc != nil && svc.present && r.ready {
		r.applyAgreed(message.Agreed, svc)
	}
}

// applyAgreed updates the agreed servers of slots whose splits were retired in a
// later epoch than this host has.
func (r *Router) applyAgreed(agreed []AgreedSlots, svc *service) {
	for _, group := range agreed {
		for _, slot := range group.Slots {
			if slot >= SlotCount || group.Epoch <= svc.epochs[slot] {
				continue
			}
			svc.epochs[slot] = group.Epoch
			svc.agreed[slot] = svc.serverIndex(group.Server)
			svc.view = nil
			r.dirty = true
			switch {
			case svc.needsNoSplit(slot) && svc.splits[slot] != nil:
				r.dropSplit(svc, slot)
			case !svc.needsNoSplit(slot) && svc.splits[slot] == nil:
				r.addSplit(time.Time{}, svc, slot, authorityNone)
			}
		}
	}
}
