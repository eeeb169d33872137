package standin

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// Load is what a backend server says of itself at its health endpoint.
type Load struct {
	Ready bool `json:"ready"`
	// Instance identifies the life of the server process; it is empty when the
	// server does not tell.
	Instance       string  `json:"instance,omitempty"`
	Draining       bool    `json:"draining"`
	Load           float64 `json:"load"` // from 0 to 1
	InFlight       int     `json:"in_flight"`
	Queued         int     `json:"queued"`
	Slots          int     `json:"slots"`
	Connections    int     `json:"connections"`
	MaxConnections int     `json:"max_connections"`
}

// Health makes a health endpoint lag and mislead. The zero value tells the
// truth. Health is safe for concurrent use once in use.
type Health struct {
	// Lag is how old a report may be before a new one is made.
	Lag time.Duration
	// Distort changes a report before it is told; nil means the truth.
	Distort func(Load) Load

	mu   sync.Mutex
	last Load
	made time.Time
}

// Report returns what the endpoint tells at now, when load is the truth.
func (h *Health) Report(now time.Time, load Load) Load {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.made.IsZero() || now.Sub(h.made) >= h.Lag {
		h.made, h.last = now, load
	}
	if h.Distort != nil {
		return h.Distort(h.last)
	}
	return h.last
}

// Handler serves the endpoint; truth gives the load of the moment.
func (h *Health) Handler(truth func() Load) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		report := h.Report(time.Now(), truth())
		w.Header().Set("Content-Type", "application/json")
		if !report.Ready {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		_ = json.NewEncoder(w).Encode(report)
	})
}
