package catalogue_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rattanthread/rattanthread/catalogue"
	"github.com/rattanthread/rattanthread/fleet"
)

var (
	start        = time.Unix(1000, 0)
	routeAddress = netip.MustParseAddrPort("198.18.0.1:443")
)

func server(id fleet.ServerID, changed catalogue.Version) *catalogue.Server {
	return &catalogue.Server{
		ID: id, Service: "bench", Address: netip.MustParseAddrPort("10.0.0.9:8080"), DataCentre: "a",
		Tag: 1, Slots: 2, Created: changed, Changed: changed,
	}
}

func record(s *catalogue.Server) catalogue.Record {
	return catalogue.Record{Name: string(s.ID), Changed: s.Changed, Server: s}
}

func removed(id string, changed catalogue.Version) catalogue.Record {
	return catalogue.Record{Name: id, Changed: changed, Removed: true}
}

func servers(version catalogue.Version, full bool, records ...catalogue.Record) catalogue.Update {
	return catalogue.Update{Source: catalogue.Servers, Full: full, Version: version, Records: records, AsOf: start}
}

func configuration(version catalogue.Version, number uint64) catalogue.Update {
	return catalogue.Update{
		Source: catalogue.Configurations, Full: true, Version: version, AsOf: start,
		Records: []catalogue.Record{{Name: "main", Changed: version, Configuration: &catalogue.Configuration{
			Number: number,
			Routes: []catalogue.Route{{Address: routeAddress, Shares: []catalogue.Share{{Service: "bench", Weight: 1}}}},
		}}},
	}
}

func evacuations(version catalogue.Version, records ...catalogue.Record) catalogue.Update {
	return catalogue.Update{Source: catalogue.Evacuations, Full: true, Version: version, Records: records, AsOf: start}
}

func TestReady(t *testing.T) {
	is := is.New(t)
	var tracker catalogue.Tracker
	is.True(!tracker.Current().Ready())
	tracker.Apply(start, servers(1, true, record(server("i-01", 1))))
	is.True(!tracker.Current().Ready()) // no configuration yet
	tracker.Apply(start, configuration(2, 7))
	is.True(!tracker.Current().Ready()) // a data centre may be out of service
	tracker.Apply(start, evacuations(3))
	is.True(tracker.Current().Ready())
	is.Equal(len(tracker.Current().Pool("bench").All), 1)
}

func TestOlderAnswerChangesNothing(t *testing.T) {
	is := is.New(t)
	var tracker catalogue.Tracker
	tracker.Apply(start, configuration(9, 8))
	is.True(!tracker.Apply(start, configuration(5, 7))) // from a lagging replica
	is.Equal(tracker.Current().Configuration.Number, uint64(8))
}

// TestVersionNeedsItsRecords guards against a host that never reads the records of a source,
// because a peer without them has told it their version.
func TestVersionNeedsItsRecords(t *testing.T) {
	is := is.New(t)
	var tracker catalogue.Tracker
	tracker.Apply(start, servers(5, false))
	is.Equal(tracker.Version(catalogue.Servers), catalogue.Version(0))
	tracker.Apply(start, servers(5, true, record(server("i-01", 5))))
	is.Equal(tracker.Version(catalogue.Servers), catalogue.Version(5))
}

func TestDrainingServerKeepsItsFlowsOnly(t *testing.T) {
	is := is.New(t)
	var tracker catalogue.Tracker
	tracker.Apply(start, servers(1, true, record(server("i-01", 1))))
	draining := server("i-01", 2)
	draining.Draining = true
	tracker.Apply(start, servers(2, false, record(draining)))
	current := tracker.Current()
	is.Equal(len(current.Pool("bench").All), 0)
	is.Equal(current.Server(catalogue.CookieOf("i-01")).ID, fleet.ServerID("i-01"))
}

