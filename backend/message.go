package backend

import "github.com/rattanthread/rattanthread/fleet"

// PollID numbers the polls of one allocator; higher is later.
type PollID uint64

// CreditRequestID numbers the credit requests of one host; higher is later.
type CreditRequestID uint64

// CreditPoll is sent by an allocator to every host. It asks for the host's share of
// the bounds of Servers, and for the credit that the host wants.
type CreditPoll struct {
	Poll    PollID       `cbor:"poll"`
	Servers []ServerPoll `cbor:"servers"`
}

// ServerPoll identifies one server of which the sender is the allocator.
type ServerPoll struct {
	Server fleet.ServerID `cbor:"server"`
	// Predecessor is the allocator whose outstanding credit the sender has taken
	// over and counts as its own, or empty.
	Predecessor fleet.HostID `cbor:"succeeds"`
}

// CreditRequest responds to a CreditPoll. It promises the sender's share of the bounds
// of Servers to the allocator.
type CreditRequest struct {
	Poll PollID          `cbor:"poll"`
	ID   CreditRequestID `cbor:"ask"`
	// KnownHosts is how many hosts may be running, according to the sender.
	KnownHosts int            `cbor:"known"`
	Servers    []ServerDemand `cbor:"servers"`
}

// ServerDemand is the demand of one host for one server, and the work served for it.
type ServerDemand struct {
	Server fleet.ServerID `cbor:"server"`
	// Wanted is how many new flows or requests the host could have sent.
	Wanted int `cbor:"wanted"`
	// Prefetch requests one unit in the absence of demand, for the next new flow or
	// request.
	Prefetch bool `cbor:"stock,omitempty"`
	// Served counts the work that the server has served for the host so far.
	Served uint64 `cbor:"served"`
}

// CreditGrant responds to a CreditRequest.
type CreditGrant struct {
	Request CreditRequestID `cbor:"ask"`
	Grants  []ServerGrant   `cbor:"grants"`
}

// ServerGrant is the right to send Count new flows or requests to Server.
type ServerGrant struct {
	Server fleet.ServerID `cbor:"server"`
	Count  int            `cbor:"count"`
}

// Alarm reports another host's finding about a server to the allocator.
type Alarm struct {
	Server  fleet.ServerID `cbor:"server"`
	Finding uint8          `cbor:"finding"`
	// Incarnation and Sequence identify the record that the finding is about.
	Incarnation fleet.Incarnation `cbor:"incarnation"`
	Sequence    fleet.Sequence    `cbor:"sequence"`
}

// Records carries records of backend servers.
type Records struct {
	Records []fleet.ServerRecord `cbor:"records"`
}

// RecordDigest starts an exchange of records if it differs from the receiver's digest.
type RecordDigest struct {
	Digest uint64 `cbor:"digest"`
}

// BucketDigests lists the digests of the sender's records by bucket. The
// receiver responds with its records of the buckets that differ.
type BucketDigests struct {
	Digests []uint64 `cbor:"digests"`
	// Reply requests the bucket digests of the receiver as well.
	Reply bool `cbor:"reply"`
}

// Handover transfers a server to the next allocator at a planned stop.
type Handover struct {
	Server fleet.ServerID `cbor:"server"`
	// Outstanding is how much granted credit may still be spent.
	Outstanding int     `cbor:"outstanding"`
	Progress    float64 `cbor:"progress"`
	// Incarnation and Sequence identify the record that Progress belongs to.
	Incarnation fleet.Incarnation `cbor:"incarnation"`
	Sequence    fleet.Sequence    `cbor:"sequence"`
}

// Leave announces a planned stop of the sender, which no longer uses its shares.
type Leave struct{}

// Kind implements fleet.Message.
func (*CreditPoll) Kind() fleet.MessageKind { return "backend_credit_poll" }

// Kind implements fleet.Message.
func (*CreditRequest) Kind() fleet.MessageKind { return "backend_credit_ask" }

// Kind implements fleet.Message.
func (*CreditGrant) Kind() fleet.MessageKind { return "backend_credit_grant" }

// Kind implements fleet.Message.
func (*Alarm) Kind() fleet.MessageKind { return "backend_alarm" }

// Kind implements fleet.Message.
func (*Records) Kind() fleet.MessageKind { return "backend_records" }

// Kind implements fleet.Message.
func (*RecordDigest) Kind() fleet.MessageKind { return "backend_record_digest" }

// Kind implements fleet.Message.
func (*BucketDigests) Kind() fleet.MessageKind { return "backend_bucket_digests" }

// Kind implements fleet.Message.
func (*Handover) Kind() fleet.MessageKind { return "backend_handover" }

// Kind implements fleet.Message.
func (*Leave) Kind() fleet.MessageKind { return "backend_leave" }

// Messages returns one value of each message type of the package, for the codec.
func Messages() []fleet.Message {
	return []fleet.Message{
		&CreditPoll{}, &CreditRequest{}, &CreditGrant{}, &Alarm{}, &Records{},
		&RecordDigest{}, &BucketDigests{}, &Handover{}, &Leave{},
	}
}
