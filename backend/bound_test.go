package backend_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rattanthread/rattanthread/backend"
	"github.com/rattanthread/rattanthread/fleet"
)

// coldFaults happen while all hosts press work on a cold server.
var coldFaults = []struct {
	name   string
	inject func(c *cluster)
}{
	{"none", func(*cluster) {}},
	{"keeper dies", func(c *cluster) { c.keeper().up = false }},
	{"keeper replaced", func(c *cluster) { c.boot(c.keeper()) }},
	{"keeper stops as planned", func(c *cluster) {
		k := c.keeper()
		c.send(k, k.pool.Stop(c.now))
		k.up = false
	}},
	{"keeper paused", func(c *cluster) {
		k := c.keeper()
		k.paused = true
		c.run(3 * time.Second)
		k.paused = false
	}},
	{"keeper cut off", func(c *cluster) {
		c.side[c.keeper().id] = 1
		c.run(8 * time.Second)
		clear(c.side)
	}},
	{"fleet in three parts", func(c *cluster) {
		for i, n := range c.nodes {
			c.side[n.id] = i % 3
		}
		c.run(8 * time.Second)
		clear(c.side)
	}},
	{"all cut off from each other", func(c *cluster) {
		for i, n := range c.nodes {
			c.side[n.id] = i
		}
		c.run(5 * time.Second)
		clear(c.side)
	}},
	{"host joins", func(c *cluster) { c.add("j1") }},
	{"all replaced", func(c *cluster) {
		for _, n := range c.nodes {
			c.boot(n)
		}
	}},
	{"keeper, then the next dies", func(c *cluster) {
		c.keeper().up = false
		c.run(5 * time.Second)
		c.keeper().up = false
	}},
}

// TestColdBoundHolds counts the work given to a cold server by all hosts. The
// server does no work, so the bound stays at ColdRate.
func TestColdBoundHolds(t *testing.T) {
	for _, f := range coldFaults {
		t.Run(f.name, func(t *testing.T) {
			is := is.New(t)
			most := 0
			for seed := range uint64(5) {
				c := newCluster(seed, 9)
				c.run(8 * time.Second)
				f.inject(c)
				c.run(3 * time.Second)
				given := len(c.takes)
				c.run(6 * time.Second)
				most = max(most, c.busiest())
				is.True(len(c.takes) > given) // work goes on after the fault
			}
			t.Logf("most work in one second: %d, bound %g", most, coldRate)
			is.True(most <= coldRate)
		})
	}
}

func TestWarmsUpOnlyByServedWork(t *testing.T) {
	is := is.New(t)
	idle, busy := newCluster(1, 5), newCluster(1, 5)
	busy.served = true
	idle.run(40 * time.Second)
	busy.run(40 * time.Second)
	is.Equal(idle.admissions(), map[backend.Admission]int{backend.AdmitByCredit: 5})
	is.Equal(busy.admissions(), map[backend.Admission]int{backend.AdmitFreely: 5})
	is.Equal(busy.nodes[0].pool.Digest(), busy.nodes[4].pool.Digest())
}

// warm returns a cluster in which s1 is warm.
func warm(seed uint64) *cluster {
	c := newCluster(seed, 5)
	c.served = true
	c.run(40 * time.Second)
	c.served = false
	return c
}

// TestColdAgainIsRecognised covers servers that turn cold without notice. One
// host that is not the keeper sees it.
func TestColdAgainIsRecognised(t *testing.T) {
	repeat := func(n int, e backend.Evidence) []backend.Evidence {
		all := make([]backend.Evidence, n)
		for i := range all {
			all[i] = e
		}
		return all
	}
	failed := backend.Evidence{Server: "s1", Kind: backend.EvidenceConnectFailed}
	shed := backend.Evidence{Server: "s1", Kind: backend.EvidenceShed}
	fast := backend.Evidence{Server: "s1", Kind: backend.EvidenceServed, Latency: 10 * time.Millisecond}
	slow := backend.Evidence{Server: "s1", Kind: backend.EvidenceServed, Latency: 100 * time.Millisecond}
	cases := []struct {
		name string
		seen []backend.Evidence
		want backend.Admission
	}{
		{"one failure", repeat(1, failed), backend.AdmitFreely},
		{"failures", repeat(3, failed), backend.AdmitNone},
		{"few sheds", repeat(4, shed), backend.AdmitFreely},
		{"sheds", repeat(5, shed), backend.AdmitByCredit},
		{"a slow answer", append(repeat(30, fast), slow), backend.AdmitFreely},
		{"latency step", append(repeat(30, fast), repeat(8, slow)...), backend.AdmitByCredit},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			cl := warm(1)
			cl.run(3 * time.Second) // the keeper's own evidence is no longer fresh
			witness := cl.nodes[0]
			if witness == cl.keeper() {
				witness = cl.nodes[1]
			}
			// Some alarms may be lost on the way; the evidence goes on.
			for range 3 {
				for _, e := range c.seen {
					cl.send(witness, witness.pool.Observe(cl.now, e))
				}
				cl.run(100 * time.Millisecond)
				if c.want == backend.AdmitFreely {
					break
				}
			}
			cl.run(time.Second)
			is.Equal(cl.admissions(), map[backend.Admission]int{c.want: 5})
		})
	}
}

// TestReportsDoNotRaise checks that a healthy report warms nothing up, and that
// a report of a restart cools the server.
func TestReportsDoNotRaise(t *testing.T) {
	is := is.New(t)
	report := func(c *cluster, instance string) {
		k := c.keeper()
		e := backend.Evidence{Server: "s1", Kind: backend.EvidenceReport, Healthy: true, Instance: instance, At: c.now}
		c.send(k, k.pool.Observe(c.now, e))
		c.run(200 * time.Millisecond)
	}
	cold := newCluster(1, 5)
	for range 100 {
		report(cold, "x")
	}
	is.Equal(cold.admissions(), map[backend.Admission]int{backend.AdmitByCredit: 5})
	is.True(cold.busiest() <= coldRate)
	restarted := warm(1)
	report(restarted, "x")
	is.Equal(restarted.admissions(), map[backend.Admission]int{backend.AdmitFreely: 5})
	report(restarted, "y")
	restarted.run(time.Second)
	is.Equal(restarted.admissions(), map[backend.Admission]int{backend.AdmitByCredit: 5})
}

func TestDrainedServerGetsNothingAndReturnsCold(t *testing.T) {
	is := is.New(t)
	c := warm(1)
	c.out = map[fleet.ServerID]bool{"s1": true}
	c.run(step)
	given := len(c.takes)
	c.run(2 * time.Second)
	is.Equal(len(c.takes), given)
	c.out = nil
	c.takes = nil
	c.run(3 * time.Second)
	is.Equal(c.admissions(), map[backend.Admission]int{backend.AdmitByCredit: 5})
	is.True(c.busiest() <= coldRate)
}

// TestOwnFindingShows lets one host find out by itself that a server fails. Until its
// keeper says so the records are alike everywhere, and what they admit is not.
func TestOwnFindingShows(t *testing.T) {
	is := is.New(t)
	c := warm(1)
	a, b := c.nodes[0].pool, c.nodes[1].pool
	is.Equal(admissionsOf(a), admissionsOf(b))
	for range 3 {
		a.Observe(c.now, backend.Evidence{Server: "s1", Kind: backend.EvidenceConnectFailed})
	}
	is.Equal(a.Admission("s1"), backend.AdmitNone)
	is.True(admissionsOf(a) != admissionsOf(b))
}

func admissionsOf(p *backend.Pool) uint64 {
	_, admissions := p.Digests()
	return admissions
}
