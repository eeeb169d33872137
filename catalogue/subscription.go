package catalogue

import "time"

// Subscription selects the updates that a host lacks which follows another one. It is meant for hosts
// that start together: each reads the store's lists by itself, and most know more than the host that
// they follow while that has not read its own. The zero value is the subscription of a host that knows
// nothing. A Subscription is not safe for concurrent use.
type Subscription struct {
	// Versions are the versions up to which the host has the records of each source.
	Versions [SourceCount]Version
	// Configured means that the host has a configuration. A host without one may be unable to read the
	// one of its version, and gets it from others.
	Configured bool
}

// Missing returns the updates that the host lacks when it subscribes to the state of a tracker.
func (s *Subscription) Missing(now time.Time, t *Tracker) []Update {
	var updates []Update
	for source := range sourceCount {
		version, known := t.Version(source), s.Versions[source]
		lacks := version > known || version == known && source == Configurations && !s.Configured
		if t.Listed(source) && lacks {
			updates = append(updates, s.since(now, t, source, known))
			s.Versions[source] = version
		}
	}
	return updates
}

// Next returns what the host needs of an update that has raised the version of a tracker from before.
// It returns false if that is nothing: the host has a later version, and would ignore the update. A
// host whose version lies between the two gets only the changes after its own. After a restoration of
// the store it gets all records, since a tracker may know better than the restored ones.
func (s *Subscription) Next(now time.Time, t *Tracker, update Update, before Version) (Update, bool) {
	version, known := t.Version(update.Source), s.Versions[update.Source]
	if version < known {
		return Update{}, false
	}
	s.Versions[update.Source] = version
	restored := before != 0 && before.Epoch() != version.Epoch()
	switch {
	case known > before && !restored:
		return s.since(now, t, update.Source, known), true
	case update.Full:
		return s.since(now, t, update.Source, before), true
	}
	return update, true
}

func (s *Subscription) since(now time.Time, t *Tracker, source Source, version Version) Update {
	if source == Configurations && !s.Configured {
		return t.Snapshot(now, source)
	}
	return t.Since(now, source, version)
}
