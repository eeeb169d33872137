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

// fakeStore makes answers of the store with increasing versions.
type fakeStore struct {
	version catalogue.Version
}

// configuration returns an answer that routes the flows of feed to a service.
func (s *fakeStore) configuration(service fleet.ServiceName) catalogue.Update {
	s.version++
	return catalogue.Update{
		Source: catalogue.Configurations, Full: true, Version: s.version,
		Records: []catalogue.Record{{Name: "main", Changed: s.version, Configuration: &catalogue.Configuration{
			Number: uint64(s.version),
			Routes: []catalogue.Route{{Name: "feed", Address: feed, Shares: []catalogue.Share{{Service: service, Weight: 1}}}},
		}}},
	}
}

// servers returns a whole answer with the given servers.
func (s *fakeStore) servers(servers ...catalogue.Server) catalogue.Update {
	s.version++
	a := catalogue.Update{Source: catalogue.Servers, Full: true, Version: s.version}
	for i := range servers {
		servers[i].Changed = s.version
		a.Records = append(a.Records, catalogue.Record{Name: string(servers[i].ID), Changed: s.version, Server: &servers[i]})
	}
	return a
}

func newServer(id fleet.ServerID, service fleet.ServiceName) catalogue.Server {
	return catalogue.Server{ID: id, Service: service, Address: netip.MustParseAddrPort("10.0.0.9:8080"), DataCentre: "a", Tag: 1}
}

func newForwarder() *forwarding.Forwarder {
	return &forwarding.Forwarder{Chooser: placement.Chooser{DataCentre: "a"}}
}

func newCatalogue(answers ...catalogue.Update) *catalogue.Catalogue {
	t := newTracker()
	for _, a := range answers {
		t.Apply(start, a)
	}
	return t.Current()
}

// newTracker returns a tracker without evacuations.
func newTracker() *catalogue.Tracker {
	var t catalogue.Tracker
	t.Apply(start, catalogue.Update{Source: catalogue.Evacuations, Full: true, Version: 1})
	return &t
}

func openingPacket() forwarding.Packet {
	return forwarding.Packet{Source: caller, Destination: feed, Kind: forwarding.Opening}
}

// segmentPacket returns a packet of the flow that a decision placed.
func segmentPacket(d forwarding.Decision) forwarding.Packet {
	return forwarding.Packet{Source: caller, Destination: feed, Kind: forwarding.Segment, Cookie: d.Cookie, Seq: 1, Length: 100}
}

func TestFreshHostForwardsFlowOfEarlierConfiguration(t *testing.T) {
	is := is.New(t)
	var store fakeStore
	both := store.servers(newServer("i-01", "bench"), newServer("i-02", "sheets"))
	placed := newForwarder().Decide(start, newCatalogue(store.configuration("bench"), both), start, openingPacket())
	is.Equal(placed.Server.ID, fleet.ServerID("i-01"))

	moved := newCatalogue(both, store.configuration("sheets"))
	got := newForwarder().Decide(start, moved, start, segmentPacket(placed))
	is.Equal(got.Action, forwarding.Forward) // by a host without the earlier configuration
	is.Equal(got.Server.ID, fleet.ServerID("i-01"))
}

func TestCookieOfAnotherRouteReachesNothing(t *testing.T) {
	is := is.New(t)
	var store fakeStore
	current := newCatalogue(store.configuration("bench"), store.servers(newServer("i-01", "bench")))
	p := segmentPacket(forwarding.Decision{Cookie: catalogue.CookieOf("i-01").MaskFor(netip.MustParseAddrPort("198.18.0.2:443"))})
	is.Equal(newForwarder().Decide(start, current, start, p), forwarding.Decision{Reason: forwarding.ServerUnknown})
}

