package faultmatrix

import (
	"fmt"
	"math"
	"time"

	"github.com/rattanthread/rattanthread/backend"
	"github.com/rattanthread/rattanthread/config"
	"github.com/rattanthread/rattanthread/fleet"
)

// coldPeriod is how long a server is cold after a start.
const coldPeriod = 2 * time.Second

// warmupDoublings is the number of times that a cold server's capacity doubles
// within its warm-up time.
const warmupDoublings = 4.0

// coldWindow is the time over which a cold server's load is measured.
const coldWindow = time.Second

// server is a backend server. It keeps flows, runs requests and is cold for
// coldPeriod after each start.
type server struct {
	sim           *Simulation
	id            fleet.ServerID
	service       fleet.ServiceName
	centre        fleet.DataCentreID
	object        config.Server
	up            bool
	incarnation   int
	started       time.Time
	flowsLostAt   time.Time // when it last lost its flows
	unresponsive  bool      // receives packets but does not respond
	flows         map[fleet.FlowKey]bool
	coldWorkTimes []time.Time // arrivals of new flows and requests while cold
	lastWork      time.Time
	lastPacket    time.Time
	alwaysHealthy bool
}

func (sim *Simulation) addServer(object config.Server) {
	sim.servers[object.Name] = &server{
		sim:         sim,
		id:          object.Name,
		service:     object.Service,
		centre:      object.DataCentre,
		object:      object,
		up:          true,
		incarnation: 1,
		started:     sim.now,
		flows:       make(map[fleet.FlowKey]bool),
	}
}

// restart drops all flows and starts the server cold after 500 ms.
func (s *server) restart() {
	s.up, s.flowsLostAt = false, s.sim.now
	s.flows = make(map[fleet.FlowKey]bool)
	s.sim.after(500*time.Millisecond, func() {
		s.up = true
		s.incarnation++
		s.started = s.sim.now
		s.coldWorkTimes = nil
	})
}

func (s *server) isCold() bool { return s.sim.now.Sub(s.started) < coldPeriod }

// health returns the result of a probe from a data centre.
func (s *server) health(from fleet.DataCentreID) backend.Evidence {
	e := backend.Evidence{Server: s.id, Kind: backend.EvidenceReport, At: s.sim.now}
	if s.sim.network.reaches(from, s.centre) && (s.up || s.alwaysHealthy) {
		e.Healthy = true
		if !s.alwaysHealthy {
			e.Instance = fmt.Sprint(s.incarnation)
		}
	}
	return e
}

// acceptWork records a new flow or request and checks the guarantees on new work.
func (s *server) acceptWork() {
	now := s.sim.now
	s.lastWork = now
	s.sim.checks.checkWork(s)
	if !s.isCold() {
		return
	}
	s.coldWorkTimes = append(s.coldWorkTimes, now)
	recent := 0
	for _, at := range s.coldWorkTimes {
		if now.Sub(at) < coldWindow {
			recent++
		}
	}
	s.sim.checks.checkColdLoad(s, recent, s.coldLimit(now))
}

// coldLimit returns the number of new flows and requests within coldWindow that a
// cold server can handle at the given time.
func (s *server) coldLimit(now time.Time) int {
	progress := now.Sub(s.coldWorkTimes[0]).Seconds() / s.object.WarmupTime.Seconds()
	return int(coldRate * coldWindow.Seconds() * math.Exp2(warmupDoublings*progress))
}

// handlePacket handles a packet of a flow and responds directly to the caller.
func (s *server) handlePacket(key fleet.FlowKey, caller *flowCaller, p flowPacket) {
	if !s.up {
		return
	}
	s.lastPacket = s.sim.now
	s.sim.checks.checkPacket(s, caller)
	if s.unresponsive {
		return
	}
	if p.syn && !s.flows[key] {
		s.acceptWork()
		s.flows[key] = true
	}
	if !s.flows[key] {
		s.sim.after(time.Millisecond, func() { caller.handleReset(s.id, "unknown flow") })
		return
	}
	if !p.ackOnly {
		s.sim.after(time.Millisecond, func() { caller.handleAck(s.id, p) })
	}
}
