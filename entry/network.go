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
	// receiveBuffer is the room for packets that wait to be read, in bytes.
	receiveBuffer = 1 << 20
	// dialTimeout bounds the opening of a connection to the store.
	dialTimeout = 500 * time.Millisecond
	// readHeaderTimeout bounds how long a health check may take to ask.
	readHeaderTimeout = 2 * time.Second
)

// Network is how a host reaches the world. All fields must be set.
type Network struct {
	// Receive waits for the next packet of a caller and returns its size.
	Receive func(buffer []byte) (int, error)
	// Send sends a datagram.
	Send func(datagram []byte, to netip.AddrPort) error
	// Identify opens a connection to an address and asks by a health check who is
	// there. The id is empty if a connection was accepted and nothing was told.
	Identify func(ctx context.Context, to netip.AddrPort, path string) (fleet.ServerID, error)
	// Serve answers health checks until ctx ends.
	Serve func(ctx context.Context, checks http.Handler) error
	// ServeMetrics answers who asks for metrics until ctx ends.
	ServeMetrics func(ctx context.Context, metrics http.Handler) error
	// ServeFeed accepts the streams of other hosts until ctx ends.
	ServeFeed func(ctx context.Context, accept func(context.Context, *Stream)) error
	// DialFeed opens a stream to another host.
	DialFeed func(ctx context.Context, to netip.AddrPort) (*Stream, error)
	// Store carries the calls on the store.
	Store http.RoundTripper
	// Now tells the time. Suspended time counts.
	Now func() time.Time
	// Close ends Receive.
	Close func()
}

// listen opens the sockets of a host, all or none.
func listen(s Settings) (Network, error) {
	packets, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(s.Listen.Packets))
	if err != nil {
		return Network{}, errors.Wrap(err, "listen.packets")
	}
	_ = packets.SetReadBuffer(receiveBuffer)
	listeners, err := listenAll([]named{
		{"listen.readiness", s.Listen.Readiness}, {"listen.peers", s.Listen.Peers}, {"listen.metrics", s.Listen.Metrics},
	})
	if err != nil {
		_ = packets.Close()
		return Network{}, err
	}
	readiness, peers, metrics := listeners[0], listeners[1], listeners[2]
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
			return serve(ctx, peers, acceptFeed(accept))
		},
		DialFeed: dialFeed,
		Store: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
			MaxIdleConnsPerHost: catalogue.SourceCount,
			DisableCompression:  true,
		},
		Now:   now,
		Close: func() { _ = packets.Close() },
	}, nil
}

// named is an address with its key in the settings.
type named struct {
	key     string
	address netip.AddrPort
}

// listenAll opens TCP sockets, all or none.
func listenAll(addresses []named) ([]net.Listener, error) {
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

func serve(ctx context.Context, listener net.Listener, checks http.Handler) error {
	server := http.Server{Handler: checks, ReadHeaderTimeout: readHeaderTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve")
	}
	return nil
}

// now returns the time since the machine's start. Unlike the time of day it
// never jumps, and unlike the steady clock it counts the time that the machine
// was suspended, so that what is known is as old as it seems.
func now() time.Time {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Now()
	}
	return time.Unix(t.Unix())
}
