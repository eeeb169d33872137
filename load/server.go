package load

import (
	"math"
	"slices"
	"time"

	"github.com/rattanthread/rattanthread/catalogue"
)

const (
	// buckets is the number of parts of the window of recent observations.
	buckets = 7
	// window is the time of recent observations. A server that slows must be followed within
	// 2 s, including the time of two reports; at 12 responses a second, 1.4 s hold 17 of them.
	window = buckets * updateInterval
	// decayTime is how long the last estimate decays after the window holds too few
	// observations. Both together stay within 3 s.
	decayTime = 1200 * time.Millisecond
	// minSamples is how many recent observations of all hosts make an estimate known.
	minSamples = 4
)

const (
	// A server is slow if its mean ratio exceeds slowRatio plus slowNoise standard errors, and no
	// longer slow below the lower bound of the same form. Servers equal up to noise must have a
	// speed of exactly 1. A slowNoise of 2.5 made equal servers slow 1.5 times as often as 3; with
	// 3.5 a server that slows by half was more often followed only after 2 s.
	slowRatio   = 1.3
	slowNoise   = 3
	normalRatio = 1.2
	normalNoise = 1
	// A server is fast if its longMean falls below fastRatio and is fastNoise standard errors below 1,
	// and no longer fast above notFastRatio. Equal servers must not look fast.
	fastRatio, notFastRatio = 0.75, 0.85
	fastNoise               = 3.5
	// minLongSamples is how many responses make longMean known, and longTime the time constant of
	// its average. A difference in speed that lasts allows a slower and more certain decision than
	// a server that becomes slow.
	minLongSamples = 30
	longTime       = 15 * time.Second
	// MaxSpeed bounds the speed of a fast server.
	MaxSpeed = 4
	// MinSpeed bounds the speed of a server, so that it still gets requests that show whether
	// it has recovered.
	MinSpeed = 1.0 / 16
	// outlierRatio bounds the ratio of one response to the mean of its server, so that a single
	// late response does not make a server slow.
	outlierRatio = 3
	// maxRatio bounds the mean ratio. It exceeds 1/MinSpeed, because the usual ratio of a group
	// may exceed 1.
	maxRatio = 64
	// overdueRatio is the ratio from which a request in flight counts with its time so far.
	// Requests that are seen in flight are longer than the mean, so a lower one would make
	// equal servers slow.
	overdueRatio = 2
	// inFlightWeight is the weight of the current number in the average of the requests in
	// flight, once in updateInterval: it follows within two reports.
	inFlightWeight = 0.4
	// minServed is the share of requests that are not refused, relative to the other servers,
	// below which a server is failing rather than full. It has few requests in flight then, so
	// the limit alone does not protect callers.
	minServed = 0.5
)

const (
	// initialPerSlot is the limit of an unknown server for each slot. Equal servers without a
	// shortage rarely have that many requests in flight.
	initialPerSlot = 3
	// queuePerSlot is how many requests for each slot a server queues.
	queuePerSlot = 4
	// limitInterval is the time between two changes of a limit: a report interval, after which
	// the effect of the previous change is seen.
	limitInterval = 400 * time.Millisecond
	// cutInterval is the time between two cuts. The window holds responses from before a cut for
	// about as long; after shorter intervals one cause cuts a limit several times.
	cutInterval = time.Second
	// limitCut and limitStep are the multiplicative decrease and additive increase of a limit.
	limitCut  = 0.75
	limitStep = 1
	// limitInUse is the share of the limit from which a slow server's limit is cut. A server
	// that is slow with fewer requests in flight is not slow because of them.
	limitInUse = 0.5
	// limitPull is the share of the difference to the other hosts' limits that is removed in
	// each limitInterval, so that hosts that observe different refusals agree.
	limitPull = 0.25
	// minRefusals and minRefusedShare are the refusals in the window that cut a limit. Fewer
	// are explained by packets that the network loses.
	minRefusals     = 2
	minRefusedShare = 1.0 / 16
)

