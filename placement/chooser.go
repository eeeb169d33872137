package placement

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rattanthread/rattanthread/catalogue"
	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/load"
)

// MaxFailedAttempts is the number of servers that FailedAttempts holds.
const MaxFailedAttempts = 4

// FailedAttempts holds the servers of consecutive failed attempts to open a flow.
type FailedAttempts struct {
	servers [MaxFailedAttempts]catalogue.Cookie
	count   int
}

// Add records a failed attempt on a server. It replaces the oldest one if
// MaxFailedAttempts are held.
func (f *FailedAttempts) Add(server catalogue.Cookie) {
	f.servers[f.count%MaxFailedAttempts] = server
	f.count++
}

// Count returns the number of failed attempts, including those no longer held.
func (f *FailedAttempts) Count() int { return f.count }

// Last returns the server of the last failed attempt, or zero.
func (f *FailedAttempts) Last() catalogue.Cookie {
	if f.count == 0 {
		return 0
	}
	return f.servers[(f.count-1)%MaxFailedAttempts]
}

func (f *FailedAttempts) contains(server catalogue.Cookie) bool {
	return f.count > 0 && slices.Contains(f.servers[:min(f.count, MaxFailedAttempts)], server)
}

// preferLocal reports whether the next attempt should use the local data centre.
// Attempts alternate: after a local failure the whole data centre may be faulty, and
// after a remote failure the network path to it may be.
func (f *FailedAttempts) preferLocal() bool { return f.count%2 == 0 }

// Chooser selects servers for new flows. It is not safe for concurrent use.
type Chooser struct {
	// DataCentre is the data centre of the host.
	DataCentre fleet.DataCentreID
	// Suspects holds the servers that do not respond to callers.
	Suspects Suspects
	// Reachability holds the servers that accept no connection.
	Reachability Reachability
	// Isolation detects that the host can't reach any server.
	Isolation IsolationDetector
	// Shortage detects that new flows fail for lack of reachable servers.
	Shortage ShortageDetector
	// Outages detects that several servers of a data centre fail together.
	Outages OutageDetector
	// Loads tracks which servers are busy, as far as Estimate does not know them.
	Loads LoadTracker
	// Load learns how much load each server handles well.
	Load load.Tracker
	// Warmup limits the new flows of cold servers.
	Warmup WarmupLimiter
	// Estimate returns what is known about the load of a server. Nil means that nothing is
	// known about any server, and nothing spills over by a fraction.
	Estimate func(now time.Time, server *catalogue.Server) load.Estimate
	// Spillover decides which flows go to other data centres.
	Spillover Spillover
	// Elsewhere returns what other data centres have reported about the load of a service. Nil means
	// that they report nothing, and what this one has observed there counts.
	Elsewhere func(now time.Time, service fleet.ServiceName) []load.DataCentreUtilisation

	// elsewhere holds the state of CapacityElsewhere.
	elsewhere map[fleet.ServiceName]*serviceElsewhere
	// dataCentreLoads is the buffer of updateSpillover.
	dataCentreLoads []DataCentreLoad
}

// Penalties of a server, in ascending order of severity. A server is better than another
// one if its most severe penalty that the other one does not share is less severe.
const (
	// penaltyRemote is the least severe: a server in another data centre costs a round trip.
	// For some flows it applies to local servers instead, see Choose.
	penaltyRemote = 1 << iota
	// penaltySlow means that the server is busy, or that it is slower than usual and this
	// flow is not in its reduced share. It is more severe than penaltyRemote, so that a data
	// centre of which all servers are slow gives flows away, and less severe than
	// penaltyCold, because a slow server still completes what it accepts.
	penaltySlow
	// penaltyCold means that the server can take only reduced load, but has not reached its
	// limit of new flows.
	penaltyCold
	// penaltyFull means that the server is full and this flow is in the share that avoids
	// it. It is more severe than penaltyCold, because a full server refuses or queues the
	// flow, whereas a cold one below its limit has capacity for it. It is less severe than
	// penaltySuspected, because a full server responds, if only with a refusal.
	penaltyFull
	penaltySuspected
	penaltyFailed
	penaltyUnreachable
	// penaltyExhausted means that a cold server has reached its limit of new flows. Such a
	// server is never chosen.
	penaltyExhausted
)

