package datacentre_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rattanthread/rattanthread/config"
	"github.com/rattanthread/rattanthread/datacentre"
	"github.com/rattanthread/rattanthread/fleet"
)

var (
	start      = time.Date(2026, 1, 2, 12, 0, 0, 0, time.UTC)
	self       = fleet.Host{ID: "a1", DataCentre: "a"}
	localPeer  = fleet.Host{ID: "a2", DataCentre: "a"}
	remotePeer = fleet.Host{ID: "b1", DataCentre: "b"}
)

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

func dataCentre(name fleet.DataCentreID, state config.DataCentreState, since time.Time) config.DataCentre {
	return config.DataCentre{Name: name, State: state, Since: since}
}

func newTracker(dataCentres ...config.DataCentre) *datacentre.Tracker {
	t := &datacentre.Tracker{Self: self}
	t.Install(start, dataCentres)
	return t
}

func ExampleTracker() {
	t := &datacentre.Tracker{Self: fleet.Host{ID: "a1", DataCentre: "a"}}
	t.Install(start, []config.DataCentre{
		{Name: "a", State: config.StateIn, Since: start},
		{Name: "b", State: config.StateIn},
	})
	for _, s := range []float64{0, 12, 30, 59, 60} {
		fmt.Println(t.Phase(at(s), "a"), t.Share(at(s), "a"))
	}
	// Output:
	// returning 0.0625
	// returning 0.125
	// returning 0.25
	// returning 0.75
	// in 1
}

func TestPhase(t *testing.T) {
	never := time.Time{}
	cases := []struct {
		dataCentre config.DataCentre
		seconds    float64
		phase      fleet.DataCentrePhase
		share      float64
	}{
		{dataCentre("a", "", never), 0, fleet.DataCentreIn, 1},
		{dataCentre("a", config.StateOut, never), 0, fleet.DataCentreOut, 0},
		{dataCentre("a", config.StateOut, start), 0, fleet.DataCentreLeaving, 0},
		{dataCentre("a", config.StateOut, start), 1.9, fleet.DataCentreLeaving, 0},
		{dataCentre("a", config.StateOut, start), 2, fleet.DataCentreOut, 0},
		{dataCentre("a", config.StateIn, start), 0, fleet.DataCentreReturning, 1.0 / 16},
		{dataCentre("a", config.StateIn, at(5)), 0, fleet.DataCentreReturning, 1.0 / 16}, // the publisher's clock is ahead
		{dataCentre("a", config.StateIn, start), 60, fleet.DataCentreIn, 1},
		{dataCentre("other", config.StateIn, start), 60, fleet.DataCentreOut, 0},
	}
	for i, test := range cases {
		tracker := newTracker(test.dataCentre, dataCentre("b", config.StateIn, never))
		if phase, share := tracker.Phase(at(test.seconds), "a"), tracker.Share(at(test.seconds), "a"); phase != test.phase || share != test.share {
			t.Errorf("case %d: %v with share %v", i, phase, share)
		}
	}
}

func TestLastDataCentreStaysIn(t *testing.T) {
	is := is.New(t)
	tracker := newTracker(dataCentre("a", config.StateOut, at(1)), dataCentre("b", config.StateOut, at(2)), dataCentre("c", config.StateOut, at(2)))
	id, kept := tracker.KeptInService()
	is.True(kept)
	is.Equal(id, fleet.DataCentreID("b"))
	is.Equal(tracker.Share(at(100), "b"), 1.0)
	is.Equal(tracker.Share(at(100), "a"), 0.0)
	// A returning data centre gets its full share while no other is in service.
	tracker = newTracker(dataCentre("a", config.StateIn, start), dataCentre("b", config.StateOut, start))
	is.Equal(tracker.Share(start, "a"), 1.0)
}

