package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/rattanthread/rattanthread/catalogue"
	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/load"
)

// SpilloverInterval is how often the fraction of a service is decided.
const SpilloverInterval = 200 * time.Millisecond

// The fraction rises while the local utilisation is over spilloverHigh and falls while it is
// under spilloverLow. Reports are up to 400 ms old and the requests in flight follow a
// change within about another interval, so the fraction overshoots by up to three steps;
// three rises change the utilisation by less than the distance between the two bounds.
const (
	spilloverHigh = 0.9
	spilloverLow  = 0.7
)

// The fraction rises by spilloverGain times the excess of the utilisation over spilloverHigh,
// at most by maxSpilloverRise, so that it settles instead of alternating around the bound.
// It falls by the factor spilloverDecay and by minSpilloverFall. With an additive rise and a
// multiplicative fall, the fractions of hosts that observe the same load at different moments
// converge.
const (
	spilloverGain    = 0.1
	maxSpilloverRise = 0.04
	spilloverDecay   = 0.9
	minSpilloverFall = 0.005
)

// spilloverSmoothing is the weight of a new value in the moving average of the local
// utilisation. The requests in flight at one moment vary with single arrivals.
const spilloverSmoothing = 0.5

// maxSpillover is the maximum fraction. The local servers keep some flows, without which
// their estimates would expire.
const maxSpillover = 0.9

// A data centre becomes a destination while its utilisation is under spilloverLow, which is
// not the case for one that itself spills, and stops being one at spilloverFull.
const spilloverFull = 1.0

// spilloverRoundTrip is the assumed extra latency of requests to other data centres.
const spilloverRoundTrip = 10 * time.Millisecond

// maxSpilloverGap is the longest time between two updates that is caught up with. A fraction
// ends within it.
const maxSpilloverGap = 10 * time.Second

// minKnownShare is the share of the servers of a data centre that must have a known estimate
// for the sums over them to stand for all.
const minKnownShare = 0.5

const (
	// spilloverTrial is how long a data centre of unknown load remains a destination. The
	// first flows to it make its load known within two reports of 400 ms.
	spilloverTrial = time.Second
	// spilloverRetry is how long a data centre that stopped being a destination because it
	// was full, slow or unknown does not become one again. It is the period within which
	// estimates expire, so the reason is then confirmed by new observations or gone.
	spilloverRetry = 3 * time.Second
)

// DataCentreLoad is the load of the servers of a service in one data centre.
type DataCentreLoad struct {
	DataCentre fleet.DataCentreID
	load.Utilisation
	// Speed is the mean speed of the servers with a known estimate.
	Speed float64
}

// known reports whether enough servers have a known estimate.
func (d *DataCentreLoad) known() bool {
	return d.Limit > 0 && d.Speed > 0 && float64(d.Known) >= minKnownShare*float64(d.Servers)
}

// ratio returns the utilisation. It is valid only if the load is known.
func (d *DataCentreLoad) ratio() float64 { return d.InFlight / d.Limit }

// latency returns the usual latency of requests, given that of servers of usual speed.
func (d *DataCentreLoad) latency(usual time.Duration) time.Duration {
	return time.Duration(float64(usual) / d.Speed)
}

// Spillover decides the fraction of the new flows of a service that go to other data
// centres. It is meant for a data centre that is short of capacity, because callers arrive in
// bursts or servers have failed, while others are not. All hosts of a data centre decide from
// the same sums, and each applies the fraction to its own flows, so the flows that spill
// over add up to the fraction however callers are spread over the hosts.
//
// The zero value is ready to use. It is not safe for concurrent use.
type Spillover struct {
	services map[fleet.ServiceName]*serviceSpillover
}

type serviceSpillover struct {
	updated  time.Time
	fraction float64
	// utilisation is the moving average of the local utilisation, or zero.
	utilisation float64
	known       bool // of any destination
	// coldInUse means that cold servers get flows like any other.
	coldInUse    bool
	destinations []fleet.DataCentreID
	// servers is the number of servers of the destinations.
	servers int
	// others holds the state of the other data centres.
	others map[fleet.DataCentreID]*destinationState
}

type destinationState struct {
	// used means that the data centre is a destination, since the given time.
	used  bool
	since time.Time
	// closedUntil is when the data centre may become a destination again.
	closedUntil time.Time
}

// Due reports whether Update should be called for a service.
func (s *Spillover) Due(now time.Time, service fleet.ServiceName) bool {
	state := s.services[service]
	return state == nil || now.Sub(state.updated) >= SpilloverInterval
}

