package entry

import (
	"context"
	"net/http"
	"net/netip"
	"regexp"
	"runtime"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/rattanthread/rattanthread/catalogue"
	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/forwarding"
	"github.com/rattanthread/rattanthread/load"
	"github.com/rattanthread/rattanthread/placement"
)

// Watcher gives tests access to a settingsWatcher.
type Watcher struct{ w settingsWatcher }

// NewWatcher returns a Watcher that has already read content from the file.
func NewWatcher(path string, content []byte, logger hclog.Logger) *Watcher {
	return &Watcher{settingsWatcher{path: path, content: content, logger: logger, changed: make(chan Settings, 1)}}
}

// Check reads the file again.
func (w *Watcher) Check(ctx context.Context) { w.w.check(ctx) }

// Changed returns the channel that receives changed settings.
func (w *Watcher) Changed() <-chan Settings { return w.w.changed }

// ProbeOnce probes a server once, together with witnesses.
func ProbeOnce(ctx context.Context, network Network, server *catalogue.Server, witnesses ...*catalogue.Server) placement.Evidence {
	host := Host{network: network}
	host.snapshot.Store(&snapshot{})
	return host.probeOnce(ctx, server, witnesses, probeAttempts)
}

// Probe probes the first server of an update until it accepts a connection.
func Probe(ctx context.Context, network Network, update catalogue.Update) {
	host := Host{network: network, metrics: newMetrics()}
	host.log.Logger = hclog.NewNullLogger()
	var tracker catalogue.Tracker
	tracker.Apply(network.Now(), update)
	host.snapshot.Store(&snapshot{catalogue: tracker.Current()})
	server := update.Records[0].Server
	host.probeServer(ctx, host.snapshot.Load().catalogue.Server(catalogue.CookieOf(server.ID)))
}

// runControl runs a control loop until ctx ends.
func runControl(ctx context.Context, network Network) *Host {
	host := &Host{network: network, metrics: newMetrics(), subscriptions: make(chan subscriptionRequest), updates: make(chan []catalogue.Update), ready: make(chan struct{})}
	host.log.Logger = hclog.NewNullLogger()
	host.snapshot.Store(&snapshot{})
	host.activeSettings.Store(&Settings{})
	go func() { _ = (&control{host: host}).run(ctx) }()
	return host
}

// ApplyFirst applies an update in a new control loop and reports whether the loop still runs
// afterwards.
func ApplyFirst(ctx context.Context, network Network, update catalogue.Update) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	host := runControl(ctx, network)
	host.updates <- []catalogue.Update{update}
	return host.requestSubscription(ctx, subscriptionRequest{subscriber: &subscriber{cancel: cancel}})
}

// UpdatesAfterUnsubscribe adds and removes a subscriber, applies an update, and returns how
// many updates were queued for that subscriber.
func UpdatesAfterUnsubscribe(ctx context.Context, network Network, update catalogue.Update) int {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	host := runControl(ctx, network)
	sub := &subscriber{updates: make(chan catalogue.Update, feedQueueLength), cancel: cancel}
	host.requestSubscription(ctx, subscriptionRequest{subscriber: sub})
	host.requestSubscription(ctx, subscriptionRequest{subscriber: sub, unsubscribe: true})
	host.updates <- []catalogue.Update{update}
	host.requestSubscription(ctx, subscriptionRequest{subscriber: &subscriber{updates: make(chan catalogue.Update, feedQueueLength), cancel: cancel}})
	return len(sub.updates)
}

// DecisionInputs applies updates in a control loop, one after the other, and returns the catalogue that decisions are based
// on, and when the records of a source in it were confirmed.
func DecisionInputs(ctx context.Context, network Network, updates ...catalogue.Update) func(catalogue.Source) (*catalogue.Catalogue, time.Time) {
	host := runControl(ctx, network)
	for _, update := range updates {
		host.updates <- []catalogue.Update{update}
	}
	host.requestSubscription(ctx, subscriptionRequest{subscriber: &subscriber{}, unsubscribe: true}) // all have been applied
	return func(source catalogue.Source) (*catalogue.Catalogue, time.Time) {
		state := host.snapshot.Load()
		return state.catalogue, state.catalogueConfirmed[source]
	}
}

// ForwardedUpdates applies updates in a control loop and returns those that a subscriber gets.
func ForwardedUpdates(ctx context.Context, network Network, updates ...catalogue.Update) []catalogue.Update {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	host := runControl(ctx, network)
	sub := &subscriber{updates: make(chan catalogue.Update, feedQueueLength), cancel: cancel}
	host.requestSubscription(ctx, subscriptionRequest{subscriber: sub})
	for _, update := range updates {
		host.updates <- []catalogue.Update{update}
	}
	host.requestSubscription(ctx, subscriptionRequest{subscriber: sub, unsubscribe: true}) // all have been applied
	return appendQueued(sub.updates, nil)
}

