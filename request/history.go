package request

import (
	"maps"
	"slices"
	"time"

	"github.com/rattanthread/rattanthread/fleet"
)

// history is the state of fetching the claims that a host needs in a new ring.
type history struct {
	settled       bool      // all claims have been fetched for the current ring
	settledAt     time.Time // when the claims were last known to be complete
	everSettled   bool
	settledRing   Ring
	settledRingID RingID
	// rings are the rings whose claims some live host has not yet fetched, and
	// the current one.
	rings       []Ring
	peerSettled map[fleet.HostID]bool
	// resetNumber is the last lease request before the fetch was restarted. Only
	// promises for later requests show that a peer is settled.
	resetNumber uint64
	overflow    bool // rings is incomplete, as there were more than maxRings
	gaps        []Gap
	pulls       map[fleet.HostID]*pull
	exports     map[fleet.HostID][]string
}

// pull is the state of fetching claims from one peer.
type pull struct {
	cursor      string
	done        bool
	rings       []Ring
	overflow    bool
	everSettled bool
}

// The limits of the history exchange.
const (
	claimsPerPart = 100
	maxRings      = 16
	maxGaps       = 64
)

// startRing starts to fetch the claims for a new ring.
func (h *history) startRing(ring Ring, self Member) {
	h.exports = make(map[fleet.HostID][]string)
	h.resetFetch(ring, self)
	for _, r := range h.rings {
		if slices.Equal(r, ring) {
			return
		}
	}
	if len(h.rings) == maxRings {
		h.overflow = true
		return
	}
	h.rings = append(h.rings, ring)
}

// resetFetch restarts the fetch from all peers. Requests are sent only while the
// lease is held, as only claims that are fetched during that time are complete.
func (h *history) resetFetch(ring Ring, self Member) {
	h.settled = false
	h.peerSettled = make(map[fleet.HostID]bool)
	h.pulls = make(map[fleet.HostID]*pull)
	for _, m := range ring {
		if m != self {
			h.pulls[m.Host] = &pull{}
		}
	}
}

// checkLease restarts the fetch if the lease has expired, for example after a
// pause. Other hosts may have acted in another ring in the meantime, even if this
// host has not seen one, so claims that were fetched before are fetched again.
func (k *KeyTracker) checkLease(now time.Time) {
	h := &k.history
	if !k.lease.heldAt(now) {
		h.resetFetch(k.ring, k.self)
		h.resetNumber = k.lease.lastNumber
		return
	}
	if h.settled {
		h.settledAt = now
	}
}

func (h *history) addGap(g Gap) {
	for _, old := range h.gaps {
		if old.equal(g) {
			return
		}
	}
	h.gaps = append(h.gaps, g)
	if len(h.gaps) <= maxGaps {
		return
	}
	merged := Gap{}
	for _, old := range h.gaps {
		if old.Before.After(merged.Before) {
			merged.Before = old.Before
		}
	}
	h.gaps = []Gap{merged}
}

// mayHaveLost reports whether a claim for key may have been lost.
func (h *history) mayHaveLost(key Key) bool {
	for _, g := range h.gaps {
		if g.covers(key) {
			return true
		}
	}
	return false
}

func (k *KeyTracker) requestHistory(now time.Time) Effects {
	var e Effects
	h := &k.history
	if k.stopped || h.settled || !k.lease.heldAt(now) {
		return e
	}
	for _, m := range k.ring {
		p := h.pulls[m.Host]
		if p == nil || p.done {
			continue
		}
		e.send(m.Host, &HistoryRequest{
			Ring:    k.ringID,
			Cursor:  p.cursor,
			Settled: h.settledRingID,
			Since:   now.Sub(h.settledAt),
		})
	}
	return e
}

// handleHistoryRequest responds only to a peer with the same view. From then on,
// this host does not act in an earlier ring, so the peer misses no change.
func (k *KeyTracker) handleHistoryRequest(now time.Time, from fleet.HostID, m *HistoryRequest) Effects {
	if m.Ring != k.ringID {
		return Effects{}
	}
	h := &k.history
	if _, ok := h.exports[from]; !ok || m.Cursor == "" {
		h.exports[from] = k.export(now, from, m)
	}
	keys := h.exports[from]
	start, found := slices.BinarySearch(keys, m.Cursor)
	if found {
		start++
	}
	end := min(len(keys), start+claimsPerPart)
	part := &HistoryPart{Ring: m.Ring, Cursor: m.Cursor, Last: end == len(keys)}
	for _, key := range keys[start:end] {
		if c := k.claims[key]; c != nil {
			part.Claims = append(part.Claims, c.record(now))
		}
	}
	if part.Last {
		part.Rings, part.Overflow = h.rings, h.overflow
		part.Settled, part.Gaps = h.everSettled, h.gaps
	}
	return Effects{Sends: []fleet.Send{{To: from, Message: part}}}
}

