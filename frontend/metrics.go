package frontend

import (
	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/request"
)

// metrics holds the counters of a Handler.
type metrics struct {
	requests       *prometheus.CounterVec
	attempts       *prometheus.CounterVec
	retries        *prometheus.CounterVec
	stoppedRetries *prometheus.CounterVec
}

func newMetrics() *metrics {
	counter := func(name, help string, labels ...string) *prometheus.CounterVec {
		opts := prometheus.CounterOpts{Namespace: "rattanthread", Subsystem: "request", Name: name, Help: help}
		return prometheus.NewCounterVec(opts, labels)
	}
	return &metrics{
		requests:       counter("requests_total", "Requests by outcome and reason.", "service", "outcome", "reason"),
		attempts:       counter("tries_total", "Requests sent, or tried to be sent, to backend servers.", "service"),
		retries:        counter("retries_total", "Further tries by reason.", "service", "reason"),
		stoppedRetries: counter("retries_stopped_total", "Failed tries not repeated, by reason.", "service", "reason"),
	}
}

// Register registers the counters of the Handler.
func (h *Handler) Register(r prometheus.Registerer) error {
	m := h.counters()
	for _, c := range []prometheus.Collector{m.requests, m.attempts, m.retries, m.stoppedRetries} {
		if err := r.Register(c); err != nil {
			return errors.Wrap(err, "register request counters")
		}
	}
	return nil
}

func (h *Handler) counters() *metrics {
	h.metricsOnce.Do(func() { h.metrics = newMetrics() })
	return h.metrics
}

func (m *metrics) recordOutcome(service fleet.ServiceName, outcome request.Outcome, reason request.Reason) {
	m.requests.WithLabelValues(string(service), string(outcome), string(reason)).Inc()
}
