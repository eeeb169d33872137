package flow

import (
	"slices"
	"time"

	"github.com/rattanthread/rattanthread/fleet"
)

// service is the control goroutine's state of one service.
type service struct {
	index        uint16
	name         fleet.ServiceName
	current      Service // as in the last view that had it
	present      bool    // in the current view
	ids          []fleet.ServerID
	byID         map[fleet.ServerID]uint16
	candidates   []candidate
	digest       uint64
	target       []uint16
	agreed       []uint16
	epochs       map[uint16]uint32
	splits       map[uint16]*slotState
	sortedSplits []*slotState // the splits by slot; nil if it must be rebuilt
	servers      []serverView
	view         *serviceView // nil if it must be rebuilt
}

// idleTimeout returns the idle timeout, or its default.
func (s *service) idleTimeout() time.Duration {
	if s.current.IdleTimeout == 0 {
		return DefaultIdleTimeout
	}
	return s.current.IdleTimeout
}

// silentTimeout returns the silent timeout, or its default.
func (s *service) silentTimeout() time.Duration {
	if s.current.SilentTimeout == 0 {
		return DefaultSilentTimeout
	}
	return s.current.SilentTimeout
}

// serverIndex returns the index of a server, and assigns one if it has none.
// Indexes are not reused, because records refer to them.
func (s *service) serverIndex(id fleet.ServerID) uint16 {
	if id == "" {
		return noServer
	}
	if i, ok := s.byID[id]; ok {
		return i
	}
	if len(s.ids) >= int(noServer) {
		return noServer
	}
	i := uint16(len(s.ids))
	s.ids = append(s.ids, id)
	s.byID[id] = i
	s.servers = append(s.servers, serverView{removed: true})
	s.view = nil
	return i
}

// serverID returns the ID of the server with an index, or "" if there is none.
func (s *service) serverID(index uint16) fleet.ServerID {
	if int(index) >= len(s.ids) {
		return ""
	}
	return s.ids[index]
}

// updateServices updates the services to those of a view.
func (r *Router) updateServices(now time.Time, services []Service) {
	for _, svc := range r.services {
		svc.present = false
	}
	for i := range services {
		svc := r.serviceByName(services[i].Name)
		if svc == nil {
			continue
		}
		svc.present = true
		if svc.target != nil && sameService(&svc.current, &services[i]) {
			continue
		}
		r.updateService(now, svc, &services[i])
	}
	for _, svc := range r.services {
		if !svc.present && svc.target != nil {
			r.removeService(svc)
		}
	}
}

func (r *Router) serviceByName(name fleet.ServiceName) *service {
	if svc := r.byName[name]; svc != nil {
		return svc
	}
	if len(r.services) >= int(noServer) {
		return nil
	}
	svc := &service{
		index:  uint16(len(r.services)),
		name:   name,
		byID:   make(map[fleet.ServerID]uint16),
		epochs: make(map[uint16]uint32),
		splits: make(map[uint16]*slotState),
	}
	r.services = append(r.services, svc)
	r.byName[name] = svc
	return svc
}

func sameService(a, b *Service) bool {
	return a.Address == b.Address && a.Protocol == b.Protocol && a.IdleTimeout == b.IdleTimeout &&
		a.SilentTimeout == b.SilentTimeout && slices.Equal(a.Servers, b.Servers)
}

// removeService drops the state of a service that is no longer in the view.
func (r *Router) removeService(svc *service) {
	for slot := range svc.splits {
		r.dropSplit(svc, slot)
	}
	svc.target, svc.agreed, svc.candidates = nil, nil, nil
	clear(svc.epochs)
	svc.view = nil
}

