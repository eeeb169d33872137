// Package status defines the JSON status that an entry host serves on its admin
// address.
package status

import (
	"time"

	"github.com/rattanthread/rattanthread/fleet"
)

// Path is the URL path at which an entry host serves its Host value.
const Path = "/status"

// Host is the status of one entry host.
type Host struct {
	Host        fleet.HostID       `json:"host"`
	DataCentre  fleet.DataCentreID `json:"data_centre"`
	Incarnation fleet.Incarnation  `json:"incarnation"`
	Ready       bool               `json:"ready"`
	// Reason is why the host is not ready.
	Reason   string          `json:"reason,omitempty"`
	History  fleet.HistoryID `json:"history"`
	Revision fleet.Revision  `json:"revision"`
	// RevisionAge is how long the revision has been in force on this host.
	RevisionAge Seconds           `json:"revision_age_seconds"`
	Peers       []Peer            `json:"peers"`
	Servers     []Server          `json:"servers"`
	Counters    map[string]uint64 `json:"counters"`
}

// Peer is the state of another entry host as seen by this host.
type Peer struct {
	Host  fleet.HostID `json:"host"`
	State string       `json:"state"`
}

// Server is the state of a backend server as seen by this host.
type Server struct {
	Server fleet.ServerID `json:"server"`
	Phase  string         `json:"phase"`
}

// Seconds is a duration encoded as a number of seconds.
type Seconds float64

// SecondsOf converts d to Seconds.
func SecondsOf(d time.Duration) Seconds { return Seconds(d.Seconds()) }

// Duration converts s to a time.Duration.
func (s Seconds) Duration() time.Duration { return time.Duration(float64(s) * float64(time.Second)) }
