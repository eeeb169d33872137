// Package rollout decides which configuration revision is in force on one entry
// host: which hosts read the platform, how a revision passes between peers, and
// that no host ever goes back to an earlier revision.
//
// A Follower is used by one goroutine, which sends what its methods return.
package rollout

import (
	"math/rand/v2"
	"time"

	"github.com/rattanthread/rattanthread/config"
	"github.com/rattanthread/rattanthread/fleet"
)

// Follower follows the published configuration. Self and DataCentre must be set
// before first use; the zero value of every other field is ready for use.
type Follower struct {
	Self       fleet.HostID
	DataCentre fleet.DataCentreID
	Limits     Limits
	// Random chooses the peers to compare with. Nil means a fixed seed.
	Random *rand.Rand

	current config.Revised
	live    []fleet.HostID
}

// Limits bounds what a Follower keeps and how long it waits. Zero fields take defaults.
type Limits struct {
	BacklogSteps  int           // revisions kept as deltas; default 512
	BacklogBytes  int           // bytes of deltas kept; default 1 MiB
	ChunkBytes    int           // snapshot bytes in one message; default 64 KiB
	HeadInterval  time.Duration // between comparisons with a random peer; default 1s
	RetryInterval time.Duration // before an unanswered fetch is sent elsewhere; default 500ms
	PeerWait      time.Duration // how long a fresh host waits for its peers; default 3s
}

// Head is the place of a configuration in its history.
type Head struct {
	_         struct{} `cbor:",toarray"`
	History   fleet.HistoryID
	Revision  fleet.Revision
	Published time.Time
}

// Install sets the live hosts.
func (f *Follower) Install(_ time.Time, live []fleet.Host) {
	f.live = f.live[:0]
	for _, h := range live {
		if h.DataCentre == f.DataCentre {
			f.live = append(f.live, h.ID)
		}
	}
}

// Offer handles a configuration that this host read from the platform. A lagging
// read never lowers what is in force.
func (f *Follower) Offer(_ time.Time, r config.Revised) []fleet.Send {
	if r.Revision > f.current.Revision {
		f.current = r
	}
	return nil
}

// Observe records that a peer claims to have a revision in force.
func (f *Follower) Observe(_ time.Time, _ fleet.HostID, _ fleet.Revision) {}

// Receive handles a message from a peer.
func (f *Follower) Receive(_ time.Time, _ fleet.HostID, _ fleet.Message) []fleet.Send { return nil }

// Tick advances the follower to now.
func (f *Follower) Tick(_ time.Time) []fleet.Send { return nil }

// InForce returns the configuration in force. Its Set must not be modified.
func (f *Follower) InForce() (config.Revised, bool) {
	return f.current, f.current.Revision > 0
}

// IsReader reports whether this host should watch the platform.
func (f *Follower) IsReader() bool {
	a, b := fleet.RendezvousPair("reader/"+string(f.DataCentre), f.live)
	return len(f.live) == 0 || f.Self == a || f.Self == b
}

// Ready reports whether this host knows a configuration and has compared it
// with its peers, or waited for them, since it started.
func (f *Follower) Ready() bool { return f.current.Revision > 0 }

// NeedFetch reports whether a revision higher than the one in force is known to exist.
func (f *Follower) NeedFetch() bool { return false }

// Messages returns one zero value of every message of this package.
func Messages() []fleet.Message { return nil }
