// Package rollout decides which configuration revision is in force on an entry
// host. It selects the hosts that read the platform, distributes revisions between
// peers, and ensures that no host reverts to an earlier revision.
//
// A lagging peer resumes from its history and revision if the bounded backlog of
// changes reaches back to them, and receives the full configuration otherwise, as
// in the partial resynchronisation (PSYNC) of Valkey and Redis.
//
// A Follower is not safe for concurrent use. Its owner calls Tick about every 50 ms
// and sends the messages that its methods return.
package rollout

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rattanthread/rattanthread/config"
	"github.com/rattanthread/rattanthread/fleet"
)

// Follower tracks the published configuration. Self and DataCentre must be set
// before first use; all other fields are optional.
type Follower struct {
	Self       fleet.HostID
	DataCentre fleet.DataCentreID
	Limits     Limits
	// Random selects the peers to compare heads with. Nil means a generator seeded
	// from Self.
	Random *rand.Rand

	limits  Limits
	started time.Time
	counts  Counts

	current   config.PublishedSet
	backlog   backlog
	candidate historyCandidate

	localHosts  []fleet.HostID // live hosts of the local data centre, sorted, including Self
	remoteHosts []fleet.HostID // live hosts of the other data centres, sorted

	ready          bool
	contacted      map[fleet.HostID]bool // peers that have sent a message since the start
	nextComparison time.Time
	fetch          fetch
	snapshot       snapshot
}

// Counts are totals since the Follower was created.
type Counts struct {
	Adopted        uint64 // revisions put in force
	StaleReads     uint64 // platform reads older than the configuration in force
	Conflicts      uint64 // reads of the revision in force with a different publication
	HistoryChanges uint64 // adoptions of another history
	Steps          uint64 // revisions adopted from Changes
	Snapshots      uint64 // revisions adopted from snapshots
	Fetches        uint64 // fetches sent
	Retries        uint64 // fetches retried after a timeout
	Discarded      uint64 // data that was inconsistent or could not be encoded or decoded
	ServedChanges  uint64 // Changes sent in response to peers
	ServedChunks   uint64 // Chunks sent in response to peers
}

// Counts returns the totals.
func (f *Follower) Counts() Counts { return f.counts }

// lazyInit initializes the Follower on first use.
func (f *Follower) lazyInit(now time.Time) {
	if !f.started.IsZero() {
		return
	}
	f.started = now
	f.limits = f.Limits.withDefaults()
	f.contacted = make(map[fleet.HostID]bool)
	if f.Random == nil {
		f.Random = rand.New(rand.NewPCG(2, xxhash.Sum64String(string(f.Self))))
	}
}

// Install sets the live hosts of all data centres, sorted by ID.
func (f *Follower) Install(now time.Time, live []fleet.Host) {
	f.lazyInit(now)
	f.localHosts = f.localHosts[:0]
	f.remoteHosts = f.remoteHosts[:0]
	for _, h := range live {
		if h.DataCentre == f.DataCentre {
			f.localHosts = append(f.localHosts, h.ID)
		} else {
			f.remoteHosts = append(f.remoteHosts, h.ID)
		}
	}
}

// Offer handles a configuration that this host read from the platform. A lagging
// read never replaces a later revision. The set must be normalised.
func (f *Follower) Offer(now time.Time, read config.PublishedSet) []fleet.Send {
	f.lazyInit(now)
	if read.History != f.current.History && f.current.Revision > 0 {
		return f.offerCandidate(now, read)
	}
	f.candidate = historyCandidate{}
	switch {
	case read.Revision > f.current.Revision:
		return f.adoptRead(now, read)
	case read.Revision < f.current.Revision:
		f.counts.StaleReads++
	case read.Publication != f.current.Publication:
		f.counts.Conflicts++
	}
	return nil
}

// adoptRead adopts a later revision read from the platform and pushes it to peers.
func (f *Follower) adoptRead(now time.Time, read config.PublishedSet) []fleet.Send {
	var step *Step
	if f.current.Revision > 0 {
		step = f.newStep(read)
	}
	f.adopt(now, read, step)
	return f.push(true)
}

// newStep returns the step from the configuration in force to next, or nil if steps
// are disabled or it cannot be encoded.
func (f *Follower) newStep(next config.PublishedSet) *Step {
	if f.limits.BacklogSteps < 0 {
		return nil
	}
	delta, err := config.Compare(f.current.Set, next.Set).Encode()
	if err != nil {
		f.counts.Discarded++
		return nil
	}
	return &Step{
		From:        f.current.Revision,
		To:          next.Revision,
		Published:   next.Published,
		Publication: next.Publication,
		Delta:       delta,
	}
}

