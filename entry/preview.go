package entry

import (
	"encoding/json"
	"net/http"
	"net/netip"

	"github.com/go-faster/errors"

	"github.com/rattanthread/rattanthread/catalogue"
	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/forwarding"
)

// PreviewPath is the URL path of previews, at the address of the metrics. The query has the route's
// address in PreviewTo and the caller's in PreviewFrom.
const (
	PreviewPath = "/preview"
	PreviewTo   = "to"
	PreviewFrom = "from"
)

// FlowPreview is how a host would handle a new flow now, and why.
type FlowPreview struct {
	Host fleet.HostID `json:"host"`
	// Action and Reason are those of the logs.
	Action string `json:"action"`
	Reason string `json:"reason"`
	// Catalogue is the number of the host's catalogue. The ages are in milliseconds, or "unknown".
	Catalogue        uint64            `json:"catalogue"`
	AgeMS            any               `json:"age_ms"`
	ConfigurationAge any               `json:"configuration_age_ms"`
	Route            string            `json:"route,omitempty"`
	Priority         int               `json:"priority"`
	Service          fleet.ServiceName `json:"service,omitempty"`
	// Admitted is the part of the new flows of the priority that AdmittedBy, the data centre of the
	// chosen server, does not refuse, and Spillover the part of the service's new flows that goes to
	// other data centres.
	Admitted   float64            `json:"admitted"`
	AdmittedBy fleet.DataCentreID `json:"admitted_by,omitempty"`
	Spillover  float64            `json:"spillover"`
	Server     fleet.ServerID     `json:"server,omitempty"`
	// Destinations are the data centres that this flow spills over to.
	Destinations []fleet.DataCentreID `json:"destinations,omitempty"`
	// Candidates are the servers that were compared, in the order of the flow's hash.
	Candidates []CandidatePreview `json:"candidates,omitempty"`
}

// CandidatePreview is a server that was compared for a flow.
type CandidatePreview struct {
	Server     fleet.ServerID     `json:"server"`
	DataCentre fleet.DataCentreID `json:"data_centre"`
	Penalties  []string           `json:"penalties,omitempty"`
	// Known says whether the load is known. Speed is relative to the usual one, ExpectedLatency to that of
	// a server of usual speed with a free slot.
	Known           bool    `json:"known"`
	Speed           float64 `json:"speed,omitempty"`
	InFlight        float64 `json:"in_flight"`
	Limit           float64 `json:"limit,omitempty"`
	ExpectedLatency float64 `json:"expected_latency,omitempty"`
}

// servePreview responds with a FlowPreview.
func (h *Host) servePreview(w http.ResponseWriter, r *http.Request) {
	packet := forwarding.Packet{Kind: forwarding.Opening}
	var err error
	if packet.Destination, err = parseFlowAddress(r, PreviewTo); err == nil {
		packet.Source, err = parseFlowAddress(r, PreviewFrom)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(h.preview(packet)); err != nil {
		h.log.Line("preview_failed", "error", err)
	}
}

func parseFlowAddress(r *http.Request, name string) (netip.AddrPort, error) {
	address, err := netip.ParseAddrPort(r.URL.Query().Get(name))
	if err != nil || !address.Addr().Is4() {
		return netip.AddrPort{}, errors.Errorf("%s: %q is not an IPv4 address and port", name, r.URL.Query().Get(name))
	}
	return address, nil
}

// preview returns how the first opening packet of a flow would be handled now.
func (h *Host) preview(packet forwarding.Packet) FlowPreview {
	h.mu.Lock()
	defer h.mu.Unlock()
	state, now := h.snapshot.Load(), h.network.Now()
	if state.catalogue != nil {
		h.record(Event{Load: &LoadEvent{}}) // reading an estimate updates it
	}
	preview := h.forwarder.Preview(now, state.catalogue, state.confirmation(), packet)
	result := FlowPreview{
		Host: h.Settings.Host, Action: preview.Action.String(), Reason: preview.Reason.String(),
		AgeMS: loggedAge(now, state.catalogueConfirmed[catalogue.Servers]), ConfigurationAge: loggedAge(now, state.catalogueConfirmed[catalogue.Configurations]),
		Service: preview.Service, Admitted: preview.Admitted, AdmittedBy: preview.AdmittedBy,
		Spillover: preview.Spillover, Destinations: preview.Destinations,
	}
	if state.catalogue != nil {
		result.Catalogue = state.catalogue.Number
	}
	if preview.Route != nil {
		result.Route, result.Priority = preview.Route.Name, int(preview.Route.Priority)
	}
	if preview.Server != nil {
		result.Server = preview.Server.ID
	}
	for _, c := range preview.Candidates {
		result.Candidates = append(result.Candidates, CandidatePreview{
			Server: c.Server.ID, DataCentre: c.Server.DataCentre, Penalties: c.Penalties,
			Known: c.Estimate.Known, Speed: c.Estimate.Speed, InFlight: c.Estimate.InFlight, Limit: c.Estimate.Limit,
			ExpectedLatency: c.ExpectedLatency,
		})
	}
	return result
}
