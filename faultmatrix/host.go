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
	readInterval  = 250 * time.Millisecond
	listInterval  = 10 * time.Second
	probeInterval = time.Second
	// linger is how long a host that has stopped as planned goes on forwarding.
	linger = 2 * time.Second
	// drainPoll is between looks whether running requests have ended.
	drainPoll = 50 * time.Millisecond
	// callerSkew bounds how far callers' clocks are ahead.
	callerSkew = 100 * time.Millisecond
	// queuedWhilePaused is how many events wait for a paused host.
	queuedWhilePaused = 500
)

// host is one life of an entry host.
type host struct {
	world *World
	self  fleet.Host
	core  *control.Core
	up    bool
	// draining means that no new requests are taken.
	draining    bool
	downSince   time.Time
	pausedUntil time.Time
	waiting     []func() // what arrived during a pause
	lastStep    time.Time
	handshakes  backend.HandshakeTracker
	known       bool
	listed      time.Time
	attempts    map[request.AttemptID]*attempt
	running     int // requests at this host that have no outcome yet
}

// startHost starts a host, or a new life of one, that knows the other hosts from
// its settings.
func (w *World) startHost(id fleet.HostID) { w.startHostWith(id, w.seeds(id)) }

func (w *World) startHostWith(id fleet.HostID, seeds []fleet.Host) {
	if !slices.Contains(w.ids, id) {
		w.ids = append(w.ids, id)
		slices.Sort(w.ids)
	}
	h := &host{
		world: w,
		self: fleet.Host{
			ID:          id,
			DataCentre:  centreOf(id),
			Incarnation: fleet.Incarnation(w.now.UnixNano()),
			PeerAddress: netip.MustParseAddrPort("127.0.0.1:1"),
		},
		up:       true,
		lastStep: w.now,
		attempts: make(map[request.AttemptID]*attempt),
	}
	h.core = control.New(control.Options{
		Self:  h.self,
		Seeds: seeds,
		// The callers' clocks are right. A wider bound would make the outcome of
		// the first requests after the start of the fleet unknown.
		Keys:   request.Limits{MaxSkew: callerSkew},
		Random: rand.New(rand.NewPCG(w.random.Uint64(), w.random.Uint64())),
		Clock:  func() time.Time { return w.now },
	})
	w.hosts[id] = h
	w.fabric.add(id)
	w.after(time.Duration(w.random.Int64N(int64(control.TickInterval))), h.tick)
	w.after(time.Duration(w.random.Int64N(int64(readInterval))), h.read)
	w.after(time.Duration(w.random.Int64N(int64(probeInterval))), h.probe)
}

