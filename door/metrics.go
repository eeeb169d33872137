package door

import (
	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/request"
)

// metrics counts what a Door did.
type metrics struct {
	requests *prometheus.CounterVec
	tries    *prometheus.CounterVec
	retries  *prometheus.CounterVec
	stopped  *prometheus.CounterVec
}

func newMetrics() *metrics {
	counter := func(name, help string, labels ...string) *prometheus.CounterVec {
		opts := prometheus.CounterOpts{Namespace: "rattanthread", Subsystem: "request", Name: name, Help: help}
		return prometheus.NewCounterVec(opts, labels)
	}
	return &metrics{
		requests: counter("requests_total", "Requests by outcome and reason.", "service", "outcome", "reason"),
		tries:    counter("tries_total", "Requests sent, or tried to be sent, to backend servers.", "service"),
		retries:  counter("retries_total", "Further tries by reason.", "service", "reason"),
		stopped:  counter("retries_stopped_total", "Failed tries not repeated, by reason.", "service", "reason"),
	}
}

// Register registers the counters of the Door.
func (d *Door) Register(r prometheus.Registerer) error {
	m := d.counters()
	for _, c := range []prometheus.Collector{m.requests, m.tries, m.retries, m.stopped} {
		if err := r.Register(c); err != nil {
			return errors.Wrap(err, "register request counters")
		}
	}
	return nil
}

func (d *Door) counters() *metrics {
	d.metricsOnce.Do(func() { d.metrics = newMetrics() })
	return d.metrics
}

func (m *metrics) ended(service fleet.ServiceName, outcome request.Outcome, reason request.Reason) {
	m.requests.WithLabelValues(string(service), string(outcome), string(reason)).Inc()
}
