package control

import (
	"slices"
	"time"

	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/membership"
)

// doubtAfterReturn is for how long a host that was held dead may still have placed
// flows that others do not know.
const doubtAfterReturn = 10 * time.Second

// doubts are the hosts of other data centres that are, or were until a moment ago,
// held dead. Such a host may have been cut off and have gone on placing flows.
// Hosts of the own data centre are not doubted: a data centre is cut off as a whole.
type doubts struct {
	dead    map[fleet.HostID]time.Time // last seen dead
	version uint64                     // of hosts
	hosts   []fleet.HostID             // sorted
	// members is the version of the members that were last observed, at seen.
	members uint64
	seen    time.Time
}

// due reports whether to observe the members anew: when they have changed, and at
// every tick while a host is dead or was so a moment ago.
func (d *doubts) due(now time.Time, members uint64) bool {
	if members == d.members && (len(d.dead) == 0 || now.Sub(d.seen) < TickInterval) {
		return false
	}
	d.members, d.seen = members, now
	return true
}

// observe takes the members as they are now, sorted by ID.
func (d *doubts) observe(now time.Time, own fleet.DataCentreID, members []membership.Member) {
	dead := make(map[fleet.HostID]time.Time)
	var hosts []fleet.HostID
	for _, m := range members {
		if m.Host.DataCentre == own || m.Status == membership.Left {
			continue
		}
		at, known := d.dead[m.Host.ID]
		if m.Status == membership.Dead {
			at, known = now, true
		}
		if known && now.Sub(at) < doubtAfterReturn {
			dead[m.Host.ID] = at
			hosts = append(hosts, m.Host.ID)
		}
	}
	d.dead = dead
	if !slices.Equal(hosts, d.hosts) {
		d.hosts = hosts
		d.version++
	}
}
