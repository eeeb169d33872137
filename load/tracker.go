package load

import (
	"math"
	"net/netip"
	"time"

	"github.com/rattanthread/rattanthread/catalogue"
	"github.com/rattanthread/rattanthread/fleet"
)

const (
	// InFlightExpiry bounds how long a request counts as in flight. The end of a request is not seen if
	// its server resets the flow, if its caller gives up without a packet, or if its packets go
	// through another host. Callers give up after at most 4 s.
	InFlightExpiry = 5 * time.Second
	// OpeningExpiry is how long a flow that is being opened counts. Callers retransmit the opening packet
	// after 200 ms, and hosts place it on another server then.
	OpeningExpiry = 200 * time.Millisecond
	// expiryFactor is how many times its expected latency a request counts. Of requests whose latency is
	// exponentially distributed, 2% take longer than eight times the usual latency, and those at the end
	// of a full queue take five to six times as long. With less, a server that slows by a factor of eight
	// would look idle until it is known to be slow.
	expiryFactor = 8
	// minRequestExpiry is the minimum time that a request counts. A lost packet of a request is
	// sent again after 200 and 600 ms, of which the first must not look like the end of a short request.
	minRequestExpiry = 500 * time.Millisecond
	// ReportExpiry is how long a report counts: two lost reports at the interval of 400 ms.
	ReportExpiry = time.Second
	// updateInterval is the interval of the sums over hosts, speeds and limits. It is half the
	// interval of reports, so it adds little to their delay.
	updateInterval = 200 * time.Millisecond
	// stateRetention is how long the state of an idle server or route is kept. It only
	// bounds the memory: an estimate expires earlier. The state of a server that only other hosts have
	// reported ends with their reports, since false ones may name 16,384 servers in 69 bytes each.
	stateRetention = 30 * time.Second
	// maxRequests bounds the requests in flight that are held for one server of this host, and the openings.
	maxRequests = 4096
)

// Tracker learns how much load each server handles well, from the requests of this host and
// from the reports of other hosts. It is meant for a data centre whose hosts each observe less
// than one response a second and server. The zero value is ready to use. It is not safe for
// concurrent use.
//
// Speed compares a server with the others of its service in its data centre, so the network
// distance to another data centre does not look like a slow server.
type Tracker struct {
	servers map[catalogue.Cookie]*serverState
	// active holds the states of servers, in an order that makes updates fast.
	active []*serverState
	groups map[groupKey]*group
	routes map[routeKey]*routeState
	peers  map[fleet.HostID]*peerState
	demand map[demandKey]*demandWindow
	// forgotten holds when the earlier start of a server was discarded.
	forgotten map[catalogue.Cookie]time.Time
	updated   time.Time
	// nextExpiry is when a report may expire.
	nextExpiry time.Time
	// elsewhere holds the latest message of each other data centre.
	elsewhere map[fleet.DataCentreID]elsewhereState
}

// groupKey identifies the servers that are compared with each other.
type groupKey struct {
	service    fleet.ServiceName
	dataCentre fleet.DataCentreID
}

// request is a request in flight. Its start and its route identify it: requests of one route that
// start at the same time expire at the same time.
type request struct {
	started time.Time
	route   *routeState
	// queueing is how many times the usual latency is expected because of earlier requests.
	queueing float64
}

// RecordRequest records that a request is in flight. An invalid route stands for a flow that
// is being opened, whose first request RecordFirstRequest records.
func (t *Tracker) RecordRequest(now time.Time, server *catalogue.Server, route netip.AddrPort) {
	t.update(now)
	s := t.state(server)
	s.expireRequests(now)
	s.lastObserved = now
	switch {
	case !route.IsValid():
		if len(s.openings) < maxRequests {
			s.openings = append(s.openings, now)
		}
	case len(s.requests) < maxRequests:
		s.requests = append(s.requests, request{started: now, route: t.route(now, server, route), queueing: s.queueing})
	}
}

// RecordFirstRequest records that a flow whose opening RecordRequest has recorded has sent its first
// request.
func (t *Tracker) RecordFirstRequest(now time.Time, server *catalogue.Server, route netip.AddrPort, opened time.Time) {
	t.state(server).takeOpening(opened)
	t.RecordRequest(now, server, route)
}

