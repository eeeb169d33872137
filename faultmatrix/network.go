package faultmatrix

import (
	"time"

	"github.com/rattanthread/rattanthread/fleet"
)

const (
	localDelay  = 300 * time.Microsecond // one way, within a data centre
	remoteDelay = 3 * time.Millisecond   // one way, between data centres
	delayJitter = time.Millisecond
)

// network delivers messages and packets between entry hosts, and between entry
// hosts and backend servers.
type network struct {
	sim  *Simulation
	loss float64 // fraction of messages that are lost
	// partitioned means that the data centres cannot reach each other.
	partitioned bool
	// partitionedSince and partitionedUntil delimit the last partition.
	partitionedSince, partitionedUntil time.Time
	// blockedLinks holds the one-way links between hosts that drop everything.
	blockedLinks map[link]bool
	bytes        map[fleet.HostID]int
	// informed holds the hosts that have received messages sent by the other data
	// centre after the last partition, directly or through another host.
	informed map[fleet.HostID]bool
}

type link struct{ from, to fleet.HostID }

func (n *network) blockLink(from, to fleet.HostID) {
	if n.blockedLinks == nil {
		n.blockedLinks = make(map[link]bool)
	}
	n.blockedLinks[link{from, to}] = true
}

// partitionCentres disconnects the data centres from each other for d.
func (n *network) partitionCentres(d time.Duration) {
	n.partitioned = true
	n.partitionedSince, n.partitionedUntil = n.sim.now, n.sim.now.Add(d)
	n.informed = make(map[fleet.HostID]bool)
	n.sim.after(d, func() { n.partitioned = false })
}

// wasPartitioned reports whether the data centres were partitioned at the given time.
func (n *network) wasPartitioned(at time.Time) bool {
	return !n.partitionedSince.IsZero() && !at.Before(n.partitionedSince) && at.Before(n.partitionedUntil)
}

// isolated reports whether a host has had no state from the other data centre since
// the start of the last partition: the partition persists, or no message sent after
// its end has reached the host from there, directly or through another host.
func (n *network) isolated(id fleet.HostID) bool {
	return !n.partitionedSince.IsZero() && !n.informed[id]
}

// reaches reports whether the network connects two data centres.
func (n *network) reaches(a, b fleet.DataCentreID) bool { return a == b || !n.partitioned }

// carry calls deliver after the delay from one host to another, or never if the
// message is lost.
func (n *network) carry(from, to fleet.HostID, deliver func()) {
	a, b := centreOf(from), centreOf(to)
	if !n.reaches(a, b) || n.blockedLinks[link{from, to}] || n.sim.random.Float64() < n.loss {
		return
	}
	informs := !n.partitioned && (a != b || n.informed[from])
	n.sim.after(n.delay(a, b), func() {
		if informs && !n.partitioned && n.informed != nil {
			n.informed[to] = true
		}
		deliver()
	})
}

func (n *network) delay(a, b fleet.DataCentreID) time.Duration {
	delay := localDelay
	if a != b {
		delay = remoteDelay
	}
	return delay + time.Duration(n.sim.random.Int64N(int64(delayJitter)))
}
