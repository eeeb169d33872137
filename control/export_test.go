package control

import (
	"time"

	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/membership"
)

// JoinWait exports joinWait for tests.
type JoinWait struct{ joinWait }

// Observe calls observe.
func (j *JoinWait) Observe(now time.Time, live int) bool { return j.observe(now, live) }

// NewPartitionedHosts returns a function that observes the members at a time and
// returns the partitioned hosts as seen from the data centre local.
func NewPartitionedHosts(local fleet.DataCentreID) func(time.Time, []membership.Member) []fleet.HostID {
	var p partitionedHosts
	return func(now time.Time, members []membership.Member) []fleet.HostID {
		p.observe(now, local, members)
		return p.hosts
	}
}
