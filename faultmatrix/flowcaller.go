package faultmatrix

import (
	"net/netip"
	"time"

	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/flow"
)

const (
	longFlowCount    = 48 // flows that their callers keep open to the end of the run
	openInterval     = 100 * time.Millisecond
	sendInterval     = 500 * time.Millisecond
	retransmitDelay  = time.Second
	maxTransmissions = 15 // of one packet, before the flow counts as broken
	initialSequence  = 1000
)

// flowPacket holds the fields of a packet that the fakes use.
type flowPacket struct {
	syn      bool
	ackOnly  bool // an acknowledgement without data, to which there is no response
	sequence uint32
}

// flowCallers opens flows at regular intervals, each from a new port.
type flowCallers struct {
	sim      *Simulation
	callers  []*flowCaller
	nextPort uint16
}

// flowCaller is the caller of one flow.
type flowCaller struct {
	sim           *Simulation
	service       fleet.ServiceName
	key           fleet.FlowKey
	server        fleet.ServerID
	opened        time.Time // when the handshake completed
	established   bool
	ended         bool
	sequence      uint32
	transmissions int
	awaitingAck   bool
	// placedIsolated means that the host that placed the flow on its server was
	// isolated from the other data centre. bothIsolated means that, in addition, the
	// last host that forwarded a packet to another server was isolated.
	placedIsolated, bothIsolated bool
}

func (f *flowCallers) start() {
	f.nextPort = 10_000
	for i := range longFlowCount {
		f.sim.after(time.Second+time.Duration(i)*openInterval/2, f.open)
	}
	// Flows are opened throughout the run, so that every change coincides with some.
	f.sim.every(openInterval, f.open)
}

// open starts a flow; every fourth goes to the tally service. Flows after the first
// longFlowCount are closed after 3 seconds.
func (f *flowCallers) open() {
	f.nextPort++
	service, port := serviceHints, fleet.Port(7000)
	if f.nextPort%4 == 0 {
		service, port = serviceTally, 7001
	}
	caller := &flowCaller{sim: f.sim, service: service, sequence: initialSequence}
	caller.key = fleet.FlowKey{
		Source:          netip.MustParseAddr("127.100.0.1").As16(),
		Destination:     netip.MustParseAddr("127.200.0.1").As16(),
		SourcePort:      fleet.Port(f.nextPort),
		DestinationPort: port,
		Protocol:        fleet.ProtocolTCP,
	}
	f.callers = append(f.callers, caller)
	caller.transmit()
	if len(f.callers) > longFlowCount {
		f.sim.after(3*time.Second, caller.close)
	}
}

// transmit sends the next packet or retransmits the last one.
func (c *flowCaller) transmit() {
	if c.ended {
		return
	}
	c.transmissions++
	c.awaitingAck = true
	if c.transmissions > maxTransmissions {
		c.markBroken("", "silent")
		return
	}
	c.sendPacket(flowPacket{syn: !c.established, sequence: c.sequence})
	transmissions, sequence := c.transmissions, c.sequence
	c.sim.after(retransmitDelay, func() {
		if c.awaitingAck && c.transmissions == transmissions && c.sequence == sequence {
			c.transmit()
		}
	})
}

func (c *flowCaller) sendPacket(p flowPacket) {
	h := c.sim.fabric.pick()
	if h == nil {
		return
	}
	in := flow.Input{Key: c.key, SYN: p.syn, ACK: !p.syn, Sequence: p.sequence, Acknowledgement: 1}
	if !p.syn && !p.ackOnly {
		in.PayloadLen = 100
	}
	c.sim.after(time.Millisecond, func() {
		h.run(func() { h.handlePacket(in, c, p) })
	})
}

// recordForward records that a host forwards a packet of the flow to a server.
func (c *flowCaller) recordForward(by fleet.HostID, to fleet.ServerID, p flowPacket) {
	isolated := c.sim.network.isolated(by)
	switch {
	case p.syn:
		c.placedIsolated = isolated
	case c.established && to != c.server:
		c.bothIsolated = c.placedIsolated && isolated
	}
}

// handleAck handles a server's acknowledgement of a packet.
func (c *flowCaller) handleAck(from fleet.ServerID, p flowPacket) {
	if c.ended || p.sequence != c.sequence {
		return
	}
	if c.established && from != c.server {
		c.markBroken(from, "acknowledged by another server")
		return
	}
	if !c.established {
		c.established, c.server, c.opened = true, from, c.sim.now
		c.sequence++
		// The acknowledgement that completes the handshake is not retransmitted.
		c.sendPacket(flowPacket{sequence: c.sequence, ackOnly: true})
	} else {
		c.sequence += 100
	}
	c.transmissions, c.awaitingAck = 0, false
	c.sim.after(sendInterval, c.transmit)
}

// handleReset handles a reset from a server, or from an entry host if from is empty.
func (c *flowCaller) handleReset(from fleet.ServerID, reason string) {
	if c.ended {
		return
	}
	if !c.established && from == "" {
		c.ended = true // refused before the handshake completed
		return
	}
	if from != "" && c.established && from != c.server {
		c.markBroken(from, "reset by another server")
		return
	}
	c.markBroken(from, "reset: "+reason)
}

func (c *flowCaller) markBroken(from fleet.ServerID, cause string) {
	c.ended = true
	if c.established {
		c.sim.checks.checkBrokenFlow(c, from, cause)
	}
}

// close ends the flow on the caller's side.
func (c *flowCaller) close() { c.ended = true }
