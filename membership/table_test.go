package membership_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/membership"
)

const (
	settled = 20 * time.Second // long enough for any single change at these sizes
	seeds   = 3
)

func ExampleTable() {
	now := time.Unix(1_700_000_000, 0)
	a, b := host(0, 1, 1), host(1, 1, 1)
	table := &membership.Table{Self: a}
	table.Hint(now, []fleet.Host{b})
	for _, send := range table.Tick(now) {
		fmt.Println(send.To, send.Message.Kind())
	}
	fmt.Println(len(table.Live())) // a hint alone makes no live member
	// Output:
	// host-a001 membership_ping
	// 1
}

// each runs a test on networks of nine hosts in three data centres.
func each(t *testing.T, f func(is *is.I, n *network)) {
	t.Helper()
	for seed := range uint64(seeds) {
		n := newNetwork(seed, 9, 3)
		n.until(settled, n.whole)
		is := is.New(t)
		is.True(n.whole())
		f(is, n)
	}
}

func deaths(c membership.Counts) uint64     { return c.Deaths }
func suspicions(c membership.Counts) uint64 { return c.Suspicions }
func failures(c membership.Counts) uint64   { return c.Failures }

func TestCrashIsDetected(t *testing.T) {
	each(t, func(is *is.I, n *network) {
		n.nodes[n.order[4]].down = true
		n.run(settled)
		is.True(n.whole())
		is.Equal(n.total(deaths), uint64(8))

		// News from a host that is held dead is not taken.
		dead, x := host(4, 3, 1_700_000_000_000), n.nodes[n.order[0]]
		before := x.table.Counts().Suspicions
		x.table.Receive(n.now, dead.ID, &membership.Gossip{Header: membership.Header{
			Self: membership.Claim{Host: dead.ID, Status: membership.Alive, Incarnation: dead.Incarnation},
			News: []membership.Claim{{Host: n.order[1], Status: membership.Suspect, Incarnation: dead.Incarnation}},
		}})
		is.Equal(x.table.Counts().Suspicions, before)
	})
}

func TestRackLost(t *testing.T) {
	each(t, func(is *is.I, n *network) {
		for _, id := range n.order[:4] {
			n.nodes[id].down = true
		}
		n.run(settled)
		is.True(n.whole())
	})
}

func TestTwoReplacedAtOnce(t *testing.T) {
	each(t, func(is *is.I, n *network) {
		seedsOnly := []fleet.Host{host(5, 3, 0), host(6, 3, 0)} // settings give no incarnation
		n.nodes[n.order[1]].down = true
		n.nodes[n.order[2]].down = true
		n.run(time.Second)
		n.add(host(1, 3, 1_800_000_000_000), seedsOnly) // the same host again
		n.add(host(20, 3, 1_800_000_000_000), seedsOnly)
		n.run(settled)
		is.True(n.whole())
	})
}

func TestPartition(t *testing.T) {
	each(t, func(is *is.I, n *network) {
		n.cut = acrossSides
		n.run(settled)
		is.True(n.agreed(sameSide))
		for _, x := range n.nodes {
			is.True(!x.table.Stale(n.now)) // nobody was told otherwise
		}
		n.cut = nil
		n.run(settled)
		is.True(n.whole())
		for _, id := range n.order {
			is.True(n.nodes[id].table.Counts().Interruptions > 0) // it learnt that others held it dead
			is.True(!n.nodes[id].table.Stale(n.now))
		}
	})
}

// TestSidesMeetSoon ends a cut. Until the sides know of each other they place flows
// apart, so some host has to find the other side within a few ticks.
func TestSidesMeetSoon(t *testing.T) {
	each(t, func(is *is.I, n *network) {
		n.cut = acrossSides
		n.run(settled)
		n.cut = nil
		met := n.until(settled, func() bool { return !n.agreed(sameSide) })
		is.True(met <= 3*tickEvery)
	})
}

// TestMessagesFitDatagrams looks for the longest messages where most is to be
// told: while a network starts, is cut in two, changes its state and heals.
func TestMessagesFitDatagrams(t *testing.T) {
	n := newNetwork(1, 60, 4)
	n.run(5 * time.Second)
	n.cut = acrossSides
	n.run(5 * time.Second)
	for _, id := range n.order {
		n.nodes[id].table.SetLocal(n.now, membership.State{Revision: 2, Digest: 1 << 63})
	}
	n.cut = nil
	n.run(5 * time.Second)
	const list = (490 - 60) / 8 // more bytes of acknowledgements in the largest fleet
	for _, x := range n.nodes {
		is.New(t).True(x.long+list <= 1200)
	}
}

// TestOneWayLink cuts one direction between two hosts, which reach each other
// through helpers.
func TestOneWayLink(t *testing.T) {
	each(t, func(is *is.I, n *network) {
		n.cut = func(from, to fleet.HostID) bool { return from == n.order[0] && to == n.order[1] }
		n.run(time.Minute)
		is.True(n.whole())
		is.Equal(n.total(suspicions), uint64(0))
	})
}

