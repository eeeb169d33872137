package platformstandin

import (
	"net/netip"
	"time"
)

// TargetState is the state of a target.
type TargetState int

// States of a target.
const (
	Running TargetState = iota
	// Draining targets finish their flows and must not receive new ones.
	Draining
	// Refusing targets have crashed; their machines reject all packets.
	Refusing
	// Unreachable targets have crashed together with their machines.
	Unreachable
)

// Request slots and queue length of a target.
const (
	targetSlots       = 2
	targetQueueLength = 8
)

// Target is one backend server of a service. Its fields are guarded by Site.mu.
type Target struct {
	ID      string
	Service string
	Zone    string
	Address netip.AddrPort
	// ServiceTime is the time that a request takes.
	ServiceTime time.Duration

	tag uint64
	// starts counts the starts under the ID after the first.
	starts, registeredStarts int
	// heartbeats is the number of heartbeats sent.
	heartbeats int
	// cutFromStore means that heartbeats don't reach the store, while the target serves on.
	// recordRemovedAt is when the store removed its record; zero while there is one.
	cutFromStore    bool
	recordRemovedAt time.Time
	state           TargetState
	// since is when the state began.
	since     time.Time
	flows     map[flowID]*targetFlow
	busySlots int
	queue     []*targetFlow
	// slowdowns is the number of faults that make the target slower.
	slowdowns int
	// atConnectionLimit means that the target opens no flow and resets TCP connections. It serves the flows
	// that it has.
	atConnectionLimit bool
	// flowsOpened is the number of flows that the target has accepted.
	flowsOpened int
	// warmAt is when the target accepts full load. coldOpenings holds the times at which
	// it received new flows before that.
	warmAt       time.Time
	coldOpenings []time.Time
}

type targetFlow struct {
	open bool
	// nextSeq is the sequence number of the next request. Packets with others are
	// retransmissions or late copies.
	nextSeq uint32
	seq     uint32
	cookie  uint32
	request uint64
	// running and done are the state of the request.
	running, done bool
}

// receive processes a datagram, which consists of a tag of 8 bytes that identifies the
// target, and a packet.
func (t *Target) receive(s *Site, tag uint64, packet segment) {
	if t.state == Unreachable || tag != 0 && tag != t.tag {
		return
	}
	if t.state == Refusing {
		s.sendAnswer(t.Zone, packet.flow, answer{flags: flagRST, cookie: packet.cookie})
		return
	}
	flow := t.flows[packet.flow]
	switch {
	case packet.flags&flagSYN != 0:
		t.openFlow(s, packet)
	case flow == nil:
		s.checkFlowPacket(t, packet)
		s.sendAnswer(t.Zone, packet.flow, answer{flags: flagRST, cookie: packet.cookie})
	case packet.flags&(flagRST|flagFIN) != 0:
		delete(t.flows, packet.flow)
	default:
		t.receiveSegment(s, flow, packet)
	}
}

// openFlow responds to an opening packet.
func (t *Target) openFlow(s *Site, packet segment) {
	s.checkNewFlow(t, packet)
	flow := t.flows[packet.flow]
	if flow == nil && t.atConnectionLimit {
		return
	}
	if flow == nil {
		flow = &targetFlow{seq: s.random.Uint32(), nextSeq: packet.seq + 1}
		t.flows[packet.flow] = flow
	}
	flow.cookie = packet.cookie
	s.sendAnswer(t.Zone, packet.flow, answer{flags: flagSYN | flagACK, cookie: packet.cookie, seq: flow.seq})
}

// receiveSegment processes a packet of a flow. The first one completes the opening of
// the flow.
func (t *Target) receiveSegment(s *Site, flow *targetFlow, packet segment) {
	if !flow.open {
		flow.open = true
		t.flowsOpened++
		s.owners[packet.flow] = t
	}
	flow.cookie = packet.cookie
	if packet.request == 0 {
		return
	}
	if packet.seq != flow.nextSeq {
		if flow.request == packet.request && flow.done {
			t.respond(s, packet.flow, flow, false)
		}
		return
	}
	flow.nextSeq += requestBytes
	flow.request, flow.running, flow.done = packet.request, false, false
	if t.busySlots >= targetSlots && len(t.queue) >= targetQueueLength {
		t.respond(s, packet.flow, flow, true)
		return
	}
	if t.busySlots >= targetSlots {
		t.queue = append(t.queue, flow)
		return
	}
	t.startRequest(s, packet.flow, flow)
}

// startRequest runs the request of a flow.
func (t *Target) startRequest(s *Site, id flowID, flow *targetFlow) {
	t.busySlots++
	flow.running = true
	request := flow.request
	s.recordRun(request)
	s.recordFlowRun(id)
	stateSince := t.since
	s.afterFunc(t.requestTime(), func() {
		if t.state >= Refusing || t.since != stateSince && t.state == Running {
			return
		}
		t.busySlots--
		flow.done = true
		t.respond(s, id, flow, false)
		if len(t.queue) > 0 {
			next := t.queue[0]
			t.queue = t.queue[1:]
			t.startRequest(s, t.flowIDOf(next), next)
		}
	})
}

func (t *Target) flowIDOf(flow *targetFlow) flowID {
	for id, other := range t.flows {
		if other == flow {
			return id
		}
	}
	return flowID{}
}

func (t *Target) respond(s *Site, id flowID, flow *targetFlow, refused bool) {
	s.sendAnswer(t.Zone, id, answer{flags: flagACK, cookie: flow.cookie, seq: flow.seq, request: flow.request, refused: refused})
}

// crash ends the target and drops its flows and requests.
func (t *Target) crash(state TargetState) {
	t.state, t.since = state, time.Now()
	t.flows = make(map[flowID]*targetFlow)
	t.busySlots, t.queue = 0, nil
}
