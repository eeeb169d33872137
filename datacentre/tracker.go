// Package datacentre determines the phase of each data centre from the configuration
// and the time, its share of new work while it returns to service, and what a host
// may do when it cannot confirm that its data centre is still in service.
package datacentre

import (
	"encoding/binary"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rattanthread/rattanthread/config"
	"github.com/rattanthread/rattanthread/fleet"
)

// Tracker tracks the data centres of the configuration in force. Self must be set
// before first use; the zero value of every other field is ready to use. It is not
// safe for concurrent use.
type Tracker struct {
	Self   fleet.Host
	Timing Timing
	// Random chooses the peers to which confirmations are forwarded. Nil means a
	// generator with a fixed seed.
	Random *rand.Rand

	dataCentres   []config.DataCentre
	keptInService fleet.DataCentreID // set if the configuration takes all out of service
	revision      fleet.Revision

	confirmed  time.Time // the last confirmation from any source
	nextGossip time.Time
}

// Timing holds the durations of a Tracker. A zero field means its default.
type Timing struct {
	Leaving         time.Duration // from in service to out of service; default 2s
	Ramp            time.Duration // from out of service to the full share; default 60s
	ConfirmationTTL time.Duration // validity of a confirmation; default 10s
	GossipInterval  time.Duration // between confirmations forwarded to peers; default 2s
}

// rampShares are the shares of a returning data centre, each for an equal part of
// the ramp. There are few steps, because each changes the view, which then has to
// settle, and moves slots. The first ones are small because the servers are cold.
var rampShares = [...]float64{1.0 / 16, 1.0 / 8, 1.0 / 4, 1.0 / 2, 3.0 / 4}

func (t Timing) withDefaults() Timing {
	setDefault(&t.Leaving, 2*time.Second)
	setDefault(&t.Ramp, time.Minute)
	setDefault(&t.ConfirmationTTL, 10*time.Second)
	setDefault(&t.GossipInterval, 2*time.Second)
	return t
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

// Install sets the data centres of the configuration in force.
func (t *Tracker) Install(_ time.Time, dataCentres []config.DataCentre) {
	t.dataCentres = dataCentres
	t.keptInService = dataCentreToKeep(dataCentres)
}

// SetRevision sets the revision in force on this host. A peer with an earlier one
// cannot confirm that this host's data centre is in service.
func (t *Tracker) SetRevision(r fleet.Revision) { t.revision = r }

// KeptInService returns the data centre that stays in service although the
// configuration takes it out, because otherwise none would be in service.
func (t *Tracker) KeptInService() (fleet.DataCentreID, bool) {
	return t.keptInService, t.keptInService != ""
}

// dataCentreToKeep returns the data centre to keep if the configuration takes all
// out of service: the one taken out last or, among several, the first by name. It
// returns "" if any is in service.
func dataCentreToKeep(dataCentres []config.DataCentre) fleet.DataCentreID {
	var last config.DataCentre
	for _, dataCentre := range dataCentres {
		if dataCentre.State != config.StateOut {
			return ""
		}
		later := dataCentre.Since.After(last.Since)
		if last.Name == "" || later || (dataCentre.Since.Equal(last.Since) && dataCentre.Name < last.Name) {
			last = dataCentre
		}
	}
	return last.Name
}

// Phase returns the phase of a data centre. An unknown one is out of service.
func (t *Tracker) Phase(now time.Time, id fleet.DataCentreID) fleet.DataCentrePhase {
	for _, dataCentre := range t.dataCentres {
		if dataCentre.Name == id {
			phase, _ := t.phaseAndShare(now, dataCentre)
			return phase
		}
	}
	return fleet.DataCentreOut
}

// Share returns the fraction of its usual new work that a data centre receives, from
// 0 to 1. While no data centre is fully in service, those that return receive their
// full share: there is no other data centre that could take the work.
func (t *Tracker) Share(now time.Time, id fleet.DataCentreID) float64 {
	anyIn := false
	var phase fleet.DataCentrePhase
	var share float64
	for _, dataCentre := range t.dataCentres {
		p, s := t.phaseAndShare(now, dataCentre)
		anyIn = anyIn || p == fleet.DataCentreIn
		if dataCentre.Name == id {
			phase, share = p, s
		}
	}
	if phase == fleet.DataCentreReturning && !anyIn {
		return 1
	}
	return share
}

// phaseAndShare returns the phase and the share of a data centre irrespective of
// the others. A Since in the future, from a publisher whose clock is ahead, counts as
// now.
func (t *Tracker) phaseAndShare(now time.Time, dataCentre config.DataCentre) (fleet.DataCentrePhase, float64) {
	timing := t.Timing.withDefaults()
	age := max(0, now.Sub(dataCentre.Since))
	switch {
	case dataCentre.Name == t.keptInService:
		return fleet.DataCentreIn, 1
	case dataCentre.State == config.StateOut && age < timing.Leaving && !dataCentre.Since.IsZero():
		return fleet.DataCentreLeaving, 0
	case dataCentre.State == config.StateOut:
		return fleet.DataCentreOut, 0
	case age >= timing.Ramp || dataCentre.Since.IsZero():
		return fleet.DataCentreIn, 1
	}
	step := int(int64(len(rampShares)) * int64(age) / int64(timing.Ramp))
	return fleet.DataCentreReturning, rampShares[step]
}

// PhaseDigest returns a digest that changes whenever the phase or the share of any
// data centre does. The view version must include it, because the clocks of hosts
// differ.
func (t *Tracker) PhaseDigest(now time.Time) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	var b [8]byte
	for _, dataCentre := range t.dataCentres {
		_, _ = digest.WriteString(string(dataCentre.Name))
		binary.BigEndian.PutUint64(b[:], uint64(t.Phase(now, dataCentre.Name))<<32|uint64(t.Share(now, dataCentre.Name)*1000))
		_, _ = digest.Write(b[:])
	}
	return digest.Sum64()
}
