package flow

import "time"

// record assigns one flow to its server.
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
	recordCopy               // a copy from the slot's owner
)

const (
	// closedRecordTTL is how long a record is kept after a FIN or RST.
	closedRecordTTL = time.Minute
	// copyIdleTimeouts is how many idle timeouts a copy is kept; the owner
	// sends it again once per idle timeout.
	copyIdleTimeouts = 4
	// minRecords is the initial capacity of a recordSet.
	minRecords = 8
)

func seconds(now time.Time) uint32 { return uint32(now.Unix()) }

// expired reports whether the record may be removed.
func (r *record) expired(now uint32, idle time.Duration) bool {
	ttl := idle
	switch {
	case r.flags&recordClosed != 0:
		ttl = min(idle, closedRecordTTL)
	case r.flags&recordCopy != 0:
		ttl = copyIdleTimeouts * idle
	}
	return time.Duration(now-r.seen)*time.Second > ttl
}

// recordSet is an open-addressing hash set of records with linear probing. Its
// capacity doubles when it is three quarters full. The zero value is an empty
// set.
type recordSet struct {
	records []record // the length is a power of two
	count   int
}

func (s *recordSet) find(hash uint64) *record {
	if s.count == 0 {
		return nil
	}
	mask := uint64(len(s.records) - 1)
	for i := hash & mask; ; i = (i + 1) & mask {
		rec := &s.records[i]
		if rec.flags == 0 {
			return nil
		}
		if rec.hash == hash {
			return rec
		}
	}
}

// insert adds a record whose hash is not yet in the set.
func (s *recordSet) insert(rec record) {
	if s.count >= len(s.records)/4*3 {
		s.grow()
	}
	rec.flags |= recordUsed
	mask := uint64(len(s.records) - 1)
	i := rec.hash & mask
	for s.records[i].flags != 0 {
		i = (i + 1) & mask
	}
	s.records[i] = rec
	s.count++
}

func (s *recordSet) grow() {
	old := s.records
	s.records = make([]record, max(minRecords, 2*len(old)))
	s.count = 0
	for _, rec := range old {
		if rec.flags != 0 {
			s.insert(rec)
		}
	}
}

// remove deletes the record of hash, if any, and moves later records of the
// probe sequence into the gap, so that lookups still find them.
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
	s.count--
}

// expire removes the expired records and returns their number.
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

// onlyOn reports whether every recorded flow is on server.
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
	// halfOpenSeconds is how long a flow may stay half open: the time in which
	// a caller retransmits a SYN six times.
	halfOpenSeconds = 63
)

// halfOpenSet is a set-associative table of the half-open flows of one slot, at
// most 64. When a set is full, the oldest flow in it is evicted: a SYN flood
// evicts other half-open flows but no established ones.
type halfOpenSet [halfOpenSets * halfOpenWays]halfOpenRecord

// halfOpenRecord is a half-open flow: only its first packet was seen.
type halfOpenRecord struct {
	record
	// sequence is the sequence number of the SYN, if hasSequence is true.
	sequence    uint32
	hasSequence bool
}

// sequenceWindow is how many bytes the sequence number of the second packet of
// a flow may be ahead of that of the SYN.
const sequenceWindow = 1 << 20

// inSequenceWindow reports whether a packet may belong to the flow that the SYN
// opened. A packet of an older flow with the same five-tuple is almost always
// outside the window, provided that the caller's initial sequence numbers are
// unpredictable (RFC 6528).
func (r *halfOpenRecord) inSequenceWindow(sequence uint32) bool {
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
		if ways[i].flags != 0 && ways[i].hash == hash && now-ways[i].seen <= halfOpenSeconds {
			return &ways[i]
		}
	}
	return nil
}

// insert adds a record and reports whether it evicted one that had not expired.
func (s *halfOpenSet) insert(rec halfOpenRecord) bool {
	rec.flags |= recordUsed
	ways := s.ways(rec.hash)
	oldest := 0
	for i := range ways {
		if ways[i].flags == 0 || ways[i].hash == rec.hash {
			ways[i] = rec
			return false
		}
		if int32(ways[i].seen-ways[oldest].seen) < 0 {
			oldest = i
		}
	}
	live := rec.seen-ways[oldest].seen <= halfOpenSeconds
	ways[oldest] = rec
	return live
}

// onlyOn reports whether every half-open flow is on server.
func (s *halfOpenSet) onlyOn(server uint16) bool {
	for i := range s {
		if r := &s[i]; r.flags != 0 && r.server != server {
			return false
		}
	}
	return true
}
