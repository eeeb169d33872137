package request

import (
	"slices"
	"time"

	"github.com/rattanthread/rattanthread/config"
	"github.com/rattanthread/rattanthread/fleet"
)

// home returns the data centre that a key belongs to, or "" if none is in. A
// key that names a data centre which is out is placed like one that names none.
func home(key Key, centres []config.DataCentre) fleet.DataCentreID {
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

// homeMoved reports whether the key had another home at some time when it may
// already have been in use. Only the last change of each data centre is known;
// that is enough, as a key's home is either a data centre that changed or not
// touched by the change.
func homeMoved(key Key, centres []config.DataCentre, margin time.Duration) bool {
	now := home(key, centres)
	earlier := slices.Clone(centres)
	slices.SortStableFunc(earlier, func(a, b config.DataCentre) int { return b.Since.Compare(a.Since) })
	for i := range earlier {
		if !key.Issued().Before(earlier[i].Since.Add(margin)) {
			return false
		}
		earlier[i].State = flip(earlier[i].State)
		if home(key, earlier) != now {
			return true
		}
	}
	return false
}

func flip(s config.DataCentreState) config.DataCentreState {
	if s == config.StateOut {
		return config.StateIn
	}
	return config.StateOut
}
