package flow

import (
	"maps"
	"slices"
	"time"

	"github.com/rattanthread/rattanthread/fleet"
)

const (
	// fetchRetryInterval is how long to wait for responses before a retry.
	fetchRetryInterval = 500 * time.Millisecond
	// fetchTimeout is how long a new owner waits for responses before it decides
	// without those that are missing.
	fetchTimeout = 3 * time.Second
	// maxFlowsPerMessage limits the flows in one message.
	maxFlowsPerMessage = 4096
	// handedTTL is how long a handed flow is reported to new owners.
	handedTTL = 10 * time.Second
	// settleMargin is how much later than another host a host may learn that a
	// view is settled.
	settleMargin = time.Second
)

// fetch is a new owner's request for records to all its peers.
type fetch struct {
	message     *Fetch
	since, sent time.Time
	pending     map[fleet.HostID]map[int]bool // by peer that has not responded in full, the parts received
	// handed are new flows that were handed off to the former owners; held are the
	// slots whose former owners have responded.
	handed []ServiceRecords
	held   map[slotKey]bool
}

// slotKey identifies a slot of a service.
type slotKey struct {
	service fleet.ServiceName
	slot    uint16
}

// startFetches requests the records of newly owned slots from all peers.
func (r *Router) startFetches(now time.Time) []fleet.Send {
	if !r.ready || !r.fetchNeeded {
		return nil
	}
	r.fetchNeeded = false
	var services []ServiceSlots
	for _, svc := range r.services {
		if slots := r.slotsToFetch(svc, r.fetchID+1); len(slots) > 0 {
			services = append(services, ServiceSlots{Service: svc.name, Slots: slots})
		}
	}
	if len(services) == 0 {
		return nil
	}
	r.fetchID++
	fetch := &fetch{since: now, pending: make(map[fleet.HostID]map[int]bool), held: make(map[slotKey]bool)}
	fetch.message = &Fetch{ID: r.fetchID, Services: services}
	r.fetches[r.fetchID] = fetch
	for _, peer := range r.peers() {
		fetch.pending[peer] = make(map[int]bool)
	}
	if len(fetch.pending) == 0 {
		r.completeFetch(now, fetch)
	}
	return r.sendFetch(now, fetch)
}

// slotsToFetch returns the slots that this host owns without authority and is not
// fetching yet, and marks them with the ID of the fetch.
func (r *Router) slotsToFetch(svc *service, id uint64) []uint16 {
	var slots []uint16
	for _, state := range svc.splitsBySlot() {
		if state.owner == r.view.Self && state.fetch == 0 && state.flows.currentAuthority() == authorityNone {
			state.fetch = id
			state.flows.grant(authorityNone)
			slots = append(slots, state.slot)
		}
	}
	return slots
}

func (r *Router) sendFetch(now time.Time, fetch *fetch) []fleet.Send {
	fetch.sent = now
	var sends []fleet.Send
	for _, peer := range r.peers() {
		if fetch.pending[peer] != nil {
			sends = append(sends, fleet.Send{To: peer, Message: fetch.message})
		}
	}
	return sends
}

// repeatFetches retries fetches, and completes those that have timed out or only
// wait for hosts that are no longer live.
func (r *Router) repeatFetches(now time.Time) []fleet.Send {
	var sends []fleet.Send
	for _, id := range slices.Sorted(maps.Keys(r.fetches)) {
		fetch := r.fetches[id]
		for peer := range fetch.pending {
			if !slices.Contains(r.view.Hosts, peer) {
				delete(fetch.pending, peer)
			}
		}
		switch {
		case len(fetch.pending) == 0:
			r.completeFetch(now, fetch)
		case now.Sub(fetch.since) >= fetchTimeout:
			r.stats.fetchTimeouts.Add(1)
			r.completeFetch(now, fetch)
		case now.Sub(fetch.sent) >= fetchRetryInterval:
			sends = append(sends, r.sendFetch(now, fetch)...)
		}
	}
	return sends
}