func TestDecide(t *testing.T) {
	var store fakeStore
	current := newCatalogue(store.configuration("bench"), store.servers(newServer("i-01", "bench")))
	empty := newCatalogue(store.configuration("bench"), store.servers(newServer("i-02", "sheets")))
	part := store.servers(newServer("i-02", "sheets"))
	part.Full, part.Version = false, 0
	partial := newCatalogue(store.configuration("bench"), part)
	elsewhere := netip.MustParseAddrPort("198.18.0.9:443")
	tests := []struct {
		name    string
		current *catalogue.Catalogue
		age     time.Duration
		packet  forwarding.Packet
		action  forwarding.Action
		reason  forwarding.Reason
	}{
		{"no catalogue", nil, 0, openingPacket(), forwarding.Drop, forwarding.NotReady},
		{"new flow", current, 0, openingPacket(), forwarding.Forward, forwarding.Placed},
		{
			"no route, fresh configuration", current, 0,
			forwarding.Packet{Source: caller, Destination: elsewhere, Kind: forwarding.Opening},
			forwarding.Refuse, forwarding.NoRoute,
		},
		{
			"no route, stale configuration", current, 10 * time.Second,
			forwarding.Packet{Source: caller, Destination: elsewhere, Kind: forwarding.Opening},
			forwarding.Drop, forwarding.RouteUnknown,
		},
		{
			"reset without a route", current, 0,
			forwarding.Packet{Source: caller, Destination: elsewhere, Kind: forwarding.Reset},
			forwarding.Drop, forwarding.RouteUnknown,
		},
		{"no server for new flows", empty, 0, openingPacket(), forwarding.Refuse, forwarding.NoServer},
		{"no server on the first page of the list", partial, 0, openingPacket(), forwarding.Drop, forwarding.NotReady},
		{
			"foreign packet", current, 0,
			forwarding.Packet{Source: caller, Destination: feed, Kind: forwarding.Foreign},
			forwarding.Drop, forwarding.NotFromCaller,
		},
		{
			"cookie of no server", current, 0,
			forwarding.Packet{Source: caller, Destination: feed, Cookie: 12345},
			forwarding.Drop, forwarding.ServerUnknown,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			got := newForwarder().Decide(start, test.current, start.Add(-test.age), test.packet)
			is.Equal(got.Action, test.action)
			is.Equal(got.Reason, test.reason)
		})
	}
}

func TestFlowOfEndedServerIsReset(t *testing.T) {
	is := is.New(t)
	var store fakeStore
	f := newForwarder()
	before := newCatalogue(store.configuration("bench"), store.servers(newServer("i-01", "bench")))
	placed := f.Decide(start, before, start, openingPacket())
	p := segmentPacket(placed)
	p.Ack = 77
	f.Decide(start, before, start, p)

	idle := f.RemoveServer(placed.Server.Cookie)
	is.Equal(len(idle), 1) // reset at once, before the next request is sent on the flow
	is.Equal(idle[0].Source, caller)
	is.Equal(idle[0].Destination, feed)
	is.Equal(idle[0].Ack, uint32(77))

	tracker := newTracker()
	for _, a := range []catalogue.Update{store.configuration("bench"), store.servers(newServer("i-01", "bench")), store.servers(newServer("i-02", "bench"))} {
		tracker.Apply(start, a)
	}
	is.Equal(f.Decide(start, tracker.Current(), start, p).Reason, forwarding.ServerGone)
}

func TestUnreachableServerLosesItsFlows(t *testing.T) {
	is := is.New(t)
	var store fakeStore
	f := newForwarder()
	current := newCatalogue(store.configuration("bench"), store.servers(newServer("i-01", "bench"), newServer("i-02", "bench")))
	placed := f.Decide(start, current, start, openingPacket())
	p := segmentPacket(placed)
	is.True(f.Decide(start, current, start, p).Probe == nil)
	repeated := f.Decide(start.Add(200*time.Millisecond), current, start, p)
	is.Equal(repeated.Action, forwarding.Forward) // a retransmission alone resets no flow
	is.Equal(repeated.Probe, placed.Server)

	reset, _ := f.RecordProbe(start, current, forwarding.Probe{Server: placed.Server.Cookie, Began: start, Found: placement.Silent})
	is.Equal(len(reset), 1)
	is.Equal(f.Decide(start.Add(time.Second), current, start, p).Reason, forwarding.ServerUnreachable)
	is.True(f.Decide(start.Add(time.Second), current, start, openingPacket()).Server != placed.Server)
}

func TestReachableServerKeepsItsFlows(t *testing.T) {
	is := is.New(t)
	var store fakeStore
	f := newForwarder()
	current := newCatalogue(store.configuration("bench"), store.servers(newServer("i-01", "bench"), newServer("i-02", "bench")))
	placed := f.Decide(start, current, start, openingPacket())
	p := segmentPacket(placed)
	for i := range 5 {
		at := start.Add(time.Duration(i) * 200 * time.Millisecond)
		is.Equal(f.Decide(at, current, start, p).Action, forwarding.Forward) // slow but alive
		reset, _ := f.RecordProbe(at, current, forwarding.Probe{Server: placed.Server.Cookie, Began: at, Found: placement.Accepted})
		is.Equal(len(reset), 0)
	}
}

