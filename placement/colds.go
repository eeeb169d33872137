package placement

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rattanthread/rattanthread/catalogue"
	"github.com/rattanthread/rattanthread/fleet"
)

// warmupWindow is the period over which new flows of a cold server are counted.
const warmupWindow = time.Second

// maxUnseenHosts is the number of started hosts that may be missing from the
// catalogues of others.
const maxUnseenHosts = 2

// ColdBound is how far the new flows of a cold server may exceed its configured rate.
type ColdBound struct {
	// Over multiplies the rate. Zero means 1.
	Over float64
	// Slack is added to the product, in flows per second.
	Slack float64
}

// flowsPerSecond returns the rate at which all hosts together may open flows on a
// cold server.
func (b ColdBound) flowsPerSecond(rate float64) int {
	factor := b.Over
	if factor == 0 {
		factor = 1
	}
	return int(math.Floor(rate*factor + b.Slack))
}

// Colds limits the rate at which all hosts together open flows on a cold server. The
// hosts exchange no messages: those with the same host list compute the same shares.
// It is not safe for concurrent use.
type Colds struct {
	Self  fleet.HostID
	Bound ColdBound

	opened map[catalogue.Cookie][]time.Time
	shares map[catalogue.Cookie]warmupShare
}

// warmupShare is this host's share of the limit of a cold server, in flows per second,
// computed from a catalogue and a bound.
type warmupShare struct {
	catalogue uint64
	bound     ColdBound
	flows     int
}

// Allow reports whether this host may open a flow on a cold server now. Without a
// configured rate there is no limit.
func (c *Colds) Allow(now time.Time, pool *catalogue.Pool, server catalogue.Cookie) bool {
	if pool.ColdRate <= 0 {
		return true
	}
	return c.recent(now, server) < c.share(pool, server)
}

// RecordOpening records a flow that this host opened on a cold server.
func (c *Colds) RecordOpening(now time.Time, pool *catalogue.Pool, server catalogue.Cookie) {
	if pool.ColdRate <= 0 {
		return
	}
	if c.opened == nil {
		c.opened = make(map[catalogue.Cookie][]time.Time)
	}
	c.opened[server] = append(c.opened[server], now)
}

// Forget discards the state of a server.
func (c *Colds) Forget(server catalogue.Cookie) {
	delete(c.opened, server)
	delete(c.shares, server)
}

// recent returns the number of flows that this host opened on a server within
// warmupWindow.
func (c *Colds) recent(now time.Time, server catalogue.Cookie) int {
	opened := c.opened[server]
	if len(opened) == 0 {
		return 0
	}
	expired := 0
	for expired < len(opened) && now.Sub(opened[expired]) > warmupWindow {
		expired++
	}
	c.opened[server] = slices.Delete(opened, 0, expired)
	return len(opened) - expired
}

// share returns the cached result of computeShare while its inputs are unchanged.
func (c *Colds) share(pool *catalogue.Pool, server catalogue.Cookie) int {
	cached, ok := c.shares[server]
	if ok && cached.catalogue == pool.Catalogue && cached.bound == c.Bound {
		return cached.flows
	}
	if c.shares == nil {
		c.shares = make(map[catalogue.Cookie]warmupShare)
	}
	flows := c.computeShare(pool, server)
	c.shares[server] = warmupShare{pool.Catalogue, c.Bound, flows}
	return flows
}

// computeShare returns this host's share of a cold server's limit. If there are more
// hosts than flows, the highest-ranked hosts get one flow each. A host that is not
// in the host list gets none.
func (c *Colds) computeShare(pool *catalogue.Pool, server catalogue.Cookie) int {
	bound := c.Bound.flowsPerSecond(pool.ColdRate)
	hosts := len(pool.Hosts)
	if !slices.Contains(pool.Hosts, c.Self) {
		return 0
	}
	if share := bound / (hosts + maxUnseenHosts); share > 0 {
		return share
	}
	if c.rank(pool, server) < bound-maxUnseenHosts {
		return 1
	}
	return 0
}

// rank returns the position of this host among all hosts in the rendezvous order of
// a server.
func (c *Colds) rank(pool *catalogue.Pool, server catalogue.Cookie) int {
	rank := 0
	self := scoreHost(server, c.Self)
	for _, host := range pool.Hosts {
		if other := scoreHost(server, host); other > self || other == self && host < c.Self {
			rank++
		}
	}
	return rank
}

func scoreHost(server catalogue.Cookie, host fleet.HostID) uint64 {
	return score(xxhash.Sum64String(string(host)), server)
}