// FeedsAccepted requests feeds from a host with some limits and returns how many it accepts.
func FeedsAccepted(ctx context.Context, network Network, limits Limits, requests int) int {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	host := runControl(ctx, network)
	host.activeSettings.Store(&Settings{Limits: limits})
	var refused atomic.Int32
	for range requests {
		host.requestSubscription(ctx, subscriptionRequest{subscriber: &subscriber{cancel: func() { refused.Add(1) }}})
	}
	host.requestSubscription(ctx, subscriptionRequest{subscriber: &subscriber{}, unsubscribe: true})
	return requests - int(refused.Load())
}

// SendFailures sends a datagram and returns the value of the send failure counter.
func SendFailures(network Network, logger hclog.Logger) float64 {
	host := &Host{network: network, metrics: newMetrics()}
	host.log.Logger, host.log.Now = logger, network.Now
	host.send(nil, netip.AddrPort{})
	return host.counter("rattanthread_send_failures_total", "")
}

// counter returns the value of a counter, of the one with a label value if that is not empty.
func (h *Host) counter(name, label string) float64 {
	families, err := h.metrics.registry.Gather()
	if err != nil {
		panic(err)
	}
	for _, family := range families {
		for _, metric := range family.GetMetric() {
			if family.GetName() == name && (label == "" || metric.GetLabel()[0].GetValue() == label) {
				return metric.GetCounter().GetValue()
			}
		}
	}
	return 0
}

// AgesRejectedInCatalogue applies an update in a control loop. It returns how many ages were rejected, and
// the version of the source of the update.
func AgesRejectedInCatalogue(ctx context.Context, network Network, update catalogue.Update) (float64, catalogue.Version) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	host := runControl(ctx, network)
	host.updates <- []catalogue.Update{update}
	host.requestSubscription(ctx, subscriptionRequest{subscriber: &subscriber{}, unsubscribe: true}) // it has been applied
	return host.counter("rattanthread_ages_rejected_total", ageInCatalogue), host.snapshot.Load().versions[update.Source]
}

// ApplyUpdate decodes a feed message and returns the catalogue that results from it.
func ApplyUpdate(now time.Time, data []byte) (*catalogue.Catalogue, error) {
	message, err := decodeMessage(data)
	if err != nil {
		return nil, err
	}
	var tracker catalogue.Tracker
	for _, update := range message.updates(now) {
		tracker.Apply(now, update)
	}
	return tracker.Current(), nil
}

// EncodeUpdate encodes updates as a feed message.
func EncodeUpdate(updates ...catalogue.Update) ([]byte, error) {
	return cbor.Marshal(feedMessage{Updates: updates})
}

// FeedMessage encodes the message that a host sends to a subscriber with an update, given when each of
// its sources was confirmed.
func FeedMessage(now time.Time, confirmed [catalogue.SourceCount]time.Time, update catalogue.Update) ([]byte, error) {
	host := Host{network: Network{Now: func() time.Time { return now }}}
	host.snapshot.Store(&snapshot{confirmed: confirmed})
	return cbor.Marshal(host.newFeedMessage([]catalogue.Update{update}, &subscriber{requestedAt: now}))
}

// UpdatesOf decodes a feed message and returns its updates.
func UpdatesOf(now time.Time, data []byte) ([]catalogue.Update, error) {
	message, err := decodeMessage(data)
	return message.updates(now), err
}

// descriptionPattern matches the text form of a prometheus.Desc.
var descriptionPattern = regexp.MustCompile(`fqName: "([^"]+)".*variableLabels: \{([^}]*)\}`)

// ExportedMetrics returns the label names of each metric of a host.
func ExportedMetrics() map[string][]string {
	descriptions := make(chan *prometheus.Desc, 64)
	newMetrics().registry.Describe(descriptions)
	close(descriptions)
	exported := make(map[string][]string)
	for d := range descriptions {
		if parts := descriptionPattern.FindStringSubmatch(d.String()); parts != nil {
			exported[parts[1]] = strings.Split(parts[2], ",")
		}
	}
	return exported
}

// Announce sends one announcement to another host.
func Announce(ctx context.Context, network Network) error {
	a := announcer{host: &Host{network: network}}
	return a.announce(ctx, fleet.Host{ID: "front-a-2"})
}

// ConfirmedAt returns the last time at which a host knew the records of a source to be current.
func ConfirmedAt(h *Host, source catalogue.Source) time.Time {
	return h.snapshot.Load().confirmed[source]
}

