package flow_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/flow"
)

// newSide returns a host whose whole data centre holds the other one's host dead.
func newSide(self, other fleet.HostID) *single {
	s := &single{now: epoch}
	s.view = flow.View{
		Self: self, Hosts: []fleet.HostID{self},
		Services: []flow.Service{newService("hunt", 1, 14)},
	}
	s.install(true)
	s.view.Doubted = []fleet.HostID{other}
	s.drain(3)
	s.install(false)
	s.pass(time.Second)
	s.install(true)
	s.pass(time.Second)
	return s
}

// opened returns a flow that a host has placed by its split of a slot.
func (s *single) opened() (fleet.FlowKey, fleet.ServerID) {
	for i := 0; ; i++ {
		k := testKey(i)
		if d := s.send(k, flow.Input{SYN: true, Sequence: 1000}); d.Reason == flow.ReasonPlaced {
			return k, d.Server
		}
	}
}

var secondPacket = flow.Input{ACK: true, Sequence: 1001, PayloadLen: 10}

// TestCutOffOwnersAskEachOther opens a flow on one side of a cut that has just
// ended. The other side's owner asks before it guesses.
func TestCutOffOwnersAskEachOther(t *testing.T) {
	is := is.New(t)
	a, b := newSide("a1", "b1"), newSide("b1", "a1")
	k, server := a.opened()
	is.Equal(b.send(k, secondPacket).Reason, flow.ReasonInquiring)
	asked := false
	for _, question := range b.Tick(b.now.Add(100 * time.Millisecond)) {
		is.Equal(question.To, fleet.HostID("a1"))
		for _, answer := range a.Receive(a.now, "b1", question.Message) {
			asked = true
			b.Receive(b.now, "a1", answer.Message)
		}
	}
	is.True(asked)
	is.Equal(b.send(k, secondPacket).Server, server)
}

// TestCutOffOwnerIsAskedOnce lets the other side be silent: the flow counts as one
// of the agreed server after a while, and its packets do not wait again.
func TestCutOffOwnerIsAskedOnce(t *testing.T) {
	is := is.New(t)
	b := newSide("b1", "a1")
	k, _ := newSide("a1", "b1").opened()
	is.Equal(b.send(k, secondPacket).Action, flow.Drop)
	b.pass(300 * time.Millisecond)
	d := b.send(k, secondPacket)
	is.Equal(d.Reason, flow.ReasonAgreed)
	is.Equal(d.Server, b.server(3).ID)
	is.Equal(b.send(k, secondPacket).Reason, flow.ReasonRecord)
}

// TestNobodyToAsk forwards at once where no host was cut off.
func TestNobodyToAsk(t *testing.T) {
	is := is.New(t)
	b := newSide("b1", "a1")
	k, _ := newSide("a1", "b1").opened()
	b.view.Doubted = nil
	b.install(true)
	is.Equal(b.send(k, secondPacket).Reason, flow.ReasonAgreed)
}

// TestFormerOwnerYieldsNewFlows lets a host own a slot no more after a cut. It has
// not been asked for the slot, and hands new flows to the owner all the same.
func TestFormerOwnerYieldsNewFlows(t *testing.T) {
	is := is.New(t)
	a := newSide("a1", "b1")
	a.view.Hosts = []fleet.HostID{"a1", "b1"}
	a.install(true)
	handed := 0
	for i := range 2000 {
		d := a.send(testKey(i), flow.Input{SYN: true, Sequence: 1000})
		if d.Action == flow.HandOff {
			is.Equal(d.Host, fleet.HostID("b1"))
			handed++
		}
	}
	is.True(handed > 0)
}

// TestHandshakeInDoubtIsRemembered lets a host see a flow's whole handshake while it
// doubts others. These may hold an older copy of the opening packet: they are not asked.
func TestHandshakeInDoubtIsRemembered(t *testing.T) {
	is := is.New(t)
	a := &single{now: epoch}
	a.view = flow.View{
		Self: "a1", Hosts: []fleet.HostID{"a1"}, Doubted: []fleet.HostID{"b1"},
		Services: []flow.Service{newService("hunt", 1, 14)},
	}
	a.install(true)
	k := a.keysOf(3, 1)[0]
	a.drain(3)
	a.install(false)
	is.Equal(a.send(k, flow.Input{SYN: true, Sequence: 1000}).Server, a.server(3).ID) // hosts may not know of the split
	for range 2 {
		d := a.send(k, secondPacket)
		is.Equal(d.Server, a.server(3).ID)
		is.Equal(d.Reason, flow.ReasonRecord)
	}
}

// TestFormerOwnerYieldsHalfOpenFlows lets a host place a flow while it is cut off. The
// owner gets a copy of the opening packet after the cut, and places the flow elsewhere.
func TestFormerOwnerYieldsHalfOpenFlows(t *testing.T) {
	is := is.New(t)
	a := newSide("a1", "b1")
	var keys []fleet.FlowKey
	for i := range 2000 {
		k := testKey(i)
		if a.send(k, flow.Input{SYN: true, Sequence: 1000}).Reason == flow.ReasonPlaced {
			keys = append(keys, k)
		}
	}
	a.view.Hosts = []fleet.HostID{"a1", "b1"}
	a.install(true)
	handed := 0
	for _, k := range keys {
		d := a.send(k, secondPacket)
		if d.Action == flow.HandOff {
			is.Equal(d.Host, fleet.HostID("b1"))
			handed++
		}
	}
	is.True(handed > 0 && handed < len(keys)) // those of slots that the other host owns
}
