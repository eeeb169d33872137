package rollout_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rattanthread/rattanthread/config"
	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/rollout"
)

// platformDown simulates a platform that is down.
func platformDown(fleet.HostID) (config.PublishedSet, bool) { return config.PublishedSet{}, false }

// smallRevisions returns revisions 1 to n of a small configuration.
func smallRevisions(n int) []config.PublishedSet {
	var revisions []config.PublishedSet
	for r := range fleet.Revision(n) {
		revisions = append(revisions, newRevision("h", r+1, 40))
	}
	return revisions
}

func ExampleFollower() {
	now := time.Unix(1_700_000_000, 0)
	f := &rollout.Follower{Self: "a1", DataCentre: "north"}
	f.Offer(now, newRevision("h", 7, 4))
	f.Offer(now, newRevision("h", 6, 4)) // a lagging read
	r, ok := f.InForce()
	fmt.Println(r.Revision, ok, f.Ready())
	f.Tick(now.Add(3 * time.Second)) // no peers
	fmt.Println(f.Ready())
	// Output:
	// 7 true false
	// true
}

// TestNeverReverts checks that no host reverts to an earlier revision while the
// platform returns any revision published so far, a fifth of the messages are lost,
// a data centre is partitioned and hosts restart.
func TestNeverReverts(t *testing.T) {
	revisions := smallRevisions(20)
	for seed := range uint64(8) {
		is := is.New(t)
		network := newNetwork(seed, 9, 3, rollout.Limits{BacklogSteps: 4, ChunkBytes: 512})
		network.loss = 0.2
		published := 1
		network.platform = func(fleet.HostID) (config.PublishedSet, bool) {
			return revisions[network.random.IntN(published)], network.random.IntN(3) > 0
		}
		network.onAdopt = func(id fleet.HostID, before, after config.PublishedSet) {
			if after.Revision <= before.Revision {
				t.Errorf("seed %d: %s reverted from revision %d to %d", seed, id, before.Revision, after.Revision)
			}
			if !equalSets(after.Set, revisions[after.Revision-1].Set) {
				t.Errorf("seed %d: %s has a wrong set at revision %d", seed, id, after.Revision)
			}
		}
		network.run(5 * time.Second)
		for published < len(revisions) {
			published++
			network.blocked = nil
			if published%5 == 0 {
				network.blocked = func(from, to fleet.HostID) bool { return (from[5] == 'a') != (to[5] == 'a') }
				network.restart(network.hosts[network.random.IntN(len(network.hosts))])
			}
			network.run(time.Second)
		}
		network.blocked = nil
		network.runUntil(time.Minute, func() bool { return network.allInForce(fleet.Revision(published)) })
		is.True(network.allInForce(fleet.Revision(published)))
	}
}

func equalSets(a, b config.Set) bool { return a.Digest() == b.Digest() }

// TestInForceWithinTarget checks that a revision is in force on all hosts within the
// target of 8 s while a fifth of the messages are lost.
func TestInForceWithinTarget(t *testing.T) {
	revisions := smallRevisions(2)
	for seed := range uint64(8) {
		network := newNetwork(seed, 30, 3, rollout.Limits{})
		published := 0
		network.platform = func(fleet.HostID) (config.PublishedSet, bool) { return revisions[published], true }
		network.run(10 * time.Second)
		network.loss = 0.2
		published = 1
		is.New(t).True(network.runUntil(8*time.Second, func() bool { return network.allInForce(2) }) < 8*time.Second)
	}
}

func TestReadersDoNotGrowWithTheFleet(t *testing.T) {
	is := is.New(t)
	for _, hosts := range []int{2, 9, 100} {
		network := newNetwork(1, hosts, 1, rollout.Limits{})
		readers := 0
		for _, f := range network.followers {
			if f.IsReader() {
				readers++
			}
		}
		is.Equal(readers, 2)
	}
}

func TestFreshHost(t *testing.T) {
	revisions := smallRevisions(5)
	start := func(platform func(fleet.HostID) (config.PublishedSet, bool), peers bool) (*testNetwork, *rollout.Follower) {
		network := newNetwork(3, 6, 2, rollout.Limits{})
		network.platform = func(fleet.HostID) (config.PublishedSet, bool) { return revisions[4], true }
		network.runUntil(time.Minute, func() bool { return network.allInForce(5) })
		network.run(5 * time.Second)
		network.platform = platform
		if !peers {
			network.blocked = func(_, _ fleet.HostID) bool { return true }
		}
		return network, network.restart(network.hosts[0])
	}
	lagging := func(fleet.HostID) (config.PublishedSet, bool) { return revisions[1], true }

	t.Run("gets the configuration from peers while the platform is down", func(t *testing.T) {
		network, follower := start(platformDown, true)
		network.runUntil(8*time.Second, follower.Ready)
		r, _ := follower.InForce()
		is.New(t).Equal(r.Revision, fleet.Revision(5))
		is.New(t).True(follower.Ready())
	})
	t.Run("is not ready without platform and peers", func(t *testing.T) {
		network, follower := start(platformDown, false)
		network.run(time.Minute)
		is.New(t).True(!follower.Ready())
		is.New(t).True(follower.NeedFetch())
	})
	t.Run("becomes ready with only the platform after a wait", func(t *testing.T) {
		network, follower := start(lagging, false)
		follower.Offer(network.now, revisions[4])
		is.New(t).True(!follower.Ready())
		network.run(4 * time.Second)
		is.New(t).True(follower.Ready())
	})
	t.Run("replaces a lagging read by the later revision of its peers before it is ready", func(t *testing.T) {
		network, follower := start(lagging, true)
		follower.Offer(network.now, revisions[1])
		network.runUntil(8*time.Second, follower.Ready)
		r, _ := follower.InForce()
		is.New(t).True(follower.Ready())
		is.New(t).Equal(r.Revision, fleet.Revision(5))
	})
}