// serverState is what is known of one server.
type serverState struct {
	// The fields that an estimate reads come first: they share two cache lines.

	// server and group are nil while only other hosts have reported the server.
	server *catalogue.Server
	group  *group
	// requests are this host's requests in flight, ordered by start, and openings the starts of its
	// flows that are being opened.
	requests []request
	openings []time.Time
	// reported is the sum of the requests in flight of the peers' reports.
	reported int
	// speed and effectiveLimit include the decay.
	speed, effectiveLimit float64
	known                 bool

	cookie catalogue.Cookie
	// nextExpiry is when a request may expire, zero if unknown. Each update resets it, which precedes the
	// expiry of any request that is added meanwhile.
	nextExpiry time.Time
	window     slidingWindow
	// lastObserved is the time of this host's last observation.
	lastObserved time.Time
	peers        []peerLoad
	// meanInFlight is the moving average of the requests in flight of all hosts.
	meanInFlight float64
	// queueing is how many times the usual latency a request is expected to take because of others.
	queueing float64

	// samples, refusals and mean are those of all hosts in the window, as of the last update.
	samples, refusals, mean float64
	slow                    bool
	// longMean is a moving average of the mean ratio relative to the group's over longTime, and
	// longSamples the number of responses in it.
	longMean, longSamples float64
	fast                  bool
	// slowdown is relative to the other servers of the group, 1 unless the server is slow.
	slowdown float64
	// lastKnown is the last time with enough samples.
	lastKnown time.Time
	limit     float64
	// limitChanged is the time of the last change, and limitCutAt that of the last cut.
	limitChanged, limitCutAt time.Time
}

// observations are sums over observed requests.
type observations struct {
	samples, ratios, refusals float64
}

// addSample adds a response, or a request that is overdue.
func (o *observations) addSample(ratio float64) {
	o.samples++
	o.ratios += ratio
}

// slidingWindow holds the observations of a host in buckets of updateInterval.
type slidingWindow struct {
	buckets [buckets]observations
	// latest is the number of the latest bucket since the epoch.
	latest int64
}

// advance clears the buckets that have left the window.
func (w *slidingWindow) advance(now time.Time) {
	number := now.UnixNano() / int64(updateInterval)
	for i := max(w.latest+1, number-buckets+1); i <= number; i++ {
		w.buckets[i%buckets] = observations{}
	}
	w.latest = max(w.latest, number)
}

// at returns the current bucket.
func (w *slidingWindow) at(now time.Time) *observations {
	w.advance(now)
	return &w.buckets[w.latest%buckets]
}

// sum returns the sums over the window.
func (w *slidingWindow) sum(now time.Time) observations {
	w.advance(now)
	var sum observations
	for _, b := range w.buckets {
		sum.add(b)
	}
	return sum
}

// expireRequests removes the requests and openings whose end was not seen. Most servers have none of this host, so
// the check for them is inlined.
func (s *serverState) expireRequests(now time.Time) {
	if len(s.openings)+len(s.requests) > 0 {
		s.removeExpired(now)
	}
}

// removeExpired removes the openings that have expired, and the requests if one may have expired.
func (s *serverState) removeExpired(now time.Time) {
	expired := 0
	for expired < len(s.openings) && now.Sub(s.openings[expired]) > OpeningExpiry {
		expired++
	}
	if expired > 0 {
		s.openings = s.openings[:copy(s.openings, s.openings[expired:])]
	}
	if now.After(s.nextExpiry) {
		s.discardRequests(now)
	}
}

// discardRequests removes the requests that have expired. One that is overdue remains as an observation in the
// window, so that a server that is much slower than before does not look usual.
func (s *serverState) discardRequests(now time.Time) {
	kept := s.requests[:0]
	s.nextExpiry = now.Add(InFlightExpiry)
	for _, r := range s.requests {
		if expiry := r.started.Add(s.requestExpiry(&r)); !now.After(expiry) {
			kept = append(kept, r)
			if expiry.Before(s.nextExpiry) {
				s.nextExpiry = expiry
			}
			continue
		}
		if ratio, overdue := s.overdue(now, &r); overdue {
			s.window.at(now).addSample(ratio)
			s.lastObserved = now
		}
	}
	s.requests = kept
}

// requestExpiry returns how long a request counts. It is meant for a shortage in which servers reset flows and callers
// give up unseen: such requests must not look like queues. The expected latency follows the speed of the server, so
// that a request to one that has slowed counts for longer. It includes neither the queue nor what all servers of the
// group have in common: requests that end unseen would make each other count for longer. With the queue, a host counted
// 300 to 780 requests in flight where 60 were, and refused callers for 4 s after a shortage.
func (s *serverState) requestExpiry(r *request) time.Duration {
	if !r.route.ready() {
		return InFlightExpiry
	}
	expected := r.route.latency.value / s.speed
	return time.Duration(math.Min(math.Max(expiryFactor*expected, float64(minRequestExpiry)), float64(InFlightExpiry)))
}

