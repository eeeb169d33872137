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

// fakeStore makes updates from the store with increasing versions.
type fakeStore struct {
	version catalogue.Version
}

// configuration returns an update that routes the flows of feed to a service.
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

// servers returns a full update with the given servers.
func (s *fakeStore) servers(servers ...catalogue.Server) catalogue.Update {
	s.version++
	update := catalogue.Update{Source: catalogue.Servers, Full: true, Version: s.version}
	for i := range servers {
		servers[i].Changed = s.version
		update.Records = append(update.Records, catalogue.Record{Name: string(servers[i].ID), Changed: s.version, Server: &servers[i]})
	}
	return update
}

func newServer(id fleet.ServerID, service fleet.ServiceName) catalogue.Server {
	return catalogue.Server{ID: id, Service: service, Address: netip.MustParseAddrPort("10.0.0.9:8080"), DataCentre: "a", Tag: 1}
}

// confirmedAt returns the confirmation of all sources at a time.
func confirmedAt(at time.Time) forwarding.Confirmation {
	return forwarding.Confirmation{Configuration: at, Routes: at, Servers: at}
}

func newForwarder() *forwarding.Forwarder {
	return &forwarding.Forwarder{Chooser: placement.Chooser{DataCentre: "a"}}
}

func newCatalogue(updates ...catalogue.Update) *catalogue.Catalogue {
	tracker := newTracker()
	for _, update := range updates {
		tracker.Apply(start, update)
	}
	return tracker.Current()
}

// newTracker returns a tracker without evacuations.
func newTracker() *catalogue.Tracker {
	var tracker catalogue.Tracker
	tracker.Apply(start, catalogue.Update{Source: catalogue.Evacuations, Full: true, Version: 1})
	return &tracker
}

func openingPacket() forwarding.Packet {
	return forwarding.Packet{Source: caller, Destination: feed, Kind: forwarding.Opening}
}

// segmentPacket returns a packet of the flow that a decision placed.
func segmentPacket(decision forwarding.Decision) forwarding.Packet {
	return forwarding.Packet{Source: caller, Destination: feed, Kind: forwarding.Segment, Cookie: decision.Cookie, Seq: 1, Length: 100}
}

func TestFreshHostForwardsFlowOfEarlierConfiguration(t *testing.T) {
	is := is.New(t)
	var store fakeStore
	both := store.servers(newServer("i-01", "bench"), newServer("i-02", "sheets"))
	placed := newForwarder().Decide(start, newCatalogue(store.configuration("bench"), both), confirmedAt(start), openingPacket())
	is.Equal(placed.Server.ID, fleet.ServerID("i-01"))

	moved := newCatalogue(both, store.configuration("sheets"))
	got := newForwarder().Decide(start, moved, confirmedAt(start), segmentPacket(placed))
	is.Equal(got.Action, forwarding.Forward) // by a host without the earlier configuration
	is.Equal(got.Server.ID, fleet.ServerID("i-01"))
}

func TestCookieOfAnotherRouteReachesNothing(t *testing.T) {
	is := is.New(t)
	var store fakeStore
	current := newCatalogue(store.configuration("bench"), store.servers(newServer("i-01", "bench")))
	packet := segmentPacket(forwarding.Decision{Cookie: catalogue.CookieOf("i-01").MaskFor(netip.MustParseAddrPort("198.18.0.2:443"))})
	is.Equal(newForwarder().Decide(start, current, confirmedAt(start), packet), forwarding.Decision{Reason: forwarding.ServerUnknown})
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
			got := newForwarder().Decide(start, test.current, confirmedAt(start.Add(-test.age)), test.packet)
			is.Equal(got.Action, test.action)
			is.Equal(got.Reason, test.reason)
		})
	}
}

