package membership

import (
	"math/bits"
	"slices"
	"time"

	"github.com/rattanthread/rattanthread/fleet"
)

// header returns the header of a message to a peer.
func (t *Table) header(to fleet.HostID) Header {
	t.rebuild()
	h := Header{Self: t.me.claim(true), State: t.views.local, Acks: t.acks()}
	if m := t.members[to]; m != nil && m.Status != Candidate {
		h.About = m.claim(false)
		if m.doubted {
			h.About.Status = Dead
		}
	}
	h.News = t.news(to)
	return h
}

// news returns the claims that were sent least often, up to newsBytes.
func (t *Table) news(to fleet.HostID) []Claim {
	fresh := t.fresh()
	if len(fresh) == 0 {
		return nil
	}
	var claims []Claim
	limit := newsFactor * bits.Len(uint(len(t.peers)+1))
	size := 0
	for _, m := range fresh {
		if m.Host.ID == to {
			continue
		}
		c := m.claim(m.moved && m.Status == Alive)
		size += estimate(c)
		if size > newsBytes {
			t.counts.NewsDeferred++
			break
		}
		claims = append(claims, c)
		m.sent++
		m.fresh = m.sent < limit
	}
	return claims
}

// fresh returns the members that there is news of, the least sent first.
func (t *Table) fresh() []*member {
	var fresh []*member
	for _, m := range t.members {
		if m.fresh {
			fresh = append(fresh, m)
		}
	}
	slices.SortFunc(fresh, func(a, b *member) int {
		if a.sent != b.sent {
			return a.sent - b.sent
		}
		return compareIDs(a.Host.ID, b.Host.ID)
	})
	return fresh
}

// estimate returns about how many bytes a claim takes when encoded.
func estimate(c Claim) int {
	const numbers, addresses = 16, 20
	n := len(c.Host) + numbers
	if c.Contact != nil {
		n += len(c.Contact.DataCentre) + addresses
	}
	return n
}

// tickGossip sends a round of news while there is some, or while the local
// state waits for acknowledgements.
func (t *Table) tickGossip(now time.Time, sends []fleet.Send) []fleet.Send {
	if now.Before(t.nextGossip) {
		return sends
	}
	if !t.anyFresh() && !t.awaitingAcks(now) {
		return sends
	}
	t.nextGossip = now.Add(t.timing.Gossip)
	for _, m := range t.pick(t.livePeers(), gossipFanout, "") {
		sends = append(sends, fleet.Send{To: m.Host.ID, Message: &Gossip{Header: t.header(m.Host.ID)}})
	}
	return sends
}

func (t *Table) anyFresh() bool {
	for _, m := range t.members {
		if m.fresh {
			return true
		}
	}
	return false
}

// pick returns up to n random members of list, none of them named except.
func (t *Table) pick(list []*member, n int, except fleet.HostID) []*member {
	var picked []*member
	for range 3 * n {
		if len(picked) == n || len(picked) == len(list) {
			break
		}
		m := list[t.Random.IntN(len(list))]
		if m.Host.ID != except && !slices.Contains(picked, m) {
			picked = append(picked, m)
		}
	}
	return picked
}

// tickSync compares the whole table with that of a random peer now and then.
func (t *Table) tickSync(now time.Time, sends []fleet.Send) []fleet.Send {
	if now.Before(t.nextSync) {
		return sends
	}
	peers := t.pick(t.livePeers(), 1, "")
	if len(peers) == 0 {
		return sends
	}
	t.nextSync = now.Add(joinSync)
	if t.synced {
		t.nextSync = now.Add(t.timing.Sync)
	}
	to := peers[0].Host.ID
	return append(sends, fleet.Send{To: to, Message: &Fetch{Header: t.header(to)}})
}

// snapshot answers a Fetch with the whole table, unless the lists agree.
func (t *Table) snapshot(to fleet.HostID, f *Fetch) []fleet.Send {
	t.rebuild()
	if f.Header.Acks.List == t.list {
		return nil
	}
	var claims []Claim
	for _, m := range t.members {
		if m.Status != Candidate && m.Host.ID != to {
			claims = append(claims, m.claim(m.live()))
		}
	}
	slices.SortFunc(claims, func(a, b Claim) int { return compareIDs(a.Host, b.Host) })
	var sends []fleet.Send
	for part := range slices.Chunk(claims, snapshotClaims) {
		sends = append(sends, fleet.Send{To: to, Message: &Snapshot{Header: t.header(to), Claims: part}})
	}
	return sends
}
