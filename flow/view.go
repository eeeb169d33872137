package flow

import (
	"net/netip"
	"time"

	"github.com/rattanthread/rattanthread/fleet"
)

// View is what a host knows of the fleet: the live hosts, the services and
// their servers. Hosts that know the same compute the same tables.
type View struct {
	Self  fleet.HostID
	Hosts []fleet.HostID // live hosts, sorted
	// Doubted are hosts, sorted, that may live and place flows without this host's
	// knowledge, or did so until a moment ago: they were cut off.
	Doubted []fleet.HostID
	// Services are sorted by name. No two have the same address and protocol.
	Services []Service
	// Settled is true when every live host has acknowledged this view.
	Settled bool
}

// Service is an address that callers use, and the servers behind it.
type Service struct {
	Name     fleet.ServiceName
	Address  netip.AddrPort
	Protocol fleet.Protocol
	// IdleTimeout is how long a flow may be quiet before it is forgotten;
	// zero means DefaultIdleTimeout.
	IdleTimeout time.Duration
	// SilentTimeout is how long a caller may retransmit in vain before the
	// flow is ended; zero means DefaultSilentTimeout.
	SilentTimeout time.Duration
	Servers       []Server // sorted by ID
}

// Server is a backend server of one service.
type Server struct {
	ID         fleet.ServerID
	DataCentre fleet.DataCentreID
	// Weight is the server's share of the slots. A server of weight zero gets
	// no slots and keeps its established flows.
	Weight    fleet.Weight
	Address   netip.AddrPort
	Admission Admission
	// Out means that the data centre of the server was taken out: it gets no
	// packet at all, and its flows are ended.
	Out bool
}

// Admission tells which new flows a server takes.
type Admission uint8

// The kinds of admission.
const (
	AdmitFreely   Admission = iota // any new flow
	AdmitByCredit                  // one new flow for each unit of credit
	AdmitNone                      // no new flow
)

// Timeouts for services that set none.
const (
	DefaultIdleTimeout   = 5 * time.Minute
	DefaultSilentTimeout = 30 * time.Second
)
