// Package config defines the objects that operators declare (services, backend
// servers, data centres and the rules between them), reads them from TOML
// files, checks the whole set together and compares two sets.
//
// A Set that passed Check is complete: every reference resolves and no two
// objects conflict. Only a checked Set is published. Load reads a Set from
// files, Check returns its problems and Normalised fills in defaults. Diff
// returns the changes between two Sets for display, and Compare returns them as
// a Delta that can be encoded and applied.
package config

import (
	"net/netip"
	"time"

	"github.com/rattanthread/rattanthread/declaration"
	"github.com/rattanthread/rattanthread/fleet"
)

// Set is a complete configuration. All of its objects come into force together.
// Slices are sorted by name, so that equal sets encode to equal bytes.
type Set struct {
	DataCentres []DataCentre `toml:"data_centre" cbor:"data_centres"`
	Services    []Service    `toml:"service" cbor:"services"`
	Servers     []Server     `toml:"server" cbor:"servers"`
	Rules       []Rule       `toml:"rule" cbor:"rules"`
}

// PublishedSet is a Set with its revision and the metadata of its publication.
type PublishedSet struct {
	History   fleet.HistoryID `cbor:"history"`
	Revision  fleet.Revision  `cbor:"revision"`
	Published time.Time       `cbor:"published"`
	// Epoch is the epoch of the store in which the set was published.
	Epoch fleet.StoreEpoch `cbor:"epoch,omitempty"`
	// Publication identifies the attempt that published the set. A publisher
	// that received no response uses it to recognise its own attempt.
	Publication string `cbor:"publication"`
	// Message is the operator's description of the change.
	Message string `cbor:"message,omitempty"`
	// EarlierPublications lists the preceding publications, latest first.
	EarlierPublications []PublicationRef `cbor:"earlier,omitempty"`
	Set                 Set              `cbor:"set"`
}

// PublicationRef identifies a publication.
type PublicationRef struct {
	Revision    fleet.Revision `cbor:"revision"`
	Publication string         `cbor:"publication"`
	// History is empty for the history of the set that lists the publication.
	History fleet.HistoryID `cbor:"history,omitempty"`
}

// DataCentre is a site with its own entry hosts and backend servers.
type DataCentre struct {
	Name   fleet.DataCentreID `toml:"name" cbor:"name"`
	Region fleet.RegionID     `toml:"region" cbor:"region"`
	// State is the desired state: StateIn or StateOut.
	State DataCentreState `toml:"state" cbor:"state"`
	// Since is the time of the last change of State by a publication. The
	// publisher sets it.
	Since time.Time `toml:"-" cbor:"since"`
	// PreviousChange is the time of the change before Since, and EarlierChange
	// that of the one before PreviousChange; zero if there was none.
	PreviousChange time.Time `toml:"-" cbor:"previous,omitzero"`
	EarlierChange  time.Time `toml:"-" cbor:"earlier,omitzero"`

	origin *declaration.Origin
}

// DataCentreState is the desired state of a data centre.
type DataCentreState string

// The desired states of a data centre. An empty state means StateIn.
const (
	StateIn  DataCentreState = "in"
	StateOut DataCentreState = "out"
)

// ServiceKind defines how callers reach a service.
type ServiceKind string

// The kinds of service: packets of long-lived flows, or HTTP requests.
const (
	KindFlow    ServiceKind = "flow"
	KindRequest ServiceKind = "request"
)

// Service is an address that callers use.
type Service struct {
	Name fleet.ServiceName `toml:"name" cbor:"name"`
	Kind ServiceKind       `toml:"kind" cbor:"kind"`
	// Address selects the packets of a flow service. For a request service,
	// Address is optional and Host, an HTTP host name, selects the requests.
	Address  netip.AddrPort `toml:"address" cbor:"address,omitzero"`
	Protocol string         `toml:"protocol" cbor:"protocol,omitzero"` // "tcp" or "udp"; flow services only
	Host     string         `toml:"host" cbor:"host,omitzero"`         // request services only
	Flow     FlowLimits     `toml:"flow" cbor:"flow,omitzero"`
	Request  RequestLimits  `toml:"request" cbor:"request,omitzero"`

	origin *declaration.Origin
}

