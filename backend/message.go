package backend

import "github.com/rattanthread/rattanthread/fleet"

// PollID numbers the polls of one keeper; higher is later.
type PollID uint64

// AskID numbers the asks of one host; higher is later.
type AskID uint64

// CreditPoll is sent by a keeper to every host: who still regards the sender
// as keeper of Servers, and how much credit is wanted?
type CreditPoll struct {
	Poll    PollID       `cbor:"poll"`
	Servers []ServerPoll `cbor:"servers"`
}

// ServerPoll names one server that the sender keeps.
type ServerPoll struct {
	Server fleet.ServerID `cbor:"server"`
	// Succeeds is the keeper whose outstanding credit the sender has taken over
	// and counts as its own, or empty.
	Succeeds fleet.HostID `cbor:"succeeds"`
}

// CreditAsk answers a CreditPoll. It leaves the sender's share of the bounds
// of Servers to the keeper.
type CreditAsk struct {
	Poll PollID `cbor:"poll"`
	Ask  AskID  `cbor:"ask"`
	// Known is how many hosts the sender believes may be running.
	Known   int         `cbor:"known"`
	Servers []ServerAsk `cbor:"servers"`
}

// ServerAsk is what one host wants and saw of one server.
type ServerAsk struct {
	Server fleet.ServerID `cbor:"server"`
	// Wanted is how many new flows or requests the host could have given.
	Wanted int `cbor:"wanted"`
	// Stock asks for one unit although there was no demand, so that the next
	// new flow or request finds it.
	Stock bool `cbor:"stock,omitempty"`
	// Served counts the work that the server has done for the host so far.
	Served uint64 `cbor:"served"`
}

// CreditGrant answers a CreditAsk.
type CreditGrant struct {
	Ask    AskID         `cbor:"ask"`
	Grants []ServerGrant `cbor:"grants"`
}

// ServerGrant is the right to give Server that many new flows or requests.
type ServerGrant struct {
	Server fleet.ServerID `cbor:"server"`
	Count  int            `cbor:"count"`
}

// Alarm tells a keeper what another host found out about a server.
type Alarm struct {
	Server  fleet.ServerID `cbor:"server"`
	Finding uint8          `cbor:"finding"`
	// Incarnation and Sequence name the record that the finding is about.
	Incarnation fleet.Incarnation `cbor:"incarnation"`
	Sequence    fleet.Sequence    `cbor:"sequence"`
}

// Records carries records of backend servers.
type Records struct {
	Records []fleet.ServerRecord `cbor:"records"`
}

// RecordDigest starts an exchange of records if the receiver's digest differs.
type RecordDigest struct {
	Digest uint64 `cbor:"digest"`
}

// BucketDigests lists the digests of the sender's records by bucket. The
// receiver answers with its records of the buckets that differ.
type BucketDigests struct {
	Digests []uint64 `cbor:"digests"`
	// Reply asks the receiver to send its own bucket digests, too.
	Reply bool `cbor:"reply"`
}

// Handover passes the keeping of a server to the next keeper at a planned stop.
type Handover struct {
	Server fleet.ServerID `cbor:"server"`
	// Outstanding is how much granted credit may still be spent.
	Outstanding int     `cbor:"outstanding"`
	Progress    float64 `cbor:"progress"`
	// Incarnation and Sequence name the record that Progress belongs to.
	Incarnation fleet.Incarnation `cbor:"incarnation"`
	Sequence    fleet.Sequence    `cbor:"sequence"`
}

// Leave tells that the sender stops as planned and uses no share any more.
type Leave struct{}

// Kind implements fleet.Message.
func (*CreditPoll) Kind() fleet.MessageKind { return "backend_credit_poll" }

// Kind implements fleet.Message.
func (*CreditAsk) Kind() fleet.MessageKind { return "backend_credit_ask" }

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

// Messages returns one value of every message of the package, for the codec.
func Messages() []fleet.Message {
	return []fleet.Message{
		&CreditPoll{}, &CreditAsk{}, &CreditGrant{}, &Alarm{}, &Records{},
		&RecordDigest{}, &BucketDigests{}, &Handover{}, &Leave{},
	}
}
