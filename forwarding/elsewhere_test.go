package forwarding_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rattanthread/rattanthread/catalogue"
	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/forwarding"
	"github.com/rattanthread/rattanthread/load"
)

// newRemoteCatalogue returns a catalogue like newPriorityCatalogue whose servers are in the given
// data centres.
func newRemoteCatalogue(dataCentres ...fleet.DataCentreID) *catalogue.Catalogue {
	var store fakeStore
	configuration := store.configuration("bench")
	routes := &configuration.Records[0].Configuration.Routes
	(*routes)[0].Priority = 2
	*routes = append(*routes, catalogue.Route{Name: "orders", Address: orders, Priority: 1, Shares: (*routes)[0].Shares})
	var servers []catalogue.Server
	for i, dataCentre := range dataCentres {
		server := newServer(fleet.ServerID([]string{"i-01", "i-02", "i-03", "i-04"}[i]), "bench")
		server.DataCentre = dataCentre
		servers = append(servers, server)
	}
	return newCatalogue(configuration, store.servers(servers...))
}

// admitBy returns a function for Forwarder.AdmittedBy with a fraction of the lists in a data centre.
func admitBy(dataCentre fleet.DataCentreID, fraction float64) func(time.Time, fleet.DataCentreID, fleet.ServiceName, catalogue.Priority) float64 {
	return func(_ time.Time, of fleet.DataCentreID, service fleet.ServiceName, priority catalogue.Priority) float64 {
		if of == dataCentre && service == "bench" && priority == 2 {
			return fraction
		}
		return 1
	}
}

// TestFractionOfTheServersDataCentre guards against flows that are refused by the fraction of another
// data centre than that of their server, and against refusals of requests that may have run.
func TestFractionOfTheServersDataCentre(t *testing.T) {
	tests := []struct {
		name          string
		servers       fleet.DataCentreID
		inFlight      float64 // at the local servers, of 10
		by            fleet.DataCentreID
		fraction      float64
		least, most   int // refused lists of 1,000
		ordersRefused bool
	}{
		{"local, by the local one", "a", 40, "b", 1, 900, 980, false},
		{"local, not by the other one", "a", 5, "b", 0.3, 0, 0, false},
		{"remote, by the other one", "b", 5, "b", 0.3, 660, 740, false},
		{"remote, not by the local one", "b", 40, "b", 1, 0, 0, false},
		{"remote, by the other one only", "b", 40, "b", 0.3, 660, 740, false},
		{"remote, not by a third one", "b", 5, "c", 0.3, 0, 0, false},
		{"remote, by less than 1 of 20", "b", 5, "b", 0.004, 920, 980, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			f := newLoadedForwarder(newPriorityCatalogue(), test.inFlight)
			f.AdmittedBy = admitBy(test.by, test.fraction)
			current := newRemoteCatalogue(test.servers, test.servers)
			refused := 0
			for port := range uint16(1000) {
				packet := openingFrom(2000+port, feed)
				decision := f.Decide(start, current, confirmedAt(start), packet)
				if decision.Reason == forwarding.NoRoom {
					refused++
					is.Equal(decision, forwarding.Decision{Action: forwarding.Refuse, Reason: forwarding.NoRoom, AdmittedBy: test.servers})
					is.Equal(f.Decide(start, current, confirmedAt(start), packet).Reason, forwarding.NoRoom) // a duplicate
				}
				is.Equal(f.Decide(start, current, confirmedAt(start), openingFrom(2000+port, orders)).Action, forwarding.Forward)
				packet.Ack = 1 // a retransmission, whose first copy may have gone through another host
				is.Equal(f.Decide(start, current, confirmedAt(start), packet).Action, forwarding.Forward)
				packet.Ack = 0 // a late duplicate of the first copy, after the flow was forwarded
				is.Equal(f.Decide(start, current, confirmedAt(start), packet).Action, forwarding.Forward)
			}
			is.True(refused >= test.least)
			is.True(refused <= test.most)
		})
	}
}

