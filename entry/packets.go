package entry

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/go-faster/errors"

	"github.com/rattanthread/rattanthread/catalogue"
	"github.com/rattanthread/rattanthread/forwarding"
	"github.com/rattanthread/rattanthread/platform"
)

const (
	// receiveBuffer is the room for packets that wait to be read, in bytes.
	receiveBuffer = 1 << 20
	// startHold is how long packets may wait for the first catalogue. Callers
	// send an unanswered packet again after 200 ms.
	startHold = time.Second
)

func (h *Host) listenPackets() (*net.UDPConn, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(h.Settings.Listen.Packets))
	if err != nil {
		return nil, err
	}
	_ = conn.SetReadBuffer(receiveBuffer)
	return conn, nil
}

// forward decides on each packet until the socket is closed.
func (h *Host) forward(ctx context.Context) error {
	h.awaitReady(ctx)
	datagram := make([]byte, platform.TagBytes+platform.MaxPacketBytes+1)
	for {
		n, _, err := h.packets.ReadFromUDPAddrPort(datagram[platform.TagBytes:])
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
		h.act(packet, h.decide(packet), datagram[:platform.TagBytes+n])
	}
}

// awaitReady leaves the first packets in the socket until there is a catalogue.
func (h *Host) awaitReady(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, startHold)
	defer cancel()
	select {
	case <-h.ready:
	case <-ctx.Done():
	}
}

func (h *Host) decide(p forwarding.Packet) forwarding.Decision {
	known := h.snapshot.Load()
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.forwarder.Decide(now(), known.catalogue, known.confirmed, p)
}

// act carries out a decision. The datagram has room for a tag before the packet.
func (h *Host) act(p forwarding.Packet, d forwarding.Decision, datagram []byte) {
	switch d.Action {
	case forwarding.Forward:
		platform.Address(datagram, d.Server.Tag, d.Cookie)
		_, _ = h.packets.WriteToUDPAddrPort(datagram, d.Server.Address)
	case forwarding.Refuse:
		h.Logger.Info("reset", "flow", p.Source, "route", p.Destination, "reason", d.Reason.String())
		h.reset(p)
	case forwarding.Drop:
	}
	if d.Raised != 0 {
		h.Logger.Info("server suspected", "cookie", d.Raised)
	}
	if d.Probe != nil {
		select {
		case h.probes <- d.Probe:
		default:
		}
	}
}

// reset sends the reset that answers a packet to the packet's caller.
func (h *Host) reset(p forwarding.Packet) {
	var buffer [platform.HeaderBytes]byte
	port := h.Settings.Listen.Packets.Port()
	_, _ = h.packets.WriteToUDPAddrPort(platform.AppendReset(buffer[:0], p), netip.AddrPortFrom(p.Source.Addr(), port))
}

// resetFlows ends the flows of a server that can't serve them any more.
func (h *Host) resetFlows(flows []forwarding.Packet, server catalogue.Cookie, reason forwarding.Reason) {
	for _, p := range flows {
		h.reset(p)
	}
	if len(flows) > 0 {
		h.Logger.Info("flows reset", "server", server, "flows", len(flows), "reason", reason.String())
	}
}
