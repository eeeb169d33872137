package request

import (
	"slices"
	"time"

	"github.com/rattanthread/rattanthread/fleet"
)

// history is the fetching of claims that a host needs in a new ring.
type history struct {
	settled     bool // all is fetched for the current ring
	everSettled bool
	settledID   RingID
	rings       []Ring // the last settled ring, and the rings since
	overflow    bool   // there were more rings since than are kept
	gaps        []Gap
	pulls       map[fleet.HostID]*pull
	exports     map[fleet.HostID][]string
}

// pull is the fetching from one peer.
type pull struct {
	cursor      int
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
	h.settled = false
	h.exports = make(map[fleet.HostID][]string)
	h.pulls = make(map[fleet.HostID]*pull)
	for _, m := range ring {
		if m != self {
			h.pulls[m.Host] = &pull{}
		}
	}
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

func (k *Keys) askHistory() Effects {
	var e Effects
	if k.stopped || k.history.settled {
		return e
	}
	for _, m := range k.ring {
		p := k.history.pulls[m.Host]
		if p != nil && !p.done {
			e.send(m.Host, &HistoryAsk{Ring: k.ringID, Cursor: p.cursor, Settled: k.history.settledID})
		}
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
	keys, ok := h.exports[from]
	if !ok {
		keys = k.export(from, m.Settled)
		h.exports[from] = keys
	}
	if m.Cursor < 0 || m.Cursor > len(keys) {
		return Effects{}
	}
	part := &HistoryPart{Ring: m.Ring, Cursor: m.Cursor}
	part.Next = min(len(keys), m.Cursor+claimsPerPart)
	part.Last = part.Next == len(keys)
	for _, key := range keys[m.Cursor:part.Next] {
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

// export lists the claims that to needs in the current ring, without those that
// it had already when both were last settled.
func (k *Keys) export(to fleet.HostID, settled RingID) []string {
	h := &k.history
	had := h.everSettled && settled == h.settledID
	var keys []string
	for _, key := range sortedKeys(k.claims) {
		owner, successor := k.ring.pair(key)
		if owner != to && successor != to {
			continue
		}
		if had && h.rings[0].involves(key, to) {
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
		k.adopt(now, r)
	}
	p.cursor = m.Next
	if !m.Last {
		return k.askHistory()
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
	for _, p := range h.pulls {
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
	h.settled, h.everSettled, h.settledID = true, true, k.ringID
	h.rings, h.overflow = []Ring{k.ring}, false
}

// dropGaps forgets the gaps whose keys have all expired.
func (k *Keys) dropGaps(now time.Time) {
	kept := k.history.gaps[:0]
	for _, g := range k.history.gaps {
		if now.Before(g.Before.Add(k.limits().KeyLifetime)) {
			kept = append(kept, g)
		}
	}
	k.history.gaps = kept
}