// The requests in flight of other hosts are known from reports that are up to loadReportAge
// old. If requests are much shorter, they say little about the server now, and hosts that
// all follow them leave servers idle and overload others in turn. Therefore only a share of
// the flows considers them: the ratio of the usual latency to loadReportAge, and at least
// minLoadShare, or minFullShare for a full server, so that a server that remains full is relieved.
// In the queue model of the tests (requests of 25 ms, a quarter of the servers at 0.46 of the speed)
// servers refused 205 requests without estimates, 101 with 0.1 and 170 with 0.2. On a day with
// half of the servers missing (requests of 60 ms), 0.2 to 0.3 served more than no minimum.
const (
	loadReportAge = 400 * time.Millisecond
	minLoadShare  = 0.1
	minFullShare  = 0.25
)

// usualCandidates is the number of servers of equal penalties that are compared by expected latency.
// More would send nearly all flows to the few servers that look fastest. While the utilisation is
// below lowUtilisation or veryLowUtilisation, these have slots for more: in the trial with a quarter of
// fast servers, five servers instead of three lowered the p99 latency from 303 to 265 ms at a load of 0.2,
// and raised the refusals from 0.02% to 0.2% at 0.4.
const (
	usualCandidates    = 3
	maxCandidates      = 5
	lowUtilisation     = 0.12
	veryLowUtilisation = 0.08
)

// candidates returns how many servers are compared at a utilisation of the local ones. Zero means that
// it is not known.
func candidates(utilisation float64) int {
	switch {
	case utilisation <= 0 || utilisation >= lowUtilisation:
		return usualCandidates
	case utilisation >= veryLowUtilisation:
		return usualCandidates + 1
	}
	return maxCandidates
}

// uncomparedShare is the share of the flows that go to the first candidate. It gives servers that
// lose each comparison enough requests to show whether they are still slow.
const uncomparedShare = 0.1

// Choose returns the server for a new flow, or nil if no server may accept it. It
// avoids the servers of the caller's failed attempts if it can. Hosts with the same
// catalogue, the same suspicions and the same load reports choose the same server.
//
// It is meant for services whose servers differ in speed or become full: of the first servers in
// the order of the flow's hash, the one with the lowest expected latency gets the flow. Servers
// without a known estimate are chosen by hash.
//
// A first attempt goes to the local data centre, unless Spillover selects the flow and a
// data centre that it selects has a server without penalty. The next attempts alternate,
// since after a local failure the whole data centre may be faulty, and after a remote
// failure the network path to it may be.
func (c *Chooser) Choose(now time.Time, pool *catalogue.Pool, flow uint64, failed FailedAttempts) *catalogue.Server {
	ranked := c.rankAll(now, pool, flow, &failed, c.spilloverDestinations(now, pool, flow))
	return ranked.choice()
}

// rankAll ranks the servers for a flow that spills over to the given data centres, if any.
func (c *Chooser) rankAll(now time.Time, pool *catalogue.Pool, flow uint64, failed *FailedAttempts, destinations []fleet.DataCentreID) ranking {
	local := failed.preferLocal()
	if len(destinations) > 0 {
		local = !local
		if !local {
			spilled := c.newRanking(pool, flow)
			for _, destination := range destinations {
				c.rank(now, pool, pool.ByDataCentre[destination], flow, failed, local, &spilled)
			}
			if spilled.count > 0 && spilled.first().penalties == 0 {
				return spilled
			}
			local = true
		}
	}
	ranked := c.newRanking(pool, flow)
	if local {
		c.rank(now, pool, pool.ByDataCentre[c.DataCentre], flow, failed, local, &ranked)
		if ranked.count > 0 && ranked.first().penalties == 0 {
			return ranked
		}
		ranked.skip = c.DataCentre
	}
	c.rank(now, pool, pool.All, flow, failed, local, &ranked)
	return ranked
}

// candidate is a server that may get a flow.
type candidate struct {
	server    *catalogue.Server
	penalties int
	score     uint64
	estimate  load.Estimate
}

