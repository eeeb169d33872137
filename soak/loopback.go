package soak

import (
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/rattanthread/rattanthread/platformstandin"
)

// Ports of hosts and targets. Each host and target has its own loopback address.
const (
	packetsPort   = 8172
	readinessPort = 8167
	peersPort     = 8166
	metricsPort   = 9102
	targetPort    = 8080
)

// maxDatagramBytes is the maximum size of a datagram.
const maxDatagramBytes = 2048

// pollInterval is the time between checks of the state of a target or process.
const pollInterval = 10 * time.Millisecond

// loopback connects a site to sockets on the loopback interface.
type loopback struct {
	site  *platformstandin.Site
	store net.Listener

	mu         sync.Mutex
	sockets    []net.PacketConn
	zoneByHost map[netip.Addr]string
	done       chan struct{}
	err        error
}

func hostAddress(index int) netip.Addr { return netip.AddrFrom4([4]byte{127, 0, 1, byte(index + 1)}) }

// newLoopback opens the socket of the store. The sockets of targets and clients are
// opened when the site requests their addresses.
func newLoopback(site *platformstandin.Site) (*loopback, error) {
	store, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	network := &loopback{site: site, store: store, zoneByHost: make(map[netip.Addr]string), done: make(chan struct{})}
	go func() { _ = (&http.Server{Handler: &site.Store, ReadHeaderTimeout: time.Second}).Serve(store) }()
	site.TargetAddress = func(number int) netip.AddrPort {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 2, byte(number)}), targetPort)
		network.receiveDatagrams(address)
		go network.acceptConnections(address)
		return address
	}
	site.ClientAddress = func(zone, number int) netip.Addr {
		address := netip.AddrFrom4([4]byte{127, byte(64 + zone), byte(number >> 8), byte(number)})
		network.receiveDatagrams(netip.AddrPortFrom(address, packetsPort))
		return address
	}
	return network, nil
}

// receiveDatagrams passes the datagrams that are sent to an address to the site.
func (l *loopback) receiveDatagrams(address netip.AddrPort) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.err = fmt.Errorf("listen on %s: %w", address, err)
		return
	}
	l.sockets = append(l.sockets, conn)
	go func() {
		buffer := make([]byte, maxDatagramBytes)
		for {
			n, from, err := conn.ReadFromUDPAddrPort(buffer)
			if err != nil {
				return
			}
			l.site.Transmit(l.zoneOf(from.Addr()), append([]byte(nil), buffer[:n]...), address)
		}
	}()
}

func (l *loopback) zoneOf(host netip.Addr) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.zoneByHost[host.Unmap()]
}

// acceptConnections accepts connections to a target while it is running or draining.
func (l *loopback) acceptConnections(address netip.AddrPort) {
	var listener net.Listener
	for {
		alive := l.site.StateOf(address) < platformstandin.Refusing
		if alive && listener == nil {
			listener, _ = net.Listen("tcp4", address.String())
			if listener != nil {
				go acceptAndClose(listener)
			}
		}
		if !alive && listener != nil {
			_ = listener.Close()
			listener = nil
		}
		select {
		case <-l.done:
			if listener != nil {
				_ = listener.Close()
			}
			return
		case <-time.After(pollInterval):
		}
	}
}

func acceptAndClose(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_ = conn.Close()
	}
}

func (l *loopback) close() {
	close(l.done)
	_ = l.store.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, conn := range l.sockets {
		_ = conn.Close()
	}
}
