package faultmatrix

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/rattanthread/rattanthread/backend"
	"github.com/rattanthread/rattanthread/control"
	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/flow"
	"github.com/rattanthread/rattanthread/request"
)

const (
	pollInterval     = 250 * time.Millisecond
	hostListInterval = 10 * time.Second
	probeInterval    = time.Second
	// linger is how long a host keeps forwarding after a planned stop.
	linger = 2 * time.Second
	// drainPollInterval is the time between checks for running requests during a
	// planned stop.
	drainPollInterval = 50 * time.Millisecond
	// callerSkew is how far callers' clocks may be ahead.
	callerSkew = 100 * time.Millisecond
	// pausedQueueSize is the maximum number of events queued for a paused host.
	pausedQueueSize = 500
)

// host is one incarnation of an entry host.
type host struct {
	sim  *Simulation
	self fleet.Host
	core *control.Core
	up   bool
	// draining means that no new requests are accepted.
	draining    bool
	downSince   time.Time
	pausedUntil time.Time
	queued      []func() // events that arrived during a pause
	lastStep    time.Time
	handshakes  backend.HandshakeTracker
	configRead  bool
	hostsReadAt time.Time
	attempts    map[request.AttemptID]*attempt
	running     int // requests at this host without an outcome
}

// startHost starts a host, or a new incarnation of one, with the other initial
// hosts as seeds.
func (sim *Simulation) startHost(id fleet.HostID) { sim.startHostWithSeeds(id, sim.seeds(id)) }

func (sim *Simulation) startHostWithSeeds(id fleet.HostID, seeds []fleet.Host) {
	if !slices.Contains(sim.ids, id) {
		sim.ids = append(sim.ids, id)
		slices.Sort(sim.ids)
	}
	h := &host{
		sim: sim,
		self: fleet.Host{
			ID:          id,
			DataCentre:  centreOf(id),
			Incarnation: fleet.Incarnation(sim.now.UnixNano()),
			PeerAddress: netip.MustParseAddrPort("127.0.0.1:1"),
		},
		up:       true,
		lastStep: sim.now,
		attempts: make(map[request.AttemptID]*attempt),
	}
	h.core = control.New(control.Options{
		Self:  h.self,
		Seeds: seeds,
		// The callers' clocks are correct. A wider bound would make the outcome of
		// the first requests after the start of the fleet unknown.
		Keys:   request.Limits{MaxSkew: callerSkew},
		Random: rand.New(rand.NewPCG(sim.random.Uint64(), sim.random.Uint64())),
		Clock:  func() time.Time { return sim.now },
	})
	sim.hosts[id] = h
	sim.fabric.add(id)
	sim.after(time.Duration(sim.random.Int64N(int64(control.TickInterval))), h.tick)
	sim.after(time.Duration(sim.random.Int64N(int64(pollInterval))), h.pollPlatform)
	sim.after(time.Duration(sim.random.Int64N(int64(probeInterval))), h.probe)
}

// seeds returns the seed hosts in the settings of id.
func (sim *Simulation) seeds(id fleet.HostID) []fleet.Host {
	var seeds []fleet.Host
	for _, other := range initialHosts {
		if other != id {
			seeds = append(seeds, fleet.Host{
				ID: other, DataCentre: centreOf(other), PeerAddress: netip.MustParseAddrPort("127.0.0.1:1"),
			})
		}
	}
	return seeds
}

// kill stops the host as a crash does.
func (h *host) kill() {
	if !h.up {
		return
	}
	h.up, h.downSince = false, h.sim.now
	h.sim.fabric.remove(h.self.ID)
	for _, a := range h.attempts {
		a.abort()
	}
}

// pause freezes the process for d.
func (h *host) pause(d time.Duration) {
	h.pausedUntil = h.sim.now.Add(d)
	h.sim.after(d, h.resume)
}

// resume runs the queued events in the order in which they arrived.
func (h *host) resume() {
	queued := h.queued
	h.queued = nil
	for _, do := range queued {
		h.run(do)
	}
}

// run calls do now, or at the end of a pause. It drops do if the host is down or the
// queue of a paused host is full.
func (h *host) run(do func()) {
	switch {
	case !h.up:
	case h.sim.now.Before(h.pausedUntil):
		if len(h.queued) < pausedQueueSize {
			h.queued = append(h.queued, do)
		}
	default:
		do()
	}
}

func (h *host) tick() {
	if !h.up {
		return
	}
	h.run(func() { h.step(&control.Tick{}) })
	h.sim.after(control.TickInterval, h.tick)
}

func (h *host) step(event control.Event) control.Output {
	out := h.core.Step(h.sim.now, event)
	h.lastStep = h.sim.now
	for _, send := range out.Sends {
		h.send(send)
	}
	for _, v := range out.Verdicts {
		h.handleVerdict(v)
	}
	return out
}

