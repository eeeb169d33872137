package flow_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/flow"
)

// newPartitionedRouter returns the router of a host that is partitioned from other,
// and has drained server 3 since.
func newPartitionedRouter(self, other fleet.HostID) *testRouter {
	router := &testRouter{now: epoch}
	router.view = flow.View{
		Self: self, Hosts: []fleet.HostID{self},
		Services: []flow.Service{newService("hunt", 1, 14)},
	}
	router.install(true)
	router.view.Partitioned = []fleet.HostID{other}
	router.drain(3)
	router.install(false)
	router.advance(time.Second)
	router.install(true)
	router.advance(time.Second)
	return router
}

// openPlaced opens a flow of a split slot and returns its key and server.
func (r *testRouter) openPlaced() (fleet.FlowKey, fleet.ServerID) {
	for i := 0; ; i++ {
		k := testKey(i)
		if d := r.send(k, flow.Input{SYN: true, Sequence: 1000}); d.Reason == flow.ReasonPlaced {
			return k, d.Server
		}
	}
}

var secondPacket = flow.Input{ACK: true, Sequence: 1001, PayloadLen: 10}

// TestCutOffOwnersAskEachOther opens a flow on one side of a network partition that
// has just healed. The owner on the other side must send an inquiry before it
// forwards packets of the flow.
func TestCutOffOwnersAskEachOther(t *testing.T) {
	is := is.New(t)
	hostA, hostB := newPartitionedRouter("a1", "b1"), newPartitionedRouter("b1", "a1")
	key, server := hostA.openPlaced()
	is.Equal(hostB.send(key, secondPacket).Reason, flow.ReasonInquiring)
	answered := false
	for _, sent := range hostB.Tick(hostB.now.Add(100 * time.Millisecond)) {
		is.Equal(sent.To, fleet.HostID("a1"))
		for _, response := range hostA.Receive(hostA.now, "b1", sent.Message) {
			answered = true
			hostB.Receive(hostB.now, "a1", response.Message)
		}
	}
	is.True(answered)
	is.Equal(hostB.send(key, secondPacket).Server, server)
}

// TestCutOffOwnerIsAskedOnce leaves an inquiry unanswered: after a timeout the flow
// is recorded on the agreed server, and its packets do not wait again.
func TestCutOffOwnerIsAskedOnce(t *testing.T) {
	is := is.New(t)
	hostB := newPartitionedRouter("b1", "a1")
	key, _ := newPartitionedRouter("a1", "b1").openPlaced()
	is.Equal(hostB.send(key, secondPacket).Action, flow.Drop)
	hostB.advance(300 * time.Millisecond)
	d := hostB.send(key, secondPacket)
	is.Equal(d.Reason, flow.ReasonAgreed)
	is.Equal(d.Server, hostB.server(3).ID)
	is.Equal(hostB.send(key, secondPacket).Reason, flow.ReasonRecord)
}

// TestNobodyToAsk checks that packets do not wait if no host was partitioned.
func TestNobodyToAsk(t *testing.T) {
	is := is.New(t)
	hostB := newPartitionedRouter("b1", "a1")
	key, _ := newPartitionedRouter("a1", "b1").openPlaced()
	hostB.view.Partitioned = nil
	hostB.install(true)
	is.Equal(hostB.send(key, secondPacket).Reason, flow.ReasonAgreed)
}

// TestFormerOwnerYieldsNewFlows changes the owner of slots after a network
// partition has healed. The former owner must hand new flows off to the new owner
// even before that fetches the slots.
func TestFormerOwnerYieldsNewFlows(t *testing.T) {
	is := is.New(t)
	hostA := newPartitionedRouter("a1", "b1")
	hostA.view.Hosts = []fleet.HostID{"a1", "b1"}
	hostA.install(true)
	handed := 0
	for i := range 2000 {
		d := hostA.send(testKey(i), flow.Input{SYN: true, Sequence: 1000})
		if d.Action == flow.HandOff {
			is.Equal(d.Host, fleet.HostID("b1"))
			handed++
		}
	}
	is.True(handed > 0)
}

// TestHandshakeInDoubtIsRemembered checks that a host which saw a flow's complete
// handshake during a partition sends no inquiry about it: the other hosts may have
// received an older copy of the opening packet and placed the flow on another server.
func TestHandshakeInDoubtIsRemembered(t *testing.T) {
	is := is.New(t)
	hostA := &testRouter{now: epoch}
	hostA.view = flow.View{
		Self: "a1", Hosts: []fleet.HostID{"a1"}, Partitioned: []fleet.HostID{"b1"},
		Services: []flow.Service{newService("hunt", 1, 14)},
	}
	hostA.install(true)
	key := hostA.openOn(3, 1)[0]
	hostA.drain(3)
	hostA.install(false)
	is.Equal(hostA.send(key, flow.Input{SYN: true, Sequence: 1000}).Server, hostA.server(3).ID) // not settled: some hosts may not have the split yet
	for range 2 {
		d := hostA.send(key, secondPacket)
		is.Equal(d.Server, hostA.server(3).ID)
		is.Equal(d.Reason, flow.ReasonRecord)
	}
}

// TestFormerOwnerYieldsHalfOpenFlows places flows on a partitioned host. After the
// partition has healed, the new owner may receive a copy of the opening packet and
// place the flow on another server, so the former owner must hand off the second
// packet.
func TestFormerOwnerYieldsHalfOpenFlows(t *testing.T) {
	is := is.New(t)
	hostA := newPartitionedRouter("a1", "b1")
	var keys []fleet.FlowKey
	for i := range 2000 {
		k := testKey(i)
		if hostA.send(k, flow.Input{SYN: true, Sequence: 1000}).Reason == flow.ReasonPlaced {
			keys = append(keys, k)
		}
	}
	hostA.view.Hosts = []fleet.HostID{"a1", "b1"}
	hostA.install(true)
	handed := 0
	for _, k := range keys {
		d := hostA.send(k, secondPacket)
		if d.Action == flow.HandOff {
			is.Equal(d.Host, fleet.HostID("b1"))
			handed++
		}
	}
	is.True(handed > 0 && handed < len(keys)) // only those of slots that the other host owns
}
