package request

import (
	"sync"
	"time"

	"github.com/rattanthread/rattanthread/fleet"
)

// The reasons of Admission.
const (
	ReasonServiceFull Reason = "service_full" // the service has reached its own limit
	ReasonHostFull    Reason = "host_full"    // the host has reached its limit, or the rest is reserved for services below an even share
)

// The defaults of Admission.
const (
	DefaultMaxInFlight = 4096
	// reservedFraction is the part of the host's limit that is reserved for
	// services below an even share.
	reservedFraction = 0.1
	// activeWindow is how long after a request a service counts towards the shares.
	activeWindow  = 10 * time.Second
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
	// averageSamples is the inverse of a sample's weight in the moving average.
	averageSamples = 16
)

// Admission limits the requests that run at once, for each service and for the
// host, and sheds the rest before any work is done. A service below an even
// share of the host's limit takes precedence over one above it. It is safe for
// concurrent use. The zero value is ready to use.
type Admission struct {
	// MaxInFlight is the maximum number of requests of all services together.
	// The zero value means DefaultMaxInFlight.
	MaxInFlight int

	mu       sync.Mutex
	total    int
	services map[fleet.ServiceName]*serviceLoad
}

type serviceLoad struct {
	inFlight     int
	lastRequest  time.Time
	meanDuration time.Duration // moving average
}

// Acquire admits a request of a service with the given limit, or returns the
// reason for a refusal and the time to wait before a retry. Call Release at the
// end of each admitted request.
func (a *Admission) Acquire(now time.Time, service fleet.ServiceName, limit int) (Reason, time.Duration, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	load := a.load(service)
	load.lastRequest = now
	if limit > 0 && load.inFlight >= limit {
		return ReasonServiceFull, load.retryAfter(), false
	}
	if !a.hasRoom(now, load) {
		return ReasonHostFull, load.retryAfter(), false
	}
	load.inFlight++
	a.total++
	return "", 0, true
}

// Release ends an admitted request that ran for the given duration.
func (a *Admission) Release(service fleet.ServiceName, duration time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	load := a.load(service)
	load.inFlight--
	a.total--
	load.meanDuration += (duration - load.meanDuration) / averageSamples
}

// InFlight returns the number of running requests.
func (a *Admission) InFlight() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.total
}

func (a *Admission) load(service fleet.ServiceName) *serviceLoad {
	if a.services == nil {
		a.services = make(map[fleet.ServiceName]*serviceLoad)
	}
	load := a.services[service]
	if load == nil {
		load = &serviceLoad{}
		a.services[service] = load
	}
	return load
}

func (a *Admission) hasRoom(now time.Time, load *serviceLoad) bool {
	limit := orDefault(a.MaxInFlight, DefaultMaxInFlight)
	if load.inFlight < limit/a.activeServices(now) {
		return a.total < limit
	}
	return a.total < limit-int(reservedFraction*float64(limit))
}

func (a *Admission) activeServices(now time.Time) int {
	active := 0
	for name, load := range a.services {
		switch {
		case load.inFlight > 0 || now.Sub(load.lastRequest) < activeWindow:
			active++
		default:
			delete(a.services, name)
		}
	}
	return max(1, active)
}

// retryAfter returns the estimated time until the running requests have ended, in
// whole seconds, the unit of the Retry-After header.
func (s *serviceLoad) retryAfter() time.Duration {
	delay := s.meanDuration.Round(time.Second)
	return min(max(delay, minRetryAfter), maxRetryAfter)
}