// overdue returns the ratio of the time that a request has taken so far to the expected one, and whether it counts
// as an observation.
func (s *serverState) overdue(now time.Time, r *request) (float64, bool) {
	if !r.route.ready() {
		return 0, false
	}
	ratio := float64(now.Sub(r.started)) / (r.queueing * r.route.latency.value)
	return s.boundRatio(ratio), ratio >= math.Max(overdueRatio, s.mean)
}

// takeRequest removes the request on a route that started at a time, and reports whether there is one.
func (s *serverState) takeRequest(started time.Time, route *routeState) (request, bool) {
	for i, r := range slices.Backward(s.requests) {
		if r.route == route && r.started.Equal(started) {
			s.requests = append(s.requests[:i], s.requests[i+1:]...)
			return r, true
		}
	}
	return request{}, false
}

// takeOpening removes the opening that started at a time.
func (s *serverState) takeOpening(started time.Time) {
	for i, at := range slices.Backward(s.openings) {
		if at.Equal(started) {
			s.openings = append(s.openings[:i], s.openings[i+1:]...)
			return
		}
	}
}

// inFlight returns the requests in flight of all hosts, without flows that are being opened.
func (s *serverState) inFlight() float64 { return float64(len(s.requests) + s.reported) }

// expectedQueueing returns how many times the usual latency requests take with a mean number of
// requests in flight on a number of slots. It is exact for one slot with exponential work, within
// 5% for two, and approaches the quotient of both for many requests in flight. It uses the mean,
// since the current number holds reports that are older than a request takes.
func expectedQueueing(inFlight, slots float64) float64 {
	exponent := math.Sqrt(slots)
	return math.Pow(1+math.Pow(inFlight/slots, exponent), 1/exponent)
}

// boundRatio bounds the ratio of one response to the usual latency.
func (s *serverState) boundRatio(ratio float64) float64 {
	return math.Min(ratio, math.Min(maxRatio, outlierRatio*math.Max(1, s.mean)))
}

// own returns the sums of this host's observations and the time of the latest of them. Requests
// that are overdue count with their time so far.
func (s *serverState) own(now time.Time) (observations, time.Time) {
	s.expireRequests(now)
	sum, latest := s.window.sum(now), s.lastObserved
	for i := range s.requests {
		if ratio, overdue := s.overdue(now, &s.requests[i]); overdue {
			sum.addSample(ratio)
			latest = now
		}
	}
	return sum, latest
}

// sum updates the sums over all hosts.
func (s *serverState) sum(now time.Time) {
	sum, _ := s.own(now)
	begin := now.Add(-window).UnixNano()
	for i := range s.peers {
		if p := &s.peers[i]; p.isRecent(begin) {
			sum.add(p.sums)
		}
	}
	s.samples, s.refusals = sum.samples, sum.refusals
	s.mean = 0
	if sum.samples > 0 {
		s.mean = sum.ratios / sum.samples
	}
	s.meanInFlight += inFlightWeight * (s.inFlight() - s.meanInFlight)
	if s.server != nil {
		s.queueing = expectedQueueing(math.Min(s.meanInFlight, maxLimit(s.server)), slots(s.server))
	}
}

func (o *observations) add(other observations) {
	o.samples += other.samples
	o.ratios += other.ratios
	o.refusals += other.refusals
}

// estimate updates the speed and the limit from the sums.
func (s *serverState) estimate(now time.Time) {
	if s.samples >= s.neededSamples() && s.group.baseline > 0 {
		s.updateSlowdown(s.mean / s.group.baseline)
		s.updateLongMean(s.mean / s.group.baseline)
	}
	if s.samples+s.refusals >= s.neededSamples() {
		s.lastKnown = now
	}
	age, wasKnown := now.Sub(s.lastKnown), s.known
	s.known = age < decayTime
	if reported := s.reportedLimit(); s.known && !wasKnown && reported > 0 {
		s.limit = math.Max(1, math.Min(reported, maxLimit(s.server))) // a host that has started adopts the others' limit
	}
	if !s.known {
		s.slow, s.slowdown, s.limit = false, 1, initialLimit(s.server)
		s.fast, s.longMean, s.longSamples = false, 0, 0
		s.speed, s.effectiveLimit = 1, s.limit
		return
	}
	if age == 0 {
		s.updateLimit(now)
	}
	remaining := 1 - float64(age)/float64(decayTime)
	slowdown := s.slowdown
	if s.fast && !s.slow {
		slowdown = math.Max(s.longMean, 1.0/MaxSpeed)
	}
	s.speed = math.Max(MinSpeed, s.servedShare()/(1+remaining*(slowdown-1)))
	s.effectiveLimit = initialLimit(s.server) + remaining*(s.limit-initialLimit(s.server))
}

