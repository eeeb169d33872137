package peer

import (
	"sync"
	"time"

	"github.com/rattanthread/rattanthread/fleet"
)

// windowBits is how far a message may lag behind the highest sequence of its
// path and still be taken.
const windowBits = 1024

// guard refuses messages that are for another host, too old, or seen before. It
// is safe for concurrent use.
type guard struct {
	self fleet.HostID
	age  time.Duration

	mu    sync.Mutex
	peers map[fleet.HostID]*senderRecord
}

// senderRecord is what was seen of one peer.
type senderRecord struct {
	incarnation fleet.Incarnation
	paths       [2]window
	seen        time.Time
}

// window remembers which of the latest sequences were seen, as in the
// anti-replay window of RFC 4303, section 3.4.3.
type window struct {
	highest fleet.Sequence
	bits    [windowBits / 64]uint64
}

// admit reports why an authenticated envelope is refused, or "" to take it.
func (g *guard) admit(now time.Time, e *Envelope, path Path) Reason {
	switch {
	case e.Version != Version:
		return ReasonVersion
	case e.To != g.self || e.From == g.self:
		return ReasonWrongRecipient
	case e.Path != path:
		return ReasonWrongPath
	case now.Sub(e.SentAt()).Abs() > g.age:
		return ReasonTooOld
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.sender(now, e.From)
	switch {
	case e.Incarnation < s.incarnation:
		return ReasonIncarnation
	case e.Incarnation > s.incarnation:
		*s = senderRecord{incarnation: e.Incarnation}
	}
	s.seen = now
	if !s.paths[path].take(e.Sequence) {
		return ReasonReplayed
	}
	return ""
}

// sender returns the record of a peer. Records whose messages would all be too
// old by now are dropped when a new one is made.
func (g *guard) sender(now time.Time, id fleet.HostID) *senderRecord {
	if s := g.peers[id]; s != nil {
		return s
	}
	for other, s := range g.peers {
		if now.Sub(s.seen) > 2*g.age {
			delete(g.peers, other)
		}
	}
	if g.peers == nil {
		g.peers = make(map[fleet.HostID]*senderRecord)
	}
	s := &senderRecord{}
	g.peers[id] = s
	return s
}

// take reports whether a sequence is new, and marks it as seen.
func (w *window) take(n fleet.Sequence) bool {
	if n == 0 || n+windowBits <= w.highest {
		return false
	}
	if n > w.highest {
		w.advance(n)
	}
	word, bit := n%windowBits/64, uint64(1)<<(n%64)
	if w.bits[word]&bit != 0 {
		return false
	}
	w.bits[word] |= bit
	return true
}

// advance moves the window up to n and clears what it newly covers.
func (w *window) advance(n fleet.Sequence) {
	if n-w.highest >= windowBits {
		w.bits = [windowBits / 64]uint64{}
		w.highest = n
		return
	}
	for w.highest < n {
		w.highest++
		w.bits[w.highest%windowBits/64] &^= 1 << (w.highest % 64)
	}
}
