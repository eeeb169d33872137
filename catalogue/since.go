package catalogue

import "time"

// maxRemoved bounds how many names of removed servers are remembered.
const maxRemoved = 4096

// removals remembers which servers were removed, for hosts that lack a few changes.
type removals struct {
	// base is the version after which all removals are remembered.
	base  Version
	at    map[string]Version
	order []string // oldest first; a name may be there twice
}

// add notes a removal.
func (r *removals) add(name string, at Version) {
	if r.at == nil {
		r.at = make(map[string]Version)
	}
	r.at[name] = at
	r.order = append(r.order, name)
	for len(r.order) > maxRemoved {
		oldest := r.order[0]
		r.order = r.order[1:]
		r.base = max(r.base, r.at[oldest])
		delete(r.at, oldest)
	}
}

// Since returns what has changed of the servers after a version, as far as their
// removals are remembered; else, and of the other sources, all that is known.
func (t *Tracker) Since(now time.Time, source Source, version Version) Answer {
	if source != Servers || version == 0 || version < t.removed.base {
		return t.Whole(now, source)
	}
	a := Answer{Source: source, Version: t.versions[source], Asked: t.confirmed[source]}
	a.Records = t.serverRecords(now, version)
	for name, at := range t.removed.at {
		if at > version {
			a.Records = append(a.Records, Record{Name: name, Changed: at, Removed: true})
		}
	}
	return a
}
