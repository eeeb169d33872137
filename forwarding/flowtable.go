package forwarding

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rattanthread/rattanthread/catalogue"
	"github.com/rattanthread/rattanthread/placement"
)

// Signal is what a packet of a caller indicates about its server.
type Signal int

// The signals. NoSignal means that the packet indicates nothing.
const (
	NoSignal Signal = iota
	// Response means that the server has sent or received more data than before.
	Response
	// Retransmission means that the caller resends data that the server has not
	// acknowledged.
	Retransmission
)

// minRetransmissionInterval is shorter than the shortest retransmission timeout of
// callers, and longer than the time between duplicates made by the network.
const minRetransmissionInterval = 150 * time.Millisecond

// generationTime is the minimum time for which the state of an idle flow is kept.
const generationTime = 15 * time.Second

// FlowTable holds the state of recent flows, to derive signals from their packets and
// to reset the flows of a failed server. It is a cache: forwarding does not depend on
// it. The zero value is ready to use. It is not safe for concurrent use.
type FlowTable struct {
	current, previous map[flowKey]flowState
	lastRotation      time.Time
	// attempts holds the last attempt to open a flow of each caller on each route.
	attempts map[callerKey]attempt
}

// callerKey identifies a caller and a route: a flow key without the caller's port.
type callerKey [10]byte

// attempt is an attempt to open a flow that has not been confirmed.
type attempt struct {
	flow flowKey
	at   time.Time
	// failed holds the servers of consecutive failed attempts, including this one.
	failed placement.FailedAttempts
}

// Bounds of the time between a refused opening packet and the caller's next attempt.
const (
	minRetryDelay = 2 * time.Millisecond
	maxRetryDelay = time.Second
)

// maxOpeningTime is how long callers wait for a flow to open.
const maxOpeningTime = 1400 * time.Millisecond

// flowKey holds the addresses and ports of a flow.
type flowKey [12]byte

func keyOf(packet *Packet) flowKey {
	var key flowKey
	source, destination := packet.Source.Addr().As4(), packet.Destination.Addr().As4()
	copy(key[0:], source[:])
	copy(key[4:], destination[:])
	binary.BigEndian.PutUint16(key[8:], packet.Source.Port())
	binary.BigEndian.PutUint16(key[10:], packet.Destination.Port())
	return key
}

// hash returns a hash that is the same on all hosts.
func (k flowKey) hash() uint64 { return xxhash.Sum64(k[:]) }

// lastPacket returns the fields of the flow's last packet that a reset needs.
func (k flowKey) lastPacket(state flowState) Packet {
	return Packet{
		Source:      netip.AddrPortFrom(netip.AddrFrom4([4]byte(k[0:])), binary.BigEndian.Uint16(k[8:])),
		Destination: netip.AddrPortFrom(netip.AddrFrom4([4]byte(k[4:])), binary.BigEndian.Uint16(k[10:])),
		Ack:         state.ack,
	}
}

func (k flowKey) caller() callerKey {
	var c callerKey
	copy(c[:8], k[:8])
	copy(c[8:], k[10:])
	return c
}

type flowState struct {
	// opening is set until a further packet confirms that the flow is open.
	opening bool
	// ended means that the flow was reset, as its server had ended.
	ended    bool
	server   catalogue.Cookie
	seq, ack uint32
	// received is the sequence number up to which the server is known to have received
	// the caller's data.
	received uint32
	length   int
	lastSent time.Time
	// openSince is when the first packet of the open flow was seen; zero while it is being opened.
	openSince time.Time
	// requestTime is when the last new packet of the pending request was sent; zero
	// means that no request is pending.
	requestTime time.Time
	// inFlight is the request in flight on the server.
	inFlight InFlight
}

// InFlight is a request in flight on a server. The zero value means none. The load tracker may have
// discarded it, so its end is reported with its start, by which the tracker finds it.
type InFlight struct {
	// Server is zero if no request is in flight.
	Server catalogue.Cookie
	// Since is when the first packet of the request was sent.
	Since time.Time
	// Opening means that the flow is being opened and has sent no request yet.
	Opening bool
}

// PacketRecord is what a packet of an open flow indicates.
type PacketRecord struct {
	Signal Signal
	// Latency is the response time, measured from the last packet of the request, if the
	// packet acknowledges the response. Bytes is the length of the response so far.
	Latency time.Duration
	Bytes   int
	// Ended is the request in flight that the packet ends: it acknowledges the response, or
	// closes the flow, or the flow has moved to another server.
	Ended InFlight
	// Began means that the packet is the first one of a request. Opening is the opening of
	// the flow that counted until then, if this is its first request.
	Began   bool
	Opening InFlight
}

