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
	settleTime = 20 * time.Second // sufficient for the effects of any single change at these sizes
	seeds      = 3
)

func ExampleTable() {
	now := time.Unix(1_700_000_000, 0)
	a, b := host(0, 1, 1), host(1, 1, 1)
	table := &membership.Table{Self: a}
	table.AddCandidates(now, []fleet.Host{b})
	for _, send := range table.Tick(now) {
		fmt.Println(send.To, send.Message.Kind())
	}
	fmt.Println(len(table.Live())) // a candidate is not live yet
	// Output:
	// host-a001 membership_ping
	// 1
}

// forEachSeed runs a test on networks of nine hosts in three data centres.
func forEachSeed(t *testing.T, f func(is *is.I, net *network)) {
	t.Helper()
	for seed := range uint64(seeds) {
		net := newNetwork(seed, 9, 3)
		net.runUntil(settleTime, net.converged)
		is := is.New(t)
		is.True(net.converged())
		f(is, net)
	}
}

func deaths(c membership.Counts) uint64     { return c.Deaths }
func suspicions(c membership.Counts) uint64 { return c.Suspicions }
func failures(c membership.Counts) uint64   { return c.Failures }

func TestCrashIsDetected(t *testing.T) {
	forEachSeed(t, func(is *is.I, net *network) {
		net.nodes[net.order[4]].down = true
		net.run(settleTime)
		is.True(net.converged())
		is.Equal(net.total(deaths), uint64(8))

		// Updates from a host that is considered dead are ignored.
		dead, node := host(4, 3, 1_700_000_000_000), net.nodes[net.order[0]]
		before := node.table.Counts().Suspicions
		node.table.Receive(net.now, dead.ID, &membership.Gossip{Header: membership.Header{
			Self:    membership.Claim{Host: dead.ID, Status: membership.Alive, Incarnation: dead.Incarnation},
			Updates: []membership.Claim{{Host: net.order[1], Status: membership.Suspect, Incarnation: dead.Incarnation}},
		}})
		is.Equal(node.table.Counts().Suspicions, before)
	})
}

func TestRackLost(t *testing.T) {
	forEachSeed(t, func(is *is.I, net *network) {
		for _, id := range net.order[:4] {
			net.nodes[id].down = true
		}
		net.run(settleTime)
		is.True(net.converged())
	})
}

func TestTwoReplacedAtOnce(t *testing.T) {
	forEachSeed(t, func(is *is.I, net *network) {
		seedHosts := []fleet.Host{host(5, 3, 0), host(6, 3, 0)} // settings give no incarnation
		net.nodes[net.order[1]].down = true
		net.nodes[net.order[2]].down = true
		net.run(time.Second)
		net.add(host(1, 3, 1_800_000_000_000), seedHosts) // restart of the same host
		net.add(host(20, 3, 1_800_000_000_000), seedHosts)
		net.run(settleTime)
		is.True(net.converged())
	})
}

func TestPartition(t *testing.T) {
	forEachSeed(t, func(is *is.I, net *network) {
		net.blocked = acrossSides
		net.run(settleTime)
		is.True(net.agreed(sameSide))
		for _, node := range net.nodes {
			is.True(!node.table.Stale(net.now)) // no host was notified that others consider it dead
		}
		net.blocked = nil
		net.run(settleTime)
		is.True(net.converged())
		for _, id := range net.order {
			is.True(net.nodes[id].table.Counts().Interruptions > 0) // it was notified that others considered it dead
			is.True(!net.nodes[id].table.Stale(net.now))
		}
	})
}

// TestSidesMeetSoon ends a partition. Until the sides detect each other they place
// flows independently, so some host must find the other side within a few ticks.
func TestSidesMeetSoon(t *testing.T) {
	forEachSeed(t, func(is *is.I, net *network) {
		net.blocked = acrossSides
		net.run(settleTime)
		net.blocked = nil
		elapsed := net.runUntil(settleTime, func() bool { return !net.agreed(sameSide) })
		is.True(elapsed <= 3*tickInterval)
	})
}

// TestMessagesFitDatagrams checks the size of messages when they have the most
// content: while a network starts, is partitioned, changes its state and heals.
func TestMessagesFitDatagrams(t *testing.T) {
	net := newNetwork(1, 60, 4)
	net.run(5 * time.Second)
	net.blocked = acrossSides
	net.run(5 * time.Second)
	for _, id := range net.order {
		net.nodes[id].table.SetLocalState(net.now, membership.State{Revision: 2, Digest: 1 << 63})
	}
	net.blocked = nil
	net.run(5 * time.Second)
	const moreAckBytes = (490 - 60) / 8 // further bytes of acknowledgements in the largest fleet, of 490 hosts
	for _, node := range net.nodes {
		is.New(t).True(node.maxUnsolicited+moreAckBytes <= 1200)
	}
}

