package control_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rattanthread/rattanthread/config"
	"github.com/rattanthread/rattanthread/control"
	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/flow"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func oneService() config.PublishedSet {
	set := config.Set{
		DataCentres: []config.DataCentre{{Name: "tp1"}},
		Services: []config.Service{{
			Name: "hints", Kind: config.KindFlow, Address: netip.MustParseAddrPort("127.200.0.1:7000"),
		}},
		Servers: []config.Server{{
			Name: "hints-1", Service: "hints", DataCentre: "tp1", Address: netip.MustParseAddrPort("127.201.0.1:7000"),
		}},
	}
	return config.PublishedSet{History: "h", Revision: 1, Published: start, Set: set.Normalised()}
}

func packetTo(address string) *flow.Input {
	to := netip.MustParseAddrPort(address)
	return &flow.Input{SYN: true, Key: fleet.FlowKey{
		Source:          netip.MustParseAddr("127.100.0.1").As16(),
		Destination:     to.Addr().As16(),
		SourcePort:      1000,
		DestinationPort: fleet.Port(to.Port()),
		Protocol:        fleet.ProtocolTCP,
	}}
}

// TestFreshHostDecidesNothingBeforeItLookedForPeers checks that a new host decides
// about no packet before it has had time to discover its peers. It often reads the
// platform before it receives a message from any of them.
func TestFreshHostDecidesNothingBeforeItLookedForPeers(t *testing.T) {
	is := is.New(t)
	core := control.New(control.Options{Self: fleet.Host{ID: "a1", DataCentre: "tp1", Incarnation: 1}})
	now := start
	core.Step(now, &control.RevisionRead{Published: oneService()})
	is.Equal(core.Router().Decide(now, packetTo("127.200.0.1:7000")).Reason, flow.ReasonNotReady)
	is.True(!core.Snapshot().Ready)
	for now.Before(start.Add(10 * time.Second)) {
		now = now.Add(control.TickInterval)
		core.Step(now, &control.Tick{})
	}
	is.True(core.Snapshot().Ready) // no peer exists
	is.True(core.Router().Decide(now, packetTo("127.200.0.1:7000")).Reason != flow.ReasonNotReady)
	is.Equal(core.Router().Decide(now, packetTo("127.200.0.1:7001")).Reason, flow.ReasonUnknownAddress)
}

// TestReplacedHostIsSuperseded checks that a process detects from the platform's list
// that another process has taken over its host ID, because its peers reject its
// messages.
func TestReplacedHostIsSuperseded(t *testing.T) {
	is := is.New(t)
	self := fleet.Host{ID: "a1", DataCentre: "tp1", Incarnation: 1}
	core := control.New(control.Options{Self: self})
	core.Step(start, &control.HostsRead{Hosts: []fleet.Host{self}})
	is.True(!core.Snapshot().Superseded)
	self.Incarnation = 2
	core.Step(start.Add(time.Second), &control.HostsRead{Hosts: []fleet.Host{self}})
	core.Step(start.Add(2*time.Second), &control.Tick{})
	is.True(core.Snapshot().Superseded)
}

// TestFreshHostWaitsForTheWholeFleet checks that a new host waits until no more peers
// are discovered. With only one of several, it would own slots of the others and
// decide about their flows.
func TestFreshHostWaitsForTheWholeFleet(t *testing.T) {
	is := is.New(t)
	var j control.JoinWait
	now := start
	is.True(!j.Observe(now, 2))
	now = now.Add(500 * time.Millisecond)
	is.True(!j.Observe(now, 6)) // more peers were discovered
	is.True(!j.Observe(now.Add(500*time.Millisecond), 6))
	is.True(j.Observe(now.Add(700*time.Millisecond), 6))
	is.True(j.Observe(now.Add(800*time.Millisecond), 7)) // the wait does not start again
}
