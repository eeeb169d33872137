package flow

import (
	"slices"
	"time"

	"github.com/rattanthread/rattanthread/fleet"
)

const (
	// inquiryWait is how long an owner waits for hosts that may have been cut off
	// to name the server of a flow, before it takes the flow for an old one.
	inquiryWait = 300 * time.Millisecond
	// inquiryHosts is how many hosts are asked about one flow.
	inquiryHosts = 2
	// openInquiries is how many flows of a slot may wait at once. The packets of
	// others are forwarded as if there were nobody to ask.
	openInquiries = 64
	// queuedInquiries is how many questions may wait for the next Tick.
	queuedInquiries = 4096
	// inquiryLife is how long an inquiry is kept whose flow sends nothing more.
	inquiryLife = 10 * time.Second
)

// inquiry is a question about a flow of which this host has no record.
type inquiry struct {
	hash  uint64
	since time.Time
}

// inquire reports whether a packet has to wait for hosts that were cut off: they
// may have placed its flow without this host's knowledge. The packet is dropped
// meanwhile; its caller sends it again.
func (d *decider) inquire() bool {
	if !d.router.doubtful.Load() {
		return false
	}
	f := d.split.live
	i := slices.IndexFunc(f.inquiries, func(q inquiry) bool { return q.hash == d.hash })
	if i >= 0 {
		return d.awaits(i)
	}
	if len(f.inquiries) >= openInquiries || !d.router.questions.add(copiedFlow{d.hash, d.view.index}) {
		return false
	}
	f.inquiries = append(f.inquiries, inquiry{d.hash, d.now})
	return true
}

// yields reports whether a former owner leaves a flow to the slot's owner, even though
// that one has not asked for the slot yet: after a cut both may decide. A new flow is
// left to it, and so is one whose handshake this host has not seen whole: the owner may
// have placed a later copy of its opening packet elsewhere.
func (d *decider) yields() bool {
	f := d.split.live
	if !d.router.doubtful.Load() || f.records.find(d.hash) != nil {
		return false
	}
	halfOpen := f.halfOpen.find(d.hash, seconds(d.now)) != nil
	return d.first() != halfOpen
}

// awaits reports whether the answers to an inquiry may still come. If none came,
// the flow is recorded as one of the agreed server, so that none is asked again.
func (d *decider) awaits(i int) bool {
	f := d.split.live
	if d.now.Sub(f.inquiries[i].since) < inquiryWait {
		return true
	}
	f.inquiries = slices.Delete(f.inquiries, i, i+1)
	agreed := d.split.agreed
	if agreed != noServer && d.view.server(agreed).usable() && d.router.hasRoom() {
		f.records.insert(record{hash: d.hash, seen: seconds(d.now), server: agreed})
		d.router.count.Add(1)
	}
	return false
}

// expireInquiries drops those whose flows send nothing more.
func (f *slotFlows) expireInquiries(now time.Time) {
	f.inquiries = slices.DeleteFunc(f.inquiries, func(q inquiry) bool {
		return now.Sub(q.since) > inquiryLife
	})
}

// askDoubted sends the questions that wait, each to the hosts that would own the
// flow's slot if only the doubted ones were there.
func (r *Router) askDoubted() []fleet.Send {
	out := make(map[fleet.HostID]*Inquiry)
	for {
		c, ok := r.questions.take()
		if !ok {
			break
		}
		s := r.services[c.service]
		first, second := fleet.RendezvousPair(ownerKey(s.name, slotOf(c.hash)), r.view.Doubted)
		for _, host := range [inquiryHosts]fleet.HostID{first, second} {
			if host != "" {
				out[host] = out[host].with(s.name, c.hash)
			}
		}
	}
	var sends []fleet.Send
	for _, host := range r.view.Doubted {
		if m := out[host]; m != nil {
			sends = append(sends, fleet.Send{To: host, Message: m})
		}
	}
	return sends
}

// with returns the inquiry with one more flow.
func (m *Inquiry) with(service fleet.ServiceName, hash uint64) *Inquiry {
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

// answerInquiry tells which of the flows this host has placed. It says nothing of
// those that it does not know.
func (r *Router) answerInquiry(now time.Time, from fleet.HostID, m *Inquiry) []fleet.Send {
	b := newRecordsBuilder()
	for i := range m.Services {
		s := r.byName[m.Services[i].Service]
		if s == nil || !s.present {
			continue
		}
		for _, hash := range m.Services[i].Flows {
			if state := s.splits[slotOf(hash)]; state != nil {
				b.addKnown(s, state.live, hash, seconds(now))
			}
		}
	}
	var sends []fleet.Send
	for _, answer := range b.messages() {
		if len(answer.Services) > 0 {
			sends = append(sends, fleet.Send{To: from, Message: answer})
		}
	}
	return sends
}

// addKnown adds what is known of one flow.
func (b *recordsBuilder) addKnown(s *service, f *slotFlows, hash uint64, now uint32) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r := f.records.find(hash); r != nil {
		b.addEstablished(s, *r)
		return
	}
	if r := f.halfOpen.find(hash, now); r != nil {
		records := b.service(s)
		records.HalfOpen = addFlow(records.HalfOpen, s.serverID(r.server), hash)
	}
}
