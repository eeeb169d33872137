package faultmatrix

import (
	"slices"
	"time"

	"github.com/rattanthread/rattanthread/config"
	"github.com/rattanthread/rattanthread/fleet"
)

// Fault is a failure, or another disturbance such as a joining host, that can be
// injected into a simulation.
type Fault struct {
	Name   string
	inject func(sim *Simulation)
}

// faultDuration is the duration of temporary faults.
const faultDuration = 4 * time.Second

// Faults lists every fault.
func Faults() []Fault {
	return []Fault{
		{"none", func(*Simulation) {}},
		{"host_dies", func(sim *Simulation) { sim.killRunningHost("a1") }},
		{"host_dies_and_returns", killAndRestart},
		{"two_hosts_die", func(sim *Simulation) { sim.killRunningHost("a1"); sim.killRunningHost("b1") }},
		{"host_paused", func(sim *Simulation) { sim.pauseRunningHost("a3") }},
		{"host_joins", func(sim *Simulation) { sim.startHost("a4") }},
		{"host_joins_unknowing", func(sim *Simulation) { sim.startHostWithSeeds("a5", nil) }},
		{"centres_cut_off", partitionCentres},
		{"one_way_link", blockLink},
		{"messages_lost", loseMessages},
		{"platform_down", failPlatform},
		{"platform_lags", delayPlatform},
		{"server_restarts", func(sim *Simulation) { sim.servers["b-hints-1"].restart() }},
		{"request_server_restarts", func(sim *Simulation) { sim.servers["a-scores-2"].restart() }},
		{"operators_race", publishConcurrently},
		{"health_lies", misreportHealth},
	}
}

// killRunningHost kills the host or, if it is down, another running host of its data
// centre.
func (sim *Simulation) killRunningHost(id fleet.HostID) {
	if h := sim.runningHost(id); h != nil {
		h.kill()
	}
}

func (sim *Simulation) pauseRunningHost(id fleet.HostID) {
	if h := sim.runningHost(id); h != nil {
		sim.checks.recordDisturbance(faultDuration)
		h.pause(faultDuration)
	}
}

// runningHost returns the host if it is up, else another running host of its data
// centre, or nil.
func (sim *Simulation) runningHost(id fleet.HostID) *host {
	if h := sim.hosts[id]; h.up {
		return h
	}
	for _, other := range sim.ids {
		if h := sim.hosts[other]; h.up && centreOf(other) == centreOf(id) {
			return h
		}
	}
	return nil
}

func killAndRestart(sim *Simulation) {
	h := sim.runningHost("a1")
	if h == nil {
		return
	}
	h.kill()
	sim.after(500*time.Millisecond, func() { sim.startHost(h.self.ID) })
}

func partitionCentres(sim *Simulation) {
	sim.network.partitionCentres(faultDuration)
	sim.checks.recordDisturbance(faultDuration)
}

func blockLink(sim *Simulation) {
	sim.network.blockLink("a1", "a2")
	sim.checks.recordDisturbance(faultDuration)
	sim.after(faultDuration, func() { sim.network.blockedLinks = nil })
}

func loseMessages(sim *Simulation) {
	sim.network.loss = 0.2
	sim.after(faultDuration, func() { sim.network.loss = 0 })
}

func failPlatform(sim *Simulation) {
	sim.platform.up = false
	sim.checks.recordDisturbance(faultDuration)
	sim.after(faultDuration, func() { sim.platform.up = true })
}

func delayPlatform(sim *Simulation) {
	sim.platform.readLag = 2 * time.Second
	sim.after(faultDuration, func() { sim.platform.readLag = 0 })
}

// publishConcurrently publishes two conflicting changes at the same time.
func publishConcurrently(sim *Simulation) {
	sim.publish(func(set *config.Set) {
		i := slices.IndexFunc(set.Servers, func(s config.Server) bool { return s.Name == "b-hints-2" })
		set.Servers[i].Weight = 10
	})
	sim.publish(func(set *config.Set) {
		i := slices.IndexFunc(set.Servers, func(s config.Server) bool { return s.Name == "b-hints-2" })
		set.Servers[i].Weight = 250
	})
}

func misreportHealth(sim *Simulation) {
	s := sim.servers["a-hints-1"]
	s.alwaysHealthy = true
	s.restart()
	sim.after(faultDuration, func() { s.alwaysHealthy = false })
}
