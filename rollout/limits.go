package rollout

import "time"

// Limits bounds the memory and the waiting times of a Follower. Zero fields use defaults.
type Limits struct {
	// BacklogSteps is the number of steps kept for lagging peers; default 512. If
	// negative, no steps are kept and lagging peers receive full snapshots.
	BacklogSteps  int
	BacklogBytes  int           // total size of the steps kept; default 256 KiB
	ChunkBytes    int           // snapshot bytes per message; default 64 KiB
	HeadInterval  time.Duration // interval between comparisons with a random peer; default 1s
	RetryInterval time.Duration // time until an unanswered fetch is retried with another peer; default 500ms
	PeerWait      time.Duration // maximum wait of a starting host for its peers; default 3s
}

// Bounds that are not configurable.
const (
	treeFanout       = 4                // peers to which each host pushes a new revision
	startupPeers     = 2                // peers that a starting host compares itself with
	maxRetries       = 8                // unanswered fetches before the target is abandoned
	maxChunks        = 1024             // per snapshot
	maxSnapshotBytes = 16 << 20         // per snapshot
	minHistoryReads  = 3                // reads of a new history before it is adopted
	minHistoryAge    = 10 * time.Second // minimum time between the first and the last of these reads
)

func (l Limits) withDefaults() Limits {
	setDefault(&l.BacklogSteps, 512)
	setDefault(&l.BacklogBytes, 256<<10)
	setDefault(&l.ChunkBytes, 64<<10)
	setDefault(&l.HeadInterval, time.Second)
	setDefault(&l.RetryInterval, 500*time.Millisecond)
	setDefault(&l.PeerWait, 3*time.Second)
	return l
}

func setDefault[T int | time.Duration](v *T, value T) {
	if *v == 0 {
		*v = value
	}
}
