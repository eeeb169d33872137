package forwarding_test

import (
	"fmt"
	"testing"

	"github.com/rattanthread/rattanthread/catalogue"
	"github.com/rattanthread/rattanthread/fleet"
)

// manyServers are the target's 3,400 servers in 5 data centres.
func manyServers() []catalogue.Server {
	var servers []catalogue.Server
	for i := range 3400 {
		s := server(fleet.ServerID(fmt.Sprintf("i-%08x", i)), "bench")
		s.DataCentre = fleet.DataCentreID(string(rune('a' + i%5)))
		servers = append(servers, s)
	}
	return servers
}

func BenchmarkSegment(b *testing.B) {
	var w world
	known := learn(w.configuration("bench"), w.servers(manyServers()...))
	f := newForwarder()
	p := segmentOf(f.Decide(start, known, start, opening()))
	b.ReportAllocs()
	for b.Loop() {
		p.Seq++
		f.Decide(start, known, start, p)
	}
}

func BenchmarkOpening(b *testing.B) {
	var w world
	known := learn(w.configuration("bench"), w.servers(manyServers()...))
	f := newForwarder()
	p := opening()
	b.ReportAllocs()
	for b.Loop() {
		f.Decide(start, known, start, p)
	}
}

func BenchmarkCatalogue(b *testing.B) {
	var w world
	tracker := newTracker()
	tracker.Take(start, w.configuration("bench"))
	tracker.Take(start, w.servers(manyServers()...))
	b.ReportAllocs()
	for b.Loop() {
		s := server("i-00000001", "bench")
		w.version++
		s.Changed = w.version
		tracker.Take(start, catalogue.Answer{Source: catalogue.Servers, Version: w.version, Records: []catalogue.Record{{Name: "i-00000001", Changed: w.version, Server: &s}}})
		tracker.Current()
	}
}
