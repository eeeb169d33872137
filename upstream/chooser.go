package upstream

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rattanthread/rattanthread/fleet"
)

// avoidTime is how long a peer is passed over after it failed.
const avoidTime = 5 * time.Second

// Chooser chooses the upstream of a host. Self must be set. It belongs to one
// goroutine.
type Chooser struct {
	Self fleet.Host
	// Fanout is how many hosts learn from one: the hosts of a data centre form a
	// tree, the strongest at its root. Zero means that all learn from the strongest.
	Fanout int

	failed map[netip.AddrPort]time.Time
}

// Choose returns the peer to learn from. It returns false if the host itself
// should read the store.
func (c *Chooser) Choose(now time.Time, peers []fleet.Host) (fleet.Host, bool) {
	better := c.better(peers)
	for _, peer := range append(c.ancestors(better), better...) {
		if c.usable(now, peer.PeerAddress) {
			return peer, true
		}
	}
	return fleet.Host{}, false
}

// better returns the peers of the own data centre that rank before this host.
func (c *Chooser) better(peers []fleet.Host) []fleet.Host {
	all := ranked(c.local(peers))
	for i, peer := range all {
		if peer.ID == c.Self.ID {
			return all[:i]
		}
	}
	return all
}

// ancestors returns the hosts above this one in the tree, its parent first.
func (c *Chooser) ancestors(better []fleet.Host) []fleet.Host {
	if c.Fanout < 1 {
		return nil
	}
	var above []fleet.Host
	for rank := len(better); rank > 0; {
		rank = (rank - 1) / c.Fanout
		above = append(above, better[rank])
	}
	return above
}

// Seed returns the address of a host to learn from while neither the store nor
// any peer is known. It returns false if none is left to try for now.
func (c *Chooser) Seed(now time.Time, seeds []netip.AddrPort) (netip.AddrPort, bool) {
	for _, seed := range seeds {
		if seed != c.Self.PeerAddress && c.usable(now, seed) {
			return seed, true
		}
	}
	return netip.AddrPort{}, false
}

// Failed notes that a peer did not answer, fell silent or was late.
func (c *Chooser) Failed(now time.Time, address netip.AddrPort) {
	if c.failed == nil {
		c.failed = make(map[netip.AddrPort]time.Time)
	}
	c.failed[address] = now
}

func (c *Chooser) usable(now time.Time, address netip.AddrPort) bool {
	at, failed := c.failed[address]
	return !failed || now.Sub(at) >= avoidTime
}

// local returns the peers of the host's data centre.
func (c *Chooser) local(peers []fleet.Host) []fleet.Host {
	var local []fleet.Host
	for _, peer := range peers {
		if peer.DataCentre == c.Self.DataCentre {
			local = append(local, peer)
		}
	}
	return local
}

// ranked orders peers, the strongest first, and equal ones by a hash of their ids.
// The order is the same on all hosts.
func ranked(peers []fleet.Host) []fleet.Host {
	slices.SortFunc(peers, func(a, b fleet.Host) int {
		return cmp.Or(
			cmp.Compare(b.Strength, a.Strength),
			cmp.Compare(xxhash.Sum64String(string(a.ID)), xxhash.Sum64String(string(b.ID))),
			cmp.Compare(a.ID, b.ID),
		)
	})
	return peers
}
