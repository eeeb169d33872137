package placement

import (
	"time"

	"github.com/rattanthread/rattanthread/catalogue"
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
const generation = 10 * time.Second

// Progress remembers the last packet of each flow to tell signs from it. It is
// a cache: losing it costs evidence and nothing else. The zero value is ready
// for use. It belongs to one goroutine.
type Progress struct {
	young, old map[uint64]flowState
	rotated    time.Time
}

type flowState struct {
	server catalogue.Cookie
	seq    uint32
	ack    uint32
	length int
	sent   time.Time
}

// Opened notes that the opening packet of a flow was sent to a server. It
// returns the server to which the copy before was sent, or zero.
func (p *Progress) Opened(now time.Time, flow uint64, server catalogue.Cookie) catalogue.Cookie {
	before := p.take(flow)
	p.put(now, flow, flowState{server: server, sent: now})
	return before.server
}

// Seen notes a packet of an open flow. Length is that of its data in bytes.
func (p *Progress) Seen(now time.Time, flow uint64, server catalogue.Cookie, seq, ack uint32, length int) Sign {
	before := p.take(flow)
	next := flowState{server: server, seq: seq, ack: ack, length: length, sent: now}
	sign := NoSign
	switch {
	case before.server != server || int32(ack-before.ack) > 0:
		sign = Answer
	case length > 0 && before.length > 0 && seq == before.seq:
		if now.Sub(before.sent) >= repetitionGap {
			sign = Repetition
		}
	case int32(seq-before.seq) < 0:
		next = before
	}
	p.put(now, flow, next)
	return sign
}

func (p *Progress) take(flow uint64) flowState {
	if state, ok := p.young[flow]; ok {
		return state
	}
	return p.old[flow]
}

func (p *Progress) put(now time.Time, flow uint64, state flowState) {
	if p.young == nil || now.Sub(p.rotated) > generation {
		p.young, p.old = make(map[uint64]flowState), p.young
		p.rotated = now
	}
	p.young[flow] = state
}
