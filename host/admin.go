package host

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/rattanthread/rattanthread/status"
)

const adminTimeout = 5 * time.Second

// admin serves the metrics, health and status endpoints.
type admin struct {
	host       *Host
	components *hostComponents
}

func (a *admin) serve(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(a.host.Registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /healthz", a.health)
	mux.HandleFunc("GET /readyz", a.ready)
	mux.HandleFunc("GET "+status.Path, a.status)
	server := &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: adminTimeout,
		ReadTimeout:       adminTimeout,
		WriteTimeout:      adminTimeout,
		MaxHeaderBytes:    16 << 10,
	}
	return serveHTTP(ctx, server, a.components.sockets.admin)
}

func (a *admin) health(w http.ResponseWriter, _ *http.Request) {
	if a.components.loop.isStale(a.host.Now()) {
		http.Error(w, "the control state stands still", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ok\n"))
}

func (a *admin) ready(w http.ResponseWriter, _ *http.Request) {
	state := a.host.Status()
	if !state.Ready {
		http.Error(w, state.Reason, http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

func (a *admin) status(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(a.host.currentStatus(a.host.Now()))
}

// gatherCounters returns the values of the project's own counters, keyed by name
// and labels.
func gatherCounters(gatherer prometheus.Gatherer) map[string]uint64 {
	families, err := gatherer.Gather()
	if err != nil {
		return nil
	}
	totals := make(map[string]uint64)
	for _, family := range families {
		if !strings.HasPrefix(family.GetName(), namespace) {
			continue
		}
		for _, metric := range family.GetMetric() {
			if metric.GetCounter() == nil {
				continue
			}
			name := family.GetName()
			for _, label := range metric.GetLabel() {
				name += "," + label.GetName() + "=" + label.GetValue()
			}
			totals[name] = uint64(metric.GetCounter().GetValue())
		}
	}
	return totals
}
