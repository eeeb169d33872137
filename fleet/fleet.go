// Package fleet defines the identifiers, versions and records that all other
// packages share: those of entry hosts, backend servers, services, data centres
// and flows.
//
// The package defines values only. It performs no I/O and does not read the clock.
package fleet

import (
	"net/netip"
	"time"
)

// HostID identifies an entry host. It is unique across all data centres.
type HostID string

// ServerID identifies a backend server. It is unique across all data centres.
type ServerID string

// ServiceName identifies a service.
type ServiceName string

// DataCentreID identifies a data centre.
type DataCentreID string

// RegionID identifies a region, a group of data centres with short links.
type RegionID string

// Revision is the number of a published configuration. Revisions start at 1 and
// increase by one with every publication; 0 means no configuration.
type Revision uint64

// HistoryID identifies an unbroken sequence of revisions. It changes when the
// platform store is recreated or restored from an older copy, after which revision numbers
// may be assigned again.
type HistoryID string

// StoreEpoch counts the restorations of the platform's store from an older copy. Zero means
// that the store does not report it.
type StoreEpoch uint16

// Incarnation identifies one run of a host or server. A restart increases it.
type Incarnation uint64

// Sequence orders the reports about one incarnation of a host or server.
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
// 16-byte IPv6 or IPv4-mapped IPv6 addresses. It is comparable and contains no
// pointers.
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
	// PeerAddress is the address to which peers open WebSocket connections.
	PeerAddress netip.AddrPort `cbor:"peer_address"`
	// HandoffAddress is the address to which peers send packets that this host should
	// decide on.
	HandoffAddress netip.AddrPort `cbor:"handoff_address"`
	// Strength is the relative capacity of the host's processor and link.
	Strength int `cbor:"strength,omitempty"`
}

// ServerPhase is the state of a backend server.
type ServerPhase uint8

// The phases of a backend server. The zero value is ServerCold, so that a server
// whose phase is unknown receives no more work than a cold server can handle.
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

// ServerRecord is the state of a backend server as published by its allocator. Of
// two records, the one with the higher incarnation and then the higher sequence is
// the newer one.
type ServerRecord struct {
	Server      ServerID    `cbor:"server"`
	Phase       ServerPhase `cbor:"phase"`
	Incarnation Incarnation `cbor:"incarnation"`
	Sequence    Sequence    `cbor:"sequence"`
}

// NewerThan reports whether r is newer than other.
func (r ServerRecord) NewerThan(other ServerRecord) bool {
	if r.Incarnation != other.Incarnation {
		return r.Incarnation > other.Incarnation
	}
	return r.Sequence > other.Sequence
}

// DataCentrePhase is the state of a data centre.
type DataCentrePhase uint8

// The phases of a data centre. A data centre with the zero value gets no traffic.
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

// Lease is a right of Holder that expires unless it is renewed.
type Lease struct {
	Holder  HostID    `cbor:"holder"`
	Expires time.Time `cbor:"expires"`
}

// ValidAt reports whether the lease is valid at now.
func (l Lease) ValidAt(now time.Time) bool {
	return now.Before(l.Expires)
}
