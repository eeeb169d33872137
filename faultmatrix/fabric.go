package faultmatrix

import (
	"slices"
	"time"

	"github.com/rattanthread/rattanthread/fleet"
)

// fabricLag is how long the fabric sends packets to a host that is gone.
const fabricLag = time.Second

// fabric hands each packet and each connection to any entry host.
type fabric struct {
	world *World
	hosts []fleet.HostID
}

func (f *fabric) add(id fleet.HostID) {
	if !slices.Contains(f.hosts, id) {
		f.hosts = append(f.hosts, id)
	}
}

func (f *fabric) remove(id fleet.HostID) {
	f.world.after(fabricLag, func() {
		if h := f.world.hosts[id]; !h.up {
			f.hosts = slices.DeleteFunc(f.hosts, func(other fleet.HostID) bool { return other == id })
		}
	})
}

// pick returns any host, or nil.
func (f *fabric) pick() *host {
	if len(f.hosts) == 0 {
		return nil
	}
	return f.world.hosts[f.hosts[f.world.random.IntN(len(f.hosts))]]
}
