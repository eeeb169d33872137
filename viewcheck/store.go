package viewcheck

import (
	"fmt"
	"net/netip"
	"slices"

	"github.com/rattanthread/rattanthread/catalogue"
	"github.com/rattanthread/rattanthread/fleet"
)

// recordCount is the number of records, on two pages.
const recordCount = 5

// firstRevision is the store's revision before the first change.
const firstRevision = 1

// store holds one source with all its changes. Its epochs begin with 1.
type store struct {
	source catalogue.Source
	epochs []epoch
}

// epoch holds the changes between two restorations, after those of the copy.
type epoch struct {
	changes      []change // in the order of their revisions
	historyStart catalogue.Revision
}

// change is one change of a record.
type change struct {
	name    string
	removed bool
}

func recordName(n int) string { return fmt.Sprint("i-0", n) }

func (s *store) current() *epoch { return &s.epochs[len(s.epochs)-1] }

// version returns the store's latest version.
func (s *store) version() catalogue.Version { return s.lastVersion(s.number()) }

// number returns the number of the current epoch.
func (s *store) number() fleet.StoreEpoch { return fleet.StoreEpoch(len(s.epochs)) }

// lastVersion returns the last version of an epoch.
func (s *store) lastVersion(number fleet.StoreEpoch) catalogue.Version {
	return catalogue.NewVersion(number, firstRevision+catalogue.Revision(len(s.epochs[number-1].changes)))
}

// restore starts an epoch from a copy of the current one at a revision.
func (s *store) restore(revision catalogue.Revision) {
	copied := s.current()
	s.epochs = append(s.epochs, epoch{
		changes:      slices.Clone(copied.changes[:revision-firstRevision]),
		historyStart: min(copied.historyStart, revision),
	})
}

// versionsAt returns the version of each record at a version of the store.
func (s *store) versionsAt(version catalogue.Version) map[string]catalogue.Version {
	number := version.Epoch()
	records := make(map[string]catalogue.Version)
	for i, c := range s.epochs[number-1].changes[:version.Revision()-firstRevision] {
		if c.removed {
			delete(records, c.name)
		} else {
			records[c.name] = catalogue.NewVersion(number, firstRevision+1+catalogue.Revision(i))
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

// page returns half of the records as of a version.
func (s *store) page(second bool, version catalogue.Version) catalogue.Update {
	update := catalogue.Update{Source: s.source, Version: version}
	records := s.versionsAt(version)
	for n := range recordCount {
		changed, ok := records[recordName(n)]
		if ok && (n >= recordCount/2) == second {
			update.Records = append(update.Records, s.record(recordName(n), changed, false))
		}
	}
	return update
}

// watch returns the changes after a version up to another one, or false if the store does
// not have them.
func (s *store) watch(after, version catalogue.Version) (catalogue.Update, bool) {
	if after.Epoch() != s.number() || after > s.version() || after.Revision() < s.current().historyStart {
		return catalogue.Update{}, false
	}
	update := catalogue.Update{Source: s.source, Version: max(after, version)}
	for v := after + 1; v <= version; v++ {
		c := s.current().changes[v.Revision()-firstRevision-1]
		update.Records = append(update.Records, s.record(c.name, v, c.removed))
	}
	return update, true
}
