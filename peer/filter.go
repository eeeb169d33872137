package peer

import (
	"sync"
	"time"

	"github.com/rattanthread/rattanthread/fleet"
)

// windowBits is the size of a replay window. A message is refused if its sequence
// number is this far or further behind the highest one of its path.
const windowBits = 1024

// envelopeFilter refuses messages that are addressed to another host, too old, or
// replayed. It is safe for concurrent use.
type envelopeFilter struct {
	self   fleet.HostID
	maxAge time.Duration

	mu    sync.Mutex
	peers map[fleet.HostID]*senderState
}

// senderState is the replay state of one peer.
type senderState struct {
	incarnation fleet.Incarnation
	windows     [2]replayWindow // indexed by Path
	lastSeen    time.Time
}

// replayWindow records which of the latest sequence numbers were seen, as in the
// anti-replay window of RFC 4303, section 3.4.3.
type replayWindow struct {
	highest fleet.Sequence
	bits    [windowBits / 64]uint64
}

// check returns the reason to refuse an authenticated envelope, or "" if it is accepted.
func (f *envelopeFilter) check(now time.Time, envelope *Envelope, path Path) Reason {
	switch {
	case envelope.Version != Version:
		return ReasonVersion
	case envelope.To != f.self || envelope.From == f.self:
		return ReasonWrongRecipient
	case envelope.Path != path:
		return ReasonWrongPath
	case now.Sub(envelope.SentAt()).Abs() > f.maxAge:
		return ReasonTooOld
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	state := f.sender(now, envelope.From)
	switch {
	case envelope.Incarnation < state.incarnation:
		return ReasonIncarnation
	case envelope.Incarnation > state.incarnation:
		*state = senderState{incarnation: envelope.Incarnation}
	}
	state.lastSeen = now
	if !state.windows[path].markSeen(envelope.Sequence) {
		return ReasonReplayed
	}
	return ""
}

// sender returns the state of a peer, creating it if needed. When it creates one,
// it removes the states of peers whose messages would all be too old by now.
func (f *envelopeFilter) sender(now time.Time, id fleet.HostID) *senderState {
	if state := f.peers[id]; state != nil {
		return state
	}
	for other, state := range f.peers {
		if now.Sub(state.lastSeen) > 2*f.maxAge {
			delete(f.peers, other)
		}
	}
	if f.peers == nil {
		f.peers = make(map[fleet.HostID]*senderState)
	}
	state := &senderState{}
	f.peers[id] = state
	return state
}

// markSeen reports whether a sequence number is new and marks it as seen.
func (w *replayWindow) markSeen(sequence fleet.Sequence) bool {
	if sequence == 0 || sequence+windowBits <= w.highest {
		return false
	}
	if sequence > w.highest {
		w.advance(sequence)
	}
	word, bit := sequence%windowBits/64, uint64(1)<<(sequence%64)
	if w.bits[word]&bit != 0 {
		return false
	}
	w.bits[word] |= bit
	return true
}

// advance moves the window up to highest and clears the bits that it newly covers.
func (w *replayWindow) advance(highest fleet.Sequence) {
	if highest-w.highest >= windowBits {
		w.bits = [windowBits / 64]uint64{}
		w.highest = highest
		return
	}
	for w.highest < highest {
		w.highest++
		w.bits[w.highest%windowBits/64] &^= 1 << (w.highest % 64)
	}
}