// TestOneWayLink blocks one direction between two hosts, whose probes then succeed
// through relays.
func TestOneWayLink(t *testing.T) {
	forEachSeed(t, func(is *is.I, net *network) {
		net.blocked = func(from, to fleet.HostID) bool { return from == net.order[0] && to == net.order[1] }
		net.run(time.Minute)
		is.True(net.converged())
		is.Equal(net.total(suspicions), uint64(0))
	})
}

// failOnRemoval makes the test fail when a host other than except removes a host
// besides except.
func (n *network) failOnRemoval(t *testing.T, except fleet.HostID) {
	n.afterStep = func() {
		for _, id := range n.order {
			if live := len(n.nodes[id].table.Live()); id != except && live < 8 {
				t.Fatalf("%s has %d live hosts; want at least 8", id, live)
			}
		}
	}
}

// TestDeafHost has a host that sends and doesn't receive: it is removed, and its
// suspicions of the others remove none of them.
func TestDeafHost(t *testing.T) {
	forEachSeed(t, func(is *is.I, net *network) {
		sendOnly := net.order[3]
		net.blocked = func(_, to fleet.HostID) bool { return to == sendOnly }
		net.failOnRemoval(t, sendOnly)
		net.run(time.Minute)
		for _, id := range net.order {
			is.True(id == sendOnly || !net.seesLive(id, sendOnly))
		}
		net.blocked = nil
		net.run(settleTime)
		is.True(net.converged())
	})
}

func TestFlapping(t *testing.T) {
	forEachSeed(t, func(is *is.I, net *network) {
		flapping := net.order[3]
		off := false
		net.blocked = func(from, to fleet.HostID) bool { return off && (from == flapping || to == flapping) }
		net.failOnRemoval(t, flapping)
		for range 20 {
			off = !off
			net.run(time.Duration(500+net.random.IntN(5000)) * time.Millisecond)
		}
		off = false
		net.run(settleTime)
		is.True(net.converged())
	})
}

// TestLossIsRefuted drops a fifth of the messages for two minutes: members are
// suspected, and none is declared dead.
func TestLossIsRefuted(t *testing.T) {
	var suspected uint64
	forEachSeed(t, func(is *is.I, net *network) {
		net.loss = 0.2
		net.run(2 * time.Minute)
		is.Equal(net.total(deaths), uint64(0))
		suspected += net.total(suspicions)
	})
	is.New(t).True(suspected > 0)
}

func TestPausedHost(t *testing.T) {
	forEachSeed(t, func(is *is.I, net *network) {
		paused := net.order[3]
		node := net.nodes[paused]
		node.paused = true
		net.run(5 * time.Second)
		is.True(net.converged()) // the others have removed it
		is.True(node.table.Stale(net.now))
		before := node.table.Counts().Interruptions
		net.resume(paused) // receives the messages of the pause before its next tick
		is.True(node.table.Stale(net.now))
		is.True(node.table.Counts().Interruptions > before)
		net.runUntil(settleTime, func() bool { return !node.table.Stale(net.now) })
		is.True(!node.table.Stale(net.now))
		net.run(settleTime)
		is.True(net.converged())
	})
}

// TestOldAnswersDoNotConfirm delivers to a paused host the responses to messages
// that it sent before the pause.
func TestOldAnswersDoNotConfirm(t *testing.T) {
	forEachSeed(t, func(is *is.I, net *network) {
		node := net.nodes[net.order[0]]
		var responses []delivery
		for range 30 {
			net.now = net.now.Add(tickInterval)
			for _, s := range node.table.Tick(net.now) {
				for _, response := range net.nodes[s.To].table.Receive(net.now, net.order[0], s.Message) {
					responses = append(responses, delivery{net.order[0], s.To, response.Message})
				}
			}
		}
		net.now = net.now.Add(5 * time.Second)
		for _, d := range responses {
			node.table.Receive(net.now, d.from, d.message)
		}
		is.True(len(responses) >= 3)
		is.True(node.table.Stale(net.now))
	})
}

func TestPausedHostAlone(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	alone := &membership.Table{Self: host(0, 1, 1)}
	alone.Tick(now)
	alone.Tick(now.Add(10 * time.Second))
	is.True(!alone.Stale(now.Add(10 * time.Second))) // no other host can have replaced it

	table := &membership.Table{Self: host(0, 1, 1)}
	table.AddCandidates(now, []fleet.Host{host(1, 1, 0)})
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
	forEachSeed(t, func(is *is.I, net *network) {
		leaving := net.order[3]
		net.send(leaving, net.nodes[leaving].table.Leave(net.now))
		net.nodes[leaving].down = true
		net.run(time.Second) // shorter than a suspicion
		is.True(net.converged())
		is.Equal(net.total(suspicions), uint64(0))
		net.add(host(3, 3, 1_800_000_000_000), []fleet.Host{host(0, 3, 0)})
		net.run(settleTime)
		is.True(net.converged())
	})
}

