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
	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/forwarding"
	"github.com/rattanthread/rattanthread/placement"
	"github.com/rattanthread/rattanthread/upstream"
)

// shutdownDelay is how long a stopping host keeps forwarding. The fabric takes a host out of
// the rotation after two failed health checks, half a second apart.
const shutdownDelay = 1600 * time.Millisecond

// Host is one entry host. Settings and Logger must be set.
type Host struct {
	Settings Settings
	Logger   hclog.Logger
	// Reload delivers changed settings; nil means that they never change. Settings that
	// require a restart are ignored.
	Reload <-chan Settings
	// Record, if set, is called with each event and must not block.
	Record func(Event)
	// Network replaces the sockets and the clock. Nil means those of the operating system.
	Network *Network

	// activeSettings are the settings in force, with all reloads.
	activeSettings atomic.Pointer[Settings]
	snapshot       atomic.Pointer[snapshot]
	network        Network
	log            decisionlog.Log
	metrics        *metrics
	// packetCount counts the packets that were decided on.
	packetCount uint64
	// mu guards forwarder, which the packet, control and probe goroutines use.
	mu        sync.Mutex
	forwarder forwarding.Forwarder
	// loadExchange is set before Run. loadStreams holds the number of streams with each host that
	// may send load reports; mu guards it.
	loadExchange loadExchange
	// loadServices are the services whose load was exported last.
	loadServices []fleet.ServiceName
	loadStreams  map[fleet.HostID]int
	loadStates   loadStates
	serverLists  serverLists
	// ranksFirst reports whether no host that ranks before this one in its data centre responds.
	ranksFirst atomic.Bool
	// acceptedLoads is the number of streams of hosts in other data centres.
	acceptedLoads atomic.Int32
	// observedSince is the time since which the host has exchanged loads, in Unix nanoseconds, or zero.
	observedSince atomic.Int64
	probes        chan *catalogue.Server
	stopping      atomic.Bool
	// isolated is the last result of checkIsolation.
	isolated atomic.Bool
	// storeUnavailable reports whether the last store call for the servers has failed.
	storeUnavailable atomic.Bool
	// readIndex is the latest version of the store that a linearizable call returned.
	readIndex catalogue.ReadIndex
	// storeEpoch is the latest known epoch of the store.
	storeEpoch atomic.Uint64
	// ready is closed when the first catalogue that is sufficient for forwarding is published.
	ready         chan struct{}
	readyOnce     sync.Once
	updates       chan []catalogue.Update
	subscriptions chan subscriptionRequest
	done          <-chan struct{}
	// announcedHosts are the hosts that have announced a catalogue. A host without one can use
	// them as its upstream.
	announcedHosts upstream.Announcements
	// upstreamFreshUntil is the time until which the upstream replaces reading the store, in
	// Unix nanoseconds.
	upstreamFreshUntil atomic.Int64
}

// snapshot is the state that the control loop publishes for the other goroutines.
type snapshot struct {
	catalogue *catalogue.Catalogue
	// versions and confirmed hold the version of each source and when it was last confirmed. The catalogue
	// may not have the latest changes yet.
	versions  [catalogue.SourceCount]catalogue.Version
	confirmed [catalogue.SourceCount]time.Time
	// catalogueConfirmed is when the records of each source in the catalogue were last confirmed.
	catalogueConfirmed [catalogue.SourceCount]time.Time
	// catalogueComplete is when each source was last known to have no other records than the catalogue.
	catalogueComplete [catalogue.SourceCount]time.Time
}

// confirmation returns the times of confirmation that decisions depend on.
func (s *snapshot) confirmation() forwarding.Confirmation {
	return forwarding.Confirmation{
		Configuration: s.catalogueConfirmed[catalogue.Configurations],
		Routes:        s.catalogueComplete[catalogue.Configurations],
		Servers:       s.catalogueComplete[catalogue.Servers],
	}
}

// Run runs the host until ctx ends and then stops it gracefully: health checks fail from
// then on, and packets are forwarded until the fabric sends them to other hosts.
func (h *Host) Run(ctx context.Context) error {
	if err := h.open(); err != nil {
		return err
	}
	h.activeSettings.Store(&h.Settings)
	h.log = decisionlog.Log{Logger: h.Logger.Named(string(h.Settings.Host)), Now: h.network.Now}
	h.metrics = newMetrics()
	h.metrics.now = h.network.Now
	h.log.Line("start", "host", h.Settings.Host, "data_centre", h.Settings.DataCentre)
	h.forwarder.Chooser.DataCentre = h.Settings.DataCentre
	h.forwarder.Chooser.Warmup = placement.WarmupLimiter{Self: h.Settings.Host, Limit: h.Settings.Bounds.warmupLimit()}
	h.useLoadTracker()
	h.applyLearning()
	h.record(Event{Settings: &h.Settings})
	h.probes = make(chan *catalogue.Server, maxQueuedProbes)
	h.ready = make(chan struct{})
	h.updates = make(chan []catalogue.Update, catalogue.SourceCount)
	h.subscriptions = make(chan subscriptionRequest)
	h.snapshot.Store(&snapshot{})
	workCtx, stopWork := context.WithCancel(context.Background())
	defer stopWork()
	h.done = workCtx.Done()
	go func() {
		h.awaitStop(ctx, workCtx)
		stopWork()
		h.network.Close()
	}()
	if err := h.supervisorTree().Serve(workCtx); !errors.Is(err, context.Canceled) {
		return errors.Wrap(err, "run supervisor tree")
	}
	return nil
}

// bound returns the time within which a change of a source must be in force.
func (h *Host) bound(source catalogue.Source) time.Duration {
	bounds := h.activeSettings.Load().Bounds
	switch source {
	case catalogue.Servers:
		return bounds.Drain
	case catalogue.Evacuations:
		return bounds.Evacuation
	case catalogue.Configurations, catalogue.Hosts:
	}
	return bounds.Configuration
}

// open opens the sockets of the host, all or none.
func (h *Host) open() error {
	if h.Network != nil {
		h.network = *h.Network
		return nil
	}
	network, err := listen(h.Settings)
	h.network = network
	return err
}

// awaitStop waits until ctx ends, and then until the host may stop forwarding.
func (h *Host) awaitStop(ctx, workCtx context.Context) {
	select {
	case <-ctx.Done():
	case <-workCtx.Done():
		return
	}
	h.stopping.Store(true)
	h.log.Line("stopping", "host", h.Settings.Host)
	timer := time.NewTimer(min(shutdownDelay, h.activeSettings.Load().Bounds.Stop))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-workCtx.Done():
	}
}

// reload applies changed settings: the store, the seeds, the bounds and learning.
func (h *Host) reload(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case changed := <-h.Reload:
			next := *h.activeSettings.Load()
			next.Store, next.Peers, next.Bounds, next.Load = changed.Store, changed.Peers, changed.Bounds, changed.Load
			h.activeSettings.Store(&next)
			h.mu.Lock()
			h.forwarder.Chooser.Warmup.Limit = next.Bounds.warmupLimit()
			h.applyLearning()
			h.mu.Unlock()
			restart := next.Listen != changed.Listen || next.Host != changed.Host || next.DataCentre != changed.DataCentre
			h.log.Line("reloaded", "store", next.Store.Address, "needs_restart", restart)
		}
	}
}
