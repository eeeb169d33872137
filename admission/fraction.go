package admission

import (
	"iter"

	"github.com/rattanthread/rattanthread/catalogue"
	"github.com/rattanthread/rattanthread/fleet"
)

// AdmitFraction reports whether a new flow belongs to an admitted fraction, by a hash of the flow that
// is the same on all hosts. It is meant for flows to servers in another data centre while those are
// short, by the fraction which that one has reported. At least 1 of 20 flows is admitted, so that a
// false report refuses no priority altogether.
func AdmitFraction(fraction float64, hash uint64) bool {
	fraction = max(fraction, minFraction)
	return fraction >= 1 || float64(mix(hash)>>11) < fraction*(1<<53)
}

// Restricted returns the priorities of a service of which a part is refused, with their admitted
// fractions, the highest priority first.
func (c *Controller) Restricted(service fleet.ServiceName) iter.Seq2[catalogue.Priority, float64] {
	return func(yield func(catalogue.Priority, float64) bool) {
		s := c.services[service]
		if s == nil {
			return
		}
		for i := range s.priorities {
			p := &s.priorities[i]
			if p.fraction < 1 && !yield(p.priority, p.fraction) {
				return
			}
		}
	}
}
