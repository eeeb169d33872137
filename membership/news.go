package membership

import (
	"math/bits"
	"slices"
	"time"

	"github.com/rattanthread/rattanthread/fleet"
)

// header returns the header of a message to a peer. News goes only to hosts
// that are likely to be there.
func (t *Table) header(to fleet.HostID) Header {
	h := t.bareHeader(to)
	if m := t.members[to]; m != nil && m.Status == Alive {
		h.News = t.news(to)
	}
	return h
}

// bareHeader returns a header without news.
func (t *Table) bareHeader(to fleet.HostID) Header {
	t.rebuild()
	h := Header{Self: t.me.claim(true), State: t.views.local, Acks: t.acks()}
	if m := t.members[to]; m != nil && m.Status != Candidate {
		h.About = m.claim(false)
		if m.doubted {
			h.About.Status = Dead
		}
	}
	return h
}

// news returns the claims that were sent least often, up to newsBytes.
func (t *Table) news(to fleet.HostID) []Claim {
	if t.freshes == 0 {
		return nil
	}
	var claims []Claim
	limit := newsFactor * bits.Len(uint(len(t.peers)+1))
	size := 0
	for _, m := range t.fresh() {
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
		t.setFresh(m, m.sent < limit)
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
	const numbers, ports = 16, 12
	n := len(c.Host) + numbers
	if c.Contact != nil {
		addresses := c.Contact.PeerAddress.Addr().BitLen() + c.Contact.HandoffAddress.Addr().BitLen()
		n += len(c.Contact.DataCentre) + addresses/8 + ports
	}
	return n
}

// tickGossip sends a round of news while there is some, or while the local
// state waits for acknowledgements.
func (t *Table) tickGossip(now time.Time, sends []fleet.Send) []fleet.Send {
	if now.Before(t.nextGossip) {
		return sends
	}
	if t.freshes == 0 && !t.awaitingAcks(now) {
		return sends
	}
	t.nextGossip = now.Add(t.timing.Gossip)
	for _, m := range t.pick(t.unsuspected(), gossipFanout, "") {
		sends = append(sends, fleet.Send{To: m.Host.ID, Message: &Gossip{Header: t.header(m.Host.ID)}})
	}
	return sends
}

// setFresh sets whether there is news of a member to send.
func (t *Table) setFresh(m *member, fresh bool) {
	switch {
	case fresh && !m.fresh:
		t.freshes++
	case !fresh && m.fresh:
		t.freshes--
	}
	m.fresh = fresh
}

// unsuspected returns the live members that are not suspected, or all when
// every one is.
func (t *Table) unsuspected() []*member {
	var alive []*member
	for _, m := range t.livePeers() {
		if m.Status == Alive {
			alive = append(alive, m)
		}
	}
	if len(alive) == 0 {
		return t.livePeers()
	}
	return alive
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
