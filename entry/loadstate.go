package entry

import (
	"slices"
	"strconv"
	"sync"

	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/load"
)

// Thresholds for the log lines on a server. A state ends at another value than it starts, so that
// a server near a threshold is not logged over and over.
const (
	// slowSpeed is the speed below which a server is logged as slow.
	slowSpeed = 0.7
	// usualSpeed is the speed from which on a slow server is logged as usual again.
	usualSpeed = 0.85
	// notFullShare is the share of the limit below which a full server is no longer full.
	notFullShare = 0.8
)

// serverCondition is what the log says about the load of a server.
type serverCondition int

const (
	serverUsual serverCondition = iota
	serverSlow
	serverFull
	serverConditionCount
)

// serverConditionNames are the kinds of the log lines.
var serverConditionNames = [serverConditionCount]string{"server_usual", "server_slow", "server_full"}

func (c serverCondition) String() string { return serverConditionNames[c] }

// next returns the condition that follows c with an estimate.
func (c serverCondition) next(estimate load.Estimate) serverCondition {
	switch {
	case !estimate.Known:
		return serverUsual
	case estimate.Full(), c == serverFull && estimate.Total() >= notFullShare*estimate.Limit:
		return serverFull
	case estimate.Speed < slowSpeed, c == serverSlow && estimate.Speed < usualSpeed:
		return serverSlow
	}
	return serverUsual
}

// admissionKey identifies an admitted fraction: that of a priority of the routes of a service, to the
// servers in one data centre.
type admissionKey struct {
	dataCentre fleet.DataCentreID
	service    fleet.ServiceName
	priority   int
}

// labels returns the values of the labels of the metric.
func (k admissionKey) labels() []string {
	return []string{string(k.dataCentre), string(k.service), strconv.Itoa(k.priority)}
}

// loadStates holds the states of which changes are logged. The zero value is ready to use.
type loadStates struct {
	mu sync.Mutex
	// servers holds the conditions of the servers of each service that are not usual.
	servers map[fleet.ServiceName]map[fleet.ServerID]serverCondition
	// spilling holds the services with spillover, restricted the priorities of which a part is
	// refused.
	spilling   map[fleet.ServiceName]bool
	restricted map[admissionKey]bool
}

// serverEstimate is the estimate of a server.
type serverEstimate struct {
	server   fleet.ServerID
	estimate load.Estimate
}

// recordEstimates records the estimates of all servers of a service in the metrics, and logs each
// server that has become slow, full or usual.
func (h *Host) recordEstimates(service fleet.ServiceName, servers []serverEstimate) {
	states := &h.loadStates
	states.mu.Lock()
	defer states.mu.Unlock()
	before, after := states.servers[service], make(map[fleet.ServerID]serverCondition)
	var total load.Utilisation
	slow := 0
	for _, s := range servers {
		if s.estimate.Known {
			total.Known++
			total.InFlight += s.estimate.InFlight
			total.Limit += s.estimate.Limit
			if s.estimate.Speed < 1 {
				slow++
			}
		}
		condition := before[s.server].next(s.estimate)
		if condition != serverUsual {
			after[s.server] = condition
		}
		if condition != before[s.server] {
			h.log.Line(condition.String(), "server", s.server, "service", service, "known", s.estimate.Known,
				"speed", s.estimate.Speed, "in_flight", s.estimate.InFlight, "limit", s.estimate.Limit)
		}
	}
	if states.servers == nil {
		states.servers = make(map[fleet.ServiceName]map[fleet.ServerID]serverCondition)
	}
	states.servers[service] = after
	name := string(service)
	h.metrics.serviceRequests.WithLabelValues(name).Set(total.InFlight)
	h.metrics.serviceLimit.WithLabelValues(name).Set(total.Limit)
	h.metrics.serviceServers.WithLabelValues(name, "known").Set(float64(total.Known))
	h.metrics.serviceServers.WithLabelValues(name, "unknown").Set(float64(len(servers) - total.Known))
	h.metrics.serviceSlow.WithLabelValues(name).Set(float64(slow))
}

// recordSpillover records the fraction of the new flows of a service that go to other data centres.
func (h *Host) recordSpillover(service fleet.ServiceName, fraction float64) {
	states := &h.loadStates
	states.mu.Lock()
	defer states.mu.Unlock()
	h.metrics.spillover.WithLabelValues(string(service)).Set(fraction)
	if states.spilling == nil {
		states.spilling = make(map[fleet.ServiceName]bool)
	}
	h.logTransition(states.spilling[service], fraction > 0, "spillover_started", "spillover_ended", "service", service, "fraction", fraction)
	states.spilling[service] = fraction > 0
}

// recordAdmission records the fraction of the first opening packets of a priority that is admitted to
// the servers in a data centre.
func (h *Host) recordAdmission(key admissionKey, fraction float64) {
	states := &h.loadStates
	states.mu.Lock()
	defer states.mu.Unlock()
	h.metrics.admitted.WithLabelValues(key.labels()...).Set(fraction)
	if states.restricted == nil {
		states.restricted = make(map[admissionKey]bool)
	}
	h.logTransition(states.restricted[key], fraction < 1, "admission_started", "admission_ended",
		"service", key.service, "priority", key.priority, "data_centre", key.dataCentre, "fraction", fraction)
	states.restricted[key] = fraction < 1
}

// recordAdmissionElsewhere records all fractions that other data centres have reported for services.
// One that is no longer reported has ended, and its metric is removed, so that data centres that have
// left keep none.
func (h *Host) recordAdmissionElsewhere(services []fleet.ServiceName, admitted []load.DataCentreAdmission) {
	reported := make(map[admissionKey]bool, len(admitted))
	for _, a := range admitted {
		if slices.Contains(services, a.Service) && a.DataCentre != h.Settings.DataCentre {
			key := admissionKey{a.DataCentre, a.Service, int(a.Priority)}
			reported[key] = true
			h.recordAdmission(key, a.Ratio())
		}
	}
	for _, key := range h.endedElsewhere(reported) {
		h.recordAdmission(key, 1)
		h.metrics.admitted.DeleteLabelValues(key.labels()...)
		h.loadStates.mu.Lock()
		delete(h.loadStates.restricted, key)
		h.loadStates.mu.Unlock()
	}
}

// endedElsewhere returns the recorded fractions of other data centres that are not reported.
func (h *Host) endedElsewhere(reported map[admissionKey]bool) []admissionKey {
	h.loadStates.mu.Lock()
	defer h.loadStates.mu.Unlock()
	var ended []admissionKey
	for key := range h.loadStates.restricted {
		if key.dataCentre != h.Settings.DataCentre && !reported[key] {
			ended = append(ended, key)
		}
	}
	return ended
}

// logTransition logs the start or the end of a state.
func (h *Host) logTransition(before, after bool, started, ended string, pairs ...any) {
	switch {
	case after && !before:
		h.log.Line(started, pairs...)
	case before && !after:
		h.log.Line(ended, pairs...)
	}
}

// forgetLoads removes the metrics and states of a service that has been removed.
func (h *Host) forgetLoads(service fleet.ServiceName) {
	states := &h.loadStates
	states.mu.Lock()
	defer states.mu.Unlock()
	delete(states.servers, service)
	delete(states.spilling, service)
	for key := range states.restricted {
		if key.service == service {
			delete(states.restricted, key)
		}
	}
	h.metrics.forgetService(service)
}
