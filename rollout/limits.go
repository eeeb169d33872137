package rollout

import "time"

// Limits bounds what a Follower keeps and how long it waits. Zero fields take defaults.
type Limits struct {
	// BacklogSteps is how many steps are kept for peers that lag; default 512.
	// Below zero none is kept, and peers that lag get whole snapshots.
	BacklogSteps  int
	BacklogBytes  int           // bytes of steps kept; default 256 KiB
	ChunkBytes    int           // snapshot bytes in one message; default 64 KiB
	HeadInterval  time.Duration // between comparisons with a random peer; default 1s
	RetryInterval time.Duration // before an unanswered fetch is sent elsewhere; default 500ms
	PeerWait      time.Duration // how long a fresh host waits for its peers; default 3s
}

// Bounds that do not depend on Limits.
const (
	treeFanout           = 4                // peers that a host passes a new revision to
	freshPeers           = 2                // peers that a fresh host compares itself with
	maxChunks            = 1024             // of one snapshot
	maxSnapshotBytes     = 16 << 20         // of one snapshot
	historyConfirmations = 3                // reads of a new history before it is adopted
	historyTime          = 10 * time.Second // shortest time between the first and the last of them
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
