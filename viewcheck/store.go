package viewcheck

import (
	"fmt"
	"net/netip"

	"github.com/rattanthread/rattanthread/catalogue"
	"github.com/rattanthread/rattanthread/fleet"
)

// recordCount is the number of records, on two pages.
const recordCount = 5

// firstVersion is the store's revision before the first change.
const firstVersion = 1

// store holds one source with all its changes.
type store struct {
	source       catalogue.Source
	changes      []change // in the order of their revisions
	historyStart catalogue.Version
}

// change is one change of a record.
type change struct {
	name    string
	removed bool
}

func recordName(n int) string { return fmt.Sprint("i-0", n) }

func (s *store) revision() catalogue.Version {
	return firstVersion + catalogue.Version(len(s.changes))
}

// versionsAt returns the version of each record at a revision.
func (s *store) versionsAt(revision catalogue.Version) map[string]catalogue.Version {
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

// record returns a record as the store returns it.
func (s *store) record(name string, version catalogue.Version, removed bool) catalogue.Record {
	record := catalogue.Record{Name: name, Changed: version, Removed: removed}
	switch {
	case removed:
	case s.source == catalogue.Servers:
		record.Server = &catalogue.Server{
			ID: fleet.ServerID(name), Service: "bench", DataCentre: "a", Tag: 1, Created: version, Changed: version,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, 1}), 80),
		}
	case s.source == catalogue.Hosts:
		record.Host = &fleet.Host{ID: fleet.HostID(name)}
	}
	return record
}

// page returns half of the records as of a revision.
func (s *store) page(second bool, revision catalogue.Version) catalogue.Update {
	update := catalogue.Update{Source: s.source, Version: revision}
	records := s.versionsAt(revision)
	for n := range recordCount {
		changed, ok := records[recordName(n)]
		if ok && (n >= recordCount/2) == second {
			update.Records = append(update.Records, s.record(recordName(n), changed, false))
		}
	}
	return update
}

// watch returns the changes after a version up to a revision, or false if the store no
// longer has them.
func (s *store) watch(after, revision catalogue.Version) (catalogue.Update, bool) {
	if after < s.historyStart {
		return catalogue.Update{}, false
	}
	update := catalogue.Update{Source: s.source, Version: max(after, revision)}
	for v := after + 1; v <= revision; v++ {
		c := s.changes[v-firstVersion-1]
		update.Records = append(update.Records, s.record(c.name, v, c.removed))
	}
	return update, true
}
