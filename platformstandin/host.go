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

	"github.com/hashicorp/go-hclog"

	"github.com/rattanthread/rattanthread/entry"
	"github.com/rattanthread/rattanthread/fleet"
)

// Node is a machine that runs an entry host, or none while it is down.
type Node struct {
	Name  string
	Zone  string
	Index int
	// Peers is where the host accepts other hosts.
	Peers netip.AddrPort

	run    *Run
	misses int
	in     bool
	// lag delays all that passes the machine's link, each way.
	lag time.Duration
}

// Run is one run of an entry host. All fields must be set.
type Run struct {
	// Deliver hands over a packet of a client.
	Deliver func(packet []byte)
	// Ready reports how a health check ends.
	Ready func() bool
	// Stop asks for a planned stop, and Kill ends the run at once.
	Stop, Kill func()
	// Dead reports whether the run has ended.
	Dead func() bool
}

// process is one run of an entry host.
type process struct {
	site   *Site
	node   *Node
	inbox  chan []byte
	stop   context.CancelFunc
	killed chan struct{}
	once   sync.Once
	// accept takes the streams of other hosts, once the host listens.
	accept atomic.Pointer[func(context.Context, *entry.Stream)]
}

// inboxPackets is how many packets wait for a host at most.
const inboxPackets = 4096

// start runs a new process on a machine.
func (s *Site) start(node *Node) {
	launch := s.Launch
	if launch == nil {
		launch = s.launch
	}
	run := launch(node)
	s.mu.Lock()
	node.run = run
	s.mu.Unlock()
}

// launch runs an entry host in this process, on the in-memory network.
func (s *Site) launch(node *Node) *Run {
	ctx, stop := context.WithCancel(context.Background())
	p := &process{site: s, node: node, inbox: make(chan []byte, inboxPackets), stop: stop, killed: make(chan struct{})}
	logger := s.Logger
	if logger == nil {
		logger = hclog.NewNullLogger()
	}
	host := &entry.Host{Settings: s.settings(node), Logger: logger, Network: p.network()}
	if node.Index == 0 {
		host.Record = s.Record
	}
	s.locked(func() { s.processAt[node.Peers] = p })
	s.processes.Go(func() { _ = host.Run(ctx) })
	return &Run{Deliver: p.deliver, Ready: host.Ready, Stop: stop, Kill: p.kill, Dead: p.dead}
}

func (p *process) deliver(packet []byte) {
	select {
	case p.inbox <- packet:
	default:
	}
}

func (s *Site) settings(node *Node) entry.Settings {
	var e entry.Settings
	e.Host, e.DataCentre = fleet.HostID(node.Name), fleet.DataCentreID(node.Zone)
	e.Listen.Peers = node.Peers
	for _, other := range s.hosts[:min(3, len(s.hosts))] {
		e.Peers.Seeds = append(e.Peers.Seeds, other.Peers)
	}
	e.Listen.Packets = netip.MustParseAddrPort("10.0.0.1:8172")
	e.Store.Address = netip.MustParseAddrPort("10.200.0.1:8169")
	e.Bounds = entry.Bounds{Configuration: s.bound, Drain: s.bound, Evacuation: 5 * time.Second, Stop: 6 * time.Second}
	e.Bounds.ColdOver, e.Bounds.ColdSlack = ColdOver, ColdSlack
	return e
}

// kill ends a process at once.
func (p *process) kill() { p.once.Do(func() { close(p.killed); p.stop() }) }

func (p *process) dead() bool {
	select {
	case <-p.killed:
		return true
	default:
		return false
	}
}

// network is what the process reaches of the site.
func (p *process) network() *entry.Network {
	return &entry.Network{
		Receive:  p.receive,
		Send:     p.send,
		Identify: p.identify,
		Serve: func(ctx context.Context, _ http.Handler) error {
			<-ctx.Done()
			return nil
		},
		ServeFeed: func(ctx context.Context, accept func(context.Context, *entry.Stream)) error {
			p.accept.Store(&accept)
			<-ctx.Done()
			return nil
		},
		ServeMetrics: func(ctx context.Context, _ http.Handler) error {
			<-ctx.Done()
			return nil
		},
		DialFeed: p.dialFeed,
		Store:    storePath{p},
		Now:      time.Now,
		Close:    p.kill,
	}
}

func (p *process) receive(buffer []byte) (int, error) {
	select {
	case packet := <-p.inbox:
		return copy(buffer, packet), nil
	case <-p.killed:
		return 0, net.ErrClosed
	}
}

func (p *process) send(datagram []byte, to netip.AddrPort) error {
	if p.dead() {
		return net.ErrClosed
	}
	sent := append([]byte(nil), datagram...)
	if lag := p.site.lagOf(p.node); lag > 0 {
		time.AfterFunc(lag, func() { p.site.Sent(p.node.Zone, sent, to) })
		return nil
	}
	p.site.Sent(p.node.Zone, sent, to)
	return nil
}

// crossLink waits as long as a message takes over the machine's link and back.
func (p *process) crossLink(ctx context.Context) error {
	lag := p.site.lagOf(p.node)
	if lag == 0 {
		return nil
	}
	timer := time.NewTimer(2 * lag)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (p *process) identify(ctx context.Context, to netip.AddrPort, _ string) (fleet.ServerID, error) {
	if err := p.crossLink(ctx); err != nil {
		return "", err
	}
	id, state := p.site.occupant(p.node.Zone, to)
	switch state {
	case Running, Draining:
		return id, nil
	case Refusing:
		return "", syscall.ECONNREFUSED
	case Dark:
	}
	<-ctx.Done()
	return "", ctx.Err()
}

// storePath carries a host's calls, unless the host's zone is cut off.
type storePath struct{ process *process }

// RoundTrip makes a call, or hangs.
func (t storePath) RoundTrip(r *http.Request) (*http.Response, error) {
	s := t.process.site
	if err := t.process.crossLink(r.Context()); err != nil {
		return nil, err
	}
	if t.process.dead() || s.isCut(t.process.node.Zone, "") {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	return s.Store.Transport(t.process.node.Name).RoundTrip(r)
}

// dialFeed opens a stream to the process at an address.
func (p *process) dialFeed(ctx context.Context, to netip.AddrPort) (*entry.Stream, error) {
	if err := p.crossLink(ctx); err != nil {
		return nil, err
	}
	peer := p.site.peerAt(p.node.Zone, to)
	if peer == nil || p.dead() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	accept := peer.accept.Load()
	if accept == nil {
		return nil, syscall.ECONNREFUSED
	}
	there, here := make(chan []byte, streamMessages), make(chan []byte, streamMessages)
	closed := make(chan struct{})
	var once sync.Once
	end := func() { once.Do(func() { close(closed) }) }
	p.site.processes.Go(func() {
		(*accept)(context.Background(), p.stream(peer, here, there, closed, end))
	})
	return p.stream(peer, there, here, closed, end), nil
}

// streamMessages is how many messages a stream holds.
const streamMessages = 16

// stream is one end of a stream. Messages are lost while the zones are cut off.
func (p *process) stream(peer *process, out chan<- []byte, in <-chan []byte, closed <-chan struct{}, end func()) *entry.Stream {
	return &entry.Stream{
		Send: func(ctx context.Context, message []byte) error {
			if p.site.isCut(p.node.Zone, peer.node.Zone) {
				return nil
			}
			select {
			case out <- message:
				return nil
			case <-closed:
				return net.ErrClosed
			case <-p.killed:
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
			case <-p.killed:
				return nil, net.ErrClosed
			case <-peer.killed:
				return nil, net.ErrClosed
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		},
		Close: end,
	}
}
