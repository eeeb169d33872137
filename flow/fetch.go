package flow

import (
	"maps"
	"slices"
	"time"

	"github.com/rattanthread/rattanthread/fleet"
)

const (
	// fetchRetry is how long to wait for answers before asking again.
	fetchRetry = 500 * time.Millisecond
	// fetchWait is how long a new owner waits for answers before it decides
	// with what it has.
	fetchWait = 3 * time.Second
	// flowsPerMessage bounds the flows in one message.
	flowsPerMessage = 4096
	// handedLife is for how long a handed flow is worth telling.
	handedLife = 10 * time.Second
	// settleMargin is how much later than another host a host may learn that a
	// view is settled.
	settleMargin = time.Second
)

// fetch is a new owner's question to all its peers.
type fetch struct {
	message     *Fetch
	since, sent time.Time
	waiting     map[fleet.HostID]map[int]bool // the parts that came, by peer
	// handed are new flows that were handed to the former owners; held are the
	// slots whose former owners have answered.
	handed []ServiceRecords
	held   map[slotKey]bool
}

// slotKey names a slot of a service.
type slotKey struct {
	service fleet.ServiceName
	slot    uint16
}

// startFetches asks all peers for the flows of the slots that this host owns and
// does not know.
func (r *Router) startFetches(now time.Time) []fleet.Send {
	if !r.ready || !r.seek {
		return nil
	}
	r.seek = false
	var services []ServiceSlots
	for _, s := range r.services {
		if slots := r.unknownSlots(s, r.fetchID+1); len(slots) > 0 {
			services = append(services, ServiceSlots{Service: s.name, Slots: slots})
		}
	}
	if len(services) == 0 {
		return nil
	}
	r.fetchID++
	f := &fetch{since: now, waiting: make(map[fleet.HostID]map[int]bool), held: make(map[slotKey]bool)}
	f.message = &Fetch{ID: r.fetchID, Services: services}
	r.fetches[r.fetchID] = f
	for _, peer := range r.peers() {
		f.waiting[peer] = make(map[int]bool)
	}
	if len(f.waiting) == 0 {
		r.complete(now, f)
	}
	return r.sendFetch(now, f)
}

// unknownSlots returns the slots to fetch, and marks them with the ID of the fetch.
func (r *Router) unknownSlots(s *service, id uint64) []uint16 {
	var slots []uint16
	for _, state := range s.orderedSplits() {
		if state.owner == r.view.Self && state.fetch == 0 && state.live.current() == authorityNone {
			state.fetch = id
			state.live.grant(authorityNone)
			slots = append(slots, state.slot)
		}
	}
	return slots
}

func (r *Router) sendFetch(now time.Time, f *fetch) []fleet.Send {
	f.sent = now
	var sends []fleet.Send
	for _, peer := range r.peers() {
		if f.waiting[peer] != nil {
			sends = append(sends, fleet.Send{To: peer, Message: f.message})
		}
	}
	return sends
}

// repeatFetches asks again, and ends what took too long or waits for hosts that
// are gone.
func (r *Router) repeatFetches(now time.Time) []fleet.Send {
	var sends []fleet.Send
	for _, id := range slices.Sorted(maps.Keys(r.fetches)) {
		f := r.fetches[id]
		for peer := range f.waiting {
			if !slices.Contains(r.view.Hosts, peer) {
				delete(f.waiting, peer)
			}
		}
		switch {
		case len(f.waiting) == 0:
			r.complete(now, f)
		case now.Sub(f.since) >= fetchWait:
			r.stats.fetchTimeouts.Add(1)
			r.complete(now, f)
		case now.Sub(f.sent) >= fetchRetry:
			sends = append(sends, r.sendFetch(now, f)...)
		}
	}
	return sends
}

