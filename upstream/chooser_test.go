package upstream_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/upstream"
)

var start = time.Unix(1000, 0)

func peers(dataCentre fleet.DataCentreID, n int) []fleet.Host {
	var all []fleet.Host
	for i := range n {
		all = append(all, fleet.Host{
			ID:          fleet.HostID(fmt.Sprintf("%s-%d", dataCentre, i)),
			DataCentre:  dataCentre,
			PeerAddress: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(len(dataCentre)), byte(i)}), 8166),
		})
	}
	return all
}

// TestOneReaderPerDataCentre lets each host of two data centres choose an upstream:
// one host of each must read the store.
func TestOneReaderPerDataCentre(t *testing.T) {
	is := is.New(t)
	all := append(peers("a", 16), peers("bb", 16)...)
	readers := make(map[fleet.DataCentreID]int)
	for _, self := range all {
		chooser := upstream.Chooser{Self: self}
		peer, ok := chooser.Choose(start, all)
		if !ok {
			readers[self.DataCentre]++
			continue
		}
		is.Equal(peer.DataCentre, self.DataCentre)
	}
	is.Equal(readers, map[fleet.DataCentreID]int{"a": 1, "bb": 1})
}

func TestStrongestHostReadsTheStore(t *testing.T) {
	is := is.New(t)
	all := peers("a", 16)
	all[7].Strength = 4
	strongest := all[7].ID
	for _, self := range all {
		chooser := upstream.Chooser{Self: self}
		peer, ok := chooser.Choose(start, all)
		is.Equal(ok, self.ID != strongest)
		if ok {
			is.Equal(peer.ID, strongest)
		}
	}
}

func TestFailedPeerIsPassedOver(t *testing.T) {
	is := is.New(t)
	all := peers("a", 5)
	var chooser upstream.Chooser
	for _, self := range all { // find the host that ranks last
		chooser = upstream.Chooser{Self: self}
		attempts := 0
		for {
			peer, ok := chooser.Choose(start, all)
			if !ok {
				break
			}
			attempts++
			chooser.Failed(start, peer.PeerAddress)
		}
		if attempts == 4 {
			break
		}
	}
	_, ok := chooser.Choose(start, all)
	is.True(!ok) // reads the store when all hosts that rank before it have failed
	_, ok = chooser.Choose(start.Add(5*time.Second), all)
	is.True(ok) // and tries them again after the backoff
}

func TestSeeds(t *testing.T) {
	is := is.New(t)
	self := fleet.Host{ID: "a-0", PeerAddress: netip.MustParseAddrPort("10.0.0.1:1")}
	other := netip.MustParseAddrPort("10.0.0.2:1")
	chooser := upstream.Chooser{Self: self}
	seed, ok := chooser.Seed(start, []netip.AddrPort{self.PeerAddress, other})
	is.True(ok)
	is.Equal(seed, other)
	chooser.Failed(start, other)
	_, ok = chooser.Seed(start, []netip.AddrPort{self.PeerAddress, other})
	is.True(!ok)
}

func TestFreshness(t *testing.T) {
	const bound = 3 * time.Second
	tests := []struct {
		name  string
		age   time.Duration
		since time.Duration
		want  bool
	}{
		{"fresh", 500 * time.Millisecond, 200 * time.Millisecond, true},
		{"between two responses of a watch", 1400 * time.Millisecond, 0, true},
		{"without state or too old", 1800 * time.Millisecond, 0, false},
		{"unresponsive", 0, 1100 * time.Millisecond, false},
		{"outdated because its upstream is", 1900 * time.Millisecond, 0, false},
		{"outdated by the time since the update", 1300 * time.Millisecond, 600 * time.Millisecond, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			freshness := upstream.Freshness{SilenceTimeout: time.Second}
			is.True(!freshness.Fresh(start))
			freshness.Updated(start, upstream.Slack(bound, test.age))
			is.Equal(freshness.Fresh(start.Add(test.since)), test.want)
		})
	}
}

// parents returns the upstream of each host of a data centre in which some hosts do
// not respond.
func parents(all []fleet.Host, fanout int, unresponsive ...fleet.HostID) map[fleet.HostID]fleet.HostID {
	chosen := make(map[fleet.HostID]fleet.HostID)
	for _, self := range all {
		chooser := upstream.Chooser{Self: self, Fanout: fanout}
		for _, other := range all {
			if slices.Contains(unresponsive, other.ID) {
				chooser.Failed(start, other.PeerAddress)
			}
		}
		if peer, ok := chooser.Choose(start, slices.Clone(all)); ok {
			chosen[self.ID] = peer.ID
		}
	}
	return chosen
}