// ProbeOfEarlierStart records that a server refused a probe, after its record has changed, and
// reports whether the server counts as unreachable.
func ProbeOfEarlierStart(network Network, before, after catalogue.Update) bool {
	host := Host{network: network, metrics: newMetrics()}
	host.log.Logger, host.log.Now = hclog.NewNullLogger(), network.Now
	var tracker catalogue.Tracker
	tracker.Apply(network.Now(), before)
	server := tracker.Current().Server(catalogue.CookieOf(before.Records[0].Server.ID))
	tracker.Apply(network.Now(), after)
	host.snapshot.Store(&snapshot{catalogue: tracker.Current()})
	host.recordProbe(server, forwarding.Probe{Server: server.Cookie, Began: network.Now(), Evidence: placement.Refused})
	return host.forwarder.Chooser.Reachability.Unreachable(server.Cookie)
}

// PoolSize returns how many servers of a service may get new flows from a host.
func PoolSize(h *Host, service fleet.ServiceName) int {
	return len(h.snapshot.Load().catalogue.Pool(service).All)
}

// LoadTracker is the part of a load.Tracker that a host uses for load reports.
type LoadTracker loadExchange

// SetLoadTracker sets the tracker of a host that does not run yet.
func SetLoadTracker(h *Host, tracker LoadTracker) { h.loadExchange = loadExchange(tracker) }

// MaxLoadReportBytes bounds the reports that a host sends.
const MaxLoadReportBytes = maxLoadReportBytes

// EncodeLoadReport encodes a report and returns how many servers it omits.
func EncodeLoadReport(sender fleet.HostID, report load.Report) ([]byte, int, error) {
	return reportFormat{list: load.NewServerList(nil)}.encode(sender, report)
}

// FeedFanout is the number of children of a host in the feed tree.
const FeedFanout = feedFanout

// MaxPackedReportBytes bounds the packed reports with positions that a host sends.
const MaxPackedReportBytes = maxPackedReportBytes

// EncodePackedReport encodes a report for a peer with the same list of servers and returns how many servers
// it omits.
func EncodePackedReport(sender fleet.HostID, report load.Report, list *load.ServerList) ([]byte, int, error) {
	return reportFormat{list: list, peer: list.Digest()}.encode(sender, report)
}

// NextReport returns when a report may follow one of some bytes that was due at a time, to a peer with the
// same list of servers or with another one.
func NextReport(now, due time.Time, size int, sameList bool) time.Time {
	f := reportFormat{list: load.NewServerList(nil)}
	if sameList {
		f.peer = f.list.Digest()
	}
	return f.next(now, due, size)
}

// ReportDecoder decodes the load reports of a peer at a host that does not run.
type ReportDecoder struct{ peer loadPeer }

// NewReportDecoder returns a ReportDecoder for a host with a list of servers.
func NewReportDecoder(peer fleet.HostID, list *load.ServerList) *ReportDecoder {
	host := &Host{network: Network{Now: time.Now}, metrics: newMetrics()}
	host.log.Logger = hclog.NewNullLogger()
	host.snapshot.Store(&snapshot{})
	host.serverLists = serverLists{lists: []*load.ServerList{list}}
	host.loadExchange.Receive = func(time.Time, fleet.HostID, load.Report) error { return nil }
	return &ReportDecoder{loadPeer{host: host, id: peer}}
}

// Decode decodes and checks an encoded report.
func (d *ReportDecoder) Decode(data []byte) error {
	_, err := d.peer.accept(data)
	return err
}

// ServerLists are the lists of servers of a host.
type ServerLists struct{ lists serverLists }

// Current returns the list of a catalogue.
func (l *ServerLists) Current(current *catalogue.Catalogue, dataCentre fleet.DataCentreID) *load.ServerList {
	return l.lists.current(current, dataCentre)
}

// Find returns the list with a digest, or nil.
func (l *ServerLists) Find(digest load.ListDigest) *load.ServerList { return l.lists.find(digest) }

// Metric returns the value of the first metric of a name whose label values include the given
// ones, or zero if there is none.
func Metric(h *Host, name string, labels ...string) float64 {
	families, err := h.metrics.registry.Gather()
	if err != nil {
		panic(err)
	}
	for _, family := range families {
		if family.GetName() != "rattanthread_"+name {
			continue
		}
		for _, metric := range family.GetMetric() {
			var values []string
			for _, label := range metric.GetLabel() {
				values = append(values, label.GetValue())
			}
			if !slices.ContainsFunc(labels, func(label string) bool { return !slices.Contains(values, label) }) {
				return metric.GetCounter().GetValue() + metric.GetGauge().GetValue()
			}
		}
	}
	return 0
}

// ServerEstimate is the estimate of a server.
type ServerEstimate struct {
	Server   fleet.ServerID
	Estimate load.Estimate
}

// LoadRecorder records loads for a host that does not run.
type LoadRecorder struct{ Host *Host }

