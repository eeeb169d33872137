// Package rollout decides which configuration revision is in force on one entry
// host: which hosts read the platform, how a revision passes between peers, and
// that no host ever goes back to an earlier revision.
//
// A peer that lags resumes from its history and revision while a bounded
// backlog of changes reaches back to it, and gets the whole configuration
// otherwise, as in the partial resynchronisation (PSYNC) of Valkey and Redis.
//
// A Follower is used by one goroutine: the owner calls Tick about every 50 ms
// and sends what its methods return.
package rollout

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

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

	limits  Limits
	started time.Time
	counts  Counts

	current config.Revised
	backlog backlog
	history newHistory

	near   []fleet.HostID // live hosts of this data centre, sorted, Self included
	remote []fleet.HostID // live hosts of the others, sorted

	ready    bool
	answered map[fleet.HostID]bool // peers that a fresh host has compared itself with
	nextHead time.Time
	fetch    fetch
	snapshot snapshot
}

// Counts are totals since the follower was made.
type Counts struct {
	Adopted       uint64 // revisions that came into force
	StaleReads    uint64 // reads of the platform that were older than what is in force
	Conflicts     uint64 // the same revision with another publication
	Histories     uint64 // changes to another history
	Steps         uint64 // revisions adopted from changes
	Snapshots     uint64 // revisions adopted from whole snapshots
	Fetches       uint64
	Retries       uint64 // fetches repeated for want of an answer
	Discarded     uint64 // messages that did not fit or did not decode
	ServedChanges uint64 // answers to peers
	ServedChunks  uint64 // answers to peers
}

// Counts returns the totals.
func (f *Follower) Counts() Counts { return f.counts }

// start makes the zero value usable.
func (f *Follower) start(now time.Time) {
	if !f.started.IsZero() {
		return
	}
	f.started = now
	f.limits = f.Limits.withDefaults()
	f.answered = make(map[fleet.HostID]bool)
	if f.Random == nil {
		f.Random = rand.New(rand.NewPCG(2, xxhash.Sum64String(string(f.Self))))
	}
}

// Install sets the live hosts of all data centres, sorted by ID.
func (f *Follower) Install(now time.Time, live []fleet.Host) {
	f.start(now)
	f.near = f.near[:0]
	f.remote = f.remote[:0]
	for _, h := range live {
		if h.DataCentre == f.DataCentre {
			f.near = append(f.near, h.ID)
		} else {
			f.remote = append(f.remote, h.ID)
		}
	}
}

// Offer handles a configuration that this host read from the platform. A lagging
// read never lowers what is in force. The set must be normalised.
func (f *Follower) Offer(now time.Time, r config.Revised) []fleet.Send {
	f.start(now)
	if r.History != f.current.History && f.current.Revision > 0 {
		return f.offerHistory(now, r)
	}
	f.history = newHistory{}
	switch {
	case r.Revision > f.current.Revision:
		return f.offerNext(now, r)
	case r.Revision < f.current.Revision:
		f.counts.StaleReads++
	case r.Publication != f.current.Publication:
		f.counts.Conflicts++
	}
	return nil
}

// offerNext adopts a later revision and passes on how it differs.
func (f *Follower) offerNext(now time.Time, r config.Revised) []fleet.Send {
	var step *Step
	if f.current.Revision > 0 {
		step = f.step(r)
	}
	f.adopt(now, r, step)
	return f.push(true)
}

// step returns the step from what is in force to r, or nil when none is kept.
func (f *Follower) step(r config.Revised) *Step {
	if f.limits.BacklogSteps < 0 {
		return nil
	}
	delta, err := config.Compare(f.current.Set, r.Set).Encode()
	if err != nil {
		f.counts.Discarded++
		return nil
	}
	return &Step{
		From:        f.current.Revision,
		To:          r.Revision,
		Published:   r.Published,
		Publication: r.Publication,
		Delta:       delta,
	}
}

// adopt puts r in force. Without a step, peers that lag need a whole snapshot.
func (f *Follower) adopt(now time.Time, r config.Revised, step *Step) {
	if step == nil || r.History != f.current.History {
		f.backlog = backlog{}
	}
	if step != nil {
		f.backlog.add(*step, f.limits)
	}
	f.current = r
	f.snapshot = snapshot{}
	f.counts.Adopted++
	if !f.fetch.target.After(f.head()) {
		f.fetch = fetch{}
	}
	f.checkReady(now)
}

