package faultmatrix

import (
	"maps"
	"slices"
	"time"

	"github.com/rattanthread/rattanthread/config"
	"github.com/rattanthread/rattanthread/fleet"
)

// Procedure is an operation by operators or the fleet that takes place under traffic.
type Procedure struct {
	Name string
	run  func(sim *Simulation)
}

// Procedures lists every procedure.
func Procedures() []Procedure {
	return []Procedure{
		{"flow_opening", func(*Simulation) {}},
		{"slot_change", addServer},
		{"weight_change", changeWeight},
		{"cold_start", func(sim *Simulation) { sim.servers["a-hints-1"].restart() }},
		{"drain", func(sim *Simulation) { sim.publish(setDrain("a-hints-2", true)) }},
		{"centre_out", func(sim *Simulation) { sim.publish(setState(centreB, config.StateOut)) }},
		{"centre_out_and_in", takeCentreOutAndIn},
		{"publication", publishTwice},
		{"request_run", func(sim *Simulation) { sim.publish(setDrain("a-scores-1", true)) }},
		{"planned_stop", func(sim *Simulation) { sim.hosts["a2"].stop(func() {}) }},
		{"replacement", func(sim *Simulation) { sim.replace("a2") }},
	}
}

func addServer(sim *Simulation) {
	object := serverObject(serviceHints, centreA, 3)
	sim.addServer(object)
	sim.publish(func(set *config.Set) { set.Servers = append(set.Servers, object) })
}

func changeWeight(sim *Simulation) {
	sim.publish(changeServer("b-hints-1", func(s *config.Server) { s.Weight = 300 }))
}

func takeCentreOutAndIn(sim *Simulation) {
	sim.publish(setState(centreB, config.StateOut))
	sim.after(8*time.Second, func() {
		for _, id := range slices.Sorted(maps.Keys(sim.servers)) {
			if s := sim.servers[id]; s.centre == centreB {
				s.restart()
			}
		}
		sim.after(time.Second, func() { sim.publish(setState(centreB, config.StateIn)) })
	})
}

func publishTwice(sim *Simulation) {
	sim.publish(changeServer("a-tally-1", func(s *config.Server) { s.Weight = 50 }))
	sim.after(300*time.Millisecond, func() {
		sim.publish(changeServer("a-tally-1", func(s *config.Server) { s.Weight = 200 }))
	})
}

// replace makes a planned stop of a host and starts it again as a new incarnation.
func (sim *Simulation) replace(id fleet.HostID) {
	sim.hosts[id].stop(func() { sim.startHost(id) })
}

func setDrain(id fleet.ServerID, drain bool) func(*config.Set) {
	return changeServer(id, func(s *config.Server) { s.Drain = drain })
}

func changeServer(id fleet.ServerID, change func(*config.Server)) func(*config.Set) {
	return func(set *config.Set) {
		for i := range set.Servers {
			if set.Servers[i].Name == id {
				change(&set.Servers[i])
			}
		}
	}
}

func setState(id fleet.DataCentreID, state config.DataCentreState) func(*config.Set) {
	return func(set *config.Set) {
		for i := range set.DataCentres {
			if set.DataCentres[i].Name == id {
				set.DataCentres[i].State = state
			}
		}
	}
}