// complete gives this host authority over the slots of a fetch.
func (r *Router) complete(now time.Time, f *fetch) {
	delete(r.fetches, f.message.ID)
	r.tellHanded(now, f)
	for i := range f.handed {
		r.placeHanded(now, f, &f.handed[i])
	}
	for _, m := range f.message.Services {
		s := r.byName[m.Service]
		for _, slot := range m.Slots {
			state := s.splits[slot]
			if state == nil || state.fetch != f.message.ID {
				continue
			}
			state.fetch = 0
			state.live.mu.Lock()
			state.live.lastOther, state.live.acquired = now, now
			state.live.mu.Unlock()
			if state.announced || r.view.Settled {
				state.live.grant(authorityFull)
			} else {
				state.live.grant(authorityAgreed)
			}
		}
	}
	r.dirty = true
}

// tellHanded adds the flows that this host itself handed to the former owners.
func (r *Router) tellHanded(now time.Time, f *fetch) {
	b := newRecordsBuilder()
	for i := range f.message.Services {
		m := &f.message.Services[i]
		if s := r.byName[m.Service]; s.present {
			r.addHanded(now, b, s, m.Slots)
		}
	}
	for _, m := range b.messages() {
		f.handed = append(f.handed, m.Services...)
		f.addHeld(m.Services)
	}
}

// placeHanded records new flows which the former owner placed, and died before it
// copied them: it placed them where this host would.
func (r *Router) placeHanded(now time.Time, f *fetch, m *ServiceRecords) {
	s := r.byName[m.Service]
	if s == nil || !s.present {
		return
	}
	for _, hash := range m.Handed {
		state := s.splits[slotOf(hash)]
		if state == nil || state.settled.IsZero() || f.held[slotKey{s.name, state.slot}] {
			continue
		}
		server := s.firstFree(state)
		if server == noServer || server == s.agreed[state.slot] {
			continue
		}
		state.live.addHalfOpen(halfOpenRecord{record: record{hash: hash, seen: seconds(now), server: server}})
	}
}

// firstFree returns the server that a new flow of a slot gets without credit.
func (s *service) firstFree(state *slotState) uint16 {
	for _, server := range append([]uint16{s.target[state.slot]}, state.preference[:]...) {
		if server == noServer {
			continue
		}
		if v := &s.servers[server]; v.usable() && v.admission == AdmitFreely {
			return server
		}
	}
	return noServer
}

// addHalfOpen adds a half-open flow that is not known yet.
func (f *slotFlows) addHalfOpen(r halfOpenRecord) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.halfOpen == nil || f.records.find(r.hash) != nil || f.halfOpen.find(r.hash, r.seen) != nil {
		return
	}
	f.halfOpen.insert(r)
}

// answerFetch gives up the slots that a new owner asks for, and tells what is
// known of them. The new owner must be right: both hosts are alive, so whichever
// of the two scores higher for a slot does so in any list that has both.
func (r *Router) answerFetch(now time.Time, from fleet.HostID, m *Fetch) []fleet.Send {
	delete(r.leaving, from)
	if !slices.Contains(r.view.Hosts, from) {
		r.alive[from] = now
	}
	if r.setHosts(now) {
		r.assignOwners()
	}
	b := newRecordsBuilder()
	for i := range m.Services {
		r.releaseSlots(now, b, m.ID, &m.Services[i])
	}
	var sends []fleet.Send
	messages := b.messages()
	for part, message := range messages {
		message.ID, message.Part, message.Parts = m.ID, part, len(messages)
		sends = append(sends, fleet.Send{To: from, Message: message})
	}
	return sends
}

func (r *Router) releaseSlots(now time.Time, b *recordsBuilder, id uint64, m *ServiceSlots) {
	s := r.byName[m.Service]
	if s == nil || !s.present {
		return
	}
	var retired, held []uint16
	for _, slot := range m.Slots {
		if slot >= SlotCount {
			continue
		}
		if s.epochs[slot] > 0 {
			retired = append(retired, slot)
		}
		if state := s.splits[slot]; state != nil && r.ready {
			if state.live.release() != authorityNone {
				state.released = id
				r.seek = true
			}
			if state.released == id {
				held = append(held, slot)
			}
			b.addSlot(s, state.live, seconds(now))
		}
	}
	records := b.service(s)
	records.Agreed = append(records.Agreed, s.agreedSlots(retired)...)
	records.Held = append(records.Held, held...)
	r.addHanded(now, b, s, m.Slots)
}

