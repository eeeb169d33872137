package membership

import (
	"net/netip"

	"github.com/rattanthread/rattanthread/fleet"
)

// Claim is a statement about the status of one host. Of two claims about a host,
// the one with the higher incarnation, then the higher refutation, then the
// later status takes precedence.
type Claim struct {
	_           struct{} `cbor:",toarray"`
	Host        fleet.HostID
	Status      Status
	Incarnation fleet.Incarnation
	// Refutation counts the suspicions that the host has refuted in this incarnation.
	Refutation uint32
	// Contact is nil in claims about hosts whose addresses the receiver is
	// expected to have already.
	Contact *Contact
}

// Contact is the location and the addresses of a host.
type Contact struct {
	_              struct{} `cbor:",toarray"`
	DataCentre     fleet.DataCentreID
	PeerAddress    netip.AddrPort
	HandoffAddress netip.AddrPort
}

// Header is the common part of all messages.
type Header struct {
	_       struct{} `cbor:",toarray"`
	Self    Claim    // claim about the sender, with its Contact
	State   State    // the sender's state
	About   Claim    // the sender's claim about the receiver
	Acks    Acks     // the hosts that have acknowledged State
	Updates []Claim
}

// Acks is the set of hosts that have acknowledged a State, as a bitmap over the
// sorted list of live hosts.
type Acks struct {
	_        struct{} `cbor:",toarray"`
	ListHash uint32   // hash of the sender's list of live hosts
	Complete bool     // all hosts have acknowledged; Bits is then empty
	Bits     []byte   // bit i%8 of byte i/8 is host i of the list
}

// Ping requests an Ack from the receiver.
type Ping struct {
	Header   Header `cbor:"header"`
	Sequence uint64 `cbor:"sequence"`
}

// Ack is the response to a Ping, or the relayed response of Subject to a PingRequest.
type Ack struct {
	Header   Header       `cbor:"header"`
	Sequence uint64       `cbor:"sequence"` // of the Ping or PingRequest
	Subject  fleet.HostID `cbor:"subject"`  // the host that was probed
}

// PingRequest requests that the receiver pings Target on the sender's behalf.
type PingRequest struct {
	Header   Header       `cbor:"header"`
	Sequence uint64       `cbor:"sequence"`
	Target   fleet.HostID `cbor:"target"`
}

// Gossip carries updates and requires no response.
type Gossip struct {
	Header Header `cbor:"header"`
}

// Fetch requests the receiver's whole table unless the receiver's list of live
// hosts has the hash in Header.Acks.ListHash.
type Fetch struct {
	Header Header `cbor:"header"`
}

// Snapshot is one part of a table, sent in response to a Fetch.
type Snapshot struct {
	Header Header  `cbor:"header"`
	Claims []Claim `cbor:"claims"`
}

// Kind implements fleet.Message.
func (*Ping) Kind() fleet.MessageKind { return "membership_ping" }

// Kind implements fleet.Message.
func (*Ack) Kind() fleet.MessageKind { return "membership_ack" }

// Kind implements fleet.Message.
func (*PingRequest) Kind() fleet.MessageKind { return "membership_ping_request" }

// Kind implements fleet.Message.
func (*Gossip) Kind() fleet.MessageKind { return "membership_gossip" }

// Kind implements fleet.Message.
func (*Fetch) Kind() fleet.MessageKind { return "membership_fetch" }

// Kind implements fleet.Message.
func (*Snapshot) Kind() fleet.MessageKind { return "membership_snapshot" }

// Messages returns a zero value of each message type of this package.
func Messages() []fleet.Message {
	return []fleet.Message{&Ping{}, &Ack{}, &PingRequest{}, &Gossip{}, &Fetch{}, &Snapshot{}}
}

func headerOf(m fleet.Message) *Header {
	switch m := m.(type) {
	case *Ping:
		return &m.Header
	case *Ack:
		return &m.Header
	case *PingRequest:
		return &m.Header
	case *Gossip:
		return &m.Header
	case *Fetch:
		return &m.Header
	case *Snapshot:
		return &m.Header
	}
	return nil
}
