package membership

import (
	"net/netip"

	"github.com/rattanthread/rattanthread/fleet"
)

// Claim is a statement about one host. Of two claims about a host the one with
// the higher incarnation, then the higher refutation, then the later status
// prevails.
type Claim struct {
	_           struct{} `cbor:",toarray"`
	Host        fleet.HostID
	Status      Status
	Incarnation fleet.Incarnation
	// Refutation counts how often the host has denied a suspicion in this incarnation.
	Refutation uint32
	// Contact tells how to reach the host. Claims that peers can place without
	// it leave it out.
	Contact *Contact
}

// Contact is where a host is and how it is reached.
type Contact struct {
	_              struct{} `cbor:",toarray"`
	DataCentre     fleet.DataCentreID
	PeerAddress    netip.AddrPort
	HandoffAddress netip.AddrPort
}

// Header is the part which all messages share.
type Header struct {
	_     struct{} `cbor:",toarray"`
	Self  Claim    // the sender, with its Contact
	State State    // the sender's view version
	About Claim    // what the sender holds about the receiver
	Acks  Acks     // who has acknowledged State
	News  []Claim
}

// Acks names the hosts that are known to have acknowledged a State, by their
// place in the sorted list of live hosts.
type Acks struct {
	_        struct{} `cbor:",toarray"`
	List     uint32   // hash of the sender's list of live hosts
	Complete bool     // all have; Bits is then empty
	Bits     []byte   // bit i%8 of byte i/8 stands for host i of the list
}

// Ping asks the receiver for an Ack.
type Ping struct {
	Header   Header `cbor:"header"`
	Sequence uint64 `cbor:"sequence"`
}

// Ack answers a Ping, or relays the answer of Subject to a PingRequest.
type Ack struct {
	Header   Header       `cbor:"header"`
	Sequence uint64       `cbor:"sequence"` // of the Ping or PingRequest
	Subject  fleet.HostID `cbor:"subject"`  // the host that was probed
}

// PingRequest asks the receiver to probe Target on the sender's behalf.
type PingRequest struct {
	Header   Header       `cbor:"header"`
	Sequence uint64       `cbor:"sequence"`
	Target   fleet.HostID `cbor:"target"`
}

// Gossip carries news and asks for no answer.
type Gossip struct {
	Header Header `cbor:"header"`
}

// Fetch asks for the receiver's whole table unless its list of live hosts has
// the hash in Header.Acks.List.
type Fetch struct {
	Header Header `cbor:"header"`
}

// Snapshot is a part of a table, in answer to a Fetch.
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

// Messages returns one zero value of every message of this package.
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
