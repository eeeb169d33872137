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

// readTimeout bounds one read from a socket, after which a worker checks whether
// its context has ended.
const readTimeout = 200 * time.Millisecond

// worker reads datagrams from one socket and forwards, hands off or drops the
// packets that they carry, or resets their flows. It is not safe for concurrent use.
type worker struct {
	host       *Host
	components *hostComponents
	name       string
	socket     *net.UDPConn
	isHandoff  bool

	parser   packet.Parser
	opener   packet.Opener
	sealer   packet.Sealer
	in       packet.Packet
	buffer   [packet.MaxInner + packet.MaxOverhead + 1]byte
	out      []byte
	counters packetCounters
}

func newPacketWorker(host *Host, components *hostComponents, index int) *worker {
	return newWorker(host, components, "packet", components.sockets.packet, index, false)
}

func newHandoffWorker(host *Host, components *hostComponents, index int) *worker {
	return newWorker(host, components, "handoff", components.sockets.handoff, index, true)
}

func newWorker(host *Host, components *hostComponents, name string, socket *net.UDPConn, index int, isHandoff bool) *worker {
	stream := uint64(host.Incarnation) + uint64(index)
	return &worker{
		host:       host,
		components: components,
		name:       name,
		socket:     socket,
		isHandoff:  isHandoff,
		opener:     packet.Opener{Key: components.key, Self: host.Settings.Host, Window: components.loop.window},
		sealer:     packet.Sealer{Key: components.key, From: host.Settings.Host, Stream: stream},
		counters:   newPacketCounters(components.counters),
	}
}

// serve processes packets until ctx ends.
func (w *worker) serve(ctx context.Context) error {
	for ctx.Err() == nil {
		_ = w.socket.SetReadDeadline(time.Now().Add(readTimeout))
		n, _, err := w.socket.ReadFromUDPAddrPort(w.buffer[:])
		switch {
		case err == nil:
			w.process(w.buffer[:n])
		case isTimeout(err):
		case errors.Is(err, net.ErrClosed):
			return nil
		default:
			return errors.Wrapf(err, "read %s socket", w.name)
		}
	}
	return nil
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// process applies the router's decision to the packet in one datagram. It refuses
// packets while the control loop makes no progress.
func (w *worker) process(data []byte) {
	now := w.host.Now()
	var from fleet.HostID
	if w.isHandoff {
		var header packet.Handoff
		inner, err := w.opener.Open(now, data, &header)
		if err != nil {
			w.countRefused(err)
			return
		}
		data, from = inner, header.From
	}
	if err := w.parser.Parse(data, &w.in); err != nil {
		w.countRefused(err)
		return
	}
	if w.components.loop.isStale(now) {
		w.countRefused(reasonStale)
		return
	}
	input := w.input(from)
	decision := w.components.loop.core.Load().Router().Decide(now, &input)
	if decision.Action == flow.Forward && w.components.silenceDetector.Observe(now, &input, decision.SilentTimeout) {
		w.resetSilentFlow()
		return
	}
	w.counters.countDecision(decision.Action, decision.Reason)
	w.apply(now, &input, &decision)
}

// reasonSilent is the reason for resetting a flow whose server is unresponsive.
const reasonSilent flow.Reason = "silent"

// resetSilentFlow counts and resets a flow whose server is unresponsive, so that
// the caller opens a new one.
func (w *worker) resetSilentFlow() {
	w.counters.countDecision(flow.Reset, reasonSilent)
	w.reset()
}

// reasonStale is the reason for refusing packets while the control loop makes no
// progress.
const reasonStale packet.Reason = "stale"

func (w *worker) countRefused(err error) {
	reason := packet.ReasonMalformed
	errors.As(err, &reason)
	w.components.counters.refused.WithLabelValues(w.name, string(reason)).Inc()
}

func (w *worker) input(from fleet.HostID) flow.Input {
	return flow.Input{
		Key:             w.in.Key,
		SYN:             w.in.Flags.Has(packet.SYN),
		ACK:             w.in.Flags.Has(packet.ACK),
		FIN:             w.in.Flags.Has(packet.FIN),
		RST:             w.in.Flags.Has(packet.RST),
		Handed:          w.isHandoff,
		From:            from,
		PayloadLen:      w.in.PayloadLen,
		Sequence:        w.in.Sequence,
		Acknowledgement: w.in.Acknowledgement,
	}
}

func (w *worker) apply(now time.Time, input *flow.Input, decision *flow.Decision) {
	switch decision.Action {
	case flow.Forward:
		w.send("forward", w.in.Inner, decision.Address)
		w.observe(now, input, decision)
	case flow.HandOff:
		w.handOff(now, decision.Host)
	case flow.Reset:
		w.reset()
	}
}

func (w *worker) send(action string, data []byte, to netip.AddrPort) {
	if _, err := w.socket.WriteToUDPAddrPort(data, to); err != nil {
		w.components.counters.sendErrors.WithLabelValues(action).Inc()
		return
	}
	w.counters.countSent(action, len(data))
}

func (w *worker) handOff(now time.Time, to fleet.HostID) {
	snapshot := w.components.loop.snapshot()
	peer, ok := snapshot.Hosts[to]
	if !ok || !peer.HandoffAddress.IsValid() {
		w.components.counters.handoffs.WithLabelValues("unknown_host").Inc()
		return
	}
	sealed, err := w.sealer.AppendSealed(w.out[:0], now, to, uint64(snapshot.Published.Revision), w.in.Inner)
	if err != nil {
		w.components.counters.handoffs.WithLabelValues("not_sealed").Inc()
		return
	}
	w.out = sealed
	w.send("handoff", sealed, peer.HandoffAddress)
}

// reset sends a TCP reset to the caller, at the port where the callers' network
// accepts encapsulated packets.
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

// observe reports evidence about the server from the TCP handshake to the control
// loop.
func (w *worker) observe(now time.Time, input *flow.Input, decision *flow.Decision) {
	evidence, ok := w.components.handshakes.Observe(now, backend.Packet{
		Key: input.Key, SYN: input.SYN, ACK: input.ACK, RST: input.RST, Server: decision.Server,
	})
	if ok {
		w.components.loop.observe(evidence)
	}
}
