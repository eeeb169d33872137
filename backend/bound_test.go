package backend_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rattanthread/rattanthread/backend"
	"github.com/rattanthread/rattanthread/fleet"
)

// boundFaults are injected while all hosts send as much work as possible to a cold
// server.
var boundFaults = []struct {
	name   string
	inject func(c *cluster)
}{
	{"none", func(*cluster) {}},
	{"allocator crashes", func(c *cluster) { c.allocator().up = false }},
	{"allocator replaced", func(c *cluster) { c.boot(c.allocator()) }},
	{"planned stop of the allocator", func(c *cluster) {
		host := c.allocator()
		c.send(host, host.pool.Stop(c.now))
		host.up = false
	}},
	{"allocator paused", func(c *cluster) {
		host := c.allocator()
		host.paused = true
		c.run(3 * time.Second)
		host.paused = false
	}},
	{"allocator partitioned", func(c *cluster) {
		c.partition[c.allocator().id] = 1
		c.run(8 * time.Second)
		clear(c.partition)
	}},
	{"three partitions", func(c *cluster) {
		for i, n := range c.nodes {
			c.partition[n.id] = i % 3
		}
		c.run(8 * time.Second)
		clear(c.partition)
	}},
	{"all hosts partitioned from each other", func(c *cluster) {
		for i, n := range c.nodes {
			c.partition[n.id] = i
		}
		c.run(5 * time.Second)
		clear(c.partition)
	}},
	{"host joins", func(c *cluster) { c.add("j1") }},
	{"all hosts replaced", func(c *cluster) {
		for _, n := range c.nodes {
			c.boot(n)
		}
	}},
	{"two allocators crash in turn", func(c *cluster) {
		c.allocator().up = false
		c.run(5 * time.Second)
		c.allocator().up = false
	}},
}

// TestColdBoundHolds checks that the work which all hosts send to a cold server stays
// within the bound. The server serves none of it, so the bound stays at ColdRate.
func TestColdBoundHolds(t *testing.T) {
	for _, fault := range boundFaults {
		t.Run(fault.name, func(t *testing.T) {
			is := is.New(t)
			highest := 0
			for seed := range uint64(5) {
				cluster := newCluster(seed, 9)
				cluster.run(8 * time.Second)
				fault.inject(cluster)
				cluster.run(3 * time.Second)
				before := len(cluster.workTimes)
				cluster.run(6 * time.Second)
				highest = max(highest, cluster.maxWorkPerSecond())
				is.True(len(cluster.workTimes) > before) // new work is admitted after the fault
			}
			t.Logf("most work in one second: %d, bound %g", highest, coldRate)
			is.True(highest <= coldRate)
		})
	}
}

func TestWarmsUpOnlyByServedWork(t *testing.T) {
	is := is.New(t)
	idle, busy := newCluster(1, 5), newCluster(1, 5)
	busy.servesWork = true
	idle.run(40 * time.Second)
	busy.run(40 * time.Second)
	is.Equal(idle.admissions(), map[backend.Admission]int{backend.AdmitByCredit: 5})
	is.Equal(busy.admissions(), map[backend.Admission]int{backend.AdmitFreely: 5})
	is.Equal(busy.nodes[0].pool.Digest(), busy.nodes[4].pool.Digest())
}

// warmCluster returns a cluster in which s1 is warm.
func warmCluster(seed uint64) *cluster {
	cluster := newCluster(seed, 5)
	cluster.servesWork = true
	cluster.run(40 * time.Second)
	cluster.servesWork = false
	return cluster
}

// TestColdAgainIsRecognised checks that a server is recognised as failing or cold when
// only one host, other than the allocator, observes it.
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
		name     string
		evidence []backend.Evidence
		want     backend.Admission
	}{
		{"one failure", repeat(1, failed), backend.AdmitFreely},
		{"failures", repeat(3, failed), backend.AdmitNone},
		{"few rejections", repeat(4, shed), backend.AdmitFreely},
		{"rejections", repeat(5, shed), backend.AdmitByCredit},
		{"one slow response", append(repeat(30, fast), slow), backend.AdmitFreely},
		{"latency step", append(repeat(30, fast), repeat(8, slow)...), backend.AdmitByCredit},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			cluster := warmCluster(1)
			cluster.run(3 * time.Second) // until the evidence of the allocator itself is no longer fresh
			observer := cluster.nodes[0]
			if observer == cluster.allocator() {
				observer = cluster.nodes[1]
			}
			// Alarms may be lost, so the evidence is repeated.
			for range 3 {
				for _, e := range test.evidence {
					cluster.send(observer, observer.pool.Observe(cluster.now, e))
				}
				cluster.run(100 * time.Millisecond)
				if test.want == backend.AdmitFreely {
					break
				}
			}
			cluster.run(time.Second)
			is.Equal(cluster.admissions(), map[backend.Admission]int{test.want: 5})
		})
	}
}

// TestReportsDoNotRaise checks that healthy reports do not warm up a server, and that
// a report of a restart makes it cold.
func TestReportsDoNotRaise(t *testing.T) {
	is := is.New(t)
	report := func(cluster *cluster, instance string) {
		host := cluster.allocator()
		e := backend.Evidence{Server: "s1", Kind: backend.EvidenceReport, Healthy: true, Instance: instance, At: cluster.now}
		cluster.send(host, host.pool.Observe(cluster.now, e))
		cluster.run(200 * time.Millisecond)
	}
	cold := newCluster(1, 5)
	for range 100 {
		report(cold, "x")
	}
	is.Equal(cold.admissions(), map[backend.Admission]int{backend.AdmitByCredit: 5})
	is.True(cold.maxWorkPerSecond() <= coldRate)
	restarted := warmCluster(1)
	report(restarted, "x")
	is.Equal(restarted.admissions(), map[backend.Admission]int{backend.AdmitFreely: 5})
	report(restarted, "y")
	restarted.run(time.Second)
	is.Equal(restarted.admissions(), map[backend.Admission]int{backend.AdmitByCredit: 5})
}

func TestDrainedServerGetsNothingAndReturnsCold(t *testing.T) {
	is := is.New(t)
	cluster := warmCluster(1)
	cluster.excluded = map[fleet.ServerID]bool{"s1": true}
	cluster.run(timeStep)
	before := len(cluster.workTimes)
	cluster.run(2 * time.Second)
	is.Equal(len(cluster.workTimes), before)
	cluster.excluded = nil
	cluster.workTimes = nil
	cluster.run(3 * time.Second)
	is.Equal(cluster.admissions(), map[backend.Admission]int{backend.AdmitByCredit: 5})
	is.True(cluster.maxWorkPerSecond() <= coldRate)
}

// TestOwnFindingShows checks that a failure which one host detects changes the digest
// of its admissions before the allocator has created a record of it.
func TestOwnFindingShows(t *testing.T) {
	is := is.New(t)
	cluster := warmCluster(1)
	a, b := cluster.nodes[0].pool, cluster.nodes[1].pool
	is.Equal(admissionsDigest(a), admissionsDigest(b))
	for range 3 {
		a.Observe(cluster.now, backend.Evidence{Server: "s1", Kind: backend.EvidenceConnectFailed})
	}
	is.Equal(a.Admission("s1"), backend.AdmitNone)
	is.True(admissionsDigest(a) != admissionsDigest(b))
}

func admissionsDigest(p *backend.Pool) uint64 {
	_, admissions := p.Digests()
	return admissions
}
