// Package peer transports messages between entry hosts: over WebSocket links
// opened on demand, and as datagrams for small heartbeats. Every message is
// bounded in size and authenticated with a key that all hosts share.
//
// Messages are one-way, and each direction between two hosts has its own link.
// Messages can be lost, repeated or reordered; their senders and receivers handle this.
package peer

import (
	"context"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/errgroup"

	"github.com/rattanthread/rattanthread/fleet"
)

// Hub sends and receives messages. Self, Key, Deliver, Address and Registry must
// be set before Serve. Its methods are safe for concurrent use.
type Hub struct {
	Self fleet.Host
	// Key is the secret shared by all hosts, at least MinKeyBytes long.
	Key    []byte
	Limits Limits
	// Logger may be nil.
	Logger hclog.Logger
	// Registerer registers the metrics. It may be nil.
	Registerer prometheus.Registerer
	// Deliver is called with each accepted message, from several goroutines concurrently.
	Deliver func(from fleet.HostID, m fleet.Message)
	// Address returns the address that a peer listens on. It is called from several
	// goroutines concurrently.
	Address  func(fleet.HostID) (netip.AddrPort, bool)
	Registry *Registry
	// Listener and Datagrams are the sockets to serve on. Serve opens those that
	// are nil on Self.PeerAddress.
	Listener  net.Listener
	Datagrams net.PacketConn
	// UseDatagram reports whether messages of a kind may be sent as datagrams. Nil
	// selects the messages of package membership and the heads of package rollout.
	UseDatagram func(fleet.MessageKind) bool
	// Now returns the current time. Nil means time.Now.
	Now func() time.Time

	once    sync.Once
	limits  Limits
	metrics *hubMetrics
	filter  envelopeFilter

	mu            sync.Mutex
	outboundLinks map[fleet.HostID]*link
	lastSequences map[sequenceKey]fleet.Sequence
	datagrams     net.PacketConn  // nil while Serve does not run
	serveCtx      context.Context // nil while Serve does not run
	linkGroup     sync.WaitGroup  // goroutines of outbound links
	inboundLinks  int
}

type sequenceKey struct {
	to   fleet.HostID
	path Path
}

// Limits bounds the resources of a Hub. Zero fields have defaults.
type Limits struct {
	QueuedMessages   int           // queued messages per peer; default 256
	MessageBytes     int           // maximum size of a message; default 1 MiB
	DatagramBytes    int           // maximum size of a datagram; default 1,200 bytes
	MaxLinks         int           // maximum number of inbound links, and of outbound links; default 1,024
	MaxAge           time.Duration // maximum age of an accepted message; default 30s
	IdleTimeout      time.Duration // time after which an unused outbound link is closed; default 60s
	HandshakeTimeout time.Duration // timeout for opening a link and for its first message; default 3s
	WriteTimeout     time.Duration // timeout for writing one message; default 5s
	BackoffMin       time.Duration // delay before the first reconnect; default 100ms
	BackoffMax       time.Duration // maximum delay between reconnects; default 5s
}

func (l Limits) withDefaults() Limits {
	setDefault(&l.QueuedMessages, 256)
	setDefault(&l.MessageBytes, 1<<20)
	setDefault(&l.DatagramBytes, 1200)
	setDefault(&l.MaxLinks, 1024)
	setDefault(&l.MaxAge, 30*time.Second)
	setDefault(&l.IdleTimeout, time.Minute)
	setDefault(&l.HandshakeTimeout, 3*time.Second)
	setDefault(&l.WriteTimeout, 5*time.Second)
	setDefault(&l.BackoffMin, 100*time.Millisecond)
	setDefault(&l.BackoffMax, 5*time.Second)
	return l
}

func setDefault[T int | time.Duration](v *T, value T) {
	if *v == 0 {
		*v = value
	}
}

// lazyInit initializes the Hub on first use. The state persists when Serve runs
// again after a failure.
func (h *Hub) lazyInit() {
	h.once.Do(func() {
		h.limits = h.Limits.withDefaults()
		h.metrics = newMetrics(h.Registerer)
		h.filter.self = h.Self.ID
		h.filter.maxAge = h.limits.MaxAge
		h.outboundLinks = make(map[fleet.HostID]*link)
		h.lastSequences = make(map[sequenceKey]fleet.Sequence)
		if h.Logger == nil {
			h.Logger = hclog.NewNullLogger()
		}
		if h.Now == nil {
			h.Now = time.Now
		}
		if h.UseDatagram == nil {
			h.UseDatagram = isHeartbeat
		}
	})
}

func isHeartbeat(kind fleet.MessageKind) bool {
	return kind == "rollout_head" || strings.HasPrefix(string(kind), "membership_")
}

// Serve runs the hub until ctx ends. It implements suture.Service.
func (h *Hub) Serve(ctx context.Context) error {
	h.lazyInit()
	if len(h.Key) < MinKeyBytes {
		return errors.Errorf("peer key has %d bytes, want at least %d", len(h.Key), MinKeyBytes)
	}
	listener, datagrams, err := h.openSockets(ctx)
	if err != nil {
		return err
	}
	group, ctx := errgroup.WithContext(ctx)
	h.mu.Lock()
	h.serveCtx, h.datagrams = ctx, datagrams
	h.mu.Unlock()
	group.Go(func() error { return h.serveLinks(ctx, listener) })
	group.Go(func() error { return h.readDatagrams(ctx, datagrams) })
	group.Go(func() error {
		<-ctx.Done()
		_ = datagrams.Close()
		return ctx.Err()
	})
	err = group.Wait()
	h.mu.Lock()
	h.serveCtx, h.datagrams = nil, nil
	h.mu.Unlock()
	h.linkGroup.Wait()
	return err
}

