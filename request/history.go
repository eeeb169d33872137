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
	history := &k.history
	if !k.lease.heldAt(now) {
		history.resetFetch(k.ring, k.self)
		history.resetNumber = k.lease.lastNumber
		return
	}
	if history.settled {
		history.settledAt = now
	}
}

func (h *history) addGap(gap Gap) {
	for _, old := range h.gaps {
		if old.equal(gap) {
			return
		}
	}
	h.gaps = append(h.gaps, gap)
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
	var effects Effects
	history := &k.history
	if k.stopped || history.settled || !k.lease.heldAt(now) {
		return effects
	}
	for _, m := range k.ring {
		pull := history.pulls[m.Host]
		if pull == nil || pull.done {
			continue
		}
		effects.send(m.Host, &HistoryRequest{
			Ring:    k.ringID,
			Cursor:  pull.cursor,
			Settled: history.settledRingID,
			Since:   now.Sub(history.settledAt),
		})
	}
	return effects
}

// handleHistoryRequest responds only to a peer with the same view. From then on,
// this host does not act in an earlier ring, so the peer misses no change.
func (k *KeyTracker) handleHistoryRequest(now time.Time, from fleet.HostID, request *HistoryRequest) Effects {
	if request.Ring != k.ringID {
		return Effects{}
	}
	history := &k.history
	if _, ok := history.exports[from]; !ok || request.Cursor == "" {
		history.exports[from] = k.export(now, from, request)
	}
	keys := history.exports[from]
	start, found := slices.BinarySearch(keys, request.Cursor)
	if found {
		start++
	}
	end := min(len(keys), start+claimsPerPart)
	part := &HistoryPart{Ring: request.Ring, Cursor: request.Cursor, Last: end == len(keys)}
	for _, key := range keys[start:end] {
		if claim := k.claims[key]; claim != nil {
			part.Claims = append(part.Claims, claim.record(now))
		}
	}
	if part.Last {
		part.Rings, part.Overflow = history.rings, history.overflow
		part.Settled, part.Gaps = history.everSettled, history.gaps
	}
	return Effects{Sends: []fleet.Send{{To: from, Message: part}}}
}

// propagationMargin allows for the time that a change takes to reach other hosts.
const propagationMargin = time.Second

// export returns the keys of the claims that a peer needs in the current ring,
// without those that it had when it last settled and that have not changed since.
func (k *KeyTracker) export(now time.Time, peer fleet.HostID, request *HistoryRequest) []string {
	history := &k.history
	settledBefore := history.everSettled && request.Settled == history.settledRingID
	since := now.Add(-request.Since - propagationMargin)
	var keys []string
	for _, key := range sortedKeys(k.claims) {
		owner, successor := k.ring.pair(key)
		if owner != peer && successor != peer {
			continue
		}
		if settledBefore && history.settledRing.hasInPair(key, peer) && k.claims[key].changedAt.Before(since) {
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

func (k *KeyTracker) handleHistoryPart(now time.Time, from fleet.HostID, part *HistoryPart) Effects {
	pull := k.history.pulls[from]
	if part.Ring != k.ringID || pull == nil || pull.done || part.Cursor != pull.cursor {
		return Effects{}
	}
	for _, record := range part.Claims {
		if !k.mergeRecord(now, record) {
			// The claim cannot be stored, so it counts as lost.
			k.history.addGap(Gap{Before: now.Add(k.limits().MaxSkew)})
		}
	}
	if n := len(part.Claims); n > 0 {
		pull.cursor = part.Claims[n-1].Key
	}
	if !part.Last {
		return k.requestHistory(now)
	}
	pull.done, pull.rings, pull.overflow, pull.everSettled = true, part.Rings, part.Overflow, part.Settled
	for _, g := range part.Gaps {
		k.history.addGap(g)
	}
	k.settle(now)
	return Effects{}
}

// settle ends the fetch once every live peer has sent all its claims, and
// determines which claims may be lost. It requires the lease, so that a minority
// does not count claims as lost that only the majority has.
func (k *KeyTracker) settle(now time.Time) {
	history := &k.history
	if history.settled || !k.lease.heldAt(now) {
		return
	}
	rings, everSettled, overflow := history.rings, history.everSettled, history.overflow
	for _, host := range slices.Sorted(maps.Keys(history.pulls)) {
		pull := history.pulls[host]
		if !pull.done {
			return
		}
		rings = append(rings[:len(rings):len(rings)], pull.rings...)
		everSettled = everSettled || pull.everSettled
		overflow = overflow || pull.overflow
	}
	before := now.Add(k.limits().MaxSkew)
	if !everSettled || overflow {
		// No live host has a complete record of the earlier claims.
		history.addGap(Gap{Before: before})
	}
	for _, r := range rings {
		if r.mayLosePair(k.ring) {
			history.addGap(Gap{Ring: r, Alive: k.ring, Before: before})
		}
	}
	history.settled, history.everSettled = true, true
	history.settledRing, history.settledRingID, history.settledAt = k.ring, k.ringID, now
	k.dropRings()
}

// dropRings removes earlier rings once every live host has fetched its claims.
// Until then, a host that has not may be the only live one of an owner and
// successor pair.
func (k *KeyTracker) dropRings() {
	history := &k.history
	if !history.settled {
		return
	}
	for _, m := range k.ring {
		if m != k.self && !history.peerSettled[m.Host] {
			return
		}
	}
	history.rings, history.overflow = []Ring{k.ring}, false
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