// TestSameFlowsInAllDataCentres guards against a hash of flows that differs between the data centres, so
// that a caller which moves to another host has a second chance.
func TestSameFlowsInAllDataCentres(t *testing.T) {
	is := is.New(t)
	current := newRemoteCatalogue("b", "b")
	there := newLoadedForwarder(current, 40)
	there.Chooser.DataCentre = "b"
	here := newLoadedForwarder(current, 1)
	here.AdmittedBy = func(_ time.Time, _ fleet.DataCentreID, service fleet.ServiceName, priority catalogue.Priority) float64 {
		return there.Admission.Fraction(service, priority)
	}
	admitted := 0
	for port := range uint16(2000) {
		packet := openingFrom(2000+port, feed)
		decision := here.Decide(start, current, confirmedAt(start), packet)
		is.Equal(decision.Reason, there.Decide(start, current, confirmedAt(start), packet).Reason)
		if decision.Action == forwarding.Forward {
			admitted++
		}
	}
	is.True(admitted > 60 && admitted < 140) // 1 of 20
}

// TestDemandOnLocalServers guards against openings that go to another data centre and count as demand
// on the local servers, and against local ones that do not count because they are refused.
func TestDemandOnLocalServers(t *testing.T) {
	for _, dataCentre := range []fleet.DataCentreID{"a", "b"} {
		for _, fraction := range []float64{1, 0.3} {
			is := is.New(t)
			f := newLoadedForwarder(newPriorityCatalogue(), 40)
			f.AdmittedBy = admitBy("b", fraction)
			current := newRemoteCatalogue(dataCentre, dataCentre)
			at, refused := start.Add(10*time.Second), 0
			for port := range uint16(200) {
				at = at.Add(10 * time.Millisecond)
				if f.Decide(at, current, confirmedAt(at), openingFrom(2000+port, feed)).Reason == forwarding.NoRoom {
					refused++
				}
			}
			is.Equal(refused > 0, dataCentre == "a" || fraction < 1)
			demand := f.Chooser.Load.Demand(at, "bench")
			if dataCentre == "a" {
				is.Equal(demand, []load.ServiceDemand{{Service: "bench", Priority: 2, PerSecond: 100}})
			} else {
				is.Equal(len(demand), 0)
			}
		}
	}
}

// TestLocalAdmissionWhileFlowsGoElsewhere guards against a local fraction that stays because the flows of
// the host go to another data centre, and against the load of that one in the local control loop.
func TestLocalAdmissionWhileFlowsGoElsewhere(t *testing.T) {
	is := is.New(t)
	f := newLoadedForwarder(newPriorityCatalogue(), 40)
	is.True(f.Admission.Fraction("bench", 2) < 0.1)
	current := newRemoteCatalogue("b", "b")
	f.Utilisation = func(_ time.Time, servers []*catalogue.Server) load.Utilisation {
		is.Equal(len(servers), 0)
		return load.Utilisation{}
	}
	for at := time.Duration(0); at < 5*time.Second; at += 100 * time.Millisecond {
		is.Equal(f.Decide(start.Add(at), current, confirmedAt(start.Add(at)), openingFrom(1, orders)).Action, forwarding.Forward)
	}
	is.Equal(f.Admission.Fraction("bench", 2), 1.0)
}

// TestLearningOffAdmitsEverything guards against refusals by fractions that are no longer renewed.
func TestLearningOffAdmitsEverything(t *testing.T) {
	is := is.New(t)
	for _, dataCentre := range []fleet.DataCentreID{"a", "b"} {
		f := newLoadedForwarder(newPriorityCatalogue(), 40)
		f.AdmittedBy = admitBy("b", 0.1)
		f.UseLoad(false)
		is.Equal(len(f.DataCentreLoads(start, newPriorityCatalogue()).Admitted), 0)
		current := newRemoteCatalogue(dataCentre)
		for port := range uint16(100) {
			packet := openingFrom(2000+port, feed)
			is.Equal(f.Preview(start, current, confirmedAt(start), packet).Reason, forwarding.Placed)
			is.Equal(f.Decide(start, current, confirmedAt(start), packet).Reason, forwarding.Placed)
		}
	}
	var f forwarding.Forwarder
	f.UseLoad(true)
	is.NoErr(f.Chooser.Load.ReceiveElsewhere(start, "b", load.DataCentreLoads{Admitted: []load.AdmittedFraction{{Service: "bench", Priority: 2, Fraction: 51}}}))
	is.Equal(f.AdmittedBy(start, "b", "bench", 2), 0.2)
}

