package request

import (
	"time"

	"github.com/rattanthread/rattanthread/fleet"
)

// ClaimAsk asks the owner of a key whether an attempt may run. It is repeated
// until a verdict comes.
type ClaimAsk struct {
	Attempt  AttemptID         `cbor:"attempt"`
	Key      string            `cbor:"key"`
	Service  fleet.ServiceName `cbor:"service"`
	Body     BodyHash          `cbor:"body"`
	TimeLeft time.Duration     `cbor:"time_left"` // until the attempt's deadline
}

// ClaimAnswer is the owner's verdict, or tells that the attempt waits for
// another one.
type ClaimAnswer struct {
	Attempt    AttemptID     `cbor:"attempt"`
	Waiting    bool          `cbor:"waiting"`
	Decision   Decision      `cbor:"decision"`
	Reason     Reason        `cbor:"reason"`
	Earlier    Earlier       `cbor:"earlier"`
	Answer     Answer        `cbor:"answer"`
	RetryAfter time.Duration `cbor:"retry_after"`
}

// ClaimRecord is the state of one key as copied between hosts.
type ClaimRecord struct {
	Key      string            `cbor:"key"`
	Service  fleet.ServiceName `cbor:"service"`
	Body     BodyHash          `cbor:"body"`
	State    ClaimState        `cbor:"state"`
	Version  uint64            `cbor:"version"`
	Attempt  AttemptID         `cbor:"attempt"`
	TimeLeft time.Duration     `cbor:"time_left"`
	Result   Result            `cbor:"result"`
}

// ClaimCopy carries a claim from the owner to the successor.
type ClaimCopy struct {
	Ring  RingID      `cbor:"ring"`
	Claim ClaimRecord `cbor:"claim"`
}

// ClaimCopied acknowledges a ClaimCopy.
type ClaimCopied struct {
	Ring    RingID `cbor:"ring"`
	Key     string `cbor:"key"`
	Version uint64 `cbor:"version"`
}

// ResultReport tells the owner how an attempt ended. It is repeated until it
// is acknowledged.
type ResultReport struct {
	Attempt AttemptID         `cbor:"attempt"`
	Key     string            `cbor:"key"`
	Service fleet.ServiceName `cbor:"service"`
	Body    BodyHash          `cbor:"body"`
	Result  Result            `cbor:"result"`
}

// ResultAck acknowledges a ResultReport.
type ResultAck struct {
	Attempt AttemptID `cbor:"attempt"`
}

// LeaseAsk asks a host of the same data centre for a promise to let the sender
// act as owner by the given ring.
type LeaseAsk struct {
	Ring        RingID            `cbor:"ring"`
	Incarnation fleet.Incarnation `cbor:"incarnation"`
	Number      uint64            `cbor:"number"`
	// Digest is of the members that the sender believes may be running. Members
	// lists them after the receiver has told that it believes otherwise.
	Digest  RingID        `cbor:"digest"`
	Members []KnownMember `cbor:"members"`
}

// LeasePromise answers a LeaseAsk. If Given is not set, Members tells which
// members the sender believes may be running.
type LeasePromise struct {
	Ring    RingID        `cbor:"ring"`
	Number  uint64        `cbor:"number"`
	Given   bool          `cbor:"given"`
	Settled bool          `cbor:"settled"` // the sender has fetched all claims for the ring
	Members []KnownMember `cbor:"members"`
}

// HistoryAsk asks a peer for the claims that the sender needs in a new ring.
type HistoryAsk struct {
	Ring RingID `cbor:"ring"`
	// Cursor is the last key received so far, or empty.
	Cursor string `cbor:"cursor"`
	// Settled is the ring whose claims the sender had all, Since ago.
	Settled RingID        `cbor:"settled"`
	Since   time.Duration `cbor:"since"`
}

// HistoryPart answers a HistoryAsk.
type HistoryPart struct {
	Ring   RingID        `cbor:"ring"`
	Cursor string        `cbor:"cursor"`
	Last   bool          `cbor:"last"`
	Claims []ClaimRecord `cbor:"claims"`
	// Rings are those that the sender has acted in since it was last settled.
	Rings    []Ring `cbor:"rings"`
	Overflow bool   `cbor:"overflow"` // Rings is not complete
	Settled  bool   `cbor:"settled"`  // the sender was settled at least once
	Gaps     []Gap  `cbor:"gaps"`
}

// KeysLeave tells that a member has stopped as planned, or is known to be gone,
// and acts as owner no more.
type KeysLeave struct {
	Member Member `cbor:"member"`
}

// Kind implements fleet.Message.
func (*ClaimAsk) Kind() fleet.MessageKind { return "request_claim_ask" }

// Kind implements fleet.Message.
func (*ClaimAnswer) Kind() fleet.MessageKind { return "request_claim_answer" }

// Kind implements fleet.Message.
func (*ClaimCopy) Kind() fleet.MessageKind { return "request_claim_copy" }

// Kind implements fleet.Message.
func (*ClaimCopied) Kind() fleet.MessageKind { return "request_claim_copied" }

// Kind implements fleet.Message.
func (*ResultReport) Kind() fleet.MessageKind { return "request_result_report" }

// Kind implements fleet.Message.
func (*ResultAck) Kind() fleet.MessageKind { return "request_result_ack" }

// Kind implements fleet.Message.
func (*LeaseAsk) Kind() fleet.MessageKind { return "request_lease_ask" }

// Kind implements fleet.Message.
func (*LeasePromise) Kind() fleet.MessageKind { return "request_lease_promise" }

// Kind implements fleet.Message.
func (*HistoryAsk) Kind() fleet.MessageKind { return "request_history_ask" }

// Kind implements fleet.Message.
func (*HistoryPart) Kind() fleet.MessageKind { return "request_history_part" }

// Kind implements fleet.Message.
func (*KeysLeave) Kind() fleet.MessageKind { return "request_keys_leave" }

// Messages returns one value of every message of the package, for the codec.
func Messages() []fleet.Message {
	return []fleet.Message{
		&ClaimAsk{}, &ClaimAnswer{}, &ClaimCopy{}, &ClaimCopied{}, &ResultReport{}, &ResultAck{},
		&LeaseAsk{}, &LeasePromise{}, &HistoryAsk{}, &HistoryPart{}, &KeysLeave{},
	}
}
