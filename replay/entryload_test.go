package replay_test

import (
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rattanthread/rattanthread/catalogue"
	"github.com/rattanthread/rattanthread/entry"
	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/forwarding"
	"github.com/rattanthread/rattanthread/load"
	"github.com/rattanthread/rattanthread/placement"
	"github.com/rattanthread/rattanthread/replay"
)

// TestReportsUpdateAdmission guards against a replay that decides otherwise than the host, because it leaves
// out that the reports to other data centres update the admission, or the fractions of those.
func TestReportsUpdateAdmission(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, dataCentre := range []fleet.DataCentreID{"a", "b"} {
		is := is.New(t)
		lists, orders := netip.MustParseAddrPort("198.18.0.1:443"), netip.MustParseAddrPort("198.18.0.2:443")
		var trace strings.Builder
		recorder := replay.EntryRecorder{Out: &trace}
		host := forwarding.Forwarder{Chooser: placement.Chooser{DataCentre: "a"}}
		host.UseLoad(true)
		recorder.Record(entry.Event{At: start, Settings: &entry.Settings{DataCentre: "a", Host: "h0"}})
		shares := []catalogue.Share{{Service: "bench", Weight: 1}}
		var tracker catalogue.Tracker
		for _, update := range []catalogue.Update{
			{Source: catalogue.Evacuations, Full: true, Version: 1, AsOf: start},
			{Source: catalogue.Configurations, Full: true, Version: 1, AsOf: start, Records: []catalogue.Record{{Name: "main", Changed: 1, Configuration: &catalogue.Configuration{
				Number: 1, Routes: []catalogue.Route{{Name: "lists", Address: lists, Priority: 2, Shares: shares}, {Name: "orders", Address: orders, Priority: 1, Shares: shares}},
			}}}},
			{Source: catalogue.Servers, Full: true, Version: 1, AsOf: start, Records: []catalogue.Record{{Name: "i-01", Changed: 1, Server: &catalogue.Server{
				ID: "i-01", Service: "bench", Address: netip.MustParseAddrPort("10.0.0.9:8080"), DataCentre: dataCentre, Tag: 1, Slots: 2,
			}}}},
		} {
			tracker.Apply(start, update)
			recorder.Record(entry.Event{At: start, Update: &update})
		}
		recorder.Record(entry.Event{At: start, Published: true})
		current := tracker.Current()
		host.CatalogueChanged(nil, current)
		now := start
		for range 10 { // without callers of its own
			now = now.Add(400 * time.Millisecond)
			report := load.Report{
				Servers: []load.ServerLoad{{Server: catalogue.CookieOf("i-01"), InFlight: 40, Samples: 20, Slowdown: 16, Limit: 160}},
				Demand:  []load.ServiceDemand{{Service: "bench", Priority: 1, PerSecond: 100}, {Service: "bench", Priority: 2, PerSecond: 100}},
			}
			loads := load.DataCentreLoads{Short: []load.ServiceUtilisation{{Service: "bench", InFlight: 9, Limit: 9}}, Admitted: []load.AdmittedFraction{{Service: "bench", Priority: 2, Fraction: 51}}}
			is.NoErr(host.Chooser.Load.Receive(now, "h1", report))
			recorder.Record(entry.Event{At: now, Load: &entry.LoadEvent{Peer: "h1", Report: &report}})
			is.NoErr(host.Chooser.Load.ReceiveElsewhere(now, "b", loads))
			recorder.Record(entry.Event{At: now, Load: &entry.LoadEvent{DataCentre: "b", Loads: &loads}})
			host.DataCentreLoads(now, current)
			recorder.Record(entry.Event{At: now, Load: &entry.LoadEvent{Short: true}})
		}
		refused, confirmed := 0, forwarding.Confirmation{Configuration: start, Routes: start, Servers: start}
		for port := range uint16(100) {
			packet := forwarding.Packet{Source: netip.AddrPortFrom(netip.MustParseAddr("100.64.0.7"), 2000+port), Destination: lists, Kind: forwarding.Opening}
			decision := host.Decide(now, current, confirmed, packet)
			if decision.Reason == forwarding.NoRoom {
				refused++
				is.Equal(decision.AdmittedBy, dataCentre)
			}
			recorder.Record(entry.Event{At: now, Packet: &entry.PacketEvent{Packet: packet, Confirmed: confirmed, Decision: decision}})
		}
		is.True(refused > 50)
		is.NoErr(recorder.Err())
		_, err := replay.RunEntry("x.jsonl", strings.NewReader(trace.String()))
		is.NoErr(err)
	}
}
