// Package peer carries messages between entry hosts: WebSocket links opened on
// demand, and datagrams for small heartbeats. Every message is bounded in size
// and authenticated with the key that all hosts share.
//
// Messages are one-way, and each direction between two hosts has its own link.
// They can be lost, repeated or reordered; the senders and receivers handle it.
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
	// Key is the secret that all hosts share, of at least MinKeyBytes.
	Key    []byte
	Limits Limits
	// Logger may be nil.
	Logger hclog.Logger
	// Registerer receives the counters. It may be nil.
	Registerer prometheus.Registerer
	// Deliver takes each accepted message. Several goroutines call it at once.
	Deliver func(from fleet.HostID, m fleet.Message)
	// Address returns where a peer listens. Several goroutines call it at once.
	Address  func(fleet.HostID) (netip.AddrPort, bool)
	Registry *Registry
	// Listener and Datagrams are the sockets to serve on. When nil, Serve opens
	// both on Self.PeerAddress.
	Listener  net.Listener
	Datagrams net.PacketConn
	// Heartbeat reports whether a message may go by datagram. Nil means the
	// messages of package membership and the heads of package rollout.
	Heartbeat func(fleet.MessageKind) bool
	// Now is the clock. Nil means time.Now.
	Now func() time.Time

	once     sync.Once
	limits   Limits
	counters *counters
	guard    guard

	mu        sync.Mutex
	links     map[fleet.HostID]*link
	sequences map[sequenceKey]fleet.Sequence
	datagrams net.PacketConn
	serving   context.Context // nil while Serve does not run
	running   sync.WaitGroup  // goroutines of links
	inbound   int             // links from peers
}

type sequenceKey struct {
	to   fleet.HostID
	path Path
}

// Limits bounds the resources of a Hub. Zero fields take defaults.
type Limits struct {
	QueuedMessages int           // per peer; default 256
	MessageBytes   int           // longest message; default 1 MiB
	DatagramBytes  int           // longest datagram; default 1,200 bytes
	Links          int           // links from peers, and to peers, at once; default 1,024
	Age            time.Duration // oldest message taken; default 30s
	Idle           time.Duration // before an unused link is closed; default 60s
	Handshake      time.Duration // to open a link or to send its first message; default 3s
	Write          time.Duration // to write one message; default 5s
	BackoffMin     time.Duration // before a first reconnect; default 100ms
	BackoffMax     time.Duration // between reconnects; default 5s
}

func (l Limits) withDefaults() Limits {
	setDefault(&l.QueuedMessages, 256)
	setDefault(&l.MessageBytes, 1<<20)
	setDefault(&l.DatagramBytes, 1200)
	setDefault(&l.Links, 1024)
	setDefault(&l.Age, 30*time.Second)
	setDefault(&l.Idle, time.Minute)
	setDefault(&l.Handshake, 3*time.Second)
	setDefault(&l.Write, 5*time.Second)
	setDefault(&l.BackoffMin, 100*time.Millisecond)
	setDefault(&l.BackoffMax, 5*time.Second)
	return l
}

func setDefault[T int | time.Duration](v *T, value T) {
	if *v == 0 {
		*v = value
	}
}

// start makes the zero value usable. It lasts for the life of the Hub, also
// when Serve is run again after a failure.
func (h *Hub) start() {
	h.once.Do(func() {
		h.limits = h.Limits.withDefaults()
		h.counters = newCounters(h.Registerer)
		h.guard.self = h.Self.ID
		h.guard.age = h.limits.Age
		h.links = make(map[fleet.HostID]*link)
		h.sequences = make(map[sequenceKey]fleet.Sequence)
		if h.Logger == nil {
			h.Logger = hclog.NewNullLogger()
		}
		if h.Now == nil {
			h.Now = time.Now
		}
		if h.Heartbeat == nil {
			h.Heartbeat = isHeartbeat
		}
	})
}

func isHeartbeat(kind fleet.MessageKind) bool {
	return kind == "rollout_head" || strings.HasPrefix(string(kind), "membership_")
}

