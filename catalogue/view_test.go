package catalogue_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/rattanthread/rattanthread/catalogue"
	"github.com/rattanthread/rattanthread/fleet"
)

// The views of some hosts are checked against a store whose reads are old, whose
// history is dropped, and against feeds that break: what a host knows of a record is
// true at the version that it claims, or was true later.
const (
	viewHosts = 4
	viewNames = 5
	// viewLag is by how many changes a serializable read may lag.
	viewLag = 6
)

// modelStore is a store with all that ever happened.
type modelStore struct {
	source    catalogue.Source
	changes   []modelChange // of revisions from 2 on
	forgotten catalogue.Version
}

type modelChange struct {
	name    string
	removed bool
}

func (s *modelStore) revision() catalogue.Version { return catalogue.Version(len(s.changes) + 1) }

// at returns the version of each record at a revision.
func (s *modelStore) at(revision catalogue.Version) map[string]catalogue.Version {
	records := make(map[string]catalogue.Version)
	for i, c := range s.changes[:revision-1] {
		if c.removed {
			delete(records, c.name)
		} else {
			records[c.name] = catalogue.Version(i + 2)
		}
	}
	return records
}

func (s *modelStore) record(name string, version catalogue.Version, removed bool) catalogue.Record {
	r := catalogue.Record{Name: name, Changed: version, Removed: removed}
	switch {
	case removed:
	case s.source == catalogue.Servers:
		r.Server = server(fleet.ServerID(name), version)
	case s.source == catalogue.Hosts:
		r.Host = &fleet.Host{ID: fleet.HostID(name)}
	}
	return r
}

// page returns half of the records as they were at a revision.
func (s *modelStore) page(second bool, revision catalogue.Version) catalogue.Answer {
	a := catalogue.Answer{Source: s.source, Version: revision}
	records := s.at(revision)
	for n := range viewNames {
		name := modelName(n)
		if changed, ok := records[name]; ok && (n >= viewNames/2) == second {
			a.Records = append(a.Records, s.record(name, changed, false))
		}
	}
	return a
}

// watch returns the changes after a version up to a revision, or false if they are gone.
func (s *modelStore) watch(after, revision catalogue.Version) (catalogue.Answer, bool) {
	if after < s.forgotten {
		return catalogue.Answer{}, false
	}
	a := catalogue.Answer{Source: s.source, Version: max(after, revision)}
	for v := after + 1; v <= revision; v++ {
		c := s.changes[v-2]
		a.Records = append(a.Records, s.record(c.name, v, c.removed))
	}
	return a, true
}

func modelName(n int) string { return fmt.Sprint("i-0", n) }

// modelHost is one host: its view, how it reads the store, and whom it learns from.
type modelHost struct {
	tracker  catalogue.Tracker
	follower catalogue.Follower
	exact    bool
	old      *catalogue.Answer
	parent   *modelHost
	inbox    []catalogue.Answer
}

type model struct {
	store  modelStore
	hosts  [viewHosts]*modelHost
	random *rand.Rand
	// trustsRevision is a broken reader: it watches from the revision that an old list
	// names.
	trustsRevision bool
}

func (m *model) host() *modelHost { return m.hosts[m.random.IntN(viewHosts)] }

// replica returns the revision that a serializable read sees.
func (m *model) replica() catalogue.Version {
	last := m.store.revision()
	return max(1, last-min(last-1, catalogue.Version(m.random.IntN(viewLag))))
}

func (m *model) step() {
	switch m.random.IntN(12) {
	case 0, 1, 2:
		m.store.changes = append(m.store.changes, modelChange{modelName(m.random.IntN(viewNames)), m.random.IntN(3) == 0})
	case 3:
		if m.random.IntN(6) == 0 {
			m.store.forgotten = m.store.revision()
		}
	case 4, 5, 6:
		m.read(m.host(), m.replica)
	case 7, 8:
		m.deliver(m.host())
	case 9:
		m.join(m.host(), m.host())
	case 10:
		m.leave(m.host())
	case 11:
		if m.random.IntN(4) == 0 {
			m.restart(m.random.IntN(viewHosts))
		}
	}
}

// read makes a host's next call, as its reader does.
func (m *model) read(h *modelHost, replica func() catalogue.Version) {
	h.follower.Learned(h.tracker.Version(m.store.source))
	call := h.follower.Next()
	switch {
	case call.Whole && h.exact:
		whole := m.list(func() catalogue.Version { return m.store.revision() }, false)
		m.take(h, whole)
		h.follower.Answered(whole.Version)
	case call.Whole:
		if h.old == nil {
			list := m.list(replica, true)
			h.old = &list
			return // what has changed is asked for later
		}
		call.After = h.old.Version
		fallthrough
	default:
		changes, ok := m.store.watch(call.After, replica())
		if !ok {
			h.follower.Forgotten()
			h.old, h.exact = nil, true
			return
		}
		if h.old != nil {
			m.take(h, *h.old)
			h.old = nil
		}
		m.take(h, changes)
		h.follower.Answered(changes.Version)
	}
}

