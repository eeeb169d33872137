package faultmatrix

import (
	"fmt"
	"time"

	"github.com/rattanthread/rattanthread/config"
	"github.com/rattanthread/rattanthread/fleet"
)

// platform stores configurations and keeps a list of hosts, from which a host that is
// down is removed late.
type platform struct {
	sim       *Simulation
	up        bool
	readLag   time.Duration // how long a published revision stays invisible to reads
	revisions []config.PublishedSet
	reachable map[fleet.DataCentreID]bool // data centres that reach the platform; nil means all
}

func (p *platform) publish(set config.Set) {
	p.up = p.up || len(p.revisions) == 0
	number := fleet.Revision(len(p.revisions) + 1)
	if number > 1 {
		set = set.WithStateTimes(p.head().Set, p.sim.now)
	}
	p.revisions = append(p.revisions, config.PublishedSet{
		History:     "history-1",
		Revision:    number,
		Published:   p.sim.now,
		Publication: fmt.Sprintf("publication-%d", number),
		Set:         set,
	})
	p.sim.checks.recordPublication(p.head())
}

func (p *platform) head() config.PublishedSet { return p.revisions[len(p.revisions)-1] }

// read returns the configuration that a host in a data centre reads. It returns
// false if the platform does not respond.
func (p *platform) read(centre fleet.DataCentreID) (config.PublishedSet, bool) {
	if !p.up || p.reachable != nil && !p.reachable[centre] {
		return config.PublishedSet{}, false
	}
	latest := p.revisions[0]
	for _, r := range p.revisions {
		if p.sim.now.Sub(r.Published) >= p.readLag {
			latest = r
		}
	}
	return latest, true
}

// hosts returns the list of hosts. A host that is down stays listed for
// hostListLag.
func (p *platform) hosts() []fleet.Host {
	var list []fleet.Host
	for _, id := range p.sim.ids {
		h := p.sim.hosts[id]
		if h.up || p.sim.now.Sub(h.downSince) < hostListLag {
			list = append(list, h.self)
		}
	}
	return list
}

const hostListLag = 5 * time.Second
