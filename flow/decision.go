package flow

import (
	"net/netip"
	"time"

	"github.com/rattanthread/rattanthread/fleet"
)

// Input describes the packet that a decision is made for.
type Input struct {
	Key fleet.FlowKey
	// SYN, ACK, FIN and RST are the TCP flags; all are false for UDP.
	SYN, ACK, FIN, RST bool
	// Handed is true for a packet that the peer From handed off to this host.
	// Such a packet is never handed off again.
	Handed bool
	From   fleet.HostID
	// PayloadLen is the number of bytes that follow the transport header.
	PayloadLen int
	// Sequence and Acknowledgement are the TCP sequence and acknowledgement numbers.
	Sequence, Acknowledgement uint32
}

// Action is the treatment of a packet.
type Action uint8

// The actions. The zero value drops the packet.
const (
	Drop    Action = iota
	Forward        // encapsulate and send to Decision.Address
	HandOff        // send to the peer Decision.Host
	Reset          // send a TCP reset to the caller; drop packets of other protocols
)

var actionNames = [...]string{"drop", "forward", "hand_off", "reset"}

// String returns the name of the action in snake case.
func (a Action) String() string {
	if int(a) < len(actionNames) {
		return actionNames[a]
	}
	return "unknown"
}

// Decision is the treatment of one packet and the reason for it.
type Decision struct {
	Action  Action
	Service fleet.ServiceName
	Server  fleet.ServerID // for Forward
	Address netip.AddrPort // for Forward
	Host    fleet.HostID   // for HandOff
	// SilentTimeout is the silent timeout of the service, for SilenceDetector.Observe.
	SilentTimeout time.Duration
	Reason        Reason
}

// Reason is why a decision was made. Each reason has its own counter.
type Reason string

// The reasons of decisions.
const (
	ReasonTable          Reason = "table"           // forwarded: the slot has one server
	ReasonRecord         Reason = "record"          // forwarded: the flow is recorded
	ReasonAgreed         Reason = "agreed"          // forwarded: an unrecorded flow of a split slot
	ReasonOrphaned       Reason = "orphaned"        // forwarded: an unrecorded flow whose agreed server is out of service or removed
	ReasonPlaced         Reason = "placed"          // forwarded: a new flow in a split slot
	ReasonReused         Reason = "reused"          // forwarded: a new flow that reuses the five-tuple of an ended one
	ReasonLate           Reason = "late"            // forwarded: a packet of a recorded flow after its end
	ReasonSplit          Reason = "split"           // handed off: the owner of the slot decides
	ReasonUnknownAddress Reason = "unknown_address" // dropped: no service has this address
	ReasonNotReady       Reason = "not_ready"       // dropped: the host does not have the list of split slots yet
	ReasonNotOwner       Reason = "not_owner"       // dropped: handed off to a host that does not own the slot
	ReasonAcquiring      Reason = "acquiring"       // dropped: the new owner has not fetched the slot's records yet
	ReasonInquiring      Reason = "inquiring"       // dropped: a host behind a network partition may have a record of the flow
	ReasonUnsettled      Reason = "unsettled"       // dropped: a new flow that no server may accept yet
	ReasonNoServer       Reason = "no_server"       // reset: no server admits new flows
	ReasonRecordsFull    Reason = "records_full"    // reset: the flow needs a record and the limit is reached
	ReasonServerOut      Reason = "server_out"      // reset: the data centre of the flow's server is out of service
	ReasonServerGone     Reason = "server_gone"     // reset: the flow's server is no longer configured
)

// Reasons returns all reasons, so that their counters can be initialized to zero.
func Reasons() []Reason {
	return []Reason{
		ReasonTable, ReasonRecord, ReasonAgreed, ReasonOrphaned, ReasonPlaced, ReasonReused, ReasonLate, ReasonSplit,
		ReasonUnknownAddress, ReasonNotReady, ReasonNotOwner, ReasonAcquiring, ReasonInquiring, ReasonUnsettled,
		ReasonNoServer, ReasonRecordsFull, ReasonServerOut, ReasonServerGone,
	}
}