// neededSamples returns how many recent observations make an estimate known. A slow server gets few
// requests; if they did not suffice, it would get its full load again each 3 s.
func (s *serverState) neededSamples() float64 {
	if s.known && s.slow {
		return 1
	}
	return minSamples
}

// updateSlowdown updates whether a server is slow, and how slow. Fewer samples than minSamples
// change it in proportion.
func (s *serverState) updateSlowdown(relative float64) {
	relative = s.slowdown + math.Min(1, s.samples/minSamples)*(relative-s.slowdown)
	noise := s.group.noise / math.Sqrt(s.samples)
	if s.slow {
		s.slow = relative > normalRatio+normalNoise*noise
	} else {
		s.slow = relative > slowRatio+slowNoise*noise
	}
	s.slowdown = 1
	if s.slow {
		s.slowdown = math.Min(relative, 1/MinSpeed)
	}
}

// updateLongMean updates whether a server is fast. A server of which the latest responses are much
// slower than its average is no longer fast.
func (s *serverState) updateLongMean(relative float64) {
	interval := float64(updateInterval)
	s.longSamples = (s.longSamples + s.samples*interval/float64(window)) * (1 - interval/float64(longTime))
	weight := math.Min(1, math.Max(interval/float64(longTime), s.samples*interval/float64(window)/s.longSamples))
	s.longMean += weight * (relative - s.longMean)
	if noise := s.group.noise / math.Sqrt(s.samples); relative > s.longMean*(slowRatio+slowNoise*noise) && s.fast {
		s.fast, s.longMean, s.longSamples = false, 0, 0
		return
	}
	switch {
	case s.longSamples < minLongSamples:
		s.fast = false
	case s.fast:
		s.fast = s.longMean < notFastRatio
	default:
		s.fast = s.longMean < math.Min(fastRatio, 1-fastNoise*s.group.noise/math.Sqrt(s.longSamples))
	}
}

// servedShare returns the share of requests that a failing server does not refuse, relative to
// the other servers, and 1 for a server that is not failing.
func (s *serverState) servedShare() float64 {
	if !s.refuses() || s.group.served == 0 {
		return 1
	}
	if share := s.samples / (s.samples + s.refusals) / s.group.served; share < minServed {
		return share
	}
	return 1
}

// refuses reports whether a server refuses more than the network's losses explain.
func (s *serverState) refuses() bool {
	return s.refusals >= minRefusals && s.refusals > minRefusedShare*(s.samples+s.refusals)
}

// updateLimit cuts the limit of a server that is slow or refuses, and raises one that is in use.
func (s *serverState) updateLimit(now time.Time) {
	if now.Sub(s.limitChanged) < limitInterval {
		return
	}
	s.limitChanged = now
	inFlight := s.inFlight()
	failing := s.servedShare() < 1
	overloaded := s.refuses() || s.slow && inFlight >= limitInUse*s.limit
	switch {
	case overloaded && !failing && now.Sub(s.limitCutAt) < cutInterval:
	case overloaded:
		s.limitCutAt = now
		floor := 1.0
		if !s.slow && !failing {
			floor = slots(s.server) // a full server still processes as many requests as it has slots
		}
		s.limit = math.Min(s.limit, math.Max(floor, limitCut*s.limit))
	case !s.slow && (s.limit < initialLimit(s.server) || inFlight >= s.limit-limitStep):
		s.limit += limitStep
	}
	if reported := s.reportedLimit(); reported > 0 {
		s.limit += limitPull * (reported - s.limit)
	}
	s.limit = math.Max(1, math.Min(s.limit, maxLimit(s.server)))
}

// reportedLimit returns the mean of the other hosts' limits weighted by samples, or zero.
func (s *serverState) reportedLimit() float64 {
	samples, sum := 0.0, 0.0
	for i := range s.peers {
		if p := &s.peers[i]; p.limit > 0 {
			samples += p.sums.samples
			sum += p.sums.samples * p.limit
		}
	}
	if samples == 0 {
		return 0
	}
	return sum / samples
}
