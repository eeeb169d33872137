package control

import (
	"slices"
	"time"

	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/membership"
)

// partitionedAfterReturn is how long after its return a host that was considered
// dead may still have flows that no other host has recorded.
const partitionedAfterReturn = 10 * time.Second

// partitionedHosts is the set of hosts of other data centres that are considered
// dead, or were so within partitionedAfterReturn. Such a host may have been
// partitioned and have continued to place flows. Hosts of the local data centre
// are excluded, because a data centre is partitioned as a whole.
type partitionedHosts struct {
	dead    map[fleet.HostID]time.Time // when each was last considered dead
	version uint64                     // increases with every change of hosts
	hosts   []fleet.HostID             // sorted
	// membersVersion is the version of the members at the last observation, which
	// was at observed.
	membersVersion uint64
	observed       time.Time
}

// due reports whether observe must be called: when the members have changed, and
// at every tick while dead is not empty.
func (p *partitionedHosts) due(now time.Time, version uint64) bool {
	if version == p.membersVersion && (len(p.dead) == 0 || now.Sub(p.observed) < TickInterval) {
		return false
	}
	p.membersVersion, p.observed = version, now
	return true
}

// observe updates the set from the current members, which are sorted by ID.
func (p *partitionedHosts) observe(now time.Time, local fleet.DataCentreID, members []membership.Member) {
	dead := make(map[fleet.HostID]time.Time)
	var hosts []fleet.HostID
	for _, member := range members {
		if member.Host.DataCentre == local || member.Status == membership.Left {
			continue
		}
		at, found := p.dead[member.Host.ID]
		if member.Status == membership.Dead {
			at, found = now, true
		}
		if found && now.Sub(at) < partitionedAfterReturn {
			dead[member.Host.ID] = at
			hosts = append(hosts, member.Host.ID)
		}
	}
	p.dead = dead
	if !slices.Equal(hosts, p.hosts) {
		p.hosts = hosts
		p.version++
	}
}
