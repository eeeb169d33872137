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
	t := newTracker()
	for _, a := range answers {
		t.Take(start, a)
	}
	return t.Current()
}

// newTracker returns a tracker that knows that no data centre is out.
func newTracker() *catalogue.Tracker {
	var t catalogue.Tracker
	t.Take(start, catalogue.Answer{Source: catalogue.Evacuations, Whole: true, Version: 1})
	return &t
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

func TestDecide(t *testing.T) {
	var w world
	known := learn(w.configuration("bench"), w.servers(server("i-01", "bench")))
	empty := learn(w.configuration("bench"), w.servers(server("i-02", "sheets")))
	part := w.servers(server("i-02", "sheets"))
	part.Whole, part.Version = false, 0
	partial := learn(w.configuration("bench"), part)
	elsewhere := netip.MustParseAddrPort("198.18.0.9:443")
	tests := []struct {
		name   string
		known  *catalogue.Catalogue
		age    time.Duration
		packet forwarding.Packet
		action forwarding.Action
		reason forwarding.Reason
	}{
		{"nothing is known yet", nil, 0, opening(), forwarding.Drop, forwarding.NotReady},
		{"a new flow", known, 0, opening(), forwarding.Forward, forwarding.Placed},
		{
			"no route, and that is certain", known, 0,
			forwarding.Packet{Source: caller, Destination: elsewhere, Kind: forwarding.Opening},
			forwarding.Refuse, forwarding.NoRoute,
		},
		{
			"no route as far as a stale configuration tells", known, 10 * time.Second,
			forwarding.Packet{Source: caller, Destination: elsewhere, Kind: forwarding.Opening},
			forwarding.Drop, forwarding.RouteUnknown,
		},
		{
			"a reset is not answered", known, 0,
			forwarding.Packet{Source: caller, Destination: elsewhere, Kind: forwarding.Reset},
			forwarding.Drop, forwarding.RouteUnknown,
		},
		{"no server that may get flows", empty, 0, opening(), forwarding.Refuse, forwarding.NoServer},
		{"no server on the first page of a list", partial, 0, opening(), forwarding.Drop, forwarding.NotReady},
		{
			"an answer to an opening, which no caller sends", known, 0,
			forwarding.Packet{Source: caller, Destination: feed, Kind: forwarding.Foreign},
			forwarding.Drop, forwarding.NotACallers,
		},
		{
			"a cookie that names no server", known, 0,
			forwarding.Packet{Source: caller, Destination: feed, Cookie: 12345},
			forwarding.Drop, forwarding.ServerUnknown,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			got := newForwarder().Decide(start, test.known, start.Add(-test.age), test.packet)
			is.Equal(got.Action, test.action)
			is.Equal(got.Reason, test.reason)
		})
	}
}

func TestFlowOfEndedServerIsReset(t *testing.T) {
	is := is.New(t)
	var w world
	f := newForwarder()
	before := learn(w.configuration("bench"), w.servers(server("i-01", "bench")))
	placed := f.Decide(start, before, start, opening())
	p := segmentOf(placed)
	p.Ack = 77
	f.Decide(start, before, start, p)

	idle := f.Ended(placed.Server.Cookie)
	is.Equal(len(idle), 1) // told at once, before the next request is sent on it
	is.Equal(idle[0].Source, caller)
	is.Equal(idle[0].Destination, feed)
	is.Equal(idle[0].Ack, uint32(77))

	tracker := newTracker()
	for _, a := range []catalogue.Answer{w.configuration("bench"), w.servers(server("i-01", "bench")), w.servers(server("i-02", "bench"))} {
		tracker.Take(start, a)
	}
	is.Equal(f.Decide(start, tracker.Current(), start, p).Reason, forwarding.ServerGone)
}

func TestUnreachableServerLosesItsFlows(t *testing.T) {
	is := is.New(t)
	var w world
	f := newForwarder()
	known := learn(w.configuration("bench"), w.servers(server("i-01", "bench"), server("i-02", "bench")))
	placed := f.Decide(start, known, start, opening())
	p := segmentOf(placed)
	is.True(f.Decide(start, known, start, p).Probe == nil)
	repeated := f.Decide(start.Add(200*time.Millisecond), known, start, p)
	is.Equal(repeated.Action, forwarding.Forward) // doubt alone resets nothing
	is.Equal(repeated.Probe, placed.Server)

	reset, _ := f.Probed(start, known, forwarding.Probe{Server: placed.Server.Cookie, Began: start, Found: placement.Silent})
	is.Equal(len(reset), 1)
	is.Equal(f.Decide(start.Add(time.Second), known, start, p).Reason, forwarding.ServerUnreachable)
	is.True(f.Decide(start.Add(time.Second), known, start, opening()).Server != placed.Server)
}

func TestReachableServerKeepsItsFlows(t *testing.T) {
	is := is.New(t)
	var w world
	f := newForwarder()
	known := learn(w.configuration("bench"), w.servers(server("i-01", "bench"), server("i-02", "bench")))
	placed := f.Decide(start, known, start, opening())
	p := segmentOf(placed)
	for i := range 5 {
		at := start.Add(time.Duration(i) * 200 * time.Millisecond)
		is.Equal(f.Decide(at, known, start, p).Action, forwarding.Forward) // slow, but alive
		reset, _ := f.Probed(at, known, forwarding.Probe{Server: placed.Server.Cookie, Began: at, Found: placement.Accepted})
		is.Equal(len(reset), 0)
	}
}

