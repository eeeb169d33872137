package flow

import (
	"slices"
	"time"

	"github.com/rattanthread/rattanthread/fleet"
)

// service is what the control goroutine keeps about one service.
type service struct {
	index   uint16
	name    fleet.ServiceName
	current Service // as in the view
	present bool    // in the view
	ids     []fleet.ServerID
	byID    map[fleet.ServerID]uint16
	shares  []share
	digest  uint64
	target  []uint16
	agreed  []uint16
	epochs  map[uint16]uint32
	splits  map[uint16]*slotState
	ordered []*slotState // the splits by slot; nil when it must be built again
	servers []serverView
	view    *serviceView // nil when it must be built again
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

// serverIndex returns the index of a server, and gives it one if it has none.
// Indexes are not used again, as records refer to them.
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
	s.servers = append(s.servers, serverView{gone: true})
	s.view = nil
	return i
}

// serverID returns the ID of a server index.
func (s *service) serverID(index uint16) fleet.ServerID {
	if int(index) >= len(s.ids) {
		return ""
	}
	return s.ids[index]
}

// updateServices takes in the services of a view.
func (r *Router) updateServices(now time.Time, services []Service) {
	for _, s := range r.services {
		s.present = false
	}
	for i := range services {
		s := r.serviceByName(services[i].Name)
		if s == nil {
			continue
		}
		s.present = true
		if s.target != nil && sameService(&s.current, &services[i]) {
			continue
		}
		r.update(now, s, &services[i])
	}
	for _, s := range r.services {
		if !s.present && s.target != nil {
			r.remove(s)
		}
	}
}

func (r *Router) serviceByName(name fleet.ServiceName) *service {
	if s := r.byName[name]; s != nil {
		return s
	}
	if len(r.services) >= int(noServer) {
		return nil
	}
	s := &service{
		index:  uint16(len(r.services)),
		name:   name,
		byID:   make(map[fleet.ServerID]uint16),
		epochs: make(map[uint16]uint32),
		splits: make(map[uint16]*slotState),
	}
	r.services = append(r.services, s)
	r.byName[name] = s
	return s
}

func sameService(a, b *Service) bool {
	return a.Address == b.Address && a.Protocol == b.Protocol && a.IdleTimeout == b.IdleTimeout &&
		a.SilentTimeout == b.SilentTimeout && slices.Equal(a.Servers, b.Servers)
}

// remove forgets a service that is no longer in the view.
func (r *Router) remove(s *service) {
	for slot := range s.splits {
		r.dropSplit(s, slot)
	}
	s.target, s.agreed, s.shares = nil, nil, nil
	clear(s.epochs)
	s.view = nil
}

// update takes in a changed service. The table is built again only if the
// weights changed.
func (r *Router) update(now time.Time, s *service, from *Service) {
	s.current = *from
	s.current.Servers = slices.Clone(from.Servers)
	s.view = nil
	for i := range s.servers {
		s.servers[i] = serverView{gone: true}
	}
	var shares []share
	for i := range s.current.Servers {
		server := &s.current.Servers[i]
		index := s.serverIndex(server.ID)
		if index == noServer {
			continue
		}
		s.servers[index] = newServerView(s, server)
		if server.Weight > 0 {
			shares = append(shares, newShare(index, server.ID, server.Weight))
		}
	}
	if s.target == nil || !slices.Equal(shares, s.shares) {
		s.shares = shares
		s.target = buildTable(shares)
		s.digest = digestShares(s)
	}
	r.split(now, s)
}

func newServerView(of *service, s *Server) serverView {
	return serverView{
		forward: Decision{
			Action: Forward, Service: of.name, Server: s.ID, Address: s.Address, SilentTimeout: of.silentTimeout(),
		},
		admission: s.Admission,
		weighted:  s.Weight > 0,
		out:       s.Out,
	}
}

func digestShares(s *service) uint64 {
	digest := uint64(len(s.shares))
	for _, share := range s.shares {
		digest = mix(digest^share.seed, uint64(share.weight))
	}
	return digest
}

// tables returns a digest of all tables.
func (r *Router) tables() uint64 {
	var digest uint64
	for _, s := range r.services {
		if s.present {
			digest += mix(newShare(0, fleet.ServerID(s.name), 0).seed, s.digest)
		}
	}
	return digest
}

// split splits the slots of a service whose agreed and target servers differ, or
// whose target does not admit freely. A slot stays split until its owner retires it.
func (r *Router) split(now time.Time, s *service) {
	if s.agreed == nil || !r.synced {
		s.agreed = slices.Clone(s.target)
		for slot := range s.splits {
			r.dropSplit(s, slot)
		}
	}
	for slot, target := range s.target {
		if s.agreed[slot] == noServer {
			s.agreed[slot] = target
		}
		state := s.splits[uint16(slot)]
		switch {
		case state != nil:
			r.retarget(now, s, state)
		case !s.whole(uint16(slot)):
			r.addSplit(now, s, uint16(slot), r.newAuthority())
		}
	}
}

