package request

import (
	"sync"
	"time"

	"github.com/rattanthread/rattanthread/fleet"
)

// The reasons of Admission.
const (
	ReasonServiceFull Reason = "service_full" // the service is at its own limit
	ReasonHostFull    Reason = "host_full"    // the host is at its limit, and others have a better claim
)

// The defaults of Admission.
const (
	DefaultHostInFlight = 4096
	// spareShare of the host's limit is kept for services below an even share.
	spareShare = 0.1
	// activeFor is how long a service counts for the shares after a request.
	activeFor     = 10 * time.Second
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
	// tookShare is the inverse weight of one sample in the moving average.
	tookShare = 16
)

// Admission bounds the requests that run at once, for each service and for the
// host, and sheds the rest before any work is done. A service below an even
// share of the host's limit is preferred to one above. It is safe for
// concurrent use; the zero value is ready.
type Admission struct {
	// Max bounds the requests of all services together.
	Max int

	mu       sync.Mutex
	total    int
	services map[fleet.ServiceName]*serviceLoad
}

type serviceLoad struct {
	inFlight int
	seen     time.Time
	took     time.Duration // moving average
}

// Enter admits a request of a service with the given limit, or tells why not
// and when to come back. Each admitted request has to Leave.
func (a *Admission) Enter(now time.Time, service fleet.ServiceName, limit int) (Reason, time.Duration, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.load(service)
	s.seen = now
	if limit > 0 && s.inFlight >= limit {
		return ReasonServiceFull, s.retryAfter(), false
	}
	if !a.hasRoom(now, s) {
		return ReasonHostFull, s.retryAfter(), false
	}
	s.inFlight++
	a.total++
	return "", 0, true
}

// Leave ends an admitted request that took so long.
func (a *Admission) Leave(service fleet.ServiceName, took time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.load(service)
	s.inFlight--
	a.total--
	s.took += (took - s.took) / tookShare
}

// InFlight returns how many requests run.
func (a *Admission) InFlight() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.total
}

func (a *Admission) load(service fleet.ServiceName) *serviceLoad {
	if a.services == nil {
		a.services = make(map[fleet.ServiceName]*serviceLoad)
	}
	s := a.services[service]
	if s == nil {
		s = &serviceLoad{}
		a.services[service] = s
	}
	return s
}

func (a *Admission) hasRoom(now time.Time, s *serviceLoad) bool {
	limit := orDefault(a.Max, DefaultHostInFlight)
	if s.inFlight < limit/a.activeServices(now) {
		return a.total < limit
	}
	return a.total < limit-int(spareShare*float64(limit))
}

func (a *Admission) activeServices(now time.Time) int {
	active := 0
	for name, s := range a.services {
		switch {
		case s.inFlight > 0 || now.Sub(s.seen) < activeFor:
			active++
		default:
			delete(a.services, name)
		}
	}
	return max(1, active)
}

// retryAfter is when the requests that run now will be through, as whole
// seconds, the unit of the Retry-After header.
func (s *serviceLoad) retryAfter() time.Duration {
	wait := s.took.Round(time.Second)
	return min(max(wait, minRetryAfter), maxRetryAfter)
}
