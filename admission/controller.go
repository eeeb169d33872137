package admission

import (
	"math"
	"slices"
	"time"

	"github.com/rattanthread/rattanthread/catalogue"
	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/load"
)

// Thresholds of the utilisation, as a share of the limits of all servers.
const (
	// shortageUtilisation starts a shortage: above it, requests queue at the servers.
	shortageUtilisation = 1.0
	// spareUtilisation is the utilisation below which the servers bear more than they are sent.
	spareUtilisation = 0.85
	// While something is refused, the utilisation is kept between goalUtilisation and
	// maxGoalUtilisation. A goal below 1 leaves slots idle where limits are as low as the slots.
	goalUtilisation    = 1.0
	maxGoalUtilisation = 1.2
	// queueingUtilisation is the utilisation above which some servers may be full and refuse
	// requests, so that the admitted rate says little about the capacity, and fullUtilisation that
	// at which most may be full: limits of 5 with 2 slots and a queue of 8.
	queueingUtilisation = 1.3
	fullUtilisation     = 2.0
)

// Times of the control loop.
const (
	// controlInterval is the time between steps. Reports arrive every 400 ms, but the
	// requests through the host itself are known at once.
	controlInterval = 100 * time.Millisecond
	// shortageDelay is how long the utilisation must be high before anything is refused. A
	// shorter burst fits in the queues of the servers.
	shortageDelay = 300 * time.Millisecond
	// inputDelay is the usual age of the inputs, which are 400 to 800 ms old.
	inputDelay = 600 * time.Millisecond
	// slopeWindow is the time over which the change of the requests in flight is measured: two
	// intervals of reports, as all requests of a host change at once when its report arrives.
	slopeWindow = 800 * time.Millisecond
	// drainWindow is the time in which draining queues are noticed: one interval of reports.
	drainWindow = 400 * time.Millisecond
	// calmTime is how long the utilisation must not be high, and nothing be refused, for a shortage
	// to end and what is known of the capacity to be discarded.
	calmTime = 2 * time.Second
	// correctionTime is the time in which a deviation of the requests in flight is corrected: five
	// times inputDelay. 1.2 s oscillated with inputs of 800 ms.
	correctionTime = 3 * time.Second
	// maxStepTime bounds the time for which a step raises the capacity estimate after a pause.
	maxStepTime = 200 * time.Millisecond
	// demandMemory is how long a priority without demand counts as one that has demand.
	demandMemory = 3 * time.Second
)

// Bounds of the admitted fractions.
const (
	// minFraction is the bound on starvation: 1 of 20 first openings.
	minFraction = 1.0 / 20
	// restorePerSecond bounds the rise of a fraction, so that all is admitted again within 2 s
	// and callers that return find servers that can bear them.
	restorePerSecond = 0.5
	// reportedChange is the smallest change of a fraction below 1 that is reported.
	reportedChange = 0.1
)

const (
	// minInitial bounds the first capacity estimate, as a share of what is admitted: what is
	// known of the capacity at first is vague.
	minInitial = 0.5
	// maxCut is the part of the admitted rate by which the capacity is lowered at once while the
	// queues do not shorten. They drain slowly enough then to measure the capacity before servers
	// are idle; 0.2 left servers idle after short shortages.
	maxCut = 0.1
	// minDrain is the share of the admitted rate by which the queues must shorten to show that
	// servers refuse nothing.
	minDrain = 0.1
	// smoothing is the weight of a new measurement.
	smoothing = 0.2
	// growth is the relative rise of the capacity estimate per second at a utilisation of 0.
	growth = 2
	// minKnownShare is the share of servers that must have a known load.
	minKnownShare = 0.5
)

// maxChanges bounds the changes that are kept for Changes.
const maxChanges = 256

// historyLength is the number of steps that are kept: slopeWindow and one more.
const historyLength = int(slopeWindow/controlInterval) + 1

// Change is a change of the admitted fraction of a priority that operators should see: it starts
// or stops being below 1, or has changed by a tenth since the previous report.
type Change struct {
	Service            fleet.ServiceName
	Priority           catalogue.Priority
	Previous, Fraction float64
	// Utilisation is the utilisation that caused the change, or 0 if it is unknown.
	Utilisation float64
}

// Controller decides what fraction of the first opening packets of each priority is admitted. It
// is meant for a load above the capacity of all servers that can be reached, with inputs that are
// 400 to 800 ms old and callers that try again twice after a refusal.
//
// The requests in flight rise by the difference between the admitted rate and the capacity. The
// capacity is therefore measured: the rate that was admitted when the inputs were taken, less the
// rise of the requests in flight. The rate to admit is the capacity, less a correction that
// brings the requests in flight, as predicted for now, to the limits of the servers. It is
// assigned to the demand of the priorities in order. The demand includes the requests that
// callers send again, so a rise of the demand that refusals cause lowers the fraction.
//
// The zero value is ready to use. It is not safe for concurrent use.
type Controller struct {
	services map[fleet.ServiceName]*serviceState
	changes  []Change
}