func (h *host) send(send fleet.Send) {
	sim, from := h.sim, h.self.ID
	sim.recordMessage(from, send)
	sim.network.carry(from, send.To, func() {
		if to := sim.hosts[send.To]; to != nil {
			to.run(func() { to.step(&control.MessageReceived{From: from, Message: send.Message}) })
		}
	})
}

// pollPlatform calls readPlatform every pollInterval.
func (h *host) pollPlatform() {
	if !h.up {
		return
	}
	h.run(h.readPlatform)
	h.sim.after(pollInterval, h.pollPlatform)
}

// readPlatform reads the configuration if the host has not read one yet or its control
// core needs a newer one, and with it the host list if hostListInterval has passed.
func (h *host) readPlatform() {
	snapshot := h.core.Snapshot()
	needed := snapshot != nil && (snapshot.Reader || snapshot.NeedFetch || snapshot.Stale)
	if h.configRead && !needed {
		return
	}
	published, ok := h.sim.platform.read(h.self.DataCentre)
	if !ok {
		return
	}
	h.configRead = true
	if adopt := h.sim.Mutant.Adopt; adopt != nil {
		published = adopt(h.sim, published)
	}
	if snapshot == nil || published.Revision > snapshot.Published.Revision {
		h.step(&control.RevisionRead{Published: published})
	} else {
		h.step(&control.PlatformAnswered{Revision: published.Revision})
	}
	if h.hostsReadAt.IsZero() || h.sim.now.Sub(h.hostsReadAt) > hostListInterval {
		h.hostsReadAt = h.sim.now
		h.step(&control.HostsRead{Hosts: h.sim.platform.hosts()})
	}
}

// probe checks the health of the servers that the host has to probe.
func (h *host) probe() {
	if !h.up {
		return
	}
	h.run(func() {
		snapshot := h.core.Snapshot()
		if snapshot == nil {
			return
		}
		for _, id := range snapshot.ServersToProbe {
			if server := h.sim.servers[id]; server != nil {
				h.step(&control.EvidenceSeen{Evidence: server.health(h.self.DataCentre)})
			}
		}
	})
	h.sim.after(probeInterval, h.probe)
}

// stop makes a planned stop and calls then when the host is down.
func (h *host) stop(then func()) {
	h.draining = true
	sim := h.sim
	wait := linger
	if sim.Mutant.Drain != nil && !sim.Mutant.Drain() {
		wait = 0
	} else if h.running > 0 && h.up {
		sim.after(drainPollInterval, func() { h.stop(then) })
		return
	}
	h.run(func() { h.step(&control.StopRequested{}) })
	sim.after(wait, func() {
		sim.checks.checkPlannedStop(h)
		h.kill()
		then()
	})
}

// ready reports whether the host accepts work.
func (h *host) ready() bool {
	s := h.core.Snapshot()
	return h.up && s != nil && s.Ready
}

// handlePacket handles a packet from the fabric or from a peer.
func (h *host) handlePacket(in flow.Input, caller *flowCaller, payload flowPacket) {
	sim := h.sim
	if sim.now.Sub(h.lastStep) > control.StaleAfter {
		return
	}
	decision := h.core.Router().Decide(sim.now, &in)
	if sim.Mutant.Decide != nil {
		decision = sim.Mutant.Decide(sim, &in, decision)
	}
	switch decision.Action {
	case flow.Forward:
		h.forward(&in, decision, caller, payload)
	case flow.HandOff:
		h.handOff(in, decision.Host, caller, payload)
	case flow.Reset:
		sim.after(time.Millisecond, func() { caller.handleReset("", string(decision.Reason)) })
	}
}

func (h *host) handOff(in flow.Input, to fleet.HostID, caller *flowCaller, payload flowPacket) {
	in.Handed, in.From = true, h.self.ID
	h.sim.network.carry(h.self.ID, to, func() {
		if peer := h.sim.hosts[to]; peer != nil {
			peer.run(func() { peer.handlePacket(in, caller, payload) })
		}
	})
}

func (h *host) forward(in *flow.Input, decision flow.Decision, caller *flowCaller, payload flowPacket) {
	sim := h.sim
	server := sim.servers[decision.Server]
	if server == nil {
		return
	}
	evidence, ok := h.handshakes.Observe(sim.now, backend.Packet{
		Key: in.Key, SYN: in.SYN, ACK: in.ACK, RST: in.RST, Server: decision.Server,
	})
	if ok {
		h.step(&control.EvidenceSeen{Evidence: evidence})
	}
	if !sim.network.reaches(h.self.DataCentre, server.centre) {
		return
	}
	caller.recordForward(h.self.ID, decision.Server, payload)
	sim.after(sim.network.delay(h.self.DataCentre, server.centre), func() { server.handlePacket(in.Key, caller, payload) })
}