// ranking holds the first servers in the order of penalties and score, all of equal penalties.
type ranking struct {
	candidates [maxCandidates]candidate
	count      int
	// skip is a data centre that has been ranked already, or empty.
	skip fleet.DataCentreID
	// loadShare is the share of the flows that consider the requests in flight.
	loadShare float64
	// compared is the number of servers to compare.
	compared int
	// coldInUse means that all warm servers are short of capacity. A cold server below its limit then gets
	// flows like any other: it is slower, but others would queue or refuse them.
	coldInUse bool
}

// newRanking returns an empty ranking for a flow.
func (c *Chooser) newRanking(pool *catalogue.Pool, flow uint64) ranking {
	if c.Estimate == nil || len(pool.All) == 0 {
		return ranking{compared: 1}
	}
	service := pool.All[0].Service
	utilisation := c.Spillover.Utilisation(service)
	r := ranking{loadShare: 1, compared: candidates(utilisation), coldInUse: c.Spillover.ColdInUse(service)}
	if usual := c.Loads.Baseline(service); usual > 0 {
		r.loadShare = max(minLoadShare, min(float64(usual)/float64(loadReportAge), 1))
	}
	if drawsLoad(score(flow, 0), uncomparedShare) {
		r.compared = 1
	}
	return r
}

// first returns the candidate of the highest score.
func (r *ranking) first() *candidate { return &r.candidates[0] }

// accepts reports whether a server with at least the given penalties may be a candidate.
func (r *ranking) accepts(penalties int, score uint64) bool {
	if r.count == 0 || penalties < r.first().penalties {
		return true
	}
	return penalties == r.first().penalties && (r.count < r.compared || score > r.candidates[r.count-1].score)
}

// add ranks a server that is accepted.
func (r *ranking) add(added candidate) {
	if r.count > 0 && added.penalties < r.first().penalties {
		r.count = 0
	}
	if !r.accepts(added.penalties, added.score) {
		return
	}
	if r.count < r.compared {
		r.count++
	}
	i := r.count - 1
	for ; i > 0 && r.candidates[i-1].score < added.score; i-- {
		r.candidates[i] = r.candidates[i-1]
	}
	r.candidates[i] = added
}

// choice returns the candidate with the lowest expected latency, the first one if several have it, or nil
// if no server may accept the flow.
// Equal servers with a free slot are therefore not reordered: the hash alone is nearly as good as
// exact knowledge for them, and hosts that compare outdated reports choose the same servers.
func (r *ranking) choice() *catalogue.Server {
	best := r.first()
	if r.count == 0 || best.penalties&penaltyExhausted != 0 {
		return nil
	}
	useLoad := drawsLoad(best.score, r.loadShare)
	for i := 1; i < r.count; i++ {
		other := &r.candidates[i]
		if best.estimate.Known && other.estimate.Known && other.expectedLatency(useLoad) < best.expectedLatency(useLoad) {
			best = other
		}
	}
	return best.server
}

// expectedLatency returns the latency of one more request, relative to that of a server of usual
// speed with a free slot. Without the requests in flight, a slot counts as free.
func (c *candidate) expectedLatency(useLoad bool) float64 {
	queueing := 1.0
	if slots := float64(c.server.Slots); useLoad && slots > 0 && c.estimate.Total() >= slots {
		queueing = (c.estimate.Total() + 1) / slots
	}
	return queueing / c.estimate.Speed
}

// rank adds servers to a ranking. It looks up the state of a server only while what is
// known without it leaves the server among the first two, which is the case for few
// servers once a good one has been found.
func (c *Chooser) rank(
	now time.Time, pool *catalogue.Pool, servers []*catalogue.Server, flow uint64, failed *FailedAttempts, preferLocal bool, ranked *ranking,
) {
	for _, server := range servers {
		if ranked.skip != "" && server.DataCentre == ranked.skip {
			continue
		}
		penalties := 0
		if local := server.DataCentre == c.DataCentre; local != preferLocal {
			penalties |= penaltyRemote
		}
		cold := server.IsCold(now)
		if cold && !ranked.coldInUse {
			penalties |= penaltyCold
		}
		if failed.contains(server.Cookie) {
			penalties |= penaltyFailed
		}
		score := score(flow, server.Cookie)
		if !ranked.accepts(penalties, score) {
			continue
		}
		if c.Reachability.Unreachable(server.Cookie) {
			penalties |= penaltyUnreachable
		}
		if c.Suspects.Suspected(now, server.Cookie) {
			penalties |= penaltySuspected
		}
		if cold && !c.Warmup.Allow(now, pool, server.Cookie) {
			penalties |= penaltyExhausted
		}
		if !ranked.accepts(penalties, score) {
			continue
		}
		loadPenalties, estimate := c.loadPenalties(now, server, score, ranked.loadShare)
		ranked.add(candidate{server, penalties | loadPenalties, score, estimate})
	}
}

