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
