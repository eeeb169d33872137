package capacity_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/rattanthread/rattanthread/capacity"
)

var sizes = []capacity.Size{
	{DataCentres: 3, Hosts: 9, Services: 9, Servers: 34},
	{DataCentres: 4, Hosts: 100, Services: 88, Servers: 340},
	{DataCentres: 5, Hosts: 490, Services: 880, Servers: 3400},
	{DataCentres: 5, Hosts: 490, Services: 9, Servers: 34},
	{DataCentres: 5, Hosts: 490, Services: 88, Servers: 340},
	{DataCentres: 5, Hosts: 9, Services: 880, Servers: 3400},
	{DataCentres: 5, Hosts: 100, Services: 880, Servers: 3400},
}

func TestWarmServersNeedNoPolls(t *testing.T) {
	is := is.New(t)
	polls := make(map[capacity.Phase]int)
	size := capacity.Size{DataCentres: 2, Hosts: 4, Services: 2, Servers: 4}
	is.NoErr(capacity.Measure(size, func(c capacity.Cost) { polls[c.Phase] = c.Kinds["backend_credit_poll"] }))
	is.Equal(polls[capacity.PhaseSteady], 0)
	is.True(polls[capacity.PhaseCold] > 0)
}

// BenchmarkHost prints one line for each phase with the cost per second of virtual
// time, the longest step and the heap, followed by the largest kinds of message.
func BenchmarkHost(b *testing.B) {
	for _, s := range sizes {
		b.Run(fmt.Sprintf("hosts=%d/servers=%d", s.Hosts, s.Servers), func(b *testing.B) {
			for b.Loop() {
				if err := capacity.Measure(s, func(c capacity.Cost) { report(b, c) }); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkJoin prints the same for a host that joins with no server known to be warm.
func BenchmarkJoin(b *testing.B) {
	for _, s := range sizes[:5] {
		b.Run(fmt.Sprintf("hosts=%d/servers=%d", s.Hosts, s.Servers), func(b *testing.B) {
			for b.Loop() {
				report(b, capacity.Join(s))
			}
		})
	}
}

func report(b *testing.B, c capacity.Cost) {
	seconds := c.Span.Seconds()
	fmt.Printf("%s %-6s core %.3f%%, longest step %v, sent %.0f B/s (%d messages), received %.0f B/s (%d messages), heap %.1f MB\n",
		b.Name(), c.Phase, 100*c.Spent.Seconds()/seconds, c.Slowest, float64(c.SentBytes)/seconds, c.Sent,
		float64(c.ReceivedBytes)/seconds, c.Received, float64(c.Heap)/1e6)
	for _, kind := range slices.Sorted(maps.Keys(c.Kinds)) {
		bytes := c.Kinds[kind]
		if float64(bytes)/seconds > 100 {
			fmt.Printf("       %s %.0f B/s\n", kind, float64(bytes)/seconds)
		}
	}
}
