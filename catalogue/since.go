package catalogue

import "time"

// maxRemovals bounds the number of removed servers that are recorded.
const maxRemovals = 4096

// removalLog records which servers were removed, for hosts that lack only a few
// changes.
type removalLog struct {
	// base is the version after which all removals are recorded.
	base     Version
	versions map[string]Version
	order    []string // oldest first; may hold a name twice
}

// add records a removal.
func (r *removalLog) add(name string, at Version) {
	if r.versions == nil {
		r.versions = make(map[string]Version)
	}
	r.versions[name] = at
	r.order = append(r.order, name)
	for len(r.order) > maxRemovals {
		oldest := r.order[0]
		r.order = r.order[1:]
		r.base = max(r.base, r.versions[oldest])
		delete(r.versions, oldest)
	}
}

// Since returns the changes of the servers after a version of the same epoch, if all removals
// since are remembered. Otherwise, and for the other sources, it returns all known records.
func (t *Tracker) Since(now time.Time, source Source, version Version) Update {
	if source != Servers || version == 0 || version < t.removals.base || version.Epoch() != t.versions[Servers].Epoch() {
		return t.Snapshot(now, source)
	}
	update := Update{Source: source, Version: t.versions[source], AsOf: t.confirmed[source], Grace: t.Grace(now)}
	update.Records = t.serverRecords(now, version)
	for name, at := range t.removals.versions {
		if at > version {
			update.Records = append(update.Records, Record{Name: name, Changed: at, Removed: true})
		}
	}
	return update
}
