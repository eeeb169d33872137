package flow

import "github.com/rattanthread/rattanthread/fleet"

// Messages returns a zero value of each message type of this package.
func Messages() []fleet.Message {
	return []fleet.Message{
		new(SplitsRequest), new(Splits), new(Fetch), new(Records), new(Retire), new(Leave), new(Inquiry),
	}
}

// SplitsRequest requests the list of split slots from a peer.
type SplitsRequest struct{}

// Kind implements fleet.Message.
func (*SplitsRequest) Kind() fleet.MessageKind { return "flow_splits_request" }

// Splits is the response to a SplitsRequest, in Parts messages.
type Splits struct {
	// Ready is false if the sender does not have the list either.
	Ready bool `cbor:"ready,omitempty"`
	// Tables is the digest of the slot tables to which the splits apply.
	Tables   uint64          `cbor:"tables"`
	Part     int             `cbor:"part"`
	Parts    int             `cbor:"parts"`
	Services []ServiceSplits `cbor:"services,omitempty"`
}

// Kind implements fleet.Message.
func (*Splits) Kind() fleet.MessageKind { return "flow_splits" }

// ServiceSplits are the split slots of one service.
type ServiceSplits struct {
	Service fleet.ServiceName `cbor:"service"`
	Agreed  []AgreedSlots     `cbor:"agreed"`
}

// AgreedSlots are slots that have the same agreed server since the same epoch.
// The epoch of a slot is when its last split was retired, in seconds since 1970.
// A timestamp rather than a counter lets a host that joined later, and has no
// epochs for unsplit slots, still assign a higher one. This requires clocks to
// differ by less than an idle timeout.
type AgreedSlots struct {
	_      struct{}       `cbor:",toarray"`
	Server fleet.ServerID // empty means none
	Epoch  uint32
	Slots  []uint16
}

// Fetch requests all flow records that the receiver has for split slots, and
// announces that the sender now owns these slots. A receiver that owned them
// stops deciding about their flows before it responds.
type Fetch struct {
	ID       uint64         `cbor:"id"`
	Services []ServiceSlots `cbor:"services"`
}

// Kind implements fleet.Message.
func (*Fetch) Kind() fleet.MessageKind { return "flow_fetch" }

// ServiceSlots is a list of slots of one service.
type ServiceSlots struct {
	_       struct{} `cbor:",toarray"`
	Service fleet.ServiceName
	Slots   []uint16
}

// Records carries flow records. With an ID it is the response to a Fetch, in
// Parts messages; without one it copies records to another host, such as from
// the owner of their slots to the successor.
type Records struct {
	ID       uint64           `cbor:"id,omitempty"`
	Part     int              `cbor:"part,omitempty"`
	Parts    int              `cbor:"parts,omitempty"`
	Services []ServiceRecords `cbor:"services,omitempty"`
}

// Kind implements fleet.Message.
func (*Records) Kind() fleet.MessageKind { return "flow_records" }

// ServiceRecords are flow records of one service.
type ServiceRecords struct {
	Service     fleet.ServiceName `cbor:"service"`
	Agreed      []AgreedSlots     `cbor:"agreed,omitempty"`
	Established []ServerFlows     `cbor:"established,omitempty"`
	HalfOpen    []ServerFlows     `cbor:"half_open,omitempty"`
	// Held are the slots that the sender had authority over until now: its
	// records of their flows are complete.
	Held []uint16 `cbor:"held,omitempty"`
	// Handed are new flows that the sender recently handed off to the former owner.
	Handed []uint64 `cbor:"handed,omitempty"`
}

// ServerFlows are the flows of one server, identified by their keyed hashes.
type ServerFlows struct {
	_      struct{} `cbor:",toarray"`
	Server fleet.ServerID
	Flows  []uint64
}

// Inquiry asks which servers the receiver has assigned to some flows, in case a
// network partition separated it from the sender when they were opened. If the
// receiver has records of any of the flows, it responds with a Records message
// without an ID.
type Inquiry struct {
	Services []ServiceFlows `cbor:"services"`
}

// Kind implements fleet.Message.
func (*Inquiry) Kind() fleet.MessageKind { return "flow_inquiry" }

// ServiceFlows are flows of one service, identified by their keyed hashes.
type ServiceFlows struct {
	_       struct{} `cbor:",toarray"`
	Service fleet.ServiceName
	Flows   []uint64
}

// Retire announces that all flows of each listed slot are on one server, so that
// every host can forward them by its slot table.
type Retire struct {
	Service fleet.ServiceName `cbor:"service"`
	Agreed  []AgreedSlots     `cbor:"agreed"`
}

// Kind implements fleet.Message.
func (*Retire) Kind() fleet.MessageKind { return "flow_retire" }

// Leave announces that the sender is about to stop. Its slots get new owners,
// which fetch its records.
type Leave struct{}

// Kind implements fleet.Message.
func (*Leave) Kind() fleet.MessageKind { return "flow_leave" }
