package packet

import (
	"sync"
	"time"

	"github.com/rattanthread/rattanthread/fleet"
)

const (
	// windowBits is the size of a stream's window in packets. The window advances
	// by whole words, so up to one word less is available for late packets.
	windowBits = 1024
	// maxStreams is the maximum number of streams that a Window tracks.
	maxStreams = 4096
)

// Window detects replayed handoffs with a sliding window like that of IPsec
// (RFC 4303, section 3.4.3). The zero value is ready to use. It is safe for
// concurrent use.
//
// It tracks at most 4,096 streams. At the limit, streams that have been idle for
// more than twice the maximum age of a handoff are evicted; if none are, packets
// of new streams are refused.
type Window struct {
	mu      sync.Mutex
	streams map[streamID]*streamWindow
}

type streamID struct {
	from   fleet.HostID
	stream uint64
}

type streamWindow struct {
	lastSeen time.Time
	highest  uint64
	bits     [windowBits / 64]uint64
}

func (w *Window) accept(now time.Time, maxAge time.Duration, handoff *Handoff) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	id := streamID{handoff.From, handoff.Stream}
	stream := w.streams[id]
	if stream == nil {
		if len(w.streams) >= maxStreams {
			w.evictIdle(now, maxAge)
		}
		if len(w.streams) >= maxStreams {
			return ReasonReplayed
		}
		if w.streams == nil {
			w.streams = make(map[streamID]*streamWindow)
		}
		stream = new(streamWindow)
		w.streams[id] = stream
	}
	stream.lastSeen = now
	return stream.accept(handoff.Sequence)
}

// evictIdle removes the streams whose packets have all expired: a packet may be
// sealed up to maxAge ahead of the clock and is accepted for maxAge after that.
func (w *Window) evictIdle(now time.Time, maxAge time.Duration) {
	for id, stream := range w.streams {
		if now.Sub(stream.lastSeen) > 2*maxAge {
			delete(w.streams, id)
		}
	}
}

func (s *streamWindow) accept(sequence uint64) error {
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

// advance makes sequence the highest one and clears the words that are reused for
// newer sequence numbers.
func (s *streamWindow) advance(sequence uint64) {
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
