package flow

import (
	"net/netip"
	"time"

	"github.com/rattanthread/rattanthread/fleet"
)

// Input is what a decision needs to know of one packet.
type Input struct {
	Key fleet.FlowKey
	// SYN, ACK, FIN and RST are the TCP flags; all are false for UDP.
	SYN, ACK, FIN, RST bool
	// Handed is true for a packet that the peer From handed on. Such a packet
	// is never handed on again.
	Handed bool
	From   fleet.HostID
	// PayloadLen is the number of bytes after the transport header.
	PayloadLen int
	// Sequence and Acknowledgement are the numbers of the TCP header.
	Sequence, Acknowledgement uint32
}

// Action is what to do with a packet.
type Action uint8

// The actions. The zero value drops the packet.
const (
	Drop    Action = iota
	Forward        // encapsulate to Decision.Address
	HandOff        // hand to the peer Decision.Host
	Reset          // answer the caller with a TCP reset; drop other protocols
)

var actionNames = [...]string{"drop", "forward", "hand_off", "reset"}

// String returns the snake-case name of the action.
func (a Action) String() string {
	if int(a) < len(actionNames) {
		return actionNames[a]
	}
	return "unknown"
}

// Decision is what to do with one packet, and why.
type Decision struct {
	Action  Action
	Service fleet.ServiceName
	Server  fleet.ServerID // for Forward
	Address netip.AddrPort // for Forward
	Host    fleet.HostID   // for HandOff
	// SilentTimeout is that of the service; for Silence.Observe.
	SilentTimeout time.Duration
	Reason        Reason
}

// Reason tells why a decision was made. There is one counter for each.
type Reason string

// The reasons of decisions.
const (
	ReasonTable          Reason = "table"           // forwarded: the slot has one server
	ReasonRecord         Reason = "record"          // forwarded: the flow is recorded
	ReasonAgreed         Reason = "agreed"          // forwarded: an unrecorded flow of a split slot
	ReasonOrphaned       Reason = "orphaned"        // forwarded: an unrecorded flow whose agreed server is out or gone
	ReasonPlaced         Reason = "placed"          // forwarded: a new flow in a split slot
	ReasonReused         Reason = "reused"          // forwarded: a new flow with the five-tuple of one that ended
	ReasonLate           Reason = "late"            // forwarded: a packet of a recorded flow that has ended
	ReasonSplit          Reason = "split"           // handed off: the owner of the slot decides
	ReasonUnknownAddress Reason = "unknown_address" // dropped: no service has this address
	ReasonNotReady       Reason = "not_ready"       // dropped: split slots are not known yet
	ReasonNotOwner       Reason = "not_owner"       // dropped: handed to a host that does not own the slot
	ReasonAcquiring      Reason = "acquiring"       // dropped: the new owner does not know the slot's flows yet
	ReasonInquiring      Reason = "inquiring"       // dropped: hosts that were cut off may know the flow
	ReasonUnsettled      Reason = "unsettled"       // dropped: a new flow that no server may have yet
	ReasonNoServer       Reason = "no_server"       // reset: no server takes new flows
	ReasonRecordsFull    Reason = "records_full"    // reset: the flow would need a record, and none is free
	ReasonServerOut      Reason = "server_out"      // reset: the data centre of the flow's server was taken out
	ReasonServerGone     Reason = "server_gone"     // reset: the flow's server is no longer configured
)

// Reasons returns all reasons, so that their counters can stand at zero.
func Reasons() []Reason {
	return []Reason{
		ReasonTable, ReasonRecord, ReasonAgreed, ReasonOrphaned, ReasonPlaced, ReasonReused, ReasonLate, ReasonSplit,
		ReasonUnknownAddress, ReasonNotReady, ReasonNotOwner, ReasonAcquiring, ReasonInquiring, ReasonUnsettled,
		ReasonNoServer, ReasonRecordsFull, ReasonServerOut, ReasonServerGone,
	}
}
