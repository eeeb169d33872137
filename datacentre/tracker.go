// Package datacentre decides the phase of each data centre from the
// configuration and the time, its share of new work while it returns, and what
// a host may do when it cannot confirm that its own data centre is still in.
//
// A Tracker is used by one goroutine.
package datacentre

import (
	"encoding/binary"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rattanthread/rattanthread/config"
	"github.com/rattanthread/rattanthread/fleet"
)

// Tracker follows the data centres of the configuration in force. Self must be
// set before first use; the zero value of every other field is ready for use.
type Tracker struct {
	Self   fleet.Host
	Timing Timing
	// Random chooses the peers to pass a confirmation to. Nil means a fixed seed.
	Random *rand.Rand

	centres  []config.DataCentre
	kept     fleet.DataCentreID // stays in although operators want it out
	revision fleet.Revision

	confirmed time.Time // last confirmation, by whatever way
	nextChain time.Time
}

// Timing holds the durations of a Tracker. Zero fields take defaults.
type Timing struct {
	Leaving time.Duration // from in to out; default 2s
	Ramp    time.Duration // from out to the whole share; default 60s
	Confirm time.Duration // how long a confirmation holds; default 10s
	Chain   time.Duration // between confirmations passed to peers; default 2s
}

// rampShares are the shares of a returning data centre, each for an equal part
// of the ramp. Every step is a change of view that has to settle and that moves
// slots, so there are few; the first ones are small because the servers are cold.
var rampShares = [...]float64{1.0 / 16, 1.0 / 8, 1.0 / 4, 1.0 / 2, 3.0 / 4}

func (t Timing) withDefaults() Timing {
	setDefault(&t.Leaving, 2*time.Second)
	setDefault(&t.Ramp, time.Minute)
	setDefault(&t.Confirm, 10*time.Second)
	setDefault(&t.Chain, 2*time.Second)
	return t
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

// Install sets the data centres of the configuration in force.
func (t *Tracker) Install(_ time.Time, centres []config.DataCentre) {
	t.centres = centres
	t.kept = lastIn(centres)
}

// SetRevision sets the revision in force on this host. A peer with an earlier
// one cannot confirm that this host's data centre is in.
func (t *Tracker) SetRevision(r fleet.Revision) { t.revision = r }

// Kept returns the data centre that stays in although operators want it out,
// because there would be none left.
func (t *Tracker) Kept() (fleet.DataCentreID, bool) { return t.kept, t.kept != "" }

// lastIn returns the data centre to keep when all are to be out: the one taken
// out last, and of several the first by name. It returns "" when one is in.
func lastIn(centres []config.DataCentre) fleet.DataCentreID {
	var last config.DataCentre
	for _, c := range centres {
		if c.State != config.StateOut {
			return ""
		}
		later := c.Since.After(last.Since)
		if last.Name == "" || later || (c.Since.Equal(last.Since) && c.Name < last.Name) {
			last = c
		}
	}
	return last.Name
}

// Phase returns the phase of a data centre. An unknown one is out.
func (t *Tracker) Phase(now time.Time, id fleet.DataCentreID) fleet.DataCentrePhase {
	for _, c := range t.centres {
		if c.Name == id {
			phase, _ := t.at(now, c)
			return phase
		}
	}
	return fleet.DataCentreOut
}

// Share returns the part of its usual new work that a data centre gets, from 0
// to 1. While no data centre is wholly in, those that return get their whole
// share: there is nothing to spare them for.
func (t *Tracker) Share(now time.Time, id fleet.DataCentreID) float64 {
	in := false
	var phase fleet.DataCentrePhase
	var share float64
	for _, c := range t.centres {
		p, s := t.at(now, c)
		in = in || p == fleet.DataCentreIn
		if c.Name == id {
			phase, share = p, s
		}
	}
	if phase == fleet.DataCentreReturning && !in {
		return 1
	}
	return share
}

// at returns the phase and the share of c by itself. A Since in the future, from
// a publisher whose clock is ahead, counts as now.
func (t *Tracker) at(now time.Time, c config.DataCentre) (fleet.DataCentrePhase, float64) {
	timing := t.Timing.withDefaults()
	age := max(0, now.Sub(c.Since))
	switch {
	case c.Name == t.kept:
		return fleet.DataCentreIn, 1
	case c.State == config.StateOut && age < timing.Leaving && !c.Since.IsZero():
		return fleet.DataCentreLeaving, 0
	case c.State == config.StateOut:
		return fleet.DataCentreOut, 0
	case age >= timing.Ramp || c.Since.IsZero():
		return fleet.DataCentreIn, 1
	}
	step := int(int64(len(rampShares)) * int64(age) / int64(timing.Ramp))
	return fleet.DataCentreReturning, rampShares[step]
}

// Stage returns a number that changes whenever the phase or the share of any
// data centre does. It belongs into the view version, since clocks differ.
func (t *Tracker) Stage(now time.Time) uint64 {
	var d xxhash.Digest
	d.Reset()
	var b [8]byte
	for _, c := range t.centres {
		_, _ = d.WriteString(string(c.Name))
		binary.BigEndian.PutUint64(b[:], uint64(t.Phase(now, c.Name))<<32|uint64(t.Share(now, c.Name)*1000))
		_, _ = d.Write(b[:])
	}
	return d.Sum64()
}
