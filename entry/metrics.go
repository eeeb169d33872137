package entry

import (
	"context"
	"math"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/rattanthread/rattanthread/catalogue"
	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/forwarding"
)

// sampleEvery is the sampling rate of timings: one in sampleEvery packets is timed.
const sampleEvery = 64

// metrics holds the metrics of a host. docs/OPERATIONS.md describes each.
type metrics struct {
	registry  *prometheus.Registry
	decisions [forwarding.ReasonCount]prometheus.Counter
	// refusals are the decisions with the reason no_room, by the data centre whose admitted fraction
	// was applied.
	refusals     *prometheus.CounterVec
	malformed    prometheus.Counter
	sendFailures prometheus.Counter
	flowsReset   *prometheus.CounterVec
	suspicions   *prometheus.CounterVec
	probes       *prometheus.CounterVec
	calls        *prometheus.CounterVec
	upstreams    *prometheus.CounterVec
	// announcements counts the announcements sent, by result.
	announcements       *prometheus.CounterVec
	restarts            prometheus.Counter
	updatesIgnored      *prometheus.CounterVec
	agesRejected        *prometheus.CounterVec
	decisionDuration    prometheus.Histogram
	configurationAge    prometheus.Histogram
	callDuration        prometheus.Histogram
	servers             prometheus.Gauge
	configurationNumber prometheus.Gauge
	storeEpoch          prometheus.Gauge
	// loadReports and loadReportBytes are the load reports, by direction. rejectedLoads counts
	// those that were dropped, by reportFault, and omittedLoads servers that didn't fit in one.
	loadReports, loadReportBytes, rejectedLoads *prometheus.CounterVec
	omittedLoads                                prometheus.Counter
	// dataCentreLoads and dataCentreLoadBytes are the messages between data centres, by direction;
	// rejectedDataCentreLoads are those that were dropped, by loadsFault.
	dataCentreLoads, dataCentreLoadBytes, rejectedDataCentreLoads *prometheus.CounterVec
	dataCentreLoadStreams                                         *prometheus.GaugeVec
	// lastLoadReport is the time of the latest report of any host, in Unix nanoseconds, or zero.
	// now must be set for its age.
	lastLoadReport atomic.Int64
	now            func() time.Time
	// The gauges of services are labelled with those of the configuration only.
	serviceRequests, serviceLimit, serviceServers, serviceSlow, spillover, admitted *prometheus.GaugeVec
}

// loadDirection is the direction of a load report.
type loadDirection string

// Directions of load reports.
const (
	loadReportSent     loadDirection = "sent"
	loadReportReceived loadDirection = "received"
)

func newMetrics() *metrics {
	m := &metrics{registry: prometheus.NewRegistry()}
	vec := func(name, help string, labels ...string) *prometheus.CounterVec {
		c := prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "rattanthread", Name: name, Help: help}, labels)
		m.registry.MustRegister(c)
		return c
	}
	histogram := func(name, help string, first float64) prometheus.Histogram {
		h := prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: "rattanthread", Name: name, Help: help, Buckets: prometheus.ExponentialBuckets(first, 2, 14),
		})
		m.registry.MustRegister(h)
		return h
	}
	gauge := func(name, help string) prometheus.Gauge {
		g := prometheus.NewGauge(prometheus.GaugeOpts{Namespace: "rattanthread", Name: name, Help: help})
		m.registry.MustRegister(g)
		return g
	}
	decisions := vec("packets_total", "Packets of callers, by what was decided and why.", "reason")
	for reason := range forwarding.ReasonCount {
		m.decisions[reason] = decisions.WithLabelValues(reason.String())
	}
	m.refusals = vec("no_room_total", "Opening packets refused for lack of capacity, by the data centre whose admitted fraction was applied.", "data_centre")
	m.malformed = vec("malformed_packets_total", "Packets that could not be read.").WithLabelValues()
	m.sendFailures = vec("send_failures_total", "Datagrams that could not be sent.").WithLabelValues()
	m.flowsReset = vec("flows_reset_total", "Flows that were reset before their caller sent on them, by reason.", "reason")
	m.suspicions = vec("suspicions_total", "Suspicions of servers that were raised or cleared.", "change")
	m.probes = vec("probes_total", "Probes of servers, by result.", "result")
	m.calls = vec("store_calls_total", "Calls on the platform's store, by source and result.", "source", "result")
	m.announcements = vec("announcements_total", "Hosts that were told that this one knows, while the store is lost.", "result")
	m.upstreams = vec("upstream_total", "Changes of the host that this one learns from.", "change")
	m.updatesIgnored = vec("updates_ignored_total", "Updates that were older than what the host has, by source.", "source")
	m.agesRejected = vec("ages_rejected_total", "Ages of states that are impossible and were not used, by where they arrived.", "place")
	for _, place := range []string{ageInFeed, ageInStore, ageInCatalogue} {
		m.agesRejected.WithLabelValues(place)
	}
	m.restarts = vec("restarts_total", "Parts of the host that failed and were started again.").WithLabelValues()
	m.decisionDuration = histogram("decision_seconds", "Time to decide on a packet; a sample.", 250e-9)
	m.configurationAge = histogram("configuration_age_seconds", "Age of the configuration when a packet was decided on; a sample.", 0.01)
	m.callDuration = histogram("store_call_seconds", "Time of a call on the store beyond the time it was told to wait.", 0.001)
	m.servers = gauge("servers", "Backend servers that are known.")
	m.configurationNumber = gauge("configuration_number", "Number of the configuration in force.")
	m.storeEpoch = gauge("store_epoch", "Epoch of the platform's store; it rises with each restoration from an older copy.")
	m.registerLoads(vec)
	return m
}

