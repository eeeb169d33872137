package forwarding_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/forwarding"
)

// TestPreviewIsTheDecision guards against a preview that differs from the decision which follows, with and
// without a shortage, and against one that changes it.
func TestPreviewIsTheDecision(t *testing.T) {
	current := newPriorityCatalogue()
	for _, inFlight := range []float64{1, 40} {
		is := is.New(t)
		f, untouched := newLoadedForwarder(current, inFlight), newLoadedForwarder(current, inFlight)
		at, refused := start.Add(2*time.Second), 0 // the flows before count as failed attempts for 1 s
		for port := range uint16(500) {
			for _, route := range []netip.AddrPort{feed, orders, netip.MustParseAddrPort("198.18.0.9:1")} {
				packet := openingFrom(2000+port, route)
				preview := f.Preview(at, current, confirmedAt(at), packet)
				decision := f.Decide(at, current, confirmedAt(at), packet)
				is.Equal(preview.Action, decision.Action)
				is.Equal(preview.Reason, decision.Reason)
				if decision.Action == forwarding.Forward {
					is.Equal(preview.Server, decision.Server)
				}
				is.Equal(decision, untouched.Decide(at, current, confirmedAt(at), packet))
				if preview.Reason == forwarding.NoRoom {
					refused++
					is.True(preview.Admitted < 1)
					is.True(len(preview.Candidates) > 0) // shows what was short
				}
			}
		}
		is.Equal(refused > 0, inFlight > 10)
	}
}

// TestPreviewNamesTheDataCentre guards against a preview with the fraction of another data centre than that
// of the chosen server.
func TestPreviewNamesTheDataCentre(t *testing.T) {
	at := start.Add(2 * time.Second)
	for _, test := range []struct {
		servers  []fleet.DataCentreID
		by       fleet.DataCentreID
		admitted float64
	}{
		{[]fleet.DataCentreID{"a", "a"}, "a", 0.05},
		{[]fleet.DataCentreID{"b", "b"}, "b", 0.3},
		{[]fleet.DataCentreID{}, "a", 0.05}, // no server
	} {
		is := is.New(t)
		f := newLoadedForwarder(newPriorityCatalogue(), 40)
		f.AdmittedBy = admitBy("b", 0.3)
		current := newRemoteCatalogue(test.servers...)
		if len(test.servers) == 0 {
			var store fakeStore
			configuration := store.configuration("bench")
			configuration.Records[0].Configuration.Routes[0].Priority = 2
			current = newCatalogue(configuration, store.servers(newServer("i-01", "sheets")))
		}
		refused := 0
		for port := range uint16(500) {
			packet := openingFrom(2000+port, feed)
			preview := f.Preview(at, current, confirmedAt(at), packet)
			decision := f.Decide(at, current, confirmedAt(at), packet)
			is.Equal(preview.Action, decision.Action)
			is.Equal(preview.Reason, decision.Reason)
			is.Equal(preview.AdmittedBy, test.by)
			is.Equal(preview.Admitted, test.admitted)
			if decision.Reason == forwarding.NoRoom {
				refused++
				is.Equal(decision.AdmittedBy, test.by)
			}
		}
		is.Equal(refused > 0, len(test.servers) > 0)
	}
}

// TestPreviewWithoutCatalogue guards against a crash of a host that has just started.
func TestPreviewWithoutCatalogue(t *testing.T) {
	is := is.New(t)
	is.Equal(newForwarder().Preview(start, nil, confirmedAt(start), openingPacket()).Reason, forwarding.NotReady)
}
