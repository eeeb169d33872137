package control

import (
	"time"

	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/membership"
)

// Join is join, for the tests.
type Join struct{ join }

// Observe is observe.
func (j *Join) Observe(now time.Time, live int) bool { return j.observe(now, live) }

// NewDoubts returns a function that takes the members as they are at a time, and
// returns the hosts that a host of a data centre doubts.
func NewDoubts(own fleet.DataCentreID) func(time.Time, []membership.Member) []fleet.HostID {
	var d doubts
	return func(now time.Time, members []membership.Member) []fleet.HostID {
		d.observe(now, own, members)
		return d.hosts
	}
}
