package load

import (
	"time"

	"github.com/rattanthread/rattanthread/catalogue"
	"github.com/rattanthread/rattanthread/fleet"
)

// Estimate is what is known about the load of a server. The zero value means that nothing
// is known.
type Estimate struct {
	// Speed is the speed relative to the usual one of the service, from MinSpeed to MaxSpeed.
	Speed float64
	// InFlight is the number of requests in flight, of all hosts that report.
	InFlight float64
	// Opening is the number of flows that this host has opened and that have not sent a request yet. They hold
	// no slot, and probes and scans never send one. Therefore they count for the choice of a server
	// and not for the utilisation.
	Opening float64
	// Limit is the number of concurrent requests that the server handles well.
	Limit float64
	// Known means that Speed and Limit are based on recent observations.
	Known bool
}

// Total returns the number of requests in flight and flows that are being opened.
func (e Estimate) Total() float64 { return e.InFlight + e.Opening }

// Full reports whether the total has reached the limit.
func (e Estimate) Full() bool { return e.Known && e.Total() >= e.Limit }

// Utilisation is the load of a group of servers.
type Utilisation struct {
	// InFlight and Limit are sums over the servers. InFlight holds no flows that are being opened.
	InFlight, Limit float64
	// Servers is the number of servers, and Known that of servers with a known estimate.
	Servers, Known int
}

// Report is what a host reports to another one about the load of the servers. It holds no state
// that the receiver has sent itself.
type Report struct {
	Servers []ServerLoad    `cbor:"servers,omitempty"`
	Demand  []ServiceDemand `cbor:"demand,omitempty"`
	// Elsewhere are the loads of other data centres. Hosts of earlier versions do not send it.
	Elsewhere []DataCentreEntry `cbor:"elsewhere,omitempty"`
}

// ServerLoad is the load of one server, summed over the hosts that a report covers.
type ServerLoad struct {
	_ struct{} `cbor:",toarray"`

	Server catalogue.Cookie
	// InFlight is the number of requests in flight, without flows that are being opened: these last
	// for less time than a report takes. Hosts of earlier versions include them.
	InFlight uint32
	// Samples is the number of recent responses, and Slowdown their mean ratio of latency to
	// the usual latency of the route, in 1/16.
	Samples  uint32
	Slowdown uint32
	// Limit is the learned concurrency limit, in 1/16 of a request.
	Limit uint32
	// Age is the age of the latest of these observations.
	Age time.Duration
	// Refusals is the number of recent refusals and retransmissions.
	Refusals uint32
}

// ServiceDemand is the rate of first opening packets to a service, summed over the hosts that
// a report covers.
type ServiceDemand struct {
	_ struct{} `cbor:",toarray"`

	Service fleet.ServiceName
	// Priority is the priority of the route; 0 is the highest.
	Priority int
	// PerSecond is the number of first opening packets a second, including refused ones.
	PerSecond uint32
}
