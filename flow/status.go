package flow

import (
	"time"

	"github.com/rattanthread/rattanthread/fleet"
)

// ServiceStatus tells operators how far a service is in a change.
type ServiceStatus struct {
	Service fleet.ServiceName `json:"service"`
	// Splits is how many of the SlotCount slots are split.
	Splits int `json:"splits"`
	// Owned is how many of these this host decides about.
	Owned int `json:"owned"`
	// Records is how many of their flows this host has recorded.
	Records int `json:"records"`
	// Since is when the oldest of them was split.
	Since time.Time `json:"since"`
}

// Status returns the services that have split slots. It belongs to the control
// goroutine.
func (r *Router) Status() []ServiceStatus {
	var out []ServiceStatus
	for _, s := range r.services {
		if len(s.splits) > 0 {
			out = append(out, s.status())
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
		state.live.mu.Lock()
		if state.live.authority != authorityNone {
			status.Owned++
		}
		status.Records += state.live.records.n
		state.live.mu.Unlock()
	}
	return status
}
