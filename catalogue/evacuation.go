package catalogue

import (
	"maps"
	"slices"

	"github.com/rattanthread/rattanthread/fleet"
)

func (t *Tracker) applyEvacuations(update Update, restored bool) bool {
	before := t.dataCentresOut()
	next := maps.Clone(t.evacuated)
	if update.Full || next == nil {
		next = make(map[fleet.DataCentreID]bool)
	}
	for _, record := range update.Records {
		if record.Removed {
			delete(next, fleet.DataCentreID(record.Name))
		} else {
			next[fleet.DataCentreID(record.Name)] = true
		}
		delete(t.retained.out, fleet.DataCentreID(record.Name))
	}
	if restored {
		t.retainEvacuations(next, update.Version)
	}
	t.evacuated = next
	after := t.dataCentresOut()
	t.addEvacuationChanges(before, after, update.Version)
	return !maps.Equal(before, after) || update.Full
}

func (t *Tracker) addEvacuationChanges(before, after map[fleet.DataCentreID]bool, version Version) {
	for _, id := range slices.Sorted(maps.Keys(after)) {
		if !before[id] {
			t.addChange(Change{Kind: DataCentreOut, Name: string(id), Version: version})
		}
	}
	for _, id := range slices.Sorted(maps.Keys(before)) {
		if !after[id] {
			t.addChange(Change{Kind: DataCentreIn, Name: string(id), Version: version})
		}
	}
}

// isOut reports whether a data centre is out of service.
func (t *Tracker) isOut(id fleet.DataCentreID) bool { return t.evacuated[id] || t.retained.out[id] }

// dataCentresOut returns the data centres that are out of service.
func (t *Tracker) dataCentresOut() map[fleet.DataCentreID]bool {
	out := make(map[fleet.DataCentreID]bool)
	maps.Copy(out, t.evacuated)
	maps.Copy(out, t.retained.out)
	return out
}
