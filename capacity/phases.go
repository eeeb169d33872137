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
	probeInterval = 500 * time.Millisecond // between the pings of a host
	pollInterval  = 250 * time.Millisecond // between the credit polls of a keeper
	leaseInterval = 500 * time.Millisecond // between the lease asks of an owner of keys
	confirmation  = 10 * time.Second       // between answers of the platform
	recordsPart   = 100                    // records in one message
)

type phase struct {
	phase Phase
	span  time.Duration
	begin func()
}

func (r *run) phases() []phase {
	return []phase{
		{PhaseStart, 10 * time.Second, r.begin},
		{PhaseAdopt, 2 * time.Second, r.adopt},
		{PhaseSteady, 20 * time.Second, func() {}},
		{PhaseChange, 10 * time.Second, func() { r.revise(3) }},
		{PhaseDeath, 10 * time.Second, func() { r.peers.dead[r.peers.last().ID] = true; r.tell() }},
		{PhaseCold, 2 * time.Second, func() { r.record(fleet.ServerCold, r.isFirstCentre) }},
	}
}

// begin lets the host hear of every peer and gives it the servers without the services, so that it knows that
// they are warm before it builds its tables.
func (r *run) begin() {
	r.step(&control.HostsRead{Hosts: r.peers.hosts})
	for i, h := range r.peers.hosts[1:] {
		r.receive(h.ID, &membership.Ping{Header: r.peers.header(h), Sequence: uint64(i)})
	}
	first := r.size.configuration(1)
	first.Set.Services = nil
	r.step(&control.RevisionRead{Revised: first})
}

func (r *run) adopt() {
	r.record(fleet.ServerWarm, func(int) bool { return true })
	r.revise(2)
}

func (r *run) revise(revision fleet.Revision) {
	r.step(&control.RevisionRead{Revised: r.size.configuration(revision)})
}

func (r *run) isFirstCentre(server int) bool {
	return r.size.server(server).DataCentre == r.size.centre(0)
}

// tell has a peer report that the dead one is dead.
func (r *run) tell() {
	lost := claimOf(r.peers.last(), false)
	lost.Status = membership.Dead
	from := r.peers.any()
	header := r.peers.header(from)
	header.Updates = []membership.Claim{lost}
	r.receive(from.ID, &membership.Gossip{Header: header})
}

// record has a peer tell the phase of the chosen servers.
func (r *run) record(p fleet.ServerPhase, chosen func(int) bool) {
	from := r.peers.any()
	incarnation := fleet.Incarnation(r.now.Unix())
	for first := 0; first < r.size.Servers; first += recordsPart {
		records := new(backend.Records)
		for i := first; i < min(first+recordsPart, r.size.Servers); i++ {
			if !chosen(i) {
				continue
			}
			id := r.size.server(i).Name
			r.cold[id] = p == fleet.ServerCold
			records.Records = append(records.Records, fleet.ServerRecord{Server: id, Phase: p, Incarnation: incarnation, Sequence: 1})
		}
		r.receive(from.ID, records)
	}
}

// run lets virtual time pass.
func (r *run) run(span time.Duration) {
	for end := r.now.Add(span); r.now.Before(end); {
		r.now = r.now.Add(control.TickInterval / 2)
		passed := r.now.Sub(started)
		if passed%control.TickInterval == 0 {
			r.step(&control.Tick{})
		}
		if passed%probeInterval == 0 {
			from := r.peers.any()
			r.receive(from.ID, &membership.Ping{Header: r.peers.header(from), Sequence: uint64(passed)})
		}
		if passed%leaseInterval == 0 && r.peers.lease.Ring != 0 {
			r.askLeases()
		}
		if passed%pollInterval == 0 {
			r.pollAll()
		}
		if passed%confirmation == 0 {
			r.step(&control.PlatformAnswered{Revision: 1})
		}
	}
}

// askLeases has every peer of the data centre ask for its lease.
func (r *run) askLeases() {
	for _, h := range r.peers.hosts[1:] {
		if !r.peers.dead[h.ID] && h.DataCentre == r.peers.self().DataCentre {
			ask := r.peers.lease
			r.receive(h.ID, &ask)
		}
	}
}

// pollAll has every peer that keeps cold servers poll the measured host.
func (r *run) pollAll() {
	r.peers.poll++
	for _, h := range r.peers.hosts[1:] {
		if r.peers.dead[h.ID] {
			continue
		}
		if poll := r.peers.pollOf(h.ID, r.cold); poll != nil {
			r.receive(h.ID, poll)
		}
	}
}

// Join gives a host the whole configuration while it knows of no warm server, as
// at its start, and returns the cost until the first tables are built.
func Join(size Size) Cost {
	r := &run{size: size, peers: newPeers(size), now: started, empty: heap()}
	r.cost = &Cost{Phase: PhaseJoin, Kinds: make(map[fleet.MessageKind]int)}
	r.core = control.New(control.Options{Self: r.peers.self(), Random: rand.New(rand.NewPCG(1, 2))})
	r.step(&control.HostsRead{Hosts: r.peers.hosts})
	r.revise(1)
	for r.core.Router().Stats().Splits == 0 {
		r.now = r.now.Add(control.TickInterval)
		r.step(&control.Tick{})
	}
	r.cost.Span = r.now.Sub(started)
	r.cost.Heap = heap() - r.empty
	runtime.KeepAlive(r)
	return *r.cost
}