// updateService updates a changed service. The table is rebuilt only if the
// servers with slots or their weights changed.
func (r *Router) updateService(now time.Time, svc *service, from *Service) {
	svc.current = *from
	svc.current.Servers = slices.Clone(from.Servers)
	svc.view = nil
	for i := range svc.servers {
		svc.servers[i] = serverView{removed: true}
	}
	var candidates []candidate
	for i := range svc.current.Servers {
		server := &svc.current.Servers[i]
		index := svc.serverIndex(server.ID)
		if index == noServer {
			continue
		}
		svc.servers[index] = newServerView(svc, server)
		if server.Weight > 0 {
			candidates = append(candidates, newCandidate(index, server.ID, server.Weight))
		}
	}
	if svc.target == nil || !slices.Equal(candidates, svc.candidates) {
		svc.candidates = candidates
		svc.target = buildTable(candidates)
		svc.digest = digestCandidates(svc)
	}
	r.splitSlots(now, svc)
}

func newServerView(svc *service, server *Server) serverView {
	return serverView{
		forward: Decision{
			Action: Forward, Service: svc.name, Server: server.ID, Address: server.Address, SilentTimeout: svc.silentTimeout(),
		},
		admission: server.Admission,
		weighted:  server.Weight > 0,
		out:       server.Out,
	}
}

func digestCandidates(svc *service) uint64 {
	digest := uint64(len(svc.candidates))
	for _, candidate := range svc.candidates {
		digest = mixHash(digest^candidate.seed, uint64(candidate.weight))
	}
	return digest
}

// tablesDigest returns a digest of the tables of all services.
func (r *Router) tablesDigest() uint64 {
	var digest uint64
	for _, svc := range r.services {
		if svc.present {
			digest += mixHash(newCandidate(0, fleet.ServerID(svc.name), 0).seed, svc.digest)
		}
	}
	return digest
}

// splitSlots splits the slots of a service whose agreed and target servers differ,
// or whose target does not admit freely. A slot stays split until its owner
// retires the split.
func (r *Router) splitSlots(now time.Time, svc *service) {
	if svc.agreed == nil || !r.synced {
		svc.agreed = slices.Clone(svc.target)
		for slot := range svc.splits {
			r.dropSplit(svc, slot)
		}
	}
	for slot, target := range svc.target {
		if svc.agreed[slot] == noServer {
			svc.agreed[slot] = target
		}
		state := svc.splits[uint16(slot)]
		switch {
		case state != nil:
			r.retarget(now, svc, state)
		case !svc.needsNoSplit(uint16(slot)):
			r.addSplit(now, svc, uint16(slot), r.newAuthority())
		}
	}
}

// newAuthority returns the authority of the owner of a newly split slot. A host
// that is not ready has none: the slot may have been split before.
func (r *Router) newAuthority() authority {
	if !r.ready {
		return authorityNone
	}
	return authorityAgreed
}

// needsNoSplit reports whether the agreed server of a slot is its target and
// admits freely.
func (s *service) needsNoSplit(slot uint16) bool {
	target := s.target[slot]
	if s.agreed[slot] != target {
		return false
	}
	if target == noServer {
		return true
	}
	server := &s.servers[target]
	return server.usable() && server.admission == AdmitFreely
}

// retarget updates a split slot whose target may have changed.
func (r *Router) retarget(now time.Time, svc *service, state *slotState) {
	state.flows.mu.Lock()
	state.flows.lastOffTarget = now
	state.flows.mu.Unlock()
	state.preference = svc.rankServers(state.slot)
	if state.target != svc.target[state.slot] {
		state.target = svc.target[state.slot]
		state.settled = time.Time{}
	}
}

// addSplit splits a slot. If this host owns the slot, it gets the initial
// authority at once: only a host that has the split could have placed flows on
// another server, and none does so before the view is settled.
func (r *Router) addSplit(now time.Time, svc *service, slot uint16, initial authority) *slotState {
	state := &slotState{slot: slot, flows: new(slotFlows), since: now, refreshed: now}
	state.flows.lastOffTarget = now
	if agreed := svc.agreed[slot]; agreed != noServer && !svc.servers[agreed].usable() {
		state.flows.lastOffTarget = now.Add(min(0, resetLinger-svc.idleTimeout()))
	}
	state.preference, state.target = svc.rankServers(slot), svc.target[slot]
	svc.splits[slot] = state
	svc.view, svc.sortedSplits = nil, nil
	r.stats.splits.Add(1)
	r.assignOwner(svc, state)
	if state.owner == r.view.Self {
		state.flows.grant(initial)
	}
	return state
}

