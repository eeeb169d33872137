package standin

import (
	"bytes"
	"net/netip"
	"strconv"
	"time"

	"github.com/rattanthread/rattanthread/fleet"
)

// callerFlow is the caller's end of one flow. It sends one message at a time
// and retransmits it until a response arrives.
type callerFlow struct {
	caller *FlowCaller
	port   fleet.Port
	isLong bool

	state            flowState
	sequence         uint32 // of the next packet
	expected         uint32 // next sequence number from the server
	messageNumber    uint64 // of the latest message
	pending          Packet // latest packet sent
	awaitingResponse bool   // whether pending has no response yet
	attempts         int
	due              time.Time
	opened           time.Time
	firstSent        time.Time
	server           fleet.ServerID
}

type flowState uint8

const (
	stateNew flowState = iota
	stateOpening
	stateEstablished
	stateClosing
)

type flowEvent uint8

const (
	eventNone flowEvent = iota
	eventSent
	eventResent
	eventStray
	eventOpened
	eventAnswered
	eventClosed
	eventNotOpened
	eventReset
	eventNoResponse
	eventServerChanged
	eventMismatch
)

var breakCauses = map[flowEvent]BreakCause{
	eventReset:         BreakReset,
	eventNoResponse:    BreakNoResponse,
	eventServerChanged: BreakServerChanged,
	eventMismatch:      BreakMismatch,
}

// tick returns the packet that is due, or an event that ends the flow.
func (f *callerFlow) tick(now time.Time) (Packet, flowEvent) {
	if f.awaitingResponse {
		return f.retransmit(now)
	}
	f.pending = f.nextPacket(now)
	f.sequence += f.pending.segmentLength()
	f.awaitingResponse = true
	f.attempts = 1
	f.firstSent = now
	f.due = now.Add(f.caller.RetransmitTimeout)
	return f.pending, eventSent
}

func (f *callerFlow) retransmit(now time.Time) (Packet, flowEvent) {
	if f.attempts >= f.caller.MaxAttempts {
		return Packet{}, f.timeoutEvent()
	}
	f.due = now.Add(f.caller.RetransmitTimeout << f.attempts)
	f.attempts++
	return f.pending, eventResent
}

func (f *callerFlow) timeoutEvent() flowEvent {
	switch f.state {
	case stateEstablished:
		return eventNoResponse
	case stateClosing:
		return eventClosed
	default:
		return eventNotOpened
	}
}

// nextPacket advances the flow's state and returns the packet to send.
func (f *callerFlow) nextPacket(now time.Time) Packet {
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
	case f.state == stateNew && p.Protocol == fleet.ProtocolTCP:
		f.state = stateOpening
		p.Flags = FlagSYN
		p.Acknowledgement = 0
		return p
	case f.state == stateNew:
		f.state = stateOpening
	case !f.isLong && now.Sub(f.opened) >= f.caller.ShortFlowDuration && p.Protocol == fleet.ProtocolTCP:
		f.state = stateClosing
		p.Flags = FlagFIN | FlagACK
		return p
	}
	f.messageNumber++
	p.Flags = FlagACK
	p.Payload = f.message()
	return p
}

// message returns a payload that identifies the flow and the message in it.
func (f *callerFlow) message() []byte {
	m := f.caller.Address.AppendTo(nil)
	m = append(m, ':')
	m = strconv.AppendUint(m, uint64(f.port), 10)
	m = append(m, '/')
	return strconv.AppendUint(m, f.messageNumber, 10)
}

// receive processes a response on the flow.
func (f *callerFlow) receive(now time.Time, p Packet) flowEvent {
	if p.Protocol == fleet.ProtocolUDP {
		return f.receiveUDP(now, p)
	}
	switch {
	case p.Flags.Has(FlagRST):
		return f.receiveReset(p)
	case !f.awaitingResponse || p.Acknowledgement != f.sequence:
		return eventStray
	}
	switch f.state {
	case stateOpening:
		return f.receiveSYNACK(now, p)
	case stateClosing:
		return eventClosed
	default:
		return f.receiveResponse(now, p)
	}
}

// receiveReset ignores a reset that responds to an earlier packet.
func (f *callerFlow) receiveReset(p Packet) flowEvent {
	switch f.state {
	case stateOpening:
		if p.Acknowledgement != f.sequence {
			return eventStray
		}
		return eventNotOpened
	case stateClosing:
		return eventClosed
	case stateNew:
		return eventStray
	default:
		if p.Sequence != f.expected {
			return eventStray
		}
		return eventReset
	}
}

func (f *callerFlow) receiveSYNACK(now time.Time, p Packet) flowEvent {
	if !p.Flags.Has(FlagSYN | FlagACK) {
		return eventStray
	}
	f.state = stateEstablished
	f.expected = p.Sequence + 1
	f.recordResponse(now)
	f.due = now // the response to the first message identifies the server
	return eventOpened
}

func (f *callerFlow) receiveResponse(now time.Time, p Packet) flowEvent {
	if p.Sequence != f.expected {
		return eventStray
	}
	if event := f.checkPayload(p.Payload); event != eventAnswered {
		return event
	}
	f.expected += p.segmentLength()
	f.recordResponse(now)
	return eventAnswered
}

func (f *callerFlow) receiveUDP(now time.Time, p Packet) flowEvent {
	if !f.awaitingResponse || f.isLateResponse(p.Payload) {
		return eventStray
	}
	if event := f.checkPayload(p.Payload); event != eventAnswered {
		return event
	}
	first := f.state == stateOpening
	f.state = stateEstablished
	f.recordResponse(now)
	switch {
	case first:
		return eventOpened
	case !f.isLong && now.Sub(f.opened) >= f.caller.ShortFlowDuration:
		return eventClosed
	default:
		return eventAnswered
	}
}

// isLateResponse reports whether a response belongs to an earlier message of the flow.
func (f *callerFlow) isLateResponse(payload []byte) bool {
	_, message, _ := bytes.Cut(payload, []byte{' '})
	id, _, _ := bytes.Cut(f.pending.Payload, []byte{'/'})
	return bytes.HasPrefix(message, append(id[:len(id):len(id)], '/')) && !bytes.Equal(message, f.pending.Payload)
}

// checkPayload compares a response with the pending message and the flow's server.
func (f *callerFlow) checkPayload(payload []byte) flowEvent {
	server, message, ok := bytes.Cut(payload, []byte{' '})
	switch {
	case !ok || !bytes.Equal(message, f.pending.Payload):
		return eventMismatch
	case f.server == "":
		f.server = fleet.ServerID(server)
		f.caller.report.PerServer[f.server]++
	case f.server != fleet.ServerID(server):
		return eventServerChanged
	}
	return eventAnswered
}

func (f *callerFlow) recordResponse(now time.Time) {
	f.awaitingResponse = false
	f.due = now.Add(f.caller.Interval)
}
