package membership_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/rattanthread/rattanthread/membership"
)

var sizes = []struct{ hosts, centres int }{{9, 3}, {100, 4}, {490, 5}}

// quiet is how long a new network runs before a measurement, so that the news
// of its start has ended.
const quiet = time.Minute

// BenchmarkSteady reports what one host sends while nothing changes.
func BenchmarkSteady(b *testing.B) {
	for _, s := range sizes {
		for _, loss := range []float64{0, 0.05, 0.2} {
			b.Run(fmt.Sprintf("hosts=%d/loss=%v", s.hosts, loss), func(b *testing.B) {
				for i := range b.N {
					n := newNetwork(uint64(i)+1, s.hosts, s.centres)
					b.ReportMetric(n.until(time.Minute, n.whole).Seconds(), "join-s")
					n.run(quiet)
					n.loss = loss
					n.run(5 * time.Second)
					before := n.bytes()
					suspected, failed, died := n.total(suspicions), n.total(failures), n.total(deaths)
					const window = 30
					n.run(window * time.Second)
					perHost := float64(s.hosts) * window
					b.ReportMetric(float64(n.bytes()-before)/perHost, "B/s/host")
					b.ReportMetric(float64(n.total(failures)-failed)/window, "failed-probes/s")
					b.ReportMetric(float64(n.total(suspicions)-suspected)/window, "suspicions/s")
					b.ReportMetric(float64(n.total(deaths)-died), "deaths")
				}
			})
		}
	}
}

// BenchmarkCrash reports how long it takes until the first and until all hosts
// hold a crashed host dead, and what that costs.
func BenchmarkCrash(b *testing.B) {
	for _, s := range sizes {
		for _, loss := range []float64{0, 0.2} {
			b.Run(fmt.Sprintf("hosts=%d/loss=%v", s.hosts, loss), func(b *testing.B) {
				var first, all, longest, bytes float64
				for i := range b.N {
					n := newNetwork(uint64(i)+1, s.hosts, s.centres)
					n.until(time.Minute, n.whole)
					n.run(quiet)
					n.loss = loss
					lost := n.order[i%s.hosts]
					n.nodes[lost].down = true
					before := n.bytes()
					holders := func() (count int) {
						for _, id := range n.order {
							if id != lost && n.holds(id, lost) {
								count++
							}
						}
						return count
					}
					d := n.until(time.Minute, func() bool { return holders() < s.hosts-1 })
					first += d.Seconds()
					d += n.until(time.Minute, func() bool { return holders() == 0 })
					all += d.Seconds()
					longest = max(longest, d.Seconds())
					bytes += float64(n.bytes()-before) / float64(s.hosts) / d.Seconds()
				}
				b.ReportMetric(first/float64(b.N), "first-s")
				b.ReportMetric(all/float64(b.N), "all-s")
				b.ReportMetric(longest, "longest-s")
				b.ReportMetric(bytes/float64(b.N), "B/s/host")
			})
		}
	}
}

// BenchmarkSettle reports how long a new state takes until every host holds it
// acknowledged by all, and what that costs.
func BenchmarkSettle(b *testing.B) {
	for _, s := range sizes {
		for _, loss := range []float64{0, 0.05, 0.2} {
			b.Run(fmt.Sprintf("hosts=%d/loss=%v", s.hosts, loss), func(b *testing.B) {
				var settled, bytes float64
				for i := range b.N {
					n := newNetwork(uint64(i)+1, s.hosts, s.centres)
					n.until(time.Minute, n.whole)
					n.run(quiet)
					n.loss = loss
					before := n.bytes()
					state := membership.State{Revision: 2, Digest: 7}
					for _, id := range n.order {
						n.nodes[id].table.SetLocal(n.now, state)
					}
					d := n.until(time.Minute, func() bool { return n.settled(state) })
					settled += d.Seconds()
					bytes += float64(n.bytes()-before) / float64(s.hosts)
				}
				b.ReportMetric(settled/float64(b.N), "settled-s")
				b.ReportMetric(bytes/float64(b.N), "B/host")
			})
		}
	}
}

// BenchmarkPartition reports how long it takes until one data centre and the
// rest have given each other up, and how long until they are one again.
func BenchmarkPartition(b *testing.B) {
	for _, s := range sizes {
		b.Run(fmt.Sprintf("hosts=%d", s.hosts), func(b *testing.B) {
			for i := range b.N {
				n := newNetwork(uint64(i)+1, s.hosts, s.centres)
				n.until(time.Minute, n.whole)
				n.run(quiet)
				n.cut = acrossSides
				before := n.bytes()
				split := n.until(time.Minute, func() bool { return n.agreed(sameSide) })
				b.ReportMetric(split.Seconds(), "split-s")
				b.ReportMetric(float64(n.bytes()-before)/float64(s.hosts)/split.Seconds(), "split-B/s/host")
				before = n.bytes()
				n.run(time.Minute)
				b.ReportMetric(float64(n.bytes()-before)/float64(s.hosts)/60, "apart-B/s/host")
				n.cut = nil
				before = n.bytes()
				heal := n.until(time.Minute, n.whole)
				b.ReportMetric(heal.Seconds(), "heal-s")
				b.ReportMetric(float64(n.bytes()-before)/float64(s.hosts)/heal.Seconds(), "heal-B/s/host")
			}
		})
	}
}

func (n *network) settled(s membership.State) bool {
	for _, id := range n.order {
		if x := n.nodes[id]; !x.down && !x.table.Settled(n.now, s) {
			return false
		}
	}
	return true
}