// TestTreeOfFeeds bounds the number of hosts that follow one host, and the number of
// hops to the host that reads the store, at the size of the largest data centre.
func TestTreeOfFeeds(t *testing.T) {
	is := is.New(t)
	all := peers("a", 98)
	all[42].Strength = 8
	chosen := parents(all, 16)
	is.Equal(len(chosen), 97) // one reads the store
	children := make(map[fleet.HostID]int)
	for id, parent := range chosen {
		children[parent]++
		hops := 0
		for ok := true; ok; hops++ {
			id, ok = chosen[id]
		}
		is.True(hops-1 <= 2)
	}
	is.Equal(children[all[42].ID], 16)
	for _, count := range children {
		is.True(count <= 16)
	}
}

// TestTreeWithoutItsRoot makes the strongest host and a parent unresponsive: exactly
// one other host must read the store.
func TestTreeWithoutItsRoot(t *testing.T) {
	is := is.New(t)
	all := peers("a", 98)
	intact := parents(all, 16)
	var root, parent fleet.HostID
	for _, id := range intact {
		if intact[id] == "" {
			root = id
		} else {
			parent = id
		}
	}
	chosen := parents(all, 16, root, parent)
	readers := 0
	for _, host := range all {
		if parentID, ok := chosen[host.ID]; !ok && host.ID != root && host.ID != parent {
			readers++
		} else {
			is.True(parentID != root && parentID != parent)
		}
	}
	is.Equal(readers, 1)
}

// TestHostsWithDifferentListsFormNoCycle guards against hosts that follow each other, and take
// what both have for recent: a host that was just added has a list without itself, and others
// have lists without it.
func TestHostsWithDifferentListsFormNoCycle(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	for range 2000 {
		is := is.New(t)
		all := peers("a", 8)
		for i := range all {
			all[i].Strength = random.IntN(2)
		}
		upstreams := make(map[fleet.HostID]fleet.HostID)
		for _, self := range all {
			known := slices.DeleteFunc(slices.Clone(all), func(fleet.Host) bool { return random.IntN(3) == 0 })
			chooser := upstream.Chooser{Self: self, Fanout: random.IntN(3)}
			if peer, ok := chooser.Choose(start, known); ok {
				upstreams[self.ID] = peer.ID
			}
		}
		for id := range upstreams {
			hops := 0
			for ok := true; ok && hops <= len(all); hops++ {
				id, ok = upstreams[id]
			}
			is.True(hops <= len(all)) // ends at a host that reads the store
		}
	}
}

// TestUpstreamIsLeft lets a host follow the peer with each rank of five, itself third.
func TestUpstreamIsLeft(t *testing.T) {
	all := peers("a", 5)
	ranked := make([]fleet.Host, len(all))
	for _, self := range all {
		chooser := upstream.Chooser{Self: self}
		before := 0
		for _, other := range all {
			if chooser.IsHigherRanked(other.PeerAddress, all) {
				before++
			}
		}
		ranked[before] = self
	}
	self, removed := ranked[2], netip.MustParseAddrPort("10.9.9.9:1")
	tests := []struct {
		name     string
		upstream netip.AddrPort
		known    []fleet.Host
		// atOnce and later report whether the host leaves at once and after 2 s.
		atOnce, later bool
	}{
		{"the host that ranks first", ranked[0].PeerAddress, all, false, false},
		{"a host that ranks before, where another one ranks first", ranked[1].PeerAddress, all, false, true},
		{"a host that ranks before and is the only one known", ranked[1].PeerAddress, ranked[1:], false, false},
		{"a host that ranks after", ranked[3].PeerAddress, all, true, true},
		{"a host that ranks after, and this one is not in the list", ranked[4].PeerAddress, ranked[3:], true, true},
		{"a host that is not in the list", removed, all, true, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			chooser := upstream.Chooser{Self: self}
			is.Equal(chooser.ShouldLeave(start, test.upstream, test.known), test.atOnce)
			is.Equal(chooser.ShouldLeave(start.Add(2*time.Second), test.upstream, test.known), test.later)
		})
	}
}

// TestChangingTreeIsFollowedLate lets the preferred upstream change each second, as while many
// hosts start: the host stays with the one that it has.
func TestChangingTreeIsFollowedLate(t *testing.T) {
	is := is.New(t)
	all := peers("a", 12)
	last := all[0]
	for _, self := range all {
		if chooser := (upstream.Chooser{Self: self}); chooser.IsHigherRanked(last.PeerAddress, all) {
			last = self
		}
	}
	chooser := upstream.Chooser{Self: last}
	followed, ok := chooser.Choose(start, all)
	is.True(ok)
	for second := range 8 {
		known := append(slices.Clone(all), fleet.Host{
			ID: fleet.HostID(fmt.Sprint("added-", second)), DataCentre: "a", Strength: 1 + second,
			PeerAddress: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 1, byte(second)}), 8166),
		})
		is.True(!chooser.ShouldLeave(start.Add(time.Duration(second)*time.Second), followed.PeerAddress, known))
	}
}
