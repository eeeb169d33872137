package flow

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/rattanthread/rattanthread/fleet"
)

const (
	trackerShards = 64
	// defaultTrackedFlows is the default of SilenceDetector.Flows.
	defaultTrackedFlows = 65_536
	// keepAliveBytes is the largest payload of a keep-alive or window probe.
	keepAliveBytes = 1
)

// SilenceDetector detects flows whose server has become unresponsive: the caller
// keeps retransmitting the same data without progress. Servers respond to callers
// directly, so a host sees only the packets that the caller sends.
//
// A flow is silent when two packets that carry data, with the same sequence
// and acknowledgement numbers, are at least the silent timeout apart.
// Keep-alives and window probes are ignored, because they look the same whether
// or not they are answered, and an idle caller sends nothing else. So a healthy
// idle flow is never reset, and a dead idle flow only once its caller has data
// to send.
//
// The packets of a flow are spread over the hosts and each host considers only
// those that it receives, so with more hosts it takes more retransmissions until
// one host has seen two. The zero value is ready to use. It is safe for concurrent
// use.
type SilenceDetector struct {
	// Flows is the maximum number of tracked flows, rounded up to a multiple of
	// 64; the default is 65,536, of 32 bytes each. A new flow replaces one that
	// sent no data for twice the silent timeout; otherwise it is not tracked.
	Flows int
	// Key is mixed into the hash of a flow.
	Key [16]byte

	once      sync.Once
	shards    [trackerShards]trackerShard
	untracked atomic.Int64
	detected  atomic.Int64
}

type trackerShard struct {
	mu      sync.Mutex
	tracked []trackedFlow
}

// trackedFlow is the newest payload-bearing packet of one flow.
type trackedFlow struct {
	hash                      uint64
	sequence, acknowledgement uint32
	firstSeen, lastSeen       uint32 // milliseconds, modulo 2^32
}

// Observe records a packet that is about to be forwarded, and reports whether
// its flow is silent. If so, the caller of Observe must reset both ends.
func (d *SilenceDetector) Observe(now time.Time, in *Input, timeout time.Duration) bool {
	if in.Key.Protocol != fleet.ProtocolTCP || in.SYN || in.RST || in.PayloadLen <= keepAliveBytes {
		return false
	}
	d.once.Do(d.initialize)
	hash := hashFlow(&d.Key, &in.Key) | 1
	shard := &d.shards[hash%trackerShards]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	entry := &shard.tracked[hash/trackerShards%uint64(len(shard.tracked))]
	at := uint32(now.UnixMilli())
	switch {
	case entry.hash != hash:
		d.track(entry, hash, in, at, timeout)
		return false
	case entry.sequence == in.Sequence && entry.acknowledgement == in.Acknowledgement:
		entry.lastSeen = at
		return d.detect(entry, at, timeout)
	case int32(in.Sequence-entry.sequence) < 0 && in.Acknowledgement == entry.acknowledgement:
		return false // a reordered packet
	}
	*entry = trackedFlow{hash, in.Sequence, in.Acknowledgement, at, at}
	return false
}

// Untracked returns the number of packets of flows for which there was no room.
func (d *SilenceDetector) Untracked() int64 { return d.untracked.Load() }

// Detected returns the number of flows detected as silent.
func (d *SilenceDetector) Detected() int64 { return d.detected.Load() }

func (d *SilenceDetector) initialize() {
	flows := d.Flows
	if flows <= 0 {
		flows = defaultTrackedFlows
	}
	for i := range d.shards {
		d.shards[i].tracked = make([]trackedFlow, (flows+trackerShards-1)/trackerShards)
	}
}

// track starts tracking a flow, if its entry is free or stale.
func (d *SilenceDetector) track(entry *trackedFlow, hash uint64, in *Input, at uint32, timeout time.Duration) {
	if entry.hash != 0 && time.Duration(at-entry.lastSeen)*time.Millisecond < 2*timeout {
		d.untracked.Add(1)
		return
	}
	*entry = trackedFlow{hash, in.Sequence, in.Acknowledgement, at, at}
}

// detect reports whether the same payload has been retransmitted for the silent
// timeout, and if so stops tracking the flow.
func (d *SilenceDetector) detect(entry *trackedFlow, at uint32, timeout time.Duration) bool {
	if time.Duration(at-entry.firstSeen)*time.Millisecond < timeout {
		return false
	}
	*entry = trackedFlow{}
	d.detected.Add(1)
	return true
}
