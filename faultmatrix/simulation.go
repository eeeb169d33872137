package faultmatrix

import (
	"encoding/binary"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rattanthread/rattanthread/config"
	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/flow"
	"github.com/rattanthread/rattanthread/request"
)

// Mutant replaces decisions by faulty ones, to show that the check of a guarantee
// can fail. A nil field replaces nothing.
type Mutant struct {
	Decide  func(sim *Simulation, in *flow.Input, d flow.Decision) flow.Decision
	Verdict func(sim *Simulation, v request.Verdict) request.Verdict
	// Admit overrides whether a request may be sent to a server.
	Admit func(server fleet.ServerID, admitted bool) bool
	// Adopt overrides the configuration that a host reads.
	Adopt func(sim *Simulation, r config.PublishedSet) config.PublishedSet
	// Drain overrides whether a host waits for its running requests in a planned stop
	// and then keeps forwarding for the linger time.
	Drain func() bool
	// Served overrides whether the response to a request counts. If not, the host
	// reports the request as refused.
	Served func() bool
	// Answer overrides the response body that a caller receives.
	Answer func(body string) string
}

// Simulation runs a few entry hosts and the fakes around them in virtual time.
type Simulation struct {
	Mutant Mutant

	now           time.Time
	started       time.Time
	queue         eventQueue
	random        *rand.Rand
	network       network
	platform      platform
	hosts         map[fleet.HostID]*host
	ids           []fleet.HostID // every host that was ever started, sorted
	fabric        fabric
	servers       map[fleet.ServerID]*server
	flows         flowCallers
	requests      requestCallers
	checks        checks
	messageDigest xxhash.Digest // of all messages between entry hosts, in order
}

// The phases of a run.
const (
	startupTime   = 12 * time.Second // before the procedure starts; by then no server is cold
	procedureTime = 24 * time.Second // from the start of the procedure to the end of the run
)

// NewSimulation returns a simulation whose randomness comes from seed. It is not
// running yet.
func NewSimulation(seed uint64) *Simulation {
	sim := &Simulation{
		started: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		random:  rand.New(rand.NewPCG(seed, seed)),
		hosts:   make(map[fleet.HostID]*host),
		servers: make(map[fleet.ServerID]*server),
	}
	sim.now = sim.started
	sim.messageDigest.Reset()
	sim.network.sim, sim.platform.sim, sim.fabric.sim = sim, sim, sim
	sim.flows.sim, sim.requests.sim, sim.checks.sim = sim, sim, sim
	set := initialSet()
	for _, s := range set.Servers {
		sim.addServer(s)
	}
	sim.platform.publish(set)
	for _, id := range initialHosts {
		sim.startHost(id)
	}
	sim.flows.start()
	sim.requests.start()
	sim.every(100*time.Millisecond, sim.checks.checkRevisions)
	return sim
}

// after schedules do to run once after d.
func (sim *Simulation) after(d time.Duration, do func()) { sim.queue.push(sim.now.Add(d), do) }

// every schedules do to run at intervals of d.
func (sim *Simulation) every(d time.Duration, do func()) {
	sim.after(d, func() {
		do()
		sim.every(d, do)
	})
}

// runFor advances virtual time by d and runs the events that fall due.
func (sim *Simulation) runFor(d time.Duration) {
	end := sim.now.Add(d)
	for len(sim.queue.events) > 0 && !sim.queue.events[0].at.After(end) {
		next := sim.popEvent()
		sim.now = next.at
		next.do()
	}
	sim.now = end
}

// recordMessage adds a message to the digest by which runs are compared.
func (sim *Simulation) recordMessage(from fleet.HostID, send fleet.Send) {
	var at [8]byte
	binary.LittleEndian.PutUint64(at[:], uint64(sim.now.Sub(sim.started)))
	_, _ = sim.messageDigest.Write(at[:])
	for _, text := range []string{string(from), string(send.To), string(send.Message.Kind())} {
		_, _ = sim.messageDigest.WriteString(text)
	}
}

// publish makes a change as an operator does, and retries until the platform is up.
// Operators resolve a lost response by reading back, so a change is published once.
func (sim *Simulation) publish(change func(*config.Set)) {
	if !sim.platform.up {
		sim.after(500*time.Millisecond, func() { sim.publish(change) })
		return
	}
	set := sim.platform.head().Set
	set = cloneSet(set)
	change(&set)
	sim.platform.publish(set.Normalised())
}