// propagationMargin allows for the time that a change takes to reach other hosts.
const propagationMargin = time.Second

// export returns the keys of the claims that host to needs in the current ring,
// without those that it had when it last settled and that have not changed since.
func (k *KeyTracker) export(now time.Time, to fleet.HostID, m *HistoryRequest) []string {
	h := &k.history
	settledBefore := h.everSettled && m.Settled == h.settledRingID
	since := now.Add(-m.Since - propagationMargin)
	var keys []string
	for _, key := range sortedKeys(k.claims) {
		owner, successor := k.ring.pair(key)
		if owner != to && successor != to {
			continue
		}
		if settledBefore && h.settledRing.hasInPair(key, to) && k.claims[key].changedAt.Before(since) {
			continue
		}
		keys = append(keys, key)
	}
	return keys
}

func (r Ring) hasInPair(key string, host fleet.HostID) bool {
	owner, successor := r.pair(key)
	return owner == host || successor == host
}

func (k *KeyTracker) handleHistoryPart(now time.Time, from fleet.HostID, m *HistoryPart) Effects {
	p := k.history.pulls[from]
	if m.Ring != k.ringID || p == nil || p.done || m.Cursor != p.cursor {
		return Effects{}
	}
	for _, r := range m.Claims {
		if !k.mergeRecord(now, r) {
			// The claim cannot be stored, so it counts as lost.
			k.history.addGap(Gap{Before: now.Add(k.limits().MaxSkew)})
		}
	}
	if n := len(m.Claims); n > 0 {
		p.cursor = m.Claims[n-1].Key
	}
	if !m.Last {
		return k.requestHistory(now)
	}
	p.done, p.rings, p.overflow, p.everSettled = true, m.Rings, m.Overflow, m.Settled
	for _, g := range m.Gaps {
		k.history.addGap(g)
	}
	k.settle(now)
	return Effects{}
}

// settle ends the fetch once every live peer has sent all its claims, and
// determines which claims may be lost. It requires the lease, so that a minority
// does not count claims as lost that only the majority has.
func (k *KeyTracker) settle(now time.Time) {
	h := &k.history
	if h.settled || !k.lease.heldAt(now) {
		return
	}
	rings, everSettled, overflow := h.rings, h.everSettled, h.overflow
	for _, host := range slices.Sorted(maps.Keys(h.pulls)) {
		p := h.pulls[host]
		if !p.done {
			return
		}
		rings = append(rings[:len(rings):len(rings)], p.rings...)
		everSettled = everSettled || p.everSettled
		overflow = overflow || p.overflow
	}
	before := now.Add(k.limits().MaxSkew)
	if !everSettled || overflow {
		// No live host has a complete record of the earlier claims.
		h.addGap(Gap{Before: before})
	}
	for _, r := range rings {
		if r.mayLosePair(k.ring) {
			h.addGap(Gap{Ring: r, Alive: k.ring, Before: before})
		}
	}
	h.settled, h.everSettled = true, true
	h.settledRing, h.settledRingID, h.settledAt = k.ring, k.ringID, now
	k.dropRings()
}

// dropRings removes earlier rings once every live host has fetched its claims.
// Until then, a host that has not may be the only live one of an owner and
// successor pair.
func (k *KeyTracker) dropRings() {
	h := &k.history
	if !h.settled {
		return
	}
	for _, m := range k.ring {
		if m != k.self && !h.peerSettled[m.Host] {
			return
		}
	}
	h.rings, h.overflow = []Ring{k.ring}, false
}

// dropGaps removes the gaps whose keys have all expired.
func (k *KeyTracker) dropGaps(now time.Time) {
	lifetime := k.longestLifetime()
	kept := k.history.gaps[:0]
	for _, g := range k.history.gaps {
		if now.Before(g.Before.Add(lifetime)) {
			kept = append(kept, g)
		}
	}
	k.history.gaps = kept
}
