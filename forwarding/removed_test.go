package forwarding_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rattanthread/rattanthread/catalogue"
	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/forwarding"
)

// catalogueWithoutServer returns a catalogue in which i-01 was removed.
func catalogueWithoutServer() *catalogue.Catalogue {
	var store fakeStore
	return newCatalogue(store.configuration("bench"), store.servers(newServer("i-01", "bench")), store.servers(newServer("i-02", "bench")))
}

// segmentOfLaterStart returns a packet of a flow that another host has placed on i-01 after it had started again.
func segmentOfLaterStart() forwarding.Packet {
	var store fakeStore
	again := newServer("i-01", "bench")
	again.Started = 7
	current := newCatalogue(store.configuration("bench"), store.servers(again))
	return segmentPacket(newForwarder().Decide(start, current, confirmedAt(start), openingPacket()))
}

// TestFlowOfLaterStartIsNotReset guards against the reset of open flows by a host that knows only that their server had ended:
// it has started again under its id, and another host has opened the flows since this one's list was confirmed.
func TestFlowOfLaterStartIsNotReset(t *testing.T) {
	removed := catalogueWithoutServer()
	packet := segmentOfLaterStart()
	confirmed, seen := start, start.Add(time.Second)
	for _, test := range []struct {
		name   string
		kind   forwarding.Kind
		at     forwarding.Confirmation
		action forwarding.Action
	}{
		{"confirmed before", forwarding.Segment, confirmedAt(confirmed), forwarding.Forward},
		{"closing", forwarding.Closing, confirmedAt(confirmed), forwarding.Forward},
		{"reset by the caller", forwarding.Reset, confirmedAt(seen), forwarding.Forward},
		{"never confirmed", forwarding.Segment, forwarding.Confirmation{}, forwarding.Forward},
		{"confirmed in the future", forwarding.Segment, confirmedAt(seen.Add(time.Hour)), forwarding.Forward},
		{"only the configuration confirmed since", forwarding.Segment, forwarding.Confirmation{Configuration: seen, Routes: seen, Servers: confirmed}, forwarding.Forward},
		{"confirmed since", forwarding.Segment, confirmedAt(seen), forwarding.Refuse},
		{"confirmed since, closing", forwarding.Closing, confirmedAt(seen), forwarding.Refuse},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			host := newForwarder()
			first := host.Decide(seen, removed, confirmedAt(confirmed), packet)
			is.Equal(first.Action, forwarding.Forward)
			is.Equal(first.Server.Address, newServer("i-01", "bench").Address)
			is.Equal(first.Cookie, packet.Cookie)
			next := packet
			next.Kind = test.kind
			got := host.Decide(seen.Add(200*time.Millisecond), removed, test.at, next)
			is.Equal(got.Action, test.action)
			is.Equal(got.Reason, forwarding.ServerGone)
			is.Equal(got.Server.ID, fleet.ServerID("i-01"))
			is.Equal(got.OpenSince, seen)
		})
	}
}

// TestFlowOfServerWithoutRecordIsNotReset guards against the reset of an open flow whose server runs although the store has
// no record of it: the flow was placed after the removal had been confirmed, and the server has accepted it.
func TestFlowOfServerWithoutRecordIsNotReset(t *testing.T) {
	is := is.New(t)
	removed := catalogueWithoutServer()
	host := newForwarder()
	packet := segmentOfLaterStart()
	for i := range 5 { // each acknowledges the response to the one before
		now := start.Add(time.Duration(i) * 2 * time.Second)
		is.Equal(host.Decide(now, removed, confirmedAt(now.Add(-time.Millisecond)), packet).Action, forwarding.Forward)
		packet.Seq += 100
		packet.Ack += 2000
	}
	now := start.Add(10 * time.Second)
	is.Equal(host.Decide(now, removed, confirmedAt(now), packet).Action, forwarding.Forward)
	now = now.Add(200 * time.Millisecond) // there was no response
	is.Equal(host.Decide(now, removed, confirmedAt(now), packet).Action, forwarding.Refuse)
}

// TestRemovalEndsEarlierFlowsOnly guards against the reset of flows of a later start of a removed server, which arrived from
// another host after the list without the server was confirmed.
func TestRemovalEndsEarlierFlowsOnly(t *testing.T) {
	var store fakeStore
	listed := newCatalogue(store.configuration("bench"), store.servers(newServer("i-01", "bench")))
	removed := catalogueWithoutServer()
	packet := segmentOfLaterStart()
	packet.Ack = 77
	seen := start.Add(time.Second)
	now := seen.Add(100 * time.Millisecond)
	for _, test := range []struct {
		confirmed time.Time
		resets    int
	}{
		{time.Time{}, 0},
		{seen.Add(-time.Millisecond), 0},
		{seen, 1},
	} {
		is := is.New(t)
		host := newForwarder()
		host.Decide(seen, listed, confirmedAt(start), packet)
		is.Equal(len(host.RemoveServer(now, catalogue.CookieOf("i-01"), test.confirmed)), test.resets)
		is.Equal(len(host.RemoveServer(now, catalogue.CookieOf("i-01"), test.confirmed)), 0) // once
		got := host.Decide(now, removed, confirmedAt(test.confirmed), packet)                // a retransmission
		is.Equal(got.Action == forwarding.Refuse, test.resets > 0)
	}
}

// TestOpeningOfLaterStartIsNotReset guards against the reset of a flow that was placed on a server after the list without
// it was confirmed: the server may have accepted it after it had started again.
func TestOpeningOfLaterStartIsNotReset(t *testing.T) {
	var store fakeStore
	listed := newCatalogue(store.configuration("bench"), store.servers(newServer("i-01", "bench")))
	for confirmed, resets := range map[time.Time]int{start.Add(-time.Millisecond): 0, start: 1} {
		is := is.New(t)
		host := newForwarder()
		host.Decide(start, listed, confirmedAt(start), openingPacket())
		is.Equal(len(host.RemoveServer(start.Add(time.Millisecond), catalogue.CookieOf("i-01"), confirmed)), resets)
	}
}
