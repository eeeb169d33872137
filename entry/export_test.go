package entry

import (
	"context"
	"net/netip"
	"regexp"
	"strings"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/rattanthread/rattanthread/catalogue"
	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/placement"
)

// Watcher looks at a settings file when a test says so.
type Watcher struct{ w settingsWatcher }

// NewWatcher returns a Watcher that has read the file once.
func NewWatcher(path string, last []byte, logger hclog.Logger) *Watcher {
	return &Watcher{settingsWatcher{path: path, last: last, logger: logger, changed: make(chan Settings, 1)}}
}

// Look reads the file again.
func (w *Watcher) Look(ctx context.Context) { w.w.look(ctx) }

// Changed returns the settings that were passed on.
func (w *Watcher) Changed() <-chan Settings { return w.w.changed }

// Ask probes a server over a network beside witnesses.
func Ask(ctx context.Context, network Network, server *catalogue.Server, witnesses ...*catalogue.Server) placement.Evidence {
	h := Host{network: network}
	h.snapshot.Store(&snapshot{})
	return h.ask(ctx, server, witnesses, probeAttempts)
}

// Probe probes a server until it is reachable.
func Probe(ctx context.Context, network Network, answer catalogue.Update) {
	h := Host{network: network, metrics: newMetrics()}
	h.log.Logger = hclog.NewNullLogger()
	var tracker catalogue.Tracker
	tracker.Apply(network.Now(), answer)
	h.snapshot.Store(&snapshot{catalogue: tracker.Current()})
	server := answer.Records[0].Server
	h.probeServer(ctx, h.snapshot.Load().catalogue.Server(catalogue.CookieOf(server.ID)))
}

// runControl runs a control loop until ctx ends.
func runControl(ctx context.Context, network Network) *Host {
	h := &Host{network: network, metrics: newMetrics(), joins: make(chan subscription), answers: make(chan []catalogue.Update), ready: make(chan struct{})}
	h.log.Logger = hclog.NewNullLogger()
	h.snapshot.Store(&snapshot{})
	h.current.Store(&Settings{})
	go func() { _ = (&control{host: h}).run(ctx) }()
	return h
}

// TakeFirst runs a control loop that takes in one answer, and reports whether it
// lives on.
func TakeFirst(ctx context.Context, network Network, answer catalogue.Update) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	h := runControl(ctx, network)
	h.answers <- []catalogue.Update{answer}
	return h.subscribe(ctx, subscription{subscriber: &subscriber{drop: cancel}})
}

// FedAfterLeaving lets another host join and leave a feed, and returns how many
// answers it is handed afterwards.
func FedAfterLeaving(ctx context.Context, network Network, answer catalogue.Update) int {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	h := runControl(ctx, network)
	s := &subscriber{answers: make(chan catalogue.Update, feedQueue), drop: cancel}
	h.subscribe(ctx, subscription{subscriber: s})
	h.subscribe(ctx, subscription{subscriber: s, leaves: true})
	h.answers <- []catalogue.Update{answer}
	h.subscribe(ctx, subscription{subscriber: &subscriber{answers: make(chan catalogue.Update, feedQueue), drop: cancel}})
	return len(s.answers)
}

// FeedsAccepted asks a host of some limits for many feeds, and returns how many it gives.
func FeedsAccepted(ctx context.Context, network Network, limits Limits, asked int) int {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	h := runControl(ctx, network)
	h.current.Store(&Settings{Limits: limits})
	var refused atomic.Int32
	for range asked {
		h.subscribe(ctx, subscription{subscriber: &subscriber{drop: func() { refused.Add(1) }}})
	}
	h.subscribe(ctx, subscription{subscriber: &subscriber{}, leaves: true})
	return asked - int(refused.Load())
}

// SendFailures sends a datagram and returns how many sends have failed.
func SendFailures(network Network, logger hclog.Logger) float64 {
	h := &Host{network: network, metrics: newMetrics()}
	h.log.Logger, h.log.Now = logger, network.Now
	h.send(nil, netip.AddrPort{})
	families, err := h.metrics.registry.Gather()
	if err != nil {
		panic(err)
	}
	for _, family := range families {
		if family.GetName() == "rattanthread_send_failures_total" {
			return family.GetMetric()[0].GetCounter().GetValue()
		}
	}
	return 0
}

// TakeUpdate reads a message of a feed as a host does, and lets a tracker take it in.
func TakeUpdate(now time.Time, message []byte) (*catalogue.Catalogue, error) {
	u, err := decodeUpdate(message)
	if err != nil {
		return nil, err
	}
	var tracker catalogue.Tracker
	for _, a := range u.answers(now) {
		tracker.Apply(now, a)
	}
	return tracker.Current(), nil
}

// EncodeUpdate returns a message of a feed.
func EncodeUpdate(answers ...catalogue.Update) ([]byte, error) {
	return cbor.Marshal(update{Answers: answers})
}

// descriptionForm is how the metrics' library prints a description.
var descriptionForm = regexp.MustCompile(`fqName: "([^"]+)".*variableLabels: \{([^}]*)\}`)

// ExportedMetrics returns the metrics of a host with their labels.
func ExportedMetrics() map[string][]string {
	descriptions := make(chan *prometheus.Desc, 64)
	newMetrics().registry.Describe(descriptions)
	close(descriptions)
	exported := make(map[string][]string)
	for d := range descriptions {
		if parts := descriptionForm.FindStringSubmatch(d.String()); parts != nil {
			exported[parts[1]] = strings.Split(parts[2], ",")
		}
	}
	return exported
}

// Announce tells another host that this one knows.
func Announce(ctx context.Context, network Network) error {
	a := announcer{host: &Host{network: network}}
	return a.announce(ctx, fleet.Host{ID: "front-a-2"})
}
