package viewcheck

import (
	"fmt"
	"net/netip"

	"github.com/rattanthread/rattanthread/catalogue"
	"github.com/rattanthread/rattanthread/fleet"
)

// names is how many records there are, on two pages.
const names = 5

// firstVersion is the store's revision before all changes.
const firstVersion = 1

// store holds one source with all that ever happened to it.
type store struct {
	source    catalogue.Source
	changes   []change // of the revisions after the first
	forgotten catalogue.Version
}

// change is one change of a record.
type change struct {
	name    string
	removed bool
}

func nameOf(n int) string { return fmt.Sprint("i-0", n) }

func (s *store) revision() catalogue.Version {
	return firstVersion + catalogue.Version(len(s.changes))
}

// at returns the version of each record at a revision.
func (s *store) at(revision catalogue.Version) map[string]catalogue.Version {
	records := make(map[string]catalogue.Version)
	for i, c := range s.changes[:revision-firstVersion] {
		if c.removed {
			delete(records, c.name)
		} else {
			records[c.name] = firstVersion + 1 + catalogue.Version(i)
		}
	}
	return records
}

// record returns a record as the store tells it.
func (s *store) record(name string, version catalogue.Version, removed bool) catalogue.Record {
	r := catalogue.Record{Name: name, Changed: version, Removed: removed}
	switch {
	case removed:
	case s.source == catalogue.Servers:
		r.Server = &catalogue.Server{
			ID: fleet.ServerID(name), Service: "bench", DataCentre: "a", Tag: 1, Created: version, Changed: version,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, 1}), 80),
		}
	case s.source == catalogue.Hosts:
		r.Host = &fleet.Host{ID: fleet.HostID(name)}
	}
	return r
}

// page returns half of the records as they were at a revision.
func (s *store) page(second bool, revision catalogue.Version) catalogue.Answer {
	a := catalogue.Answer{Source: s.source, Version: revision}
	records := s.at(revision)
	for n := range names {
		changed, ok := records[nameOf(n)]
		if ok && (n >= names/2) == second {
			a.Records = append(a.Records, s.record(nameOf(n), changed, false))
		}
	}
	return a
}

// watch returns the changes after a version up to a revision, or false if they are
// forgotten.
func (s *store) watch(after, revision catalogue.Version) (catalogue.Answer, bool) {
	if after < s.forgotten {
		return catalogue.Answer{}, false
	}
	a := catalogue.Answer{Source: s.source, Version: max(after, revision)}
	for v := after + 1; v <= revision; v++ {
		c := s.changes[v-firstVersion-1]
		a.Records = append(a.Records, s.record(c.name, v, c.removed))
	}
	return a, true
}
