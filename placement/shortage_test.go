package placement_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rattanthread/rattanthread/catalogue"
	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/placement"
)

// TestShortage checks that a host counts as isolated only if its data centre has no
// server that accepts new flows, all other servers are being probed, and more attempts
// failed than requests completed.
func TestShortage(t *testing.T) {
	tests := []struct {
		name              string
		failed, completed int
		local, reachable  bool // a local server accepts new flows; one server is not being probed
		want              bool
	}{
		{"failures only", 4, 0, false, false, true},
		{"more failures than completed requests", 4, 3, false, false, true},
		{"as many completed requests as failures", 4, 4, false, false, false},
		{"too few failures", 2, 0, false, false, false},
		{"local server, so the service may be down", 4, 0, true, false, false},
		{"one server is reachable", 4, 0, false, true, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			current := newCatalogue(firstDataCentre(test.local), "b")
			chooser := placement.Chooser{DataCentre: "a"}
			for _, server := range current.Pool("bench").All {
				chooser.Reachability.StartProbing(server.Cookie)
			}
			if test.reachable {
				chooser.Reachability.Forget(current.Pool("bench").All[1].Cookie)
			}
			for range test.failed {
				chooser.Shortage.RecordFailure(start, "bench")
			}
			for range test.completed {
				chooser.Shortage.RecordResponse(start)
			}
			is.New(t).Equal(chooser.Isolated(start.Add(time.Second), current), test.want)
		})
	}
}

func firstDataCentre(local bool) fleet.DataCentreID {
	if local {
		return "a"
	}
	return "c"
}

// TestShortageEnds checks that a host out of rotation, which receives no flows, is no
// longer isolated once one server is reachable.
func TestShortageEnds(t *testing.T) {
	is := is.New(t)
	current := newCatalogue("b", "c")
	chooser := placement.Chooser{DataCentre: "a"}
	for _, server := range current.Pool("bench").All {
		chooser.Reachability.StartProbing(server.Cookie)
		chooser.Shortage.RecordFailure(start, "bench")
	}
	chooser.Shortage.RecordFailure(start, "bench")
	is.True(chooser.Isolated(start.Add(time.Second), current))
	is.True(chooser.Isolated(start.Add(time.Minute), current))
	chooser.Reachability.RecordProbe(start, current.Pool("bench").All[0].Cookie, placement.Accepted, true)
	is.True(!chooser.Isolated(start.Add(time.Minute), current))
}

// newCatalogue returns a catalogue with a server of one service in each data centre.
func newCatalogue(centres ...fleet.DataCentreID) *catalogue.Catalogue {
	var tracker catalogue.Tracker
	tracker.Apply(start, catalogue.Update{Source: catalogue.Evacuations, Full: true, Version: 1})
	tracker.Apply(start, catalogue.Update{Source: catalogue.Configurations, Full: true, Version: 1, Records: []catalogue.Record{
		{Name: "main", Changed: 1, Configuration: &catalogue.Configuration{Number: 1}},
	}})
	servers := catalogue.Update{Source: catalogue.Servers, Full: true, Version: 1}
	for i, centre := range centres {
		id := fleet.ServerID(fmt.Sprint("i-", i))
		servers.Records = append(servers.Records, catalogue.Record{Name: string(id), Changed: 1, Server: &catalogue.Server{
			ID: id, Service: "bench", DataCentre: centre, Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80), Tag: 1,
		}})
	}
	tracker.Apply(start, servers)
	return tracker.Current()
}