// NewLoadRecorder returns a LoadRecorder that logs to a logger.
func NewLoadRecorder(network Network, logger hclog.Logger) LoadRecorder {
	host := &Host{network: network, metrics: newMetrics()}
	host.log.Logger, host.log.Now = logger, network.Now
	return LoadRecorder{host}
}

// Estimates records the estimates of the servers of a service.
func (r LoadRecorder) Estimates(service fleet.ServiceName, servers ...ServerEstimate) {
	var estimates []serverEstimate
	for _, s := range servers {
		estimates = append(estimates, serverEstimate{s.Server, s.Estimate})
	}
	r.Host.recordEstimates(service, estimates)
}

// Spillover records the spillover of a service.
func (r LoadRecorder) Spillover(service fleet.ServiceName, fraction float64) {
	r.Host.recordSpillover(service, fraction)
}

// Admission records the admission of a priority to the servers of the host's data centre.
func (r LoadRecorder) Admission(service fleet.ServiceName, priority int, fraction float64) {
	r.Host.recordAdmission(admissionKey{r.Host.Settings.DataCentre, service, priority}, fraction)
}

// AdmissionElsewhere records the admission to the servers of other data centres.
func (r LoadRecorder) AdmissionElsewhere(services []fleet.ServiceName, admitted ...load.DataCentreAdmission) {
	r.Host.recordAdmissionElsewhere(services, admitted)
}

// Decision counts and logs a decision on an opening packet.
func (r LoadRecorder) Decision(decision forwarding.Decision) {
	r.Host.metrics.countDecision(decision)
	r.Host.logDecision(forwarding.Packet{Kind: forwarding.Opening}, decision, &snapshot{}, r.Host.network.Now())
}

// NewLoadHost returns a host that does not run, with the records of updates and its load estimates.
func NewLoadHost(network Network, logger hclog.Logger, settings Settings, updates ...catalogue.Update) *Host {
	host := &Host{network: network, metrics: newMetrics(), Settings: settings}
	host.log.Logger, host.log.Now = logger, network.Now
	host.activeSettings.Store(&settings)
	var tracker catalogue.Tracker
	for _, update := range updates {
		tracker.Apply(network.Now(), update)
	}
	host.snapshot.Store(&snapshot{catalogue: tracker.Current()})
	host.forwarder.Chooser.DataCentre = settings.DataCentre
	host.applyLearning()
	host.useLoadTracker()
	return host
}

// Forwarder returns the forwarder of a host that does not run.
func Forwarder(h *Host) *forwarding.Forwarder { return &h.forwarder }

// LoadsOf returns what a host reports to other data centres.
func LoadsOf(h *Host) load.DataCentreLoads { return h.loadExchange.Short(h.network.Now()) }

// PreviewOf returns the preview of a flow.
func PreviewOf(h *Host, packet forwarding.Packet) FlowPreview { return h.preview(packet) }

// ObserveLoads exports the loads.
func ObserveLoads(h *Host) { h.observeLoads() }

// MaxLoadsMessageBytes bounds the messages between data centres that a host accepts.
const MaxLoadsMessageBytes = maxLoadsMessageBytes

// Forget forgets a service.
func (r LoadRecorder) Forget(service fleet.ServiceName) { r.Host.forgetLoads(service) }

// EnqueueUpdate passes an update to the control loop that its subscribers get.
func EnqueueUpdate(h *Host) {
	version := h.snapshot.Load().versions[catalogue.Evacuations] + 1
	h.updates <- []catalogue.Update{{Source: catalogue.Evacuations, Version: version, AsOf: h.network.Now()}}
}

// AnnouncedHosts returns how many hosts have announced a catalogue.
func AnnouncedHosts(h *Host) int { return len(h.announcedHosts.Addresses(h.network.Now())) }

// LoadStreams returns the number of streams with a peer.
func LoadStreams(h *Host, peer fleet.HostID) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.loadStreams[peer]
}

// KnownHosts returns the hosts in the catalogue.
func KnownHosts(h *Host) []fleet.Host { return h.snapshot.Load().catalogue.Hosts() }

// LoadsHandler returns the handler of the streams between data centres, and a function that accepts
// them and closes ready when it does.
func LoadsHandler(next http.Handler) (http.Handler, func(ctx context.Context, ready chan<- struct{}, accept func(context.Context, *Stream)) error) {
	endpoint := new(loadsEndpoint)
	return endpoint.handler(next), func(ctx context.Context, ready chan<- struct{}, accept func(context.Context, *Stream)) error {
		served := make(chan error, 1)
		go func() { served <- endpoint.serve(ctx, accept) }()
		for endpoint.accept.Load() == nil {
			runtime.Gosched()
		}
		close(ready)
		return <-served
	}
}

// DialLoads opens a stream to another data centre.
func DialLoads(ctx context.Context, to netip.AddrPort) (*Stream, error) { return dialLoads(ctx, to) }