// loadPenalties returns the penalties of a server for its load, and the estimate that they
// are based on. The threshold of Loads applies only to a server without a known estimate.
func (c *Chooser) loadPenalties(now time.Time, server *catalogue.Server, score uint64, loadShare float64) (int, load.Estimate) {
	var estimate load.Estimate
	if c.Estimate != nil {
		estimate = c.Estimate(now, server)
	}
	penalties := 0
	if estimate.Known && passedOver(score, estimate.Speed) || !estimate.Known && c.Loads.Busy(now, server.Cookie) {
		penalties |= penaltySlow
	}
	if estimate.Full() && drawsLoad(score, max(loadShare, minFullShare)) {
		penalties |= penaltyFull
	}
	return penalties, estimate
}

// passedOver reports whether a server of the given speed is passed over for a flow. It
// draws the low half of the flow's score: the rank of the server depends on the high bits,
// so the draw is independent of it. While a server's speed changes, only the flows between
// the two shares move.
func passedOver(score uint64, speed float64) bool {
	return float64(uint32(score)) >= speed*(1<<32)
}

// drawsLoad reports whether a flow is part of the share that considers the requests in
// flight on a server. It draws bits of the score that neither passedOver nor, except for
// ties of the high 16 bits, the rank depends on.
func drawsLoad(score uint64, share float64) bool {
	return float64(uint16(score>>32)) < share*(1<<16)
}

// Witnesses returns servers to probe along with an unresponsive one: one in the
// local data centre and one in another, as far as there are any that are not being
// probed themselves. If no witness responds either, the host itself may be stalled.
func (c *Chooser) Witnesses(current *catalogue.Catalogue, probed *catalogue.Server, turn uint64) []*catalogue.Server {
	local := c.witness(current.ServersIn(c.DataCentre), probed, turn, func(*catalogue.Server) bool { return true })
	remote := c.witness(current.Pool(probed.Service).All, probed, turn, func(s *catalogue.Server) bool { return s.DataCentre != c.DataCentre })
	return slices.DeleteFunc([]*catalogue.Server{local, remote}, func(s *catalogue.Server) bool { return s == nil })
}

// witness returns one of the servers that fit and are not being probed. The choice
// varies with turn.
func (c *Chooser) witness(servers []*catalogue.Server, probed *catalogue.Server, turn uint64, fits func(*catalogue.Server) bool) *catalogue.Server {
	var best *catalogue.Server
	for _, server := range servers {
		if server == probed || c.Reachability.Probing(server.Cookie) || !fits(server) {
			continue
		}
		if best == nil || score(turn, server.Cookie) > score(turn, best.Cookie) {
			best = server
		}
	}
	return best
}

// HasAlternative reports whether a pool has a server other than the given one that
// is not being probed.
func (c *Chooser) HasAlternative(pool *catalogue.Pool, server catalogue.Cookie) bool {
	return slices.ContainsFunc(pool.All, func(s *catalogue.Server) bool {
		return s.Cookie != server && !c.Reachability.Probing(s.Cookie)
	})
}

// RecordOpening records a new flow on a server that Choose returned.
func (c *Chooser) RecordOpening(now time.Time, pool *catalogue.Pool, server *catalogue.Server) {
	if server.IsCold(now) {
		c.Warmup.RecordOpening(now, pool, server.Cookie)
	}
}

// score returns the rendezvous hash of a flow and a server.
func score(flow uint64, server catalogue.Cookie) uint64 {
	var data [12]byte
	binary.LittleEndian.PutUint64(data[:8], flow)
	binary.LittleEndian.PutUint32(data[8:], uint32(server))
	return xxhash.Sum64(data[:])
}