// TestRefusalElsewhereAllocations guards against garbage for each packet that another data centre refuses.
func TestRefusalElsewhereAllocations(t *testing.T) {
	is := is.New(t)
	current := newRemoteCatalogue("b", "b")
	f := newForwarder()
	f.UseLoad(true)
	f.Demand = func(time.Time, fleet.ServiceName) []load.ServiceDemand { return nil }
	is.NoErr(f.Chooser.Load.ReceiveElsewhere(start, "b", load.DataCentreLoads{Admitted: []load.AdmittedFraction{{Service: "bench", Priority: 2, Fraction: 13}}}))
	packet := openingFrom(2000, feed)
	for port := uint16(2001); port < 2100 && f.Decide(start, current, confirmedAt(start), packet).Reason != forwarding.NoRoom; port++ {
		packet = openingFrom(port, feed)
	}
	is.Equal(f.Decide(start, current, confirmedAt(start), packet).Reason, forwarding.NoRoom)
	is.Equal(testing.AllocsPerRun(1000, func() { f.Decide(start, current, confirmedAt(start), packet) }), 0.0)
}

// TestReportOfFractions guards against reports that leave out the fractions, that hold those of services
// without local servers, or that change the steps of a host with callers.
func TestReportOfFractions(t *testing.T) {
	is := is.New(t)
	current := newPriorityCatalogue()
	f, untouched := newLoadedForwarder(current, 40), newLoadedForwarder(current, 40)
	at := start.Add(-100 * time.Millisecond)
	loads := f.DataCentreLoads(at, current)
	is.Equal(loads.Admitted, []load.AdmittedFraction{{Service: "bench", Priority: 2, Fraction: 13}})
	is.NoErr(loads.Check())
	is.Equal(len(f.DataCentreLoads(at, newRemoteCatalogue("b", "b")).Admitted), 0)
	steps := 0
	count := func(utilisation load.Utilisation) func(time.Time, []*catalogue.Server) load.Utilisation {
		return func(_ time.Time, servers []*catalogue.Server) load.Utilisation {
			is.Equal(len(servers), 2)
			steps++
			return utilisation
		}
	}
	f.Utilisation = count(load.Utilisation{InFlight: 40, Limit: 10, Servers: 2, Known: 2})
	for at := start; at.Before(start.Add(10 * time.Second)); at = at.Add(200 * time.Millisecond) {
		for port := range uint16(20) {
			packet := openingFrom(2000+port, feed)
			is.Equal(f.Decide(at, current, confirmedAt(at), packet), untouched.Decide(at, current, confirmedAt(at), packet))
		}
		f.DataCentreLoads(at.Add(150*time.Millisecond), current)
	}
	is.Equal(steps, 50) // of the openings
	// Without callers the reports run the control loop.
	f.Utilisation, steps = count(load.Utilisation{InFlight: 11, Limit: 10, Servers: 2, Known: 2}), 0
	for i := range 40 {
		f.DataCentreLoads(start.Add(11*time.Second+time.Duration(i)*400*time.Millisecond), current)
	}
	is.Equal(steps, 40)
	f.Utilisation = count(load.Utilisation{InFlight: 1, Limit: 10, Servers: 2, Known: 2})
	at = start.Add(27 * time.Second) // the requests in flight have expired, so that no service is short
	for range 40 {
		at = at.Add(400 * time.Millisecond)
		f.DataCentreLoads(at, current)
	}
	is.Equal(len(f.DataCentreLoads(at, current).Admitted), 0)
}

