package capacity_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/rattanthread/rattanthread/capacity"
)

var sizes = []capacity.Size{
	{Centres: 3, Hosts: 9, Services: 9, Servers: 34},
	{Centres: 4, Hosts: 100, Services: 88, Servers: 340},
	{Centres: 5, Hosts: 490, Services: 880, Servers: 3400},
	{Centres: 5, Hosts: 490, Services: 9, Servers: 34},
	{Centres: 5, Hosts: 490, Services: 88, Servers: 340},
	{Centres: 5, Hosts: 9, Services: 880, Servers: 3400},
	{Centres: 5, Hosts: 100, Services: 880, Servers: 3400},
}

func TestWarmServersNeedNoPolls(t *testing.T) {
	is := is.New(t)
	costs, err := capacity.Measure(capacity.Size{Centres: 2, Hosts: 4, Services: 2, Servers: 4})
	is.NoErr(err)
	at := func(p capacity.Phase) capacity.Cost {
		return costs[slices.IndexFunc(costs, func(c capacity.Cost) bool { return c.Phase == p })]
	}
	is.True(at(capacity.PhaseCold).Kinds["backend_credit_poll"] > 0)
	is.Equal(at(capacity.PhaseSteady).Kinds["backend_credit_poll"], 0)
	is.True(at(capacity.PhaseReturn).Kinds["backend_credit_poll"] > 0)
}

// BenchmarkHost prints one line for each phase: what a second of virtual time
// costs, the longest step, the heap, and the largest kinds of message.
func BenchmarkHost(b *testing.B) {
	for _, s := range sizes {
		b.Run(fmt.Sprintf("hosts=%d/servers=%d", s.Hosts, s.Servers), func(b *testing.B) {
			for b.Loop() {
				costs, err := capacity.Measure(s)
				if err != nil {
					b.Fatal(err)
				}
				for _, c := range costs {
					report(b, c)
				}
			}
		})
	}
}

func report(b *testing.B, c capacity.Cost) {
	seconds := c.Span.Seconds()
	b.Logf("%-6s core %.3f%%, longest step %v, sent %.0f B/s (%d messages), received %.0f B/s (%d messages), heap %.1f MB",
		c.Phase, 100*c.Spent.Seconds()/seconds, c.Slowest, float64(c.SentBytes)/seconds, c.Sent,
		float64(c.ReceivedBytes)/seconds, c.Received, float64(c.Heap)/1e6)
	for kind, bytes := range c.Kinds {
		if float64(bytes)/seconds > 100 {
			b.Logf("       %s %.0f B/s", kind, float64(bytes)/seconds)
		}
	}
}
