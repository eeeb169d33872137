// Package membership detects which entry hosts are live. It follows SWIM (Das,
// Gupta and Motivala, 2002): probes of one random member per interval, indirect
// probes through other members, suspicion before death, incarnations to refute
// a false suspicion, and news carried on the probes themselves.
//
// A Table is used by one goroutine: the owner calls Tick about every 50 ms,
// Receive for each message, and sends what they return.
package membership

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/rattanthread/rattanthread/fleet"
)

// Table is one host's knowledge of all entry hosts. Self must be set before
// first use; the zero value of every other field is ready for use.
type Table struct {
	Self   fleet.Host
	Timing Timing
	// Random chooses whom to probe. Nil means a fixed seed.
	Random *rand.Rand

	version uint64
	local   State
	members map[fleet.HostID]*Member
}

// State is the version of the view that a host works by.
type State struct {
	_        struct{}       `cbor:",toarray"`
	Revision fleet.Revision // configuration in force
	Digest   uint64         // digest of the server records
}

// Tick advances the table to now and returns the probes and news to send.
func (t *Table) Tick(_ time.Time) []fleet.Send { return nil }

// Receive handles a message from a peer and returns the answers.
func (t *Table) Receive(_ time.Time, _ fleet.HostID, _ fleet.Message) []fleet.Send { return nil }

// Hint adds hosts that the platform's list or the settings name as candidates
// to probe. It never ends or revives a member.
func (t *Table) Hint(now time.Time, hosts []fleet.Host) {
	if t.members == nil {
		t.members = make(map[fleet.HostID]*Member)
	}
	for _, h := range hosts {
		if h.ID == t.Self.ID || t.members[h.ID] != nil {
			continue
		}
		t.members[h.ID] = &Member{Host: h, LastHeard: now}
		t.version++
	}
}

// SetLocal sets the view version of this host, which its probes announce.
func (t *Table) SetLocal(_ time.Time, s State) { t.local = s }

// Live returns the live hosts sorted by ID, this host included. A suspected
// host is live until its suspicion ends. The caller must not modify the slice.
func (t *Table) Live() []fleet.Host {
	live := []fleet.Host{t.Self}
	for _, m := range t.members {
		live = append(live, m.Host)
	}
	slices.SortFunc(live, func(a, b fleet.Host) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return live
}

// Settled reports whether every live host has acknowledged s, or the bounded
// wait since s became the local state has ended.
func (t *Table) Settled(_ time.Time, s State) bool { return s == t.local }

// Members returns every known host but this one, sorted by ID.
func (t *Table) Members() []Member { return nil }

// Lookup returns what is known of a host, live or not, so that it can be reached.
func (t *Table) Lookup(id fleet.HostID) (fleet.Host, bool) {
	if m := t.members[id]; m != nil {
		return m.Host, true
	}
	return fleet.Host{}, false
}

// Leave announces a planned stop and returns the announcements. The table
// sends nothing afterwards.
func (t *Table) Leave(_ time.Time) []fleet.Send { return nil }

// Stale reports whether this host was paused, so that others may have replaced
// it, and has not been confirmed since. A stale host must not decide anything
// that its earlier ownership or leases allowed.
func (t *Table) Stale(_ time.Time) bool { return false }

// Confirm records that the platform has confirmed that this host is live.
func (t *Table) Confirm(_ time.Time) {}

// Superseded reports whether a later incarnation of this host is known. Such a
// host must stop.
func (t *Table) Superseded() bool { return false }

// Changed returns a number that rises whenever Live or the answer of Settled
// can have changed.
func (t *Table) Changed() uint64 { return t.version }