// Update decides the fraction of a service from the load of its servers in the local data
// centre and in the others. The usual latency of its requests is zero if it is not known;
// the speed of the other data centres is then not compared.
func (s *Spillover) Update(now time.Time, service fleet.ServiceName, usual time.Duration, local DataCentreLoad, others []DataCentreLoad) {
	if !s.Due(now, service) {
		return
	}
	state := s.services[service]
	if state == nil {
		if s.services == nil {
			s.services = make(map[fleet.ServiceName]*serviceSpillover)
		}
		state = &serviceSpillover{updated: now, others: make(map[fleet.DataCentreID]*destinationState)}
		s.services[service] = state
	}
	intervals := int64(min(now.Sub(state.updated), maxSpilloverGap) / SpilloverInterval)
	state.updated = now
	state.updateUtilisation(&local, intervals)
	short := state.utilisation > spilloverHigh
	state.coldInUse = short || isShortWithoutWarm(&local, others, state.coldInUse)
	othersUtilisation := state.updateDestinations(now, usual, &local, others, short)
	switch {
	case len(state.destinations) == 0:
		state.fraction = 0
	case short && state.known && othersUtilisation < spilloverHigh:
		rise := min(spilloverGain*(state.utilisation-spilloverHigh), maxSpilloverRise)
		state.fraction = min(state.fraction+rise, maxSpillover)
	case short && !state.known:
		state.fraction = max(state.fraction, maxSpilloverRise) // the trial of an unknown data centre
	case state.utilisation < spilloverLow:
		for ; intervals > 0 && state.fraction > 0; intervals-- {
			state.fraction = max(state.fraction*spilloverDecay-minSpilloverFall, 0)
		}
	}
}

// updateUtilisation updates the moving average of the local utilisation. It is zero while the
// load is not known, so that the fraction falls.
func (s *serviceSpillover) updateUtilisation(local *DataCentreLoad, intervals int64) {
	switch {
	case !local.known():
		s.utilisation = 0
	case s.utilisation == 0:
		s.utilisation = local.ratio()
	default:
		for ; intervals > 0 && s.utilisation != local.ratio(); intervals-- {
			s.utilisation += spilloverSmoothing * (local.ratio() - s.utilisation)
		}
	}
}

// updateDestinations decides which data centres flows spill over to, and returns the
// utilisation of the known ones. If some stop being destinations, the fraction is reduced so
// that the others get no more flows than before.
func (s *serviceSpillover) updateDestinations(now time.Time, usual time.Duration, local *DataCentreLoad, others []DataCentreLoad, short bool) float64 {
	servers := s.servers
	var sum load.Utilisation
	s.destinations, s.servers, s.known = s.destinations[:0], 0, false
	for i := range others {
		other := &others[i]
		state := s.others[other.DataCentre]
		if state == nil {
			state = &destinationState{}
			s.others[other.DataCentre] = state
		}
		if !state.update(now, usual, local, other, short, s.fraction > 0) {
			continue
		}
		s.destinations = append(s.destinations, other.DataCentre)
		s.servers += other.Servers
		if other.known() {
			s.known = true
			sum.InFlight += other.InFlight
			sum.Limit += other.Limit
		}
	}
	if s.servers < servers {
		s.fraction *= float64(s.servers) / float64(servers)
	}
	if sum.Limit == 0 {
		return 0
	}
	return sum.InFlight / sum.Limit
}

// update decides whether a data centre is a destination. A destination of unknown load is
// closed at once only while the local load is known. Otherwise the host gets no reports, and
// its fraction ends gradually.
func (d *destinationState) update(now time.Time, usual time.Duration, local, other *DataCentreLoad, short, spilling bool) bool {
	known := other.known()
	if d.used {
		unsuitable := known && (other.ratio() >= spilloverFull || slower(usual, local, other))
		unreported := !known && local.known() && now.Sub(d.since) >= spilloverTrial
		switch {
		case unsuitable || unreported || other.Servers == 0:
			d.used, d.closedUntil = false, now.Add(spilloverRetry)
		case !short && !spilling:
			d.used = false
		}
		return d.used
	}
	suitable := !known || other.ratio() < spilloverLow && !slower(usual, local, other)
	if short && suitable && other.Servers > 0 && !now.Before(d.closedUntil) {
		d.used, d.since = true, now
	}
	return d.used
}

// slower reports whether requests to another data centre take longer than to the local one
// by more than the extra round trip.
func slower(usual time.Duration, local, other *DataCentreLoad) bool {
	return usual > 0 && local.known() && other.latency(usual) > local.latency(usual)+spilloverRoundTrip
}

