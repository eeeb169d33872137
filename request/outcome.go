package request

import (
	"time"

	"github.com/rattanthread/rattanthread/fleet"
)

// Outcome is how a request ended, as reported to the caller.
type Outcome string

// The outcomes. An empty outcome means that the request has not ended.
const (
	// Answered means that a server ran the request and the response is complete.
	Answered Outcome = "answered"
	// Refused means that this attempt did not run and will not run.
	Refused Outcome = "refused"
	// Unknown means that the request may have run, or may be running.
	Unknown Outcome = "unknown"
)

// EarlierAttempts is what a refusal reports about earlier attempts with the same
// key.
type EarlierAttempts string

// The values of EarlierAttempts. An empty value means EarlierUnknown.
const (
	EarlierNone    EarlierAttempts = "none"    // no earlier attempt ran
	EarlierUnknown EarlierAttempts = "unknown" // the owner of the key could not be reached
)

// Decision is what a verdict allows.
type Decision string

// The decisions.
const (
	DecisionRun      Decision = "run"      // this attempt may be sent to a server once
	DecisionReplay   Decision = "replay"   // an earlier attempt was answered; Answer holds what was stored
	DecisionUnknown  Decision = "unknown"  // an earlier attempt may have run
	DecisionRefused  Decision = "refused"  // this attempt must not run
	DecisionConflict Decision = "conflict" // the key belongs to another request
)

// Reason is why a request was refused, has an unknown outcome, or was retried.
// It labels counters and is reported to the caller.
type Reason string

// The reasons that a KeyTracker returns.
const (
	ReasonKeyFromFuture    Reason = "key_from_future"
	ReasonKeyExpired       Reason = "key_expired"
	ReasonKeyReused        Reason = "key_reused"
	ReasonKeysFull         Reason = "keys_full"
	ReasonHomeUnreachable  Reason = "home_unreachable"
	ReasonOwnerUnreachable Reason = "owner_unreachable"
	ReasonHistoryLost      Reason = "history_lost"
	ReasonHomeMoved        Reason = "home_moved"
	ReasonInProgress       Reason = "in_progress"
	ReasonOutcomeLost      Reason = "outcome_lost"
	ReasonDeadline         Reason = "deadline_exceeded"
	ReasonCancelled        Reason = "cancelled"
	ReasonStopping         Reason = "stopping"
	ReasonVerdictLate      Reason = "verdict_late"
)

// BodyHash identifies the method, target and body of a request.
type BodyHash [16]byte

// AttemptID identifies one attempt of one request at one host.
type AttemptID struct {
	Host        fleet.HostID      `cbor:"host"`
	Incarnation fleet.Incarnation `cbor:"incarnation"`
	Number      uint64            `cbor:"number"`
}

// ClaimRequest asks whether a request may run.
type ClaimRequest struct {
	Key      Key               `cbor:"key"`
	Service  fleet.ServiceName `cbor:"service"`
	Body     BodyHash          `cbor:"body"`
	Deadline time.Time         `cbor:"deadline"`
}

// Answer is a server's response as stored for replay.
type Answer struct {
	Status      int    `cbor:"status"`
	ContentType string `cbor:"content_type"`
	// Body is stored only if BodyKept is set; a long body is omitted.
	Body     []byte `cbor:"body"`
	BodyKept bool   `cbor:"body_kept"`
}

// Result is how one attempt ended.
type Result struct {
	Outcome Outcome `cbor:"outcome"`
	Reason  Reason  `cbor:"reason"`
	Answer  Answer  `cbor:"answer"`
}

// Verdict is the response to a ClaimRequest.
type Verdict struct {
	Attempt  AttemptID       `cbor:"attempt"`
	Decision Decision        `cbor:"decision"`
	Reason   Reason          `cbor:"reason"`
	Earlier  EarlierAttempts `cbor:"earlier"`
	Answer   Answer          `cbor:"answer"`
	// RetryAfter is the delay before another attempt is useful, if not zero.
	RetryAfter time.Duration `cbor:"retry_after"`
	// ValidUntil is when DecisionRun expires. From then on, the attempt must not
	// be sent and must be reported as refused.
	ValidUntil time.Time `cbor:"valid_until"`
}

// Effects are the messages and verdicts that an event results in.
type Effects struct {
	Sends    []fleet.Send
	Verdicts []Verdict
}

func (e *Effects) merge(other Effects) {
	e.Sends = append(e.Sends, other.Sends...)
	e.Verdicts = append(e.Verdicts, other.Verdicts...)
}
