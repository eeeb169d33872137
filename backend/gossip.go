package backend

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rattanthread/rattanthread/fleet"
)

// syncInterval is the time between two comparisons of digests with a peer.
const syncInterval = time.Second

// digestBuckets is the number of buckets in which records are compared.
const digestBuckets = 64

// Records returns the records of the configured servers, sorted by server.
func (p *Pool) Records() []fleet.ServerRecord {
	var records []fleet.ServerRecord
	for _, id := range p.serverIDs {
		if r := p.servers[id].record; r.Sequence > 0 {
			records = append(records, r)
		}
	}
	return records
}

// Digest returns a hash of the records that does not depend on their order.
// Hosts with equal records of equal servers have equal digests.
func (p *Pool) Digest() uint64 {
	records, _ := p.Digests()
	return records
}

// Digests returns Digest and a digest of the admissions of servers at this host, which
// depend on more than their records.
func (p *Pool) Digests() (records, admissions uint64) {
	for _, s := range p.servers {
		if s.record.Sequence > 0 {
			records += s.digest
		}
		admissions += s.admissionDigest
	}
	return records, admissions
}

// setAdmission sets the admission and its digest.
func (s *server) setAdmission(admission Admission) {
	if s.admissionDigest != 0 && s.bucket.currentAdmission() == admission {
		return
	}
	s.bucket.setAdmission(admission)
	var hash xxhash.Digest
	hash.Reset()
	_, _ = hash.WriteString(string(s.config.Name))
	_, _ = hash.Write([]byte{byte(admission)})
	s.admissionDigest = hash.Sum64()
}

func (s *server) setRecord(r fleet.ServerRecord) {
	s.record, s.digest = r, digest(r)
}

func digest(record fleet.ServerRecord) uint64 {
	var fields [17]byte
	fields[0] = byte(record.Phase)
	binary.LittleEndian.PutUint64(fields[1:], uint64(record.Incarnation))
	binary.LittleEndian.PutUint64(fields[9:], uint64(record.Sequence))
	var hash xxhash.Digest
	hash.Reset()
	_, _ = hash.WriteString(string(record.Server))
	_, _ = hash.Write(fields[:])
	return hash.Sum64()
}

func bucketOf(id fleet.ServerID) int {
	return int(xxhash.Sum64String(string(id)) % digestBuckets)
}

// supersedes reports whether record a replaces b. Two allocators that are unaware of
// each other can assign the same incarnation and sequence to different records. The
// record with the more restrictive phase then takes precedence.
func supersedes(a, b fleet.ServerRecord) bool {
	if a.Incarnation != b.Incarnation || a.Sequence != b.Sequence {
		return a.NewerThan(b)
	}
	return restrictiveness(a.Phase) > restrictiveness(b.Phase)
}

func restrictiveness(phase fleet.ServerPhase) int {
	switch phase {
	case fleet.ServerWarm:
		return 0
	case fleet.ServerWarming:
		return 1
	case fleet.ServerCold:
		return 2
	case fleet.ServerSuspected:
		return 3
	case fleet.ServerDraining:
		return 4
	default:
		return 5
	}
}

// handleRecords adopts newer records and forwards them.
func (p *Pool) handleRecords(now time.Time, records []fleet.ServerRecord) {
	for _, record := range records {
		srv := p.servers[record.Server]
		if srv == nil || !supersedes(record, srv.record) {
			continue
		}
		srv.adopt(record)
		p.changed = append(p.changed, record)
		p.applyDrain(srv)
		srv.updateAdmission(now)
	}
}

func (s *server) adopt(r fleet.ServerRecord) {
	s.setRecord(r)
	if s.allocator != nil {
		s.allocator.resetWarmup()
	}
}

// flush sends the changed records to Fanout peers, which forward them.
func (p *Pool) flush() []fleet.Send {
	changed := p.changed
	p.changed = nil
	var sends []fleet.Send
	for len(changed) > 0 {
		n := min(len(changed), p.limits().RecordsPerMessage)
		message := &Records{Records: changed[:n:n]}
		changed = changed[n:]
		for _, peer := range p.nextPeers(p.limits().Fanout) {
			sends = append(sends, fleet.Send{To: peer, Message: message})
		}
	}
	return sends
}

// nextPeers returns up to n peers in round-robin order. The first position depends
// on the ID of this host, so that hosts do not all select the same peers.
func (p *Pool) nextPeers(n int) []fleet.HostID {
	if len(p.hosts) == 0 {
		return nil
	}
	if p.peerIndex == 0 {
		p.peerIndex = int(xxhash.Sum64String(string(p.self)) % uint64(len(p.hosts)))
	}
	var peers []fleet.HostID
	for range p.hosts {
		p.peerIndex++
		host := p.hosts[p.peerIndex%len(p.hosts)]
		if host != p.self {
			peers = append(peers, host)
		}
		if len(peers) == n {
			break
		}
	}
	return peers
}

// sync compares digests with one peer every syncInterval, to repair what gossip
// missed.
func (p *Pool) sync(now time.Time) []fleet.Send {
	if now.Sub(p.lastSync) < syncInterval {
		return nil
	}
	p.lastSync = now
	return p.compareDigests(p.nextPeers(1))
}

// compareDigests compares digests with peers. After a network partition this happens
// immediately, because each side has regarded the servers of the other as unknown.
func (p *Pool) compareDigests(peers []fleet.HostID) []fleet.Send {
	var sends []fleet.Send
	for _, peer := range peers {
		sends = append(sends, fleet.Send{To: peer, Message: &RecordDigest{Digest: p.Digest()}})
	}
	return sends
}

func (p *Pool) handleDigest(from fleet.HostID, m *RecordDigest) []fleet.Send {
	if m.Digest == p.Digest() {
		return nil
	}
	return []fleet.Send{{To: from, Message: &BucketDigests{Digests: p.bucketDigests(), Reply: true}}}
}

func (p *Pool) bucketDigests() []uint64 {
	sums := make([]uint64, digestBuckets)
	for id, s := range p.servers {
		if s.record.Sequence > 0 {
			sums[bucketOf(id)] += digest(s.record)
		}
	}
	return sums
}

// handleBucketDigests sends the records of the buckets that differ, as many as fit in
// one message. Later comparisons send the rest.
func (p *Pool) handleBucketDigests(from fleet.HostID, message *BucketDigests) []fleet.Send {
	local := p.bucketDigests()
	if len(message.Digests) != len(local) {
		return nil
	}
	var sends []fleet.Send
	if message.Reply {
		sends = append(sends, fleet.Send{To: from, Message: &BucketDigests{Digests: local}})
	}
	var records []fleet.ServerRecord
	for _, record := range p.Records() {
		bucket := bucketOf(record.Server)
		if local[bucket] != message.Digests[bucket] && len(records) < p.limits().RecordsPerMessage {
			records = append(records, record)
		}
	}
	if len(records) > 0 {
		sends = append(sends, fleet.Send{To: from, Message: &Records{Records: records}})
	}
	return sends
}
