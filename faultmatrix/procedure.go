package faultmatrix

import (
	"maps"
	"slices"
	"time"

	"github.com/rattanthread/rattanthread/config"
	"github.com/rattanthread/rattanthread/fleet"
)

// Procedure is something that operators or the fleet do while traffic runs.
type Procedure struct {
	Name string
	run  func(w *World)
}

// Procedures lists every procedure.
func Procedures() []Procedure {
	return []Procedure{
		{"flow_opening", func(*World) {}},
		{"slot_change", addServer},
		{"weight_change", changeWeight},
		{"cold_start", func(w *World) { w.servers["a-hints-1"].restart() }},
		{"drain", func(w *World) { w.publish(setDrain("a-hints-2", true)) }},
		{"centre_out", func(w *World) { w.publish(setState(centreB, config.StateOut)) }},
		{"centre_out_and_in", takeOutAndIn},
		{"publication", publishTwice},
		{"request_run", func(w *World) { w.publish(setDrain("a-scores-1", true)) }},
		{"planned_stop", func(w *World) { w.hosts["a2"].stop(func() {}) }},
		{"replacement", func(w *World) { w.replace("a2") }},
	}
}

func addServer(w *World) {
	object := serverObject(serviceHints, centreA, 3)
	w.addServer(object)
	w.publish(func(set *config.Set) { set.Servers = append(set.Servers, object) })
}

func changeWeight(w *World) {
	w.publish(eachServer("b-hints-1", func(s *config.Server) { s.Weight = 300 }))
}

func takeOutAndIn(w *World) {
	w.publish(setState(centreB, config.StateOut))
	w.after(8*time.Second, func() {
		for _, id := range slices.Sorted(maps.Keys(w.servers)) {
			if s := w.servers[id]; s.centre == centreB {
				s.restart()
			}
		}
		w.after(time.Second, func() { w.publish(setState(centreB, config.StateIn)) })
	})
}

func publishTwice(w *World) {
	w.publish(eachServer("a-tally-1", func(s *config.Server) { s.Weight = 50 }))
	w.after(300*time.Millisecond, func() {
		w.publish(eachServer("a-tally-1", func(s *config.Server) { s.Weight = 200 }))
	})
}

// replace stops a host as planned and starts a new life of it.
func (w *World) replace(id fleet.HostID) {
	w.hosts[id].stop(func() { w.startHost(id) })
}

func setDrain(id fleet.ServerID, drain bool) func(*config.Set) {
	return eachServer(id, func(s *config.Server) { s.Drain = drain })
}

func eachServer(id fleet.ServerID, change func(*config.Server)) func(*config.Set) {
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
