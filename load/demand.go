package load

import (
	"cmp"
	"slices"
	"time"

	"github.com/rattanthread/rattanthread/fleet"
)

// demandBuckets is the number of complete buckets of updateInterval in the window of demand,
// which is 1 s long. Callers' bursts last for some seconds.
const demandBuckets = 5

// demandKey identifies the demand for a service of one priority.
type demandKey struct {
	service  fleet.ServiceName
	priority int
}

// demandWindow counts first opening packets. One more bucket holds the incomplete one.
type demandWindow struct {
	counts [demandBuckets + 1]uint32
	latest int64
}

func (w *demandWindow) advance(now time.Time) {
	number := now.UnixNano() / int64(updateInterval)
	size := int64(len(w.counts))
	for i := max(w.latest+1, number-size+1); i <= number; i++ {
		w.counts[i%size] = 0
	}
	w.latest = max(w.latest, number)
}

// perSecond returns the count of the complete buckets, which cover one second.
func (w *demandWindow) perSecond(now time.Time) uint32 {
	w.advance(now)
	sum := uint32(0)
	for i, count := range w.counts {
		if int64(i) != w.latest%int64(len(w.counts)) {
			sum += count
		}
	}
	return sum
}

// boundPriority returns the priority as which a priority of the configuration is reported and looked up.
func boundPriority(priority int) int { return min(max(0, priority), MaxPriority) }

// RecordOpening records the first opening packet of a flow, also of a refused one.
func (t *Tracker) RecordOpening(now time.Time, service fleet.ServiceName, priority int) {
	key := demandKey{service, boundPriority(priority)}
	w := t.demand[key]
	if w == nil {
		if t.demand == nil {
			t.demand = make(map[demandKey]*demandWindow)
		}
		w = &demandWindow{}
		t.demand[key] = w
	}
	w.advance(now)
	w.counts[w.latest%int64(len(w.counts))]++
}

// Demand returns the rate of first opening packets to a service at all hosts, by priority.
func (t *Tracker) Demand(now time.Time, service fleet.ServiceName) []ServiceDemand {
	return t.sumDemand(now, service, nil)
}

// sumDemand returns the demand for a service, or for all if it is empty, without that reported
// by one peer.
func (t *Tracker) sumDemand(now time.Time, service fleet.ServiceName, excluded *peerState) []ServiceDemand {
	t.update(now)
	sums := make(map[demandKey]uint32)
	for key, w := range t.demand {
		if rate := w.perSecond(now); rate > 0 && (service == "" || key.service == service) {
			sums[key] += rate
		}
	}
	for _, p := range t.peers {
		if p == excluded {
			continue
		}
		for _, d := range p.demand {
			if service == "" || d.Service == service {
				sums[demandKey{d.Service, d.Priority}] += d.PerSecond
			}
		}
	}
	demand := make([]ServiceDemand, 0, len(sums))
	for key, rate := range sums {
		demand = append(demand, ServiceDemand{Service: key.service, Priority: key.priority, PerSecond: min(rate, maxReportedRate)})
	}
	slices.SortFunc(demand, func(a, b ServiceDemand) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Priority, b.Priority))
	})
	return demand
}