// newAuthority is what the owner of a slot that was just split may decide. A
// host that is not ready may have missed that the slot was split before.
func (r *Router) newAuthority() authority {
	if !r.ready {
		return authorityNone
	}
	return authorityAgreed
}

// whole reports whether a slot needs no split: its one server admits freely.
func (s *service) whole(slot uint16) bool {
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

// retarget notes that the target of a split slot may have changed.
func (r *Router) retarget(now time.Time, s *service, state *slotState) {
	state.live.mu.Lock()
	state.live.lastOther = now
	state.live.mu.Unlock()
	state.preference = s.prefer(state.slot)
	if state.target != s.target[state.slot] {
		state.target = s.target[state.slot]
		state.settled = time.Time{}
	}
}

// addSplit splits a slot. If this host owns it, it has authority at once: none
// but a host that knows of the split could have placed flows elsewhere, and none
// does so before the view is settled.
func (r *Router) addSplit(now time.Time, s *service, slot uint16, a authority) *slotState {
	state := &slotState{slot: slot, live: new(slotFlows), since: now, refreshed: now}
	state.live.lastOther = now
	if agreed := s.agreed[slot]; agreed != noServer && !s.servers[agreed].usable() {
		state.live.lastOther = now.Add(min(0, endLinger-s.idleTimeout()))
	}
	state.preference, state.target = s.prefer(slot), s.target[slot]
	s.splits[slot] = state
	s.view, s.ordered = nil, nil
	r.stats.splits.Add(1)
	r.assignOwner(s, state)
	if state.owner == r.view.Self {
		state.live.grant(a)
	}
	return state
}

// dropSplit makes a slot whole and forgets its records.
func (r *Router) dropSplit(s *service, slot uint16) {
	state := s.splits[slot]
	state.live.mu.Lock()
	state.live.authority = authorityNone
	r.count.Add(int64(-state.live.records.n))
	state.live.records = recordSet{}
	state.live.halfOpen = nil // a traffic goroutine may still hold an older snapshot
	state.live.mu.Unlock()
	delete(s.splits, slot)
	s.view, s.ordered = nil, nil
	r.dirty = true
	r.stats.splits.Add(-1)
}

// prefer ranks the servers of a slot by the cost they draw for it.
func (s *service) prefer(slot uint16) [preferences]uint16 {
	var ranked [preferences]uint16
	var costs [preferences]float64
	fill(ranked[:], noServer)
	for i := range s.shares {
		share := &s.shares[i]
		cost := float64(negativeLog(mix(share.seed, uint64(slot)))) / share.weight
		server := share.index
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

// assignOwners finds the owner and the successor of every split slot.
func (r *Router) assignOwners() {
	for _, s := range r.services {
		for _, state := range s.orderedSplits() {
			r.assignOwner(s, state)
		}
		if len(s.splits) > 0 {
			s.view = nil
		}
	}
	r.dirty = true
}

func (r *Router) assignOwner(s *service, state *slotState) {
	owner, successor := fleet.RendezvousPair(ownerKey(s.name, state.slot), r.owners)
	if successor != state.successor && state.successor != "" {
		state.refreshed = time.Time{}
	}
	state.owner, state.successor = owner, successor
	if owner != r.view.Self {
		state.fetch = 0
	}
	r.seek = true
}

// settle lets the owner of each slot place new flows on its target: every live
// host knows by now that the slot is split.
func (r *Router) settle(now time.Time) {
	for _, s := range r.services {
		for _, state := range s.orderedSplits() {
			state.announced = true
			if state.settled.IsZero() {
				state.settled = now
			}
			if state.live.current() == authorityAgreed {
				state.live.grant(authorityFull)
			}
		}
	}
}

// publish makes the state of the control goroutine visible to the traffic goroutines.
func (r *Router) publish() {
	next := &snapshot{ready: r.ready, services: make(map[addressKey]*serviceView, len(r.services))}
	for _, s := range r.services {
		if !s.present {
			continue
		}
		if s.view == nil {
			s.view = s.build(r.view.Self)
		}
		key := newAddressKey(s.current.Address, s.current.Protocol)
		if next.services[key] == nil {
			next.services[key] = s.view
		}
	}
	r.snapshot.Store(next)
	r.dirty = false
}

// build makes the view of a service for the traffic goroutines.
func (s *service) build(self fleet.HostID) *serviceView {
	v := &serviceView{
		index:   s.index,
		name:    s.name,
		idle:    s.idleTimeout(),
		slots:   make([]slotEntry, SlotCount),
		servers: slices.Clone(s.servers),
	}
	for slot, agreed := range s.agreed {
		state := s.splits[uint16(slot)]
		if state == nil {
			v.slots[slot] = newSlotEntry(agreed, -1)
			continue
		}
		v.slots[slot] = newSlotEntry(agreed, len(v.splits))
		v.splits = append(v.splits, split{
			slot: uint16(slot), agreed: agreed, target: s.target[slot],
			owned: state.owner == self, owner: state.owner, since: state.since,
			preference: state.preference, live: state.live,
		})
	}
	return v
}
