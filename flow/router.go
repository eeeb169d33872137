package flow

import (
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/rattanthread/rattanthread/fleet"
)

// Limits bounds what a Router keeps. Zero fields take defaults.
type Limits struct {
	Records  int // recorded flows; default 200,000
	HalfOpen int // flows of which only a SYN was seen; default 65,536
	// ControlBytes is how many bytes of copied records a host sends in a
	// second; default 3,000.
	ControlBytes int
}

// Router decides about packets. The zero value works once a View is installed.
// Install, Receive, Tick and Stop belong to one goroutine; Decide and Ready may
// be called by any.
type Router struct {
	Limits Limits
	// Key is mixed into the hash of a flow. It is the same on all hosts.
	Key [16]byte
	// Credit takes one unit of credit of a server that admits by credit. It is
	// called by the goroutines that call Decide. Nil means that there is none.
	Credit func(fleet.ServerID) bool

	view atomic.Pointer[View]
}

// Install makes v the view to decide by.
func (r *Router) Install(_ time.Time, v View) []fleet.Send {
	r.view.Store(&v)
	return nil
}

// Decide tells what to do with a packet.
func (r *Router) Decide(_ time.Time, in *Input) Decision {
	v := r.view.Load()
	if v == nil {
		return Decision{Reason: ReasonNotReady}
	}
	destination := in.Key.DestinationAddress()
	for i := range v.Services {
		s := &v.Services[i]
		if s.Address != destination || s.Protocol != in.Key.Protocol {
			continue
		}
		return pick(s, in)
	}
	return Decision{Reason: ReasonUnknownAddress}
}

func pick(s *Service, in *Input) Decision {
	for i := range s.Servers {
		v := &s.Servers[(int(in.Key.SourcePort)+i)%len(s.Servers)]
		if v.Weight > 0 && !v.Out && v.Admission == AdmitFreely {
			return Decision{Action: Forward, Service: s.Name, Server: v.ID, Address: v.Address, Reason: ReasonTable}
		}
	}
	return Decision{Action: Reset, Service: s.Name, Address: netip.AddrPort{}, Reason: ReasonNoServer}
}

// Tick does what is due at now: it copies and expires records and retires splits.
func (r *Router) Tick(time.Time) []fleet.Send { return nil }

// Receive takes a message of another host.
func (r *Router) Receive(time.Time, fleet.HostID, fleet.Message) []fleet.Send { return nil }

// Stop gives up all owned slots before a planned stop.
func (r *Router) Stop(time.Time) []fleet.Send { return nil }

// Ready reports whether the host knows which slots are split.
func (r *Router) Ready() bool { return r.view.Load() != nil }

// Messages returns one zero value of each message of this package.
func Messages() []fleet.Message { return nil }
