package control

import (
	"time"

	"github.com/rattanthread/rattanthread/backend"
	"github.com/rattanthread/rattanthread/config"
	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/membership"
)

// Snapshot is the part of the control state that traffic goroutines and the admin
// address use. It is immutable.
type Snapshot struct {
	Published      config.PublishedSet
	Configured     bool // a configuration is in force
	Adopted        time.Time
	Servers        map[fleet.ServerID]Server
	Records        []fleet.ServerRecord
	Hosts          map[fleet.HostID]fleet.Host
	Live           []fleet.Host
	Members        []membership.Member
	ServersToProbe []fleet.ServerID
	Reader         bool
	NeedFetch      bool
	Ready          bool
	Stale          bool // the host was paused or considered dead, and has not been confirmed since
	Superseded     bool // a later incarnation of this host exists
}

// Server determines how much new work a backend server receives.
type Server struct {
	Weight    fleet.Weight
	Admission backend.Admission
}

// publish stores a new snapshot if the control state has changed, and reports
// whether it did.
func (c *Core) publish(now time.Time) bool {
	old := c.snapshot.Load()
	next := Snapshot{
		Reader:     c.rollout.IsReader(),
		NeedFetch:  c.rollout.NeedFetch(),
		Stale:      c.members.Stale(now) && !c.isStopping(),
		Superseded: c.members.Superseded() || c.platformHosts.supersedes(c.options.Self),
	}
	next.Ready = c.rollout.Ready() && c.flows.Ready() && !next.Stale && !c.isStopping()
	if old != nil && c.installed == c.published && sameFlags(old, &next) {
		return false
	}
	c.published = c.installed
	c.fill(now, old, &next)
	c.snapshot.Store(&next)
	return true
}

func sameFlags(a, b *Snapshot) bool {
	return a.Reader == b.Reader &&
		a.NeedFetch == b.NeedFetch && a.Ready == b.Ready && a.Stale == b.Stale &&
		a.Superseded == b.Superseded
}

// fill sets the fields that rarely change.
func (c *Core) fill(now time.Time, old, next *Snapshot) {
	next.Published, next.Configured = c.rollout.InForce()
	next.Adopted = now
	if old != nil && old.Published.Revision == next.Published.Revision && old.Published.History == next.Published.History {
		next.Adopted = old.Adopted
	}
	next.Servers = make(map[fleet.ServerID]Server, len(next.Published.Set.Servers))
	weights := c.weights(now, next.Published.Set)
	for _, s := range next.Published.Set.Servers {
		next.Servers[s.Name] = Server{Weight: weights[s.Name], Admission: c.servers.Admission(s.Name)}
	}
	next.Records = c.servers.Records()
	next.ServersToProbe = c.servers.ServersToProbe()
	next.Live = c.members.Live()
	next.Members = c.members.Members()
	next.Hosts = make(map[fleet.HostID]fleet.Host, len(next.Members)+1)
	next.Hosts[c.options.Self.ID] = c.options.Self
	for _, m := range next.Members {
		next.Hosts[m.Host.ID] = m.Host
	}
}
