package forwarding_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rattanthread/rattanthread/catalogue"
	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/forwarding"
	"github.com/rattanthread/rattanthread/load"
	"github.com/rattanthread/rattanthread/placement"
)

// orders is the address of a route of a higher priority than feed.
var orders = netip.MustParseAddrPort("198.18.0.1:8080")

// newPriorityCatalogue returns a catalogue with two servers and two routes to them.
func newPriorityCatalogue() *catalogue.Catalogue {
	var store fakeStore
	configuration := store.configuration("bench")
	routes := &configuration.Records[0].Configuration.Routes
	(*routes)[0].Priority = 2
	*routes = append(*routes, catalogue.Route{Name: "orders", Address: orders, Priority: 1, Shares: (*routes)[0].Shares})
	return newCatalogue(configuration, store.servers(newServer("i-01", "bench"), newServer("i-02", "bench")))
}

// newLoadedForwarder returns a forwarder whose servers have a number of requests in flight at a
// limit of 10, and have had it for a minute.
func newLoadedForwarder(current *catalogue.Catalogue, inFlight float64) *forwarding.Forwarder {
	f := newForwarder()
	f.Utilisation = func(_ time.Time, servers []*catalogue.Server) load.Utilisation {
		return load.Utilisation{InFlight: inFlight, Limit: 10, Servers: len(servers), Known: len(servers)}
	}
	demand := []load.ServiceDemand{
		{Service: "bench", Priority: 1, PerSecond: 100},
		{Service: "bench", Priority: 2, PerSecond: 100},
	}
	f.Demand = func(time.Time, fleet.ServiceName) []load.ServiceDemand { return demand }
	for at := -time.Minute; at < 0; at += 100 * time.Millisecond {
		f.Decide(start.Add(at), current, confirmedAt(start.Add(at)), openingFrom(1, orders))
	}
	return f
}

func openingFrom(port uint16, route netip.AddrPort) forwarding.Packet {
	return forwarding.Packet{Source: netip.AddrPortFrom(caller.Addr(), port), Destination: route, Kind: forwarding.Opening}
}

// TestRefusalForLackOfCapacity guards against refusals of requests that may have run, and of the
// highest priority.
func TestRefusalForLackOfCapacity(t *testing.T) {
	is := is.New(t)
	current := newPriorityCatalogue()
	f := newLoadedForwarder(current, 40)
	refused := 0
	for port := range uint16(1000) {
		packet := openingFrom(2000+port, feed)
		decision := f.Decide(start, current, confirmedAt(start), packet)
		if decision.Reason == forwarding.NoRoom {
			refused++
			is.Equal(decision, forwarding.Decision{Action: forwarding.Refuse, Reason: forwarding.NoRoom, AdmittedBy: "a"})
			is.Equal(f.Decide(start, current, confirmedAt(start), packet).Reason, forwarding.NoRoom) // a duplicate
		}
		is.Equal(f.Decide(start, current, confirmedAt(start), openingFrom(2000+port, orders)).Action, forwarding.Forward)
		packet.Ack = 1 // a retransmission, whose first copy may have gone through another host
		is.Equal(f.Decide(start, current, confirmedAt(start), packet).Action, forwarding.Forward)
		packet.Ack = 0 // a late duplicate of the first copy, after the flow was forwarded
		is.Equal(f.Decide(start, current, confirmedAt(start), packet).Action, forwarding.Forward)
	}
	is.True(refused > 900 && refused < 980) // 19 of 20
	is.Equal(f.Admission.Changes()[0].Priority, catalogue.Priority(2))
	is.Equal(forwarding.NoRoom.String(), "no_room")
}

// TestFlowOfEarlierGenerationIsKnown guards against a refusal of a flow that was forwarded before the
// flow table started a new generation.
func TestFlowOfEarlierGenerationIsKnown(t *testing.T) {
	is := is.New(t)
	current := newPriorityCatalogue()
	f := newLoadedForwarder(current, 40)
	for port := range uint16(100) {
		packet := openingFrom(2000+port, feed)
		packet.Ack = 1
		is.Equal(f.Decide(start, current, confirmedAt(start), packet).Action, forwarding.Forward)
	}
	later := start.Add(10 * time.Second) // one generation after start
	for at := start; at.Before(later); at = at.Add(100 * time.Millisecond) {
		f.Decide(at, current, confirmedAt(at), openingFrom(1, orders))
	}
	for port := range uint16(100) {
		is.Equal(f.Decide(later, current, confirmedAt(later), openingFrom(2000+port, feed)).Action, forwarding.Forward)
	}
}

// TestNoServerComesFirst guards against a refusal for lack of capacity where no server exists.
func TestNoServerComesFirst(t *testing.T) {
	is := is.New(t)
	current := newPriorityCatalogue()
	f := newLoadedForwarder(current, 40)
	var store fakeStore
	none := newCatalogue(store.configuration("bench"), store.servers(newServer("i-01", "sheets")))
	is.Equal(f.Decide(start, none, confirmedAt(start), openingPacket()).Reason, forwarding.NoServer)
}

// TestDecisionsWithoutShortage guards against decisions that differ where there is capacity.
func TestDecisionsWithoutShortage(t *testing.T) {
	is := is.New(t)
	current := newPriorityCatalogue()
	loaded, plain := newLoadedForwarder(current, 9), newLoadedForwarder(current, 9)
	plain.Utilisation, plain.Demand = nil, nil
	for i := range 5000 {
		now := start.Add(time.Duration(i) * time.Millisecond)
		packet := openingFrom(uint16(2000+i%3000), feed)
		packet.Ack = uint32(i / 3000)
		is.Equal(loaded.Decide(now, current, confirmedAt(now), packet), plain.Decide(now, current, confirmedAt(now), packet))
	}
}

// TestUtilisationOfReachableServers guards against counting the capacity of servers that can't be
// reached.
func TestUtilisationOfReachableServers(t *testing.T) {
	is := is.New(t)
	current := newPriorityCatalogue()
	f := newLoadedForwarder(current, 9)
	var seen []*catalogue.Server
	f.Utilisation = func(_ time.Time, servers []*catalogue.Server) load.Utilisation {
		seen = append(seen[:0], servers...)
		return load.Utilisation{}
	}
	f.Decide(start, current, confirmedAt(start), openingPacket())
	is.Equal(len(seen), 2)
	f.RecordProbe(start, current, forwarding.Probe{Server: catalogue.CookieOf("i-01"), Began: start, Evidence: placement.Refused})
	f.Decide(start.Add(time.Second), current, confirmedAt(start), openingPacket())
	is.Equal(len(seen), 1)
	is.Equal(seen[0].ID, fleet.ServerID("i-02"))
}

// TestRefusalAllocations guards against garbage for each refused packet.
func TestRefusalAllocations(t *testing.T) {
	is := is.New(t)
	current := newPriorityCatalogue()
	f := newLoadedForwarder(current, 40)
	packet := openingFrom(2000, feed)
	for port := uint16(2001); port < 2100 && f.Decide(start, current, confirmedAt(start), packet).Reason != forwarding.NoRoom; port++ {
		packet = openingFrom(port, feed)
	}
	is.Equal(f.Decide(start, current, confirmedAt(start), packet).Reason, forwarding.NoRoom)
	now := start
	is.Equal(testing.AllocsPerRun(1000, func() {
		now = now.Add(100 * time.Millisecond) // an update is due
		f.Decide(now, current, confirmedAt(now), packet)
	}), 0.0)
}
