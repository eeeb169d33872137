package entry

import (
	"time"

	"github.com/rattanthread/rattanthread/catalogue"
	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/forwarding"
	"github.com/rattanthread/rattanthread/load"
)

// Event is an input of a host, with the resulting decision. Exactly one of Settings,
// Update, Ticked, Published, Packet, Probe, Load and RemovedServer is set.
type Event struct {
	At time.Time
	// Settings are the settings of a host that starts.
	Settings *Settings
	// Update is an update from the store or an upstream that the host has applied.
	Update *catalogue.Update
	// Ticked means that the expiry of records has changed the state.
	Ticked bool
	// Published means that a new catalogue is used for decisions from now on.
	Published bool
	Packet    *PacketEvent
	Probe     *ProbeEvent
	Load      *LoadEvent
	// RemovedServer is a removed server whose flows were reset, and Confirmed when its removal was last confirmed.
	RemovedServer catalogue.Cookie
	Confirmed     time.Time
}

// PacketEvent is a packet and the decision on it.
type PacketEvent struct {
	Packet    forwarding.Packet
	Confirmed forwarding.Confirmation
	Decision  forwarding.Decision
}

// ProbeEvent is the result of a probe, and the number of flows that were reset because of it.
type ProbeEvent struct {
	forwarding.Probe
	Flows int
}

// LoadEvent is a use of the load estimates other than by a packet. With a Report it is one that
// was received from Peer; otherwise Ended says that the reports of Peer are discarded, and Sent that
// one was made for it. With Loads it is what the hosts of DataCentre have reported, and Short says that this
// host has reported the same of its own. With none of these, all estimates were read.
type LoadEvent struct {
	Peer       fleet.HostID
	Report     *load.Report
	Ended      bool
	Sent       bool
	DataCentre fleet.DataCentreID
	Loads      *load.DataCentreLoads
	Short      bool
}

// record passes an event to Record if it is set. The caller holds mu if the order of events
// matters.
func (h *Host) record(e Event) {
	if h.Record == nil {
		return
	}
	e.At = h.network.Now()
	h.Record(e)
}