// dropSplit ends the split of a slot and drops its records.
func (r *Router) dropSplit(svc *service, slot uint16) {
	state := svc.splits[slot]
	state.flows.mu.Lock()
	state.flows.authority = authorityNone
	r.recordCount.Add(int64(-state.flows.records.count))
	state.flows.records = recordSet{}
	state.flows.halfOpen = nil // a traffic goroutine may still use an older snapshot
	state.flows.mu.Unlock()
	delete(svc.splits, slot)
	svc.view, svc.sortedSplits = nil, nil
	r.dirty = true
	r.stats.splits.Add(-1)
}

// rankServers ranks the servers of a slot by their rendezvous hashing cost.
func (s *service) rankServers(slot uint16) [preferenceCount]uint16 {
	var ranked [preferenceCount]uint16
	var costs [preferenceCount]float64
	fill(ranked[:], noServer)
	for i := range s.candidates {
		candidate := &s.candidates[i]
		cost := float64(negativeLog2(mixHash(candidate.seed, uint64(slot)))) / candidate.weight
		server := candidate.index
		for j := range ranked {
			if ranked[j] == noServer || cost < costs[j] {
				ranked[j], server = server, ranked[j]
				costs[j], cost = cost, costs[j]
			}
			if server == noServer {
				break
			}
		}
	}
	return ranked
}

// assignOwners selects the owner and the successor of every split slot.
func (r *Router) assignOwners() {
	for _, svc := range r.services {
		for _, state := range svc.splitsBySlot() {
			r.assignOwner(svc, state)
		}
		if len(svc.splits) > 0 {
			svc.view = nil
		}
	}
	r.dirty = true
}

func (r *Router) assignOwner(svc *service, state *slotState) {
	owner, successor := fleet.RendezvousPair(ownerKey(svc.name, state.slot), r.eligibleOwners)
	if successor != state.successor && state.successor != "" {
		state.refreshed = time.Time{}
	}
	state.owner, state.successor = owner, successor
	if owner != r.view.Self {
		state.fetch = 0
	}
	r.fetchNeeded = true
}

// settle marks all splits as acknowledged by every live host, so that the owner
// of each slot may place new flows on its target.
func (r *Router) settle(now time.Time) {
	for _, svc := range r.services {
		for _, state := range svc.splitsBySlot() {
			state.acknowledged = true
			if state.settled.IsZero() {
				state.settled = now
			}
			if state.flows.currentAuthority() == authorityAgreed {
				state.flows.grant(authorityFull)
			}
		}
	}
}

// publish makes the control goroutine's state visible to the traffic goroutines.
func (r *Router) publish() {
	next := &snapshot{ready: r.ready, services: make(map[addressKey]*serviceView, len(r.services))}
	for _, svc := range r.services {
		if !svc.present {
			continue
		}
		if svc.view == nil {
			svc.view = svc.buildView(r.view.Self)
		}
		key := newAddressKey(svc.current.Address, svc.current.Protocol)
		if next.services[key] == nil {
			next.services[key] = svc.view
		}
	}
	r.snapshot.Store(next)
	r.dirty = false
}

// buildView builds the view of a service for the traffic goroutines.
func (s *service) buildView(self fleet.HostID) *serviceView {
	view := &serviceView{
		index:       s.index,
		name:        s.name,
		idleTimeout: s.idleTimeout(),
		slots:       make([]slotEntry, SlotCount),
		servers:     slices.Clone(s.servers),
	}
	for slot, agreed := range s.agreed {
		state := s.splits[uint16(slot)]
		if state == nil {
			view.slots[slot] = newSlotEntry(agreed, -1)
			continue
		}
		view.slots[slot] = newSlotEntry(agreed, len(view.splits))
		view.splits = append(view.splits, split{
			slot: uint16(slot), agreed: agreed, target: s.target[slot],
			owned: state.owner == self, owner: state.owner, since: state.since,
			preference: state.preference, flows: state.flows,
		})
	}
	return view
}