// serviceState is the state of the control loop of a service.
type serviceState struct {
	lastStep time.Time
	// highSince is since when the utilisation has been high; zero means that it is not.
	highSince time.Time
	// shedding is set from the start of a shortage until calmTime after its end.
	shedding bool
	// capacity is the estimated number of requests per second that the servers bear.
	capacity float64
	// history holds the recent steps, the latest one first.
	history    [historyLength]sample
	steps      int
	priorities []priorityState
	// lastRefusal is when something was refused or the utilisation was high.
	lastRefusal time.Time
	// ratePerRequest is the rate that was served per request in flight without a shortage.
	ratePerRequest float64
}

// sample holds the inputs of a step.
type sample struct {
	at time.Time
	// inFlight is the number of requests in flight, and admitted the rate that was admitted, when
	// the inputs were taken.
	inFlight, admitted float64
}

// priorityState is the state of one priority of a service.
type priorityState struct {
	priority   catalogue.Priority
	demand     float64
	lastDemand time.Time
	fraction   float64
	// history holds the fractions at the steps of serviceState.history.
	history [historyLength]float64
	// reported is the fraction that was last reported as a Change.
	reported float64
}

// Due reports whether Update would use new inputs for a service.
func (c *Controller) Due(now time.Time, service fleet.ServiceName) bool {
	s := c.services[service]
	return s == nil || now.Sub(s.lastStep) >= controlInterval
}

// Update updates the admitted fractions of a service from the utilisation of all servers that can
// be reached and the demand. Calls before the next step is due change nothing.
func (c *Controller) Update(now time.Time, service fleet.ServiceName, utilisation load.Utilisation, demand []load.ServiceDemand) {
	if !c.Due(now, service) {
		return
	}
	s := c.services[service]
	if s == nil {
		if c.services == nil {
			c.services = make(map[fleet.ServiceName]*serviceState)
		}
		s = &serviceState{lastStep: now}
		c.services[service] = s
	}
	s.recordDemand(now, service, demand)
	s.recordSample(now, utilisation)
	elapsed := now.Sub(s.lastStep)
	s.lastStep = now
	if s.usable(utilisation) {
		s.control(now, elapsed, utilisation)
	} else {
		s.shedding, s.highSince = false, time.Time{}
		s.restore(elapsed)
	}
	c.addChanges(service, s, utilisation)
}

// Fraction returns the admitted fraction of the first openings of a priority.
func (c *Controller) Fraction(service fleet.ServiceName, priority catalogue.Priority) float64 {
	s := c.services[service]
	if s == nil {
		return 1
	}
	for i := range s.priorities {
		if s.priorities[i].priority == priority {
			return s.priorities[i].fraction
		}
	}
	return 1
}

// Admit reports whether a new flow is admitted, by a hash of the flow that is the same on all
// hosts.
func (c *Controller) Admit(service fleet.ServiceName, priority catalogue.Priority, hash uint64) bool {
	fraction := c.Fraction(service, priority)
	return fraction >= 1 || float64(mix(hash)>>11) < fraction*(1<<53)
}

// mix returns a hash that is independent of the uses of the original one for the choice of the
// service and server. It is the finalizer of splitmix64.
func mix(hash uint64) uint64 {
	hash += 0x9e3779b97f4a7c15
	hash = (hash ^ hash>>30) * 0xbf58476d1ce4e5b9
	hash = (hash ^ hash>>27) * 0x94d049bb133111eb
	return hash ^ hash>>31
}

// Changes returns the changes since the previous call. They are valid until the next Update.
func (c *Controller) Changes() []Change {
	changes := c.changes
	c.changes = c.changes[:0]
	return changes
}

func (c *Controller) addChanges(service fleet.ServiceName, s *serviceState, utilisation load.Utilisation) {
	ratio := 0.0
	if utilisation.Limit > 0 {
		ratio = utilisation.InFlight / utilisation.Limit
	}
	for i := range s.priorities {
		p := &s.priorities[i]
		if (p.fraction < 1) != (p.reported < 1) || math.Abs(p.fraction-p.reported) >= reportedChange {
			if len(c.changes) == maxChanges {
				c.changes = slices.Delete(c.changes, 0, 1)
			}
			c.changes = append(c.changes, Change{service, p.priority, p.reported, p.fraction, ratio})
			p.reported = p.fraction
		}
	}
}

