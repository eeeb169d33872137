// Package host runs one entry host: a supervisor tree whose components own the
// sockets, the clock and the metrics. One goroutine owns the control state;
// packet workers and the request server read its snapshots.
//
// Run serves until its context ends, then performs a planned stop: it refuses
// new requests, finishes running ones, hands over its state to other hosts and
// leaves the membership.
package host

import (
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/rattanthread/rattanthread/backend"
	"github.com/rattanthread/rattanthread/control"
	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/flow"
	"github.com/rattanthread/rattanthread/peer"
	"github.com/rattanthread/rattanthread/registry"
	"github.com/rattanthread/rattanthread/settings"
	"github.com/rattanthread/rattanthread/status"
)

// Host is one entry host. Settings must be set before Run.
type Host struct {
	Settings settings.Settings
	// Logger may be nil.
	Logger hclog.Logger
	// Registry receives the metrics. Nil means a new one.
	Registry *prometheus.Registry
	// Incarnation identifies this run of the host; a later run has a higher number.
	// Zero means the start time in Unix nanoseconds.
	Incarnation fleet.Incarnation
	// Now returns the current time. Nil means time.Now.
	Now func() time.Time
	// Record, if set, is called by one goroutine with every control event before it
	// is applied.
	Record func(now time.Time, event control.Event)

	// Notify, if set, is called by one goroutine with each new status.
	Notify func(status.Host)

	once       sync.Once
	components *hostComponents
	killed     chan struct{}
	killOnce   sync.Once
	state      atomic.Pointer[status.Host]
}

// maxTrackedFlows is the maximum number of flows that the silence detector tracks.
const maxTrackedFlows = 1 << 16

// flowKey derives the key of the flow hash from the key that all hosts share, so
// that the flow hash does not reveal the shared key.
func flowKey(key []byte) (derived [16]byte) {
	mac := hmac.New(sha256.New, key)
	_, _ = mac.Write([]byte("rattanthread flow hash"))
	copy(derived[:], mac.Sum(nil))
	return derived
}

// hostComponents holds the components of a running host.
type hostComponents struct {
	self            fleet.Host
	key             []byte
	sockets         *sockets
	counters        *counters
	hub             *peer.Hub
	client          *registry.Client
	loop            *loop
	handshakes      backend.HandshakeTracker
	silenceDetector *flow.SilenceDetector
	requests        *requestServer
}

// init sets the defaults of fields that are zero. Every exported method that
// needs them calls it first.
func (h *Host) init() {
	h.once.Do(func() {
		h.killed = make(chan struct{})
		h.Settings = h.Settings.Normalised()
		if h.Logger == nil {
			h.Logger = hclog.NewNullLogger()
		}
		if h.Registry == nil {
			h.Registry = prometheus.NewRegistry()
		}
		if h.Now == nil {
			h.Now = time.Now
		}
		if h.Incarnation == 0 {
			h.Incarnation = fleet.Incarnation(h.Now().UnixNano())
		}
	})
}

// Run serves until ctx ends, then performs a planned stop. It returns an error if
// the settings are invalid or a socket cannot be opened.
func (h *Host) Run(ctx context.Context) error {
	h.init()
	if err := h.Settings.Validate(); err != nil {
		return errors.Wrap(err, "validate settings")
	}
	sockets, err := openSockets(h.Settings.Listen)
	if err != nil {
		return err
	}
	defer sockets.close()
	if err := h.build(sockets); err != nil {
		return err
	}
	return h.serve(ctx)
}

// Kill stops the host at once without a handover, as a crash would.
func (h *Host) Kill() {
	h.init()
	h.killOnce.Do(func() { close(h.killed) })
}

// Ready reports whether the host accepts new work.
func (h *Host) Ready() bool {
	s := h.state.Load()
	return s != nil && s.Ready
}

// Status returns the status of the host as of the last change.
func (h *Host) Status() status.Host {
	h.init()
	if s := h.state.Load(); s != nil {
		return *s
	}
	return status.Host{Host: h.Settings.Host, DataCentre: h.Settings.DataCentre, Reason: "starting"}
}

func (h *Host) build(sockets *sockets) error {
	key, err := hex.DecodeString(h.Settings.Peers.Key)
	if err != nil {
		return errors.Wrap(err, "decode peer key")
	}
	counters := newCounters(h.Registry)
	components := &hostComponents{
		self: fleet.Host{
			ID:             h.Settings.Host,
			DataCentre:     h.Settings.DataCentre,
			Incarnation:    h.Incarnation,
			PeerAddress:    h.Settings.Listen.Peer,
			HandoffAddress: h.Settings.Listen.Handoff,
		},
		key:             key,
		sockets:         sockets,
		counters:        counters,
		silenceDetector: &flow.SilenceDetector{Flows: min(h.Settings.Limits.FlowRecords, maxTrackedFlows), Key: flowKey(key)},
		client:          &registry.Client{URL: h.Settings.Platform.URL, Timeout: h.Settings.Platform.Timeout},
	}
	components.loop = newLoop(h, components)
	components.hub = h.newHub(components)
	components.requests = newRequestServer(h, components)
	if err := components.requests.handler.Register(h.Registry); err != nil {
		return errors.Wrap(err, "register request metrics")
	}
	h.components = components
	return nil
}

func (h *Host) newHub(components *hostComponents) *peer.Hub {
	messageTypes := new(peer.Registry)
	messageTypes.Add(control.Messages()...)
	return &peer.Hub{
		Self: components.self,
		Key:  components.key,
		Limits: peer.Limits{
			QueuedMessages: h.Settings.Limits.QueuedMessages,
			MessageBytes:   h.Settings.Limits.MessageBytes,
		},
		Logger:     h.Logger.Named("peer"),
		Registerer: h.Registry,
		Deliver:    components.loop.deliver,
		Address:    components.loop.peerAddress,
		Registry:   messageTypes,
		Listener:   components.sockets.peer,
		Datagrams:  components.sockets.heartbeat,
	}
}

// serve runs the supervisor tree until ctx ends or the host is killed.
func (h *Host) serve(ctx context.Context) error {
	running, cancel := context.WithCancel(context.Background())
	defer cancel()
	defer close(h.components.loop.hostDone)
	tree := h.tree()
	done := tree.ServeBackground(running)
	h.Logger.Info("started", "host", h.Settings.Host, "data_centre", h.Settings.DataCentre)
	select {
	case <-ctx.Done():
		h.stop()
	case <-h.killed:
	case <-h.components.loop.superseded:
		h.Logger.Warn("a later incarnation of this host is live")
	case err := <-done:
		return errors.Wrap(err, "supervisor stopped unexpectedly")
	}
	cancel()
	h.components.sockets.close()
	<-done
	h.Logger.Info("stopped", "host", h.Settings.Host)
	return nil
}
