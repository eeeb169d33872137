package viewcheck

import (
	"math/rand/v2"

	"github.com/go-faster/errors"

	"github.com/rattanthread/rattanthread/catalogue"
)

const (
	hosts = 4
	// lag is by how many changes a serializable read may lag at most.
	lag = 6
	// settleReads is how many calls a host needs at most to know all.
	settleReads = 5
)

// Mutant is a fault put into the hosts, to show that the check finds it.
type Mutant int

// The mutants.
const (
	// NoMutant leaves the hosts as they are.
	NoMutant Mutant = iota
	// TrustRevision watches from the revision that an old list names.
	TrustRevision
)

// Check is one history. The same fields give the same one.
type Check struct {
	Source catalogue.Source
	Seed   uint64
	// Steps is how many things happen.
	Steps  int
	Mutant Mutant
}

// play is a history under way.
type play struct {
	store  store
	hosts  [hosts]*host
	random *rand.Rand
	mutant Mutant
}

// Run plays the history. The error tells the first belief that never was true.
func (c Check) Run() error {
	p := play{store: store{source: c.Source}, random: rand.New(rand.NewPCG(c.Seed, 1)), mutant: c.Mutant}
	for i := range p.hosts {
		p.hosts[i] = newHost(c.Source)
	}
	for step := range c.Steps {
		if err := p.checked(p.step); err != nil {
			return errors.Wrapf(err, "%s, seed %d, step %d", c.Source, c.Seed, step)
		}
	}
	if err := p.checked(p.settle); err != nil {
		return errors.Wrapf(err, "%s, seed %d, settled", c.Source, c.Seed)
	}
	for i, h := range p.hosts {
		if h.version() != p.store.revision() {
			return errors.Errorf("%s, seed %d: host %d ends at version %d of %d", c.Source, c.Seed, i, h.version(), p.store.revision())
		}
	}
	return nil
}

// checked does something and checks all hosts after it.
func (p *play) checked(do func()) error {
	before, versions := p.hosts, [hosts]catalogue.Version{}
	for i, h := range p.hosts {
		versions[i] = h.version()
	}
	do()
	for i, h := range p.hosts {
		if h == before[i] && h.version() < versions[i] {
			return errors.Errorf("host %d went from version %d back to %d", i, versions[i], h.version())
		}
		if err := p.believes(h); err != nil {
			return errors.Wrapf(err, "host %d", i)
		}
	}
	return nil
}

// step lets one thing happen.
func (p *play) step() {
	switch p.random.IntN(12) {
	case 0, 1, 2:
		p.store.changes = append(p.store.changes, change{nameOf(p.random.IntN(names)), p.random.IntN(3) == 0})
	case 3:
		if p.random.IntN(6) == 0 {
			p.store.forgotten = p.store.revision()
		}
	case 4, 5, 6:
		p.read(p.host(), p.replica)
	case 7, 8:
		p.deliver(p.host(), p.random.IntN(2) == 0)
	case 9:
		p.join(p.host(), p.host())
	case 10:
		p.host().leave()
	case 11:
		if p.random.IntN(4) == 0 {
			p.restart(p.random.IntN(hosts))
		}
	}
}

func (p *play) host() *host { return p.hosts[p.random.IntN(hosts)] }

// replica returns the revision that a serializable read sees.
func (p *play) replica() catalogue.Version {
	last := p.store.revision()
	return last - min(last-firstVersion, catalogue.Version(p.random.IntN(lag)))
}

// restart replaces a host by one that knows nothing.
func (p *play) restart(i int) {
	for _, child := range p.hosts {
		if child.parent == p.hosts[i] {
			child.leave()
		}
	}
	p.hosts[i] = newHost(p.store.source)
}

// settle lets all hosts read what is left.
func (p *play) settle() {
	for _, h := range p.hosts {
		h.leave()
		for range settleReads {
			p.read(h, p.store.revision)
		}
	}
}

// believes returns an error for a record that was not as a host knows it, at the
// version that it claims or later.
func (p *play) believes(h *host) error {
	version := h.version()
	if version == 0 {
		return nil
	}
	view := h.view()
	for n := range names {
		if name := nameOf(n); !p.wasTrue(name, view[name], version) {
			return errors.Errorf("%s is known as of %d at version %d of %d, which it never was", name, view[name], version, p.store.revision())
		}
	}
	return nil
}

// wasTrue reports whether a record was as known at a revision from a version on. Of
// evacuations only their presence is known.
func (p *play) wasTrue(name string, known, version catalogue.Version) bool {
	for v := version; v <= p.store.revision(); v++ {
		changed := p.store.at(v)[name]
		if changed == known || p.store.source == catalogue.Evacuations && changed > 0 && known > 0 {
			return true
		}
	}
	return false
}

// Sources returns the sources that can be checked.
func Sources() []catalogue.Source {
	return []catalogue.Source{catalogue.Servers, catalogue.Evacuations, catalogue.Hosts}
}
