package membership_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/rattanthread/rattanthread/membership"
)

// quiet is how long a new network runs before a measurement, so that the news
// of its start has ended.
const quiet = time.Minute

// measure runs f on a quiet network of each size, for each loss and seed, and
// reports the means of what f returns.
func measure(b *testing.B, losses []float64, f func(n *network) map[string]float64) {
	for _, s := range []struct{ hosts, centres int }{{9, 3}, {100, 4}, {490, 5}} {
		for _, loss := range losses {
			b.Run(fmt.Sprintf("hosts=%d/loss=%v", s.hosts, loss), func(b *testing.B) {
				sums := make(map[string]float64)
				for i := range b.N {
					n := newNetwork(uint64(i)+1, s.hosts, s.centres)
					sums["join-s"] += n.until(time.Minute, n.whole).Seconds()
					n.run(quiet)
					n.loss = loss
					for name, value := range f(n) {
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

// rate returns the bytes a second that a host has sent since start.
func (n *network) rate(before int, d time.Duration) float64 {
	return float64(n.bytes()-before) / float64(len(n.order)) / d.Seconds()
}

// BenchmarkSteady reports what one host sends while nothing changes, and what
// the whole network suspects wrongly.
func BenchmarkSteady(b *testing.B) {
	measure(b, []float64{0, 0.05, 0.2}, func(n *network) map[string]float64 {
		const window = 30 * time.Second
		n.run(5 * time.Second)
		before := n.bytes()
		failed, died := n.total(failures), n.total(deaths)
		n.run(window)
		return map[string]float64{
			"B/s/host":        n.rate(before, window),
			"failed-probes/s": float64(n.total(failures)-failed) / window.Seconds(),
			"deaths":          float64(n.total(deaths) - died),
		}
	})
}

// BenchmarkCrash reports how long it takes until the first and until all hosts
// hold a crashed host dead, and what one host sends meanwhile.
func BenchmarkCrash(b *testing.B) {
	measure(b, []float64{0, 0.2}, func(n *network) map[string]float64 {
		lost := n.order[n.random.IntN(len(n.order))]
		n.nodes[lost].down = true
		holders := func() (count int) {
			for _, id := range n.order {
				if id != lost && n.holds(id, lost) {
					count++
				}
			}
			return count
		}
		before := n.bytes()
		first := n.until(time.Minute, func() bool { return holders() < len(n.order)-1 })
		all := first + n.until(time.Minute, func() bool { return holders() == 0 })
		return map[string]float64{"first-s": first.Seconds(), "all-s": all.Seconds(), "B/s/host": n.rate(before, all)}
	})
}

// BenchmarkSettle reports how long a new state takes until every host holds it
// acknowledged by all, and what one host sends meanwhile.
func BenchmarkSettle(b *testing.B) {
	measure(b, []float64{0, 0.05, 0.2}, func(n *network) map[string]float64 {
		before := n.bytes()
		state := membership.State{Revision: 2, Digest: 7}
		for _, id := range n.order {
			n.nodes[id].table.SetLocal(n.now, state)
		}
		d := n.until(time.Minute, func() bool { return n.settled(state) })
		return map[string]float64{"settled-s": d.Seconds(), "B/host": n.rate(before, d) * d.Seconds()}
	})
}

// BenchmarkPartition reports how long it takes until one data centre and the
// rest have given each other up, and how long until they are one again.
func BenchmarkPartition(b *testing.B) {
	measure(b, []float64{0}, func(n *network) map[string]float64 {
		n.cut = acrossSides
		before := n.bytes()
		split := n.until(time.Minute, func() bool { return n.agreed(sameSide) })
		values := map[string]float64{"split-s": split.Seconds(), "split-B/s/host": n.rate(before, split)}
		before = n.bytes()
		n.run(time.Minute)
		values["apart-B/s/host"] = n.rate(before, time.Minute)
		n.cut = nil
		before = n.bytes()
		heal := n.until(time.Minute, n.whole)
		values["heal-s"], values["heal-B/s/host"] = heal.Seconds(), n.rate(before, heal)
		return values
	})
}
