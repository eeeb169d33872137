package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/rattanthread/rattanthread/catalogue"
	"github.com/rattanthread/rattanthread/decisionlog"
	"github.com/rattanthread/rattanthread/forwarding"
	"github.com/rattanthread/rattanthread/placement"
	"github.com/rattanthread/rattanthread/upstream"
)

// lingerTime is how long a stopping host goes on forwarding. The fabric takes a
// host out after two missed health checks, half a second apart.
const lingerTime = 1600 * time.Millisecond

// Host is one entry host. Settings and Logger must be set.
type Host struct {
	Settings Settings
	Logger   hclog.Logger
	// Reload sends settings that have changed; nil means that none do. What can't
	// change while the host runs is left as it is.
	Reload <-chan Settings
	// Record takes each event and what was decided, if it is set. It must not block.
	Record func(Event)
	// Network replaces sockets and clock; nil means the machine's own.
	Network *Network

	// current holds the settings in force.
	current  atomic.Pointer[Settings]
	snapshot atomic.Pointer[snapshot]
	network  Network
	log      decisionlog.Log
	metrics  *metrics
	// packets counts the packets that were decided on.
	packets uint64
	// mu guards forwarder, which the packet, control and probe goroutines use.
	mu        sync.Mutex
	forwarder forwarding.Forwarder
	probes    chan *catalogue.Server
	stopping  atomic.Bool
	// isolated says what was last found of whether the host reaches any server.
	isolated atomic.Bool
	// storeLost says that the last call on the store for servers has failed.
	storeLost atomic.Bool
	// ready is closed at the first catalogue that suffices to forward.
	ready     chan struct{}
	readyOnce sync.Once
	answers   chan []catalogue.Update
	joins     chan subscription
	done      <-chan struct{}
	// introductions are the hosts that a blind one may learn from.
	introductions upstream.Announcements
	// fedUntil is how long the upstream is relied on, in nanoseconds since 1970.
	fedUntil atomic.Int64
}

// snapshot is what the control loop publishes for the other goroutines.
type snapshot struct {
	catalogue *catalogue.Catalogue
	// versions and confirmed tell how far each source is known, and since when.
	versions  [catalogue.SourceCount]catalogue.Version
	confirmed [catalogue.SourceCount]time.Time
}

// Run serves until ctx ends, then stops without cutting a flow: it leaves the
// rotation first and forwards until the fabric has moved on.
func (h *Host) Run(ctx context.Context) error {
	if err := h.open(); err != nil {
		return err
	}
	h.current.Store(&h.Settings)
	h.log = decisionlog.Log{Logger: h.Logger.Named(string(h.Settings.Host)), Now: h.network.Now}
	h.metrics = newMetrics()
	h.log.Line("start", "host", h.Settings.Host, "data_centre", h.Settings.DataCentre)
	h.forwarder.Chooser.DataCentre = h.Settings.DataCentre
	h.forwarder.Chooser.Warmup = placement.WarmupLimiter{Self: h.Settings.Host, Limit: h.Settings.Bounds.cold()}
	h.record(Event{Settings: &h.Settings})
	h.probes = make(chan *catalogue.Server, maxProbes)
	h.ready = make(chan struct{})
	h.answers = make(chan []catalogue.Update, catalogue.SourceCount)
	h.joins = make(chan subscription)
	h.snapshot.Store(&snapshot{})
	work, stopWork := context.WithCancel(context.Background())
	defer stopWork()
	h.done = work.Done()
	go func() {
		h.awaitStop(ctx, work)
		stopWork()
		h.network.Close()
	}()
	if err := h.tree().Serve(work); !errors.Is(err, context.Canceled) {
		return errors.Wrap(err, "serve")
	}
	return nil
}

// bound returns the time within which a change of a source must be in force.
func (h *Host) bound(source catalogue.Source) time.Duration {
	bounds := h.current.Load().Bounds
	switch source {
	case catalogue.Servers:
		return bounds.Drain
	case catalogue.Evacuations:
		return bounds.Evacuation
	case catalogue.Configurations, catalogue.Hosts:
	}
	return bounds.Configuration
}

// open opens the host's sockets, all or none.
func (h *Host) open() error {
	if h.Network != nil {
		h.network = *h.Network
		return nil
	}
	network, err := listen(h.Settings)
	h.network = network
	return err
}

// awaitStop returns when the host may stop forwarding.
func (h *Host) awaitStop(ctx, work context.Context) {
	select {
	case <-ctx.Done():
	case <-work.Done():
		return
	}
	h.stopping.Store(true)
	h.log.Line("stopping", "host", h.Settings.Host)
	timer := time.NewTimer(min(lingerTime, h.current.Load().Bounds.Stop))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-work.Done():
	}
}

// reload takes in changed settings: the store, the seeds and the bounds.
func (h *Host) reload(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case changed := <-h.Reload:
			next := *h.current.Load()
			next.Store, next.Peers, next.Bounds = changed.Store, changed.Peers, changed.Bounds
			h.current.Store(&next)
			h.mu.Lock()
			h.forwarder.Chooser.Warmup.Limit = next.Bounds.cold()
			h.mu.Unlock()
			restart := next.Listen != changed.Listen || next.Host != changed.Host || next.DataCentre != changed.DataCentre
			h.log.Line("reloaded", "store", next.Store.Address, "needs_restart", restart)
		}
	}
}