// RecordResponse records that the response to a request was acknowledged. The latency counts from the last packet
// of the request, which may follow its start. A request that no longer counts as in flight is an observation,
// too: otherwise the usual latency would not follow servers that have all become much slower.
// A response after InFlightExpiry says nothing about the server now.
func (t *Tracker) RecordResponse(
	now time.Time, server *catalogue.Server, route netip.AddrPort, started time.Time, latency time.Duration, bytes int,
) {
	if now.Sub(started) > InFlightExpiry {
		return
	}
	t.update(now)
	s, r := t.state(server), t.route(now, server, route)
	s.expireRequests(now)
	s.lastObserved = now
	queueing := s.queueing
	if taken, ok := s.takeRequest(started, r); ok {
		queueing = taken.queueing
	}
	if r.isRefusal(latency, bytes) {
		s.window.at(now).refusals++
		return
	}
	unqueued := float64(latency) / queueing
	if !server.IsCold(now) {
		r.add(now, unqueued, bytes)
	}
	if r.ready() {
		ratio := s.boundRatio(unqueued / r.latency.value)
		s.window.at(now).addSample(ratio)
		if s.samples >= minSamples && s.mean > 0 {
			s.group.addDeviation(ratio, s.mean)
		}
	}
}

// RecordAbandoned records that a request ended without a response. An invalid route stands for a flow that
// was being opened. A request that no longer counts as in flight has no effect.
func (t *Tracker) RecordAbandoned(now time.Time, server *catalogue.Server, route netip.AddrPort, started time.Time) {
	s := t.servers[server.Cookie]
	if s == nil {
		return
	}
	s.expireRequests(now)
	if !route.IsValid() {
		s.takeOpening(started)
	} else if r := t.routes[routeKey{route, server.Service, server.DataCentre}]; r != nil {
		s.takeRequest(started, r)
	}
}

// RecordRetransmission records that a server did not acknowledge data in time. It counts as a
// refusal: it can lower the limit.
func (t *Tracker) RecordRetransmission(now time.Time, server *catalogue.Server) {
	t.update(now)
	s := t.state(server)
	s.lastObserved = now
	s.window.at(now).refusals++
}

// Forget discards what is known of a server that was removed or has started again, and the
// observations of other hosts from before.
func (t *Tracker) Forget(server catalogue.Cookie) {
	if t.forgotten == nil {
		t.forgotten = make(map[catalogue.Cookie]time.Time)
	}
	t.forgotten[server] = t.updated.Add(updateInterval) // the latest time that it may be now
	s := t.servers[server]
	if s == nil {
		return
	}
	delete(t.servers, server)
	for i, other := range t.active {
		if other == s {
			t.removeActive(i)
			return
		}
	}
}

// Estimate returns what is known about the load of a server.
func (t *Tracker) Estimate(now time.Time, server *catalogue.Server) Estimate {
	t.update(now)
	s := t.servers[server.Cookie]
	if s == nil {
		return Estimate{Speed: 1, Limit: initialLimit(server)}
	}
	if s.server != server {
		t.attach(s, server)
	}
	s.expireRequests(now)
	return Estimate{Speed: s.speed, InFlight: s.inFlight(), Opening: float64(len(s.openings)), Limit: s.effectiveLimit, Known: s.known}
}

// Utilisation returns the sums of the estimates of servers. A server with an unknown estimate counts with
// the limit that it starts with: servers that have just started have capacity. Flows that are being opened
// don't count, since they hold no slot: probes and scans that open flows and send nothing must not use up
// the capacity.
func (t *Tracker) Utilisation(now time.Time, servers []*catalogue.Server) Utilisation {
	sum := Utilisation{Servers: len(servers)}
	for _, server := range servers {
		estimate := t.Estimate(now, server)
		sum.InFlight += estimate.InFlight
		sum.Limit += estimate.Limit
		if estimate.Known {
			sum.Known++
		}
	}
	return sum
}

// state returns the state of a server, and creates it if there is none.
func (t *Tracker) state(server *catalogue.Server) *serverState {
	s := t.stateOf(server.Cookie)
	if s.server != server {
		t.attach(s, server)
	}
	return s
}

// stateOf returns the state of a server whose record may not be known yet.
func (t *Tracker) stateOf(cookie catalogue.Cookie) *serverState {
	if s := t.servers[cookie]; s != nil {
		return s
	}
	if t.servers == nil {
		t.servers = make(map[catalogue.Cookie]*serverState)
		t.groups = make(map[groupKey]*group)
	}
	s := &serverState{cookie: cookie, speed: 1, slowdown: 1, queueing: 1, lastObserved: t.updated}
	t.servers[cookie] = s
	t.active = append(t.active, s)
	return s
}

// attach sets the record of a server.
func (t *Tracker) attach(s *serverState, server *catalogue.Server) {
	if s.server == nil {
		s.limit = initialLimit(server)
		s.effectiveLimit = s.limit
	}
	s.server = server
	key := groupKey{server.Service, server.DataCentre}
	if t.groups[key] == nil {
		t.groups[key] = &group{}
	}
	s.group = t.groups[key]
}

