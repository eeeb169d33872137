package flow

import (
	"slices"
	"time"

	"github.com/rattanthread/rattanthread/fleet"
)

const (
	// copyInterval is the time between copies to the successors.
	copyInterval = 500 * time.Millisecond
	// recordBytes is the size of a flow in a message.
	recordBytes = 9
	// messageBytes is about the size of a message without its flows.
	messageBytes = 80
)

// copier sends records from owners to successors within a budget of bytes.
type copier struct {
	last   time.Time
	budget int
}

// copy sends the records that wait for it, oldest first, so that flows which
// ended meanwhile cost nothing, and then refreshes the copies of a few slots.
func (r *Router) copy(now time.Time) []fleet.Send {
	c := &r.copier
	if c.last.IsZero() {
		c.last = now
	}
	elapsed := now.Sub(c.last)
	if elapsed < copyInterval {
		return nil
	}
	c.last = now
	rate := r.Limits.ControlBytes
	if rate == 0 {
		rate = defaultControlBytes
	}
	c.budget = min(c.budget+int(float64(rate)*elapsed.Seconds()), 2*rate)
	out := make(map[fleet.HostID]*recordsBuilder)
	r.copyWaiting(now, out, func() bool { return c.budget > 0 })
	r.refresh(now, out)
	return r.sendCopies(out)
}

// flushCopies sends all records that wait, whatever it costs.
func (r *Router) flushCopies(now time.Time) []fleet.Send {
	out := make(map[fleet.HostID]*recordsBuilder)
	r.copyWaiting(now, out, func() bool { return true })
	return r.sendCopies(out)
}

func (r *Router) copyWaiting(now time.Time, out map[fleet.HostID]*recordsBuilder, more func() bool) {
	for more() {
		c, ok := r.copies.take()
		if !ok {
			return
		}
		s := r.services[c.service]
		state := s.splits[slotOf(c.hash)]
		if state == nil || state.successor == "" {
			continue
		}
		state.live.mu.Lock()
		found := state.live.records.find(c.hash)
		if found != nil && found.flags&recordClosed == 0 && !found.expired(seconds(now), s.idleTimeout()) {
			r.builder(out, state.successor).addEstablished(s, *found)
			r.copier.budget -= recordBytes
		}
		state.live.mu.Unlock()
	}
}

// builder returns the message to a successor, which costs bytes of its own.
func (r *Router) builder(out map[fleet.HostID]*recordsBuilder, to fleet.HostID) *recordsBuilder {
	if out[to] == nil {
		out[to] = newRecordsBuilder()
		r.copier.budget -= messageBytes
	}
	return out[to]
}

// refresh copies all records of the slots whose last such copy is an idle
// timeout old, or whose successor is new.
func (r *Router) refresh(now time.Time, out map[fleet.HostID]*recordsBuilder) {
	for _, s := range r.services {
		idle := s.idleTimeout()
		for _, state := range s.orderedSplits() {
			if r.copier.budget <= 0 {
				return
			}
			if state.owner != r.view.Self || state.successor == "" || now.Sub(state.refreshed) < idle {
				continue
			}
			state.refreshed = now
			if state.live.current() != authorityNone {
				r.refreshSlot(now, s, state, out)
			}
		}
	}
}

func (r *Router) refreshSlot(now time.Time, s *service, state *slotState, out map[fleet.HostID]*recordsBuilder) {
	f := state.live
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.records.n == 0 {
		return
	}
	b := r.builder(out, state.successor)
	for _, record := range f.records.records {
		if record.flags == 0 || record.flags&recordClosed != 0 || record.expired(seconds(now), s.idleTimeout()) {
			continue
		}
		b.addEstablished(s, record)
		r.copier.budget -= recordBytes
	}
}

func (r *Router) sendCopies(out map[fleet.HostID]*recordsBuilder) []fleet.Send {
	var sends []fleet.Send
	for _, host := range r.owners {
		if out[host] == nil {
			continue
		}
		for _, m := range out[host].messages() {
			if len(m.Services) > 0 {
				sends = append(sends, fleet.Send{To: host, Message: m})
			}
		}
	}
	return sends
}

// recordsBuilder collects records into messages of bounded size.
type recordsBuilder struct {
	out   []*Records
	flows int
}

func newRecordsBuilder() *recordsBuilder {
	return &recordsBuilder{out: []*Records{{}}}
}

func (b *recordsBuilder) messages() []*Records { return b.out }

// service returns the records of a service in the current message.
func (b *recordsBuilder) service(s *service) *ServiceRecords {
	if b.flows >= flowsPerMessage {
		b.out = append(b.out, new(Records))
		b.flows = 0
	}
	b.flows++
	m := b.out[len(b.out)-1]
	for i := range m.Services {
		if m.Services[i].Service == s.name {
			return &m.Services[i]
		}
	}
	m.Services = append(m.Services, ServiceRecords{Service: s.name})
	return &m.Services[len(m.Services)-1]
}

func (b *recordsBuilder) addEstablished(s *service, r record) {
	records := b.service(s)
	records.Established = addFlow(records.Established, s.serverID(r.server), r.hash)
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

// addSlot adds all that is known of the flows of a slot.
func (b *recordsBuilder) addSlot(s *service, f *slotFlows, now uint32) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.records.records {
		if r.flags != 0 && !r.expired(now, s.idleTimeout()) {
			b.addEstablished(s, r)
		}
	}
	if f.halfOpen == nil {
		return
	}
	for _, r := range f.halfOpen {
		if r.flags != 0 && now-r.seen <= halfOpenLife {
			records := b.service(s)
			records.HalfOpen = addFlow(records.HalfOpen, s.serverID(r.server), r.hash)
		}
	}
}
