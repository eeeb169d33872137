package control

import (
	"time"

	"github.com/rattanthread/rattanthread/backend"
	"github.com/rattanthread/rattanthread/config"
	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/request"
)

// Event is an event at one entry host. Events are pointers to structs that the
// CBOR codec can encode.
type Event interface {
	EventKind() EventKind
}

// EventKind is the name of an event type in snake case.
type EventKind string

// The kinds of event.
const (
	KindTick             EventKind = "tick"
	KindMessage          EventKind = "message"
	KindRevision         EventKind = "revision"
	KindPlatformAnswered EventKind = "platform_answered"
	KindHosts            EventKind = "hosts"
	KindEvidence         EventKind = "evidence"
	KindClaim            EventKind = "claim"
	KindClaimEnded       EventKind = "claim_ended"
	KindClaimCancelled   EventKind = "claim_cancelled"
	KindStop             EventKind = "stop"
)

// Tick is the event that advances time. It occurs every TickInterval.
type Tick struct{}

// EventKind returns KindTick.
func (*Tick) EventKind() EventKind { return KindTick }

// MessageReceived is the receipt of a message from a peer whose key was verified.
type MessageReceived struct {
	From    fleet.HostID  `cbor:"from"`
	Message fleet.Message `cbor:"-"` // EncodeEvent encodes it separately, with its kind
}

// EventKind returns KindMessage.
func (*MessageReceived) EventKind() EventKind { return KindMessage }

// RevisionRead is the read of a configuration from the platform.
type RevisionRead struct {
	Published config.PublishedSet `cbor:"revised"`
}

// EventKind returns KindRevision.
func (*RevisionRead) EventKind() EventKind { return KindRevision }

// PlatformAnswered is a response of the platform that contained no newer revision
// than Revision.
type PlatformAnswered struct {
	Revision fleet.Revision `cbor:"revision"`
}

// EventKind returns KindPlatformAnswered.
func (*PlatformAnswered) EventKind() EventKind { return KindPlatformAnswered }

// HostsRead is the read of the platform's list of entry hosts, which may be out of
// date.
type HostsRead struct {
	Hosts []fleet.Host `cbor:"hosts"`
}

// EventKind returns KindHosts.
func (*HostsRead) EventKind() EventKind { return KindHosts }

// EvidenceSeen is evidence of the state of a backend server, from this host's
// traffic or a health report.
type EvidenceSeen struct {
	Evidence backend.Evidence `cbor:"evidence"`
}

// EventKind returns KindEvidence.
func (*EvidenceSeen) EventKind() EventKind { return KindEvidence }

// ClaimRequested is the arrival of a request with an idempotency key. The Output
// identifies the attempt; the verdict is in the same or a later Output.
type ClaimRequested struct {
	Claim request.ClaimRequest `cbor:"claim"`
}

// EventKind returns KindClaim.
func (*ClaimRequested) EventKind() EventKind { return KindClaim }

// ClaimEnded is the end of an attempt that a verdict allowed to run.
type ClaimEnded struct {
	Attempt request.AttemptID `cbor:"attempt"`
	Result  request.Result    `cbor:"result"`
}

// EventKind returns KindClaimEnded.
func (*ClaimEnded) EventKind() EventKind { return KindClaimEnded }

// ClaimCancelled is the disconnection of a caller before the verdict on its claim.
type ClaimCancelled struct {
	Attempt request.AttemptID `cbor:"attempt"`
}

// EventKind returns KindClaimCancelled.
func (*ClaimCancelled) EventKind() EventKind { return KindClaimCancelled }

// StopRequested requests a planned stop, in which the host hands over its state.
type StopRequested struct{}

// EventKind returns KindStop.
func (*StopRequested) EventKind() EventKind { return KindStop }

// TickInterval is the time between Tick events.
const TickInterval = 100 * time.Millisecond

// After a StopRequested, a host leaves the membership once all its slots have new
// owners, but not before MinLeaveDelay and not later than MaxLeaveDelay.
const (
	MinLeaveDelay = 1500 * time.Millisecond
	MaxLeaveDelay = 4 * time.Second
)

// StaleAfter is the time since the last Step after which traffic goroutines must
// not use the control state: the process was paused, and other hosts may have
// replaced it.
const StaleAfter = 2 * time.Second
