package forwarding_test

import (
	"fmt"
	"testing"

	"github.com/rattanthread/rattanthread/catalogue"
	"github.com/rattanthread/rattanthread/fleet"
)

// newServers returns 3,400 servers in 5 data centres, the target size.
func newServers() []catalogue.Server {
	var servers []catalogue.Server
	for i := range 3400 {
		s := newServer(fleet.ServerID(fmt.Sprintf("i-%08x", i)), "bench")
		s.DataCentre = fleet.DataCentreID(string(rune('a' + i%5)))
		servers = append(servers, s)
	}
	return servers
}

func BenchmarkSegment(b *testing.B) {
	var store fakeStore
	current := newCatalogue(store.configuration("bench"), store.servers(newServers()...))
	forwarder := newForwarder()
	packet := segmentPacket(forwarder.Decide(start, current, confirmedAt(start), openingPacket()))
	b.ReportAllocs()
	for b.Loop() {
		packet.Seq++
		forwarder.Decide(start, current, confirmedAt(start), packet)
	}
}

func BenchmarkOpening(b *testing.B) {
	var store fakeStore
	current := newCatalogue(store.configuration("bench"), store.servers(newServers()...))
	forwarder := newForwarder()
	packet := openingPacket()
	b.ReportAllocs()
	for b.Loop() {
		forwarder.Decide(start, current, confirmedAt(start), packet)
	}
}

func BenchmarkCatalogue(b *testing.B) {
	var store fakeStore
	tracker := newTracker()
	tracker.Apply(start, store.configuration("bench"))
	tracker.Apply(start, store.servers(newServers()...))
	b.ReportAllocs()
	for b.Loop() {
		s := newServer("i-00000001", "bench")
		store.version++
		s.Changed = store.version
		tracker.Apply(start, catalogue.Update{Source: catalogue.Servers, Version: store.version, Records: []catalogue.Record{{Name: "i-00000001", Changed: store.version, Server: &s}}})
		tracker.Current()
	}
}
