package platformstandin

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rattanthread/rattanthread/entry"
	"github.com/rattanthread/rattanthread/fleet"
)

// Node is a machine that runs an entry host. While it is down, it runs none.
type Node struct {
	Name  string
	Zone  string
	Index int
	// PeerAddress is where the host accepts connections of other hosts.
	PeerAddress netip.AddrPort

	process      *Process
	failedChecks int
	inRotation   bool
	// linkDelay is the extra delay of the machine's link, each way.
	linkDelay time.Duration
}

// Process is one run of an entry host. All fields must be set.
type Process struct {
	// Deliver passes a packet of a client to the host.
	Deliver func(packet []byte)
	// Ready reports whether a health check passes.
	Ready func() bool
	// Stop requests a planned stop, and Kill ends the process immediately.
	Stop, Kill func()
	// Exited reports whether the process has ended.
	Exited func() bool
}

// memoryHost is one run of an entry host on the in-memory network.
type memoryHost struct {
	site     *Site
	node     *Node
	inbox    chan []byte
	stop     context.CancelFunc
	killed   chan struct{}
	killOnce sync.Once
	// acceptStream accepts streams of other hosts. It is nil until the host listens.
	acceptStream atomic.Pointer[func(context.Context, *entry.Stream)]
	// acceptLoads is the same for hosts in other zones.
	acceptLoads atomic.Pointer[func(context.Context, *entry.Stream)]
}

// inboxCapacity is the maximum number of packets that are queued for a host.
const inboxCapacity = 4096

// startHost starts a new process on a machine.
func (s *Site) startHost(node *Node) {
	launch := s.Launch
	if launch == nil {
		launch = s.launchInMemory
	}
	process := launch(node)
	s.mu.Lock()
	node.process = process
	s.mu.Unlock()
}

// launchInMemory runs an entry host in this process, on the in-memory network.
func (s *Site) launchInMemory(node *Node) *Process {
	ctx, stop := context.WithCancel(context.Background())
	h := &memoryHost{site: s, node: node, inbox: make(chan []byte, inboxCapacity), stop: stop, killed: make(chan struct{})}
	host := &entry.Host{Settings: s.settings(node), Logger: s.HostLogger(node), Network: h.network(), Record: s.recordOf(node)}
	s.withLock(func() { s.hostByPeerAddr[node.PeerAddress] = h })
	s.background.Go(func() { _ = host.Run(ctx) })
	return &Process{Deliver: h.deliver, Ready: host.Ready, Stop: stop, Kill: h.kill, Exited: h.exited}
}

func (h *memoryHost) deliver(packet []byte) {
	select {
	case h.inbox <- packet:
	default:
	}
}

func (s *Site) settings(node *Node) entry.Settings {
	var settings entry.Settings
	settings.Host, settings.DataCentre = fleet.HostID(node.Name), fleet.DataCentreID(node.Zone)
	settings.Listen.Peers = node.PeerAddress
	for _, other := range s.hosts[:min(3, len(s.hosts))] {
		settings.Peers.Seeds = append(settings.Peers.Seeds, other.PeerAddress)
	}
	settings.Listen.Packets = netip.MustParseAddrPort("10.0.0.1:8172")
	settings.Store.Address = netip.MustParseAddrPort("10.200.0.1:8169")
	settings.Bounds = entry.Bounds{Configuration: s.propagationBound, Drain: s.propagationBound, Evacuation: 5 * time.Second, Stop: 6 * time.Second}
	settings.Bounds.ColdOver, settings.Bounds.ColdSlack = ColdOver, ColdSlack
	if s.Adjust != nil {
		s.Adjust(node, &settings)
	}
	return settings
}

func (h *memoryHost) kill() { h.killOnce.Do(func() { close(h.killed); h.stop() }) }

func (h *memoryHost) exited() bool {
	select {
	case <-h.killed:
		return true
	default:
		return false
	}
}

// network returns the I/O and the clock of the host.
func (h *memoryHost) network() *entry.Network {
	return &entry.Network{
		Receive:  h.receive,
		Send:     h.send,
		Identify: h.identify,
		Serve: func(ctx context.Context, _ http.Handler) error {
			<-ctx.Done()
			return nil
		},
		ServeFeed: func(ctx context.Context, accept func(context.Context, *entry.Stream)) error {
			h.acceptStream.Store(&accept)
			<-ctx.Done()
			return nil
		},
		ServeMetrics: func(ctx context.Context, handler http.Handler) error {
			<-ctx.Done()
			h.site.CheckMetrics(h.node, exposition(handler))
			return nil
		},
		DialFeed: func(ctx context.Context, to netip.AddrPort) (*entry.Stream, error) {
			return h.dial(ctx, to, FeedTransfer, func(peer *memoryHost) *func(context.Context, *entry.Stream) { return peer.acceptStream.Load() })
		},
		ServeLoads: func(ctx context.Context, accept func(context.Context, *entry.Stream)) error {
			h.acceptLoads.Store(&accept)
			<-ctx.Done()
			return nil
		},
		DialLoads: func(ctx context.Context, to netip.AddrPort) (*entry.Stream, error) {
			return h.dial(ctx, to, LoadsTransfer, func(peer *memoryHost) *func(context.Context, *entry.Stream) { return peer.acceptLoads.Load() })
		},
		Store: storeTransport{h},
		Now:   h.now,
		Close: h.kill,
	}
}

