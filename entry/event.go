package entry

import (
	"time"

	"github.com/rattanthread/rattanthread/catalogue"
	"github.com/rattanthread/rattanthread/forwarding"
)

// Event is one thing that happened at a host and what it decided. One of the
// pointers is set, or Ticked or Published.
type Event struct {
	At time.Time
	// Settings are those of a host that starts.
	Settings *Settings
	// Answer is one that the host has taken in.
	Answer *catalogue.Update
	// Ticked says that time has changed what is known.
	Ticked bool
	// Published says that decisions go by what is known now.
	Published bool
	Packet    *PacketEvent
	Probe     *ProbeEvent
	// Ended is the server whose flows were ended because its record is gone.
	Ended catalogue.Cookie
}

// PacketEvent is a packet that was decided on.
type PacketEvent struct {
	Packet    forwarding.Packet
	Confirmed time.Time
	Decision  forwarding.Decision
}

// ProbeEvent is a finished probe, and how many flows were reset for it.
type ProbeEvent struct {
	forwarding.Probe
	Flows int
}

// record hands an event to whoever records the host. The caller holds mu where
// the order matters.
func (h *Host) record(e Event) {
	if h.Record == nil {
		return
	}
	e.At = h.network.Now()
	h.Record(e)
}