// registerLoads registers the metrics of load estimates.
func (m *metrics) registerLoads(vec func(name, help string, labels ...string) *prometheus.CounterVec) {
	gauges := func(name, help string, labels ...string) *prometheus.GaugeVec {
		g := prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: "rattanthread", Name: name, Help: help}, labels)
		m.registry.MustRegister(g)
		return g
	}
	m.loadReports = vec("load_reports_total", "Load reports to and from other hosts, by direction.", "direction")
	m.loadReportBytes = vec("load_report_bytes_total", "Bytes of load reports to and from other hosts, by direction.", "direction")
	m.rejectedLoads = vec("load_reports_rejected_total", "Load reports that were dropped, by reason.", "reason")
	m.omittedLoads = vec("load_report_servers_omitted_total", "Servers that did not fit in load reports.").WithLabelValues()
	m.dataCentreLoads = vec("data_centre_loads_total", "Messages about loads to and from other data centres, by direction.", "direction")
	m.dataCentreLoadBytes = vec("data_centre_load_bytes_total", "Bytes of messages about loads to and from other data centres, by direction.", "direction")
	m.rejectedDataCentreLoads = vec("data_centre_loads_rejected_total", "Messages about loads of other data centres that were dropped, by reason.", "reason")
	m.dataCentreLoadStreams = gauges("data_centre_load_streams", "Open streams to and from other data centres, by direction of the messages.", "direction")
	m.serviceRequests = gauges("service_requests_in_flight", "Requests in flight at servers with a known estimate.", "service")
	m.serviceLimit = gauges("service_limit", "Learned concurrency limit, summed over servers with a known estimate.", "service")
	m.serviceServers = gauges("service_servers", "Servers of a service, by whether their load is known.", "service", "load")
	m.serviceSlow = gauges("service_slow_servers", "Servers of a service that are slower than usual.", "service")
	m.spillover = gauges("spillover_fraction", "Fraction of new flows that go to other data centres.", "service")
	m.admitted = gauges("admitted_fraction", "Fraction of first opening packets that are admitted to the servers in a data centre.", "data_centre", "service", "priority")
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: "rattanthread", Name: "load_report_age_seconds", Help: "Age of the latest load report; NaN before the first one.",
	}, m.loadReportAge))
}

// loadReportAge returns the age of the latest load report in seconds, or NaN before the first one.
func (m *metrics) loadReportAge() float64 {
	last := m.lastLoadReport.Load()
	if last == 0 || m.now == nil {
		return math.NaN()
	}
	return max(0, m.now().Sub(time.Unix(0, last))).Seconds()
}

// countLoadReport counts a load report and its bytes.
func (m *metrics) countLoadReport(direction loadDirection, bytes int) {
	m.loadReports.WithLabelValues(string(direction)).Inc()
	m.loadReportBytes.WithLabelValues(string(direction)).Add(float64(bytes))
}

// forgetService removes the gauges of a service.
func (m *metrics) forgetService(service fleet.ServiceName) {
	for _, gauges := range []*prometheus.GaugeVec{m.serviceRequests, m.serviceLimit, m.serviceServers, m.serviceSlow, m.spillover, m.admitted} {
		gauges.DeletePartialMatch(prometheus.Labels{"service": string(service)})
	}
}

// countDecision counts a decision and the suspicions that it raised or cleared.
func (m *metrics) countDecision(d forwarding.Decision) {
	m.decisions[d.Reason].Inc()
	if d.Reason == forwarding.NoRoom {
		m.refusals.WithLabelValues(string(d.AdmittedBy)).Inc()
	}
	if d.SuspicionRaised != 0 {
		m.suspicions.WithLabelValues("raised").Inc()
	}
	if d.SuspicionCleared != 0 {
		m.suspicions.WithLabelValues("cleared").Inc()
	}
}

// observeDecision records the duration of a decision and the age of its configuration.
func (m *metrics) observeDecision(start, end, confirmed time.Time) {
	m.decisionDuration.Observe(end.Sub(start).Seconds())
	if age, known := catalogue.AgeAt(start, confirmed); known {
		m.configurationAge.Observe(age.Seconds())
	}
}

// countAnnouncement counts an announcement.
func (m *metrics) countAnnouncement(err error) {
	result := "ok"
	if err != nil {
		result = "failed"
	}
	m.announcements.WithLabelValues(result).Inc()
}

// countCall counts a store call and records its duration beyond the requested wait.
func (m *metrics) countCall(source catalogue.Source, result string, elapsed time.Duration) {
	m.calls.WithLabelValues(source.String(), result).Inc()
	m.callDuration.Observe(max(0, elapsed).Seconds())
}

// metricsPath is the URL path of the metrics endpoint.
const metricsPath = "/metrics"

func (h *Host) serveMetrics(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PreviewPath, h.servePreview)
	mux.Handle(metricsPath, promhttp.HandlerFor(h.metrics.registry, promhttp.HandlerOpts{}))
	return h.network.ServeMetrics(ctx, mux)
}

// countDataCentreLoads counts a message between data centres and its bytes.
func (m *metrics) countDataCentreLoads(direction loadDirection, bytes int) {
	m.dataCentreLoads.WithLabelValues(string(direction)).Inc()
	m.dataCentreLoadBytes.WithLabelValues(string(direction)).Add(float64(bytes))
}