func (h *memoryHost) now() time.Time {
	if h.site.Now != nil {
		return h.site.Now(h.node)
	}
	return time.Now()
}

func (h *memoryHost) receive(buffer []byte) (int, error) {
	select {
	case packet := <-h.inbox:
		return copy(buffer, packet), nil
	case <-h.killed:
		return 0, net.ErrClosed
	}
}

func (h *memoryHost) send(datagram []byte, to netip.AddrPort) error {
	if h.exited() {
		return net.ErrClosed
	}
	sent := append([]byte(nil), datagram...)
	if delay := h.site.linkDelayOf(h.node); delay > 0 {
		time.AfterFunc(delay, func() { h.site.Transmit(h.node.Zone, sent, to) })
		return nil
	}
	h.site.Transmit(h.node.Zone, sent, to)
	return nil
}

// waitRoundTrip waits for the extra delay of a round trip over the machine's link.
func (h *memoryHost) waitRoundTrip(ctx context.Context) error {
	delay := h.site.linkDelayOf(h.node)
	if delay == 0 {
		return nil
	}
	timer := time.NewTimer(2 * delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (h *memoryHost) identify(ctx context.Context, to netip.AddrPort, _ string, connected func()) (fleet.ServerID, error) {
	if err := h.waitRoundTrip(ctx); err != nil {
		return "", err
	}
	id, state := h.site.targetAt(h.node.Zone, to)
	switch state {
	case Running, Draining:
		if h.site.isAtConnectionLimit(to) {
			return "", syscall.ECONNRESET
		}
		connected()
		return id, nil
	case Refusing:
		return "", syscall.ECONNREFUSED
	case Unreachable:
	}
	<-ctx.Done()
	return "", ctx.Err()
}

// storeTransport makes a host's calls to the store.
type storeTransport struct{ host *memoryHost }

// RoundTrip makes a call. It blocks until the request's context ends if the host was
// killed or its zone is partitioned.
func (t storeTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	site := t.host.site
	if err := t.host.waitRoundTrip(r.Context()); err != nil {
		return nil, err
	}
	if t.host.exited() || site.isPartitioned(t.host.node.Zone, "") {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	response, err := site.Store.Transport(t.host.node.Name).RoundTrip(r)
	if err == nil {
		site.observe(Transfer{Kind: StoreTransfer, To: t.host.node, Bytes: int(response.ContentLength)})
	}
	return response, err
}

// dial opens a stream to the host at an address, which accepts it by the function that acceptOf returns.
func (h *memoryHost) dial(ctx context.Context, to netip.AddrPort, kind TransferKind, acceptOf func(*memoryHost) *func(context.Context, *entry.Stream)) (*entry.Stream, error) {
	if err := h.waitRoundTrip(ctx); err != nil {
		return nil, err
	}
	peer := h.site.peerAt(h.node.Zone, to)
	if peer == nil || h.exited() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	accept := acceptOf(peer)
	if accept == nil {
		return nil, syscall.ECONNREFUSED
	}
	toPeer, fromPeer := make(chan []byte, streamCapacity), make(chan []byte, streamCapacity)
	closed := make(chan struct{})
	var once sync.Once
	closeStream := func() { once.Do(func() { close(closed) }) }
	h.site.background.Go(func() {
		(*accept)(context.Background(), peer.stream(h, kind, fromPeer, toPeer, closed, closeStream))
	})
	return h.stream(peer, kind, toPeer, fromPeer, closed, closeStream), nil
}

// streamCapacity is the number of messages that are buffered in each direction.
const streamCapacity = 16

// stream returns the host's end of a stream to a peer. Messages are dropped while a partition
// separates the two zones.
func (h *memoryHost) stream(peer *memoryHost, kind TransferKind, out chan<- []byte, in <-chan []byte, closed <-chan struct{}, closeStream func()) *entry.Stream {
	return &entry.Stream{
		Send: func(ctx context.Context, message []byte) error {
			if h.site.isPartitioned(h.node.Zone, peer.node.Zone) {
				return nil
			}
			select {
			case out <- message:
				h.site.observe(Transfer{Kind: kind, From: h.node, To: peer.node, Message: message, Bytes: len(message)})
				return nil
			case <-closed:
				return net.ErrClosed
			case <-h.killed:
				return net.ErrClosed
			case <-peer.killed:
				return net.ErrClosed
			case <-ctx.Done():
				return ctx.Err()
			}
		},
		Receive: func(ctx context.Context) ([]byte, error) {
			select {
			case message := <-in:
				return message, nil
			case <-closed:
				return nil, net.ErrClosed
			case <-h.killed:
				return nil, net.ErrClosed
			case <-peer.killed:
				return nil, net.ErrClosed
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		},
		Close: closeStream,
	}
}