// TestStage checks that the digest changes with phase and share and not otherwise.
func TestStage(t *testing.T) {
	is := is.New(t)
	tracker := newTracker(dataCentre("a", config.StateIn, start), dataCentre("b", config.StateIn, time.Time{}))
	changes := 0
	for second := 1; second < 200; second++ {
		if tracker.PhaseDigest(at(float64(second))) != tracker.PhaseDigest(at(float64(second-1))) {
			changes++
		}
	}
	is.Equal(changes, 5)
}

func TestConfirmation(t *testing.T) {
	two := []config.DataCentre{dataCentre("a", "", time.Time{}), dataCentre("b", "", time.Time{})}
	cases := []struct {
		name  string
		event func(*datacentre.Tracker)
		until float64 // when the confirmation expires
	}{
		{"no message", func(*datacentre.Tracker) {}, 0},
		{"platform", func(tracker *datacentre.Tracker) { tracker.Confirm(start) }, 10},
		{"another data centre", func(tracker *datacentre.Tracker) { tracker.ObserveMessage(start, remotePeer, 7) }, 10},
		{"another data centre with an earlier revision", func(tracker *datacentre.Tracker) { tracker.ObserveMessage(start, remotePeer, 6) }, 0},
		{"the local data centre", func(tracker *datacentre.Tracker) { tracker.ObserveMessage(start, localPeer, 8) }, 0},
		{"a forwarded confirmation keeps its age", func(tracker *datacentre.Tracker) {
			tracker.Receive(start, "a2", &datacentre.Confirmation{Age: 4 * time.Second})
		}, 6},
		{"an older confirmation changes nothing", func(tracker *datacentre.Tracker) {
			tracker.Confirm(start)
			tracker.Receive(start, "a2", &datacentre.Confirmation{Age: 4 * time.Second})
		}, 10},
		{"a negative age is ignored", func(tracker *datacentre.Tracker) {
			tracker.Receive(start, "a2", &datacentre.Confirmation{Age: -time.Hour})
		}, 0},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			tracker := newTracker(two...)
			tracker.SetRevision(7)
			test.event(tracker)
			is.Equal(tracker.Confirmed(at(test.until-0.1)), test.until > 0)
			is.True(!tracker.Confirmed(at(test.until)))
			allowed := tracker.Allowed(at(test.until))
			is.Equal(allowed, datacentre.Permissions{EstablishedFlows: true, NewFlows: true, IdempotentRequests: true})
		})
	}
	is.New(t).True(newTracker(two[0]).Confirmed(start)) // the only data centre
}

// TestChainEnds checks that hosts that forward a confirmation to each other do not
// extend it beyond its expiry.
func TestChainEnds(t *testing.T) {
	is := is.New(t)
	live := []fleet.Host{self, localPeer, remotePeer}
	dataCentres := []config.DataCentre{dataCentre("a", "", time.Time{}), dataCentre("b", "", time.Time{})}
	hosts := map[fleet.HostID]*datacentre.Tracker{"a1": {Self: self}, "a2": {Self: localPeer}}
	for _, tracker := range hosts {
		tracker.Install(start, dataCentres)
	}
	hosts["a1"].Confirm(start)
	for second := 0; second < 20; second++ {
		for _, id := range []fleet.HostID{"a1", "a2"} {
			for _, send := range hosts[id].Tick(at(float64(second)), live) {
				is.True(send.To != id && send.To != remotePeer.ID)
				hosts[send.To].Receive(at(float64(second)), id, send.Message)
			}
		}
		is.Equal(hosts["a2"].Confirmed(at(float64(second))), second < 10)
	}
}

func TestOutDoesNothing(t *testing.T) {
	is := is.New(t)
	tracker := newTracker(dataCentre("a", config.StateOut, start), dataCentre("b", "", time.Time{}))
	tracker.Confirm(start)
	is.Equal(tracker.Allowed(at(1)), datacentre.Permissions{EstablishedFlows: true})
	is.Equal(tracker.Allowed(at(2)), datacentre.Permissions{})
}
