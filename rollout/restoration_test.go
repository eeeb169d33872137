package rollout_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rattanthread/rattanthread/config"
	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/rollout"
)

// TestRestoredStore offers what a host reads from a store that has lost revisions: the lost
// ones stay in force until something is published in the restored store, which is adopted
// within the time that a change may take.
func TestRestoredStore(t *testing.T) {
	published := func(history fleet.HistoryID, revision fleet.Revision, epoch fleet.StoreEpoch, at time.Duration) config.PublishedSet {
		return config.PublishedSet{
			History: history, Revision: revision, Epoch: epoch, Publication: "publication", Published: time.Unix(1000, 0).Add(at),
		}
	}
	tests := []struct {
		name string
		read config.PublishedSet
		want fleet.Revision
	}{
		{"the copy", published("h1", 3, 1, 3*time.Second), 5},
		{"the next publication", published("h2", 4, 2, 9*time.Second), 4},
		{"a publication of an unknown epoch needs several reads", published("h2", 4, 0, 9*time.Second), 5},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			follower := rollout.Follower{Self: "a-1", DataCentre: "a"}
			now := time.Unix(2000, 0)
			follower.Offer(now, published("h1", 5, 1, 5*time.Second))
			follower.Offer(now, test.read)
			inForce, _ := follower.InForce()
			is.Equal(inForce.Revision, test.want)
		})
	}
}
