package catalogue

import "time"

// maxRemovals bounds the number of removed records of a source that are remembered.
const maxRemovals = 4096

// removalLog records which records of a source were removed, for hosts that lack only a few
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

// after returns the removals after a version, or false if not all are recorded.
func (r *removalLog) after(version Version) ([]Record, bool) {
	if version < r.base {
		return nil, false
	}
	var records []Record
	for name, at := range r.versions {
		if at > version {
			records = append(records, Record{Name: name, Changed: at, Removed: true})
		}
	}
	return records, true
}

// Since returns the changes of a source after a version of the same epoch, as far as they are known: those
// of the servers or hosts if all removals since are remembered, and none of the configurations if the one
// in force is not newer. Otherwise, and for evacuations, it returns all known records.
func (t *Tracker) Since(now time.Time, source Source, version Version) Update {
	if version == 0 || version.Epoch() != t.versions[source].Epoch() {
		return t.Snapshot(now, source)
	}
	update := Update{Source: source, Version: t.versions[source], AsOf: t.confirmed[source]}
	known := false
	switch source {
	case Servers:
		update.Grace = t.Grace(now)
		if update.Records, known = t.removals.after(version); known {
			update.Records = append(t.serverRecords(now, version), update.Records...)
		}
	case Hosts:
		if update.Records, known = t.hostRemovals.after(version); known {
			update.Records = append(t.hostRecords(version), update.Records...)
		}
	case Configurations:
		known = t.configurationStored && version >= t.configurationVersion && version.Epoch() == t.configurationVersion.Epoch()
	case Evacuations:
	}
	if !known {
		return t.Snapshot(now, source)
	}
	return update
}

// hostRecords returns the records of the hosts of the current epoch that changed after a version.
func (t *Tracker) hostRecords(after Version) []Record {
	var records []Record
	for _, record := range t.hosts {
		if record.Changed > after && record.Changed.Epoch() == t.versions[Hosts].Epoch() {
			records = append(records, record)
		}
	}
	return records
}