// guard makes the test fail when any host but one loses another.
func (n *network) guard(t *testing.T, except fleet.HostID) {
	n.after = func() {
		for _, id := range n.order {
			if live := len(n.nodes[id].table.Live()); id != except && live < 8 {
				t.Fatalf("%s holds %d hosts live", id, live)
			}
		}
	}
}

// TestDeafHost lets a host send and not receive: it is removed, and its own
// opinion of the others does no harm.
func TestDeafHost(t *testing.T) {
	each(t, func(is *is.I, n *network) {
		deaf := n.order[3]
		n.cut = func(_, to fleet.HostID) bool { return to == deaf }
		n.guard(t, deaf)
		n.run(time.Minute)
		for _, id := range n.order {
			is.True(id == deaf || !n.holds(id, deaf))
		}
		n.cut = nil
		n.run(settled)
		is.True(n.whole())
	})
}

func TestFlapping(t *testing.T) {
	each(t, func(is *is.I, n *network) {
		flapping := n.order[3]
		off := false
		n.cut = func(from, to fleet.HostID) bool { return off && (from == flapping || to == flapping) }
		n.guard(t, flapping)
		for range 20 {
			off = !off
			n.run(time.Duration(500+n.random.IntN(5000)) * time.Millisecond)
		}
		off = false
		n.run(settled)
		is.True(n.whole())
	})
}

// TestLossIsRefuted loses a fifth of the messages for two minutes: suspicions
// arise, and none becomes a death.
func TestLossIsRefuted(t *testing.T) {
	var suspected uint64
	each(t, func(is *is.I, n *network) {
		n.loss = 0.2
		n.run(2 * time.Minute)
		is.Equal(n.total(deaths), uint64(0))
		suspected += n.total(suspicions)
	})
	is.New(t).True(suspected > 0)
}

func TestPausedHost(t *testing.T) {
	each(t, func(is *is.I, n *network) {
		paused := n.order[3]
		x := n.nodes[paused]
		x.asleep = true
		n.run(5 * time.Second)
		is.True(n.whole()) // the others have removed it
		is.True(x.table.Stale(n.now))
		before := x.table.Counts().Interruptions
		n.wake(paused) // takes in what arrived meanwhile, before it ticks
		is.True(x.table.Stale(n.now))
		is.True(x.table.Counts().Interruptions > before)
		n.until(settled, func() bool { return !x.table.Stale(n.now) })
		is.True(!x.table.Stale(n.now))
		n.run(settled)
		is.True(n.whole())
	})
}

// TestOldAnswersDoNotConfirm gives a paused host the answers to what it sent
// before the pause.
func TestOldAnswersDoNotConfirm(t *testing.T) {
	each(t, func(is *is.I, n *network) {
		x := n.nodes[n.order[0]]
		var answers []delivery
		for range 30 {
			n.now = n.now.Add(tickEvery)
			for _, s := range x.table.Tick(n.now) {
				for _, answer := range n.nodes[s.To].table.Receive(n.now, n.order[0], s.Message) {
					answers = append(answers, delivery{n.order[0], s.To, answer.Message})
				}
			}
		}
		n.now = n.now.Add(5 * time.Second)
		for _, d := range answers {
			x.table.Receive(n.now, d.from, d.message)
		}
		is.True(len(answers) >= 3)
		is.True(x.table.Stale(n.now))
	})
}

func TestPausedHostAlone(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	alone := &membership.Table{Self: host(0, 1, 1)}
	alone.Tick(now)
	alone.Tick(now.Add(10 * time.Second))
	is.True(!alone.Stale(now.Add(10 * time.Second))) // nobody can have replaced it

	table := &membership.Table{Self: host(0, 1, 1)}
	table.Hint(now, []fleet.Host{host(1, 1, 0)})
	table.Tick(now)
	is.True(!table.Stale(now.Add(time.Second)))
	is.True(table.Stale(now.Add(1001 * time.Millisecond)))
	now = now.Add(10 * time.Second)
	table.Tick(now)
	is.True(table.Stale(now))
	table.Confirm(now)
	is.True(!table.Stale(now))
}

func TestLeave(t *testing.T) {
	each(t, func(is *is.I, n *network) {
		leaving := n.order[3]
		n.send(leaving, n.nodes[leaving].table.Leave(n.now))
		n.nodes[leaving].down = true
		n.run(time.Second) // less than any suspicion takes
		is.True(n.whole())
		is.Equal(n.total(suspicions), uint64(0))
		n.add(host(3, 3, 1_800_000_000_000), []fleet.Host{host(0, 3, 0)})
		n.run(settled)
		is.True(n.whole())
	})
}

