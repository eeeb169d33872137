package standin

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// Load is the load report of a backend server at its health endpoint.
type Load struct {
	Ready bool `json:"ready"`
	// Instance identifies one run of the server process; it is empty if the
	// server does not report it.
	Instance       string  `json:"instance,omitempty"`
	Draining       bool    `json:"draining"`
	Load           float64 `json:"load"` // from 0 to 1
	InFlight       int     `json:"in_flight"`
	Queued         int     `json:"queued"`
	Slots          int     `json:"slots"`
	Connections    int     `json:"connections"`
	MaxConnections int     `json:"max_connections"`
}

// HealthEndpoint serves the load of a backend server, optionally delayed and
// distorted. The zero value serves the current load. HealthEndpoint is safe for
// concurrent use once its exported fields are set.
type HealthEndpoint struct {
	// Lag is the age at which a report is replaced by a current one.
	Lag time.Duration
	// Distort alters a report before it is served; nil leaves it unchanged.
	Distort func(Load) Load

	mu         sync.Mutex
	last       Load
	reportedAt time.Time
}

// Report returns the report to serve at now, given the current load.
func (h *HealthEndpoint) Report(now time.Time, load Load) Load {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.reportedAt.IsZero() || now.Sub(h.reportedAt) >= h.Lag {
		h.reportedAt, h.last = now, load
	}
	if h.Distort != nil {
		return h.Distort(h.last)
	}
	return h.last
}

// Handler returns the handler of the health endpoint; load returns the current load.
func (h *HealthEndpoint) Handler(load func() Load) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		report := h.Report(time.Now(), load())
		w.Header().Set("Content-Type", "application/json")
		if !report.Ready {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		_ = json.NewEncoder(w).Encode(report)
	})
}
