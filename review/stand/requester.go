package stand

import (
	"fmt"
	"net"
	"net/netip"
	"time"
)

// Requester opens flows, one at a time, and sends requests on them.
type Requester struct {
	world    *World
	number   int
	conn     *net.UDPConn
	address  netip.Addr
	port     uint16
	seq, ack uint32
	echo     uint32
	requests int
	// Open reports whether the flow is open.
	Open bool
}

// received is a packet and the address that sent it.
type received struct {
	packet
	from netip.Addr
}

// NewRequester returns a requester without a flow.
func (w *World) NewRequester(number int) (*Requester, error) {
	address := w.address(classRequester, number)
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(address, w.ports.packets)))
	if err != nil {
		return nil, err
	}
	return &Requester{world: w, number: number, conn: conn, address: address, port: uint16(1024 + w.random.IntN(40000))}, nil
}

// Flow returns the address and port of the flow.
func (r *Requester) Flow() netip.AddrPort { return netip.AddrPortFrom(r.address, r.port) }

// Host returns the host to which the routers send the flow now.
func (r *Requester) Host() *Host { return r.world.hostOf(r.Flow().String()) }

// send sends a packet through the host that the routers select.
func (r *Requester) send(p packet) {
	p.source, p.destination, p.echo = r.Flow(), Route, r.echo
	if host := r.Host(); host != nil {
		_, _ = r.conn.WriteToUDPAddrPort(p.encode(), netip.AddrPortFrom(host.address, r.world.ports.packets))
	}
}

// receive waits for a packet of the flow.
func (r *Requester) receive(timeout time.Duration) (received, bool) {
	_ = r.conn.SetReadDeadline(time.Now().Add(timeout))
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := r.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return received{}, false
		}
		if p, ok := decode(buffer[:n]); ok && p.destination == r.Flow() && p.source == Route {
			return received{p, from.Addr().Unmap()}, true
		}
	}
}

// OpenFlow opens a flow from a new port. Copies of the opening packet follow after 200 ms and
// 600 ms; the attempt ends after 1.4 s.
func (r *Requester) OpenFlow() bool {
	r.port++
	r.seq, r.ack, r.echo, r.Open = uint32(time.Now().UnixNano()), 0, 0, false
	host := "no host"
	if selected := r.Host(); selected != nil {
		host = selected.Name
	}
	r.world.Logf("requester %d: sends the opening packet of flow %s through %s", r.number, r.Flow(), host)
	for attempt, wait := range []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond} {
		r.send(packet{flags: flagSYN, seq: r.seq, ack: uint32(attempt)})
		reply, ok := r.receive(wait)
		if ok && reply.flags&flagRST != 0 {
			r.world.Logf("requester %d: flow %s is refused by %s", r.number, r.Flow(), reply.from)
			return false
		}
		if ok && reply.flags&flagSYN != 0 {
			r.seq++
			r.ack, r.echo, r.Open = reply.seq+1, reply.echo, true
			r.send(packet{flags: flagACK, seq: r.seq, ack: r.ack})
			return true
		}
	}
	return false
}

// Reset is a reset that a requester got.
type Reset struct{ From netip.Addr }

// Request sends a request on the open flow. It returns whether it was answered, and the reset
// that the requester got instead, if any.
func (r *Requester) Request(budget time.Duration) (bool, *Reset) {
	r.requests++
	id := []byte(fmt.Sprintf("request-%d-%d", r.number, r.requests))
	deadline := time.Now().Add(budget)
	r.world.Logf("requester %d: sends %s on flow %s", r.number, id, r.Flow())
	for wait := 200 * time.Millisecond; time.Now().Before(deadline); wait *= 2 {
		r.send(packet{flags: flagACK, seq: r.seq, ack: r.ack, data: id})
		retransmitAt := time.Now().Add(wait)
		for time.Now().Before(retransmitAt) {
			reply, ok := r.receive(time.Until(retransmitAt))
			switch {
			case !ok:
			case reply.flags&flagRST != 0:
				r.Open = false
				r.world.Logf("requester %d: %s ends with a reset by %s", r.number, id, reply.from)
				return false, &Reset{reply.from}
			case string(reply.data) == string(id):
				r.seq += uint32(len(id))
				r.ack, r.echo = reply.seq+uint32(len(reply.data)), reply.echo
				r.send(packet{flags: flagACK, seq: r.seq, ack: r.ack})
				r.world.Logf("requester %d: %s is answered by %s", r.number, id, reply.from)
				return true, nil
			}
		}
	}
	return false, nil
}
