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

// queuedEvents is how many control events may wait.
const queuedEvents = 4096

// loop is the goroutine that owns the control state.
type loop struct {
	host           *Host
	parts          *parts
	events         chan control.Event
	core           atomic.Pointer[control.Core]
	stepped        atomic.Int64   // unix nanoseconds of the last step
	window         *packet.Window // of handed packets seen, shared by the handoff workers
	superseded     chan struct{}
	supersededOnce sync.Once
	stopped        chan struct{}
	ended          chan struct{} // closed when the host has ended
}

func newLoop(h *Host, p *parts) *loop {
	l := &loop{
		host:       h,
		parts:      p,
		events:     make(chan control.Event, queuedEvents),
		window:     new(packet.Window),
		superseded: make(chan struct{}),
		stopped:    make(chan struct{}),
		ended:      make(chan struct{}),
	}
	l.core.Store(l.newCore())
	return l
}

func (l *loop) newCore() *control.Core {
	s := l.host.Settings
	seed := uint64(l.host.Incarnation)
	return control.New(control.Options{
		Self:    l.parts.self,
		Seeds:   seeds(l.host),
		Random:  rand.New(rand.NewPCG(seed, seed)),
		Timing:  membership.Timing{Probe: s.Peers.Heartbeat, Suspicion: s.Peers.Suspicion},
		Flows:   flow.Limits{Records: s.Limits.ExceptionalFlow},
		Keys:    request.Limits{MaxClaims: s.Limits.RequestKeys, MaxSkew: s.Limits.CallerClockSkew},
		FlowKey: flowKey(l.parts.key),
		Clock:   l.host.Now,
	})
}

func seeds(h *Host) []fleet.Host {
	hosts := make([]fleet.Host, 0, len(h.Settings.Peers.Seeds))
	for _, s := range h.Settings.Peers.Seeds {
		if s.Host == h.Settings.Host {
			continue
		}
		hosts = append(hosts, fleet.Host{
			ID:             s.Host,
			DataCentre:     s.DataCentre,
			PeerAddress:    s.Peer,
			HandoffAddress: s.Handoff,
		})
	}
	return hosts
}

// serve steps the control state. After a crash it starts again with a new state
// that keeps the configuration in force; traffic goes on with the last snapshot
// until the new state is ready.
func (l *loop) serve(ctx context.Context) error {
	core := l.core.Load()
	if core.Snapshot() != nil {
		core = l.recover(core)
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

// recover returns a new control state after a crash of the old one.
func (l *loop) recover(old *control.Core) *control.Core {
	core := l.newCore()
	if s := old.Snapshot(); s.Configured {
		core.Step(l.host.Now(), &control.RevisionRead{Revised: s.Revised})
		core.Step(l.host.Now(), &control.HostsRead{Hosts: s.Live})
	}
	l.core.Store(core)
	return core
}

func (l *loop) step(core *control.Core, event control.Event) {
	now := l.host.Now()
	ask, asks := event.(*claimAsk)
	if asks {
		event = &ask.ClaimRequested
	}
	if l.host.Record != nil {
		l.host.Record(now, event)
	}
	out := core.Step(now, event)
	if asks {
		l.parts.requests.claimed(ask, out.Attempt)
	}
	l.parts.requests.answer(out.Verdicts)
	l.stepped.Store(now.UnixNano())
	for _, send := range out.Sends {
		l.parts.hub.Send(send)
	}
	if out.Changed {
		l.publish(core.Snapshot())
	}
	if event.EventKind() == control.KindStop {
		close(l.stopped)
	}
}

// publish makes the new snapshot known to the other parts.
func (l *loop) publish(s *control.Snapshot) {
	l.parts.requests.install(s)
	state := describe(l.host, s)
	old := l.host.state.Swap(&state)
	l.logChanges(old, &state)
	if l.host.Notify != nil {
		l.host.Notify(state)
	}
	l.parts.counters.revision.Set(float64(state.Revision))
	if s.Superseded {
		l.supersede()
	}
}

// supersede ends the host: a later incarnation of it has taken its place.
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

// deliver queues a message of a peer.
func (l *loop) deliver(from fleet.HostID, m fleet.Message) {
	l.give(&control.MessageReceived{From: from, Message: m})
}

// give queues an event, or drops and counts it when the queue is full. Peers
// repeat what matters, and so do probes and reads.
func (l *loop) give(event control.Event) {
	select {
	case l.events <- event:
	default:
		l.parts.counters.droppedEvents.WithLabelValues(string(event.EventKind())).Inc()
	}
}

// offer queues an event that must not be lost. It reports whether the event was
// queued before ctx or the host ended.
func (l *loop) offer(ctx context.Context, event control.Event) bool {
	select {
	case l.events <- event:
		return true
	case <-ctx.Done():
		return false
	case <-l.ended:
		return false
	}
}

// stop takes the planned stop through the control state.
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

// snapshot returns the last snapshot, or nil.
func (l *loop) snapshot() *control.Snapshot { return l.core.Load().Snapshot() }

// isStale reports whether the control state has stood still for too long.
func (l *loop) isStale(now time.Time) bool {
	return now.UnixNano()-l.stepped.Load() > int64(control.StaleAfter)
}

// peerAddress returns where a peer listens.
func (l *loop) peerAddress(id fleet.HostID) (netip.AddrPort, bool) {
	if s := l.snapshot(); s != nil {
		if host, ok := s.Hosts[id]; ok {
			return host.PeerAddress, true
		}
	}
	for _, s := range l.host.Settings.Peers.Seeds {
		if s.Host == id {
			return s.Peer, true
		}
	}
	return netip.AddrPort{}, false
}

// observe queues evidence about a backend server.
func (l *loop) observe(e backend.Evidence) {
	l.give(&control.EvidenceSeen{Evidence: e})
}
