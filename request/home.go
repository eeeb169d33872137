package request

import (
	"time"

	"github.com/rattanthread/rattanthread/config"
	"github.com/rattanthread/rattanthread/fleet"
)

// keyHome is the home data centre of a key, as far as it can be determined.
type keyHome struct {
	dataCentre fleet.DataCentreID // "" if no data centre was in service
	// certain is false if data centres may have changed more often since the
	// issue of the key than is recorded, so that it may have had another home.
	certain bool
}

// findHome returns the home of a key: the data centre that it names, or one
// selected by its hash, among those that were in service when it was issued. A
// key keeps its home for its whole lifetime, so that taking a data centre out of
// service or bringing it back never lets a key run again.
//
// A change takes effect margin after its publication: by then every host that
// may act as owner has received it, and the margin exceeds the clock skew of
// callers.
func findHome(key Key, dataCentres []config.DataCentre, margin time.Duration) keyHome {
	issued := key.Issued()
	atIssue := make([]config.DataCentre, len(dataCentres))
	for i, dataCentre := range dataCentres {
		atIssue[i] = dataCentre
		atIssue[i].State = stateAt(dataCentre, issued, margin)
	}
	home := keyHome{dataCentre: pickHome(key, atIssue), certain: true}
	if home.dataCentre == "" {
		home.dataCentre = pickHome(key, dataCentres)
	}
	for i, dataCentre := range dataCentres {
		if !precedes(issued, dataCentre.EarlierChange, margin) {
			continue
		}
		state := atIssue[i].State
		atIssue[i].State = toggle(state)
		home.certain = home.certain && pickHome(key, atIssue) == home.dataCentre
		atIssue[i].State = state
	}
	return home
}

// stateAt returns the state of a data centre at time t, as far as its last three
// changes show.
func stateAt(dataCentre config.DataCentre, t time.Time, margin time.Duration) config.DataCentreState {
	state := dataCentre.State
	for _, change := range []time.Time{dataCentre.Since, dataCentre.PreviousChange, dataCentre.EarlierChange} {
		if precedes(t, change, margin) {
			state = toggle(state)
		}
	}
	return state
}

// precedes reports whether t is before a change takes effect. A zero change
// means that there was none.
func precedes(t, change time.Time, margin time.Duration) bool {
	return !change.IsZero() && t.Before(change.Add(margin))
}

// pickHome returns the data centre of a key among those in service, or "" if
// there are none.
func pickHome(key Key, dataCentres []config.DataCentre) fleet.DataCentreID {
	var inService []fleet.HostID
	for _, dataCentre := range dataCentres {
		if dataCentre.State == config.StateOut {
			continue
		}
		if dataCentre.Name == key.DataCentre {
			return dataCentre.Name
		}
		inService = append(inService, fleet.HostID(dataCentre.Name))
	}
	return fleet.DataCentreID(fleet.Rendezvous("home/"+key.ID.String(), inService))
}

func toggle(s config.DataCentreState) config.DataCentreState {
	if s == config.StateOut {
		return config.StateIn
	}
	return config.StateOut
}
