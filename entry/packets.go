package entry

import (
	"context"
	"net/netip"
	"time"

	"github.com/go-faster/errors"

	"github.com/rattanthread/rattanthread/catalogue"
	"github.com/rattanthread/rattanthread/forwarding"
	"github.com/rattanthread/rattanthread/platform"
)

// startHold is how long packets may wait for the first catalogue. Callers send
// an unanswered packet again after 200 ms.
const startHold = time.Second

// forward decides on each packet until the socket is closed.
func (h *Host) forward(ctx context.Context) error {
	h.awaitReady(ctx)
	datagram := make([]byte, platform.TagBytes+platform.MaxPacketBytes+1)
	for {
		n, err := h.network.Receive(datagram[platform.TagBytes:])
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
	return h.forwarder.Decide(h.network.Now(), known.catalogue, known.confirmed[catalogue.Configurations], p)
}

// act carries out a decision. The datagram has room for a tag before the packet.
func (h *Host) act(p forwarding.Packet, d forwarding.Decision, datagram []byte) {
	switch d.Action {
	case forwarding.Forward:
		platform.Address(datagram, d.Server.Tag, d.Cookie)
		_ = h.network.Send(datagram, d.Server.Address)
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
	_ = h.network.Send(platform.AppendReset(buffer[:0], p), netip.AddrPortFrom(p.Source.Addr(), port))
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