// FlowLimits holds the limits on the flows of one service. Zero fields mean the
// defaults.
type FlowLimits struct {
	// IdleTimeout is how long a flow may be idle before its record is removed.
	IdleTimeout time.Duration `toml:"idle_timeout" cbor:"idle_timeout,omitzero"`
	// SilentTimeout is how long one direction may get no response before the
	// flow is ended.
	SilentTimeout time.Duration `toml:"silent_timeout" cbor:"silent_timeout,omitzero"`
}

// RequestLimits holds the limits on the requests of one service. Zero fields mean
// the defaults.
type RequestLimits struct {
	Timeout      time.Duration `toml:"timeout" cbor:"timeout,omitzero"`               // maximum timeout of a request
	MaxBodyBytes int64         `toml:"max_body_bytes" cbor:"max_body_bytes,omitzero"` // request body
	RetryRatio   float64       `toml:"retry_ratio" cbor:"retry_ratio,omitzero"`       // retries per first attempt
	MaxInFlight  int           `toml:"max_in_flight" cbor:"max_in_flight,omitzero"`   // per entry host
	KeyLifetime  time.Duration `toml:"key_lifetime" cbor:"key_lifetime,omitzero"`     // how long a claim is kept
}

// Server is a backend server of one service in one data centre.
type Server struct {
	Name       fleet.ServerID     `toml:"name" cbor:"name"`
	Service    fleet.ServiceName  `toml:"service" cbor:"service"`
	DataCentre fleet.DataCentreID `toml:"data_centre" cbor:"data_centre"`
	// Address is where the server receives encapsulated packets (flow services)
	// or serves HTTP (request services).
	Address netip.AddrPort `toml:"address" cbor:"address,omitzero"`
	// HealthAddress serves the server's health and load over HTTP.
	HealthAddress  netip.AddrPort `toml:"health_address" cbor:"health_address,omitzero"`
	Weight         fleet.Weight   `toml:"weight" cbor:"weight"` // default 100
	Slots          int            `toml:"slots" cbor:"slots"`   // concurrent requests; default 2
	MaxConnections int            `toml:"max_connections" cbor:"max_connections"`
	// ColdRate is how many new flows or requests a second a cold server can handle.
	ColdRate float64 `toml:"cold_rate" cbor:"cold_rate"`
	// WarmupTime is how long a cold server takes to warm up under load.
	WarmupTime time.Duration `toml:"warmup_time" cbor:"warmup_time"`
	// Drain stops new work from being sent to the server.
	Drain bool `toml:"drain" cbor:"drain,omitzero"`

	origin *declaration.Origin
}

// Rule limits where the work of a service may be placed.
type Rule struct {
	Name        RuleName             `toml:"name" cbor:"name"`
	Service     fleet.ServiceName    `toml:"service" cbor:"service"`
	Kind        RuleKind             `toml:"kind" cbor:"kind"`
	DataCentres []fleet.DataCentreID `toml:"data_centres" cbor:"data_centres"`
	// MaxShare is the maximum fraction of the service's new work that one data
	// centre may receive, from 0 to 1; for RuleMaxShare.
	MaxShare float64 `toml:"max_share" cbor:"max_share,omitzero"`

	origin *declaration.Origin
}

// RuleName names a rule.
type RuleName string

// RuleKind is the effect of a rule.
type RuleKind string

// The kinds of rule.
const (
	RuleOnly     RuleKind = "only"      // the service runs only in DataCentres
	RuleExclude  RuleKind = "exclude"   // the service never runs in DataCentres
	RuleMaxShare RuleKind = "max_share" // no data centre in DataCentres gets more than MaxShare
)
