package membership

import (
	"time"

	"github.com/rattanthread/rattanthread/fleet"
)

// Status is the state of a member as seen by this host.
type Status uint8

// The statuses of a member. Of two claims with the same incarnation and
// refutation, the one whose status is later in this list takes precedence.
const (
	Candidate Status = iota // added by AddCandidates; no message received yet
	Alive
	Suspect
	Dead
	Left
)

var statusNames = [...]string{"candidate", "alive", "suspect", "dead", "left"}

// String returns the lower-case name of the status.
func (s Status) String() string {
	if int(s) < len(statusNames) {
		return statusNames[s]
	}
	return "unknown"
}

// Member is the public record of one other host.
type Member struct {
	Host     fleet.Host
	Status   Status
	LastSeen time.Time // time of the last message from the host itself
	State    State     // last announced state
}

// member is the full record of one host.
type member struct {
	Member
	refutation       uint32
	since            time.Time // start of the current Status
	lastListed       time.Time // last passed to AddCandidates
	attempts         int       // unanswered pings to an unreachable member
	suspectedLocally bool      // a probe of this host raised the suspicion
	reportedDead     bool      // a peer claims that the member is dead; it is probed next
	acked            bool      // has acknowledged the local state
	contactChanged   bool      // Contact is part of the pending update
	pending          bool      // an update about the member is to be gossiped
	transmissions    int       // how often the update was sent
}

func (m *member) live() bool {
	return m.Status == Alive || m.Status == Suspect
}

// unreachable reports whether the member is not live but still pinged in case it
// responds.
func (m *member) unreachable() bool {
	return m.Status == Dead || m.Status == Candidate
}

func (m *member) claim(contact bool) Claim {
	c := Claim{Host: m.Host.ID, Status: m.Status, Incarnation: m.Host.Incarnation, Refutation: m.refutation}
	if contact {
		c.Contact = &Contact{
			DataCentre:     m.Host.DataCentre,
			PeerAddress:    m.Host.PeerAddress,
			HandoffAddress: m.Host.HandoffAddress,
		}
	}
	return c
}

// update copies the incarnation, refutation and contact of a claim.
func (m *member) update(claim Claim) {
	if claim.Incarnation != m.Host.Incarnation {
		m.acked = false
		m.State = State{}
	}
	m.Host.Incarnation = claim.Incarnation
	m.refutation = claim.Refutation
	if claim.Contact == nil {
		return
	}
	m.Host.DataCentre = claim.Contact.DataCentre
	m.Host.PeerAddress = claim.Contact.PeerAddress
	m.Host.HandoffAddress = claim.Contact.HandoffAddress
}

// compare returns +1 if the claim is newer than the member's record, 0 if both
// are equally new and -1 if the claim is older. It ignores the status.
func (m *member) compare(claim Claim) int {
	if m.Status == Candidate {
		return 1
	}
	if claim.Incarnation != m.Host.Incarnation {
		return compareUint64(uint64(claim.Incarnation), uint64(m.Host.Incarnation))
	}
	return compareUint64(uint64(claim.Refutation), uint64(m.refutation))
}

func compareUint64(a, b uint64) int {
	switch {
	case a > b:
		return 1
	case a < b:
		return -1
	}
	return 0
}
