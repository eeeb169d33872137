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

// maxStartupWait is how long packets may wait for the first catalogue. Callers retransmit an
// unanswered packet after 200 ms.
const maxStartupWait = time.Second

// forward reads packets and forwards them until the socket is closed.
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
		h.execute(packet, h.decide(packet), datagram[:platform.TagBytes+n])
	}
}

// awaitReady waits for the first catalogue. Until then packets stay in the socket buffer.
func (h *Host) awaitReady(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, maxStartupWait)
	defer cancel()
	select {
	case <-h.ready:
	case <-ctx.Done():
	}
}

func (h *Host) decide(packet forwarding.Packet) forwarding.Decision {
	h.mu.Lock()
	current, now := h.snapshot.Load(), h.network.Now()
	confirmed := current.confirmation()
	decision := h.forwarder.Decide(now, current.catalogue, confirmed, packet)
	if h.Record != nil {
		h.Record(Event{At: now, Packet: &PacketEvent{Packet: packet, Confirmed: confirmed, Decision: decision}})
	}
	h.mu.Unlock()
	h.metrics.countDecision(decision)
	h.packetCount++
	if h.packetCount%sampleEvery == 0 {
		h.metrics.observeDecision(now, h.network.Now(), confirmed.Configuration)
	}
	if decision.Reason != forwarding.ByCookie {
		h.logDecision(packet, decision, current, now)
	}
	return decision
}

// logDecision logs a decision on a packet that doesn't belong to an open flow.
func (h *Host) logDecision(packet forwarding.Packet, decision forwarding.Decision, current *snapshot, now time.Time) {
	server := fleet.ServerID("")
	if decision.Server != nil {
		server = decision.Server.ID
	}
	number := uint64(0)
	if current.catalogue != nil {
		number = current.catalogue.Number
	}
	pairs := []any{
		"flow", flowName(packet), "action", decision.Action.String(), "server", server, "tries", decision.FailedAttempts,
		"kind", packet.Kind.String(), "catalogue", number, "version", current.versions[catalogue.Servers],
		"age_ms", loggedAge(now, current.catalogueConfirmed[catalogue.Servers]),
		"configuration_age_ms", loggedAge(now, current.catalogueConfirmed[catalogue.Configurations]),
	}
	switch decision.Reason {
	case forwarding.NoRoom:
		pairs = append(pairs, "data_centre", decision.AdmittedBy)
	case forwarding.NoRoute, forwarding.RouteUnknown:
		pairs = append(pairs, "configuration", current.catalogue.Configuration.Number,
			"complete_age_ms", loggedAge(now, current.catalogueComplete[catalogue.Configurations]), "flow_age_ms", loggedAge(now, decision.OpenSince))
	case forwarding.ServerGone:
		pairs = append(pairs, "complete_age_ms", loggedAge(now, current.catalogueComplete[catalogue.Servers]), "flow_age_ms", loggedAge(now, decision.OpenSince))
	}
	h.log.Line(decision.Reason.String(), pairs...)
}

// flowName returns the name of a flow in logs, its source and destination.
func flowName(p forwarding.Packet) string { return p.Source.String() + "-" + p.Destination.String() }

// execute carries out a decision. The datagram has room for a tag before the packet.
func (h *Host) execute(packet forwarding.Packet, decision forwarding.Decision, datagram []byte) {
	switch decision.Action {
	case forwarding.Forward:
		platform.PutTagAndCookie(datagram, decision.Server.Tag, decision.Cookie)
		h.send(datagram, decision.Server.Address)
	case forwarding.Refuse:
		h.sendReset(packet)
	case forwarding.Drop:
	}
	if decision.SuspicionRaised != 0 {
		h.log.Line("suspicion_raised", "server", decision.Unresponsive, "flow", flowName(packet))
	}
	if decision.SuspicionCleared != 0 {
		h.log.Line("suspicion_cleared", "server", decision.Server.ID, "flow", flowName(packet))
	}
	if decision.LoadChanged {
		h.log.Line("load_changed", "server", decision.Server.ID, "busy", decision.Busy)
	}
	if decision.Probe != nil {
		h.requestProbes([]*catalogue.Server{decision.Probe})
	}
}

// sendReset sends a reset in response to a packet.
func (h *Host) sendReset(p forwarding.Packet) {
	var buffer [platform.HeaderBytes]byte
	port := h.Settings.Listen.Packets.Port()
	h.send(platform.AppendReset(buffer[:0], p), netip.AddrPortFrom(p.Source.Addr(), port))
}

// send sends a datagram. Failures are counted and logged only, as datagrams may be lost on
// the network anyway.
func (h *Host) send(datagram []byte, to netip.AddrPort) {
	if err := h.network.Send(datagram, to); err != nil {
		h.metrics.sendFailures.Inc()
		h.log.Line("send_failed", "to", to, "error", err)
	}
}

// resetFlows resets flows whose server can no longer serve them.
func (h *Host) resetFlows(flows []forwarding.Packet, server fleet.ServerID, reason forwarding.Reason) {
	for _, p := range flows {
		h.sendReset(p)
		h.log.Line("flow_reset", "flow", flowName(p), "server", server, "reason", reason.String())
	}
	h.metrics.flowsReset.WithLabelValues(reason.String()).Add(float64(len(flows)))
}
