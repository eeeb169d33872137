package forwarding_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rattanthread/rattanthread/catalogue"
	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/forwarding"
	"github.com/rattanthread/rattanthread/placement"
)

var (
	start  = time.Unix(1000, 0)
	caller = netip.MustParseAddrPort("100.64.0.7:40001")
	feed   = netip.MustParseAddrPort("198.18.0.1:443")
)

// world is what hosts learn of; each host has a tracker of its own.
type world struct {
	version catalogue.Version
}

// configuration is the answer that sends the flows of feed to a service.
func (w *world) configuration(service fleet.ServiceName) catalogue.Answer {
	w.version++
	return catalogue.Answer{
		Source: catalogue.Configurations, Whole: true, Version: w.version,
		Records: []catalogue.Record{{Name: "main", Changed: w.version, Configuration: &catalogue.Configuration{
			Number: uint64(w.version),
			Routes: []catalogue.Route{{Name: "feed", Address: feed, Shares: []catalogue.Share{{Service: service, Weight: 1}}}},
		}}},
	}
}

// servers is the answer that names all the servers there are.
func (w *world) servers(servers ...catalogue.Server) catalogue.Answer {
	w.version++
	a := catalogue.Answer{Source: catalogue.Servers, Whole: true, Version: w.version}
	for i := range servers {
		servers[i].Changed = w.version
		a.Records = append(a.Records, catalogue.Record{Name: string(servers[i].ID), Changed: w.version, Server: &servers[i]})
	}
	return a
}

func server(id fleet.ServerID, service fleet.ServiceName) catalogue.Server {
	return catalogue.Server{ID: id, Service: service, Address: netip.MustParseAddrPort("10.0.0.9:8080"), DataCentre: "a", Tag: 1}
}

func newForwarder() *forwarding.Forwarder {
	return &forwarding.Forwarder{Chooser: placement.Chooser{DataCentre: "a"}}
}

func learn(answers ...catalogue.Answer) *catalogue.Catalogue {
	var t catalogue.Tracker
	for _, a := range answers {
		t.Take(start, a)
	}
	return t.Current()
}

func opening() forwarding.Packet {
	return forwarding.Packet{Source: caller, Destination: feed, Kind: forwarding.Opening}
}

// segmentOf is a packet of the flow that a decision has placed.
func segmentOf(d forwarding.Decision) forwarding.Packet {
	return forwarding.Packet{Source: caller, Destination: feed, Kind: forwarding.Segment, Cookie: d.Cookie, Seq: 1, Length: 100}
}

func TestFreshHostForwardsFlowOfEarlierConfiguration(t *testing.T) {
	is := is.New(t)
	var w world
	both := w.servers(server("i-01", "bench"), server("i-02", "sheets"))
	placed := newForwarder().Decide(start, learn(w.configuration("bench"), both), start, opening())
	is.Equal(placed.Server.ID, fleet.ServerID("i-01"))

	moved := learn(both, w.configuration("sheets"))
	got := newForwarder().Decide(start, moved, start, segmentOf(placed))
	is.Equal(got.Action, forwarding.Forward) // a host that has never seen the earlier configuration
	is.Equal(got.Server.ID, fleet.ServerID("i-01"))
}

func TestCookieOfAnotherRouteReachesNothing(t *testing.T) {
	is := is.New(t)
	var w world
	known := learn(w.configuration("bench"), w.servers(server("i-01", "bench")))
	p := segmentOf(forwarding.Decision{Cookie: catalogue.CookieOf("i-01").On(netip.MustParseAddrPort("198.18.0.2:443"))})
	is.Equal(newForwarder().Decide(start, known, start, p), forwarding.Decision{Reason: forwarding.ServerUnknown})
}
