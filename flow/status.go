package flow

import (
	"time"

	"github.com/rattanthread/rattanthread/fleet"
)

// ServiceStatus is the progress of a service through a change, for operators.
type ServiceStatus struct {
	Service fleet.ServiceName `json:"service"`
	// Splits is the number of split slots, out of SlotCount.
	Splits int `json:"splits"`
	// Owned is the number of split slots that this host has authority over.
	Owned int `json:"owned"`
	// Records is the number of flows of split slots that this host has recorded.
	Records int `json:"records"`
	// Since is when the oldest split was made.
	Since time.Time `json:"since"`
}

// Status returns the status of the services that have split slots. It must be
// called by the control goroutine.
func (r *Router) Status() []ServiceStatus {
	var out []ServiceStatus
	for _, svc := range r.services {
		if len(svc.splits) > 0 {
			out = append(out, svc.status())
		}
	}
	return out
}

func (s *service) status() ServiceStatus {
	status := ServiceStatus{Service: s.name, Splits: len(s.splits)}
	for _, state := range s.splits {
		if status.Since.IsZero() || state.since.Before(status.Since) {
			status.Since = state.since
		}
		state.flows.mu.Lock()
		if state.flows.authority != authorityNone {
			status.Owned++
		}
		status.Records += state.flows.records.count
		state.flows.mu.Unlock()
	}
	return status
}
