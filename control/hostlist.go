package control

import (
	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/membership"
	"github.com/rattanthread/rattanthread/request"
)

// hostList is the platform's list of entry hosts, as this host last read it.
type hostList struct {
	incarnations map[fleet.HostID]fleet.Incarnation
	version      uint64 // rises with every change
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

// supersedes reports whether the list names a later life of a host.
func (l *hostList) supersedes(self fleet.Host) bool {
	return l.incarnations[self.ID] > self.Incarnation
}

// gone returns the members that do not run any more: they are dead to their
// peers, and the platform, where their lease would have to be renewed, lists
// none of them or a later life. An empty list tells nothing.
func (l *hostList) gone(members []membership.Member) []request.Member {
	if len(l.incarnations) == 0 {
		return nil
	}
	var gone []request.Member
	for _, m := range members {
		if m.Status != membership.Dead && m.Status != membership.Left {
			continue
		}
		if l.incarnations[m.Host.ID] != m.Host.Incarnation {
			gone = append(gone, request.Member{Host: m.Host.ID, Incarnation: m.Host.Incarnation})
		}
	}
	return gone
}
