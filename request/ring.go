package request

import (
	"encoding/binary"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rattanthread/rattanthread/fleet"
)

// Member is one incarnation of a host.
type Member struct {
	Host        fleet.HostID      `cbor:"host"`
	Incarnation fleet.Incarnation `cbor:"incarnation"`
}

// KnownMember is a member that may be running and was last seen live Age ago.
type KnownMember struct {
	Member Member        `cbor:"member"`
	Age    time.Duration `cbor:"age"`
}

// Ring is the set of live members of one data centre, sorted by host. It
// determines which of them owns a key.
type Ring []Member

// RingID identifies a Ring by its content.
type RingID uint64

func newRing(hosts []fleet.Host, dataCentre fleet.DataCentreID) Ring {
	var ring Ring
	for _, host := range hosts {
		if host.DataCentre == dataCentre {
			ring = append(ring, Member{Host: host.ID, Incarnation: host.Incarnation})
		}
	}
	ring.sort()
	return ring
}

func (r Ring) sort() {
	slices.SortFunc(r, func(a, b Member) int { return strings.Compare(string(a.Host), string(b.Host)) })
}

// ID returns the hash of the members and their incarnations.
func (r Ring) ID() RingID {
	var digest xxhash.Digest
	digest.Reset()
	var buffer [9]byte
	for _, member := range r {
		_, _ = digest.WriteString(string(member.Host))
		binary.LittleEndian.PutUint64(buffer[1:], uint64(member.Incarnation))
		_, _ = digest.Write(buffer[:])
	}
	return RingID(digest.Sum64())
}

func (r Ring) hosts() []fleet.HostID {
	ids := make([]fleet.HostID, len(r))
	for i, m := range r {
		ids[i] = m.Host
	}
	return ids
}

// member returns the member with the given host.
func (r Ring) member(host fleet.HostID) (Member, bool) {
	for _, m := range r {
		if m.Host == host {
			return m, true
		}
	}
	return Member{}, false
}

func (r Ring) contains(m Member) bool {
	return slices.Contains(r, m)
}

// pair returns the owner and the successor of a key; the successor is "" in a
// ring of one.
func (r Ring) pair(key string) (owner, successor fleet.HostID) {
	return fleet.RendezvousPair("key/"+key, r.hosts())
}

// survives reports whether the owner or the successor of key in r is in alive.
func (r Ring) survives(key string, alive Ring) bool {
	owner, successor := r.pair(key)
	for _, host := range []fleet.HostID{owner, successor} {
		if m, ok := r.member(host); ok && alive.contains(m) {
			return true
		}
	}
	return false
}

// mayLosePair reports whether some key may have lost both its owner and its
// successor.
func (r Ring) mayLosePair(alive Ring) bool {
	lost := 0
	for _, m := range r {
		if !alive.contains(m) {
			lost++
		}
	}
	return lost >= 2 || lost == len(r)
}

// Gap describes claims that may have been lost: those of keys issued before
// Before whose owner and successor in Ring are both missing from Alive. An empty
// Ring means all keys.
type Gap struct {
	Ring   Ring      `cbor:"ring"`
	Alive  Ring      `cbor:"alive"`
	Before time.Time `cbor:"before"`
}

func (g Gap) covers(key Key) bool {
	if !key.Issued().Before(g.Before) {
		return false
	}
	return len(g.Ring) == 0 || !g.Ring.survives(key.String(), g.Alive)
}

func (g Gap) equal(other Gap) bool {
	return g.Before.Equal(other.Before) && slices.Equal(g.Ring, other.Ring) && slices.Equal(g.Alive, other.Alive)
}