func TestUnreadableRecordKeepsFlows(t *testing.T) {
	is := is.New(t)
	var tracker catalogue.Tracker
	tracker.Apply(start, servers(1, true, record(server("i-01", 1))))
	tracker.Apply(start, servers(2, false, catalogue.Record{Name: "i-01", Changed: 2}))
	current := tracker.Current()
	is.Equal(len(current.Pool("bench").All), 0)
	is.True(current.Server(catalogue.CookieOf("i-01")) != nil)
	is.True(!current.IsRemoved(catalogue.CookieOf("i-01")))

	tracker.Apply(start, servers(3, false, record(server("i-01", 3))))
	is.Equal(len(tracker.Current().Pool("bench").All), 1)
}

func TestRemovedServerIsGone(t *testing.T) {
	is := is.New(t)
	var tracker catalogue.Tracker
	tracker.Apply(start, servers(1, true, record(server("i-01", 1))))
	tracker.Apply(start, servers(2, false, removed("i-01", 2)))
	current := tracker.Current()
	is.True(current.Server(catalogue.CookieOf("i-01")) == nil)
	is.True(current.IsRemoved(catalogue.CookieOf("i-01")))
}

func TestLapsedServersAreKeptUntilTheStoreHasSettled(t *testing.T) {
	const outage = 10 * time.Second
	tests := []struct {
		name    string
		returns bool
		listed  bool
	}{
		{"a server that registers again keeps its flows", true, false},
		{"a server that does not register again is removed", false, false},
		{"a server that is missing from a list is removed", false, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var tracker catalogue.Tracker
			tracker.Apply(start, servers(1, true, record(server("i-01", 1))))
			recovered := start.Add(outage)
			lapsed := servers(5, false, removed("i-01", 5))
			if test.listed {
				lapsed = servers(5, true)
			}
			lapsed.Grace = catalogue.RecoveryGrace
			tracker.Apply(recovered, lapsed)
			is.Equal(len(tracker.Current().Pool("bench").All), 1) // the store has just recovered
			if test.returns {
				tracker.Apply(recovered.Add(2*time.Second), servers(6, false, record(server("i-01", 6))))
			}
			tracker.Tick(recovered.Add(catalogue.RecoveryGrace))
			is.Equal(len(tracker.Current().Pool("bench").All) == 1, test.returns)
			is.Equal(tracker.Current().IsRemoved(catalogue.CookieOf("i-01")), !test.returns)
		})
	}
}

// TestLagIsNoOutage guards against new flows on servers that are gone: a host that was out of date
// for seconds, as behind a host that lags, has no evidence that the store was unavailable. The
// servers keep their flows for a time, since it has no evidence of the contrary either.
func TestLagIsNoOutage(t *testing.T) {
	is := is.New(t)
	var tracker catalogue.Tracker
	tracker.Apply(start, servers(1, true, record(server("i-01", 1)), record(server("i-02", 1))))
	updated := start.Add(catalogue.OutageThreshold + time.Second)
	tracker.Apply(updated, servers(5, false, removed("i-01", 5)))
	is.Equal(len(tracker.Current().Pool("bench").All), 1)
	is.True(tracker.Current().Server(catalogue.CookieOf("i-01")) != nil)
	tracker.Tick(updated.Add(catalogue.RecoveryGrace))
	is.True(tracker.Current().IsRemoved(catalogue.CookieOf("i-01")))
}

// TestGraceReachesPeers guards against flows that are reset although their servers live: a host
// behind the one that has seen an outage of the store has not seen it itself.
func TestGraceReachesPeers(t *testing.T) {
	is := is.New(t)
	var tracker, peer catalogue.Tracker
	tracker.Apply(start, servers(1, true, record(server("i-01", 1))))
	peer.Apply(start, tracker.Snapshot(start, catalogue.Servers))
	recovered := servers(2, false)
	recovered.Grace = catalogue.RecoveryGrace
	tracker.Apply(start, recovered)

	later := start.Add(time.Second)
	tracker.Apply(later, servers(5, false, removed("i-01", 5)))
	peer.Apply(later, tracker.Since(later, catalogue.Servers, 1))
	is.Equal(len(peer.Current().Pool("bench").All), 1)
	peer.Tick(start.Add(catalogue.RecoveryGrace))
	is.True(peer.Current().IsRemoved(catalogue.CookieOf("i-01")))
}

