package flow

import (
	"strconv"
	"sync"
	"time"

	"github.com/rattanthread/rattanthread/fleet"
)

// udpDrainWindow is for how long after a split unrecorded UDP flows are taken to
// be on a server that admits no new ones.
const udpDrainWindow = 5 * time.Second

// endLinger is for how long a slot stays split whose flows were ended with their
// server. Until then this system resets them; after that, the first packet of a
// flow that was quiet meanwhile reaches the new server of the slot, which does
// not know it and resets it.
const endLinger = 30 * time.Second

// preferences is how many servers of a split slot are ranked ahead of need.
const preferences = 4

// split is one split slot as the traffic goroutines see it.
type split struct {
	slot, agreed, target uint16
	owned                bool
	owner                fleet.HostID
	since                time.Time
	preference           [preferences]uint16
	live                 *slotFlows
}

// authority is what a host may decide about the flows of a split slot that it
// has no record of.
type authority uint8

const (
	authorityNone   authority = iota // nothing
	authorityAgreed                  // they are all on the agreed server
	authorityFull                    // as authorityAgreed, and new flows go to the target
)

// slotFlows is what a host knows of the flows of a split slot. It is shared by
// the control goroutine and the traffic goroutines.
type slotFlows struct {
	mu        sync.Mutex
	authority authority
	// lastOther is when a packet was last sent to another server than the target.
	lastOther time.Time
	// acquired is when this host last took the slot over from another owner.
	acquired time.Time
	records  recordSet
	halfOpen *halfOpenSet
	// inquiries are the flows about which doubted hosts are asked.
	inquiries []inquiry
}

// grant gives authority to decide, and makes room for half-open flows.
func (f *slotFlows) grant(a authority) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.authority = a
	if f.halfOpen == nil {
		f.halfOpen = new(halfOpenSet)
	}
}

func (f *slotFlows) current() authority {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.authority
}

// release gives up authority, and returns which it was. Decisions made before are
// in the records.
func (f *slotFlows) release() authority {
	f.mu.Lock()
	defer f.mu.Unlock()
	a := f.authority
	f.authority = authorityNone
	return a
}

// slotState is what the control goroutine keeps about a split slot.
type slotState struct {
	slot      uint16
	owner     fleet.HostID
	successor fleet.HostID
	// released is the ID of the fetch that took authority from this host.
	released uint64
	// fetch is the ID of the fetch under way for this slot, or zero.
	fetch      uint64
	target     uint16
	preference [preferences]uint16
	since      time.Time // when it was split
	announced  bool      // all hosts know that it is split
	settled    time.Time // when all hosts knew its target; zero: not yet
	refreshed  time.Time // when all its records were last copied
	live       *slotFlows
	// lost is true when another host owned the slot at the last visit of the
	// sweep, and this host still had authority.
	lost bool
}

// ownerKey is the rendezvous key of a slot.
func ownerKey(name fleet.ServiceName, slot uint16) string {
	return "slot/" + string(name) + "/" + strconv.Itoa(int(slot))
}
