package membership_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/rattanthread/rattanthread/membership"
)

// quietPeriod is how long a new network runs before a measurement, so that the
// updates of its start are no longer sent.
const quietPeriod = time.Minute

// measure runs f on a network of each size without pending updates, for each loss
// rate and seed, and reports the means of the values that f returns.
func measure(b *testing.B, losses []float64, f func(net *network) map[string]float64) {
	for _, s := range []struct{ hosts, dataCentres int }{{9, 3}, {100, 4}, {490, 5}} {
		for _, loss := range losses {
			b.Run(fmt.Sprintf("hosts=%d/loss=%v", s.hosts, loss), func(b *testing.B) {
				sums := make(map[string]float64)
				for i := range b.N {
					net := newNetwork(uint64(i)+1, s.hosts, s.dataCentres)
					sums["join-s"] += net.runUntil(time.Minute, net.converged).Seconds()
					net.run(quietPeriod)
					net.loss = loss
					for name, value := range f(net) {
						sums[name] += value
					}
				}
				for name, sum := range sums {
					b.ReportMetric(sum/float64(b.N), name)
				}
			})
		}
	}
}

// rate returns the bytes per second and host that were sent in the last d, where
// before is the total of sent bytes at its start.
func (n *network) rate(before int, d time.Duration) float64 {
	return float64(n.bytes()-before) / float64(len(n.order)) / d.Seconds()
}

// BenchmarkSteady reports the traffic per host, the failed probes and the false
// deaths while nothing changes.
func BenchmarkSteady(b *testing.B) {
	measure(b, []float64{0, 0.05, 0.2}, func(net *network) map[string]float64 {
		const window = 30 * time.Second
		net.run(5 * time.Second)
		before := net.bytes()
		failed, died := net.total(failures), net.total(deaths)
		net.run(window)
		return map[string]float64{
			"B/s/host":        net.rate(before, window),
			"failed-probes/s": float64(net.total(failures)-failed) / window.Seconds(),
			"deaths":          float64(net.total(deaths) - died),
		}
	})
}

// BenchmarkCrash reports the time until the first host and until all hosts detect
// a crash, and the traffic per host during that time.
func BenchmarkCrash(b *testing.B) {
	measure(b, []float64{0, 0.2}, func(net *network) map[string]float64 {
		crashed := net.order[net.random.IntN(len(net.order))]
		net.nodes[crashed].down = true
		unaware := func() (count int) {
			for _, id := range net.order {
				if id != crashed && net.seesLive(id, crashed) {
					count++
				}
			}
			return count
		}
		before := net.bytes()
		first := net.runUntil(time.Minute, func() bool { return unaware() < len(net.order)-1 })
		all := first + net.runUntil(time.Minute, func() bool { return unaware() == 0 })
		return map[string]float64{"first-s": first.Seconds(), "all-s": all.Seconds(), "B/s/host": net.rate(before, all)}
	})
}

// BenchmarkSettle reports the time until a new state is settled on every host, and
// the traffic per host during that time.
func BenchmarkSettle(b *testing.B) {
	measure(b, []float64{0, 0.05, 0.2}, func(net *network) map[string]float64 {
		before := net.bytes()
		state := membership.State{Revision: 2, Digest: 7}
		for _, id := range net.order {
			net.nodes[id].table.SetLocalState(net.now, state)
		}
		d := net.runUntil(time.Minute, func() bool { return net.settled(state) })
		return map[string]float64{"settled-s": d.Seconds(), "B/host": net.rate(before, d) * d.Seconds()}
	})
}

// BenchmarkPartition reports the time until both sides of a partition have removed
// each other, the time until they have merged after its end, and the traffic per
// host during both and while the partition lasts.
func BenchmarkPartition(b *testing.B) {
	measure(b, []float64{0}, func(net *network) map[string]float64 {
		net.blocked = acrossSides
		before := net.bytes()
		split := net.runUntil(time.Minute, func() bool { return net.agreed(sameSide) })
		values := map[string]float64{"split-s": split.Seconds(), "split-B/s/host": net.rate(before, split)}
		before = net.bytes()
		net.run(time.Minute)
		values["apart-B/s/host"] = net.rate(before, time.Minute)
		net.blocked = nil
		before = net.bytes()
		heal := net.runUntil(time.Minute, net.converged)
		values["heal-s"], values["heal-B/s/host"] = heal.Seconds(), net.rate(before, heal)
		return values
	})
}