func TestFlowOfEndedServerIsReset(t *testing.T) {
	is := is.New(t)
	var store fakeStore
	forwarder := newForwarder()
	before := newCatalogue(store.configuration("bench"), store.servers(newServer("i-01", "bench")))
	placed := forwarder.Decide(start, before, confirmedAt(start), openingPacket())
	packet := segmentPacket(placed)
	packet.Ack = 77
	forwarder.Decide(start, before, confirmedAt(start), packet)

	idle := forwarder.RemoveServer(start, placed.Server.Cookie, start)
	is.Equal(len(idle), 1) // reset at once, before the next request is sent on the flow
	is.Equal(idle[0].Source, caller)
	is.Equal(idle[0].Destination, feed)
	is.Equal(idle[0].Ack, uint32(77))

	tracker := newTracker()
	for _, update := range []catalogue.Update{store.configuration("bench"), store.servers(newServer("i-01", "bench")), store.servers(newServer("i-02", "bench"))} {
		tracker.Apply(start, update)
	}
	gone := forwarder.Decide(start, tracker.Current(), confirmedAt(start), packet)
	is.Equal(gone.Reason, forwarding.ServerGone)
	is.Equal(gone.Action, forwarding.Refuse)
}

// TestLateOpeningIsNotReset guards against the reset of an open flow by a host that was paused: it forwarded
// the first copy of the opening late, after another host had placed the retransmission elsewhere.
func TestLateOpeningIsNotReset(t *testing.T) {
	is := is.New(t)
	var store fakeStore
	current := newCatalogue(store.configuration("bench"), store.servers(newServer("i-01", "bench")))
	for after, resets := range map[time.Duration]int{time.Second: 1, 1500 * time.Millisecond: 0} {
		forwarder := newForwarder()
		placed := forwarder.Decide(start, current, confirmedAt(start), openingPacket())
		is.Equal(len(forwarder.RemoveServer(start.Add(after), placed.Server.Cookie, start)), resets)
	}
	forwarder := newForwarder()
	placed := forwarder.Decide(start, current, confirmedAt(start), openingPacket())
	forwarder.Decide(start, current, confirmedAt(start), segmentPacket(placed)) // confirms the opening
	is.Equal(len(forwarder.RemoveServer(start.Add(5*time.Second), placed.Server.Cookie, start)), 1)
}

func TestUnreachableServerLosesItsFlows(t *testing.T) {
	is := is.New(t)
	var store fakeStore
	forwarder := newForwarder()
	current := newCatalogue(store.configuration("bench"), store.servers(newServer("i-01", "bench"), newServer("i-02", "bench")))
	placed := forwarder.Decide(start, current, confirmedAt(start), openingPacket())
	packet := segmentPacket(placed)
	is.True(forwarder.Decide(start, current, confirmedAt(start), packet).Probe == nil)
	repeated := forwarder.Decide(start.Add(200*time.Millisecond), current, confirmedAt(start), packet)
	is.Equal(repeated.Action, forwarding.Forward) // a retransmission alone resets no flow
	is.Equal(repeated.Probe, placed.Server)

	reset, _ := forwarder.RecordProbe(start, current, forwarding.Probe{Server: placed.Server.Cookie, Began: start, Evidence: placement.Silent})
	is.Equal(len(reset), 1)
	is.Equal(forwarder.Decide(start.Add(time.Second), current, confirmedAt(start), packet).Reason, forwarding.ServerUnreachable)
	is.True(forwarder.Decide(start.Add(time.Second), current, confirmedAt(start), openingPacket()).Server != placed.Server)
}

// TestRestartedServerIsJudgedAnew guards against flows that are reset, or placed elsewhere, for
// what an earlier start of their server did.
func TestRestartedServerIsJudgedAnew(t *testing.T) {
	tests := []struct {
		name   string
		change func(*catalogue.Server)
		anew   bool
	}{
		{"no change", func(*catalogue.Server) {}, false},
		{"started again", func(s *catalogue.Server) { s.Started = 7 }, true},
		{"at another address", func(s *catalogue.Server) { s.Address = netip.MustParseAddrPort("10.0.0.77:80") }, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var store fakeStore
			forwarder := newForwarder()
			tracker := newTracker()
			first := newServer("i-01", "bench")
			tracker.Apply(start, store.configuration("bench"))
			tracker.Apply(start, store.servers(first))
			before := tracker.Current()
			placed := forwarder.Decide(start, before, confirmedAt(start), openingPacket())
			packet := segmentPacket(placed)
			now := start
			for range 4 {
				now = now.Add(200 * time.Millisecond)
				forwarder.Decide(now, before, confirmedAt(start), packet) // retransmissions raise a suspicion
			}
			forwarder.RecordProbe(now, before, forwarding.Probe{Server: placed.Server.Cookie, Began: start, Evidence: placement.Refused})
			is.True(forwarder.Chooser.Suspects.Suspected(now, placed.Server.Cookie))

			second := first
			test.change(&second)
			tracker.Apply(start, store.servers(second))
			after := tracker.Current()
			forwarder.CatalogueChanged(before, after)
			is.Equal(forwarder.Decide(now, after, confirmedAt(start), packet).Action == forwarding.Forward, test.anew)
			is.Equal(!forwarder.Chooser.Suspects.Suspected(now, placed.Server.Cookie), test.anew)
			is.Equal(!forwarder.Chooser.Reachability.Probing(placed.Server.Cookie), test.anew)
		})
	}
}