// adopt puts next in force. Without a step, lagging peers need a full snapshot.
func (f *Follower) adopt(now time.Time, next config.PublishedSet, step *Step) {
	if step == nil || next.History != f.current.History {
		f.backlog = backlog{}
	}
	if step != nil {
		f.backlog.add(*step, f.limits)
	}
	f.current = next
	f.snapshot = snapshot{}
	f.counts.Adopted++
	if !f.fetch.target.After(f.head()) {
		f.fetch = fetch{}
	}
	f.updateReady(now)
}

// Observe schedules a fetch from a peer that reports a later revision as in force.
func (f *Follower) Observe(now time.Time, peer fleet.HostID, revision fleet.Revision) {
	f.lazyInit(now)
	if revision > f.current.Revision && f.fetch.from == "" {
		f.fetch = fetch{from: peer, target: Head{History: f.current.History, Revision: revision}}
	}
}

// Receive handles a message from a peer.
func (f *Follower) Receive(now time.Time, from fleet.HostID, message fleet.Message) []fleet.Send {
	f.lazyInit(now)
	f.contacted[from] = true
	var sends []fleet.Send
	switch message := message.(type) {
	case *Announce:
		sends = f.handleAnnounce(now, from, message)
	case *Fetch:
		sends = f.handleFetch(from, message)
	case *Changes:
		sends = f.handleChanges(now, from, message)
	case *Chunk:
		sends = f.handleChunk(now, from, message)
	}
	f.updateReady(now)
	return sends
}

// Tick advances the follower to now.
func (f *Follower) Tick(now time.Time) []fleet.Send {
	f.lazyInit(now)
	f.updateReady(now)
	sends := f.advanceFetch(now)
	if now.Before(f.nextComparison) {
		return sends
	}
	f.nextComparison = now.Add(f.limits.HeadInterval)
	if !f.ready {
		f.nextComparison = now.Add(f.limits.RetryInterval)
	}
	for _, to := range f.comparisonPeers() {
		sends = append(sends, fleet.Send{To: to, Message: f.newAnnounce(true)})
	}
	return sends
}

// comparisonPeers returns the peers to compare heads with in this interval. Readers
// include peers in other data centres, in case the local data centre is
// partitioned from the platform.
func (f *Follower) comparisonPeers() []fleet.HostID {
	n := 1
	if !f.ready {
		n = startupPeers
	}
	peers := f.pickRandom(f.localHosts, n)
	if f.IsReader() || len(peers) == 0 {
		peers = append(peers, f.pickRandom(f.remoteHosts, n)...)
	}
	return peers
}

// pickRandom returns up to n random hosts other than Self.
func (f *Follower) pickRandom(hosts []fleet.HostID, n int) []fleet.HostID {
	var picked []fleet.HostID
	for range 4 * n {
		if len(picked) == n || len(hosts) == 0 {
			break
		}
		id := hosts[f.Random.IntN(len(hosts))]
		if id != f.Self && !slices.Contains(picked, id) {
			picked = append(picked, id)
		}
	}
	return picked
}

// InForce returns the configuration in force. Its Set must not be modified.
func (f *Follower) InForce() (config.PublishedSet, bool) {
	return f.current, f.current.Revision > 0
}

// IsReader reports whether this host should read the platform. Each data centre
// with at least two live hosts has two readers.
func (f *Follower) IsReader() bool {
	first, second := fleet.RendezvousPair("reader/"+string(f.DataCentre), f.localHosts)
	return len(f.localHosts) == 0 || f.Self == first || f.Self == second
}

// Ready reports whether this host has a configuration and, since it started, has
// compared it with its peers or waited for them. Once true, it stays true.
func (f *Follower) Ready() bool { return f.ready }

// updateReady marks a starting host ready. The host waits for messages from two
// peers, and for any later configuration that they have, each for a bounded time.
func (f *Follower) updateReady(now time.Time) {
	if f.ready || f.current.Revision == 0 {
		return
	}
	waited := now.Sub(f.started)
	peers := len(f.localHosts) + len(f.remoteHosts) - 1
	compared := peers > 0 && len(f.contacted) >= min(startupPeers, peers)
	if !compared && waited < f.limits.PeerWait {
		return
	}
	f.ready = !f.NeedFetch() || waited >= 2*f.limits.PeerWait
}

// NeedFetch reports whether this host should read the platform now, because it has
// no configuration, a later one exists, or a new history must be confirmed.
func (f *Follower) NeedFetch() bool {
	return f.current.Revision == 0 || f.fetch.target.After(f.head()) || f.candidate.reads > 0
}

func (f *Follower) head() Head {
	return Head{History: f.current.History, Revision: f.current.Revision, Published: f.current.Published}
}

func (f *Follower) newAnnounce(replyRequested bool) *Announce {
	return &Announce{Head: f.head(), Fresh: !f.ready, ReplyRequested: replyRequested}
}