// completeFetch gives this host authority over the slots of a fetch.
func (r *Router) completeFetch(now time.Time, fetch *fetch) {
	delete(r.fetches, fetch.message.ID)
	r.addOwnHanded(now, fetch)
	for i := range fetch.handed {
		r.recordHanded(now, fetch, &fetch.handed[i])
	}
	for _, requested := range fetch.message.Services {
		svc := r.byName[requested.Service]
		for _, slot := range requested.Slots {
			state := svc.splits[slot]
			if state == nil || state.fetch != fetch.message.ID {
				continue
			}
			state.fetch = 0
			state.flows.mu.Lock()
			state.flows.lastOffTarget, state.flows.acquired = now, now
			state.flows.mu.Unlock()
			if state.acknowledged || r.view.Settled {
				state.flows.grant(authorityFull)
			} else {
				state.flows.grant(authorityAgreed)
			}
		}
	}
	r.dirty = true
}

// addOwnHanded adds the new flows that this host handed off to the former owners.
func (r *Router) addOwnHanded(now time.Time, fetch *fetch) {
	builder := newRecordsBuilder()
	for i := range fetch.message.Services {
		requested := &fetch.message.Services[i]
		if svc := r.byName[requested.Service]; svc.present {
			r.addHanded(now, builder, svc, requested.Slots)
		}
	}
	for _, message := range builder.messages() {
		fetch.handed = append(fetch.handed, message.Services...)
		fetch.addHeld(message.Services)
	}
}

// recordHanded records new flows that the former owner placed but did not copy
// before it failed. It assumes that the former owner chose the server that this
// host would choose.
func (r *Router) recordHanded(now time.Time, fetch *fetch, records *ServiceRecords) {
	svc := r.byName[records.Service]
	if svc == nil || !svc.present {
		return
	}
	for _, hash := range records.Handed {
		state := svc.splits[slotOf(hash)]
		if state == nil || state.settled.IsZero() || fetch.held[slotKey{svc.name, state.slot}] {
			continue
		}
		server := svc.freelyAdmittingServer(state)
		if server == noServer || server == svc.agreed[state.slot] {
			continue
		}
		state.flows.addHalfOpen(halfOpenRecord{record: record{hash: hash, seen: seconds(now), server: server}})
	}
}

// freelyAdmittingServer returns the server that a new flow of a slot gets without
// credit: the first in the slot's order of preference that admits freely.
func (s *service) freelyAdmittingServer(state *slotState) uint16 {
	for _, server := range append([]uint16{s.target[state.slot]}, state.preference[:]...) {
		if server == noServer {
			continue
		}
		if entry := &s.servers[server]; entry.usable() && entry.admission == AdmitFreely {
			return server
		}
	}
	return noServer
}

// addHalfOpen adds a half-open flow, unless the flow is already recorded.
func (f *slotFlows) addHalfOpen(rec halfOpenRecord) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.halfOpen == nil || f.records.find(rec.hash) != nil || f.halfOpen.find(rec.hash, rec.seen) != nil {
		return
	}
	f.halfOpen.insert(rec)
}

// receiveFetch releases the slots that a new owner requests, and responds with
// their records. The request needs no check: both hosts are alive, and the one of
// the two with the higher rendezvous score for a slot ranks higher in any list of
// hosts that has both.
func (r *Router) receiveFetch(now time.Time, from fleet.HostID, request *Fetch) []fleet.Send {
	delete(r.leaving, from)
	if !slices.Contains(r.view.Hosts, from) {
		r.alive[from] = now
	}
	if r.updateOwners(now) {
		r.assignOwners()
	}
	builder := newRecordsBuilder()
	for i := range request.Services {
		r.releaseSlots(now, builder, request.ID, &request.Services[i])
	}
	var sends []fleet.Send
	messages := builder.messages()
	for part, message := range messages {
		message.ID, message.Part, message.Parts = request.ID, part, len(messages)
		sends = append(sends, fleet.Send{To: from, Message: message})
	}
	return sends
}

func (r *Router) releaseSlots(now time.Time, builder *recordsBuilder, id uint64, requested *ServiceSlots) {
	svc := r.byName[requested.Service]
	if svc == nil || !svc.present {
		return
	}
	var retired, held []uint16
	for _, slot := range requested.Slots {
		if slot >= SlotCount {
			continue
		}
		if svc.epochs[slot] > 0 {
			retired = append(retired, slot)
		}
		if state := svc.splits[slot]; state != nil && r.ready {
			if state.flows.release() != authorityNone {
				state.released = id
				r.fetchNeeded = true
			}
			if state.released == id {
				held = append(held, slot)
			}
			builder.addSlotRecords(svc, state.flows, seconds(now))
		}
	}
	records := builder.serviceRecords(svc)
	records.Agreed = append(records.Agreed, svc.agreedSlots(retired)...)
	records.Held = append(records.Held, held...)
	r.addHanded(now, builder, svc, requested.Slots)
}

