package membership

import (
	"time"

	"github.com/rattanthread/rattanthread/fleet"
)

// Status is what this host holds about a member.
type Status uint8

// The statuses of a member. Of two claims of the same incarnation and
// refutation, the later in this list prevails.
const (
	Candidate Status = iota // named by a hint, not yet heard of
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
	Host      fleet.Host
	Status    Status
	LastHeard time.Time // last message from the host itself
	State     State     // last known view version
}

// member is the full record of one host.
type member struct {
	Member
	refutation uint32
	since      time.Time // of Status
	hinted     time.Time // last named by a hint
	attempts   int       // pings to a candidate that it has not answered
	suspector  bool      // this host's own probe raised the suspicion
	doubted    bool      // a peer claims that the member is dead; probe it
	acked      bool      // has acknowledged the local State
	moved      bool      // its Contact is news
	fresh      bool      // there is news of it to send
	sent       int       // how often the news was sent
}

func (m *member) live() bool {
	return m.Status == Alive || m.Status == Suspect
}

// lost reports whether the member is pinged in case it is back.
func (m *member) lost() bool {
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

// place takes over the incarnation, refutation and contact of a claim.
func (m *member) place(c Claim) {
	if c.Incarnation != m.Host.Incarnation {
		m.acked = false
		m.State = State{}
	}
	m.Host.Incarnation = c.Incarnation
	m.refutation = c.Refutation
	if c.Contact == nil {
		return
	}
	m.Host.DataCentre = c.Contact.DataCentre
	m.Host.PeerAddress = c.Contact.PeerAddress
	m.Host.HandoffAddress = c.Contact.HandoffAddress
}

// compare returns the order of the claim after the member's own record: above
// zero when the claim is the newer, ignoring the status.
func (m *member) compare(c Claim) int {
	if m.Status == Candidate {
		return 1
	}
	if c.Incarnation != m.Host.Incarnation {
		return order(uint64(c.Incarnation), uint64(m.Host.Incarnation))
	}
	return order(uint64(c.Refutation), uint64(m.refutation))
}

func order(a, b uint64) int {
	switch {
	case a > b:
		return 1
	case a < b:
		return -1
	}
	return 0
}
