// Package fleet defines the identifiers, versions and records that every other
// package shares: entry hosts, backend servers, services, data centres, flow
// keys and the state of a backend server.
//
// The package holds values only. It does no I/O and reads no clock.
package fleet

import (
	"net/netip"
	"time"
)

// HostID names an entry host. It is unique over all data centres.
type HostID string

// ServerID names a backend server. It is unique over all data centres.
type ServerID string

// ServiceName names a service.
type ServiceName string

// DataCentreID names a data centre.
type DataCentreID string

// RegionID names a region, a group of data centres with short links.
type RegionID string

// Revision numbers a published configuration. Revisions start at 1 and rise by
// one with every publication; 0 means that no configuration is known.
type Revision uint64

// HistoryID names one unbroken line of revisions. It changes when the platform
// store is recreated, after which revision numbers may start again.
type HistoryID string

// Incarnation numbers the lives of one host or one server. A restart raises it.
type Incarnation uint64

// Sequence orders the reports about one incarnation of a host or a server.
type Sequence uint64

// Weight is the relative share of new work that a server receives. Zero means none.
type Weight uint32

// Port is a TCP or UDP port number.
type Port uint16

// Protocol is an IP protocol number.
type Protocol uint8

// The IP protocols that a service can use.
const (
	ProtocolTCP Protocol = 6
	ProtocolUDP Protocol = 17
)

// FlowKey is the five-tuple of a flow, from caller to service. Addresses are
// 16-byte IPv6 or IPv4-mapped IPv6 addresses. It is comparable and holds no pointer.
type FlowKey struct {
	Source          [16]byte `cbor:"source"`
	Destination     [16]byte `cbor:"destination"`
	SourcePort      Port     `cbor:"source_port"`
	DestinationPort Port     `cbor:"destination_port"`
	Protocol        Protocol `cbor:"protocol"`
}

// SourceAddress returns the caller's address and port.
func (k FlowKey) SourceAddress() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom16(k.Source).Unmap(), uint16(k.SourcePort))
}

// DestinationAddress returns the service's address and port.
func (k FlowKey) DestinationAddress() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom16(k.Destination).Unmap(), uint16(k.DestinationPort))
}

// Host describes a live or recently live entry host.
type Host struct {
	ID          HostID       `cbor:"id"`
	DataCentre  DataCentreID `cbor:"data_centre"`
	Incarnation Incarnation  `cbor:"incarnation"`
	// PeerAddress is where peers open WebSocket connections.
	PeerAddress netip.AddrPort `cbor:"peer_address"`
	// HandoffAddress is where peers send packets that this host should decide on.
	HandoffAddress netip.AddrPort `cbor:"handoff_address"`
	// Strength compares hosts by what their processor and link can carry.
	Strength int `cbor:"strength,omitempty"`
}

// ServerPhase is the state of a backend server.
type ServerPhase uint8

// The phases of a backend server. The zero value is ServerCold: a server about
// which nothing is known gets no more than a cold server bears.
const (
	ServerCold ServerPhase = iota
	ServerWarming
	ServerWarm
	ServerSuspected
	ServerDraining
	ServerGone
)

var serverPhaseNames = [...]string{"cold", "warming", "warm", "suspected", "draining", "gone"}

// String returns the lower-case name of the phase.
func (p ServerPhase) String() string {
	if int(p) < len(serverPhaseNames) {
		return serverPhaseNames[p]
	}
	return "unknown"
}

// ServerRecord is one statement about a backend server, made by its keeper.
// Of two records the one with the higher incarnation, then the higher sequence,
// is the newer.
type ServerRecord struct {
	Server      ServerID    `cbor:"server"`
	Phase       ServerPhase `cbor:"phase"`
	Incarnation Incarnation `cbor:"incarnation"`
	Sequence    Sequence    `cbor:"sequence"`
}

// NewerThan reports whether r was made after other.
func (r ServerRecord) NewerThan(other ServerRecord) bool {
	if r.Incarnation != other.Incarnation {
		return r.Incarnation > other.Incarnation
	}
	return r.Sequence > other.Sequence
}

// DataCentrePhase is the state of a data centre.
type DataCentrePhase uint8

// The phases of a data centre. The zero value takes no traffic.
const (
	DataCentreOut DataCentrePhase = iota
	DataCentreReturning
	DataCentreIn
	DataCentreLeaving
)

var dataCentrePhaseNames = [...]string{"out", "returning", "in", "leaving"}

// String returns the lower-case name of the phase.
func (p DataCentrePhase) String() string {
	if int(p) < len(dataCentrePhaseNames) {
		return dataCentrePhaseNames[p]
	}
	return "unknown"
}

// Lease is a right that ends at a set time unless it is renewed.
type Lease struct {
	Holder  HostID    `cbor:"holder"`
	Expires time.Time `cbor:"expires"`
}

// ValidAt reports whether the lease still holds at now.
func (l Lease) ValidAt(now time.Time) bool {
	return now.Before(l.Expires)
}