// addHanded adds the new flows of some slots that this host recently handed off.
func (r *Router) addHanded(now time.Time, builder *recordsBuilder, svc *service, slots []uint16) {
	requested := make(map[uint16]bool, len(slots))
	for _, slot := range slots {
		requested[slot] = true
	}
	r.handedFlows.each(func(handed handedFlow) {
		if handed.service == svc.index && requested[slotOf(handed.hash)] && r.shouldReportHanded(now, svc, handed) {
			records := builder.serviceRecords(svc)
			records.Handed = append(records.Handed, handed.hash)
		}
	})
}

// shouldReportHanded reports whether a handed flow is recent and was handed off at
// least settleMargin after the split was settled. Before that, the flow was placed
// on the agreed server; the margin is needed because the owner may learn earlier
// or later than this host that a view is settled.
func (r *Router) shouldReportHanded(now time.Time, svc *service, handed handedFlow) bool {
	state := svc.splits[slotOf(handed.hash)]
	if state == nil || state.settled.IsZero() || handed.handedAt.Sub(state.settled) < settleMargin {
		return false
	}
	return now.Sub(handed.handedAt) <= handedTTL
}

// receiveRecords merges records sent without request, or a response to a fetch.
func (r *Router) receiveRecords(now time.Time, from fleet.HostID, message *Records) {
	if message.ID == 0 {
		for i := range message.Services {
			r.merge(now, &message.Services[i], recordCopy)
		}
		return
	}
	fetch := r.fetches[message.ID]
	if fetch == nil || fetch.pending[from] == nil {
		return
	}
	if !fetch.pending[from][message.Part] {
		fetch.pending[from][message.Part] = true
		for i := range message.Services {
			r.merge(now, &message.Services[i], 0)
		}
		fetch.handed = append(fetch.handed, message.Services...)
		fetch.addHeld(message.Services)
	}
	if len(fetch.pending[from]) >= message.Parts {
		delete(fetch.pending, from)
	}
	if len(fetch.pending) == 0 {
		r.completeFetch(now, fetch)
	}
}

func (f *fetch) addHeld(services []ServiceRecords) {
	for i := range services {
		for _, slot := range services[i].Held {
			f.held[slotKey{services[i].Service, slot}] = true
		}
	}
}

// merge merges the records of another host into those of this host.
func (r *Router) merge(now time.Time, records *ServiceRecords, flags recordFlags) {
	svc := r.byName[records.Service]
	if svc == nil || !svc.present {
		return
	}
	r.applyAgreed(records.Agreed, svc)
	for _, flows := range records.Established {
		server := svc.serverIndex(flows.Server)
		for _, hash := range flows.Flows {
			if state := svc.splits[slotOf(hash)]; state != nil && server != noServer {
				r.mergeRecord(state.flows, record{hash: hash, seen: seconds(now), server: server, flags: flags})
			}
		}
	}
	for _, flows := range records.HalfOpen {
		server := svc.serverIndex(flows.Server)
		for _, hash := range flows.Flows {
			if state := svc.splits[slotOf(hash)]; state != nil && server != noServer {
				state.flows.addHalfOpen(halfOpenRecord{record: record{hash: hash, seen: seconds(now), server: server}})
			}
		}
	}
}

// mergeRecord merges a record. A host with authority keeps its own record;
// otherwise the new record replaces the old one.
func (r *Router) mergeRecord(flows *slotFlows, from record) {
	flows.mu.Lock()
	defer flows.mu.Unlock()
	if old := flows.records.find(from.hash); old != nil {
		if flows.authority == authorityNone {
			old.server, old.seen = from.server, from.seen
		}
		return
	}
	if !r.hasRoom() {
		r.stats.copiesRefused.Add(1)
		return
	}
	flows.records.insert(from)
	r.recordCount.Add(1)
}
