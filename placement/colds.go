package placement

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rattanthread/rattanthread/catalogue"
	"github.com/rattanthread/rattanthread/fleet"
)

// coldWindow is the span in which the new flows of a cold server are counted.
const coldWindow = time.Second

// newcomers is how many hosts may have started that others do not know yet.
const newcomers = 2

// ColdBound is how far above its rate a cold server may be loaded.
type ColdBound struct {
	// Over multiplies the rate; zero means 1.
	Over float64
	// Slack is added, in flows a second.
	Slack float64
}

// of returns how many flows a second all hosts together may open on a cold server.
func (b ColdBound) of(rate float64) int {
	over := b.Over
	if over == 0 {
		over = 1
	}
	return int(math.Floor(rate*over + b.Slack))
}

// Colds keeps what all hosts together open on a cold server within its bound,
// without a message: hosts that know of the same hosts compute the same shares.
// It belongs to one goroutine.
type Colds struct {
	Self  fleet.HostID
	Bound ColdBound

	opened map[catalogue.Cookie][]time.Time
	shares map[catalogue.Cookie]coldShare
}

// coldShare is how many flows a second this host may open on a cold server, by one
// catalogue.
type coldShare struct {
	catalogue uint64
	bound     ColdBound
	flows     int
}

// Allow reports whether this host may open a flow on a cold server now. Without a
// rate in the configuration there is no bound.
func (c *Colds) Allow(now time.Time, pool *catalogue.Pool, server catalogue.Cookie) bool {
	if pool.ColdRate <= 0 {
		return true
	}
	return c.recent(now, server) < c.share(pool, server)
}

// Opened notes a flow that this host has opened on a cold server.
func (c *Colds) Opened(now time.Time, pool *catalogue.Pool, server catalogue.Cookie) {
	if pool.ColdRate <= 0 {
		return
	}
	if c.opened == nil {
		c.opened = make(map[catalogue.Cookie][]time.Time)
	}
	c.opened[server] = append(c.opened[server], now)
}

// Forget drops what is known of a server.
func (c *Colds) Forget(server catalogue.Cookie) {
	delete(c.opened, server)
	delete(c.shares, server)
}

// recent returns how many flows were opened on a server within the window.
func (c *Colds) recent(now time.Time, server catalogue.Cookie) int {
	opened := c.opened[server]
	if len(opened) == 0 {
		return 0
	}
	old := 0
	for old < len(opened) && now.Sub(opened[old]) > coldWindow {
		old++
	}
	c.opened[server] = slices.Delete(opened, 0, old)
	return len(opened) - old
}

// share returns how many flows a second this host may open.
func (c *Colds) share(pool *catalogue.Pool, server catalogue.Cookie) int {
	known, ok := c.shares[server]
	if ok && known.catalogue == pool.Catalogue && known.bound == c.Bound {
		return known.flows
	}
	if c.shares == nil {
		c.shares = make(map[catalogue.Cookie]coldShare)
	}
	flows := c.divide(pool, server)
	c.shares[server] = coldShare{pool.Catalogue, c.Bound, flows}
	return flows
}

// divide returns the part of a cold server's bound that is this host's. Where there are more
// hosts than flows, the first of them by a hash get one each. A host that does not
// know the others gets none.
func (c *Colds) divide(pool *catalogue.Pool, server catalogue.Cookie) int {
	bound := c.Bound.of(pool.ColdRate)
	hosts := len(pool.Hosts)
	if !slices.Contains(pool.Hosts, c.Self) {
		return 0
	}
	if each := bound / (hosts + newcomers); each > 0 {
		return each
	}
	if c.rank(pool, server) < bound-newcomers {
		return 1
	}
	return 0
}

// rank returns the place of this host among all for a server.
func (c *Colds) rank(pool *catalogue.Pool, server catalogue.Cookie) int {
	rank := 0
	own := hostScore(server, c.Self)
	for _, host := range pool.Hosts {
		if other := hostScore(server, host); other > own || other == own && host < c.Self {
			rank++
		}
	}
	return rank
}

func hostScore(server catalogue.Cookie, host fleet.HostID) uint64 {
	return score(xxhash.Sum64String(string(host)), server)
}
