package flow

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/rattanthread/rattanthread/fleet"
)

const (
	silenceShards = 64
	// defaultSilenceFlows is how many flows a Silence follows.
	defaultSilenceFlows = 65_536
	// keepAliveBytes is the longest payload of a keep-alive or a window probe.
	keepAliveBytes = 1
)

// Silence notices flows that have gone silent for good: the caller sends the
// same data again and again, and no answer moves it on. The server answers
// callers directly, so the caller's side is all that a host sees.
//
// A flow is silent when two packets with the same payload-bearing sequence
// number and the same acknowledgement number are at least the silent timeout
// apart. Keep-alives and window probes are left out, as they look the same
// answered or not, and quiet callers send nothing else; so a healthy quiet flow
// is never ended, and a dead quiet one only once its caller has data to send.
//
// Packets of a flow are sprayed over the hosts and each host judges by those that
// it sees itself, so with more hosts it takes more retransmissions until one
// host has seen two. The zero value works. It is safe for concurrent use.
type Silence struct {
	// Flows is how many flows are followed, rounded up to a multiple of 64;
	// default 65,536, of 32 bytes each. A flow takes the place of one that was
	// not heard of for twice the silent timeout; others are not followed.
	Flows int
	// Key is mixed into the hash of a flow.
	Key [16]byte

	once    sync.Once
	shards  [silenceShards]silenceShard
	crowded atomic.Int64
	ended   atomic.Int64
}

type silenceShard struct {
	mu    sync.Mutex
	flows []silenceFlow
}

// silenceFlow is the newest payload of one flow.
type silenceFlow struct {
	hash                      uint64
	sequence, acknowledgement uint32
	first, last               uint32 // milliseconds, modulo 2^32
}

// Observe takes note of a packet that is about to be forwarded, and reports
// whether its flow has gone silent. The caller of Observe then resets both ends.
func (s *Silence) Observe(now time.Time, in *Input, timeout time.Duration) bool {
	if in.Key.Protocol != fleet.ProtocolTCP || in.SYN || in.RST || in.PayloadLen <= keepAliveBytes {
		return false
	}
	s.once.Do(s.begin)
	hash := hashFlow(&s.Key, &in.Key) | 1
	shard := &s.shards[hash%silenceShards]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	f := &shard.flows[hash/silenceShards%uint64(len(shard.flows))]
	at := uint32(now.UnixMilli())
	switch {
	case f.hash != hash:
		s.follow(f, hash, in, at, timeout)
		return false
	case f.sequence == in.Sequence && f.acknowledgement == in.Acknowledgement:
		f.last = at
		return s.judge(f, at, timeout)
	case int32(in.Sequence-f.sequence) < 0 && in.Acknowledgement == f.acknowledgement:
		return false // a late packet
	}
	*f = silenceFlow{hash, in.Sequence, in.Acknowledgement, at, at}
	return false
}

// Crowded returns how many packets were of flows that could not be followed.
func (s *Silence) Crowded() int64 { return s.crowded.Load() }

// Ended returns how many flows were found silent.
func (s *Silence) Ended() int64 { return s.ended.Load() }

func (s *Silence) begin() {
	flows := s.Flows
	if flows <= 0 {
		flows = defaultSilenceFlows
	}
	for i := range s.shards {
		s.shards[i].flows = make([]silenceFlow, (flows+silenceShards-1)/silenceShards)
	}
}

// follow begins to follow a flow, if its place is free.
func (s *Silence) follow(f *silenceFlow, hash uint64, in *Input, at uint32, timeout time.Duration) {
	if f.hash != 0 && time.Duration(at-f.last)*time.Millisecond < 2*timeout {
		s.crowded.Add(1)
		return
	}
	*f = silenceFlow{hash, in.Sequence, in.Acknowledgement, at, at}
}

// judge reports whether the same payload has been sent for the silent timeout,
// and if so stops following the flow.
func (s *Silence) judge(f *silenceFlow, at uint32, timeout time.Duration) bool {
	if time.Duration(at-f.first)*time.Millisecond < timeout {
		return false
	}
	*f = silenceFlow{}
	s.ended.Add(1)
	return true
}
