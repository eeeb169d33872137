package membership

import (
	"time"

	"github.com/rattanthread/rattanthread/fleet"
)

// pause tells whether this host may have been replaced without noticing.
type pause struct {
	ticked    time.Time // last Tick
	stale     bool
	sequence  uint64 // only answers to later pings confirm this host
	confirmed map[fleet.HostID]bool
	retry     time.Time
}

// Stale reports whether this host was paused or held dead, so that others may
// have replaced it, and has not been confirmed since. A stale host must not
// decide anything that its earlier ownership or leases allowed. It may be
// called before the first Tick after the pause.
func (t *Table) Stale(now time.Time) bool {
	return t.Superseded() || t.pause.stale || t.paused(now)
}

// Confirm records that the platform has confirmed, by an answer to a call made
// after the pause, that this host is live.
func (t *Table) Confirm(now time.Time) {
	t.start()
	t.noticePause(now)
	t.pause.stale = false
}

func (t *Table) paused(now time.Time) bool {
	return !t.pause.ticked.IsZero() && now.Sub(t.pause.ticked) > t.timing.Pause
}

// noticePause marks this host stale after a gap between ticks. What fell due
// during the gap says nothing about the peers, so probes and suspicions begin anew.
func (t *Table) noticePause(now time.Time) {
	if !t.paused(now) {
		return
	}
	t.pause.ticked = now
	t.interrupt(now)
	t.probes.active = nil
	t.probes.relays = nil
	for _, m := range t.members {
		if m.Status == Suspect {
			m.since = now
		}
	}
}

// interrupt marks this host stale until peers or the platform confirm it.
func (t *Table) interrupt(now time.Time) {
	t.counts.Interruptions++
	t.version++
	t.pause.stale = true
	t.pause.sequence = t.probes.sequence
	t.pause.confirmed = make(map[fleet.HostID]bool)
	t.pause.retry = now
}

// confirmSelf pings peers while this host is stale. A host that knows of no
// other needs no confirmation: nobody can have replaced it.
func (t *Table) confirmSelf(now time.Time, sends []fleet.Send) []fleet.Send {
	if !t.pause.stale || now.Before(t.pause.retry) {
		return sends
	}
	if len(t.members) == 0 {
		t.pause.stale = false
		return sends
	}
	t.pause.retry = now.Add(t.timing.Retry)
	for _, m := range t.pick(t.livePeers(), helpers, "") {
		t.probes.sequence++
		sends = t.ping(m.Host.ID, t.probes.sequence, sends)
	}
	return sends
}

// confirmedBy takes an Ack as confirmation when the peer holds this host alive.
func (t *Table) confirmedBy(from fleet.HostID, a *Ack) {
	about := a.Header.About
	if !t.pause.stale || a.Sequence <= t.pause.sequence {
		return
	}
	if about.Host != t.Self.ID || about.Status != Alive || about.Refutation != t.me.refutation {
		return
	}
	t.pause.confirmed[from] = true
	if len(t.pause.confirmed) >= min(confirmations, len(t.livePeers())) {
		t.pause.stale = false
		t.version++
	}
}
