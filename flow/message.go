package flow

import "github.com/rattanthread/rattanthread/fleet"

// Messages returns one zero value of each message of this package.
func Messages() []fleet.Message {
	return []fleet.Message{
		new(SplitsRequest), new(Splits), new(Fetch), new(Records), new(Retire), new(Leave), new(Inquiry),
	}
}

// SplitsRequest asks a peer which slots are split.
type SplitsRequest struct{}

// Kind implements fleet.Message.
func (*SplitsRequest) Kind() fleet.MessageKind { return "flow_splits_request" }

// Splits answers a SplitsRequest, in Parts messages.
type Splits struct {
	// Ready is false when the sender does not know either.
	Ready bool `cbor:"ready,omitempty"`
	// Tables is the digest of the tables to which the splits belong.
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
// The epoch of a slot is when a split of it was last retired, in seconds since
// 1970: a host that joined since then does not know the epochs of whole slots, and
// still gives higher ones. Clocks may differ by less than an idle timeout.
type AgreedSlots struct {
	_      struct{}       `cbor:",toarray"`
	Server fleet.ServerID // empty: none
	Epoch  uint32
	Slots  []uint16
}

// Fetch asks for all that the receiver knows of the flows of split slots, and
// tells it that the sender now owns them. A receiver that owned them stops
// deciding about them before it answers.
type Fetch struct {
	ID       uint64         `cbor:"id"`
	Services []ServiceSlots `cbor:"services"`
}

// Kind implements fleet.Message.
func (*Fetch) Kind() fleet.MessageKind { return "flow_fetch" }

// ServiceSlots are some slots of one service.
type ServiceSlots struct {
	_       struct{} `cbor:",toarray"`
	Service fleet.ServiceName
	Slots   []uint16
}

// Records names the servers of flows. With an ID it answers a Fetch, in Parts
// messages; without one it copies records from the owner of their slots to the
// successor.
type Records struct {
	ID       uint64           `cbor:"id,omitempty"`
	Part     int              `cbor:"part,omitempty"`
	Parts    int              `cbor:"parts,omitempty"`
	Services []ServiceRecords `cbor:"services,omitempty"`
}

// Kind implements fleet.Message.
func (*Records) Kind() fleet.MessageKind { return "flow_records" }

// ServiceRecords are records of one service.
type ServiceRecords struct {
	Service     fleet.ServiceName `cbor:"service"`
	Agreed      []AgreedSlots     `cbor:"agreed,omitempty"`
	Established []ServerFlows     `cbor:"established,omitempty"`
	HalfOpen    []ServerFlows     `cbor:"half_open,omitempty"`
	// Held are the slots about which the sender decided until now: for these it
	// knows all flows.
	Held []uint16 `cbor:"held,omitempty"`
	// Handed are new flows that the sender handed to the former owner lately.
	Handed []uint64 `cbor:"handed,omitempty"`
}

// ServerFlows are flows of one server, by their keyed hash.
type ServerFlows struct {
	_      struct{} `cbor:",toarray"`
	Server fleet.ServerID
	Flows  []uint64
}

// Inquiry asks which servers the receiver has given to some flows, in case it was
// cut off from the sender when they were opened. Records without an ID answer it,
// if the receiver knows any of the flows.
type Inquiry struct {
	Services []ServiceFlows `cbor:"services"`
}

// Kind implements fleet.Message.
func (*Inquiry) Kind() fleet.MessageKind { return "flow_inquiry" }

// ServiceFlows are some flows of one service, by their keyed hash.
type ServiceFlows struct {
	_       struct{} `cbor:",toarray"`
	Service fleet.ServiceName
	Flows   []uint64
}

// Retire tells that all flows of some slots are on one server, so that every
// host can decide about them by its table.
type Retire struct {
	Service fleet.ServiceName `cbor:"service"`
	Agreed  []AgreedSlots     `cbor:"agreed"`
}

// Kind implements fleet.Message.
func (*Retire) Kind() fleet.MessageKind { return "flow_retire" }

// Leave tells that the sender is about to stop: its slots go to other owners,
// which fetch what it knows.
type Leave struct{}

// Kind implements fleet.Message.
func (*Leave) Kind() fleet.MessageKind { return "flow_leave" }