// recordDemand updates the demand by priority, and removes the priorities that have had none for
// demandMemory and of which nothing is refused.
func (s *serviceState) recordDemand(now time.Time, service fleet.ServiceName, demand []load.ServiceDemand) {
	for i := range s.priorities {
		s.priorities[i].demand = 0
	}
	for _, d := range demand {
		if d.Service != service || d.PerSecond == 0 {
			continue
		}
		p := s.priority(catalogue.Priority(d.Priority))
		p.demand += float64(d.PerSecond)
		p.lastDemand = now
	}
	s.priorities = slices.DeleteFunc(s.priorities, func(p priorityState) bool {
		return p.fraction >= 1 && p.reported >= 1 && now.Sub(p.lastDemand) > demandMemory
	})
}

// priority returns the state of a priority, which it adds if necessary.
func (s *serviceState) priority(priority catalogue.Priority) *priorityState {
	i, found := slices.BinarySearchFunc(s.priorities, priority, func(p priorityState, v catalogue.Priority) int { return int(p.priority - v) })
	if !found {
		added := priorityState{priority: priority, fraction: 1, reported: 1}
		for k := range added.history {
			added.history[k] = 1
		}
		s.priorities = slices.Insert(s.priorities, i, added)
	}
	return &s.priorities[i]
}

// recordSample adds a step to the history. After a pause the history says nothing of the present.
func (s *serviceState) recordSample(now time.Time, utilisation load.Utilisation) {
	if now.Sub(s.lastStep) > slopeWindow {
		s.steps = 0
	}
	copy(s.history[1:], s.history[:historyLength-1])
	s.history[0] = sample{at: now, inFlight: utilisation.InFlight}
	s.steps = min(s.steps+1, historyLength)
	for i := range s.priorities {
		p := &s.priorities[i]
		copy(p.history[1:], p.history[:historyLength-1])
		p.history[0] = p.fraction
	}
	s.history[0].admitted = s.admittedAt(s.indexBefore(inputDelay))
}

// usable reports whether the inputs say enough to refuse anything.
func (s *serviceState) usable(utilisation load.Utilisation) bool {
	known := utilisation.Limit > 0 && float64(utilisation.Known) >= minKnownShare*float64(utilisation.Servers)
	return known && s.recentPriorities(s.lastStep) > 1
}

// recentPriorities returns the number of priorities with recent demand.
func (s *serviceState) recentPriorities(now time.Time) int {
	count := 0
	for i := range s.priorities {
		if s.priorities[i].recent(now) {
			count++
		}
	}
	return count
}

func (p *priorityState) recent(now time.Time) bool {
	return !p.lastDemand.IsZero() && now.Sub(p.lastDemand) <= demandMemory
}

// restore raises all fractions by a bounded step.
func (s *serviceState) restore(elapsed time.Duration) {
	for i := range s.priorities {
		s.priorities[i].raise(1, elapsed)
	}
}

// raise raises the fraction towards a value by a bounded step.
func (p *priorityState) raise(value float64, elapsed time.Duration) {
	p.fraction = min(1, value, p.fraction+restorePerSecond*elapsed.Seconds())
}

// control runs one step of the control loop.
func (s *serviceState) control(now time.Time, elapsed time.Duration, utilisation load.Utilisation) {
	ratio := utilisation.InFlight / utilisation.Limit
	switch {
	case ratio <= shortageUtilisation:
		s.highSince = time.Time{}
	case s.highSince.IsZero():
		s.highSince = now
	}
	if !s.shedding {
		if ratio < spareUtilisation && utilisation.InFlight > 0 {
			rate := s.history[0].admitted / utilisation.InFlight
			s.ratePerRequest += smoothing * (rate - s.ratePerRequest)
		}
		if s.highSince.IsZero() {
			s.restore(elapsed) // fractions from before inputs were unusable
			return
		}
		if now.Sub(s.highSince) < shortageDelay {
			return
		}
		s.shedding, s.capacity = true, math.Inf(1)
	}
	rate, high := s.admissibleRate(elapsed, utilisation)
	s.assign(now, elapsed, rate, high)
	if s.refuses() || high {
		s.lastRefusal = now
	}
	s.shedding = now.Sub(s.lastRefusal) < calmTime
}

