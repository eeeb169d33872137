package platformstandin

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/rattanthread/rattanthread/entry"
	"github.com/rattanthread/rattanthread/fleet"
)

// hostNode is a machine that runs an entry host, or none while it is down.
type hostNode struct {
	name string
	zone string

	process *process
	misses  int
	in      bool
}

// process is one run of an entry host.
type process struct {
	site   *Site
	node   *hostNode
	host   *entry.Host
	inbox  chan []byte
	stop   context.CancelFunc
	killed chan struct{}
	once   sync.Once
}

// inboxPackets is how many packets wait for a host at most.
const inboxPackets = 4096

// start runs a new process on a machine.
func (s *Site) start(node *hostNode) {
	ctx, stop := context.WithCancel(context.Background())
	p := &process{site: s, node: node, inbox: make(chan []byte, inboxPackets), stop: stop, killed: make(chan struct{})}
	logger := s.Logger
	if logger == nil {
		logger = hclog.NewNullLogger()
	}
	p.host = &entry.Host{Settings: s.settings(node), Logger: logger, Network: p.network()}
	s.mu.Lock()
	node.process = p
	s.mu.Unlock()
	s.processes.Go(func() { _ = p.host.Run(ctx) })
}

func (s *Site) settings(node *hostNode) entry.Settings {
	var e entry.Settings
	e.Host, e.DataCentre = fleet.HostID(node.name), fleet.DataCentreID(node.zone)
	e.Listen.Packets = netip.MustParseAddrPort("10.0.0.1:8172")
	e.Store.Address = netip.MustParseAddrPort("10.200.0.1:8169")
	e.Bounds = entry.Bounds{Configuration: s.bound, Drain: s.bound, Evacuation: 5 * time.Second, Stop: 6 * time.Second}
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
		Receive: p.receive,
		Send:    p.send,
		Connect: p.connect,
		Serve: func(ctx context.Context, _ http.Handler) error {
			<-ctx.Done()
			return nil
		},
		Store: storePath{p},
		Now:   time.Now,
		Close: p.kill,
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
	p.site.sent(p.node.zone, append([]byte(nil), datagram...), to)
	return nil
}

func (p *process) connect(ctx context.Context, to netip.AddrPort) error {
	switch p.site.answers(p.node.zone, to) {
	case Running, Draining:
		return nil
	case Refusing:
		return syscall.ECONNREFUSED
	case Dark:
	}
	<-ctx.Done()
	return ctx.Err()
}

// storePath carries a host's calls, unless the host's zone is cut off.
type storePath struct{ process *process }

// RoundTrip makes a call, or hangs.
func (t storePath) RoundTrip(r *http.Request) (*http.Response, error) {
	s := t.process.site
	if t.process.dead() || s.isCut(t.process.node.zone, "") {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	return s.Store.Transport(t.process.node.name).RoundTrip(r)
}
