package host

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/go-faster/errors"

	"github.com/rattanthread/rattanthread/backend"
	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/flow"
	"github.com/rattanthread/rattanthread/packet"
)

// readPoll is how often a worker that waits for a packet looks whether it must end.
const readPoll = 200 * time.Millisecond

// worker reads datagrams from one socket, decides and sends them on. Each worker
// is one goroutine.
type worker struct {
	host   *Host
	parts  *parts
	name   string
	socket *net.UDPConn
	handed bool

	parser packet.Parser
	opener packet.Opener
	sealer packet.Sealer
	in     packet.Packet
	buffer [packet.MaxInner + packet.MaxOverhead + 1]byte
	out    []byte
	counts packetCounts
}

func newPacketWorker(h *Host, p *parts, index int) *worker {
	return newWorker(h, p, "packet", p.sockets.packet, index, false)
}

func newHandoffWorker(h *Host, p *parts, index int) *worker {
	return newWorker(h, p, "handoff", p.sockets.handoff, index, true)
}

func newWorker(h *Host, p *parts, name string, socket *net.UDPConn, index int, handed bool) *worker {
	stream := uint64(h.Incarnation) + uint64(index)
	return &worker{
		host:   h,
		parts:  p,
		name:   name,
		socket: socket,
		handed: handed,
		opener: packet.Opener{Key: p.key, Self: h.Settings.Host, Window: p.loop.window},
		sealer: packet.Sealer{Key: p.key, From: h.Settings.Host, Stream: stream},
		counts: newPacketCounts(p.counters),
	}
}

// serve carries packets until ctx ends.
func (w *worker) serve(ctx context.Context) error {
	for ctx.Err() == nil {
		_ = w.socket.SetReadDeadline(time.Now().Add(readPoll))
		n, _, err := w.socket.ReadFromUDPAddrPort(w.buffer[:])
		switch {
		case err == nil:
			w.carry(w.buffer[:n])
		case isTimeout(err):
		case errors.Is(err, net.ErrClosed):
			return nil
		default:
			return errors.Wrapf(err, "read the %s socket", w.name)
		}
	}
	return nil
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// carry decides about one datagram and does what was decided.
func (w *worker) carry(data []byte) {
	now := w.host.Now()
	var from fleet.HostID
	if w.handed {
		var header packet.Handoff
		inner, err := w.opener.Open(now, data, &header)
		if err != nil {
			w.refuse(err)
			return
		}
		data, from = inner, header.From
	}
	if err := w.parser.Parse(data, &w.in); err != nil {
		w.refuse(err)
		return
	}
	if w.parts.loop.isStale(now) {
		w.refuse(reasonStale)
		return
	}
	input := w.input(from)
	decision := w.parts.loop.core.Load().Router().Decide(now, &input)
	if decision.Action == flow.Forward && w.parts.silence.Observe(now, &input, decision.SilentTimeout) {
		w.end()
		return
	}
	w.counts.decided(decision.Action, decision.Reason)
	w.act(now, &input, &decision)
}

// reasonSilent ends a flow whose server has stopped answering.
const reasonSilent flow.Reason = "silent"

// end resets a flow that has gone silent, so that the caller opens a new one.
func (w *worker) end() {
	w.counts.decided(flow.Reset, reasonSilent)
	w.reset()
}

// reasonStale refuses packets while the control state stands still.
const reasonStale packet.Reason = "stale"

func (w *worker) refuse(err error) {
	reason := packet.ReasonMalformed
	errors.As(err, &reason)
	w.parts.counters.refused.WithLabelValues(w.name, string(reason)).Inc()
}

func (w *worker) input(from fleet.HostID) flow.Input {
	return flow.Input{
		Key:             w.in.Key,
		SYN:             w.in.Flags.Has(packet.SYN),
		ACK:             w.in.Flags.Has(packet.ACK),
		FIN:             w.in.Flags.Has(packet.FIN),
		RST:             w.in.Flags.Has(packet.RST),
		Handed:          w.handed,
		From:            from,
		PayloadLen:      w.in.PayloadLen,
		Sequence:        w.in.Sequence,
		Acknowledgement: w.in.Acknowledgement,
	}
}

func (w *worker) act(now time.Time, input *flow.Input, d *flow.Decision) {
	switch d.Action {
	case flow.Forward:
		w.send("forward", w.in.Inner, d.Address)
		w.observe(now, input, d)
	case flow.HandOff:
		w.handOff(now, d.Host)
	case flow.Reset:
		w.reset()
	}
}

func (w *worker) send(action string, data []byte, to netip.AddrPort) {
	if _, err := w.socket.WriteToUDPAddrPort(data, to); err != nil {
		w.parts.counters.sendErrors.WithLabelValues(action).Inc()
		return
	}
	w.counts.sent(action, len(data))
}

func (w *worker) handOff(now time.Time, to fleet.HostID) {
	snapshot := w.parts.loop.snapshot()
	peer, ok := snapshot.Hosts[to]
	if !ok || !peer.HandoffAddress.IsValid() {
		w.parts.counters.handoffs.WithLabelValues("unknown_host").Inc()
		return
	}
	sealed, err := w.sealer.AppendSealed(w.out[:0], now, to, uint64(snapshot.Revised.Revision), w.in.Inner)
	if err != nil {
		w.parts.counters.handoffs.WithLabelValues("not_sealed").Inc()
		return
	}
	w.out = sealed
	w.send("handoff", sealed, peer.HandoffAddress)
}

// reset answers the caller, at the port where the callers' network takes
// encapsulated packets.
func (w *worker) reset() {
	if w.in.Key.Protocol != fleet.ProtocolTCP {
		return
	}
	w.out = packet.AppendReset(w.out[:0], &w.in)
	if len(w.out) == 0 {
		return
	}
	caller := w.in.Key.SourceAddress().Addr()
	w.send("reset", w.out, netip.AddrPortFrom(caller, w.host.Settings.Listen.AnswerPort))
}

// observe gives the control state what the handshake tells about the server.
func (w *worker) observe(now time.Time, input *flow.Input, d *flow.Decision) {
	evidence, ok := w.parts.handshake.Observe(now, backend.Packet{
		Key: input.Key, SYN: input.SYN, ACK: input.ACK, RST: input.RST, Server: d.Server,
	})
	if ok {
		w.parts.loop.observe(evidence)
	}
}