func TestEvacuation(t *testing.T) {
	is := is.New(t)
	var tracker catalogue.Tracker
	tracker.Apply(start, servers(1, true, record(server("i-01", 1))))
	tracker.Apply(start, evacuations(2, catalogue.Record{Name: "a", Changed: 2}))
	is.Equal(len(tracker.Current().Pool("bench").All), 0)
	is.True(tracker.Current().Server(catalogue.CookieOf("i-01")) != nil) // open flows continue
	tracker.Apply(start, catalogue.Update{Source: catalogue.Evacuations, Version: 3, Records: []catalogue.Record{removed("a", 3)}})
	is.Equal(len(tracker.Current().Pool("bench").All), 1)
}

func TestOfServersWithOneCookieTheOlderKeepsIt(t *testing.T) {
	is := is.New(t)
	first, second := collidingIDs()
	is.Equal(catalogue.CookieOf(first), catalogue.CookieOf(second))
	var tracker catalogue.Tracker
	tracker.Apply(start, servers(2, true, record(server(second, 2)), record(server(first, 1))))
	current := tracker.Current()
	is.Equal(current.Server(catalogue.CookieOf(first)).ID, first)
	is.Equal(len(current.Pool("bench").All), 1) // the other one gets no flows
}

// collidingIDs returns two ids with the same cookie. By the birthday paradox the search
// is short.
func collidingIDs() (first, second fleet.ServerID) {
	seen := make(map[catalogue.Cookie]fleet.ServerID)
	for i := 0; ; i++ {
		id := fleet.ServerID("i-" + string(rune('a'+i%26)) + string(rune('a'+i/26%26)) + string(rune('a'+i/676%26)) + string(rune('0'+i/17576)))
		if other, ok := seen[catalogue.CookieOf(id)]; ok {
			return other, id
		}
		seen[catalogue.CookieOf(id)] = id
	}
}

func TestCookieIsSealedForItsRoute(t *testing.T) {
	is := is.New(t)
	cookie := catalogue.CookieOf("i-01")
	other := netip.MustParseAddrPort("198.18.0.1:444")
	is.Equal(cookie.MaskFor(routeAddress).MaskFor(routeAddress), cookie)
	is.True(cookie.MaskFor(routeAddress).MaskFor(other) != cookie)
}

func TestRebornServerIsNoted(t *testing.T) {
	is := is.New(t)
	var tracker catalogue.Tracker
	tracker.Apply(start, servers(1, true, record(server("i-01", 1))))
	tracker.Changes()
	restarted := server("i-01", 2)
	restarted.Started = 5
	tracker.Apply(start, servers(2, false, record(restarted)))
	is.Equal(tracker.Changes()[0].Kind, catalogue.ServerRestarted)
}

func TestColdServerWarmsUp(t *testing.T) {
	is := is.New(t)
	var tracker catalogue.Tracker
	cold := server("i-01", 1)
	cold.WarmupRemaining = 2 * time.Second
	tracker.Apply(start, servers(1, true, record(cold)))
	got := tracker.Current().Pool("bench").All[0]
	is.True(got.IsCold(start))
	is.True(!got.IsCold(start.Add(2 * time.Second)))
}

func TestUnreadableConfigurationIsToldAndNotUsed(t *testing.T) {
	is := is.New(t)
	var tracker catalogue.Tracker
	tracker.Apply(start, configuration(2, 7))
	tracker.Changes()
	bad := catalogue.Record{Name: "main", Changed: 3, Fault: "route r1: bad address"}
	tracker.Apply(start, catalogue.Update{Source: catalogue.Configurations, Version: 3, Records: []catalogue.Record{bad}})
	is.Equal(tracker.Current().Configuration.Number, uint64(7)) // the last readable one stays in force
	is.Equal(tracker.Changes(), []catalogue.Change{
		{Kind: catalogue.ConfigurationUnreadable, Name: "main", Version: 3, Fault: "route r1: bad address"},
	})
}