// Observe records that a peer claims to have a revision in force.
func (f *Follower) Observe(now time.Time, peer fleet.HostID, revision fleet.Revision) {
	f.start(now)
	if revision > f.current.Revision && f.fetch.from == "" {
		f.fetch = fetch{from: peer, target: Head{History: f.current.History, Revision: revision}}
	}
}

// Receive handles a message from a peer.
func (f *Follower) Receive(now time.Time, from fleet.HostID, message fleet.Message) []fleet.Send {
	f.start(now)
	f.answered[from] = true
	var sends []fleet.Send
	switch m := message.(type) {
	case *Announce:
		sends = f.readAnnounce(now, from, m)
	case *Fetch:
		sends = f.serve(from, m)
	case *Changes:
		sends = f.readChanges(now, from, m)
	case *Chunk:
		sends = f.readChunk(now, from, m)
	}
	f.checkReady(now)
	return sends
}

// Tick advances the follower to now.
func (f *Follower) Tick(now time.Time) []fleet.Send {
	f.start(now)
	f.checkReady(now)
	sends := f.tickFetch(now)
	if now.Before(f.nextHead) {
		return sends
	}
	f.nextHead = now.Add(f.limits.HeadInterval)
	if !f.ready {
		f.nextHead = now.Add(f.limits.RetryInterval)
	}
	for _, to := range f.compareWith() {
		sends = append(sends, fleet.Send{To: to, Message: f.announce(true)})
	}
	return sends
}

// compareWith returns the peers to compare heads with in this interval. Readers
// also ask in another data centre, in case their own is cut off from the platform.
func (f *Follower) compareWith() []fleet.HostID {
	n := 1
	if !f.ready {
		n = freshPeers
	}
	peers := f.pick(f.near, n)
	if f.IsReader() || len(peers) == 0 {
		peers = append(peers, f.pick(f.remote, n)...)
	}
	return peers
}

// pick returns up to n random hosts of list, other than this one.
func (f *Follower) pick(list []fleet.HostID, n int) []fleet.HostID {
	var picked []fleet.HostID
	for range 4 * n {
		if len(picked) == n || len(list) == 0 {
			break
		}
		id := list[f.Random.IntN(len(list))]
		if id != f.Self && !slices.Contains(picked, id) {
			picked = append(picked, id)
		}
	}
	return picked
}

// InForce returns the configuration in force. Its Set must not be modified.
func (f *Follower) InForce() (config.Revised, bool) {
	return f.current, f.current.Revision > 0
}

// IsReader reports whether this host should watch the platform. Each data centre
// has two readers while it has two live hosts.
func (f *Follower) IsReader() bool {
	a, b := fleet.RendezvousPair("reader/"+string(f.DataCentre), f.near)
	return len(f.near) == 0 || f.Self == a || f.Self == b
}

// Ready reports whether this host knows a configuration and has compared it
// with its peers, or waited for them, since it started. It stays true.
func (f *Follower) Ready() bool { return f.ready }

// checkReady ends the start of a fresh host. It waits for two peers, and for what
// they have and it lacks, each for a bounded time.
func (f *Follower) checkReady(now time.Time) {
	if f.ready || f.current.Revision == 0 {
		return
	}
	waited := now.Sub(f.started)
	peers := len(f.near) + len(f.remote) - 1
	compared := peers > 0 && len(f.answered) >= min(freshPeers, peers)
	if !compared && waited < f.limits.PeerWait {
		return
	}
	f.ready = !f.NeedFetch() || waited >= 2*f.limits.PeerWait
}

// NeedFetch reports whether this host should read the platform now: it has no
// configuration, knows that a later one exists, or must confirm a new history.
func (f *Follower) NeedFetch() bool {
	return f.current.Revision == 0 || f.fetch.target.After(f.head()) || f.history.reads > 0
}

func (f *Follower) head() Head {
	return Head{History: f.current.History, Revision: f.current.Revision, Published: f.current.Published}
}

func (f *Follower) announce(ask bool) *Announce {
	return &Announce{Head: f.head(), Fresh: !f.ready, Ask: ask}
}
