package flow

import (
	"slices"
	"time"

	"github.com/rattanthread/rattanthread/fleet"
)

const (
	// inquiryTimeout is how long an owner waits for the response to an inquiry
	// about a flow, before it assumes that the flow is older than the split.
	inquiryTimeout = 300 * time.Millisecond
	// hostsPerInquiry is how many hosts are asked about one flow.
	hostsPerInquiry = 2
	// maxOpenInquiries is how many flows of a slot may wait at once. The packets
	// of further flows are forwarded without an inquiry.
	maxOpenInquiries = 64
	// maxQueuedInquiries is how many inquiries may be queued for the next Tick.
	maxQueuedInquiries = 4096
	// inquiryTTL is how long an inquiry is kept if its flow sends no more packets.
	inquiryTTL = 10 * time.Second
)

// inquiry is an open inquiry about a flow of which this host has no record.
type inquiry struct {
	hash  uint64
	since time.Time
}

// awaitsInquiry reports whether a packet must be dropped because of an open
// inquiry, and starts one if needed: a partitioned host may have placed the flow
// without this host having a record of it. The caller retransmits the packet.
func (d *decider) awaitsInquiry() bool {
	if !d.router.hasPartitioned.Load() {
		return false
	}
	flows := d.split.flows
	i := slices.IndexFunc(flows.inquiries, func(q inquiry) bool { return q.hash == d.hash })
	if i >= 0 {
		return d.inquiryPending(i)
	}
	if len(flows.inquiries) >= maxOpenInquiries || !d.router.inquiryQueue.tryPush(queuedFlow{d.hash, d.view.index}) {
		return false
	}
	flows.inquiries = append(flows.inquiries, inquiry{d.hash, d.now})
	return true
}

// defersToOwner reports whether a former owner hands a flow off to the slot's owner,
// although that host has not fetched the slot yet: after a network partition, both
// may have authority. This applies to new flows, and to flows whose handshake this
// host has not seen in full: the owner may have placed a later copy of the opening
// packet on another server.
func (d *decider) defersToOwner() bool {
	flows := d.split.flows
	if !d.router.hasPartitioned.Load() || flows.records.find(d.hash) != nil {
		return false
	}
	halfOpen := flows.halfOpen.find(d.hash, seconds(d.now)) != nil
	return d.mayBeFirst() != halfOpen
}

// inquiryPending reports whether an inquiry has not timed out yet. If it has, the
// flow is recorded on the agreed server, so that no further inquiry is made.
func (d *decider) inquiryPending(i int) bool {
	flows := d.split.flows
	if d.now.Sub(flows.inquiries[i].since) < inquiryTimeout {
		return true
	}
	flows.inquiries = slices.Delete(flows.inquiries, i, i+1)
	agreed := d.split.agreed
	if agreed != noServer && d.view.server(agreed).usable() && d.router.hasRoom() {
		flows.records.insert(record{hash: d.hash, seen: seconds(d.now), server: agreed})
		d.router.recordCount.Add(1)
	}
	return false
}

// expireInquiries drops the inquiries whose flows send no more packets.
func (f *slotFlows) expireInquiries(now time.Time) {
	f.inquiries = slices.DeleteFunc(f.inquiries, func(q inquiry) bool {
		return now.Sub(q.since) > inquiryTTL
	})
}

// sendInquiries sends the queued inquiries, each to the hosts that rank highest
// for the flow's slot among the partitioned ones.
func (r *Router) sendInquiries() []fleet.Send {
	inquiries := make(map[fleet.HostID]*Inquiry)
	for {
		queued, ok := r.inquiryQueue.pop()
		if !ok {
			break
		}
		svc := r.services[queued.service]
		first, second := fleet.RendezvousPair(ownerKey(svc.name, slotOf(queued.hash)), r.view.Partitioned)
		for _, host := range [hostsPerInquiry]fleet.HostID{first, second} {
			if host != "" {
				inquiries[host] = inquiries[host].withFlow(svc.name, queued.hash)
			}
		}
	}
	var sends []fleet.Send
	for _, host := range r.view.Partitioned {
		if message := inquiries[host]; message != nil {
			sends = append(sends, fleet.Send{To: host, Message: message})
		}
	}
	return sends
}

// withFlow adds a flow to the inquiry and returns it. It allocates a nil inquiry.
func (m *Inquiry) withFlow(service fleet.ServiceName, hash uint64) *Inquiry {
	if m == nil {
		m = new(Inquiry)
	}
	i := slices.IndexFunc(m.Services, func(f ServiceFlows) bool { return f.Service == service })
	if i < 0 {
		i = len(m.Services)
		m.Services = append(m.Services, ServiceFlows{Service: service})
	}
	m.Services[i].Flows = append(m.Services[i].Flows, hash)
	return m
}

// receiveInquiry responds with the records of the flows that this host has. It
// omits the others.
func (r *Router) receiveInquiry(now time.Time, from fleet.HostID, request *Inquiry) []fleet.Send {
	builder := newRecordsBuilder()
	for i := range request.Services {
		svc := r.byName[request.Services[i].Service]
		if svc == nil || !svc.present {
			continue
		}
		for _, hash := range request.Services[i].Flows {
			if state := svc.splits[slotOf(hash)]; state != nil {
				builder.addFlowRecord(svc, state.flows, hash, seconds(now))
			}
		}
	}
	var sends []fleet.Send
	for _, message := range builder.messages() {
		if len(message.Services) > 0 {
			sends = append(sends, fleet.Send{To: from, Message: message})
		}
	}
	return sends
}

// addFlowRecord adds the record of one flow, if there is any.
func (b *recordsBuilder) addFlowRecord(svc *service, flows *slotFlows, hash uint64, now uint32) {
	flows.mu.Lock()
	defer flows.mu.Unlock()
	if rec := flows.records.find(hash); rec != nil {
		b.addEstablished(svc, *rec)
		return
	}
	if rec := flows.halfOpen.find(hash, now); rec != nil {
		records := b.serviceRecords(svc)
		records.HalfOpen = addFlow(records.HalfOpen, svc.serverID(rec.server), hash)
	}
}
