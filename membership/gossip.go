package membership

import (
	"math/bits"
	"slices"
	"time"

	"github.com/rattanthread/rattanthread/fleet"
)

// header returns the header of a message to a peer. It contains updates only if
// the peer is alive, so that it is likely to receive them.
func (t *Table) header(to fleet.HostID) Header {
	h := t.bareHeader(to)
	if m := t.members[to]; m != nil && m.Status == Alive {
		h.Updates = t.updates(to)
	}
	return h
}

// bareHeader returns a header without updates.
func (t *Table) bareHeader(to fleet.HostID) Header {
	t.rebuild()
	h := Header{Self: t.selfRecord.claim(true), State: t.local.state, Acks: t.acks()}
	if m := t.members[to]; m != nil && m.Status != Candidate {
		h.About = m.claim(false)
		if m.reportedDead {
			h.About.Status = Dead
		}
	}
	return h
}

// updates returns the pending claims that were sent least often, up to maxUpdateBytes.
func (t *Table) updates(to fleet.HostID) []Claim {
	if t.pendingCount == 0 {
		return nil
	}
	var claims []Claim
	limit := retransmitFactor * bits.Len(uint(len(t.peers)+1))
	size := 0
	for _, member := range t.pendingMembers() {
		if member.Host.ID == to {
			continue
		}
		claim := member.claim(member.contactChanged && member.Status == Alive)
		size += estimatedSize(claim)
		if size > maxUpdateBytes {
			t.counts.UpdatesDeferred++
			break
		}
		claims = append(claims, claim)
		member.transmissions++
		t.setPending(member, member.transmissions < limit)
	}
	return claims
}

// pendingMembers returns the members with a pending update, the least often sent
// first.
func (t *Table) pendingMembers() []*member {
	var pending []*member
	for _, m := range t.members {
		if m.pending {
			pending = append(pending, m)
		}
	}
	slices.SortFunc(pending, func(a, b *member) int {
		if a.transmissions != b.transmissions {
			return a.transmissions - b.transmissions
		}
		return compareIDs(a.Host.ID, b.Host.ID)
	})
	return pending
}

// estimatedSize returns the approximate encoded size of a claim in bytes.
func estimatedSize(c Claim) int {
	const numberBytes, portBytes = 16, 12
	n := len(c.Host) + numberBytes
	if c.Contact != nil {
		addresses := c.Contact.PeerAddress.Addr().BitLen() + c.Contact.HandoffAddress.Addr().BitLen()
		n += len(c.Contact.DataCentre) + addresses/8 + portBytes
	}
	return n
}

// tickGossip sends a round of gossip while updates are pending or
// acknowledgements of the local state are missing.
func (t *Table) tickGossip(now time.Time, sends []fleet.Send) []fleet.Send {
	if now.Before(t.nextGossip) {
		return sends
	}
	if t.pendingCount == 0 && !t.awaitingAcks(now) {
		return sends
	}
	t.nextGossip = now.Add(t.timing.Gossip)
	for _, m := range t.pick(t.unsuspected(), gossipFanout, "") {
		sends = append(sends, fleet.Send{To: m.Host.ID, Message: &Gossip{Header: t.header(m.Host.ID)}})
	}
	return sends
}

// setPending sets whether an update about a member is to be gossiped.
func (t *Table) setPending(m *member, pending bool) {
	switch {
	case pending && !m.pending:
		t.pendingCount++
	case !pending && m.pending:
		t.pendingCount--
	}
	m.pending = pending
}

// unsuspected returns the live members that are not suspected, or all live
// members if every one is suspected.
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

// pick returns up to n distinct random members of list, never the one with the
// ID except.
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

// tickSync periodically compares the whole table with that of a random peer.
func (t *Table) tickSync(now time.Time, sends []fleet.Send) []fleet.Send {
	if now.Before(t.nextSync) {
		return sends
	}
	peers := t.pick(t.livePeers(), 1, "")
	if len(peers) == 0 {
		return sends
	}
	t.nextSync = now.Add(joinSyncInterval)
	if t.synced {
		t.nextSync = now.Add(t.timing.Sync)
	}
	to := peers[0].Host.ID
	return append(sends, fleet.Send{To: to, Message: &Fetch{Header: t.header(to)}})
}

// snapshot returns the whole table in response to a Fetch, or nothing if both
// hosts have the same list of live hosts.
func (t *Table) snapshot(to fleet.HostID, f *Fetch) []fleet.Send {
	t.rebuild()
	if f.Header.Acks.ListHash == t.listHash {
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
	for part := range slices.Chunk(claims, maxSnapshotClaims) {
		sends = append(sends, fleet.Send{To: to, Message: &Snapshot{Header: t.header(to), Claims: part}})
	}
	return sends
}
