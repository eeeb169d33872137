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

// A host is isolated from new flows only if its data centre has no server that takes
// them, all others are in doubt, and more tries have failed than requests were answered.
func TestShortage(t *testing.T) {
	tests := []struct {
		name             string
		failed, answered int
		near, sound      bool // there is a server near by; one is in no doubt
		want             bool
	}{
		{"nothing but failures", 4, 0, false, false, true},
		{"more failures than answers", 4, 3, false, false, true},
		{"open flows are most of the work", 4, 4, false, false, false},
		{"too few to tell", 2, 0, false, false, false},
		{"the service is down", 4, 0, true, false, false},
		{"one can be reached", 4, 0, false, true, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			known := catalogueOf(place(test.near), "b")
			c := placement.Chooser{DataCentre: "a"}
			for _, server := range known.Pool("bench").All {
				c.Reach.Doubt(server.Cookie)
			}
			if test.sound {
				c.Reach.Forget(known.Pool("bench").All[1].Cookie)
			}
			for range test.failed {
				c.Shortage.Failed(start, "bench")
			}
			for range test.answered {
				c.Shortage.Answered(start)
			}
			is.New(t).Equal(c.Isolated(start.Add(time.Second), known), test.want)
		})
	}
}

func place(near bool) fleet.DataCentreID {
	if near {
		return "a"
	}
	return "c"
}

// A host that is out of rotation sees no flows. It comes back with the first server
// that can be reached.
func TestShortageEnds(t *testing.T) {
	is := is.New(t)
	known := catalogueOf("b", "c")
	c := placement.Chooser{DataCentre: "a"}
	for _, server := range known.Pool("bench").All {
		c.Reach.Doubt(server.Cookie)
		c.Shortage.Failed(start, "bench")
	}
	c.Shortage.Failed(start, "bench")
	is.True(c.Isolated(start.Add(time.Second), known))
	is.True(c.Isolated(start.Add(time.Minute), known))
	c.Reach.Probed(start, known.Pool("bench").All[0].Cookie, placement.Accepted, true)
	is.True(!c.Isolated(start.Add(time.Minute), known))
}

// catalogueOf returns what is known of a service with a server in each data centre.
func catalogueOf(centres ...fleet.DataCentreID) *catalogue.Catalogue {
	var t catalogue.Tracker
	t.Take(start, catalogue.Answer{Source: catalogue.Evacuations, Whole: true, Version: 1})
	t.Take(start, catalogue.Answer{Source: catalogue.Configurations, Whole: true, Version: 1, Records: []catalogue.Record{
		{Name: "main", Changed: 1, Configuration: &catalogue.Configuration{Number: 1}},
	}})
	servers := catalogue.Answer{Source: catalogue.Servers, Whole: true, Version: 1}
	for i, centre := range centres {
		id := fleet.ServerID(fmt.Sprint("i-", i))
		servers.Records = append(servers.Records, catalogue.Record{Name: string(id), Changed: 1, Server: &catalogue.Server{
			ID: id, Service: "bench", DataCentre: centre, Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80), Tag: 1,
		}})
	}
	t.Take(start, servers)
	return t.Current()
}
