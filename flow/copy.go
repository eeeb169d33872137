package flow

import (
	"slices"
	"time"

	"github.com/rattanthread/rattanthread/fleet"
)

const (
	// copyInterval is how often records are copied to the successors.
	copyInterval = 500 * time.Millisecond
	// copiedFlowBytes is the size of a flow in a message.
	copiedFlowBytes = 9
	// messageOverheadBytes is the approximate size of a message without its flows.
	messageOverheadBytes = 80
)

// copier limits the copying of records to successors to a budget of bytes.
type copier struct {
	last   time.Time
	budget int
}

// copyRecords sends the queued records, oldest first, so that flows which have
// ended in the meantime cost nothing, and then refreshes the copies of slots that
// are due.
func (r *Router) copyRecords(now time.Time) []fleet.Send {
	copier := &r.copier
	if copier.last.IsZero() {
		copier.last = now
	}
	elapsed := now.Sub(copier.last)
	if elapsed < copyInterval {
		return nil
	}
	copier.last = now
	rate := r.Limits.ControlBytes
	if rate == 0 {
		rate = defaultControlBytes
	}
	copier.budget = min(copier.budget+int(float64(rate)*elapsed.Seconds()), 2*rate)
	builders := make(map[fleet.HostID]*recordsBuilder)
	r.copyQueued(now, builders, func() bool { return copier.budget > 0 })
	r.refreshCopies(now, builders)
	return r.sendCopies(builders)
}

// flushCopies sends all queued records, regardless of the budget.
func (r *Router) flushCopies(now time.Time) []fleet.Send {
	builders := make(map[fleet.HostID]*recordsBuilder)
	r.copyQueued(now, builders, func() bool { return true })
	return r.sendCopies(builders)
}

func (r *Router) copyQueued(now time.Time, builders map[fleet.HostID]*recordsBuilder, more func() bool) {
	for more() {
		queued, ok := r.copyQueue.pop()
		if !ok {
			return
		}
		svc := r.services[queued.service]
		state := svc.splits[slotOf(queued.hash)]
		if state == nil || state.successor == "" {
			continue
		}
		state.flows.mu.Lock()
		found := state.flows.records.find(queued.hash)
		if found != nil && found.flags&recordClosed == 0 && !found.expired(seconds(now), svc.idleTimeout()) {
			r.builderFor(builders, state.successor).addEstablished(svc, *found)
			r.copier.budget -= copiedFlowBytes
		}
		state.flows.mu.Unlock()
	}
}

// builderFor returns the builder of the messages to a host, and charges the
// budget for a new one.
func (r *Router) builderFor(builders map[fleet.HostID]*recordsBuilder, to fleet.HostID) *recordsBuilder {
	if builders[to] == nil {
		builders[to] = newRecordsBuilder()
		r.copier.budget -= messageOverheadBytes
	}
	return builders[to]
}

// refreshCopies copies all records of the slots whose last such copy is an idle
// timeout old, or whose successor is new.
func (r *Router) refreshCopies(now time.Time, builders map[fleet.HostID]*recordsBuilder) {
	for _, svc := range r.services {
		idle := svc.idleTimeout()
		for _, state := range svc.splitsBySlot() {
			if r.copier.budget <= 0 {
				return
			}
			if state.owner != r.view.Self || state.successor == "" || now.Sub(state.refreshed) < idle {
				continue
			}
			state.refreshed = now
			if state.flows.currentAuthority() != authorityNone {
				r.refreshSlot(now, svc, state, builders)
			}
		}
	}
}

func (r *Router) refreshSlot(now time.Time, svc *service, state *slotState, builders map[fleet.HostID]*recordsBuilder) {
	flows := state.flows
	flows.mu.Lock()
	defer flows.mu.Unlock()
	if flows.records.count == 0 {
		return
	}
	builder := r.builderFor(builders, state.successor)
	for _, rec := range flows.records.records {
		if rec.flags == 0 || rec.flags&recordClosed != 0 || rec.expired(seconds(now), svc.idleTimeout()) {
			continue
		}
		builder.addEstablished(svc, rec)
		r.copier.budget -= copiedFlowBytes
	}
}

func (r *Router) sendCopies(builders map[fleet.HostID]*recordsBuilder) []fleet.Send {
	var sends []fleet.Send
	for _, host := range r.eligibleOwners {
		if builders[host] == nil {
			continue
		}
		for _, message := range builders[host].messages() {
			if len(message.Services) > 0 {
				sends = append(sends, fleet.Send{To: host, Message: message})
			}
		}
	}
	return sends
}

// recordsBuilder packs flow records into messages of bounded size.
type recordsBuilder struct {
	built []*Records
	flows int
}

func newRecordsBuilder() *recordsBuilder {
	return &recordsBuilder{built: []*Records{{}}}
}

func (b *recordsBuilder) messages() []*Records { return b.built }

// serviceRecords returns the records of a service in the current message. Each
// call counts as one flow.
func (b *recordsBuilder) serviceRecords(svc *service) *ServiceRecords {
	if b.flows >= maxFlowsPerMessage {
		b.built = append(b.built, new(Records))
		b.flows = 0
	}
	b.flows++
	message := b.built[len(b.built)-1]
	for i := range message.Services {
		if message.Services[i].Service == svc.name {
			return &message.Services[i]
		}
	}
	message.Services = append(message.Services, ServiceRecords{Service: svc.name})
	return &message.Services[len(message.Services)-1]
}

func (b *recordsBuilder) addEstablished(svc *service, rec record) {
	records := b.serviceRecords(svc)
	records.Established = addFlow(records.Established, svc.serverID(rec.server), rec.hash)
}

func addFlow(flows []ServerFlows, server fleet.ServerID, hash uint64) []ServerFlows {
	i := slices.IndexFunc(flows, func(f ServerFlows) bool { return f.Server == server })
	if i < 0 {
		i = len(flows)
		flows = append(flows, ServerFlows{Server: server})
	}
	flows[i].Flows = append(flows[i].Flows, hash)
	return flows
}

// addSlotRecords adds the records of all flows of a slot.
func (b *recordsBuilder) addSlotRecords(svc *service, flows *slotFlows, now uint32) {
	flows.mu.Lock()
	defer flows.mu.Unlock()
	for _, rec := range flows.records.records {
		if rec.flags != 0 && !rec.expired(now, svc.idleTimeout()) {
			b.addEstablished(svc, rec)
		}
	}
	if flows.halfOpen == nil {
		return
	}
	for _, rec := range flows.halfOpen {
		if rec.flags != 0 && now-rec.seen <= halfOpenSeconds {
			records := b.serviceRecords(svc)
			records.HalfOpen = addFlow(records.HalfOpen, svc.serverID(rec.server), rec.hash)
		}
	}
}