// FailedAttempts returns the servers of the caller's consecutive failed attempts just
// before this opening packet. A retransmitted opening packet counts as a failed
// attempt, and so does a refused flow that the caller retries from another port.
func (f *FlowTable) FailedAttempts(now time.Time, packet *Packet) placement.FailedAttempts {
	key := keyOf(packet)
	before, ok := f.attempts[key.caller()]
	since := now.Sub(before.at)
	if ok && (before.flow == key && packet.Ack > 0 || since >= minRetryDelay && since <= maxRetryDelay) {
		return before.failed
	}
	return placement.FailedAttempts{}
}

// RecordOpening records that the opening packet of a flow was sent to a server after
// the given failed attempts. It returns the requests in flight that end: that of an earlier
// opening of the flow, and that of a refused flow that the caller retries from another port.
func (f *FlowTable) RecordOpening(now time.Time, packet *Packet, server catalogue.Cookie, failed placement.FailedAttempts) [2]InFlight {
	key := keyOf(packet)
	ended := [2]InFlight{f.lookup(key).inFlight}
	if last := f.attempts[key.caller()]; last.flow != key && failed.Count() > 0 && last.failed == failed {
		if state := f.lookup(last.flow); state.server != 0 {
			ended[1], state.inFlight = state.inFlight, InFlight{}
			f.put(now, last.flow, state)
		}
	}
	f.put(now, key, flowState{opening: true, server: server, lastSent: now, inFlight: InFlight{Server: server, Since: now, Opening: true}})
	failed.Add(server)
	f.attempts[key.caller()] = attempt{flow: key, at: now, failed: failed}
	return ended
}

// RecordPacket records a packet of an open flow and returns what it indicates.
func (f *FlowTable) RecordPacket(now time.Time, packet *Packet, server catalogue.Cookie) PacketRecord {
	key := keyOf(packet)
	before := f.lookup(key)
	next := flowState{
		server: server, seq: packet.Seq, ack: packet.Ack, received: before.received, length: packet.Length, lastSent: now, openSince: before.openSince,
		requestTime: before.requestTime, inFlight: before.inFlight,
	}
	var record PacketRecord
	switch {
	case before.server == 0 || before.ended:
		next.received, next.openSince = packet.Seq, now
		f.removeAttempt(key)
	case before.opening || before.server != server:
		record.Signal, next.received, next.openSince = Response, packet.Seq, now
		f.removeAttempt(key)
	case int32(packet.Ack-before.ack) > 0:
		record.Signal = Response
		next.received = maxSeq(before.received, before.seq+uint32(before.length))
		if !before.requestTime.IsZero() {
			record.Latency, record.Bytes = now.Sub(before.requestTime), int(packet.Ack-before.ack)
			next.requestTime = time.Time{}
			record.Ended, next.inFlight = next.inFlight, InFlight{}
		}
	case packet.Length > 0 && before.length > 0 && before.isRetransmission(packet):
		if now.Sub(before.lastSent) >= minRetransmissionInterval {
			record.Signal = Retransmission
			before.lastSent = now
		}
		next = before
	case int32(packet.Seq-before.seq) < 0:
		next = before
	}
	if next.updateReceived(packet) {
		record.Signal = Response
	}
	if next.inFlight.Server != 0 && (next.inFlight.Server != server || packet.Kind == Closing) {
		record.Ended, next.inFlight = next.inFlight, InFlight{}
	}
	if packet.Length > 0 && (next.requestTime.IsZero() || int32(packet.Seq-before.seq) > 0) {
		next.requestTime = now
		if (next.inFlight.Server == 0 || next.inFlight.Opening) && packet.Kind != Closing {
			record.Began, record.Opening = true, next.inFlight
			next.inFlight = InFlight{Server: server, Since: now}
		}
	}
	f.put(now, key, next)
	return record
}

// RemoveInFlight forgets the requests in flight on a server that has started again.
func (f *FlowTable) RemoveInFlight(server catalogue.Cookie) {
	for _, flows := range []map[flowKey]flowState{f.current, f.previous} {
		for key, state := range flows {
			if state.inFlight.Server == server {
				state.inFlight = InFlight{}
				flows[key] = state
			}
		}
	}
}

// isRetransmission reports whether a packet was sent before and is not known to have
// been received.
func (s *flowState) isRetransmission(packet *Packet) bool {
	return int32(packet.Seq-s.seq) <= 0 && int32(packet.Seq-s.received) >= 0
}

