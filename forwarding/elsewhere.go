package forwarding

import (
	"slices"
	"time"

	"github.com/rattanthread/rattanthread/catalogue"
	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/load"
)

// reportStepDelay is by how much a step of the control loop must be overdue for a report to make it. Only
// hosts with few callers of the service then do so, and one without callers makes a step with each report,
// every 400 ms.
const reportStepDelay = 300 * time.Millisecond

// DataCentreLoads returns what this host reports to other data centres about the servers of its own:
// the services that are short, and the admitted fractions below 1. It updates the admission to the
// short services without recent opening packets at this host. It is meant for a host that reports for
// its data centre and has few or no callers itself.
func (f *Forwarder) DataCentreLoads(now time.Time, current *catalogue.Catalogue) load.DataCentreLoads {
	loads := f.Chooser.ShortServices(now, current.ServersIn(f.Chooser.DataCentre))
	if !f.controlsAdmission() {
		return loads
	}
	var admitted []load.AdmittedFraction
	for _, service := range current.Services() {
		pool := current.Pool(service)
		if len(pool.ByDataCentre[f.Chooser.DataCentre]) == 0 {
			continue
		}
		short := slices.ContainsFunc(loads.Short, func(u load.ServiceUtilisation) bool { return u.Service == service })
		if (short || f.refuses(service)) && f.Admission.Due(now.Add(-reportStepDelay), service) {
			f.Chooser.RememberPool(service, pool)
			f.updateAdmission(now, pool, service)
		}
		for priority, fraction := range f.Admission.Restricted(service) {
			admitted = append(admitted, load.NewAdmittedFraction(service, priority, fraction))
		}
	}
	loads.SetAdmitted(admitted)
	return loads
}

// refuses reports whether a part of the new flows to the local servers of a service is refused.
func (f *Forwarder) refuses(service fleet.ServiceName) bool {
	for range f.Admission.Restricted(service) {
		return true
	}
	return false
}
