package replay

import (
	"encoding/json"
	"net/netip"
	"time"

	"github.com/rattanthread/rattanthread/backend"
	"github.com/rattanthread/rattanthread/control"
	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/flow"
	"github.com/rattanthread/rattanthread/request"
)

// FormatVersion is the version of the trace format that this package reads.
const FormatVersion = 1

// Header is the first line of a trace.
type Header struct {
	Version     int    `json:"version"`
	Description string `json:"description,omitempty"`
	// Start is the time of an event at "0s".
	Start time.Time `json:"start"`
	Self  Host      `json:"self"`
	Seeds []Host    `json:"seeds,omitempty"`
	// Seed seeds the random number generator of the control state.
	Seed uint64 `json:"seed,omitempty"`
	// FlowKey is the key of the flow hash, 32 hexadecimal digits; "" means all zeros.
	FlowKey string `json:"flow_key,omitempty"`
}

// Host is an entry host in a trace.
type Host struct {
	ID          fleet.HostID       `json:"id"`
	DataCentre  fleet.DataCentreID `json:"data_centre"`
	Incarnation fleet.Incarnation  `json:"incarnation,omitempty"`
	Peer        netip.AddrPort     `json:"peer,omitzero"`
	Handoff     netip.AddrPort     `json:"handoff,omitzero"`
}

// Event is a line of a trace after the header: an event at an entry host and the
// expected outcome. Most fields apply only to the kinds that their comments name.
type Event struct {
	// At is the time since the start of the trace. Events are in chronological order.
	At   Duration          `json:"at"`
	Kind control.EventKind `json:"event"`

	// Repeat is the number of ticks that a tick event represents, and Every is the
	// interval between them.
	Repeat int      `json:"repeat,omitempty"`
	Every  Duration `json:"every,omitempty"`

	From    fleet.HostID      `json:"from,omitempty"`    // message
	Message fleet.MessageKind `json:"message,omitempty"` // message
	Body    json.RawMessage   `json:"body,omitempty"`    // message: its encoded fields

	Revised  json.RawMessage `json:"revised,omitempty"`  // revision: a config.PublishedSet
	Revision fleet.Revision  `json:"revision,omitempty"` // platform_answered
	Hosts    []Host          `json:"hosts,omitempty"`    // hosts
	Evidence *Evidence       `json:"evidence,omitempty"` // evidence
	Claim    *Claim          `json:"claim,omitempty"`    // claim
	Attempt  uint64          `json:"attempt,omitempty"`  // claim_ended, claim_cancelled: the number of the attempt
	Result   json.RawMessage `json:"result,omitempty"`   // claim_ended: a request.Result
	Packet   *Packet         `json:"packet,omitempty"`   // packet

	Expect *Expect `json:"expect,omitempty"`

	// Line is the line number of the event in its file.
	Line int `json:"-"`
}

// KindPacket is the receipt of a packet by a traffic goroutine. It is not a
// control event: the router decides on it.
const KindPacket control.EventKind = "packet"

// Evidence is evidence of the state of a backend server.
type Evidence struct {
	Server   fleet.ServerID       `json:"server"`
	Kind     backend.EvidenceKind `json:"kind"`
	Latency  Duration             `json:"latency,omitempty"`
	Healthy  bool                 `json:"healthy,omitempty"`
	Instance string               `json:"instance,omitempty"`
	// ReportedAt is the time of a health report since the start of the trace.
	ReportedAt Duration `json:"made,omitempty"`
}

// Claim is a request with an idempotency key.
type Claim struct {
	Key     string            `json:"key"`
	Service fleet.ServiceName `json:"service"`
	// Body is the hash of the request, 32 hexadecimal digits; "" means all zeros.
	Body string `json:"body,omitempty"`
	// Deadline is the time since the claim by which the caller needs the response.
	Deadline Duration `json:"deadline"`
}

// Packet is the input of the router for one packet.
type Packet struct {
	Source      netip.AddrPort `json:"source"`
	Destination netip.AddrPort `json:"destination"`
	Protocol    string         `json:"protocol"`        // "tcp" or "udp"
	Flags       string         `json:"flags,omitempty"` // any of S, A, F and R
	PayloadLen  int            `json:"payload_bytes,omitempty"`
	// Sequence and Acknowledgement are the sequence numbers of the TCP header.
	Sequence        uint32 `json:"sequence,omitempty"`
	Acknowledgement uint32 `json:"acknowledgement,omitempty"`
	// From is the peer that handed off the packet, if any.
	From fleet.HostID `json:"from,omitempty"`
}

// Expect is the expected outcome of an event. Absent fields are not compared.
type Expect struct {
	Sends    *[]Send        `json:"sends,omitempty"`    // all messages, in any order
	Verdicts *[]Verdict     `json:"verdicts,omitempty"` // all verdicts, in order
	Decision *Decision      `json:"decision,omitempty"` // on a packet
	Ready    *bool          `json:"ready,omitempty"`
	Revision fleet.Revision `json:"revision,omitempty"` // in force
}

// Send is a message that the host sends.
type Send struct {
	To      fleet.HostID      `json:"to"`
	Message fleet.MessageKind `json:"message"`
	// Body is compared only if it is present.
	Body json.RawMessage `json:"body,omitempty"`
}

// Verdict is the decision on a claim.
type Verdict struct {
	Attempt  uint64           `json:"attempt"`
	Decision request.Decision `json:"decision"`
	Reason   request.Reason   `json:"reason,omitempty"`
}

// Decision is the decision of the router on a packet. Empty fields are not
// compared.
type Decision struct {
	Action string         `json:"action,omitempty"`
	Reason flow.Reason    `json:"reason,omitempty"`
	Server fleet.ServerID `json:"server,omitempty"`
	Host   fleet.HostID   `json:"host,omitempty"`
}

// Duration is a time.Duration that is encoded as text, such as "1.5s".
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	*d = Duration(parsed)
	return err
}
