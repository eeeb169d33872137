// Package status defines what an entry host says of itself on its admin
// address, at /status, as JSON.
package status

import (
	"time"

	"github.com/rattanthread/rattanthread/fleet"
)

// Path is where an entry host serves its Host value.
const Path = "/status"

// Host is the state of one entry host.
type Host struct {
	Host        fleet.HostID       `json:"host"`
	DataCentre  fleet.DataCentreID `json:"data_centre"`
	Incarnation fleet.Incarnation  `json:"incarnation"`
	Ready       bool               `json:"ready"`
	// Reason tells why the host is not ready.
	Reason   string          `json:"reason,omitempty"`
	History  fleet.HistoryID `json:"history"`
	Revision fleet.Revision  `json:"revision"`
	// RevisionAge is how long the revision has been in force on this host.
	RevisionAge Seconds           `json:"revision_age_seconds"`
	Peers       []Peer            `json:"peers"`
	Servers     []Server          `json:"servers"`
	Counters    map[string]uint64 `json:"counters"`
}

// Peer is another entry host as this host sees it.
type Peer struct {
	Host  fleet.HostID `json:"host"`
	State string       `json:"state"`
}

// Server is a backend server as this host sees it.
type Server struct {
	Server fleet.ServerID `json:"server"`
	Phase  string         `json:"phase"`
}

// Seconds is a duration that is written as a number of seconds.
type Seconds float64

// SecondsOf converts a duration.
func SecondsOf(d time.Duration) Seconds { return Seconds(d.Seconds()) }

// Duration converts back.
func (s Seconds) Duration() time.Duration { return time.Duration(float64(s) * float64(time.Second)) }
