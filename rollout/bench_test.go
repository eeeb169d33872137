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

// BenchmarkResume compares resuming from a revision with whole snapshots. The
// configuration has the target's size. First one change is published; then a
// third of the hosts, which were cut off for ten changes, come back.
func BenchmarkResume(b *testing.B) {
	var versions []config.Revised
	for r := range fleet.Revision(12) {
		versions = append(versions, revised("h", r+1, targetServers))
	}
	for _, backlog := range []int{0, -1} {
		mode := "resume"
		if backlog < 0 {
			mode = "snapshot"
		}
		for _, hosts := range []int{6, 9, 30, 100} {
			for _, loss := range []float64{0, 0.05, 0.2} {
				b.Run(fmt.Sprintf("%s/hosts=%d/loss=%v", mode, hosts, loss), func(b *testing.B) {
					for i := range b.N {
						resume(b, uint64(i)+1, hosts, loss, rollout.Limits{BacklogSteps: backlog}, versions)
					}
				})
			}
		}
	}
}

func resume(b *testing.B, seed uint64, hosts int, loss float64, limits rollout.Limits, versions []config.Revised) {
	n := newNetwork(seed, hosts, 1, limits)
	published := 0
	n.platform = func(fleet.HostID) (config.Revised, bool) { return versions[published], true }
	n.until(2*time.Minute, func() bool { return n.inForce(1) })
	n.run(10 * time.Second)
	n.loss = loss

	measure := func(name string, r fleet.Revision) {
		before := n.bytes
		d := n.until(2*time.Minute, func() bool { return n.inForce(r) })
		if !n.inForce(r) {
			b.Errorf("revision %d is not in force after %v", r, d)
		}
		b.ReportMetric(d.Seconds(), name+"-s")
		b.ReportMetric(float64(n.bytes-before)/float64(hosts), name+"-B/host")
	}
	published = 1
	measure("one", 2)

	away := func(id fleet.HostID) bool { return int(id[len(id)-1])%3 == 0 }
	n.cut = func(from, to fleet.HostID) bool { return away(from) || away(to) }
	reader := n.platform
	n.platform = func(id fleet.HostID) (config.Revised, bool) {
		if away(id) {
			return config.Revised{}, false
		}
		return reader(id)
	}
	for published = 2; published < 12; published++ {
		n.run(3 * time.Second)
	}
	published = 11
	n.run(5 * time.Second)
	n.cut = nil
	measure("ten", 12)
}
