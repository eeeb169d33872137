package faultmatrix

import (
	"fmt"
	"time"

	"github.com/rattanthread/rattanthread/config"
	"github.com/rattanthread/rattanthread/fleet"
)

// platform is the store of configurations and the lagging list of hosts.
type platform struct {
	world     *World
	up        bool
	lag       time.Duration // of reads
	revisions []config.PublishedSet
	reachable map[fleet.DataCentreID]bool // false: cut off
}

func (p *platform) publish(set config.Set) {
	p.up = p.up || len(p.revisions) == 0
	number := fleet.Revision(len(p.revisions) + 1)
	if number > 1 {
		set = set.WithStateTimes(p.head().Set, p.world.now)
	}
	p.revisions = append(p.revisions, config.PublishedSet{
		History:     "history-1",
		Revision:    number,
		Published:   p.world.now,
		Publication: fmt.Sprintf("publication-%d", number),
		Set:         set,
	})
	p.world.checks.published(p.head())
}

func (p *platform) head() config.PublishedSet { return p.revisions[len(p.revisions)-1] }

// read returns what a host in a data centre reads, if it gets an answer.
func (p *platform) read(centre fleet.DataCentreID) (config.PublishedSet, bool) {
	if !p.up || p.reachable != nil && !p.reachable[centre] {
		return config.PublishedSet{}, false
	}
	seen := p.revisions[0]
	for _, r := range p.revisions {
		if p.world.now.Sub(r.Published) >= p.lag {
			seen = r
		}
	}
	return seen, true
}

// hosts is the list of hosts, from which a dead host vanishes late.
func (p *platform) hosts() []fleet.Host {
	var list []fleet.Host
	for _, id := range p.world.ids {
		h := p.world.hosts[id]
		if h.up || p.world.now.Sub(h.downSince) < listLag {
			list = append(list, h.self)
		}
	}
	return list
}

const listLag = 5 * time.Second
