package placement

import (
	"time"

	"github.com/rattanthread/rattanthread/fleet"
)

// A data centre is assumed to have an outage when outageMinServers of its servers
// become unreachable within outageWindow. The next outage is reported after
// outageCooldown at the earliest.
const (
	outageMinServers = 3
	outageWindow     = time.Second
	outageCooldown   = 2 * time.Second
)

// OutageDetector detects that several servers of a data centre fail together. The
// zero value is ready to use. It is not safe for concurrent use.
type OutageDetector struct {
	unreachable map[fleet.DataCentreID][]time.Time
	lastReport  map[fleet.DataCentreID]time.Time
}

// RecordUnreachable records that a server of a data centre became unreachable. It
// reports whether the other servers should be probed as well.
func (o *OutageDetector) RecordUnreachable(now time.Time, dataCentre fleet.DataCentreID) bool {
	if o.unreachable == nil {
		o.unreachable = make(map[fleet.DataCentreID][]time.Time)
		o.lastReport = make(map[fleet.DataCentreID]time.Time)
	}
	recent := o.unreachable[dataCentre][:0]
	for _, at := range o.unreachable[dataCentre] {
		if now.Sub(at) <= outageWindow {
			recent = append(recent, at)
		}
	}
	o.unreachable[dataCentre] = append(recent, now)
	if len(o.unreachable[dataCentre]) < outageMinServers || now.Sub(o.lastReport[dataCentre]) < outageCooldown {
		return false
	}
	o.lastReport[dataCentre] = now
	return true
}
