package forwarding

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rattanthread/rattanthread/catalogue"
	"github.com/rattanthread/rattanthread/placement"
)

// Sign is what a packet of a caller shows of its server.
type Sign int

// The signs. A packet that shows nothing has NoSign.
const (
	NoSign Sign = iota
	// Answer: the caller acknowledges more than before.
	Answer
	// Repetition: the caller sends again what the server has not acknowledged.
	Repetition
)

// repetitionGap is less than the shortest time after which callers send a
// packet again, and more than the time between copies made by the network.
const repetitionGap = 150 * time.Millisecond

// generation is how long a silent flow is remembered, at least.
const generation = 15 * time.Second

// Flows remembers the last packet of each flow to tell signs from it, and to
// end the flows of a server that has ended. It is a cache: forwarding needs
// none of it. The zero value is ready for use. It belongs to one goroutine.
type Flows struct {
	young, old map[flowKey]flowState
	rotated    time.Time
	// attempts holds the latest opening of each caller on each route.
	attempts map[callerKey]attempt
}

// callerKey is a caller and a route: a flow's addresses without the caller's port.
type callerKey [10]byte

// attempt is an opening whose flow is not known to be open.
type attempt struct {
	flow flowKey
	at   time.Time
	// tried holds the servers of the openings that failed in a row, with this one.
	tried placement.Failed
}

// Bounds of the time between an opening that was refused and the next try.
const (
	minRetry = 2 * time.Millisecond
	maxRetry = time.Second
)

// flowKey is the addresses and ports of a flow, as bytes.
type flowKey [12]byte

func keyOf(p *Packet) flowKey {
	var key flowKey
	source, destination := p.Source.Addr().As4(), p.Destination.Addr().As4()
	copy(key[0:], source[:])
	copy(key[4:], destination[:])
	binary.BigEndian.PutUint16(key[8:], p.Source.Port())
	binary.BigEndian.PutUint16(key[10:], p.Destination.Port())
	return key
}

// hash is the same on all hosts.
func (k flowKey) hash() uint64 { return xxhash.Sum64(k[:]) }

// packet returns the flow's last packet as far as a reset needs it.
func (k flowKey) packet(state flowState) Packet {
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
	// opening is set until a packet shows that the flow is open.
	opening  bool
	server   catalogue.Cookie
	seq, ack uint32
	// received is up to where the server has certainly received the caller's data.
	received uint32
	length   int
	sent     time.Time
	// asked is when the request that waits for its answer was first sent; zero for none.
	asked time.Time
}

// Failed returns the servers on which a caller's openings have failed in a row
// just before this one. Copies of an opening packet count, and so does a flow
// that was refused and is tried again from another port.
func (f *Flows) Failed(now time.Time, p *Packet) placement.Failed {
	key := keyOf(p)
	before, ok := f.attempts[key.caller()]
	since := now.Sub(before.at)
	if ok && (before.flow == key && p.Ack > 0 || since >= minRetry && since <= maxRetry) {
		return before.tried
	}
	return placement.Failed{}
}

// Opened notes that the opening packet of a flow was sent to a server, after
// tries that have failed.
func (f *Flows) Opened(now time.Time, p *Packet, server catalogue.Cookie, failed placement.Failed) {
	key := keyOf(p)
	f.put(now, key, flowState{opening: true, server: server, sent: now})
	failed.Add(server)
	f.attempts[key.caller()] = attempt{flow: key, at: now, tried: failed}
}

// Seen notes a packet of an open flow and returns what it shows. With the answer
// to a request comes the time that it took, counted from the last of the request's
// packets.
func (f *Flows) Seen(now time.Time, p *Packet, server catalogue.Cookie) (Sign, time.Duration) {
	key := keyOf(p)
	before := f.take(key)
	next := flowState{
		server: server, seq: p.Seq, ack: p.Ack, received: before.received, length: p.Length, sent: now, asked: before.asked,
	}
	sign, took := NoSign, time.Duration(0)
	switch {
	case before.server == 0:
		next.received = p.Seq
		f.completed(key)
	case before.opening || before.server != server:
		sign, next.received = Answer, p.Seq
		f.completed(key)
	case int32(p.Ack-before.ack) > 0:
		sign = Answer
		next.received = later(before.received, before.seq+uint32(before.length))
		if !before.asked.IsZero() {
			took = now.Sub(before.asked)
			next.asked = time.Time{}
		}
	case p.Length > 0 && before.length > 0 && before.resent(p):
		if now.Sub(before.sent) >= repetitionGap {
			sign = Repetition
			before.sent = now
		}
		next = before
	case int32(p.Seq-before.seq) < 0:
		next = before
	}
	if next.receive(p) {
		sign = Answer
	}
	if p.Length > 0 && (next.asked.IsZero() || int32(p.Seq-before.seq) > 0) {
		next.asked = now
	}
	f.put(now, key, next)
	return sign, took
}

// resent reports whether a packet has been sent before and may not have arrived.
func (s *flowState) resent(p *Packet) bool {
	return int32(p.Seq-s.seq) <= 0 && int32(p.Seq-s.received) >= 0
}

// later returns the later of two sequence numbers.
func later(a, b uint32) uint32 {
	if int32(b-a) > 0 {
		return b
	}
	return a
}

// maxInFlight bounds the data of a caller that its server has not acknowledged, in
// bytes: 16 packets of 1,200.
const maxInFlight = 16 * 1200

// receive notes what a packet shows of the data that the server has received, and
// reports whether that is more than before. A server acknowledges a long request
// without sending data, so the caller's acknowledgements show nothing.
func (s *flowState) receive(p *Packet) bool {
	received := p.Seq + uint32(p.Length) - maxInFlight
	if int32(received-s.received) <= 0 {
		return false
	}
	s.received = received
	return true
}

// completed notes that a flow is open.
func (f *Flows) completed(key flowKey) {
	if f.attempts[key.caller()].flow == key {
		delete(f.attempts, key.caller())
	}
}

// Ended forgets the flows of a server and returns a packet of each.
func (f *Flows) Ended(server catalogue.Cookie) []Packet {
	var ended []Packet
	for _, flows := range []map[flowKey]flowState{f.young, f.old} {
		for key, state := range flows {
			if state.server == server {
				ended = append(ended, key.packet(state))
				delete(flows, key)
			}
		}
	}
	return ended
}

// Closed forgets a flow.
func (f *Flows) Closed(p *Packet) {
	key := keyOf(p)
	delete(f.young, key)
	delete(f.old, key)
}

func (f *Flows) take(key flowKey) flowState {
	if state, ok := f.young[key]; ok {
		return state
	}
	state := f.old[key]
	delete(f.old, key)
	return state
}

func (f *Flows) put(now time.Time, key flowKey, state flowState) {
	if f.young == nil || now.Sub(f.rotated) > generation {
		f.young, f.old = make(map[flowKey]flowState), f.young
		f.attempts = make(map[callerKey]attempt)
		f.rotated = now
		delete(f.old, key)
	}
	f.young[key] = state
}