// addHanded adds the new flows of some slots that this host handed on lately.
func (r *Router) addHanded(now time.Time, b *recordsBuilder, s *service, slots []uint16) {
	asked := make(map[uint16]bool, len(slots))
	for _, slot := range slots {
		asked[slot] = true
	}
	r.handed.each(func(h handedFlow) {
		if h.service == s.index && asked[slotOf(h.hash)] && r.worthTelling(now, s, h) {
			records := b.service(s)
			records.Handed = append(records.Handed, h.hash)
		}
	})
}

// worthTelling reports whether a handed flow is recent, and was handed on well
// after the split was settled: before, it went to the agreed server, and owners
// learn a little earlier or later than this host that a view is settled.
func (r *Router) worthTelling(now time.Time, s *service, h handedFlow) bool {
	state := s.splits[slotOf(h.hash)]
	if state == nil || state.settled.IsZero() || h.at.Sub(state.settled) < settleMargin {
		return false
	}
	return now.Sub(h.at) <= handedLife
}

// receiveRecords takes copies from an owner, or the answer to a fetch.
func (r *Router) receiveRecords(now time.Time, from fleet.HostID, m *Records) {
	if m.ID == 0 {
		for i := range m.Services {
			r.merge(now, &m.Services[i], recordCopy)
		}
		return
	}
	f := r.fetches[m.ID]
	if f == nil || f.waiting[from] == nil {
		return
	}
	if !f.waiting[from][m.Part] {
		f.waiting[from][m.Part] = true
		for i := range m.Services {
			r.merge(now, &m.Services[i], 0)
		}
		f.handed = append(f.handed, m.Services...)
		f.addHeld(m.Services)
	}
	if len(f.waiting[from]) >= m.Parts {
		delete(f.waiting, from)
	}
	if len(f.waiting) == 0 {
		r.complete(now, f)
	}
}

func (f *fetch) addHeld(services []ServiceRecords) {
	for i := range services {
		for _, slot := range services[i].Held {
			f.held[slotKey{services[i].Service, slot}] = true
		}
	}
}

// merge adds records of another host to those of this one.
func (r *Router) merge(now time.Time, m *ServiceRecords, flags recordFlags) {
	s := r.byName[m.Service]
	if s == nil || !s.present {
		return
	}
	r.takeAgreed(m.Agreed, s)
	for _, flows := range m.Established {
		server := s.serverIndex(flows.Server)
		for _, hash := range flows.Flows {
			if state := s.splits[slotOf(hash)]; state != nil && server != noServer {
				r.mergeRecord(state.live, record{hash: hash, seen: seconds(now), server: server, flags: flags})
			}
		}
	}
	for _, flows := range m.HalfOpen {
		server := s.serverIndex(flows.Server)
		for _, hash := range flows.Flows {
			if state := s.splits[slotOf(hash)]; state != nil && server != noServer {
				state.live.addHalfOpen(halfOpenRecord{record: record{hash: hash, seen: seconds(now), server: server}})
			}
		}
	}
}

// mergeRecord adds a record. What a host decided itself goes before what it is
// told; a copy goes before an older copy.
func (r *Router) mergeRecord(f *slotFlows, from record) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if old := f.records.find(from.hash); old != nil {
		if f.authority == authorityNone {
			old.server, old.seen = from.server, from.seen
		}
		return
	}
	if !r.hasRoom() {
		r.stats.copiesRefused.Add(1)
		return
	}
	f.records.insert(from)
	r.count.Add(1)
}