func TestNewHistory(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	late := func(r config.PublishedSet) config.PublishedSet {
		r.Published = r.Published.Add(time.Hour)
		return r
	}
	old, early, recreated := newRevision("h1", 9, 4), newRevision("h0", 12, 4), late(newRevision("h2", 1, 4))
	early.Published = old.Published.Add(-time.Hour)
	cases := []struct {
		name     string
		interval time.Duration
		reads    []config.PublishedSet
		want     fleet.HistoryID
	}{
		{"two reads are not enough", time.Minute, []config.PublishedSet{recreated, recreated}, "h1"},
		{"a short time is not enough", time.Second, []config.PublishedSet{recreated, recreated, recreated, recreated}, "h1"},
		{"several reads over enough time are adopted", 5 * time.Second, []config.PublishedSet{recreated, recreated, recreated}, "h2"},
		{"a read of the old history restarts the confirmation", 4 * time.Second, []config.PublishedSet{recreated, recreated, recreated, old, recreated}, "h1"},
		{"a history published earlier is never adopted", time.Minute, []config.PublishedSet{early, early, early, early, early}, "h1"},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			f := &rollout.Follower{Self: "a1", DataCentre: "north"}
			f.Offer(now, old)
			for i, r := range test.reads {
				f.Offer(now.Add(time.Duration(i)*test.interval), r)
			}
			r, _ := f.InForce()
			is.New(t).Equal(r.History, test.want)
		})
	}
}

// TestFreshHistoryIsNotSpread checks that a host that has not compared itself with
// its peers cannot make them adopt another history.
func TestFreshHistoryIsNotSpread(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	f := &rollout.Follower{Self: "a1", DataCentre: "north"}
	f.Install(now, []fleet.Host{{ID: "a1", DataCentre: "north"}, {ID: "a2", DataCentre: "north"}})
	f.Offer(now, newRevision("h1", 9, 4))
	f.Tick(now.Add(4 * time.Second))
	is.True(f.Ready())
	later := rollout.Head{History: "h2", Revision: 1, Published: now}
	is.Equal(len(f.Receive(now, "a2", &rollout.Announce{Head: later, Fresh: true})), 0)
	is.Equal(len(f.Receive(now, "a2", &rollout.Announce{Head: later})), 1) // a fetch
}

func TestBadChangesFallBackToSnapshot(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	revisions := smallRevisions(2)
	follower := &rollout.Follower{Self: "a1", DataCentre: "north", Limits: rollout.Limits{ChunkBytes: 300}}
	follower.Offer(now, revisions[0])
	head := rollout.Head{History: "h", Revision: 2, Published: revisions[1].Published}
	other := config.Compare(revisions[1].Set, revisions[0].Set) // based on a different set
	delta, err := other.Encode()
	is.NoErr(err)
	bad := &rollout.Changes{Head: head, Steps: []rollout.Step{{From: 1, To: 2, Delta: delta}}}
	sends := follower.Receive(now, "a2", bad)
	is.Equal(len(sends), 1)
	is.Equal(sends[0].Message.(*rollout.Fetch).Have, rollout.Head{})

	server := &rollout.Follower{Self: "a2", DataCentre: "north", Limits: rollout.Limits{ChunkBytes: 300}}
	server.Offer(now, revisions[1])
	server.Tick(now.Add(4 * time.Second))
	chunks := 0
	for len(sends) > 0 {
		responses := server.Receive(now, "a1", sends[0].Message)
		is.Equal(len(responses), 1)
		chunk := responses[0].Message.(*rollout.Chunk)
		is.True(len(chunk.Data) <= 300)
		chunks++
		follower.Receive(now, "a2", chunk) // a repeated message has no effect
		sends = follower.Receive(now, "a2", chunk)
		is.True(chunks < 100)
	}
	r, _ := follower.InForce()
	is.Equal(r.Revision, fleet.Revision(2))
	is.True(equalSets(r.Set, revisions[1].Set))
	is.True(chunks > 1)
}
