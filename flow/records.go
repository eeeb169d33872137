package flow

import "time"

// record names the server of one flow.
type record struct {
	hash   uint64
	seen   uint32 // seconds since 1970, modulo 2^32
	server uint16
	flags  recordFlags
}

type recordFlags uint16

const (
	recordUsed   recordFlags = 1 << iota
	recordClosed             // a FIN or RST was seen
	recordCopy               // copied from the slot's owner
)

const (
	// closedLinger is how long a record is kept after a FIN or RST.
	closedLinger = time.Minute
	// copyLife is how long a copy is kept, in idle timeouts; the owner sends it
	// again once in every idle timeout.
	copyLife = 4
	// minRecords is the number of records for which a set first has room.
	minRecords = 8
)

func seconds(now time.Time) uint32 { return uint32(now.Unix()) }

// expired reports whether the record may be dropped.
func (r *record) expired(now uint32, idle time.Duration) bool {
	life := idle
	switch {
	case r.flags&recordClosed != 0:
		life = min(idle, closedLinger)
	case r.flags&recordCopy != 0:
		life = copyLife * idle
	}
	return time.Duration(now-r.seen)*time.Second > life
}

// recordSet is an open-addressing hash set of records with linear probing. It
// doubles when three quarters full. The zero value is empty.
type recordSet struct {
	records []record // a power of two of them
	n       int
}

func (s *recordSet) find(hash uint64) *record {
	if s.n == 0 {
		return nil
	}
	mask := uint64(len(s.records) - 1)
	for i := hash & mask; ; i = (i + 1) & mask {
		r := &s.records[i]
		if r.flags == 0 {
			return nil
		}
		if r.hash == hash {
			return r
		}
	}
}

// insert adds a record whose hash is not yet in the set.
func (s *recordSet) insert(r record) {
	if s.n >= len(s.records)/4*3 {
		s.grow()
	}
	r.flags |= recordUsed
	mask := uint64(len(s.records) - 1)
	i := r.hash & mask
	for s.records[i].flags != 0 {
		i = (i + 1) & mask
	}
	s.records[i] = r
	s.n++
}

func (s *recordSet) grow() {
	old := s.records
	s.records = make([]record, max(minRecords, 2*len(old)))
	s.n = 0
	for _, r := range old {
		if r.flags != 0 {
			s.insert(r)
		}
	}
}

// remove drops the record of hash, and closes the gap so that probing for
// others still finds them.
func (s *recordSet) remove(hash uint64) {
	if r := s.find(hash); r == nil {
		return
	}
	mask := uint64(len(s.records) - 1)
	i := hash & mask
	for s.records[i].hash != hash {
		i = (i + 1) & mask
	}
	for j := (i + 1) & mask; s.records[j].flags != 0; j = (j + 1) & mask {
		home := s.records[j].hash & mask
		if (j-home)&mask >= (j-i)&mask {
			s.records[i] = s.records[j]
			i = j
		}
	}
	s.records[i] = record{}
	s.n--
}

// expire drops the records that are due and returns how many.
func (s *recordSet) expire(now uint32, idle time.Duration) int {
	var due []uint64
	for i := range s.records {
		if r := &s.records[i]; r.flags != 0 && r.expired(now, idle) {
			due = append(due, r.hash)
		}
	}
	for _, hash := range due {
		s.remove(hash)
	}
	return len(due)
}

// onlyOn reports whether every record names one server.
func (s *recordSet) onlyOn(server uint16) bool {
	for i := range s.records {
		if r := &s.records[i]; r.flags != 0 && r.server != server {
			return false
		}
	}
	return true
}

const (
	halfOpenWays = 4
	halfOpenSets = 16
	// halfOpenLife is how long a flow may be half open, in seconds: the time in
	// which a caller retransmits a SYN six times.
	halfOpenLife = 63
)

// halfOpenSet holds the flows of one slot of which only the first packet was
// seen, at most 64. Where it is full, the oldest gives way: a flood of first
// packets pushes out others like it, but no established flow.
type halfOpenSet [halfOpenSets * halfOpenWays]halfOpenRecord

// halfOpenRecord is a flow of which only the first packet was seen.
type halfOpenRecord struct {
	record
	// sequence is that of the SYN, if hasSequence.
	sequence    uint32
	hasSequence bool
}

// sequenceWindow is how far the sequence number of the second packet of a flow
// may be past that of the SYN, in bytes.
const sequenceWindow = 1 << 20

// continues reports whether a packet may belong to the flow that the SYN opened.
// A packet of an older flow with the same five-tuple does not, as long as the
// caller chose its initial sequence number at random (RFC 6528).
func (r *halfOpenRecord) continues(sequence uint32) bool {
	return !r.hasSequence || sequence-r.sequence <= sequenceWindow
}

func (s *halfOpenSet) ways(hash uint64) []halfOpenRecord {
	set := hash % halfOpenSets * halfOpenWays
	return s[set : set+halfOpenWays]
}

func (s *halfOpenSet) find(hash uint64, now uint32) *halfOpenRecord {
	if s == nil {
		return nil
	}
	ways := s.ways(hash)
	for i := range ways {
		if ways[i].flags != 0 && ways[i].hash == hash && now-ways[i].seen <= halfOpenLife {
			return &ways[i]
		}
	}
	return nil
}

// insert adds a record and reports whether it pushed out a live one.
func (s *halfOpenSet) insert(r halfOpenRecord) bool {
	r.flags |= recordUsed
	ways := s.ways(r.hash)
	oldest := 0
	for i := range ways {
		if ways[i].flags == 0 || ways[i].hash == r.hash {
			ways[i] = r
			return false
		}
		if int32(ways[i].seen-ways[oldest].seen) < 0 {
			oldest = i
		}
	}
	live := r.seen-ways[oldest].seen <= halfOpenLife
	ways[oldest] = r
	return live
}

// onlyOn reports whether every half-open flow is on one server.
func (s *halfOpenSet) onlyOn(server uint16) bool {
	for i := range s {
		if r := &s[i]; r.flags != 0 && r.server != server {
			return false
		}
	}
	return true
}
