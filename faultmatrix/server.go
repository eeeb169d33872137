package faultmatrix

import (
	"fmt"
	"math"
	"time"

	"github.com/rattanthread/rattanthread/backend"
	"github.com/rattanthread/rattanthread/config"
	"github.com/rattanthread/rattanthread/fleet"
)

// coldTime is how long a restarted server bears little.
const coldTime = 2 * time.Second

// warmupDoublings is how often what a cold server bears doubles within its warm-up
// time.
const warmupDoublings = 4.0

// coldWindow is the span over which a cold server's load is compared with what
// it bears.
const coldWindow = time.Second

// server is a backend server: it keeps flows, runs requests, and is cold for a
// while after each start.
type server struct {
	world     *World
	id        fleet.ServerID
	service   fleet.ServiceName
	centre    fleet.DataCentreID
	object    config.Server
	up        bool
	life      int
	started   time.Time
	lost      time.Time // when it last lost its flows
	silent    bool      // takes packets and answers none
	flows     map[fleet.FlowKey]bool
	coldWork  []time.Time // new work taken while cold
	lastWork  time.Time
	lastFlow  time.Time // last packet
	lieHealth bool
}

func (w *World) addServer(object config.Server) {
	w.servers[object.Name] = &server{
		world:   w,
		id:      object.Name,
		service: object.Service,
		centre:  object.DataCentre,
		object:  object,
		up:      true,
		life:    1,
		started: w.now,
		flows:   make(map[fleet.FlowKey]bool),
	}
}

// restart loses all flows and starts cold after a moment.
func (s *server) restart() {
	s.up, s.lost = false, s.world.now
	s.flows = make(map[fleet.FlowKey]bool)
	s.world.after(500*time.Millisecond, func() {
		s.up = true
		s.life++
		s.started = s.world.now
		s.coldWork = nil
	})
}

func (s *server) isCold() bool { return s.world.now.Sub(s.started) < coldTime }

// health is what a probe from a data centre learns.
func (s *server) health(from fleet.DataCentreID) backend.Evidence {
	e := backend.Evidence{Server: s.id, Kind: backend.EvidenceReport, At: s.world.now}
	if s.world.network.reaches(from, s.centre) && (s.up || s.lieHealth) {
		e.Healthy = true
		if !s.lieHealth {
			e.Instance = fmt.Sprint(s.life)
		}
	}
	return e
}

// takeWork notes a new flow or request.
func (s *server) takeWork() {
	now := s.world.now
	s.lastWork = now
	s.world.checks.work(s)
	if !s.isCold() {
		return
	}
	s.coldWork = append(s.coldWork, now)
	recent := 0
	for _, at := range s.coldWork {
		if now.Sub(at) < coldWindow {
			recent++
		}
	}
	s.world.checks.coldLoad(s, recent, s.bears(now))
}

// bears is the new work in a second that a cold server bears by now.
func (s *server) bears(now time.Time) int {
	atWork := now.Sub(s.coldWork[0]).Seconds() / s.object.WarmupTime.Seconds()
	return int(coldRate * coldWindow.Seconds() * math.Exp2(warmupDoublings*atWork))
}

// packet takes one packet of a flow and answers the caller directly.
func (s *server) packet(key fleet.FlowKey, c *flowCaller, p flowPacket) {
	if !s.up {
		return
	}
	s.lastFlow = s.world.now
	s.world.checks.packet(s, c)
	if s.silent {
		return
	}
	if p.syn && !s.flows[key] {
		s.takeWork()
		s.flows[key] = true
	}
	if !s.flows[key] {
		s.world.after(time.Millisecond, func() { c.reset(s.id, "unknown flow") })
		return
	}
	if !p.bare {
		s.world.after(time.Millisecond, func() { c.acked(s.id, p) })
	}
}