// list reads two pages. The version of an old one is that of its latest record.
func (m *model) list(replica func() catalogue.Version, old bool) catalogue.Answer {
	var l catalogue.Listing
	for second := false; ; second = true {
		page := m.store.page(second, replica())
		switch {
		case old && m.trustsRevision:
			page.Version = m.store.revision()
		case old:
			page.Version = 1
			for _, r := range page.Records {
				page.Version = max(page.Version, r.Changed)
			}
		}
		next := ""
		if !second {
			next = modelName(viewNames/2 - 1)
		}
		if whole, done := l.Add(start, page, next); done {
			return whole
		}
	}
}

// take lets a host take in an answer and pass it on.
func (m *model) take(h *modelHost, a catalogue.Answer) {
	source := m.store.source
	before := h.tracker.Version(source)
	h.tracker.Take(start, a)
	if a.Version <= before {
		return
	}
	if a.Whole {
		a = h.tracker.Since(start, source, before)
	}
	for _, child := range m.hosts {
		if child.parent == h {
			child.inbox = append(child.inbox, a)
		}
	}
}

// deliver gives a host what its parent has sent, and at times the parent's version.
func (m *model) deliver(h *modelHost) {
	if h.parent == nil {
		return
	}
	version := h.parent.tracker.Version(m.store.source)
	whole := m.random.IntN(2) == 0
	for len(h.inbox) > 0 {
		a := h.inbox[0]
		h.inbox = h.inbox[1:]
		m.take(h, a)
		if !whole {
			return
		}
	}
	if version > 0 {
		m.take(h, catalogue.Answer{Source: m.store.source, Version: version})
	}
}

func (m *model) join(child, parent *modelHost) {
	for above := parent; above != nil; above = above.parent {
		if above == child {
			return
		}
	}
	m.leave(child)
	child.parent = parent
	version := child.tracker.Version(m.store.source)
	if parent.tracker.Version(m.store.source) > version {
		child.inbox = append(child.inbox, parent.tracker.Since(start, m.store.source, version))
	}
}

func (m *model) leave(h *modelHost) { h.parent, h.inbox = nil, nil }

func (m *model) restart(i int) {
	for _, child := range m.hosts {
		if child.parent == m.hosts[i] {
			m.leave(child)
		}
	}
	m.hosts[i] = newModelHost(m.store.source)
}

func newModelHost(source catalogue.Source) *modelHost {
	return &modelHost{follower: catalogue.Follower{Source: source}}
}

// view returns the version of each record that a host knows.
func (m *model) view(h *modelHost) map[string]catalogue.Version {
	known := make(map[string]catalogue.Version)
	for _, r := range h.tracker.Whole(start, m.store.source).Records {
		known[r.Name] = r.Changed
	}
	return known
}

// fault tells what a host holds that was not true at its version or later.
func (m *model) fault(h *modelHost) string {
	version := h.tracker.Version(m.store.source)
	if version == 0 {
		return ""
	}
	view := m.view(h)
	for n := range viewNames {
		name := modelName(n)
		if !m.wasTrue(name, view[name], version) {
			return fmt.Sprintf("%s: known as of %d at version %d of %d, which it never was", name, view[name], version, m.store.revision())
		}
	}
	return ""
}

// wasTrue reports whether a record was as known at a revision from version on. Of
// evacuations only their presence is known.
func (m *model) wasTrue(name string, known, version catalogue.Version) bool {
	for v := version; v <= m.store.revision(); v++ {
		changed := m.store.at(v)[name]
		if changed == known || m.store.source == catalogue.Evacuations && changed > 0 && known > 0 {
			return true
		}
	}
	return false
}

// play runs steps and returns the first fault.
func (m *model) play(steps int) string {
	for i := range m.hosts {
		m.hosts[i] = newModelHost(m.store.source)
	}
	for range steps {
		versions := make(map[*modelHost]catalogue.Version)
		for _, h := range m.hosts {
			versions[h] = h.tracker.Version(m.store.source)
		}
		m.step()
		for _, h := range m.hosts {
			if version := h.tracker.Version(m.store.source); version < versions[h] {
				return fmt.Sprintf("a view went from version %d back to %d", versions[h], version)
			}
			if fault := m.fault(h); fault != "" {
				return fault
			}
		}
	}
	return m.settle()
}

// settle lets all hosts read what is left, and returns what one still lacks.
func (m *model) settle() string {
	for _, h := range m.hosts {
		m.leave(h)
		for range 5 {
			m.read(h, m.store.revision)
		}
		if h.tracker.Version(m.store.source) != m.store.revision() {
			return "a host doesn't reach the latest version"
		}
		if fault := m.fault(h); fault != "" {
			return fault
		}
	}
	return ""
}

var viewSources = []catalogue.Source{catalogue.Servers, catalogue.Evacuations, catalogue.Hosts}

func TestViewsAreTrue(t *testing.T) {
	const seeds, steps = 400, 120
	for _, source := range viewSources {
		t.Run(source.String(), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(seeds) {
				m := model{store: modelStore{source: source}, random: rand.New(rand.NewPCG(seed, 1))}
				if fault := m.play(steps); fault != "" {
					t.Fatalf("seed %d: %s", seed, fault)
				}
			}
		})
	}
}

// The check finds a reader that relies on the revision that an old list names.
func TestViewsCheckCanFail(t *testing.T) {
	for _, source := range viewSources {
		t.Run(source.String(), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(400) {
				m := model{store: modelStore{source: source}, random: rand.New(rand.NewPCG(seed, 1)), trustsRevision: true}
				if m.play(120) != "" {
					return
				}
			}
			t.Fatal("no seed finds it")
		})
	}
}
