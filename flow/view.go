package flow

import (
	"net/netip"
	"time"

	"github.com/rattanthread/rattanthread/fleet"
)

// View is the state of the fleet by which a host makes its decisions: the live
// hosts, the services and their servers. Hosts with the same services and servers
// compute the same tables.
type View struct {
	Self  fleet.HostID
	Hosts []fleet.HostID // live hosts, sorted
	// Partitioned are hosts, sorted, that a network partition may separate from
	// this host, or did until recently. They may have placed flows of which this
	// host has no records.
	Partitioned []fleet.HostID
	// Services are sorted by name. No two have the same address and protocol.
	Services []Service
	// Settled is true when every live host has acknowledged this view.
	Settled bool
}

// Service is an address that callers connect to, and the servers behind it.
type Service struct {
	Name     fleet.ServiceName
	Address  netip.AddrPort
	Protocol fleet.Protocol
	// IdleTimeout is how long a flow may send no packets before its record
	// expires; zero means DefaultIdleTimeout.
	IdleTimeout time.Duration
	// SilentTimeout is how long a caller may retransmit without progress before
	// the flow is reset; zero means DefaultSilentTimeout.
	SilentTimeout time.Duration
	Servers       []Server // sorted by ID
}

// Server is a backend server of one service.
type Server struct {
	ID         fleet.ServerID
	DataCentre fleet.DataCentreID
	// Weight is the server's relative share of the slots. A server of weight
	// zero gets no slots and keeps its established flows.
	Weight    fleet.Weight
	Address   netip.AddrPort
	Admission Admission
	// Out means that the data centre of the server is out of service: the server
	// gets no packets at all, and its flows are reset.
	Out bool
}

// Admission is which new flows a server admits.
type Admission uint8

// The kinds of admission.
const (
	AdmitFreely   Admission = iota // any new flow
	AdmitByCredit                  // one new flow per unit of credit
	AdmitNone                      // no new flow
)

// Default timeouts of a service.
const (
	DefaultIdleTimeout   = 5 * time.Minute
	DefaultSilentTimeout = 30 * time.Second
)