func TestReachableServerKeepsItsFlows(t *testing.T) {
	is := is.New(t)
	var store fakeStore
	forwarder := newForwarder()
	current := newCatalogue(store.configuration("bench"), store.servers(newServer("i-01", "bench"), newServer("i-02", "bench")))
	placed := forwarder.Decide(start, current, confirmedAt(start), openingPacket())
	packet := segmentPacket(placed)
	for i := range 5 {
		at := start.Add(time.Duration(i) * 200 * time.Millisecond)
		is.Equal(forwarder.Decide(at, current, confirmedAt(start), packet).Action, forwarding.Forward) // slow but alive
		reset, _ := forwarder.RecordProbe(at, current, forwarding.Probe{Server: placed.Server.Cookie, Began: at, Evidence: placement.Accepted})
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
		forwarder := newForwarder()
		packet := openingPacket()
		tried := make(map[fleet.ServerID]bool)
		for attempt := range 3 {
			packet.Source = netip.AddrPortFrom(caller.Addr(), uint16(1000+10*n+attempt))
			at := start.Add(time.Duration(attempt) * 6 * time.Millisecond)
			decision := forwarder.Decide(at, current, confirmedAt(start), packet)
			is.Equal(decision.Probe != nil, attempt > 0) // the server that refused is probed
			is.True(!tried[decision.Server.ID])
			if decision.Server.ID == "i-03" {
				served++
				break
			}
			tried[decision.Server.ID] = true
		}
	}
	is.Equal(served, 200)
}

func TestCopyThroughAnotherHostGoesToAnotherServer(t *testing.T) {
	is := is.New(t)
	var store fakeStore
	current := newCatalogue(store.configuration("bench"), store.servers(newServer("i-01", "bench"), newServer("i-02", "bench"), newServer("i-03", "bench")))
	packet := openingPacket()
	first := newForwarder().Decide(start, current, confirmedAt(start), packet)
	packet.Ack = 1
	second := newForwarder().Decide(start.Add(200*time.Millisecond), current, confirmedAt(start), packet)
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
		forwarder := newForwarder()
		packet := openingPacket()
		packet.Source = netip.AddrPortFrom(caller.Addr(), uint16(1000+10*n))
		first := forwarder.Decide(start, current, confirmedAt(start), packet)
		packet.Source = netip.AddrPortFrom(caller.Addr(), uint16(1001+10*n))
		second := forwarder.Decide(start.Add(5*time.Millisecond), current, confirmedAt(start), packet)
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
	forwarder := newForwarder()
	probed := 0
	for _, id := range []fleet.ServerID{"i-01", "i-02", "i-03"} {
		_, candidates := forwarder.RecordProbe(start, current, forwarding.Probe{Server: catalogue.CookieOf(id), Began: start, Evidence: placement.Silent})
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
	chooser := placement.Chooser{DataCentre: "a"}
	seen := make(map[fleet.ServerID]bool)
	for turn := range uint64(100) {
		witnesses := chooser.Witnesses(current, probed, turn)
		is.Equal(len(witnesses), 1) // the only remote server is the probed one
		seen[witnesses[0].ID] = true
	}
	is.Equal(len(seen), 3)
	chooser.Reachability.StartProbing(catalogue.CookieOf("i-01"))
	chooser.Reachability.StartProbing(catalogue.CookieOf("i-02"))
	is.Equal(chooser.Witnesses(current, probed, 1)[0].ID, fleet.ServerID("i-03"))
	chooser.Reachability.StartProbing(catalogue.CookieOf("i-03"))
	is.Equal(len(chooser.Witnesses(current, probed, 1)), 0)
}
