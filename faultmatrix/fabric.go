package faultmatrix

import (
	"slices"
	"time"

	"github.com/rattanthread/rattanthread/fleet"
)

// fabricLag is how long the fabric still sends packets to a host that is down.
const fabricLag = time.Second

// fabric sends each packet and each connection to a random entry host.
type fabric struct {
	sim   *Simulation
	hosts []fleet.HostID
}

func (f *fabric) add(id fleet.HostID) {
	if !slices.Contains(f.hosts, id) {
		f.hosts = append(f.hosts, id)
	}
}

func (f *fabric) remove(id fleet.HostID) {
	f.sim.after(fabricLag, func() {
		if h := f.sim.hosts[id]; !h.up {
			f.hosts = slices.DeleteFunc(f.hosts, func(other fleet.HostID) bool { return other == id })
		}
	})
}

// pick returns a random host, or nil if there is none.
func (f *fabric) pick() *host {
	if len(f.hosts) == 0 {
		return nil
	}
	return f.sim.hosts[f.hosts[f.sim.random.IntN(len(f.hosts))]]
}
