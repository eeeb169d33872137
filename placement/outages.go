package placement

import (
	"time"

	"github.com/rattanthread/rattanthread/fleet"
)

// An outage of a data centre is assumed when so many of its servers have become
// unreachable within a time. It is assumed anew only after a pause.
const (
	outageServers = 3
	outageTime    = time.Second
	outagePause   = 2 * time.Second
)

// Outages tells when the servers of a data centre end together. The zero value is
// ready for use. It belongs to one goroutine.
type Outages struct {
	ended map[fleet.DataCentreID][]time.Time
	last  map[fleet.DataCentreID]time.Time
}

// Ended notes that a server of a data centre has become unreachable. It reports
// whether the others should be probed as well.
func (o *Outages) Ended(now time.Time, place fleet.DataCentreID) bool {
	if o.ended == nil {
		o.ended = make(map[fleet.DataCentreID][]time.Time)
		o.last = make(map[fleet.DataCentreID]time.Time)
	}
	recent := o.ended[place][:0]
	for _, at := range o.ended[place] {
		if now.Sub(at) <= outageTime {
			recent = append(recent, at)
		}
	}
	o.ended[place] = append(recent, now)
	if len(o.ended[place]) < outageServers || now.Sub(o.last[place]) < outagePause {
		return false
	}
	o.last[place] = now
	return true
}