func (t *Tracker) removeActive(i int) {
	last := len(t.active) - 1
	t.active[i] = t.active[last]
	t.active[last] = nil
	t.active = t.active[:last]
}

// update discards expired reports, and updates sums, speeds and limits once in updateInterval.
func (t *Tracker) update(now time.Time) {
	if now.After(t.nextExpiry) {
		t.expireReports(now)
	}
	if now.Sub(t.updated) < updateInterval {
		return
	}
	t.updated = now
	for i := 0; i < len(t.active); {
		s := t.active[i]
		s.sum(now)
		if len(s.peers) == 0 && (s.server == nil || now.Sub(s.lastObserved) > stateRetention) {
			delete(t.servers, s.cookie)
			t.removeActive(i)
			continue
		}
		if s.group != nil {
			s.group.add(now, s)
		}
		i++
	}
	for key, g := range t.groups {
		if g.servers == 0 {
			delete(t.groups, key)
			continue
		}
		g.finish()
	}
	for _, s := range t.active {
		if s.group != nil {
			s.estimate(now)
			s.nextExpiry = time.Time{} // the expected latency or the requests have changed
		}
	}
	t.expireState(now)
}

// expireState removes the routes and forgotten servers that are no longer needed.
func (t *Tracker) expireState(now time.Time) {
	for key, r := range t.routes {
		if now.Sub(r.lastUsed) > stateRetention {
			delete(t.routes, key)
		}
	}
	for cookie, at := range t.forgotten {
		if now.Sub(at) > window+ReportExpiry {
			delete(t.forgotten, cookie)
		}
	}
}

// baselineQuantile is the quantile of the servers' mean ratios that counts as usual. A lower one
// than the median tolerates up to 60% slow servers; a much lower one follows the luckiest server.
const baselineQuantile = 0.4

const (
	// noiseWeight is the weight of a response in the moving average of the squared deviations.
	noiseWeight = 0.02
	// minNoise is below the standard deviation of usual requests (log-normal, sigma 0.4); the bound
	// on outliers hides that of rarer, longer requests. maxNoise is that of exponentially distributed
	// ones.
	minNoise, defaultNoise, maxNoise = 0.4, 0.5, 1.0
)

// group holds the servers of a service in one data centre. The usual latencies of routes are
// estimates of this host alone; dividing by the group's usual ratio removes what they have in
// common, so that servers that all become slow do not look slow relative to each other.
type group struct {
	ratios []float64
	// servers, samples and refusals are sums of the current update.
	servers           int
	samples, refusals float64
	// baseline is the usual mean ratio of the servers, zero if unknown, and served the share of
	// requests that they do not refuse.
	baseline, served float64
	// variance is the moving average of the squared deviations of responses at this host from the mean
	// of their server, relative to the mean. Comparing the means of servers instead would take
	// differences in speed for noise.
	variance float64
	// noise is the standard deviation of the ratio of one response, relative to the mean.
	noise float64
}

// addDeviation adds the ratio of a response of a server with a known mean ratio.
func (g *group) addDeviation(ratio, mean float64) {
	deviation := ratio/mean - 1
	if g.variance == 0 {
		g.variance = defaultNoise * defaultNoise
	}
	g.variance += noiseWeight * (deviation*deviation - g.variance)
}

// add adds the sums of a server. Cold servers are slower, so they are no part of the baseline.
func (g *group) add(now time.Time, s *serverState) {
	g.servers++
	if s.server.IsCold(now) {
		return
	}
	g.samples += s.samples
	g.refusals += s.refusals
	if s.samples >= minSamples {
		g.ratios = append(g.ratios, s.mean)
	}
}

// finish computes the baseline from the added sums and starts new ones.
func (g *group) finish() {
	g.baseline = quantile(g.ratios, baselineQuantile)
	g.noise = defaultNoise
	if g.variance > 0 {
		g.noise = math.Max(minNoise, math.Min(maxNoise, math.Sqrt(g.variance)))
	}
	g.served = 1
	if g.refusals > 0 {
		g.served = g.samples / (g.samples + g.refusals)
	}
	g.ratios = g.ratios[:0]
	g.servers, g.samples, g.refusals = 0, 0, 0
}

// initialLimit is the limit of a server of which nothing is known.
func initialLimit(server *catalogue.Server) float64 {
	return initialPerSlot * slots(server)
}

// maxLimit is how many requests a server can hold.
func maxLimit(server *catalogue.Server) float64 {
	return (1 + queuePerSlot) * slots(server)
}

// slots returns the slots of a server as a float64, at least 1.
func slots(server *catalogue.Server) float64 { return math.Max(1, float64(server.Slots)) }
