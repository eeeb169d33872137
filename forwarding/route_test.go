package forwarding_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rattanthread/rattanthread/catalogue"
	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/forwarding"
)

// withoutRoutes returns an update that removes all routes.
func (s *fakeStore) withoutRoutes() catalogue.Update {
	update := s.configuration("")
	update.Records[0].Configuration.Routes = nil
	return update
}

// TestFlowOfUnknownRouteIsNotReset guards against the reset of open flows by a host that does not have the configuration
// with their route yet: another host has opened them since this one's configuration was confirmed.
func TestFlowOfUnknownRouteIsNotReset(t *testing.T) {
	var store fakeStore
	servers := store.servers(newServer("i-01", "bench"))
	without, with := store.withoutRoutes(), store.configuration("bench")
	removed, again := store.withoutRoutes(), store.configuration("bench")
	tests := []struct {
		name    string
		ahead   []catalogue.Update
		behind  []catalogue.Update
		servers catalogue.Update
		action  forwarding.Action
	}{
		{"new route", []catalogue.Update{with}, []catalogue.Update{without}, servers, forwarding.Forward},
		{"route that returns", []catalogue.Update{with, removed, again}, []catalogue.Update{with, removed}, servers, forwarding.Forward},
		{"new route and server", []catalogue.Update{with}, []catalogue.Update{without}, store.servers(newServer("i-02", "bench")), forwarding.Drop},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			ahead := newCatalogue(append(test.ahead, servers)...)
			behind := newCatalogue(append(test.behind, test.servers)...)
			host := newForwarder()
			confirmed := start
			now := start.Add(time.Second)
			packet := segmentPacket(newForwarder().Decide(now, ahead, confirmedAt(now), openingPacket()))
			for _, kind := range []forwarding.Kind{forwarding.Segment, forwarding.Segment, forwarding.Closing, forwarding.Reset} {
				now = now.Add(200 * time.Millisecond)
				packet.Kind = kind
				got := host.Decide(now, behind, confirmedAt(confirmed), packet)
				is.Equal(got.Action, test.action)
				is.Equal(got.Reason, forwarding.RouteUnknown)
				if got.Action == forwarding.Forward {
					is.Equal(got.Server.ID, fleet.ServerID("i-01"))
					is.Equal(got.Cookie, packet.Cookie)
				}
			}
		})
	}
}

// TestFlowOfRemovedRouteIsReset guards against flows that stay open without a route: a configuration that was confirmed
// after a flow had been seen, and lacks its route, has removed it.
func TestFlowOfRemovedRouteIsReset(t *testing.T) {
	is := is.New(t)
	var store fakeStore
	servers := store.servers(newServer("i-01", "bench"))
	with := newCatalogue(servers, store.configuration("bench"))
	without := newCatalogue(servers, store.withoutRoutes())
	packet := segmentPacket(newForwarder().Decide(start, with, confirmedAt(start), openingPacket()))
	seen := start.Add(time.Second)

	own := newForwarder() // has forwarded the flow by its route
	is.Equal(own.Decide(seen, with, confirmedAt(start), packet).Reason, forwarding.ByCookie)
	got := own.Decide(seen.Add(time.Second), without, confirmedAt(seen.Add(time.Millisecond)), packet)
	is.Equal(got.Action, forwarding.Refuse)
	is.Equal(got.Reason, forwarding.NoRoute)
	is.Equal(got.OpenSince, seen)

	other := newForwarder() // the flow has moved to it
	for _, test := range []struct {
		after, confirmed time.Duration
		action           forwarding.Action
	}{
		{0, 0, forwarding.Forward},
		{400 * time.Millisecond, 999 * time.Millisecond, forwarding.Forward}, // confirmed before the flow was seen
		{500 * time.Millisecond, time.Second, forwarding.Refuse},
		{20 * time.Second, 2 * time.Second, forwarding.Refuse}, // the route was removed, whatever was configured since
	} {
		is.Equal(other.Decide(seen.Add(test.after), without, confirmedAt(start.Add(test.confirmed)), packet).Action, test.action)
	}
}

// TestFlowOfUnconfirmedConfigurationIsNotReset guards against resets by a configuration whose time of confirmation is
// not known or impossible.
func TestFlowOfUnconfirmedConfigurationIsNotReset(t *testing.T) {
	var store fakeStore
	servers := store.servers(newServer("i-01", "bench"))
	packet := segmentPacket(newForwarder().Decide(start, newCatalogue(servers, store.configuration("bench")), confirmedAt(start), openingPacket()))
	without := newCatalogue(servers, store.withoutRoutes())
	now := start.Add(time.Second)
	for name, confirmed := range map[string]time.Time{"unknown": {}, "in the future": now.Add(time.Nanosecond)} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			host := newForwarder()
			host.Decide(start, without, confirmedAt(time.Time{}), packet)
			is.Equal(host.Decide(now, without, confirmedAt(confirmed), packet).Action, forwarding.Forward)
		})
	}
}

// TestRequestOfRemovedRouteEnds guards against requests that count as in flight on their server after their flow was reset.
func TestRequestOfRemovedRouteEnds(t *testing.T) {
	is := is.New(t)
	var store fakeStore
	servers := store.servers(newServer("i-01", "bench"))
	with, without := newCatalogue(servers, store.configuration("bench")), newCatalogue(servers, store.withoutRoutes())
	host := newForwarder()
	host.UseLoad(true)
	placed := host.Decide(start, with, confirmedAt(start), openingPacket())
	host.Decide(start.Add(time.Millisecond), with, confirmedAt(start), segmentPacket(placed))
	inFlight := func() float64 { return host.Chooser.Load.Estimate(start.Add(time.Second), placed.Server).InFlight }
	is.Equal(inFlight(), 1.0)
	host.Decide(start.Add(time.Second), without, confirmedAt(start.Add(time.Second)), segmentPacket(placed))
	is.Equal(inFlight(), 0.0)
}