// TestReportByAHostWithoutCallers guards against a data centre that reports no fractions because the host
// that reports for it has no callers.
func TestReportByAHostWithoutCallers(t *testing.T) {
	is := is.New(t)
	d := newDataCentres(1, &modelDataCentre{id: "a", lists: 500, orders: 300}, &modelDataCentre{id: "b", hostCount: 2, servers: 20, lists: 250, orders: 150})
	messages, below := 0, 0
	d.exchange = func(from, _ fleet.DataCentreID, loads *load.DataCentreLoads) (time.Duration, bool) {
		if from == "b" && d.now.Sub(start) > 4*time.Second {
			messages++
			if len(loads.Admitted) > 0 {
				below++
			}
		}
		return modelDelay, true
	}
	d.run(12 * time.Second)
	t.Logf("%d of %d messages have a fraction", below, messages)
	is.True(messages >= 19)
	is.True(below >= messages*9/10)
}

// TestReportWithFreeCapacityElsewhere guards against refusals, by a host without callers that reports for
// its data centre, while another data centre has free capacity.
func TestReportWithFreeCapacityElsewhere(t *testing.T) {
	for _, free := range []bool{false, true} {
		is := is.New(t)
		current := newRemoteCatalogue("a", "a", "b")
		f := newForwarder()
		f.UseLoad(true)
		f.Chooser.Elsewhere = func(time.Time, fleet.ServiceName) []load.DataCentreUtilisation {
			return []load.DataCentreUtilisation{{DataCentre: "b", Free: free, Known: true, Utilisation: load.Utilisation{InFlight: 9, Limit: 9}}}
		}
		f.Utilisation = func(_ time.Time, servers []*catalogue.Server) load.Utilisation {
			return load.Utilisation{InFlight: 40, Limit: 10, Servers: len(servers), Known: len(servers)}
		}
		f.Demand = func(time.Time, fleet.ServiceName) []load.ServiceDemand {
			return []load.ServiceDemand{{Service: "bench", Priority: 1, PerSecond: 100}, {Service: "bench", Priority: 2, PerSecond: 100}}
		}
		var loads load.DataCentreLoads
		for at := start; at.Before(start.Add(4 * time.Second)); at = at.Add(400 * time.Millisecond) {
			for _, server := range current.ServersIn("a") {
				for range 4 {
					f.Chooser.Load.RecordRequest(at, server, feed)
				}
			}
			loads = f.DataCentreLoads(at, current)
		}
		is.Equal(len(loads.Short), 1)
		is.Equal(len(loads.Admitted) == 0, free)
	}
}

// TestNoRefusalElsewhereWithLocalCapacity guards against a refusal by the fraction of another data centre while local
// servers have free capacity: a caller whose first attempt got no response retries from another port, and attempts
// alternate between the data centres.
func TestNoRefusalElsewhereWithLocalCapacity(t *testing.T) {
	is := is.New(t)
	current := newRemoteCatalogue("a", "a", "b", "b")
	retried := 0
	for port := range uint16(200) {
		f := newForwarder()
		f.Utilisation = func(_ time.Time, servers []*catalogue.Server) load.Utilisation {
			return load.Utilisation{InFlight: 1, Limit: 10, Servers: len(servers), Known: len(servers)}
		}
		f.Demand = func(time.Time, fleet.ServiceName) []load.ServiceDemand { return nil }
		f.AdmittedBy = admitBy("b", 0.05)
		first := f.Decide(start, current, confirmedAt(start), openingFrom(2000+2*port, feed))
		is.Equal(first.Reason, forwarding.Placed)
		at := start.Add(700 * time.Millisecond)
		second := f.Decide(at, current, confirmedAt(at), openingFrom(2001+2*port, feed))
		if second.Reason != forwarding.Placed {
			retried++
		}
		is.Equal(second.Action, forwarding.Forward)
	}
	is.Equal(retried, 200)
}