func TestHintNeitherKillsNorRevives(t *testing.T) {
	forEachSeed(t, func(is *is.I, net *network) {
		dead := net.order[3]
		net.nodes[dead].down = true
		net.run(settleTime)
		node := net.nodes[net.order[0]]
		before := node.table.Live()
		node.table.AddCandidates(net.now, []fleet.Host{host(3, 3, 1_700_000_000_000), host(40, 3, 1)})
		node.table.AddCandidates(net.now, nil)
		is.Equal(node.table.Live(), before)
	})
}

func TestSettled(t *testing.T) {
	forEachSeed(t, func(is *is.I, net *network) {
		state := membership.State{Revision: 2, Digest: 7}
		late := net.order[8]
		set := func(id fleet.HostID, s membership.State) { net.nodes[id].table.SetLocalState(net.now, s) }
		check := func(want bool) {
			for _, id := range net.order {
				if !net.nodes[id].down && id != late {
					is.Equal(net.nodes[id].table.Settled(net.now, state), want)
				}
			}
		}
		for _, id := range net.order[:8] {
			set(id, state)
		}
		net.run(3 * time.Second)
		check(false) // one host has not acknowledged
		set(late, membership.State{Revision: 3, Digest: 9})
		net.run(300 * time.Millisecond)
		check(false) // it may have skipped the state
		set(late, state)
		net.run(600 * time.Millisecond)
		check(true)

		state = membership.State{Revision: 4, Digest: 1}
		net.nodes[late].down = true
		for _, id := range net.order[:8] {
			set(id, state)
		}
		net.run(1500 * time.Millisecond)
		check(false) // the others still consider the crashed host live
		net.run(3 * time.Second)
		check(true) // Timing.Settle has passed
		is.True(!net.nodes[net.order[0]].table.Settled(net.now, membership.State{Revision: 4, Digest: 2}))
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
		{"earlier incarnation", membership.Claim{Status: membership.Dead, Incarnation: 4}, false, false},
		{"later incarnation", membership.Claim{Status: membership.Alive, Incarnation: 6}, false, true},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			table := &membership.Table{Self: host(0, 1, 5)}
			test.claim.Host = table.Self.ID
			from := host(1, 1, 1)
			self := membership.Claim{Host: from.ID, Status: membership.Alive, Incarnation: 1, Contact: &membership.Contact{}}
			sends := table.Receive(now, from.ID, &membership.Gossip{Header: membership.Header{Self: self, About: test.claim}})
			is.Equal(len(sends) > 0, test.refuted)
			if test.refuted {
				is.Equal(sends[0].Message.(*membership.Gossip).Header.Self.Refutation, test.claim.Refutation+1)
			}
			is.Equal(table.Superseded(), test.superseded)
			is.Equal(table.Stale(now), test.superseded || test.claim.Status == membership.Dead && test.refuted)
			// A header that does not match its sender is rejected.
			table.Receive(now, "another-host", &membership.Gossip{Header: membership.Header{Self: self}})
			is.Equal(table.Counts().Rejected, uint64(1))
		})
	}
}

// TestFaultsTogether injects random combinations of all kinds of fault. Once they
// have ended, the hosts must agree on the live hosts and settle on a new state.
func TestFaultsTogether(t *testing.T) {
	for seed := range uint64(10) {
		is := is.New(t)
		net := newNetwork(seed, 12, 3)
		net.runUntil(settleTime, net.converged)
		incarnation := fleet.Incarnation(1_700_000_000_000)
		for range 15 {
			i := net.random.IntN(len(net.order))
			id := net.order[i]
			faults := []func(){
				func() { net.nodes[id].down = true },
				func() { incarnation++; net.add(host(i, 3, incarnation), []fleet.Host{host(0, 3, 0), host(1, 3, 0)}) },
				func() { net.nodes[id].paused = true },
				func() { net.resume(id) },
				func() { net.loss = 0.3 - net.loss },
				func() { net.blocked = acrossSides },
				func() { net.blocked = nil },
			}
			faults[net.random.IntN(len(faults))]()
			net.run(time.Duration(net.random.IntN(4000)) * time.Millisecond)
		}
		net.loss, net.blocked = 0, nil
		for _, id := range net.order {
			net.resume(id)
		}
		net.run(settleTime)
		is.True(net.converged())
		state := membership.State{Revision: 9, Digest: seed}
		for _, id := range net.order {
			net.nodes[id].table.SetLocalState(net.now, state)
			is.True(net.nodes[id].down || !net.nodes[id].table.Stale(net.now))
		}
		net.run(3 * time.Second) // less than Timing.Settle
		is.True(net.settled(state))
	}
}