// openSockets returns the configured sockets the first time, and new ones on
// Self.PeerAddress when Serve runs again.
func (h *Hub) openSockets(ctx context.Context) (net.Listener, net.PacketConn, error) {
	listener, datagrams := h.Listener, h.Datagrams
	h.Listener, h.Datagrams = nil, nil
	address := h.Self.PeerAddress.String()
	var config net.ListenConfig
	var err error
	if listener == nil {
		if listener, err = config.Listen(ctx, "tcp", address); err != nil {
			return nil, nil, errors.Wrap(err, "listen for links from peers")
		}
	}
	if datagrams == nil {
		if datagrams, err = config.ListenPacket(ctx, "udp", address); err != nil {
			_ = listener.Close()
			return nil, nil, errors.Wrap(err, "listen for datagrams from peers")
		}
	}
	return listener, datagrams, nil
}

// Send queues a message for its recipient. It never blocks: if the queue is full,
// the message is dropped and counted. Messages are also dropped while Serve does
// not run.
func (h *Hub) Send(outgoing fleet.Send) {
	h.lazyInit()
	body, err := EncodeBody(outgoing.Message)
	if err != nil {
		h.countDropped(ReasonEncode)
		return
	}
	kind := outgoing.Message.Kind()
	if h.UseDatagram(kind) && len(body)+envelopeBytes <= h.limits.DatagramBytes {
		h.sendDatagram(outgoing.To, kind, body)
		return
	}
	if len(body)+envelopeBytes > h.limits.MessageBytes {
		h.countDropped(ReasonTooLong)
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.serveCtx == nil {
		h.countDropped(ReasonClosed)
		return
	}
	outbound := h.outboundLinks[outgoing.To]
	if outbound == nil {
		if len(h.outboundLinks) >= h.limits.MaxLinks {
			h.countDropped(ReasonTooManyPeers)
			return
		}
		outbound = newLink(h, outgoing.To)
		h.outboundLinks[outgoing.To] = outbound
		h.linkGroup.Add(1)
		go outbound.run(h.serveCtx)
	}
	select {
	case outbound.queue <- queuedMessage{kind, body}:
	default:
		h.countDropped(ReasonQueueFull)
	}
}

// envelopeBytes is an upper bound on the size of an envelope without its body, for
// IDs and kinds of usual length.
const envelopeBytes = 160

func (h *Hub) countDropped(r Reason) {
	h.metrics.dropped.WithLabelValues(string(r)).Inc()
}

// seal wraps a body in an envelope with the next sequence number of its recipient
// and path.
func (h *Hub) seal(to fleet.HostID, path Path, kind fleet.MessageKind, body []byte) ([]byte, error) {
	h.mu.Lock()
	key := sequenceKey{to, path}
	h.lastSequences[key]++
	sequence := h.lastSequences[key]
	h.mu.Unlock()
	return Seal(h.Key, &Envelope{
		Version:     Version,
		Path:        path,
		From:        h.Self.ID,
		Incarnation: h.Self.Incarnation,
		To:          to,
		Sequence:    sequence,
		Sent:        h.Now().UnixMilli(),
		Kind:        kind,
		Body:        body,
	})
}

// wakeLink ends the backoff of the link to a peer, if it is waiting.
func (h *Hub) wakeLink(peer fleet.HostID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if l := h.outboundLinks[peer]; l != nil {
		select {
		case l.wakeup <- struct{}{}:
		default:
		}
	}
}

// receive verifies and delivers an incoming message. The error is a *RefusedError.
func (h *Hub) receive(path Path, data []byte) error {
	h.metrics.bytes.WithLabelValues(path.String(), "in").Add(float64(len(data)))
	from, m, err := h.verifyAndDecode(path, data)
	if err != nil {
		var refused *RefusedError
		if errors.As(err, &refused) {
			h.countRefused(refused.Reason)
		}
		return err
	}
	h.metrics.received.WithLabelValues(path.String()).Inc()
	h.wakeLink(from)
	h.Deliver(from, m)
	return nil
}

func (h *Hub) countRefused(r Reason) {
	h.metrics.refused.WithLabelValues(string(r)).Inc()
}

func (h *Hub) verifyAndDecode(path Path, data []byte) (fleet.HostID, fleet.Message, error) {
	if len(data) > h.limits.MessageBytes {
		return "", nil, &RefusedError{Reason: ReasonOversize}
	}
	envelope, err := Open(h.Key, data)
	if err != nil {
		return "", nil, err
	}
	if reason := h.filter.check(h.Now(), envelope, path); reason != "" {
		return "", nil, &RefusedError{Reason: reason, Peer: envelope.From}
	}
	message, err := DecodeBody(h.Registry, envelope)
	return envelope.From, message, err
}