// seeds are the hosts that the settings of id name.
func (w *World) seeds(id fleet.HostID) []fleet.Host {
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

// kill ends the host as a crash does.
func (h *host) kill() {
	if !h.up {
		return
	}
	h.up, h.downSince = false, h.world.now
	h.world.fabric.remove(h.self.ID)
	for _, a := range h.attempts {
		a.hostDied()
	}
}

// pause freezes the process for d.
func (h *host) pause(d time.Duration) {
	h.pausedUntil = h.world.now.Add(d)
	h.world.after(d, h.resume)
}

// resume lets everything that waited happen, in the order in which it arrived.
func (h *host) resume() {
	waiting := h.waiting
	h.waiting = nil
	for _, do := range waiting {
		h.run(do)
	}
}

// run calls do now, or when the pause of the host ends, or never if it is down.
func (h *host) run(do func()) {
	switch {
	case !h.up:
	case h.world.now.Before(h.pausedUntil):
		if len(h.waiting) < queuedWhilePaused {
			h.waiting = append(h.waiting, do)
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
	h.world.after(control.TickInterval, h.tick)
}

func (h *host) step(event control.Event) control.Output {
	out := h.core.Step(h.world.now, event)
	h.lastStep = h.world.now
	for _, send := range out.Sends {
		h.send(send)
	}
	for _, v := range out.Verdicts {
		h.answer(v)
	}
	return out
}

func (h *host) send(send fleet.Send) {
	w, from := h.world, h.self.ID
	w.noteSent(from, send)
	w.network.carry(from, send.To, func() {
		if to := w.hosts[send.To]; to != nil {
			to.run(func() { to.step(&control.MessageReceived{From: from, Message: send.Message}) })
		}
	})
}

// read asks the platform when the host has to.
func (h *host) read() {
	if !h.up {
		return
	}
	h.run(h.readNow)
	h.world.after(readInterval, h.read)
}

func (h *host) readNow() {
	s := h.core.Snapshot()
	reads := s != nil && (s.Reader || s.NeedFetch || s.Stale)
	if h.known && !reads {
		return
	}
	r, ok := h.world.platform.read(h.self.DataCentre)
	if !ok {
		return
	}
	h.known = true
	if adopt := h.world.Mutant.Adopt; adopt != nil {
		r = adopt(h.world, r)
	}
	if s == nil || r.Revision > s.Revised.Revision {
		h.step(&control.RevisionRead{Revised: r})
	} else {
		h.step(&control.PlatformAnswered{Revision: r.Revision})
	}
	if h.listed.IsZero() || h.world.now.Sub(h.listed) > listInterval {
		h.listed = h.world.now
		h.step(&control.HostsRead{Hosts: h.world.platform.hosts()})
	}
}

// probe reads the health of the servers that the host keeps.
func (h *host) probe() {
	if !h.up {
		return
	}
	h.run(func() {
		s := h.core.Snapshot()
		if s == nil {
			return
		}
		for _, id := range s.ServersToProbe {
			if server := h.world.servers[id]; server != nil {
				h.step(&control.EvidenceSeen{Evidence: server.health(h.self.DataCentre)})
			}
		}
	})
	h.world.after(probeInterval, h.probe)
}

// stop makes a planned stop and calls then when the host is down.
func (h *host) stop(then func()) {
	h.draining = true
	w := h.world
	wait := linger
	if w.Mutant.Drain != nil && !w.Mutant.Drain() {
		wait = 0
	} else if h.running > 0 && h.up {
		w.after(drainPoll, func() { h.stop(then) })
		return
	}
	h.run(func() { h.step(&control.StopRequested{}) })
	w.after(wait, func() {
		w.checks.stopped(h)
		h.kill()
		then()
	})
}

// ready reports whether the host takes work.
func (h *host) ready() bool {
	s := h.core.Snapshot()
	return h.up && s != nil && s.Ready
}

// packet decides about a packet of the fabric or of a peer.
func (h *host) packet(in flow.Input, c *flowCaller, payload flowPacket) {
	w := h.world
	if w.now.Sub(h.lastStep) > control.StaleAfter {
		return
	}
	d := h.core.Router().Decide(w.now, &in)
	if w.Mutant.Decide != nil {
		d = w.Mutant.Decide(w, &in, d)
	}
	switch d.Action {
	case flow.Forward:
		h.forward(&in, d, c, payload)
	case flow.HandOff:
		h.handOff(in, d.Host, c, payload)
	case flow.Reset:
		w.after(time.Millisecond, func() { c.reset("", string(d.Reason)) })
	}
}

func (h *host) handOff(in flow.Input, to fleet.HostID, c *flowCaller, payload flowPacket) {
	in.Handed, in.From = true, h.self.ID
	h.world.network.carry(h.self.ID, to, func() {
		if peer := h.world.hosts[to]; peer != nil {
			peer.run(func() { peer.packet(in, c, payload) })
		}
	})
}

func (h *host) forward(in *flow.Input, d flow.Decision, c *flowCaller, payload flowPacket) {
	w := h.world
	server := w.servers[d.Server]
	if server == nil {
		return
	}
	evidence, ok := h.handshakes.Observe(w.now, backend.Packet{
		Key: in.Key, SYN: in.SYN, ACK: in.ACK, RST: in.RST, Server: d.Server,
	})
	if ok {
		h.step(&control.EvidenceSeen{Evidence: evidence})
	}
	if !w.network.reaches(h.self.DataCentre, server.centre) {
		return
	}
	c.forwarded(h.self.ID, d.Server, payload)
	w.after(w.network.delay(h.self.DataCentre, server.centre), func() { server.packet(in.Key, c, payload) })
}