// isShortWithoutWarm reports whether a service has no warm server in the local data centre, and each data
// centre that has some is known to be short. It is meant for a data centre whose servers have all started
// again while callers arrive: its cold servers are slower, but the warm ones elsewhere would refuse
// or queue what exceeds their capacity. The lower bound for the end avoids oscillation, since the flows that
// the cold servers take relieve the others.
func isShortWithoutWarm(local *DataCentreLoad, others []DataCentreLoad, before bool) bool {
	if local.Servers > 0 {
		return false
	}
	bound := spilloverHigh
	if before {
		bound = spilloverLow
	}
	warm := false
	for i := range others {
		other := &others[i]
		if other.Servers == 0 {
			continue
		}
		if !other.known() || other.ratio() <= bound {
			return false
		}
		warm = true
	}
	return warm
}

// ColdInUse reports whether cold servers of a service get flows like any other, because all warm ones
// are short.
func (s *Spillover) ColdInUse(service fleet.ServiceName) bool {
	state := s.services[service]
	return state != nil && state.coldInUse
}

// Fraction returns the fraction of the new flows of a service that go to other data centres.
func (s *Spillover) Fraction(service fleet.ServiceName) float64 {
	if state := s.services[service]; state != nil {
		return state.fraction
	}
	return 0
}

// Utilisation returns the moving average of the utilisation of the local servers of a service, or zero if
// it is not known.
func (s *Spillover) Utilisation(service fleet.ServiceName) float64 {
	if state := s.services[service]; state != nil {
		return state.utilisation
	}
	return 0
}

// Destinations returns the data centres that a flow spills over to, or none if it does not.
func (s *Spillover) Destinations(service fleet.ServiceName, flow uint64) []fleet.DataCentreID {
	state := s.services[service]
	if state == nil || state.fraction == 0 || !drawn(flow, state.fraction) {
		return nil
	}
	return state.destinations
}

// drawn reports whether a flow is part of a fraction of all flows. It draws the score of a
// server that does not exist, which is independent of the scores of the others and of the
// flow's hash, by which a route selects the service.
func drawn(flow uint64, fraction float64) bool {
	return float64(uint32(score(flow, 0))) < fraction*(1<<32)
}

// spilloverDestinations returns the data centres that a flow spills over to, or none. It
// decides the fraction of the service first if that is due.
func (c *Chooser) spilloverDestinations(now time.Time, pool *catalogue.Pool, flow uint64) []fleet.DataCentreID {
	if c.Estimate == nil || len(pool.All) == 0 {
		return nil
	}
	service := pool.All[0].Service
	if c.Spillover.Due(now, service) {
		c.updateSpillover(now, service, pool)
	}
	return c.Spillover.Destinations(service, flow)
}

// updateSpillover decides the fraction of a service.
func (c *Chooser) updateSpillover(now time.Time, service fleet.ServiceName, pool *catalogue.Pool) {
	c.RememberPool(service, pool)
	reported := c.reportedElsewhere(now, service)
	others := c.dataCentreLoads[:0]
	for dataCentre, servers := range pool.ByDataCentre {
		if dataCentre != c.DataCentre {
			others = append(others, c.dataCentreLoadElsewhere(now, dataCentre, servers, reported))
		}
	}
	// A fixed order, so that equal inputs give equal sums.
	slices.SortFunc(others, func(a, b DataCentreLoad) int { return cmp.Compare(a.DataCentre, b.DataCentre) })
	c.dataCentreLoads = others
	local := c.dataCentreLoad(now, c.DataCentre, pool.ByDataCentre[c.DataCentre])
	c.Spillover.Update(now, service, c.Loads.Baseline(service), local, others)
}

// dataCentreLoad returns the load of servers in a data centre. Cold servers and those that
// do not respond have no capacity for flows that spill over and are not counted.
func (c *Chooser) dataCentreLoad(now time.Time, dataCentre fleet.DataCentreID, servers []*catalogue.Server) DataCentreLoad {
	sum := DataCentreLoad{DataCentre: dataCentre}
	for _, server := range servers {
		if !c.acceptsFlows(now, server) {
			continue
		}
		sum.Servers++
		estimate := c.Estimate(now, server)
		if !estimate.Known {
			continue
		}
		sum.Known++
		sum.InFlight += estimate.InFlight
		sum.Limit += estimate.Limit
		sum.Speed += estimate.Speed
	}
	if sum.Known > 0 {
		sum.Speed /= float64(sum.Known)
	}
	return sum
}
