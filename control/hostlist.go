package control

import (
	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/membership"
	"github.com/rattanthread/rattanthread/request"
)

// hostList is the platform's list of entry hosts as this host last read it.
type hostList struct {
	incarnations map[fleet.HostID]fleet.Incarnation
	version      uint64 // increases with every change
}

func (l *hostList) set(hosts []fleet.Host) {
	next := make(map[fleet.HostID]fleet.Incarnation, len(hosts))
	changed := len(hosts) != len(l.incarnations)
	for _, h := range hosts {
		next[h.ID] = h.Incarnation
		changed = changed || l.incarnations[h.ID] != h.Incarnation
	}
	if changed {
		l.incarnations = next
		l.version++
	}
}

// supersedes reports whether the list contains a later incarnation of a host.
func (l *hostList) supersedes(self fleet.Host) bool {
	return l.incarnations[self.ID] > self.Incarnation
}

// departed returns the members that no longer run. Such a member is dead or has
// departed, and the platform, with which a running host renews its lease, does not
// list it or lists another incarnation. An empty list is not used as evidence.
func (l *hostList) departed(members []membership.Member) []request.Member {
	if len(l.incarnations) == 0 {
		return nil
	}
	var departed []request.Member
	for _, m := range members {
		if m.Status != membership.Dead && m.Status != membership.Left {
			continue
		}
		if l.incarnations[m.Host.ID] != m.Host.Incarnation {
			departed = append(departed, request.Member{Host: m.Host.ID, Incarnation: m.Host.Incarnation})
		}
	}
	return departed
}
