package load

import (
	"math"
	"net/netip"
	"slices"
	"time"

	"github.com/rattanthread/rattanthread/catalogue"
	"github.com/rattanthread/rattanthread/fleet"
)

const (
	// usualQuantile is the quantile of latencies and sizes that counts as usual. Below the
	// median it stays at the usual servers while up to 60% of the responses are slower.
	usualQuantile = 0.4
	// usualStep is the largest relative change of a usual value by one response. At 28 responses
	// a second, a host follows a service that slows by half within 2 s.
	usualStep = 0.05
	// minUsualSamples is how many responses make a usual value. With fewer, one unusual response
	// would make all others look slow or refused.
	minUsualSamples = 8
	// usualExpiry is how long a usual value lasts without a new response. It lets a route recover
	// whose responses have all become so fast and short that they look like refusals.
	usualExpiry = 10 * time.Second
	// A refusal takes less than refusalLatency times the usual latency and is shorter than
	// refusalSize times the usual size. A refusal needs no work, only the network's round trip.
	refusalLatency = 1.0 / 3
	refusalSize    = 0.5
)

// routeKey identifies a route and the data centre of its servers. The latency of a route differs
// between data centres by the distance.
type routeKey struct {
	route      netip.AddrPort
	service    fleet.ServiceName
	dataCentre fleet.DataCentreID
}

// routeState holds the usual values of a route.
type routeState struct {
	// latency is in nanoseconds, and size in bytes.
	latency, size usualValue
	updated       time.Time
	lastUsed      time.Time
}

// route returns the state of a route, and creates it if there is none.
func (t *Tracker) route(now time.Time, server *catalogue.Server, route netip.AddrPort) *routeState {
	key := routeKey{route, server.Service, server.DataCentre}
	r := t.routes[key]
	if r == nil {
		if t.routes == nil {
			t.routes = make(map[routeKey]*routeState)
		}
		r = &routeState{updated: now}
		t.routes[key] = r
	}
	r.lastUsed = now
	if now.Sub(r.updated) > usualExpiry {
		r.latency, r.size, r.updated = usualValue{}, usualValue{}, now
	}
	return r
}

// ready reports whether the usual values are known.
func (r *routeState) ready() bool { return r.latency.samples >= minUsualSamples }

// add adds a response of a warm server.
func (r *routeState) add(now time.Time, latency float64, bytes int) {
	r.updated = now
	r.latency.add(latency)
	r.size.add(float64(bytes))
}

// isRefusal reports whether a response is much faster and shorter than usual.
func (r *routeState) isRefusal(latency time.Duration, bytes int) bool {
	return r.ready() && float64(latency) < refusalLatency*r.latency.value && float64(bytes) < refusalSize*r.size.value
}

// usualValue follows a quantile of positive values. It holds no values, so that a route costs
// little memory.
type usualValue struct {
	value   float64
	samples int
}

// add moves the estimate towards a new value by a step that becomes smaller with the first values.
func (u *usualValue) add(value float64) {
	value = math.Max(1, value)
	if u.samples == 0 {
		u.value = value
	}
	u.samples++
	step := math.Max(usualStep, 1/float64(1+u.samples))
	switch {
	case value > u.value:
		u.value = math.Min(value, u.value*(1+step*usualQuantile))
	case value < u.value:
		u.value = math.Max(value, u.value*(1-step*(1-usualQuantile)))
	}
}

// quantile sorts values and returns a quantile, or zero if there are none.
func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[int(q*float64(len(values)-1))]
}
