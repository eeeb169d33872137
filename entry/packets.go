package entry

import (
	"context"
	"net/netip"
	"time"

	"github.com/go-faster/errors"

	"github.com/rattanthread/rattanthread/catalogue"
	"github.com/rattanthread/rattanthread/fleet"
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
			h.metrics.malformed.Inc()
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
	h.mu.Lock()
	known, now := h.snapshot.Load(), h.network.Now()
	confirmed := known.confirmed[catalogue.Configurations]
	d := h.forwarder.Decide(now, known.catalogue, confirmed, p)
	if h.Record != nil {
		h.Record(Event{At: now, Packet: &PacketEvent{Packet: p, Confirmed: confirmed, Decision: d}})
	}
	h.mu.Unlock()
	h.metrics.countDecision(d)
	h.packets++
	if h.packets%sampleEvery == 0 {
		h.metrics.sample(now, h.network.Now(), confirmed)
	}
	if d.Reason != forwarding.ByCookie {
		h.logDecision(p, d, known, now)
	}
	return d
}

// logDecision writes a line for a decision that is not about an open flow.
func (h *Host) logDecision(p forwarding.Packet, d forwarding.Decision, known *snapshot, now time.Time) {
	server := fleet.ServerID("")
	if d.Server != nil {
		server = d.Server.ID
	}
	number := uint64(0)
	if known.catalogue != nil {
		number = known.catalogue.Number
	}
	h.log.Line(d.Reason.String(), "flow", flowName(p), "action", d.Action.String(), "server", server, "tries", d.FailedAttempts,
		"kind", p.Kind.String(), "catalogue", number, "version", known.versions[catalogue.Servers],
		"age_ms", now.Sub(known.confirmed[catalogue.Servers]).Milliseconds(),
		"configuration_age_ms", now.Sub(known.confirmed[catalogue.Configurations]).Milliseconds())
}

// flowName names a flow in logs, by its caller and its route.
func flowName(p forwarding.Packet) string { return p.Source.String() + "-" + p.Destination.String() }

// act carries out a decision. The datagram has room for a tag before the packet.
func (h *Host) act(p forwarding.Packet, d forwarding.Decision, datagram []byte) {
	switch d.Action {
	case forwarding.Forward:
		platform.PutTagAndCookie(datagram, d.Server.Tag, d.Cookie)
		h.send(datagram, d.Server.Address)
	case forwarding.Refuse:
		h.reset(p)
	case forwarding.Drop:
	}
	if d.SuspicionRaised != 0 {
		h.log.Line("suspicion_raised", "server", d.Unresponsive, "flow", flowName(p))
	}
	if d.SuspicionCleared != 0 {
		h.log.Line("suspicion_cleared", "server", d.Server.ID, "flow", flowName(p))
	}
	if d.LoadChanged {
		h.log.Line("load_changed", "server", d.Server.ID, "busy", d.Busy)
	}
	if d.Probe != nil {
		h.askProbes([]*catalogue.Server{d.Probe})
	}
}

// reset sends the reset that answers a packet to the packet's caller.
func (h *Host) reset(p forwarding.Packet) {
	var buffer [platform.HeaderBytes]byte
	port := h.Settings.Listen.Packets.Port()
	h.send(platform.AppendReset(buffer[:0], p), netip.AddrPortFrom(p.Source.Addr(), port))
}

// send sends a datagram. One that can't be sent is lost, as any may be on its way.
func (h *Host) send(datagram []byte, to netip.AddrPort) {
	if err := h.network.Send(datagram, to); err != nil {
		h.metrics.unsent.Inc()
		h.log.Line("send_failed", "to", to, "error", err)
	}
}

// resetFlows ends the flows of a server that can't serve them any more.
func (h *Host) resetFlows(flows []forwarding.Packet, server fleet.ServerID, reason forwarding.Reason) {
	for _, p := range flows {
		h.reset(p)
		h.log.Line("flow_reset", "flow", flowName(p), "server", server, "reason", reason.String())
	}
	h.metrics.reset.WithLabelValues(reason.String()).Add(float64(len(flows)))
}
