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

// Ports of all hosts. Each has a loopback address of its own.
const (
	packetsPort   = 8172
	readinessPort = 8167
	peersPort     = 8166
	metricsPort   = 9102
	targetPort    = 8080
)

// packetBytes is room for the longest datagram.
const packetBytes = 2048

// listenPause is how often a target's listener follows the target's state.
const listenPause = 10 * time.Millisecond

// world is the site with sockets around it.
type world struct {
	site  *platformstandin.Site
	store net.Listener

	mu      sync.Mutex
	sockets []net.PacketConn
	zones   map[netip.Addr]string
	done    chan struct{}
	err     error
}

func hostAddress(index int) netip.Addr { return netip.AddrFrom4([4]byte{127, 0, 1, byte(index + 1)}) }

// newWorld opens the store's socket. Those of targets and clients are opened as
// the site asks for their addresses.
func newWorld(site *platformstandin.Site) (*world, error) {
	store, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &world{site: site, store: store, zones: make(map[netip.Addr]string), done: make(chan struct{})}
	go func() { _ = (&http.Server{Handler: &site.Store, ReadHeaderTimeout: time.Second}).Serve(store) }()
	site.Address = func(number int) netip.AddrPort {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 2, byte(number)}), targetPort)
		w.receive(address)
		go w.answerConnections(address)
		return address
	}
	site.ClientAddress = func(zone, number int) netip.Addr {
		address := netip.AddrFrom4([4]byte{127, byte(64 + zone), byte(number >> 8), byte(number)})
		w.receive(netip.AddrPortFrom(address, packetsPort))
		return address
	}
	return w, nil
}

// receive takes in the datagrams to an address.
func (w *world) receive(address netip.AddrPort) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil {
		w.err = fmt.Errorf("listen on %s: %w", address, err)
		return
	}
	w.sockets = append(w.sockets, conn)
	go func() {
		buffer := make([]byte, packetBytes)
		for {
			n, from, err := conn.ReadFromUDPAddrPort(buffer)
			if err != nil {
				return
			}
			w.site.Sent(w.zoneOf(from.Addr()), append([]byte(nil), buffer[:n]...), address)
		}
	}()
}

func (w *world) zoneOf(host netip.Addr) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.zones[host.Unmap()]
}

// answerConnections accepts connections to a target while it lives.
func (w *world) answerConnections(address netip.AddrPort) {
	var listener net.Listener
	for {
		alive := w.site.State(address) < platformstandin.Refusing
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
		case <-w.done:
			if listener != nil {
				_ = listener.Close()
			}
			return
		case <-time.After(listenPause):
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

func (w *world) close() {
	close(w.done)
	_ = w.store.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, conn := range w.sockets {
		_ = conn.Close()
	}
}
