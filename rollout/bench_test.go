package rollout_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/rattanthread/rattanthread/config"
	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/rollout"
)

const targetServers = 3400

// BenchmarkResume compares resuming from a revision with full snapshots, for a
// configuration of targetServers servers. It first publishes one change. Then a
// third of the hosts reconnect after a partition of ten changes. The metrics are
// means over the seeds 1 to b.N.
func BenchmarkResume(b *testing.B) {
	var revisions []config.PublishedSet
	for r := range fleet.Revision(12) {
		revisions = append(revisions, newRevision("h", r+1, targetServers))
	}
	for _, backlog := range []int{0, -1} {
		mode := "resume"
		if backlog < 0 {
			mode = "snapshot"
		}
		for _, hosts := range []int{6, 9, 30, 100} {
			for _, loss := range []float64{0, 0.05, 0.2} {
				b.Run(fmt.Sprintf("%s/hosts=%d/loss=%v", mode, hosts, loss), func(b *testing.B) {
					sums := make(map[string]float64)
					for i := range b.N {
						measureResume(b, uint64(i)+1, hosts, loss, rollout.Limits{BacklogSteps: backlog}, revisions, sums)
					}
					for name, sum := range sums {
						b.ReportMetric(sum/float64(b.N), name)
					}
				})
			}
		}
	}
}

func measureResume(b *testing.B, seed uint64, hosts int, loss float64, limits rollout.Limits, revisions []config.PublishedSet, sums map[string]float64) {
	network := newNetwork(seed, hosts, 1, limits)
	published := 0
	network.platform = func(fleet.HostID) (config.PublishedSet, bool) { return revisions[published], true }
	network.runUntil(2*time.Minute, func() bool { return network.allInForce(1) })
	network.run(10 * time.Second)
	network.loss = loss

	measure := func(name string, r fleet.Revision) {
		before := network.bytes
		d := network.runUntil(2*time.Minute, func() bool { return network.allInForce(r) })
		if !network.allInForce(r) {
			b.Errorf("revision %d not in force on all hosts after %v", r, d)
		}
		sums[name+"-s"] += d.Seconds()
		sums[name+"-B/host"] += float64(network.bytes-before) / float64(hosts)
	}
	published = 1
	measure("one", 2)

	partitioned := func(id fleet.HostID) bool { return int(id[len(id)-1])%3 == 0 }
	network.blocked = func(from, to fleet.HostID) bool { return partitioned(from) || partitioned(to) }
	readPlatform := network.platform
	network.platform = func(id fleet.HostID) (config.PublishedSet, bool) {
		if partitioned(id) {
			return config.PublishedSet{}, false
		}
		return readPlatform(id)
	}
	for published = 2; published < 12; published++ {
		network.run(3 * time.Second)
	}
	published = 11
	network.run(5 * time.Second)
	network.blocked = nil
	measure("ten", 12)
}