func TestHintNeitherKillsNorRevives(t *testing.T) {
	each(t, func(is *is.I, n *network) {
		dead := n.order[3]
		n.nodes[dead].down = true
		n.run(settled)
		x := n.nodes[n.order[0]]
		before := x.table.Live()
		x.table.Hint(n.now, []fleet.Host{host(3, 3, 1_700_000_000_000), host(40, 3, 1)})
		x.table.Hint(n.now, nil)
		is.Equal(x.table.Live(), before)
	})
}

func TestSettled(t *testing.T) {
	each(t, func(is *is.I, n *network) {
		state := membership.State{Revision: 2, Digest: 7}
		late := n.order[8]
		set := func(id fleet.HostID, s membership.State) { n.nodes[id].table.SetLocal(n.now, s) }
		check := func(want bool) {
			for _, id := range n.order {
				if !n.nodes[id].down && id != late {
					is.Equal(n.nodes[id].table.Settled(n.now, state), want)
				}
			}
		}
		for _, id := range n.order[:8] {
			set(id, state)
		}
		n.run(3 * time.Second)
		check(false) // one host is missing
		set(late, membership.State{Revision: 3, Digest: 9})
		n.run(300 * time.Millisecond)
		check(false) // it may have skipped the state
		set(late, state)
		n.run(600 * time.Millisecond)
		check(true)

		state = membership.State{Revision: 4, Digest: 1}
		n.nodes[late].down = true
		for _, id := range n.order[:8] {
			set(id, state)
		}
		n.run(1500 * time.Millisecond)
		check(false) // the crashed host is still live to the others
		n.run(3 * time.Second)
		check(true) // the bounded wait has ended
		is.True(!n.nodes[n.order[0]].table.Settled(n.now, membership.State{Revision: 4, Digest: 2}))
	})
}

func TestClaimsAboutSelf(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	cases := []struct {
		name                string
		claim               membership.Claim
		refuted, superseded bool
	}{
		{"suspect", membership.Claim{Status: membership.Suspect, Incarnation: 5}, true, false},
		{"dead", membership.Claim{Status: membership.Dead, Incarnation: 5, Refutation: 3}, true, false},
		{"an earlier life", membership.Claim{Status: membership.Dead, Incarnation: 4}, false, false},
		{"a later life", membership.Claim{Status: membership.Alive, Incarnation: 6}, false, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			table := &membership.Table{Self: host(0, 1, 5)}
			c.claim.Host = table.Self.ID
			from := host(1, 1, 1)
			self := membership.Claim{Host: from.ID, Status: membership.Alive, Incarnation: 1, Contact: &membership.Contact{}}
			sends := table.Receive(now, from.ID, &membership.Gossip{Header: membership.Header{Self: self, About: c.claim}})
			is.Equal(len(sends) > 0, c.refuted)
			if c.refuted {
				is.Equal(sends[0].Message.(*membership.Gossip).Header.Self.Refutation, c.claim.Refutation+1)
			}
			is.Equal(table.Superseded(), c.superseded)
			is.Equal(table.Stale(now), c.superseded || c.claim.Status == membership.Dead && c.refuted)
			// A header that does not fit its sender is refused.
			table.Receive(now, "somebody", &membership.Gossip{Header: membership.Header{Self: self}})
			is.Equal(table.Counts().Rejected, uint64(1))
		})
	}
}

// TestFaultsTogether lets faults of all kinds come in any order and together.
// Once they have ended, the hosts agree and settle on a new state.
func TestFaultsTogether(t *testing.T) {
	for seed := range uint64(10) {
		is := is.New(t)
		n := newNetwork(seed, 12, 3)
		n.until(settled, n.whole)
		incarnation := fleet.Incarnation(1_700_000_000_000)
		for range 15 {
			i := n.random.IntN(len(n.order))
			id := n.order[i]
			faults := []func(){
				func() { n.nodes[id].down = true },
				func() { incarnation++; n.add(host(i, 3, incarnation), []fleet.Host{host(0, 3, 0), host(1, 3, 0)}) },
				func() { n.nodes[id].asleep = true },
				func() { n.wake(id) },
				func() { n.loss = 0.3 - n.loss },
				func() { n.cut = acrossSides },
				func() { n.cut = nil },
			}
			faults[n.random.IntN(len(faults))]()
			n.run(time.Duration(n.random.IntN(4000)) * time.Millisecond)
		}
		n.loss, n.cut = 0, nil
		for _, id := range n.order {
			n.wake(id)
		}
		n.run(settled)
		is.True(n.whole())
		state := membership.State{Revision: 9, Digest: seed}
		for _, id := range n.order {
			n.nodes[id].table.SetLocal(n.now, state)
			is.True(n.nodes[id].down || !n.nodes[id].table.Stale(n.now))
		}
		n.run(3 * time.Second) // less than the bounded wait
		is.True(n.settled(state))
	}
}
