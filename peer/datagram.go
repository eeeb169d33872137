package peer

import (
	"context"
	"net"

	"github.com/go-faster/errors"

	"github.com/rattanthread/rattanthread/fleet"
)

// sendDatagram sends a heartbeat at once. Datagrams need no queue: the socket
// drops what the network does not take.
func (h *Hub) sendDatagram(to fleet.HostID, kind fleet.MessageKind, body []byte) {
	h.mu.Lock()
	socket := h.datagrams
	h.mu.Unlock()
	if socket == nil {
		h.drop(ReasonClosed)
		return
	}
	address, ok := h.Address(to)
	if !ok {
		h.drop(ReasonNoAddress)
		return
	}
	b, err := h.seal(to, PathDatagram, kind, body)
	if err != nil {
		h.drop(ReasonEncode)
		return
	}
	if _, err := socket.WriteTo(b, net.UDPAddrFromAddrPort(address)); err != nil {
		h.drop(ReasonWrite)
		return
	}
	h.count(PathDatagram, kind, len(b))
}

// count notes a message that was sent, by path and by kind.
func (h *Hub) count(path Path, kind fleet.MessageKind, n int) {
	h.counters.kinds.WithLabelValues(string(kind)).Add(float64(n))
	h.counters.sent.WithLabelValues(path.String()).Inc()
	h.counters.bytes.WithLabelValues(path.String(), "out").Add(float64(n))
}

// readDatagrams takes datagrams until the socket is closed.
func (h *Hub) readDatagrams(ctx context.Context, socket net.PacketConn) error {
	// One byte more than allowed shows that a datagram is too long.
	b := make([]byte, h.limits.DatagramBytes+1)
	for {
		n, _, err := socket.ReadFrom(b)
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case errors.Is(err, net.ErrClosed):
			return errors.Wrap(err, "read datagrams from peers")
		case err != nil:
			continue // an ICMP error about an earlier datagram
		case n > h.limits.DatagramBytes:
			h.refuse(ReasonOversize)
			continue
		}
		_ = h.take(PathDatagram, b[:n]) // counted
	}
}
