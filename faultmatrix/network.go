package faultmatrix

import (
	"time"

	"github.com/rattanthread/rattanthread/fleet"
)

const (
	delayInside  = 300 * time.Microsecond // one way, in a data centre
	delayBetween = 3 * time.Millisecond   // one way, between data centres
	delayJitter  = time.Millisecond
)

// network carries messages and packets between entry hosts, and between them
// and backend servers.
type network struct {
	world *World
	loss  float64 // share of messages lost
	// split cuts the data centres off from each other.
	split bool
	// splitSince and splitUntil bound the last time of that.
	splitSince, splitUntil time.Time
	// cutLinks are one-way links between hosts that carry nothing.
	cutLinks map[link]bool
	bytes    map[fleet.HostID]int
	// heard holds the hosts that could know of the other side since the last split:
	// something has come to them from there, at first or second hand.
	heard map[fleet.HostID]bool
}

type link struct{ from, to fleet.HostID }

func (n *network) cut(from, to fleet.HostID) {
	if n.cutLinks == nil {
		n.cutLinks = make(map[link]bool)
	}
	n.cutLinks[link{from, to}] = true
}

// cutCentres cuts the data centres off from each other for d.
func (n *network) cutCentres(d time.Duration) {
	n.split = true
	n.splitSince, n.splitUntil = n.world.now, n.world.now.Add(d)
	n.heard = make(map[fleet.HostID]bool)
	n.world.after(d, func() { n.split = false })
}

// wasSplit reports whether the data centres were cut off from each other at a time.
func (n *network) wasSplit(at time.Time) bool {
	return !n.splitSince.IsZero() && !at.Before(n.splitSince) && at.Before(n.splitUntil)
}

// apart reports whether a host can't know of the other side: the data centres are cut
// off from each other, or no message that was sent since has brought word from there.
func (n *network) apart(id fleet.HostID) bool {
	return !n.splitSince.IsZero() && !n.heard[id]
}

// reaches reports whether the network carries anything between two sites.
func (n *network) reaches(a, b fleet.DataCentreID) bool { return a == b || !n.split }

// carry calls deliver when what from sends arrives, or never.
func (n *network) carry(from, to fleet.HostID, deliver func()) {
	a, b := centreOf(from), centreOf(to)
	if !n.reaches(a, b) || n.cutLinks[link{from, to}] || n.world.random.Float64() < n.loss {
		return
	}
	word := !n.split && (a != b || n.heard[from])
	n.world.after(n.delay(a, b), func() {
		if word && !n.split && n.heard != nil {
			n.heard[to] = true
		}
		deliver()
	})
}

func (n *network) delay(a, b fleet.DataCentreID) time.Duration {
	delay := delayInside
	if a != b {
		delay = delayBetween
	}
	return delay + time.Duration(n.world.random.Int64N(int64(delayJitter)))
}