// TestRefusedCallerIsPlacedElsewhere is the load of callers on a service of
// which two of three servers refuse each opening at once, with 2 retries each.
func TestRefusedCallerIsPlacedElsewhere(t *testing.T) {
	is := is.New(t)
	var w world
	known := learn(w.configuration("bench"), w.servers(server("i-01", "bench"), server("i-02", "bench"), server("i-03", "bench")))
	served := 0
	for n := range 200 {
		f := newForwarder()
		p := opening()
		tried := make(map[fleet.ServerID]bool)
		for try := range 3 {
			p.Source = netip.AddrPortFrom(caller.Addr(), uint16(1000+10*n+try))
			at := start.Add(time.Duration(try) * 6 * time.Millisecond)
			d := f.Decide(at, known, start, p)
			is.Equal(d.Probe != nil, try > 0) // the server that refused is in doubt
			is.True(!tried[d.Server.ID])
			if d.Server.ID == "i-03" {
				served++
				break
			}
			tried[d.Server.ID] = true
		}
	}
	is.Equal(served, 200)
}

func TestCopyThroughAnotherHostGoesToAnotherServer(t *testing.T) {
	is := is.New(t)
	var w world
	known := learn(w.configuration("bench"), w.servers(server("i-01", "bench"), server("i-02", "bench"), server("i-03", "bench")))
	p := opening()
	first := newForwarder().Decide(start, known, start, p)
	p.Ack = 1
	second := newForwarder().Decide(start.Add(200*time.Millisecond), known, start, p)
	is.True(first.Server != second.Server)
	is.Equal(second.Reason, forwarding.PlacedAgain)
}

// TestOneTryIsSpentOnADataCentreThatRefuses is the load of callers whose flows are
// cut as all servers of their data centre restart: two tries are left to each.
func TestOneTryIsSpentOnADataCentreThatRefuses(t *testing.T) {
	is := is.New(t)
	var w world
	var servers []catalogue.Server
	for _, id := range []fleet.ServerID{"i-01", "i-02", "i-03", "i-04", "i-05", "i-06"} {
		s := server(id, "bench")
		if id > "i-04" {
			s.DataCentre = "b"
		}
		servers = append(servers, s)
	}
	known := learn(w.configuration("bench"), w.servers(servers...))
	for n := range 100 {
		f := newForwarder()
		p := opening()
		p.Source = netip.AddrPortFrom(caller.Addr(), uint16(1000+10*n))
		first := f.Decide(start, known, start, p)
		p.Source = netip.AddrPortFrom(caller.Addr(), uint16(1001+10*n))
		second := f.Decide(start.Add(5*time.Millisecond), known, start, p)
		is.Equal(first.Server.DataCentre, fleet.DataCentreID("a"))
		is.Equal(second.Server.DataCentre, fleet.DataCentreID("b"))
	}
}

// TestServersThatEndTogetherAreFoundTogether is the load of a data centre whose
// servers all crash: after three the others are probed before callers meet them.
func TestServersThatEndTogetherAreFoundTogether(t *testing.T) {
	is := is.New(t)
	var w world
	var servers []catalogue.Server
	for _, id := range []fleet.ServerID{"i-01", "i-02", "i-03", "i-04", "i-05", "i-06"} {
		servers = append(servers, server(id, "bench"))
	}
	known := learn(w.configuration("bench"), w.servers(servers...))
	f := newForwarder()
	probed := 0
	for _, id := range []fleet.ServerID{"i-01", "i-02", "i-03"} {
		_, also := f.Probed(start, known, forwarding.Probe{Server: catalogue.CookieOf(id), Began: start, Found: placement.Silent})
		probed += len(also)
	}
	is.Equal(probed, 3)
}

// TestWitnesses is the load of a data centre that is taken out and cut off at once: its
// own servers get no new flow, and are the only ones that can answer.
func TestWitnesses(t *testing.T) {
	is := is.New(t)
	var w world
	draining, other, remote := server("i-02", "bench"), server("i-03", "sheets"), server("i-04", "bench")
	draining.Draining, remote.DataCentre = true, "b"
	known := learn(
		w.configuration("bench"), w.servers(server("i-01", "bench"), draining, other, remote),
		catalogue.Answer{Source: catalogue.Evacuations, Whole: true, Version: 9, Records: []catalogue.Record{{Name: "a", Changed: 9}}},
	)
	probed := known.Server(catalogue.CookieOf("i-04"))
	c := placement.Chooser{DataCentre: "a"}
	seen := make(map[fleet.ServerID]bool)
	for turn := range uint64(100) {
		witnesses := c.Witnesses(known, probed, turn)
		is.Equal(len(witnesses), 1) // the only remote one is being probed
		seen[witnesses[0].ID] = true
	}
	is.Equal(len(seen), 3)
	c.Reach.Doubt(catalogue.CookieOf("i-01"))
	c.Reach.Doubt(catalogue.CookieOf("i-02"))
	is.Equal(c.Witnesses(known, probed, 1)[0].ID, fleet.ServerID("i-03"))
	c.Reach.Doubt(catalogue.CookieOf("i-03"))
	is.Equal(len(c.Witnesses(known, probed, 1)), 0)
}
