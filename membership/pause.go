package membership

import (
	"time"

	"github.com/rattanthread/rattanthread/fleet"
)

// pause tracks whether this host was paused or considered dead for so long that
// other hosts may have replaced it.
type pause struct {
	lastTick  time.Time // time of the last Tick
	stale     bool
	sequence  uint64 // only responses to later pings confirm this host
	confirmed map[fleet.HostID]bool
	nextPing  time.Time
}

// Stale reports whether this host was paused or considered dead, so that others
// may have replaced it, and has not been confirmed since. A stale host must not
// act on the ownership or leases that it had before. Stale may be called before
// the first Tick after a pause.
func (t *Table) Stale(now time.Time) bool {
	return t.Superseded() || t.pause.stale || t.paused(now)
}

// Confirm records that the platform has confirmed this host as live, by its
// response to a call made after the pause.
func (t *Table) Confirm(now time.Time) {
	t.lazyInit()
	t.detectPause(now)
	t.pause.stale = false
}

func (t *Table) paused(now time.Time) bool {
	return !t.pause.lastTick.IsZero() && now.Sub(t.pause.lastTick) > t.timing.Pause
}

// detectPause marks this host stale after a gap between ticks. Timeouts that
// expired during the gap are no evidence against the peers, so probes and
// suspicions start again.
func (t *Table) detectPause(now time.Time) {
	if !t.paused(now) {
		return
	}
	t.pause.lastTick = now
	t.markStale(now)
	t.probes.active = nil
	t.probes.relays = nil
	for _, m := range t.members {
		if m.Status == Suspect {
			m.since = now
		}
	}
}

// markStale marks this host stale until peers or the platform confirm it.
func (t *Table) markStale(now time.Time) {
	t.counts.Interruptions++
	t.version++
	t.pause.stale = true
	t.pause.sequence = t.probes.sequence
	t.pause.confirmed = make(map[fleet.HostID]bool)
	t.pause.nextPing = now
}

// requestConfirmation pings peers while this host is stale. A host with an empty
// table needs no confirmation: there is no other host to replace it.
func (t *Table) requestConfirmation(now time.Time, sends []fleet.Send) []fleet.Send {
	if !t.pause.stale || now.Before(t.pause.nextPing) {
		return sends
	}
	if len(t.members) == 0 {
		t.pause.stale = false
		return sends
	}
	t.pause.nextPing = now.Add(t.timing.Retry)
	for _, m := range t.pick(t.livePeers(), probeFanout, "") {
		t.probes.sequence++
		sends = t.ping(m.Host.ID, t.probes.sequence, sends)
	}
	return sends
}

// handleConfirmation counts an Ack as a confirmation if it reports that this host is
// alive. It ends the staleness once enough peers have confirmed.
func (t *Table) handleConfirmation(from fleet.HostID, ack *Ack) {
	about := ack.Header.About
	if !t.pause.stale || ack.Sequence <= t.pause.sequence {
		return
	}
	if about.Host != t.Self.ID || about.Status != Alive || about.Refutation != t.selfRecord.refutation {
		return
	}
	t.pause.confirmed[from] = true
	if len(t.pause.confirmed) >= min(requiredConfirmations, len(t.livePeers())) {
		t.pause.stale = false
		t.version++
	}
}