// admissibleRate updates the estimated capacity. It returns the number of requests per second to
// admit, and whether the utilisation that is predicted for now is high.
func (s *serviceState) admissibleRate(elapsed time.Duration, utilisation load.Utilisation) (float64, bool) {
	low, high := spareUtilisation*utilisation.Limit, shortageUtilisation*utilisation.Limit
	measured := s.meanAdmitted(slopeWindow) - s.slope(slopeWindow)
	switch {
	case math.IsInf(s.capacity, 1):
		s.capacity = min(measured, s.initialCapacity(utilisation))
	case utilisation.InFlight < low:
		s.capacity = max(s.capacity, measured)
	default:
		s.capacity += smoothing * (measured - s.capacity)
	}
	if s.mayBeFull(utilisation) {
		s.capacity = min(s.capacity, s.drainingRate(utilisation))
	}
	predicted := max(utilisation.InFlight+s.riseSinceInputs(), 0)
	if most := max(predicted, utilisation.InFlight); most < low && s.refuses() {
		// The servers bear more than they were sent.
		spare := 1 - most/low
		s.capacity *= 1 + growth*min(elapsed, maxStepTime).Seconds()*spare*spare
	}
	excess := predicted - min(max(predicted, goalUtilisation*utilisation.Limit), maxGoalUtilisation*utilisation.Limit)
	return s.capacity - excess/correctionTime.Seconds(), max(predicted, utilisation.InFlight) > high
}

// initialCapacity returns the estimate at the start of a shortage. Servers that refuse requests
// because they are full hide the capacity, so it follows from the rate per request in flight
// before the shortage, within bounds.
func (s *serviceState) initialCapacity(utilisation load.Utilisation) float64 {
	admitted := s.history[0].admitted
	return max(admitted*minInitial, min(admitted, utilisation.Limit*s.ratePerRequest))
}

// mayBeFull reports whether servers may be full: the queues are long and do not shorten. What full
// servers refuse counts as admitted, so the measured capacity is too high then.
func (s *serviceState) mayBeFull(utilisation load.Utilisation) bool {
	return utilisation.InFlight > queueingUtilisation*utilisation.Limit && s.slope(drainWindow) > -minDrain*s.history[0].admitted
}

// drainingRate returns a rate at which queues that did not shorten should do so.
func (s *serviceState) drainingRate(utilisation load.Utilisation) float64 {
	ratio := utilisation.InFlight / utilisation.Limit
	return s.history[0].admitted * (1 - maxCut*min(1, (ratio-queueingUtilisation)/(fullUtilisation-queueingUtilisation)))
}

// refuses reports whether anything is refused.
func (s *serviceState) refuses() bool {
	return slices.ContainsFunc(s.priorities, func(p priorityState) bool { return p.fraction < 1 })
}

// indexBefore returns the step in the history that is at least the given time before the latest,
// or the earliest one.
func (s *serviceState) indexBefore(age time.Duration) int {
	for i := range s.steps {
		if s.history[0].at.Sub(s.history[i].at) >= age {
			return i
		}
	}
	return s.steps - 1
}

// slope returns the rise per second of the requests in flight over a time before the inputs.
func (s *serviceState) slope(window time.Duration) float64 {
	first := s.history[s.indexBefore(window)]
	elapsed := s.history[0].at.Sub(first.at)
	if elapsed < window/2 {
		return 0
	}
	return (s.history[0].inFlight - first.inFlight) / elapsed.Seconds()
}

// meanAdmitted returns the mean rate that was admitted over a time before the inputs.
func (s *serviceState) meanAdmitted(window time.Duration) float64 {
	end := max(s.indexBefore(window), 1)
	sum := 0.0
	for _, step := range s.history[:end] {
		sum += step.admitted
	}
	return sum / float64(end)
}

// admittedAt returns the rate that the fractions of a step admit of the latest demand.
func (s *serviceState) admittedAt(step int) float64 {
	sum := 0.0
	for i := range s.priorities {
		sum += s.priorities[i].demand * s.priorities[i].history[step]
	}
	return sum
}

// riseSinceInputs returns the expected rise of the requests in flight since the inputs were taken.
func (s *serviceState) riseSinceInputs() float64 {
	rise := 0.0
	for i := range s.indexBefore(inputDelay) {
		rise += (s.admittedAt(i) - s.capacity) * s.history[i].at.Sub(s.history[i+1].at).Seconds()
	}
	return rise
}

// assign assigns a rate to the priorities, the highest one first. While part of one is refused, only
// the least is admitted of the lower ones. Fractions fall only while the utilisation is high.
func (s *serviceState) assign(now time.Time, elapsed time.Duration, rate float64, high bool) {
	highest, refused := true, false
	for i := range s.priorities {
		p := &s.priorities[i]
		target := 1.0
		switch {
		case p.demand == 0 || highest:
		case refused:
			target = minFraction
		default:
			target = min(max(rate/p.demand, minFraction), 1)
		}
		rate = max(rate-p.demand*target, 0)
		if target >= p.fraction {
			p.raise(target, elapsed)
		} else if high {
			p.fraction = target
		}
		highest = highest && !p.recent(now)
		refused = refused || p.demand > 0 && p.fraction < 1
	}
}
