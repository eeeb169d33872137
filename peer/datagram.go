package peer

import (
	"context"
	"net"

	"github.com/go-faster/errors"

	"github.com/rattanthread/rattanthread/fleet"
)

// sendDatagram sends a heartbeat immediately. Datagrams need no queue: the socket
// drops those that the network does not accept.
func (h *Hub) sendDatagram(to fleet.HostID, kind fleet.MessageKind, body []byte) {
	h.mu.Lock()
	socket := h.datagrams
	h.mu.Unlock()
	if socket == nil {
		h.countDropped(ReasonClosed)
		return
	}
	address, ok := h.Address(to)
	if !ok {
		h.countDropped(ReasonNoAddress)
		return
	}
	sealed, err := h.seal(to, PathDatagram, kind, body)
	if err != nil {
		h.countDropped(ReasonEncode)
		return
	}
	if _, err := socket.WriteTo(sealed, net.UDPAddrFromAddrPort(address)); err != nil {
		h.countDropped(ReasonWrite)
		return
	}
	h.countSent(PathDatagram, kind, len(sealed))
}

// countSent records a sent message of n bytes by path and by kind.
func (h *Hub) countSent(path Path, kind fleet.MessageKind, n int) {
	h.metrics.kindBytes.WithLabelValues(string(kind)).Add(float64(n))
	h.metrics.sent.WithLabelValues(path.String()).Inc()
	h.metrics.bytes.WithLabelValues(path.String(), "out").Add(float64(n))
}

// readDatagrams receives datagrams until the socket is closed.
func (h *Hub) readDatagrams(ctx context.Context, socket net.PacketConn) error {
	// The extra byte reveals datagrams that exceed the limit.
	buffer := make([]byte, h.limits.DatagramBytes+1)
	for {
		n, _, err := socket.ReadFrom(buffer)
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case errors.Is(err, net.ErrClosed):
			return errors.Wrap(err, "read datagrams from peers")
		case err != nil:
			continue // for example an ICMP error about an earlier datagram
		case n > h.limits.DatagramBytes:
			h.countRefused(ReasonOversize)
			continue
		}
		_ = h.receive(PathDatagram, buffer[:n]) // refusals are counted
	}
}
