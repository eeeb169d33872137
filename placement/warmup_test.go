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

// coldPool returns a pool of one cold server that the given number of hosts share.
func coldPool(rate float64, hosts int) *catalogue.Pool {
	pool := newPool(newServers("a"))
	pool.ColdRate = rate
	pool.All[0].WarmAt = start.Add(time.Hour)
	for i := range hosts {
		pool.Hosts = append(pool.Hosts, fleet.HostID(fmt.Sprintf("host-%d", i)))
	}
	return pool
}

// openFlows opens as many flows as each host allows between start and end, and returns
// their times.
func openFlows(pool *catalogue.Pool, hosts []fleet.HostID, limit placement.WarmupLimit, end time.Time) []time.Time {
	var opened []time.Time
	var choosers []*placement.Chooser
	for _, host := range hosts {
		choosers = append(choosers, &placement.Chooser{DataCentre: "a", Warmup: placement.WarmupLimiter{Self: host, Limit: limit}})
	}
	for now := start; now.Before(end); now = now.Add(10 * time.Millisecond) {
		for _, chooser := range choosers {
			if server := chooser.Choose(now, pool, 1, placement.FailedAttempts{}); server != nil {
				chooser.RecordOpening(now, pool, server)
				opened = append(opened, now)
			}
		}
	}
	return opened
}

// maxPerSecond returns the maximum number of flows in any second.
func maxPerSecond(opened []time.Time) int {
	maximum := 0
	for first := range opened {
		n := 0
		for _, at := range opened[first:] {
			if at.Sub(opened[first]) < time.Second {
				n++
			}
		}
		maximum = max(maximum, n)
	}
	return maximum
}

// TestColdServerKeepsItsBound opens flows on one cold server from all hosts, two of
// which are missing from the catalogues of the others. Together they must keep the
// limit.
func TestColdServerKeepsItsBound(t *testing.T) {
	limit := placement.WarmupLimit{Factor: 1.5, Slack: 5}
	for _, hosts := range []int{1, 2, 6, 9, 30, 80, 490} {
		for _, rate := range []float64{1, 4, 20, 200} {
			t.Run(fmt.Sprintf("%d hosts, %v per second", hosts, rate), func(t *testing.T) {
				is := is.New(t)
				pool := coldPool(rate, hosts)
				opened := openFlows(pool, pool.Hosts, limit, start.Add(2500*time.Millisecond))
				is.True(len(opened) > 0)
				later := coldPool(rate, hosts+2)
				unseen := openFlows(later, later.Hosts[hosts:], limit, start.Add(time.Second))
				is.True(maxPerSecond(opened)+maxPerSecond(unseen) <= int(rate*1.5+5))
			})
		}
	}
}

// TestColdShares checks how many flows one host opens on a cold server.
func TestColdShares(t *testing.T) {
	tests := []struct {
		name  string
		self  fleet.HostID
		rate  float64
		limit placement.WarmupLimit
		open  int
	}{
		{"no configured rate", "host-0", 0, placement.WarmupLimit{}, 100},
		{"one of four shares of the rate", "host-0", 8, placement.WarmupLimit{}, 2},
		{"host missing from the host list", "host-9", 8, placement.WarmupLimit{}, 0},
		{"less than one flow per second", "host-0", 0.5, placement.WarmupLimit{}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			pool := coldPool(test.rate, 2)
			opened := openFlows(pool, []fleet.HostID{test.self}, test.limit, start.Add(time.Second))
			is.Equal(len(opened), test.open)
		})
	}
}

// TestWarmServerBeforeExhaustedOne checks that flows beyond the limit of a cold server
// go to a warm one, even if that is suspected and in another data centre.
func TestWarmServerBeforeExhaustedOne(t *testing.T) {
	is := is.New(t)
	servers := newServers("a", "b")
	servers[0].WarmAt = start.Add(time.Hour)
	pool := newPool(servers)
	pool.ColdRate, pool.Hosts = 3, []fleet.HostID{"host-0"}
	chooser := placement.Chooser{DataCentre: "a", Warmup: placement.WarmupLimiter{Self: "host-0"}}
	for range 2 {
		chooser.Suspects.RecordRetransmission(start, servers[1].Cookie)
	}
	cold := 0
	for flow := range uint64(10) {
		server := chooser.Choose(start, pool, flow, placement.FailedAttempts{})
		chooser.RecordOpening(start, pool, server)
		if server == servers[0] {
			cold++
		}
	}
	is.Equal(cold, 1)
}
