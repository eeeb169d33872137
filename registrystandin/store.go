package registrystandin

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/rattanthread/rattanthread/registry"
)

// maxOldEntries is the number of values kept per object for stale reads.
const maxOldEntries = 32

// entry is a version of an object, which is current from a point in time on.
type entry struct {
	at      time.Time
	version registry.Version
	value   []byte
	deleted bool
	expires time.Time // zero for objects without a lease
}

// store keeps the most recent entries of each object, the latest last.
type store struct {
	version registry.Version
	objects map[string][]entry
}

// put appends an entry and returns its version. Versions increase across all
// objects.
func (s *store) put(name string, e entry) registry.Version {
	if s.objects == nil {
		s.objects = map[string][]entry{}
	}
	s.version++
	e.version = s.version
	entries := append(s.objects[name], e)
	s.objects[name] = entries[max(len(entries)-maxOldEntries, 0):]
	return e.version
}

// revert removes all entries that are later than a point in time. Versions continue from the
// latest one left.
func (s *store) revert(asOf time.Time) {
	s.version = 0
	for name, entries := range s.objects {
		kept := slices.DeleteFunc(entries, func(e entry) bool { return e.at.After(asOf) })
		s.objects[name] = kept
		if len(kept) > 0 {
			s.version = max(s.version, kept[len(kept)-1].version)
		}
	}
}

// entryAt returns the entry of an object that was current at a point in time. It
// returns false if the object did not exist then or its lease has expired by now.
func (s *store) entryAt(name string, asOf, now time.Time) (entry, bool) {
	entries := s.objects[name]
	for _, e := range slices.Backward(entries) {
		if e.at.After(asOf) {
			continue
		}
		expired := !e.expires.IsZero() && !now.Before(e.expires)
		return e, !e.deleted && !expired
	}
	return entry{}, false
}

func (s *store) list(prefix string, asOf, now time.Time) registry.List {
	list := registry.List{Objects: []registry.ListEntry{}}
	for name := range s.objects {
		if !strings.HasPrefix(name, prefix) {
			continue
		}
		if e, ok := s.entryAt(name, asOf, now); ok {
			list.Objects = append(list.Objects, registry.ListEntry{Name: name, Version: e.version, Value: e.value})
		}
	}
	slices.SortFunc(list.Objects, func(a, b registry.ListEntry) int { return cmp.Compare(a.Name, b.Name) })
	return list
}