// maxSeq returns the later of two sequence numbers.
func maxSeq(a, b uint32) uint32 {
	if int32(b-a) > 0 {
		return b
	}
	return a
}

// maxInFlight is the maximum of a caller's unacknowledged data in bytes: 16 packets
// of 1,200 bytes.
const maxInFlight = 16 * 1200

// updateReceived advances received to what the sequence number of a packet implies,
// and reports whether it advanced. While a server acknowledges a long request it sends
// no data, so the caller's acknowledgements do not show its progress.
func (s *flowState) updateReceived(packet *Packet) bool {
	received := packet.Seq + uint32(packet.Length) - maxInFlight
	if int32(received-s.received) <= 0 {
		return false
	}
	s.received = received
	return true
}

// removeAttempt removes the attempt of a flow that is open.
func (f *FlowTable) removeAttempt(key flowKey) {
	if f.attempts[key.caller()].flow == key {
		delete(f.attempts, key.caller())
	}
}

// EndFlows ends the flows of a server that had ended at a time and returns a packet of each that may be open. A flow
// whose opening was not confirmed in maxOpeningTime is either not open, or open on the server on which another
// host has placed a retransmission: a host that was paused forwards the earlier copy late. A flow that was seen after
// the time may be of a later start of the server, and stays.
func (f *FlowTable) EndFlows(now time.Time, server catalogue.Cookie, endedAt time.Time) []Packet {
	var ended []Packet
	for _, flows := range []map[flowKey]flowState{f.current, f.previous} {
		for key, state := range flows {
			if state.server != server || state.ended || state.seenSince().After(endedAt) {
				continue
			}
			if !state.opening || now.Sub(state.lastSent) <= maxOpeningTime {
				ended = append(ended, key.lastPacket(state))
			}
			state.ended, state.inFlight = true, InFlight{}
			flows[key] = state
		}
	}
	return ended
}

// seenSince returns when the first packet of the flow, or the last opening packet of one that is not known to be open, was
// seen.
func (s *flowState) seenSince() time.Time {
	if s.opening {
		return s.lastSent
	}
	return s.openSince
}

// Contains reports whether a packet of the flow was forwarded recently.
func (f *FlowTable) Contains(packet *Packet) bool {
	state, ok := f.peek(keyOf(packet))
	return ok && !state.ended
}

// OpenSince returns when the first packet of the open flow was seen. It is zero if none was seen
// recently.
func (f *FlowTable) OpenSince(packet *Packet) time.Time {
	state, _ := f.peek(keyOf(packet))
	return state.openSince
}

// Ended reports whether the flow was reset recently, as its server had ended.
func (f *FlowTable) Ended(packet *Packet) bool {
	state, _ := f.peek(keyOf(packet))
	return state.ended
}

// Remove removes a flow and returns its request in flight.
func (f *FlowTable) Remove(packet *Packet) InFlight {
	key := keyOf(packet)
	state, _ := f.peek(key)
	delete(f.current, key)
	delete(f.previous, key)
	return state.inFlight
}

// TakeRequest ends the request in flight of a flow and returns it.
func (f *FlowTable) TakeRequest(packet *Packet) InFlight {
	key := keyOf(packet)
	for _, flows := range []map[flowKey]flowState{f.current, f.previous} {
		if state, ok := flows[key]; ok {
			request := state.inFlight
			state.inFlight = InFlight{}
			flows[key] = state
			return request
		}
	}
	return InFlight{}
}

// peek returns the state of a flow, which stays in its generation.
func (f *FlowTable) peek(key flowKey) (flowState, bool) {
	state, ok := f.current[key]
	if !ok {
		state, ok = f.previous[key]
	}
	return state, ok
}

// lookup returns the state of a flow, or the zero value, and removes it from the
// previous generation.
func (f *FlowTable) lookup(key flowKey) flowState {
	if state, ok := f.current[key]; ok {
		return state
	}
	state := f.previous[key]
	delete(f.previous, key)
	return state
}

// put stores the state of a flow, and starts a new generation if the current one is
// older than generationTime.
func (f *FlowTable) put(now time.Time, key flowKey, state flowState) {
	if f.current == nil || now.Sub(f.lastRotation) > generationTime {
		f.current, f.previous = make(map[flowKey]flowState), f.current
		f.attempts = make(map[callerKey]attempt)
		f.lastRotation = now
		delete(f.previous, key)
	}
	f.current[key] = state
}
