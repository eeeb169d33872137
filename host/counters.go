package host

import "github.com/prometheus/client_golang/prometheus"

const namespace = "rattanthread"

// counters holds the metrics of the host's own components.
type counters struct {
	packets       *prometheus.CounterVec
	refused       *prometheus.CounterVec
	handoffs      *prometheus.CounterVec
	bytes         *prometheus.CounterVec
	sendErrors    *prometheus.CounterVec
	restarts      *prometheus.CounterVec
	droppedEvents *prometheus.CounterVec
	platform      *prometheus.CounterVec
	probes        *prometheus.CounterVec
	revision      prometheus.Gauge
}

func newCounters(registerer prometheus.Registerer) *counters {
	vec := func(name, help string, labels ...string) *prometheus.CounterVec {
		counter := prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
		registerer.MustRegister(counter)
		return counter
	}
	revision := prometheus.NewGauge(prometheus.GaugeOpts{
		Namespace: namespace, Name: "config_revision", Help: "Configuration revision in force.",
	})
	registerer.MustRegister(revision)
	return &counters{
		packets:       vec("packets_total", "Decisions about packets.", "action", "reason"),
		refused:       vec("packets_refused_total", "Datagrams that could not be read.", "socket", "reason"),
		handoffs:      vec("handoffs_total", "Packets handed to peers.", "result"),
		bytes:         vec("packet_bytes_total", "Bytes of inner packets sent on.", "action"),
		sendErrors:    vec("packet_send_errors_total", "Packets that the kernel did not take.", "action"),
		restarts:      vec("part_restarts_total", "Restarts of parts of the supervisor tree.", "part", "cause"),
		droppedEvents: vec("control_events_dropped_total", "Control events dropped because the queue was full.", "kind"),
		platform:      vec("platform_calls_total", "Calls on the platform.", "call", "result"),
		probes:        vec("health_probes_total", "Health probes of kept backend servers.", "result"),
		revision:      revision,
	}
}
