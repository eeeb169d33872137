// Package host runs one entry host: a supervisor tree whose parts own the
// sockets, the clock and the metrics. One goroutine owns the control state;
// packet workers and the request server read its snapshots.
//
// Run serves until its context ends, then stops as planned: it refuses new
// requests, finishes running ones, hands over what it owns, and leaves.
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
	// Incarnation numbers this life of the host. Zero means the time of the start.
	Incarnation fleet.Incarnation
	// Now is the clock. Nil means time.Now.
	Now func() time.Time
	// Record, if set, is called with every control event, by one goroutine.
	Record func(now time.Time, event control.Event)

	// Notify, if set, is called when Status has changed, by one goroutine.
	Notify func(status.Host)

	once    sync.Once
	parts   *parts
	killed  chan struct{}
	killing sync.Once
	state   atomic.Pointer[status.Host]
}

// maxSilence bounds the flows that are watched for silence.
const maxSilence = 1 << 16

// flowKey derives the key of the flow hash from the key that all hosts share, so
// that the one does not tell the other.
func flowKey(key []byte) (derived [16]byte) {
	mac := hmac.New(sha256.New, key)
	_, _ = mac.Write([]byte("rattanthread flow hash"))
	copy(derived[:], mac.Sum(nil))
	return derived
}

// parts are what a running host is made of.
type parts struct {
	self      fleet.Host
	key       []byte
	sockets   *sockets
	counters  *counters
	hub       *peer.Hub
	client    *registry.Client
	loop      *loop
	handshake backend.HandshakeTracker
	silence   *flow.SilenceDetector
	requests  *requestDoor
}

// init fills in what was left zero. Every exported method calls it first.
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

// Run serves until ctx ends, then makes a planned stop. It returns an error when
// the settings are wrong or a socket cannot be opened.
func (h *Host) Run(ctx context.Context) error {
	h.init()
	if err := h.Settings.Validate(); err != nil {
		return errors.Wrap(err, "check settings")
	}
	s, err := openSockets(h.Settings.Listen)
	if err != nil {
		return err
	}
	defer s.close()
	if err := h.build(s); err != nil {
		return err
	}
	return h.serve(ctx)
}

// Kill ends the host at once, without handing anything over, as a crash would.
func (h *Host) Kill() {
	h.init()
	h.killing.Do(func() { close(h.killed) })
}

// Ready reports whether the host takes work.
func (h *Host) Ready() bool {
	s := h.state.Load()
	return s != nil && s.Ready
}

// Status returns what the host says of itself.
func (h *Host) Status() status.Host {
	h.init()
	if s := h.state.Load(); s != nil {
		return *s
	}
	return status.Host{Host: h.Settings.Host, DataCentre: h.Settings.DataCentre, Reason: "starting"}
}

func (h *Host) build(s *sockets) error {
	key, err := hex.DecodeString(h.Settings.Peers.Key)
	if err != nil {
		return errors.Wrap(err, "decode the key of the peers")
	}
	c := newCounters(h.Registry)
	p := &parts{
		self: fleet.Host{
			ID:             h.Settings.Host,
			DataCentre:     h.Settings.DataCentre,
			Incarnation:    h.Incarnation,
			PeerAddress:    h.Settings.Listen.Peer,
			HandoffAddress: h.Settings.Listen.Handoff,
		},
		key:      key,
		sockets:  s,
		counters: c,
		silence:  &flow.SilenceDetector{Flows: min(h.Settings.Limits.FlowRecords, maxSilence), Key: flowKey(key)},
		client:   &registry.Client{URL: h.Settings.Platform.URL, Timeout: h.Settings.Platform.Timeout},
	}
	p.loop = newLoop(h, p)
	p.hub = h.newHub(p)
	p.requests = newRequestDoor(h, p)
	if err := p.requests.door.Register(h.Registry); err != nil {
		return errors.Wrap(err, "register the metrics of requests")
	}
	h.parts = p
	return nil
}

func (h *Host) newHub(p *parts) *peer.Hub {
	registry := new(peer.Registry)
	registry.Add(control.Messages()...)
	return &peer.Hub{
		Self: p.self,
		Key:  p.key,
		Limits: peer.Limits{
			QueuedMessages: h.Settings.Limits.QueuedMessages,
			MessageBytes:   h.Settings.Limits.MessageBytes,
		},
		Logger:     h.Logger.Named("peer"),
		Registerer: h.Registry,
		Deliver:    p.loop.deliver,
		Address:    p.loop.peerAddress,
		Registry:   registry,
		Listener:   p.sockets.peer,
		Datagrams:  p.sockets.heartbeat,
	}
}

// serve runs the supervisor tree until ctx ends or the host is killed.
func (h *Host) serve(ctx context.Context) error {
	running, cancel := context.WithCancel(context.Background())
	defer cancel()
	defer close(h.parts.loop.ended)
	tree := h.tree()
	done := tree.ServeBackground(running)
	h.Logger.Info("started", "host", h.Settings.Host, "data_centre", h.Settings.DataCentre)
	select {
	case <-ctx.Done():
		h.stop()
	case <-h.killed:
	case <-h.parts.loop.superseded:
		h.Logger.Warn("a later incarnation of this host is live")
	case err := <-done:
		return errors.Wrap(err, "supervisor ended")
	}
	cancel()
	h.parts.sockets.close()
	<-done
	h.Logger.Info("stopped", "host", h.Settings.Host)
	return nil
}
