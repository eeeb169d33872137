package registrystandin

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/rattanthread/rattanthread/registry"
)

// maxOldEntries bounds the old values of an object that lagging reads can show.
const maxOldEntries = 32

// entry is the value that an object had from a time on.
type entry struct {
	at      time.Time
	version registry.Version
	value   []byte
	deleted bool
	expires time.Time // zero for objects without lease
}

// store keeps the recent values of each object, the latest last.
type store struct {
	version registry.Version
	objects map[string][]entry
}

// put appends a value and returns its version, which rises over all objects.
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

// at returns the value that an object had at a time, unless its lease has ended
// by now.
func (s *store) at(name string, when, now time.Time) (entry, bool) {
	entries := s.objects[name]
	for _, e := range slices.Backward(entries) {
		if e.at.After(when) {
			continue
		}
		expired := !e.expires.IsZero() && !now.Before(e.expires)
		return e, !e.deleted && !expired
	}
	return entry{}, false
}

func (s *store) list(prefix string, when, now time.Time) registry.List {
	list := registry.List{Objects: []registry.ListEntry{}}
	for name := range s.objects {
		if !strings.HasPrefix(name, prefix) {
			continue
		}
		if e, ok := s.at(name, when, now); ok {
			list.Objects = append(list.Objects, registry.ListEntry{Name: name, Version: e.version, Value: e.value})
		}
	}
	slices.SortFunc(list.Objects, func(a, b registry.ListEntry) int { return cmp.Compare(a.Name, b.Name) })
	return list
}
