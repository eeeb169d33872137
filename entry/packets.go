package entry

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/go-faster/errors"

	"github.com/rattanthread/rattanthread/forwarding"
	"github.com/rattanthread/rattanthread/placement"
	"github.com/rattanthread/rattanthread/platform"
)

// receiveBuffer is the room for packets that wait to be read, in bytes.
const receiveBuffer = 1 << 20

func (h *Host) listenPackets() (*net.UDPConn, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(h.Settings.Listen.Packets))
	if err != nil {
		return nil, err
	}
	_ = conn.SetReadBuffer(receiveBuffer)
	return conn, nil
}

// forward decides on each packet until the socket is closed.
func (h *Host) forward(ctx context.Context, conn *net.UDPConn) error {
	forwarder := forwarding.Forwarder{Chooser: placement.Chooser{DataCentre: h.Settings.DataCentre}}
	datagram := make([]byte, platform.TagBytes+platform.MaxPacketBytes+1)
	reset := make([]byte, 0, platform.HeaderBytes)
	port := h.Settings.Listen.Packets.Port()
	for {
		n, _, err := conn.ReadFromUDPAddrPort(datagram[platform.TagBytes:])
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "read packets")
		}
		packet, err := platform.ParsePacket(datagram[platform.TagBytes : platform.TagBytes+n])
		if err != nil {
			continue
		}
		known := h.snapshot.Load()
		decision := forwarder.Decide(time.Now(), known.catalogue, known.confirmed, packet)
		h.logDecision(packet, decision)
		switch decision.Action {
		case forwarding.Forward:
			platform.Address(datagram, decision.Server.Tag, decision.Cookie)
			_, _ = conn.WriteToUDPAddrPort(datagram[:platform.TagBytes+n], decision.Server.Address)
		case forwarding.Refuse:
			reset = platform.AppendReset(reset[:0], packet)
			_, _ = conn.WriteToUDPAddrPort(reset, netip.AddrPortFrom(packet.Source.Addr(), port))
		case forwarding.Drop:
		}
	}
}

func (h *Host) logDecision(p forwarding.Packet, d forwarding.Decision) {
	if d.Action == forwarding.Refuse {
		h.Logger.Info("reset", "flow", p.Source, "route", p.Destination, "reason", d.Reason.String())
	}
	if d.Raised != 0 {
		h.Logger.Info("server suspected", "cookie", d.Raised)
	}
}
