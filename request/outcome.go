package request

import (
	"time"

	"github.com/rattanthread/rattanthread/fleet"
)

// Outcome is how a request ended, as told to the caller.
type Outcome string

// The outcomes. An empty outcome means that the request has not ended.
const (
	// Answered: a server ran the request, and the whole answer is given.
	Answered Outcome = "answered"
	// Refused: this attempt did not run and will not run.
	Refused Outcome = "refused"
	// Unknown: the request may have run, or may be running.
	Unknown Outcome = "unknown"
)

// Earlier tells, with a refusal, what is known of earlier attempts with the
// same key.
type Earlier string

// What can be known of earlier attempts. An empty value means EarlierUnknown.
const (
	EarlierNone    Earlier = "none"    // no earlier attempt ran
	EarlierUnknown Earlier = "unknown" // the owner of the key could not be asked
)

// Decision is what a verdict allows.
type Decision string

// The decisions.
const (
	DecisionRun      Decision = "run"      // this attempt may be sent to a server once
	DecisionReplay   Decision = "replay"   // an earlier attempt was answered; Answer holds what is kept
	DecisionUnknown  Decision = "unknown"  // an earlier attempt may have run
	DecisionRefused  Decision = "refused"  // this attempt must not run
	DecisionConflict Decision = "conflict" // the key belongs to another request
)

// Reason tells why a request was refused, is unknown, or was tried again. It
// labels counters and is told to the caller.
type Reason string

// The reasons that Keys gives.
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

// AttemptID names one attempt of one request at one host.
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

// Answer is a server's answer as kept for replay.
type Answer struct {
	Status      int    `cbor:"status"`
	ContentType string `cbor:"content_type"`
	// Body is kept if BodyKept is set; a long body is not.
	Body     []byte `cbor:"body"`
	BodyKept bool   `cbor:"body_kept"`
}

// Result is how one attempt ended.
type Result struct {
	Outcome Outcome `cbor:"outcome"`
	Reason  Reason  `cbor:"reason"`
	Answer  Answer  `cbor:"answer"`
}

// Verdict answers a claim.
type Verdict struct {
	Attempt  AttemptID `cbor:"attempt"`
	Decision Decision  `cbor:"decision"`
	Reason   Reason    `cbor:"reason"`
	Earlier  Earlier   `cbor:"earlier"`
	Answer   Answer    `cbor:"answer"`
	// RetryAfter is when another attempt makes sense, if not zero.
	RetryAfter time.Duration `cbor:"retry_after"`
	// ValidUntil bounds the use of DecisionRun. After it the attempt must be
	// reported as refused instead.
	ValidUntil time.Time `cbor:"valid_until"`
}

// Effects are what an event led to.
type Effects struct {
	Sends    []fleet.Send
	Verdicts []Verdict
}

func (e *Effects) merge(other Effects) {
	e.Sends = append(e.Sends, other.Sends...)
	e.Verdicts = append(e.Verdicts, other.Verdicts...)
}
