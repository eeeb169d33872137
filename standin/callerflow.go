package standin

import (
	"bytes"
	"net/netip"
	"strconv"
	"time"

	"github.com/rattanthread/rattanthread/fleet"
)

// callerFlow is the caller's end of one flow. It sends one message at a time
// and repeats it until it is answered.
type callerFlow struct {
	caller *FlowCaller
	port   fleet.Port
	long   bool

	state     flowState
	sequence  uint32 // of the next packet
	expected  uint32 // the next sequence number from the server
	number    uint64 // of the latest message
	pending   Packet // sent and not answered
	waiting   bool   // whether pending is to be repeated
	tries     int
	due       time.Time
	opened    time.Time
	firstSent time.Time
	server    fleet.ServerID
}

type flowState uint8

const (
	flowNew flowState = iota
	flowOpening
	flowEstablished
	flowClosing
)

type flowEvent uint8

const (
	flowNothing flowEvent = iota
	flowSent
	flowResent
	flowStray
	flowOpened
	flowAnswered
	flowClosed
	flowNotOpened
	flowBrokenReset
	flowBrokenSilent
	flowBrokenServer
	flowBrokenCrossed
)

var breakCauses = map[flowEvent]BreakCause{
	flowBrokenReset:   BreakReset,
	flowBrokenSilent:  BreakSilent,
	flowBrokenServer:  BreakServerChanged,
	flowBrokenCrossed: BreakCrossed,
}

// tick returns the packet that is due.
func (f *callerFlow) tick(now time.Time) (Packet, flowEvent) {
	if f.waiting {
		return f.repeat(now)
	}
	f.pending = f.next(now)
	f.sequence += f.pending.segmentLength()
	f.waiting = true
	f.tries = 1
	f.firstSent = now
	f.due = now.Add(f.caller.Retransmit)
	return f.pending, flowSent
}

func (f *callerFlow) repeat(now time.Time) (Packet, flowEvent) {
	if f.tries >= f.caller.MaxTries {
		return Packet{}, f.unanswered()
	}
	f.due = now.Add(f.caller.Retransmit << f.tries)
	f.tries++
	return f.pending, flowResent
}

func (f *callerFlow) unanswered() flowEvent {
	switch f.state {
	case flowEstablished:
		return flowBrokenSilent
	case flowClosing:
		return flowClosed
	default:
		return flowNotOpened
	}
}

// next makes the packet that the flow's state calls for.
func (f *callerFlow) next(now time.Time) Packet {
	p := Packet{
		Source:      netip.AddrPortFrom(f.caller.Address, uint16(f.port)),
		Destination: f.caller.Destination,
		Protocol:    f.caller.Protocol,
	}
	if p.Protocol == fleet.ProtocolTCP {
		p.Sequence = f.sequence
		p.Acknowledgement = f.expected
	}
	switch {
	case f.state == flowNew && p.Protocol == fleet.ProtocolTCP:
		f.state = flowOpening
		p.Flags = FlagSYN
		p.Acknowledgement = 0
		return p
	case f.state == flowNew:
		f.state = flowOpening
	case !f.long && now.Sub(f.opened) >= f.caller.ShortLife && p.Protocol == fleet.ProtocolTCP:
		f.state = flowClosing
		p.Flags = FlagFIN | FlagACK
		return p
	}
	f.number++
	p.Flags = FlagACK
	p.Payload = f.message()
	return p
}

// message names the flow and the number of the message in it.
func (f *callerFlow) message() []byte {
	m := f.caller.Address.AppendTo(nil)
	m = append(m, ':')
	m = strconv.AppendUint(m, uint64(f.port), 10)
	m = append(m, '/')
	return strconv.AppendUint(m, f.number, 10)
}

// receive takes an answer on the flow.
func (f *callerFlow) receive(now time.Time, p Packet) flowEvent {
	if p.Protocol == fleet.ProtocolUDP {
		return f.receiveUDP(now, p)
	}
	switch {
	case p.Flags.Has(FlagRST):
		return f.receiveReset(p)
	case !f.waiting || p.Acknowledgement != f.sequence:
		return flowStray
	}
	switch f.state {
	case flowOpening:
		return f.receiveOpened(now, p)
	case flowClosing:
		return flowClosed
	default:
		return f.receiveAnswer(now, p)
	}
}

// receiveReset ignores a reset that belongs to an older packet.
func (f *callerFlow) receiveReset(p Packet) flowEvent {
	switch f.state {
	case flowOpening:
		if p.Acknowledgement != f.sequence {
			return flowStray
		}
		return flowNotOpened
	case flowClosing:
		return flowClosed
	case flowNew:
		return flowStray
	default:
		if p.Sequence != f.expected {
			return flowStray
		}
		return flowBrokenReset
	}
}

func (f *callerFlow) receiveOpened(now time.Time, p Packet) flowEvent {
	if !p.Flags.Has(FlagSYN | FlagACK) {
		return flowStray
	}
	f.state = flowEstablished
	f.expected = p.Sequence + 1
	f.answered(now)
	f.due = now // the first message names the server
	return flowOpened
}

func (f *callerFlow) receiveAnswer(now time.Time, p Packet) flowEvent {
	if p.Sequence != f.expected {
		return flowStray
	}
	if event := f.check(p.Payload); event != flowAnswered {
		return event
	}
	f.expected += p.segmentLength()
	f.answered(now)
	return flowAnswered
}

func (f *callerFlow) receiveUDP(now time.Time, p Packet) flowEvent {
	if !f.waiting || f.isEarlier(p.Payload) {
		return flowStray
	}
	if event := f.check(p.Payload); event != flowAnswered {
		return event
	}
	first := f.state == flowOpening
	f.state = flowEstablished
	f.answered(now)
	switch {
	case first:
		return flowOpened
	case !f.long && now.Sub(f.opened) >= f.caller.ShortLife:
		return flowClosed
	default:
		return flowAnswered
	}
}

// isEarlier reports whether an answer belongs to an earlier message of the flow.
func (f *callerFlow) isEarlier(payload []byte) bool {
	_, message, _ := bytes.Cut(payload, []byte{' '})
	id, _, _ := bytes.Cut(f.pending.Payload, []byte{'/'})
	return bytes.HasPrefix(message, append(id[:len(id):len(id)], '/')) && !bytes.Equal(message, f.pending.Payload)
}

// check compares an answer with the pending message and the flow's server.
func (f *callerFlow) check(payload []byte) flowEvent {
	server, message, ok := bytes.Cut(payload, []byte{' '})
	switch {
	case !ok || !bytes.Equal(message, f.pending.Payload):
		return flowBrokenCrossed
	case f.server == "":
		f.server = fleet.ServerID(server)
		f.caller.report.PerServer[f.server]++
	case f.server != fleet.ServerID(server):
		return flowBrokenServer
	}
	return flowAnswered
}

func (f *callerFlow) answered(now time.Time) {
	f.waiting = false
	f.due = now.Add(f.caller.Interval)
}
