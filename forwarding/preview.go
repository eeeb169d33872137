package forwarding

import (
	"time"

	"github.com/rattanthread/rattanthread/catalogue"
	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/placement"
)

// Preview is the decision on the first opening packet of a flow, and its inputs.
type Preview struct {
	Action Action
	Reason Reason
	// Route is nil if there is none.
	Route   *catalogue.Route
	Service fleet.ServiceName
	// Admitted is the part of the new flows of the route's priority that AdmittedBy, the data centre of
	// the chosen server, does not refuse for lack of capacity. Without a server it is that of the
	// host's data centre.
	Admitted   float64
	AdmittedBy fleet.DataCentreID
	// Spillover is the part of the service's new flows that goes to other data centres.
	Spillover float64
	placement.Preview
}

// Preview returns how the first opening packet of a flow would be handled now, and why. It neither
// places the flow nor records anything about it.
func (f *Forwarder) Preview(now time.Time, current *catalogue.Catalogue, confirmed Confirmation, packet Packet) Preview {
	if !current.Ready() {
		return Preview{Reason: NotReady}
	}
	route := current.Route(packet.Destination)
	if route == nil {
		decision := f.decideOpeningWithoutRoute(now, confirmed.Configuration)
		return Preview{Action: decision.Action, Reason: decision.Reason}
	}
	hash := keyOf(&packet).hash()
	service := current.Pick(route, hash)
	preview := Preview{
		Route: route, Service: service,
		AdmittedBy: f.Chooser.DataCentre,
		Spillover:  f.Chooser.Spillover.Fraction(service),
		Preview:    f.Chooser.Preview(now, current.Pool(service), hash),
	}
	if preview.Server != nil {
		preview.AdmittedBy = preview.Server.DataCentre
	}
	preview.Admitted = f.admittedFraction(now, service, preview.AdmittedBy, route.Priority)
	switch {
	case preview.Server == nil && !current.Complete():
		preview.Reason = NotReady
	case preview.Server == nil:
		preview.Action, preview.Reason = Refuse, NoServer
	case f.controlsAdmission() && !f.admits(now, preview.Server, route.Priority, hash):
		preview.Action, preview.Reason = Refuse, NoRoom
	default:
		preview.Action, preview.Reason = Forward, Placed
	}
	return preview
}
