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

// maxUnseenHosts is the number of recently started hosts that may be missing from
// the catalogues of others.
const maxUnseenHosts = 2

// WarmupLimit is how far the new flows of a cold server may exceed its configured rate.
type WarmupLimit struct {
	// Factor multiplies the rate. Zero means 1.
	Factor float64
	// Slack is added to the product, in flows per second.
	Slack float64
}

// flowsPerSecond returns the rate at which all hosts together may open flows on a
// cold server.
func (l WarmupLimit) flowsPerSecond(rate float64) int {
	factor := l.Factor
	if factor == 0 {
		factor = 1
	}
	return int(math.Floor(rate*factor + l.Slack))
}

// WarmupLimiter limits the rate at which all hosts together open flows on a cold
// server. The hosts exchange no messages: those with the same host list compute the
// same shares. It is not safe for concurrent use.
type WarmupLimiter struct {
	Self  fleet.HostID
	Limit WarmupLimit

	opened map[catalogue.Cookie][]time.Time
	shares map[catalogue.Cookie]warmupShare
}

// warmupShare is this host's share of the limit of a cold server, in flows per second,
// computed from a catalogue and a limit.
type warmupShare struct {
	catalogue uint64
	limit     WarmupLimit
	flows     int
}

// Allow reports whether this host may open a flow on a cold server now. Without a
// configured rate there is no limit.
func (w *WarmupLimiter) Allow(now time.Time, pool *catalogue.Pool, server catalogue.Cookie) bool {
	if pool.ColdRate <= 0 {
		return true
	}
	return w.recent(now, server) < w.share(pool, server)
}

// RecordOpening records a flow that this host opened on a cold server.
func (w *WarmupLimiter) RecordOpening(now time.Time, pool *catalogue.Pool, server catalogue.Cookie) {
	if pool.ColdRate <= 0 {
		return
	}
	if w.opened == nil {
		w.opened = make(map[catalogue.Cookie][]time.Time)
	}
	w.opened[server] = append(w.opened[server], now)
}

// Forget discards the state of a server.
func (w *WarmupLimiter) Forget(server catalogue.Cookie) {
	delete(w.opened, server)
	delete(w.shares, server)
}

// recent returns the number of flows that this host opened on a server within
// warmupWindow.
func (w *WarmupLimiter) recent(now time.Time, server catalogue.Cookie) int {
	opened := w.opened[server]
	if len(opened) == 0 {
		return 0
	}
	expired := 0
	for expired < len(opened) && now.Sub(opened[expired]) > warmupWindow {
		expired++
	}
	w.opened[server] = slices.Delete(opened, 0, expired)
	return len(opened) - expired
}

// share returns the cached result of computeShare while its inputs are unchanged.
func (w *WarmupLimiter) share(pool *catalogue.Pool, server catalogue.Cookie) int {
	cached, ok := w.shares[server]
	if ok && cached.catalogue == pool.CatalogueNumber && cached.limit == w.Limit {
		return cached.flows
	}
	if w.shares == nil {
		w.shares = make(map[catalogue.Cookie]warmupShare)
	}
	flows := w.computeShare(pool, server)
	w.shares[server] = warmupShare{pool.CatalogueNumber, w.Limit, flows}
	return flows
}

// computeShare returns this host's share of a cold server's limit. If there are more
// hosts than flows, the highest-ranked hosts get one flow each. A host that is not
// in the host list gets none.
func (w *WarmupLimiter) computeShare(pool *catalogue.Pool, server catalogue.Cookie) int {
	limit := w.Limit.flowsPerSecond(pool.ColdRate)
	hosts := len(pool.Hosts)
	if !slices.Contains(pool.Hosts, w.Self) {
		return 0
	}
	if share := limit / (hosts + maxUnseenHosts); share > 0 {
		return share
	}
	if w.rank(pool, server) < limit-maxUnseenHosts {
		return 1
	}
	return 0
}

// rank returns the position of this host among all hosts in the rendezvous order of
// a server.
func (w *WarmupLimiter) rank(pool *catalogue.Pool, server catalogue.Cookie) int {
	rank := 0
	self := scoreHost(server, w.Self)
	for _, host := range pool.Hosts {
		if other := scoreHost(server, host); other > self || other == self && host < w.Self {
			rank++
		}
	}
	return rank
}

func scoreHost(server catalogue.Cookie, host fleet.HostID) uint64 {
	return score(xxhash.Sum64String(string(host)), server)
}
