package platformstandin

import (
	"net/netip"
	"time"
)

// TargetState is what has become of a target.
type TargetState int

// The states.
const (
	Running TargetState = iota
	// Draining targets finish their flows.
	Draining
	// Refusing targets have crashed, and their machines refuse all packets.
	Refusing
	// Dark targets have crashed with their machines.
	Dark
)

// Sizes of a target.
const (
	targetSlots = 2
	targetQueue = 8
)

// Target is one backend of a service. The site's lock guards it.
type Target struct {
	ID      string
	Service string
	Zone    string
	Address netip.AddrPort
	// Work is the time that a request takes.
	Work time.Duration

	tag   uint64
	state TargetState
	// since is when the state began, or the links to it were last harmed.
	since time.Time
	flows map[flowID]*targetFlow
	busy  int
	queue []*targetFlow
	// opened counts the flows that the target has accepted.
	opened int
	// warmAt is when the target bears full load; coldOpened holds when it got new
	// flows before.
	warmAt     time.Time
	coldOpened []time.Time
}

type targetFlow struct {
	open bool
	// next is the sequence number of the next request. What is older was sent again.
	next    uint32
	seq     uint32
	echo    uint32
	request uint64
	// state of the request
	running, done bool
}

// receive takes in a datagram: 8 bytes that name the target, then the packet.
func (t *Target) receive(s *Site, tag uint64, p segment) {
	if t.state == Dark || tag != 0 && tag != t.tag {
		return
	}
	if t.state == Refusing {
		s.answer(t.Zone, p.flow, answer{flags: flagRST, echo: p.echo})
		return
	}
	flow := t.flows[p.flow]
	switch {
	case p.flags&flagSYN != 0:
		t.open(s, p)
	case flow == nil:
		s.strayed(t, p)
		s.answer(t.Zone, p.flow, answer{flags: flagRST, echo: p.echo})
	case p.flags&(flagRST|flagFIN) != 0:
		delete(t.flows, p.flow)
	default:
		t.segment(s, flow, p)
	}
}

// open answers an opening packet.
func (t *Target) open(s *Site, p segment) {
	s.opened(t, p)
	flow := t.flows[p.flow]
	if flow == nil {
		flow = &targetFlow{seq: s.random.Uint32(), next: p.seq + 1}
		t.flows[p.flow] = flow
	}
	flow.echo = p.echo
	s.answer(t.Zone, p.flow, answer{flags: flagSYN | flagACK, echo: p.echo, seq: flow.seq})
}

// segment takes in a packet of a flow. The first one opens the flow.
func (t *Target) segment(s *Site, flow *targetFlow, p segment) {
	if !flow.open {
		flow.open = true
		t.opened++
		s.owners[p.flow] = t
	}
	flow.echo = p.echo
	if p.request == 0 {
		return
	}
	if p.seq != flow.next {
		if flow.request == p.request && flow.done {
			t.respond(s, p.flow, flow, false)
		}
		return
	}
	flow.next += requestBytes
	flow.request, flow.running, flow.done = p.request, false, false
	if t.busy >= targetSlots && len(t.queue) >= targetQueue {
		t.respond(s, p.flow, flow, true)
		return
	}
	if t.busy >= targetSlots {
		t.queue = append(t.queue, flow)
		return
	}
	t.run(s, p.flow, flow)
}

// run works on the request of a flow.
func (t *Target) run(s *Site, id flowID, flow *targetFlow) {
	t.busy++
	flow.running = true
	request := flow.request
	s.ran(request)
	born := t.since
	s.after(t.Work, func() {
		if t.state >= Refusing || t.since != born && t.state == Running {
			return
		}
		t.busy--
		flow.done = true
		t.respond(s, id, flow, false)
		if len(t.queue) > 0 {
			next := t.queue[0]
			t.queue = t.queue[1:]
			t.run(s, t.idOf(next), next)
		}
	})
}

func (t *Target) idOf(flow *targetFlow) flowID {
	for id, other := range t.flows {
		if other == flow {
			return id
		}
	}
	return flowID{}
}

func (t *Target) respond(s *Site, id flowID, flow *targetFlow, refused bool) {
	s.answer(t.Zone, id, answer{flags: flagACK, echo: flow.echo, seq: flow.seq, request: flow.request, refused: refused})
}

// crash drops all that the target holds.
func (t *Target) crash(state TargetState) {
	t.state, t.since = state, time.Now()
	t.flows = make(map[flowID]*targetFlow)
	t.busy, t.queue = 0, nil
}