// TestRefusedCallerIsPlacedElsewhere simulates callers of a service of which two of
// three servers refuse each opening packet at once. Each caller has 2 retries.
func TestRefusedCallerIsPlacedElsewhere(t *testing.T) {
	is := is.New(t)
	var store fakeStore
	current := newCatalogue(store.configuration("bench"), store.servers(newServer("i-01", "bench"), newServer("i-02", "bench"), newServer("i-03", "bench")))
	served := 0
	for n := range 200 {
		f := newForwarder()
		p := openingPacket()
		tried := make(map[fleet.ServerID]bool)
		for attempt := range 3 {
			p.Source = netip.AddrPortFrom(caller.Addr(), uint16(1000+10*n+attempt))
			at := start.Add(time.Duration(attempt) * 6 * time.Millisecond)
			d := f.Decide(at, current, start, p)
			is.Equal(d.Probe != nil, attempt > 0) // the server that refused is probed
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
	var store fakeStore
	current := newCatalogue(store.configuration("bench"), store.servers(newServer("i-01", "bench"), newServer("i-02", "bench"), newServer("i-03", "bench")))
	p := openingPacket()
	first := newForwarder().Decide(start, current, start, p)
	p.Ack = 1
	second := newForwarder().Decide(start.Add(200*time.Millisecond), current, start, p)
	is.True(first.Server != second.Server)
	is.Equal(second.Reason, forwarding.PlacedAgain)
}

// TestOneTryIsSpentOnADataCentreThatRefuses simulates callers whose flows break because
// all servers of their data centre restart. Each caller has two attempts left.
func TestOneTryIsSpentOnADataCentreThatRefuses(t *testing.T) {
	is := is.New(t)
	var store fakeStore
	var servers []catalogue.Server
	for _, id := range []fleet.ServerID{"i-01", "i-02", "i-03", "i-04", "i-05", "i-06"} {
		s := newServer(id, "bench")
		if id > "i-04" {
			s.DataCentre = "b"
		}
		servers = append(servers, s)
	}
	current := newCatalogue(store.configuration("bench"), store.servers(servers...))
	for n := range 100 {
		f := newForwarder()
		p := openingPacket()
		p.Source = netip.AddrPortFrom(caller.Addr(), uint16(1000+10*n))
		first := f.Decide(start, current, start, p)
		p.Source = netip.AddrPortFrom(caller.Addr(), uint16(1001+10*n))
		second := f.Decide(start.Add(5*time.Millisecond), current, start, p)
		is.Equal(first.Server.DataCentre, fleet.DataCentreID("a"))
		is.Equal(second.Server.DataCentre, fleet.DataCentreID("b"))
	}
}

// TestServersThatEndTogetherAreFoundTogether simulates a data centre whose servers all
// crash: after the first three the others are probed, before callers reach them.
func TestServersThatEndTogetherAreFoundTogether(t *testing.T) {
	is := is.New(t)
	var store fakeStore
	var servers []catalogue.Server
	for _, id := range []fleet.ServerID{"i-01", "i-02", "i-03", "i-04", "i-05", "i-06"} {
		servers = append(servers, newServer(id, "bench"))
	}
	current := newCatalogue(store.configuration("bench"), store.servers(servers...))
	f := newForwarder()
	probed := 0
	for _, id := range []fleet.ServerID{"i-01", "i-02", "i-03"} {
		_, candidates := f.RecordProbe(start, current, forwarding.Probe{Server: catalogue.CookieOf(id), Began: start, Found: placement.Silent})
		probed += len(candidates)
	}
	is.Equal(probed, 3)
}

// TestWitnesses simulates a data centre that is taken out of service and partitioned at
// once: its own servers accept no new flows, but only they can respond.
func TestWitnesses(t *testing.T) {
	is := is.New(t)
	var store fakeStore
	draining, other, remote := newServer("i-02", "bench"), newServer("i-03", "sheets"), newServer("i-04", "bench")
	draining.Draining, remote.DataCentre = true, "b"
	current := newCatalogue(
		store.configuration("bench"), store.servers(newServer("i-01", "bench"), draining, other, remote),
		catalogue.Update{Source: catalogue.Evacuations, Full: true, Version: 9, Records: []catalogue.Record{{Name: "a", Changed: 9}}},
	)
	probed := current.Server(catalogue.CookieOf("i-04"))
	c := placement.Chooser{DataCentre: "a"}
	seen := make(map[fleet.ServerID]bool)
	for turn := range uint64(100) {
		witnesses := c.Witnesses(current, probed, turn)
		is.Equal(len(witnesses), 1) // the only remote server is the probed one
		seen[witnesses[0].ID] = true
	}
	is.Equal(len(seen), 3)
	c.Reachability.StartProbing(catalogue.CookieOf("i-01"))
	c.Reachability.StartProbing(catalogue.CookieOf("i-02"))
	is.Equal(c.Witnesses(current, probed, 1)[0].ID, fleet.ServerID("i-03"))
	c.Reachability.StartProbing(catalogue.CookieOf("i-03"))
	is.Equal(len(c.Witnesses(current, probed, 1)), 0)
}
