package capacity

import (
	"math/rand/v2"
	"runtime"
	"time"

	"github.com/rattanthread/rattanthread/backend"
	"github.com/rattanthread/rattanthread/control"
	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/membership"
)

const (
	probeInterval        = 500 * time.Millisecond // between pings to a host
	pollInterval         = 250 * time.Millisecond // between credit polls of an allocator
	leaseInterval        = 500 * time.Millisecond // between lease requests of a key owner
	confirmationInterval = 10 * time.Second       // between responses of the platform
	recordsPerMessage    = 100
)

type phase struct {
	name  Phase
	span  time.Duration
	setUp func()
}

func (m *measurement) phases() []phase {
	return []phase{
		{PhaseStart, 10 * time.Second, m.discoverPeers},
		{PhaseAdopt, 2 * time.Second, m.adoptRevision},
		{PhaseSteady, 20 * time.Second, func() {}},
		{PhaseChange, 10 * time.Second, func() { m.readRevision(3) }},
		{PhaseDeath, 10 * time.Second, func() { m.peers.dead[m.peers.lastHost().ID] = true; m.reportDeath() }},
		{PhaseCold, 2 * time.Second, func() { m.reportPhase(fleet.ServerCold, m.inFirstDataCentre) }},
	}
}

// discoverPeers has every peer ping the host, and passes it the servers without the
// services, so that it learns that they are warm before it builds its tables.
func (m *measurement) discoverPeers() {
	m.step(&control.HostsRead{Hosts: m.peers.hosts})
	for i, h := range m.peers.hosts[1:] {
		m.receive(h.ID, &membership.Ping{Header: m.peers.header(h), Sequence: uint64(i)})
	}
	first := m.size.configuration(1)
	first.Set.Services = nil
	m.step(&control.RevisionRead{Published: first})
}

func (m *measurement) adoptRevision() {
	m.reportPhase(fleet.ServerWarm, func(int) bool { return true })
	m.readRevision(2)
}

func (m *measurement) readRevision(revision fleet.Revision) {
	m.step(&control.RevisionRead{Published: m.size.configuration(revision)})
}

func (m *measurement) inFirstDataCentre(server int) bool {
	return m.size.server(server).DataCentre == m.size.dataCentre(0)
}

// reportDeath has a live peer report the failure of the last host.
func (m *measurement) reportDeath() {
	dead := newClaim(m.peers.lastHost(), false)
	dead.Status = membership.Dead
	from := m.peers.randomLive()
	header := m.peers.header(from)
	header.Updates = []membership.Claim{dead}
	m.receive(from.ID, &membership.Gossip{Header: header})
}

// reportPhase has a peer report the phase of the chosen servers.
func (m *measurement) reportPhase(serverPhase fleet.ServerPhase, chosen func(int) bool) {
	from := m.peers.randomLive()
	incarnation := fleet.Incarnation(m.now.Unix())
	for first := 0; first < m.size.Servers; first += recordsPerMessage {
		records := new(backend.Records)
		for i := first; i < min(first+recordsPerMessage, m.size.Servers); i++ {
			if !chosen(i) {
				continue
			}
			id := m.size.server(i).Name
			m.cold[id] = serverPhase == fleet.ServerCold
			records.Records = append(records.Records, fleet.ServerRecord{Server: id, Phase: serverPhase, Incarnation: incarnation, Sequence: 1})
		}
		m.receive(from.ID, records)
	}
}

// advance advances virtual time and sends the periodic messages of peers and platform.
func (m *measurement) advance(span time.Duration) {
	for end := m.now.Add(span); m.now.Before(end); {
		m.now = m.now.Add(control.TickInterval / 2)
		passed := m.now.Sub(startTime)
		if passed%control.TickInterval == 0 {
			m.step(&control.Tick{})
		}
		if passed%probeInterval == 0 {
			from := m.peers.randomLive()
			m.receive(from.ID, &membership.Ping{Header: m.peers.header(from), Sequence: uint64(passed)})
		}
		if passed%leaseInterval == 0 && m.peers.lastLease.Ring != 0 {
			m.requestLeases()
		}
		if passed%pollInterval == 0 {
			m.sendPolls()
		}
		if passed%confirmationInterval == 0 {
			m.step(&control.PlatformAnswered{Revision: 1})
		}
	}
}

// requestLeases has every peer in the data centre of the measured host request its
// lease.
func (m *measurement) requestLeases() {
	for _, h := range m.peers.hosts[1:] {
		if !m.peers.dead[h.ID] && h.DataCentre == m.peers.self().DataCentre {
			request := m.peers.lastLease
			m.receive(h.ID, &request)
		}
	}
}

// sendPolls has every allocator of cold servers poll the measured host.
func (m *measurement) sendPolls() {
	m.peers.lastPoll++
	for _, h := range m.peers.hosts[1:] {
		if m.peers.dead[h.ID] {
			continue
		}
		if poll := m.peers.creditPoll(h.ID, m.cold); poll != nil {
			m.receive(h.ID, poll)
		}
	}
}

// Join passes the whole configuration to a host to which no server is known to be
// warm, as at its start, and returns the cost until it has built the first tables.
func Join(size Size) Cost {
	m := &measurement{size: size, peers: newPeers(size), now: startTime, baseHeap: heapBytes()}
	m.cost = &Cost{Phase: PhaseJoin, Kinds: make(map[fleet.MessageKind]int)}
	m.core = control.New(control.Options{Self: m.peers.self(), Random: rand.New(rand.NewPCG(1, 2))})
	m.step(&control.HostsRead{Hosts: m.peers.hosts})
	m.readRevision(1)
	for m.core.Router().Stats().Splits == 0 {
		m.now = m.now.Add(control.TickInterval)
		m.step(&control.Tick{})
	}
	m.cost.Span = m.now.Sub(startTime)
	m.cost.Heap = heapBytes() - m.baseHeap
	runtime.KeepAlive(m)
	return *m.cost
}
