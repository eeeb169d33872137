package flow

import (
	"strconv"
	"sync"
	"time"

	"github.com/rattanthread/rattanthread/fleet"
)

// udpDrainWindow is how long after a split an unrecorded UDP flow is assumed to
// be on an agreed server that admits no new flows.
const udpDrainWindow = 5 * time.Second

// resetLinger is how long a slot stays split after its agreed server was removed
// or taken out of service, so that the owner resets the flows of that server.
// After that, the first packet of a flow that was idle meanwhile reaches the new
// server of the slot, which resets the unknown flow.
const resetLinger = 30 * time.Second

// preferenceCount is how many servers are ranked in advance for a split slot.
const preferenceCount = 4

// split is a split slot in a snapshot.
type split struct {
	slot, agreed, target uint16
	owned                bool
	owner                fleet.HostID
	since                time.Time
	preference           [preferenceCount]uint16
	flows                *slotFlows
}

// authority is what a host may decide about unrecorded flows of a split slot.
type authority uint8

const (
	authorityNone   authority = iota // nothing
	authorityAgreed                  // all flows are on the agreed server
	authorityFull                    // existing flows are on the agreed server; new flows go to the target
)

// slotFlows is a host's state of the flows of a split slot. It is shared by the
// control goroutine and the traffic goroutines.
type slotFlows struct {
	mu        sync.Mutex
	authority authority
	// lastOffTarget is when a packet was last sent to a server other than the target.
	lastOffTarget time.Time
	// acquired is when this host last took over the slot from another owner.
	acquired time.Time
	records  recordSet
	halfOpen *halfOpenSet
	// inquiries are the flows with an open inquiry to partitioned hosts.
	inquiries []inquiry
}

// grant sets the authority of this host, and allocates halfOpen if needed.
func (f *slotFlows) grant(granted authority) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.authority = granted
	if f.halfOpen == nil {
		f.halfOpen = new(halfOpenSet)
	}
}

func (f *slotFlows) currentAuthority() authority {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.authority
}

// release gives up authority and returns its former value. The records include
// all decisions made before.
func (f *slotFlows) release() authority {
	f.mu.Lock()
	defer f.mu.Unlock()
	former := f.authority
	f.authority = authorityNone
	return former
}

// slotState is the control goroutine's state of a split slot.
type slotState struct {
	slot      uint16
	owner     fleet.HostID
	successor fleet.HostID
	// released is the ID of the fetch to which this host released its authority.
	released uint64
	// fetch is the ID of this slot's fetch in progress, or zero.
	fetch        uint64
	target       uint16
	preference   [preferenceCount]uint16
	since        time.Time // when it was split
	acknowledged bool      // all live hosts have acknowledged that it is split
	settled      time.Time // when all live hosts had acknowledged its target; zero means not yet
	refreshed    time.Time // when all its records were last copied to the successor
	flows        *slotFlows
	// ownershipLost is true if the last sweep of the slot found that another host
	// owned it while this host still had authority.
	ownershipLost bool
}

// ownerKey returns the rendezvous hashing key of a slot.
func ownerKey(name fleet.ServiceName, slot uint16) string {
	return "slot/" + string(name) + "/" + strconv.Itoa(int(slot))
}
