package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rattanthread/rattanthread/catalogue"
	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/placement"
)

// coldPool returns a pool of one cold server, and the hosts that share it.
func coldPool(rate float64, hosts int) *catalogue.Pool {
	p := poolOf(pool("a"))
	p.ColdRate = rate
	p.All[0].WarmAt = start.Add(time.Hour)
	for i := range hosts {
		p.Hosts = append(p.Hosts, fleet.HostID(fmt.Sprintf("host-%d", i)))
	}
	return p
}

// openAll lets every host open as many flows as it may between start and end, and
// returns when.
func openAll(p *catalogue.Pool, hosts []fleet.HostID, bound placement.ColdBound, end time.Time) []time.Time {
	var opened []time.Time
	var choosers []*placement.Chooser
	for _, host := range hosts {
		choosers = append(choosers, &placement.Chooser{DataCentre: "a", Colds: placement.Colds{Self: host, Bound: bound}})
	}
	for now := start; now.Before(end); now = now.Add(10 * time.Millisecond) {
		for _, c := range choosers {
			if server := c.Choose(now, p, 1, placement.Failed{}); server != nil {
				c.Opened(now, p, server)
				opened = append(opened, now)
			}
		}
	}
	return opened
}

// most returns the largest number of flows in any second.
func most(opened []time.Time) int {
	most := 0
	for first := range opened {
		n := 0
		for _, at := range opened[first:] {
			if at.Sub(opened[first]) < time.Second {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// TestColdServerKeepsItsBound presses on one cold server from all hosts, some of
// which the others do not know yet.
func TestColdServerKeepsItsBound(t *testing.T) {
	bound := placement.ColdBound{Over: 1.5, Slack: 5}
	for _, hosts := range []int{1, 2, 6, 9, 30, 80, 490} {
		for _, rate := range []float64{1, 4, 20, 200} {
			t.Run(fmt.Sprintf("%d hosts, %v a second", hosts, rate), func(t *testing.T) {
				is := is.New(t)
				p := coldPool(rate, hosts)
				opened := openAll(p, p.Hosts, bound, start.Add(2500*time.Millisecond))
				is.True(len(opened) > 0) // the server gets some
				later := coldPool(rate, hosts+2)
				fresh := openAll(later, later.Hosts[hosts:], bound, start.Add(time.Second))
				is.True(most(opened)+most(fresh) <= int(rate*1.5+5))
			})
		}
	}
}

// TestColdShares tells cases apart in which a host may open a flow.
func TestColdShares(t *testing.T) {
	tests := []struct {
		name  string
		self  fleet.HostID
		rate  float64
		bound placement.ColdBound
		open  int
	}{
		{"no rate", "host-0", 0, placement.ColdBound{}, 100},
		{"half of what four bear", "host-0", 8, placement.ColdBound{}, 2},
		{"a host that others do not know", "host-9", 8, placement.ColdBound{}, 0},
		{"no flow in a second", "host-0", 0.5, placement.ColdBound{}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			p := coldPool(test.rate, 2)
			opened := openAll(p, []fleet.HostID{test.self}, test.bound, start.Add(time.Second))
			is.Equal(len(opened), test.open)
		})
	}
}

// TestWarmServerBeforeExhaustedOne uses up a cold server: the rest goes to a warm
// one, even if that is busy and in another data centre.
func TestWarmServerBeforeExhaustedOne(t *testing.T) {
	is := is.New(t)
	servers := pool("a", "b")
	servers[0].WarmAt = start.Add(time.Hour)
	p := poolOf(servers)
	p.ColdRate, p.Hosts = 3, []fleet.HostID{"host-0"}
	c := placement.Chooser{DataCentre: "a", Colds: placement.Colds{Self: "host-0"}}
	for range 2 {
		c.Suspects.Repeated(start, servers[1].Cookie)
	}
	cold := 0
	for flow := range uint64(10) {
		server := c.Choose(start, p, flow, placement.Failed{})
		c.Opened(start, p, server)
		if server == servers[0] {
			cold++
		}
	}
	is.Equal(cold, 1)
}
