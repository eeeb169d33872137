package control

import (
	"time"

	"github.com/rattanthread/rattanthread/backend"
	"github.com/rattanthread/rattanthread/config"
	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/request"
)

// Event is something that happened at one entry host. Events are pointers to
// structs that the CBOR codec can encode.
type Event interface {
	EventKind() EventKind
}

// EventKind names a type of event, in snake case.
type EventKind string

// The kinds of event.
const (
	KindTick           EventKind = "tick"
	KindMessage        EventKind = "message"
	KindRevision       EventKind = "revision"
	KindAnswered       EventKind = "platform_answered"
	KindHosts          EventKind = "hosts"
	KindEvidence       EventKind = "evidence"
	KindClaim          EventKind = "claim"
	KindClaimEnded     EventKind = "claim_ended"
	KindClaimCancelled EventKind = "claim_cancelled"
	KindStop           EventKind = "stop"
)

// Tick tells that time has passed. The shell gives one every TickInterval.
type Tick struct{}

// EventKind returns KindTick.
func (*Tick) EventKind() EventKind { return KindTick }

// MessageReceived is a message from a peer whose key was verified.
type MessageReceived struct {
	From    fleet.HostID  `cbor:"from"`
	Message fleet.Message `cbor:"-"` // EncodeEvent writes it with its kind
}

// EventKind returns KindMessage.
func (*MessageReceived) EventKind() EventKind { return KindMessage }

// RevisionRead is a configuration that was read from the platform.
type RevisionRead struct {
	Revised config.Revised `cbor:"revised"`
}

// EventKind returns KindRevision.
func (*RevisionRead) EventKind() EventKind { return KindRevision }

// PlatformAnswered tells that the platform answered and had nothing newer than
// Revision.
type PlatformAnswered struct {
	Revision fleet.Revision `cbor:"revision"`
}

// EventKind returns KindAnswered.
func (*PlatformAnswered) EventKind() EventKind { return KindAnswered }

// HostsRead is the platform's list of entry hosts, which lags behind the truth.
type HostsRead struct {
	Hosts []fleet.Host `cbor:"hosts"`
}

// EventKind returns KindHosts.
func (*HostsRead) EventKind() EventKind { return KindHosts }

// EvidenceSeen is what this host's own traffic or a health report tells about a
// backend server.
type EvidenceSeen struct {
	Evidence backend.Evidence `cbor:"evidence"`
}

// EventKind returns KindEvidence.
func (*EvidenceSeen) EventKind() EventKind { return KindEvidence }

// ClaimAsked is a request with an idempotency key that arrived at this host. The
// Output names the attempt; its verdict comes in this or a later Output.
type ClaimAsked struct {
	Claim request.ClaimRequest `cbor:"claim"`
}

// EventKind returns KindClaim.
func (*ClaimAsked) EventKind() EventKind { return KindClaim }

// ClaimEnded tells how an attempt ended that a verdict allowed to run.
type ClaimEnded struct {
	Attempt request.AttemptID `cbor:"attempt"`
	Result  request.Result    `cbor:"result"`
}

// EventKind returns KindClaimEnded.
func (*ClaimEnded) EventKind() EventKind { return KindClaimEnded }

// ClaimCancelled tells that the caller left before the verdict came.
type ClaimCancelled struct {
	Attempt request.AttemptID `cbor:"attempt"`
}

// EventKind returns KindClaimCancelled.
func (*ClaimCancelled) EventKind() EventKind { return KindClaimCancelled }

// StopRequested asks for a planned stop: everything is handed over.
type StopRequested struct{}

// EventKind returns KindStop.
func (*StopRequested) EventKind() EventKind { return KindStop }

// TickInterval is how often the shell gives a Tick.
const TickInterval = 100 * time.Millisecond

// A host leaves the membership after a StopRequested once all its slots have new
// owners, between LeaveAfter and MaxLeave.
const (
	LeaveAfter = 1500 * time.Millisecond
	MaxLeave   = 4 * time.Second
)

// StaleAfter is how long the control state may stand still before traffic
// goroutines stop deciding by it: the process was paused, and others may have
// replaced it.
const StaleAfter = 2 * time.Second
