package faultmatrix

import (
	"net/netip"
	"time"

	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/flow"
)

const (
	flowCount      = 48
	openInterval   = 100 * time.Millisecond
	sendInterval   = 500 * time.Millisecond
	retransmit     = time.Second
	maxRetransmits = 15
	initialWindow  = 1000
)

// flowPacket is the part of a packet that the fakes look at.
type flowPacket struct {
	syn      bool
	bare     bool // an acknowledgement without data, which is not answered
	sequence uint32
}

// flowCallers keep flows open. A flow that broke is opened anew from another port.
type flowCallers struct {
	world    *World
	callers  []*flowCaller
	nextPort uint16
}

// flowCaller is one flow.
type flowCaller struct {
	world       *World
	service     fleet.ServiceName
	key         fleet.FlowKey
	server      fleet.ServerID
	opened      time.Time // when the handshake ended
	established bool
	ended       bool
	sequence    uint32
	tries       int
	pending     bool
	// placedApart says that the host that placed the flow on its server could not know
	// of the other side of a cut, and apart that this holds for the host as well that
	// has sent a packet to another server.
	placedApart, apart bool
}

func (f *flowCallers) start() {
	f.nextPort = 10_000
	for i := range flowCount {
		f.world.after(time.Second+time.Duration(i)*openInterval/2, f.open)
	}
	// New flows go on all the time, so that every change meets some.
	f.world.every(openInterval, f.open)
}

// open starts a flow, to either service in turn. Every third flow is short.
func (f *flowCallers) open() {
	f.nextPort++
	service, port := serviceHints, fleet.Port(7000)
	if f.nextPort%4 == 0 {
		service, port = serviceTally, 7001
	}
	c := &flowCaller{world: f.world, service: service, sequence: initialWindow}
	c.key = fleet.FlowKey{
		Source:          netip.MustParseAddr("127.100.0.1").As16(),
		Destination:     netip.MustParseAddr("127.200.0.1").As16(),
		SourcePort:      fleet.Port(f.nextPort),
		DestinationPort: port,
		Protocol:        fleet.ProtocolTCP,
	}
	f.callers = append(f.callers, c)
	c.transmit()
	if len(f.callers) > flowCount {
		f.world.after(3*time.Second, c.end)
	}
}

// transmit sends the next packet, or the last one again.
func (c *flowCaller) transmit() {
	if c.ended {
		return
	}
	c.tries++
	c.pending = true
	if c.tries > maxRetransmits {
		c.broken("", "silent")
		return
	}
	c.sendPacket(flowPacket{syn: !c.established, sequence: c.sequence})
	tries, sequence := c.tries, c.sequence
	c.world.after(retransmit, func() {
		if c.pending && c.tries == tries && c.sequence == sequence {
			c.transmit()
		}
	})
}

func (c *flowCaller) sendPacket(p flowPacket) {
	h := c.world.fabric.pick()
	if h == nil {
		return
	}
	in := flow.Input{Key: c.key, SYN: p.syn, ACK: !p.syn, Sequence: p.sequence, Acknowledgement: 1}
	if !p.syn && !p.bare {
		in.PayloadLen = 100
	}
	c.world.after(time.Millisecond, func() {
		h.run(func() { h.packet(in, c, p) })
	})
}

// forwarded notes that a host sends a packet of the flow to a server.
func (c *flowCaller) forwarded(by fleet.HostID, to fleet.ServerID, p flowPacket) {
	apart := c.world.network.apart(by)
	switch {
	case p.syn:
		c.placedApart = apart
	case c.established && to != c.server:
		c.apart = c.placedApart && apart
	}
}

// acked takes a server's answer to a packet.
func (c *flowCaller) acked(from fleet.ServerID, p flowPacket) {
	if c.ended || p.sequence != c.sequence {
		return
	}
	if c.established && from != c.server {
		c.broken(from, "answered by another server")
		return
	}
	if !c.established {
		c.established, c.server, c.opened = true, from, c.world.now
		c.sequence++
		// The acknowledgement that ends the handshake is not repeated.
		c.sendPacket(flowPacket{sequence: c.sequence, bare: true})
	} else {
		c.sequence += 100
	}
	c.tries, c.pending = 0, false
	c.world.after(sendInterval, c.transmit)
}

// reset takes a reset from a server, or from an entry host if from is empty.
func (c *flowCaller) reset(from fleet.ServerID, reason string) {
	if c.ended {
		return
	}
	if !c.established && from == "" {
		c.ended = true // refused before it was opened
		return
	}
	if from != "" && c.established && from != c.server {
		c.broken(from, "reset by another server")
		return
	}
	c.broken(from, "reset: "+reason)
}

func (c *flowCaller) broken(from fleet.ServerID, cause string) {
	c.ended = true
	if c.established {
		c.world.checks.flowBroken(c, from, cause)
	}
}

// end closes the flow as its caller wishes.
func (c *flowCaller) end() { c.ended = true }