// Serve runs the hub until ctx ends. It is a suture service.
func (h *Hub) Serve(ctx context.Context) error {
	h.start()
	if len(h.Key) < MinKeyBytes {
		return errors.Errorf("serve peers: the key has %d bytes, fewer than %d", len(h.Key), MinKeyBytes)
	}
	listener, datagrams, err := h.open(ctx)
	if err != nil {
		return err
	}
	group, ctx := errgroup.WithContext(ctx)
	h.mu.Lock()
	h.serving, h.datagrams = ctx, datagrams
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
	h.serving, h.datagrams = nil, nil
	h.mu.Unlock()
	h.running.Wait()
	return err
}

// open returns the given sockets the first time, and new ones on the same
// address when Serve runs again.
func (h *Hub) open(ctx context.Context) (net.Listener, net.PacketConn, error) {
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

// Send queues a message for its peer. It never blocks: when the queue is full
// the message is dropped and counted. Messages are dropped while Serve does not run.
func (h *Hub) Send(s fleet.Send) {
	h.start()
	body, err := EncodeBody(s.Message)
	if err != nil {
		h.drop(ReasonEncode)
		return
	}
	kind := s.Message.Kind()
	if h.Heartbeat(kind) && len(body)+envelopeBytes <= h.limits.DatagramBytes {
		h.sendDatagram(s.To, kind, body)
		return
	}
	if len(body)+envelopeBytes > h.limits.MessageBytes {
		h.drop(ReasonTooLong)
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.serving == nil {
		h.drop(ReasonClosed)
		return
	}
	l := h.links[s.To]
	if l == nil {
		if len(h.links) >= h.limits.Links {
			h.drop(ReasonTooManyPeers)
			return
		}
		l = newLink(h, s.To)
		h.links[s.To] = l
		h.running.Add(1)
		go l.run(h.serving)
	}
	select {
	case l.queue <- queued{kind, body}:
	default:
		h.drop(ReasonQueueFull)
	}
}

// envelopeBytes bounds the size of an envelope with IDs and kind of usual length.
const envelopeBytes = 160

func (h *Hub) drop(r Reason) {
	h.counters.dropped.WithLabelValues(string(r)).Inc()
}

// seal puts a body into the next envelope of its peer and path.
func (h *Hub) seal(to fleet.HostID, path Path, kind fleet.MessageKind, body []byte) ([]byte, error) {
	h.mu.Lock()
	key := sequenceKey{to, path}
	h.sequences[key]++
	sequence := h.sequences[key]
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

// wake lets the link to a peer that was heard of try again at once, if it waits.
func (h *Hub) wake(peer fleet.HostID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if l := h.links[peer]; l != nil {
		select {
		case l.heard <- struct{}{}:
		default:
		}
	}
}

// take checks a message that arrived and delivers it. The error is a *RefusedError.
func (h *Hub) take(path Path, b []byte) error {
	h.counters.bytes.WithLabelValues(path.String(), "in").Add(float64(len(b)))
	from, m, err := h.check(path, b)
	if err != nil {
		var refused *RefusedError
		if errors.As(err, &refused) {
			h.refuse(refused.Reason)
		}
		return err
	}
	h.counters.taken.WithLabelValues(path.String()).Inc()
	h.wake(from)
	h.Deliver(from, m)
	return nil
}

func (h *Hub) refuse(r Reason) {
	h.counters.refused.WithLabelValues(string(r)).Inc()
}

func (h *Hub) check(path Path, b []byte) (fleet.HostID, fleet.Message, error) {
	if len(b) > h.limits.MessageBytes {
		return "", nil, &RefusedError{Reason: ReasonOversize}
	}
	e, err := Open(h.Key, b)
	if err != nil {
		return "", nil, err
	}
	if reason := h.guard.admit(h.Now(), e, path); reason != "" {
		return "", nil, &RefusedError{Reason: reason, Peer: e.From}
	}
	m, err := DecodeBody(h.Registry, e)
	return e.From, m, err
}
