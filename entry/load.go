package entry

import (
	"slices"
	"time"

	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/load"
)

// loadInterval is how often the load of all servers is exported as metrics and searched for
// changes to log.
const loadInterval = time.Second

// useLoadTracker connects the load estimates of the forwarder with the feeds. Tests may have set
// another exchange.
func (h *Host) useLoadTracker() {
	if h.loadExchange.ReportFor != nil {
		return
	}
	tracker := &h.forwarder.Chooser.Load
	h.loadExchange = loadExchange{
		ReportFor: func(now time.Time, peer fleet.HostID) load.Report {
			h.record(Event{Load: &LoadEvent{Peer: peer, Sent: true}})
			return tracker.ReportFor(now, peer)
		},
		Receive: func(now time.Time, peer fleet.HostID, report load.Report) error {
			h.record(Event{Load: &LoadEvent{Peer: peer, Report: &report}})
			return tracker.Receive(now, peer, report)
		},
		Disconnect: func(peer fleet.HostID) {
			h.record(Event{Load: &LoadEvent{Peer: peer, Ended: true}})
			tracker.Disconnect(peer)
		},
		Short: func(now time.Time) load.DataCentreLoads {
			h.record(Event{Load: &LoadEvent{Short: true}})
			return h.forwarder.DataCentreLoads(now, h.snapshot.Load().catalogue)
		},
		ReceiveElsewhere: func(now time.Time, dataCentre fleet.DataCentreID, loads load.DataCentreLoads) error {
			h.record(Event{Load: &LoadEvent{DataCentre: dataCentre, Loads: &loads}})
			return tracker.ReceiveElsewhere(now, dataCentre, loads)
		},
	}
}

// applyLearning applies the setting load.learning. The caller holds mu, unless the host does not run yet.
func (h *Host) applyLearning() { h.forwarder.UseLoad(h.learning()) }

// observeLoads exports the load of all servers, and logs what has changed.
func (h *Host) observeLoads() {
	current := h.snapshot.Load().catalogue
	if current == nil || !h.learning() {
		return
	}
	services := current.Services()
	estimates := make([][]serverEstimate, len(services))
	fractions := make([]float64, len(services))
	h.mu.Lock()
	now := h.network.Now()
	h.record(Event{Load: &LoadEvent{}})
	for i, service := range services {
		for _, server := range current.Pool(service).All {
			estimates[i] = append(estimates[i], serverEstimate{server.ID, h.forwarder.Chooser.Load.Estimate(now, server)})
		}
		fractions[i] = h.forwarder.Chooser.Spillover.Fraction(service)
	}
	changes := slices.Clone(h.forwarder.Admission.Changes())
	elsewhere := h.forwarder.Chooser.Load.AdmittedElsewhere(now)
	h.mu.Unlock()
	for _, change := range changes {
		h.recordAdmission(admissionKey{h.Settings.DataCentre, change.Service, int(change.Priority)}, change.Fraction)
	}
	h.recordAdmissionElsewhere(services, elsewhere)
	for i, service := range services {
		h.recordEstimates(service, estimates[i])
		h.recordSpillover(service, fractions[i])
	}
	for _, service := range h.loadServices {
		if !slices.Contains(services, service) {
			h.forgetLoads(service)
		}
	}
	h.loadServices = services
}
