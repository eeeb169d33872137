package request

import (
	"maps"
	"slices"
	"time"

	"github.com/rattanthread/rattanthread/fleet"
)

// history is the fetching of claims that a host needs in a new ring.
type history struct {
	settled     bool      // all is fetched for the current ring
	settledAt   time.Time // when all was last known to be there
	everSettled bool
	settledRing Ring
	settledID   RingID
	// rings are those that some live host has not yet fetched the claims of, and
	// the current one.
	rings       []Ring
	peerSettled map[fleet.HostID]bool
	sinceAsk    uint64 // only promises for later asks tell that a peer is settled
	overflow    bool   // there were more rings since than are kept
	gaps        []Gap
	pulls       map[fleet.HostID]*pull
	exports     map[fleet.HostID][]string
}

// pull is the fetching from one peer.
type pull struct {
	cursor      string
	done        bool
	rings       []Ring
	overflow    bool
	everSettled bool
}

// The bounds of the exchange of history.
const (
	claimsPerPart = 100
	maxRings      = 16
	maxGaps       = 64
)

// begin starts to fetch for a new ring.
func (h *history) begin(ring Ring, self Member) {
	h.exports = make(map[fleet.HostID][]string)
	h.fetch(ring, self)
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

// fetch starts to fetch from all peers. The asking waits for the lease: only
// what is fetched while it is held is complete.
func (h *history) fetch(ring Ring, self Member) {
	h.settled = false
	h.peerSettled = make(map[fleet.HostID]bool)
	h.pulls = make(map[fleet.HostID]*pull)
	for _, m := range ring {
		if m != self {
			h.pulls[m.Host] = &pull{}
		}
	}
}

// checkLease notices that the lease has lapsed, as after a pause. Then other
// hosts may have acted by another ring in the meantime, even if this host has
// seen none, and all is fetched anew, also what was fetched before the lapse.
func (k *Keys) checkLease(now time.Time) {
	h := &k.history
	if !k.lease.heldAt(now) {
		h.fetch(k.ring, k.self)
		h.sinceAsk = k.lease.number
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
	all := Gap{}
	for _, old := range h.gaps {
		if old.Before.After(all.Before) {
			all.Before = old.Before
		}
	}
	h.gaps = []Gap{all}
}

// lost reports whether a claim of key may have been lost.
func (h *history) lost(key Key) bool {
	for _, g := range h.gaps {
		if g.covers(key) {
			return true
		}
	}
	return false
}

func (k *Keys) askHistory(now time.Time) Effects {
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
		e.send(m.Host, &HistoryAsk{
			Ring:    k.ringID,
			Cursor:  p.cursor,
			Settled: h.settledID,
			Since:   now.Sub(h.settledAt),
		})
	}
	return e
}

// historyAsked answers only a peer with the same view. From then on this host
// does nothing more by an earlier ring that the peer would have to know of.
func (k *Keys) historyAsked(now time.Time, from fleet.HostID, m *HistoryAsk) Effects {
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

// changeMargin allows for the time that a change takes from host to host.
const changeMargin = time.Second

// export lists the claims that to needs in the current ring, without those that
// it had when it was last settled and that have not changed since.
func (k *Keys) export(now time.Time, to fleet.HostID, m *HistoryAsk) []string {
	h := &k.history
	had := h.everSettled && m.Settled == h.settledID
	since := now.Add(-m.Since - changeMargin)
	var keys []string
	for _, key := range sortedKeys(k.claims) {
		owner, successor := k.ring.pair(key)
		if owner != to && successor != to {
			continue
		}
		if had && h.settledRing.involves(key, to) && k.claims[key].changed.Before(since) {
			continue
		}
		keys = append(keys, key)
	}
	return keys
}

func (r Ring) involves(key string, host fleet.HostID) bool {
	owner, successor := r.pair(key)
	return owner == host || successor == host
}

func (k *Keys) historyReceived(now time.Time, from fleet.HostID, m *HistoryPart) Effects {
	p := k.history.pulls[from]
	if m.Ring != k.ringID || p == nil || p.done || m.Cursor != p.cursor {
		return Effects{}
	}
	for _, r := range m.Claims {
		if !k.adopt(now, r) {
			// There is no room for the claim, so it is as good as lost.
			k.history.addGap(Gap{Before: now.Add(k.limits().MaxSkew)})
		}
	}
	if n := len(m.Claims); n > 0 {
		p.cursor = m.Claims[n-1].Key
	}
	if !m.Last {
		return k.askHistory(now)
	}
	p.done, p.rings, p.overflow, p.everSettled = true, m.Rings, m.Overflow, m.Settled
	for _, g := range m.Gaps {
		k.history.addGap(g)
	}
	k.settle(now)
	return Effects{}
}

// settle ends the fetching once every live peer has given all, and works out
// what may be lost. Without a lease nothing may be decided, so that a minority
// does not count what only the majority knows as lost.
func (k *Keys) settle(now time.Time) {
	h := &k.history
	if h.settled || !k.lease.heldAt(now) {
		return
	}
	rings, known, overflow := h.rings, h.everSettled, h.overflow
	for _, host := range slices.Sorted(maps.Keys(h.pulls)) {
		p := h.pulls[host]
		if !p.done {
			return
		}
		rings = append(rings[:len(rings):len(rings)], p.rings...)
		known = known || p.everSettled
		overflow = overflow || p.overflow
	}
	before := now.Add(k.limits().MaxSkew)
	if !known || overflow {
		// No live host can tell which claims there were.
		h.addGap(Gap{Before: before})
	}
	for _, r := range rings {
		if r.losesPair(k.ring) {
			h.addGap(Gap{Ring: r, Alive: k.ring, Before: before})
		}
	}
	h.settled, h.everSettled = true, true
	h.settledRing, h.settledID, h.settledAt = k.ring, k.ringID, now
	k.dropRings()
}

// dropRings forgets earlier rings once every live host has fetched its claims.
// Until then a host that has not may be the only one left of a pair.
func (k *Keys) dropRings() {
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

// dropGaps forgets the gaps whose keys have all expired.
func (k *Keys) dropGaps(now time.Time) {
	lifetime := k.longestLifetime()
	kept := k.history.gaps[:0]
	for _, g := range k.history.gaps {
		if now.Before(g.Before.Add(lifetime)) {
			kept = append(kept, g)
		}
	}
	k.history.gaps = kept
}
