package packet

import (
	"sync"
	"time"

	"github.com/rattanthread/rattanthread/fleet"
)

const (
	// windowBits is how far back in a stream a late packet may come, less at most one word.
	windowBits = 1024
	// maxStreams bounds the streams that a Window follows.
	maxStreams = 4096
)

// Window recognises handoffs that were seen before, in the manner of the
// sliding window of IPsec (RFC 4303, section 3.4.3). The zero value works. It
// is safe for concurrent use.
//
// It follows at most 4,096 streams. A stream that has been quiet for longer
// than a handoff may be old is forgotten; beyond the limit, packets of new
// streams are refused.
type Window struct {
	mu      sync.Mutex
	streams map[streamID]*stream
}

type streamID struct {
	from   fleet.HostID
	stream uint64
}

type stream struct {
	seen    time.Time
	highest uint64
	bits    [windowBits / 64]uint64
}

func (w *Window) accept(now time.Time, maxAge time.Duration, h *Handoff) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	id := streamID{h.From, h.Stream}
	s := w.streams[id]
	if s == nil {
		if len(w.streams) >= maxStreams {
			w.forget(now, maxAge)
		}
		if len(w.streams) >= maxStreams {
			return ReasonReplayed
		}
		if w.streams == nil {
			w.streams = make(map[streamID]*stream)
		}
		s = new(stream)
		w.streams[id] = s
	}
	s.seen = now
	return s.accept(h.Sequence)
}

// forget drops the streams whose every packet would be refused as expired: a
// packet may be sealed up to maxAge ahead of the clock and be taken up to
// maxAge after that.
func (w *Window) forget(now time.Time, maxAge time.Duration) {
	for id, s := range w.streams {
		if now.Sub(s.seen) > 2*maxAge {
			delete(w.streams, id)
		}
	}
}

func (s *stream) accept(sequence uint64) error {
	if sequence/64+uint64(len(s.bits)) <= s.highest/64 {
		return ReasonReplayed
	}
	if sequence > s.highest {
		s.advance(sequence)
	}
	word, bit := sequence/64%uint64(len(s.bits)), uint64(1)<<(sequence%64)
	if s.bits[word]&bit != 0 {
		return ReasonReplayed
	}
	s.bits[word] |= bit
	return nil
}

// advance makes sequence the highest one, and clears the words that now stand
// for newer numbers.
func (s *stream) advance(sequence uint64) {
	from, to := s.highest/64, sequence/64
	if to-from >= uint64(len(s.bits)) {
		clear(s.bits[:])
	} else {
		for i := from + 1; i <= to; i++ {
			s.bits[i%uint64(len(s.bits))] = 0
		}
	}
	s.highest = sequence
}
