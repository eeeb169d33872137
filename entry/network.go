package entry

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"

	"github.com/rattanthread/rattanthread/catalogue"
	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/platform"
)

const (
	// receiveBufferBytes is the size of the socket receive buffer.
	receiveBufferBytes = 1 << 20
	// storeDialTimeout bounds the opening of a connection to the store.
	storeDialTimeout = 500 * time.Millisecond
	// readHeaderTimeout bounds the reading of an HTTP request header.
	readHeaderTimeout = 2 * time.Second
)

// Network is the I/O and the clock of a host. All fields must be set, except for ServeLoads and DialLoads.
type Network struct {
	// Receive waits for the next packet of a caller, reads it and returns its size.
	Receive func(buffer []byte) (int, error)
	Send    func(datagram []byte, to netip.AddrPort) error
	// Identify sends a health check to a server and returns the ID that it responds with.
	// The ID is empty if the connection was accepted but no ID was received. It calls connected
	// when the connection is open.
	Identify func(ctx context.Context, to netip.AddrPort, path string, connected func()) (fleet.ServerID, error)
	// Serve serves health checks until ctx ends.
	Serve func(ctx context.Context, checks http.Handler) error
	// ServeMetrics serves metrics until ctx ends.
	ServeMetrics func(ctx context.Context, metrics http.Handler) error
	// ServeFeed accepts streams of other hosts until ctx ends.
	ServeFeed func(ctx context.Context, accept func(context.Context, *Stream)) error
	// DialFeed opens a stream to another host.
	DialFeed func(ctx context.Context, to netip.AddrPort) (*Stream, error)
	// ServeLoads accepts streams of hosts in other data centres until ctx ends, and DialLoads opens
	// one. If they are nil, no loads are exchanged with other data centres.
	ServeLoads func(ctx context.Context, accept func(context.Context, *Stream)) error
	DialLoads  func(ctx context.Context, to netip.AddrPort) (*Stream, error)
	// Store performs the calls to the store.
	Store http.RoundTripper
	// Now returns the current time of a clock that also runs while the machine is suspended.
	Now func() time.Time
	// Close makes Receive return an error.
	Close func()
}

// listen opens the sockets of a host, all or none.
func listen(settings Settings) (Network, error) {
	packets, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(settings.Listen.Packets))
	if err != nil {
		return Network{}, errors.Wrap(err, "listen.packets")
	}
	_ = packets.SetReadBuffer(receiveBufferBytes)
	listeners, err := listenAll([]namedAddress{
		{"listen.readiness", settings.Listen.Readiness}, {"listen.peers", settings.Listen.Peers}, {"listen.metrics", settings.Listen.Metrics},
	})
	if err != nil {
		_ = packets.Close()
		return Network{}, err
	}
	readiness, peers, metrics := listeners[0], listeners[1], listeners[2]
	var loads loadsEndpoint
	return Network{
		Receive: func(buffer []byte) (int, error) {
			n, _, err := packets.ReadFromUDPAddrPort(buffer)
			return n, err
		},
		Send: func(datagram []byte, to netip.AddrPort) error {
			_, err := packets.WriteToUDPAddrPort(datagram, to)
			return err
		},
		Identify:     platform.Identify,
		Serve:        func(ctx context.Context, checks http.Handler) error { return serve(ctx, readiness, checks) },
		ServeMetrics: func(ctx context.Context, handler http.Handler) error { return serve(ctx, metrics, handler) },
		ServeFeed: func(ctx context.Context, accept func(context.Context, *Stream)) error {
			return serve(ctx, peers, loads.handler(feedHandler(accept)))
		},
		DialFeed:   dialFeed,
		ServeLoads: loads.serve,
		DialLoads:  dialLoads,
		Store: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: storeDialTimeout}).DialContext,
			MaxIdleConnsPerHost: catalogue.SourceCount,
			DisableCompression:  true,
		},
		Now:   now,
		Close: func() { _ = packets.Close() },
	}, nil
}

// namedAddress is an address and its key in the settings.
type namedAddress struct {
	key     string
	address netip.AddrPort
}

// listenAll opens TCP sockets, all or none.
func listenAll(addresses []namedAddress) ([]net.Listener, error) {
	var listeners []net.Listener
	for _, a := range addresses {
		listener, err := net.Listen("tcp4", a.address.String())
		if err != nil {
			for _, open := range listeners {
				_ = open.Close()
			}
			return nil, errors.Wrap(err, a.key)
		}
		listeners = append(listeners, listener)
	}
	return listeners, nil
}

func serve(ctx context.Context, listener net.Listener, handler http.Handler) error {
	server := http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve HTTP")
	}
	return nil
}

// now returns the time since boot. Unlike the wall clock it never jumps, and unlike
// CLOCK_MONOTONIC it includes the time for which the machine was suspended, which counts
// for the age of the state.
func now() time.Time {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Now()
	}
	return time.Unix(t.Unix())
}
