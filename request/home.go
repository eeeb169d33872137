package request

import (
	"time"

	"github.com/rattanthread/rattanthread/config"
	"github.com/rattanthread/rattanthread/fleet"
)

// placement is where a key belongs.
type placement struct {
	home fleet.DataCentreID // "" if no data centre was in
	// certain is false if more changes of data centres came after the issue of
	// the key than are known, so that it may have had another home.
	certain bool
}

// place returns the home of a key: the data centre that it names, or one that
// its hash picks, among those that were in when it was issued. A key keeps its
// home for its whole life, so that taking a data centre out or bringing it back
// never opens a key again.
//
// A change counts from margin after its publication: by then every host that may
// act as owner knows of it, and callers' clocks differ by less.
func place(key Key, centres []config.DataCentre, margin time.Duration) placement {
	issued := key.Issued()
	then := make([]config.DataCentre, len(centres))
	for i, c := range centres {
		then[i] = c
		then[i].State = stateAt(c, issued, margin)
	}
	p := placement{home: pick(key, then), certain: true}
	if p.home == "" {
		p.home = pick(key, centres)
	}
	for i, c := range centres {
		if !precedes(issued, c.Earlier, margin) {
			continue
		}
		state := then[i].State
		then[i].State = flip(state)
		p.certain = p.certain && pick(key, then) == p.home
		then[i].State = state
	}
	return p
}

// stateAt returns the state of a data centre at a time, as far as its last three
// changes tell.
func stateAt(c config.DataCentre, at time.Time, margin time.Duration) config.DataCentreState {
	state := c.State
	for _, change := range []time.Time{c.Since, c.Previous, c.Earlier} {
		if precedes(at, change, margin) {
			state = flip(state)
		}
	}
	return state
}

// precedes reports whether at is before a change counts. A zero change never was.
func precedes(at, change time.Time, margin time.Duration) bool {
	return !change.IsZero() && at.Before(change.Add(margin))
}

// pick returns the data centre of a key among those that are in, or "".
func pick(key Key, centres []config.DataCentre) fleet.DataCentreID {
	var in []fleet.HostID
	for _, c := range centres {
		if c.State == config.StateOut {
			continue
		}
		if c.Name == key.DataCentre {
			return c.Name
		}
		in = append(in, fleet.HostID(c.Name))
	}
	return fleet.DataCentreID(fleet.Rendezvous("home/"+key.ID.String(), in))
}

func flip(s config.DataCentreState) config.DataCentreState {
	if s == config.StateOut {
		return config.StateIn
	}
	return config.StateOut
}
