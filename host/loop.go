package host

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rattanthread/rattanthread/backend"
	"github.com/rattanthread/rattanthread/control"
	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/flow"
	"github.com/rattanthread/rattanthread/membership"
	"github.com/rattanthread/rattanthread/packet"
	"github.com/rattanthread/rattanthread/request"
	"github.com/rattanthread/rattanthread/status"
)

// eventQueueSize is the maximum number of queued control events.
const eventQueueSize = 4096

// loop is the control loop: one goroutine that owns the control state.
type loop struct {
	host           *Host
	components     *hostComponents
	events         chan control.Event
	core           atomic.Pointer[control.Core]
	lastStep       atomic.Int64   // Unix nanoseconds
	window         *packet.Window // replay window, shared by the handoff workers
	superseded     chan struct{}
	supersededOnce sync.Once
	stopped        chan struct{} // closed when StopRequested has been applied
	hostDone       chan struct{} // closed when the host has stopped
}

func newLoop(host *Host, components *hostComponents) *loop {
	l := &loop{
		host:       host,
		components: components,
		events:     make(chan control.Event, eventQueueSize),
		window:     new(packet.Window),
		superseded: make(chan struct{}),
		stopped:    make(chan struct{}),
		hostDone:   make(chan struct{}),
	}
	l.core.Store(l.newCore())
	return l
}

func (l *loop) newCore() *control.Core {
	settings := l.host.Settings
	seed := uint64(l.host.Incarnation)
	return control.New(control.Options{
		Self:    l.components.self,
		Seeds:   seeds(l.host),
		Random:  rand.New(rand.NewPCG(seed, seed)),
		Timing:  membership.Timing{Probe: settings.Peers.Heartbeat, Suspicion: settings.Peers.Suspicion},
		Flows:   flow.Limits{Records: settings.Limits.ExceptionalFlows},
		Keys:    request.Limits{MaxClaims: settings.Limits.RequestKeys, MaxSkew: settings.Limits.CallerClockSkew},
		FlowKey: flowKey(l.components.key),
		Clock:   l.host.Now,
	})
}

func seeds(host *Host) []fleet.Host {
	hosts := make([]fleet.Host, 0, len(host.Settings.Peers.Seeds))
	for _, seed := range host.Settings.Peers.Seeds {
		if seed.Host == host.Settings.Host {
			continue
		}
		hosts = append(hosts, fleet.Host{
			ID:             seed.Host,
			DataCentre:     seed.DataCentre,
			PeerAddress:    seed.Peer,
			HandoffAddress: seed.Handoff,
		})
	}
	return hosts
}

// serve applies events to the control state. When it is restarted after a crash,
// it starts with a new state that keeps the configuration in force; traffic uses
// the last snapshot until the new state is ready.
func (l *loop) serve(ctx context.Context) error {
	core := l.core.Load()
	if core.Snapshot() != nil {
		core = l.recoverCore(core)
	}
	ticker := time.NewTicker(control.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			l.step(core, &control.Tick{})
		case event := <-l.events:
			l.step(core, event)
		}
	}
}

// recoverCore replaces the control state after a crash. The new one keeps the
// configuration and the live hosts of the old one.
func (l *loop) recoverCore(old *control.Core) *control.Core {
	core := l.newCore()
	if s := old.Snapshot(); s.Configured {
		core.Step(l.host.Now(), &control.RevisionRead{Published: s.Published})
		core.Step(l.host.Now(), &control.HostsRead{Hosts: s.Live})
	}
	l.core.Store(core)
	return core
}

func (l *loop) step(core *control.Core, event control.Event) {
	now := l.host.Now()
	claim, isClaim := event.(*pendingClaim)
	if isClaim {
		event = &claim.ClaimRequested
	}
	if l.host.Record != nil {
		l.host.Record(now, event)
	}
	out := core.Step(now, event)
	if isClaim {
		l.components.requests.registerAttempt(claim, out.Attempt)
	}
	l.components.requests.deliverVerdicts(out.Verdicts)
	l.lastStep.Store(now.UnixNano())
	for _, send := range out.Sends {
		l.components.hub.Send(send)
	}
	if out.Changed {
		l.publish(core.Snapshot())
	}
	if event.EventKind() == control.KindStop {
		close(l.stopped)
	}
}

// publish distributes a new snapshot to the other components.
func (l *loop) publish(snapshot *control.Snapshot) {
	l.components.requests.updateSnapshot(snapshot)
	state := snapshotStatus(l.host, snapshot)
	old := l.host.state.Swap(&state)
	l.logChanges(old, &state)
	if l.host.Notify != nil {
		l.host.Notify(state)
	}
	l.components.counters.revision.Set(float64(state.Revision))
	if snapshot.Superseded {
		l.supersede()
	}
}

// supersede stops the host because a later incarnation has replaced it.
func (l *loop) supersede() {
	l.supersededOnce.Do(func() { close(l.superseded) })
}

func (l *loop) logChanges(old, state *status.Host) {
	if old == nil || old.Ready != state.Ready || old.Reason != state.Reason {
		l.host.Logger.Info("readiness changed", "ready", state.Ready, "reason", state.Reason)
	}
	if old == nil || old.Revision != state.Revision {
		l.host.Logger.Info("revision in force", "revision", state.Revision)
	}
}

// deliver queues a message from a peer.
func (l *loop) deliver(from fleet.HostID, m fleet.Message) {
	l.enqueueOrDrop(&control.MessageReceived{From: from, Message: m})
}

// enqueueOrDrop queues an event, or drops and counts it when the queue is full.
// That is safe because peers resend important messages, and probes and platform
// reads repeat.
func (l *loop) enqueueOrDrop(event control.Event) {
	select {
	case l.events <- event:
	default:
		l.components.counters.droppedEvents.WithLabelValues(string(event.EventKind())).Inc()
	}
}

// enqueue queues an event that must not be lost, waiting for space in the queue. It
// reports whether the event was queued before ctx ended or the host stopped.
func (l *loop) enqueue(ctx context.Context, event control.Event) bool {
	select {
	case l.events <- event:
		return true
	case <-ctx.Done():
		return false
	case <-l.hostDone:
		return false
	}
}

// stop queues a StopRequested event and waits until the control loop has applied it.
func (l *loop) stop(ctx context.Context) {
	select {
	case l.events <- &control.StopRequested{}:
	case <-ctx.Done():
		return
	}
	select {
	case <-l.stopped:
	case <-ctx.Done():
	}
}

// snapshot returns the last snapshot, or nil if there is none.
func (l *loop) snapshot() *control.Snapshot { return l.core.Load().Snapshot() }

// isStale reports whether the control loop has made no progress for longer than
// control.StaleAfter.
func (l *loop) isStale(now time.Time) bool {
	return now.UnixNano()-l.lastStep.Load() > int64(control.StaleAfter)
}

// peerAddress returns the address where a peer listens, from the last snapshot or
// else from the seeds.
func (l *loop) peerAddress(id fleet.HostID) (netip.AddrPort, bool) {
	if snapshot := l.snapshot(); snapshot != nil {
		if host, ok := snapshot.Hosts[id]; ok {
			return host.PeerAddress, true
		}
	}
	for _, seed := range l.host.Settings.Peers.Seeds {
		if seed.Host == id {
			return seed.Peer, true
		}
	}
	return netip.AddrPort{}, false
}

// observe queues evidence about a backend server.
func (l *loop) observe(e backend.Evidence) {
	l.enqueueOrDrop(&control.EvidenceSeen{Evidence: e})
}
