package request

import (
	"time"

	"github.com/rattanthread/rattanthread/fleet"
)

// ClaimQuery asks the owner of a key whether an attempt may run. It is resent
// until a verdict arrives.
type ClaimQuery struct {
	Attempt  AttemptID         `cbor:"attempt"`
	Key      string            `cbor:"key"`
	Service  fleet.ServiceName `cbor:"service"`
	Body     BodyHash          `cbor:"body"`
	TimeLeft time.Duration     `cbor:"time_left"` // until the attempt's deadline
}

// ClaimResponse contains the owner's verdict, or reports that the attempt waits
// for the outcome of another attempt.
type ClaimResponse struct {
	Attempt    AttemptID       `cbor:"attempt"`
	Waiting    bool            `cbor:"waiting"`
	Decision   Decision        `cbor:"decision"`
	Reason     Reason          `cbor:"reason"`
	Earlier    EarlierAttempts `cbor:"earlier"`
	Answer     Answer          `cbor:"answer"`
	RetryAfter time.Duration   `cbor:"retry_after"`
}

// ClaimRecord is the state of one key as transferred between hosts.
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

// ClaimCopy replicates a claim from the owner to the successor.
type ClaimCopy struct {
	Ring  RingID      `cbor:"ring"`
	Claim ClaimRecord `cbor:"claim"`
}

// ClaimCopyAck acknowledges a ClaimCopy.
type ClaimCopyAck struct {
	Ring    RingID `cbor:"ring"`
	Key     string `cbor:"key"`
	Version uint64 `cbor:"version"`
}

// ResultReport reports the result of an attempt to the owner. It is resent until
// it is acknowledged.
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

// LeaseRequest asks a host of the same data centre for a promise that the sender
// may act as owner in the given ring.
type LeaseRequest struct {
	Ring        RingID            `cbor:"ring"`
	Incarnation fleet.Incarnation `cbor:"incarnation"`
	Number      uint64            `cbor:"number"`
	// Digest is the hash of the members that the sender counts as possibly
	// running. Members lists them if the receiver has reported a different set.
	Digest  RingID        `cbor:"digest"`
	Members []KnownMember `cbor:"members"`
}

// LeasePromise responds to a LeaseRequest. If Given is not set, Members lists
// the members that the sender counts as possibly running.
type LeasePromise struct {
	Ring    RingID        `cbor:"ring"`
	Number  uint64        `cbor:"number"`
	Given   bool          `cbor:"given"`
	Settled bool          `cbor:"settled"` // the sender has fetched all claims for the ring
	Members []KnownMember `cbor:"members"`
}

// HistoryRequest asks a peer for the claims that the sender needs in a new ring.
type HistoryRequest struct {
	Ring RingID `cbor:"ring"`
	// Cursor is the last key received so far, or empty.
	Cursor string `cbor:"cursor"`
	// Settled is the last ring for which the sender had all claims, Since ago.
	Settled RingID        `cbor:"settled"`
	Since   time.Duration `cbor:"since"`
}

// HistoryPart responds to a HistoryRequest.
type HistoryPart struct {
	Ring   RingID        `cbor:"ring"`
	Cursor string        `cbor:"cursor"`
	Last   bool          `cbor:"last"`
	Claims []ClaimRecord `cbor:"claims"`
	// Rings are the rings that the sender has acted in since it last settled.
	Rings    []Ring `cbor:"rings"`
	Overflow bool   `cbor:"overflow"` // Rings is incomplete
	Settled  bool   `cbor:"settled"`  // the sender has settled at least once
	Gaps     []Gap  `cbor:"gaps"`
}

// MemberDeparted reports that a member has stopped as planned, or is confirmed
// to have departed, and no longer acts as owner.
type MemberDeparted struct {
	Member Member `cbor:"member"`
}

// Kind implements fleet.Message.
func (*ClaimQuery) Kind() fleet.MessageKind { return "request_claim_ask" }

// Kind implements fleet.Message.
func (*ClaimResponse) Kind() fleet.MessageKind { return "request_claim_answer" }

// Kind implements fleet.Message.
func (*ClaimCopy) Kind() fleet.MessageKind { return "request_claim_copy" }

// Kind implements fleet.Message.
func (*ClaimCopyAck) Kind() fleet.MessageKind { return "request_claim_copied" }

// Kind implements fleet.Message.
func (*ResultReport) Kind() fleet.MessageKind { return "request_result_report" }

// Kind implements fleet.Message.
func (*ResultAck) Kind() fleet.MessageKind { return "request_result_ack" }

// Kind implements fleet.Message.
func (*LeaseRequest) Kind() fleet.MessageKind { return "request_lease_ask" }

// Kind implements fleet.Message.
func (*LeasePromise) Kind() fleet.MessageKind { return "request_lease_promise" }

// Kind implements fleet.Message.
func (*HistoryRequest) Kind() fleet.MessageKind { return "request_history_ask" }

// Kind implements fleet.Message.
func (*HistoryPart) Kind() fleet.MessageKind { return "request_history_part" }

// Kind implements fleet.Message.
func (*MemberDeparted) Kind() fleet.MessageKind { return "request_keys_leave" }

// Messages returns one value of each message type of the package, for the codec.
func Messages() []fleet.Message {
	return []fleet.Message{
		&ClaimQuery{}, &ClaimResponse{}, &ClaimCopy{}, &ClaimCopyAck{}, &ResultReport{}, &ResultAck{},
		&LeaseRequest{}, &LeasePromise{}, &HistoryRequest{}, &HistoryPart{}, &MemberDeparted{},
	}
}
