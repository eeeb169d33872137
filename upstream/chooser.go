package upstream

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rattanthread/rattanthread/fleet"
)

const (
	// failureBackoff is how long a peer is skipped after a failure.
	failureBackoff = 5 * time.Second
	// settleTime is how long the tree of feeds must have had another upstream for a host before
	// it switches. Many hosts may start within this time.
	settleTime = 2 * time.Second
)

// Chooser chooses the upstream of a host. Self must be set. A Chooser is not safe for
// concurrent use.
type Chooser struct {
	Self fleet.Host
	// Fanout is the number of hosts that follow one host: the hosts of a data centre
	// form a tree with the strongest at its root. Zero means that all follow the
	// strongest.
	Fanout int

	failedAt map[netip.AddrPort]time.Time
	// better is the peer that Choose prefers to the upstream, since betterSince.
	better      fleet.Host
	betterSince time.Time
}

// Choose returns the peer to follow. It returns false if the host itself should read
// the store.
func (c *Chooser) Choose(now time.Time, peers []fleet.Host) (fleet.Host, bool) {
	higher := c.higherRanked(peers)
	for _, peer := range append(c.ancestors(higher), higher...) {
		if c.usable(now, peer.PeerAddress) {
			return peer, true
		}
	}
	return fleet.Host{}, false
}

// higherRanked returns the peers of the local data centre that rank before this host. The peers
// need not include this host: until its record is known, it has the rank that it will have.
func (c *Chooser) higherRanked(peers []fleet.Host) []fleet.Host {
	all := sortByRank(append(c.localPeers(peers), c.Self))
	return all[:slices.IndexFunc(all, c.isSelf)]
}

func (c *Chooser) isSelf(peer fleet.Host) bool { return peer.ID == c.Self.ID }

// IsHigherRanked reports whether the peer at an address is one that this host may follow for as
// long as it responds. Since each host follows such a peer only, no host follows itself by way of
// others. The seeds of a host without a catalogue need not be such peers.
func (c *Chooser) IsHigherRanked(address netip.AddrPort, peers []fleet.Host) bool {
	return slices.ContainsFunc(c.higherRanked(peers), func(peer fleet.Host) bool { return peer.PeerAddress == address })
}

// ShouldLeave reports whether the host should leave the upstream at an address: at once if it
// must not follow that peer, and after settleTime if the tree of feeds has changed.
func (c *Chooser) ShouldLeave(now time.Time, upstream netip.AddrPort, peers []fleet.Host) bool {
	if !c.IsHigherRanked(upstream, peers) {
		return true
	}
	best, ok := c.Choose(now, peers)
	if !ok || best.PeerAddress == upstream {
		c.better = fleet.Host{}
		return false
	}
	if best != c.better {
		c.better, c.betterSince = best, now
	}
	return now.Sub(c.betterSince) >= settleTime
}

// RanksFirst reports whether no peer of the local data centre ranks before this host.
func (c *Chooser) RanksFirst(peers []fleet.Host) bool { return len(c.higherRanked(peers)) == 0 }

// ancestors returns the hosts above this one in the tree, its parent first.
func (c *Chooser) ancestors(higher []fleet.Host) []fleet.Host {
	if c.Fanout < 1 {
		return nil
	}
	var above []fleet.Host
	for rank := len(higher); rank > 0; {
		rank = (rank - 1) / c.Fanout
		above = append(above, higher[rank])
	}
	return above
}

// Seed returns the address of the first seed that is not this host and has not failed
// recently, for a host without a complete catalogue. It returns false if there is none.
func (c *Chooser) Seed(now time.Time, seeds []netip.AddrPort) (netip.AddrPort, bool) {
	for _, seed := range seeds {
		if seed != c.Self.PeerAddress && c.usable(now, seed) {
			return seed, true
		}
	}
	return netip.AddrPort{}, false
}

// First returns the first-ranked host of another data centre that has not failed recently. It returns
// false if there is none.
func (c *Chooser) First(now time.Time, dataCentre fleet.DataCentreID, peers []fleet.Host) (fleet.Host, bool) {
	var hosts []fleet.Host
	for _, peer := range peers {
		if peer.DataCentre == dataCentre && c.usable(now, peer.PeerAddress) {
			hosts = append(hosts, peer)
		}
	}
	if len(hosts) == 0 {
		return fleet.Host{}, false
	}
	return sortByRank(hosts)[0], true
}

// Failed records that a peer did not respond, stopped sending or sent outdated records.
func (c *Chooser) Failed(now time.Time, address netip.AddrPort) {
	if c.failedAt == nil {
		c.failedAt = make(map[netip.AddrPort]time.Time)
	}
	c.failedAt[address] = now
}

func (c *Chooser) usable(now time.Time, address netip.AddrPort) bool {
	at, failed := c.failedAt[address]
	return !failed || now.Sub(at) >= failureBackoff
}

// localPeers returns the other hosts in the host's data centre.
func (c *Chooser) localPeers(peers []fleet.Host) []fleet.Host {
	var local []fleet.Host
	for _, peer := range peers {
		if peer.DataCentre == c.Self.DataCentre && !c.isSelf(peer) {
			local = append(local, peer)
		}
	}
	return local
}

// sortByRank sorts peers in place, the strongest first and those of equal strength by a
// hash of their ids. The order is the same on all hosts.
func sortByRank(peers []fleet.Host) []fleet.Host {
	slices.SortFunc(peers, func(a, b fleet.Host) int {
		return cmp.Or(
			cmp.Compare(b.Strength, a.Strength),
			cmp.Compare(xxhash.Sum64String(string(a.ID)), xxhash.Sum64String(string(b.ID))),
			cmp.Compare(a.ID, b.ID),
		)
	})
	return peers
}
