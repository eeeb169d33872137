package viewcheck

import (
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"

	"github.com/rattanthread/rattanthread/catalogue"
)

const (
	hostCount = 4
	// maxLag is the maximum number of changes by which a serializable read lags.
	maxLag = 6
	// settleReads is the maximum number of calls that a host needs to read all records.
	settleReads = 5
)

// Mutant is a fault injected into the hosts, to show that the check detects it.
type Mutant int

// The mutants.
const (
	// NoMutant injects no fault.
	NoMutant Mutant = iota
	// IgnoreEpoch makes hosts watch a restored store from a revision of before.
	IgnoreEpoch
	// TrustRevision makes hosts watch from the revision that a stale list reports.
	TrustRevision
)

// Check is a simulated history. Checks with the same fields simulate the same history.
type Check struct {
	Source catalogue.Source
	Seed   uint64
	// Steps is the number of simulated events.
	Steps  int
	Mutant Mutant
}

// simulation is the state of a running Check.
type simulation struct {
	store  store
	hosts  [hostCount]*host
	random *rand.Rand
	now    time.Time
	mutant Mutant
}

// Run simulates the history. The error describes the first state of a host that the
// store never had.
func (c Check) Run() error {
	s := simulation{
		store: store{source: c.Source, epochs: make([]epoch, 1)}, random: rand.New(rand.NewPCG(c.Seed, 1)), now: start, mutant: c.Mutant,
	}
	for i := range s.hosts {
		s.hosts[i] = newHost(c.Source)
	}
	for step := range c.Steps {
		if err := s.runChecked(s.step); err != nil {
			return errors.Wrapf(err, "%s, seed %d, step %d", c.Source, c.Seed, step)
		}
	}
	if err := s.runChecked(s.settle); err != nil {
		return errors.Wrapf(err, "%s, seed %d, settled", c.Source, c.Seed)
	}
	for i, h := range s.hosts {
		if h.version() != s.store.version() {
			return errors.Errorf("%s, seed %d: host %d ends at version %s, not at the latest version %s", c.Source, c.Seed, i, h.version(), s.store.version())
		}
	}
	return nil
}

// runChecked calls do and checks all hosts afterwards.
func (s *simulation) runChecked(do func()) error {
	before, versions := s.hosts, [hostCount]catalogue.Version{}
	for i, h := range s.hosts {
		versions[i] = h.version()
	}
	do()
	for i, h := range s.hosts {
		if h == before[i] && h.version() < versions[i] {
			return errors.Errorf("version of host %d decreased from %s to %s", i, versions[i], h.version())
		}
		if err := s.checkView(h); err != nil {
			return errors.Wrapf(err, "host %d", i)
		}
	}
	return nil
}

// step simulates one event.
func (s *simulation) step() {
	s.now = s.now.Add(time.Duration(s.random.IntN(1000)) * time.Millisecond)
	switch s.random.IntN(13) {
	case 0, 1, 2:
		current := s.store.current()
		current.changes = append(current.changes, change{recordName(s.random.IntN(recordCount)), s.random.IntN(3) == 0})
	case 3:
		if s.random.IntN(6) == 0 {
			s.store.current().historyStart = s.store.version().Revision()
		}
	case 4, 5, 6:
		reader := s.randomHost()
		if s.random.IntN(3) == 0 { // after failed calls, reads may be stale
			reader.follower.Failed(s.now)
		}
		s.read(reader, s.replicaVersion)
	case 7, 8:
		s.deliver(s.randomHost(), s.random.IntN(2) == 0)
	case 9:
		s.subscribe(s.randomHost(), s.randomHost())
	case 10:
		s.randomHost().unsubscribe()
	case 11:
		if s.random.IntN(4) == 0 {
			s.restart(s.random.IntN(hostCount))
		}
	case 12:
		if s.random.IntN(3) == 0 {
			s.store.restore(s.replicaVersion().Revision())
		}
		s.randomHost().tracker.Tick(s.now)
	}
}

func (s *simulation) randomHost() *host { return s.hosts[s.random.IntN(hostCount)] }

// replicaVersion returns the version of a replica that lags behind.
func (s *simulation) replicaVersion() catalogue.Version {
	last := s.store.version()
	return last - min(catalogue.Version(last.Revision()-firstRevision), catalogue.Version(s.random.IntN(maxLag)))
}

// restart replaces a host by one that has not read anything.
func (s *simulation) restart(i int) {
	for _, child := range s.hosts {
		if child.parent == s.hosts[i] {
			child.unsubscribe()
		}
	}
	s.hosts[i] = newHost(s.store.source)
}

// settle makes all hosts read the remaining changes.
func (s *simulation) settle() {
	for _, h := range s.hosts {
		h.unsubscribe()
		for range settleReads {
			s.read(h, s.store.version)
		}
		h.tracker.Tick(s.now.Add(settledTime))
	}
}

// checkView returns an error for a record that was not as a host holds it, at the
// version that the host reports or later.
func (s *simulation) checkView(entryHost *host) error {
	version := entryHost.version()
	if version == 0 {
		return nil
	}
	view := entryHost.view()
	for n := range recordCount {
		if name := recordName(n); !s.wasCurrent(name, view[name], version) {
			return errors.Errorf("record %s: host holds its change at version %s, which was not current at any version from %s to %s", name, view[name], version, s.store.lastVersion(version.Epoch()))
		}
	}
	return nil
}

// wasCurrent reports whether a record had held as the version of its last change at any
// version of the epoch from a version on. For evacuations only the presence of the record is
// compared.
func (s *simulation) wasCurrent(name string, held, version catalogue.Version) bool {
	for v := version; v <= s.store.lastVersion(version.Epoch()); v++ {
		changed := s.store.versionsAt(v)[name]
		if changed == held || s.store.source == catalogue.Evacuations && changed > 0 && held > 0 {
			return true
		}
	}
	return false
}

// Sources returns the sources that can be checked.
func Sources() []catalogue.Source {
	return []catalogue.Source{catalogue.Servers, catalogue.Evacuations, catalogue.Hosts}
}
