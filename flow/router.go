package flow

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/rattanthread/rattanthread/fleet"
)

// Limits bounds the resources of a Router. A zero field means its default.
type Limits struct {
	// Records is the maximum number of recorded flows, copies included; the
	// default is 200,000. At the limit, a new flow that would need a record goes
	// to the agreed server of its slot if that admits it, and is reset otherwise.
	Records int
	// ControlBytes is how many bytes of copied records a host sends per second;
	// the default is 3,000.
	ControlBytes int
}

const (
	defaultRecords      = 200_000
	defaultControlBytes = 3_000
	// copyQueueSize is how many new records may be queued for copying.
	copyQueueSize = 16_384
	// handedFlowsSize is how many new flows handed off to owners are stored.
	handedFlowsSize = 8_192
	// hostStateTTL is how long a host counts as alive or leaving before the view
	// reflects it.
	hostStateTTL = 10 * time.Second
)

// Stats are the statistics of a Router, apart from its decisions.
type Stats struct {
	Records         int64 // recorded flows, copies included
	Splits          int64 // split slots
	HalfOpenEvicted int64 // half-open flows evicted by others
	Uncopied        int64 // records not copied because the queue was full
	CopiesRefused   int64 // copies rejected at the limit of records
	FetchTimeouts   int64 // fetches that completed before every peer had responded
	Unsynced        int64 // 1 if the host became ready without a response from a peer
	Retired         int64 // splits retired by this host
}

type counters struct {
	splits, halfOpenEvicted, uncopied, copiesRefused, fetchTimeouts, unsynced, retired atomic.Int64
}

// Router makes the decisions for the packets of one host. The zero value is ready
// to use, and drops all packets until a View is installed.
//
// Install, Receive, Tick, Stop, Stopped, Resync and Status must be called by a
// single goroutine, the control goroutine. Decide, Ready and Stats are safe for
// concurrent use. Tick should be called ten times per second.
type Router struct {
	Limits Limits
	// Key is the key of the flow hash. It must be the same on all hosts.
	Key [16]byte
	// Credit uses one unit of credit of a server that admits by credit, and
	// reports whether there was any. It is called by the goroutines that call
	// Decide. Nil means that there is no credit.
	Credit func(fleet.ServerID) bool
	// FallbackCredit is called instead of Credit for a server that is not the
	// first choice for a flow. Nil means Credit.
	FallbackCredit func(fleet.ServerID) bool

	snapshot    atomic.Pointer[snapshot]
	recordCount atomic.Int64
	stats       counters
	copyQueue   ring[queuedFlow]
	handedFlows ring[handedFlow]
	// inquiryQueue holds the flows to send inquiries about. It is only filled while
	// hasPartitioned is true.
	inquiryQueue   ring[queuedFlow]
	hasPartitioned atomic.Bool

	// The following fields are used by the control goroutine only.

	view           View
	ready          bool
	synced         bool           // has been ready at least once
	eligibleOwners []fleet.HostID // see updateOwners
	alive          map[fleet.HostID]time.Time
	leaving        map[fleet.HostID]time.Time
	stopping       time.Time  // when the stop was last announced; zero means never
	services       []*service // by index; never shrinks
	byName         map[fleet.ServiceName]*service
	dirty          bool
	sync           syncState
	fetches        map[uint64]*fetch
	fetchID        uint64
	// fetchNeeded is true if this host may own slots whose records it must fetch.
	fetchNeeded bool
	copier      copier
	sweepPhase  int
}

// queuedFlow is a flow that is queued for copying or for an inquiry.
type queuedFlow struct {
	hash    uint64
	service uint16
}

// handedFlow is a new flow that was handed off to the owner of its slot.
type handedFlow struct {
	hash     uint64
	service  uint16
	handedAt time.Time
}

// Install makes view the current view, and returns the messages to send.
func (r *Router) Install(now time.Time, view View) []fleet.Send {
	if r.byName == nil {
		r.initialize(now)
	}
	r.view = view
	r.hasPartitioned.Store(len(view.Partitioned) > 0)
	if r.updateOwners(now) {
		r.assignOwners()
	}
	r.updateServices(now, view.Services)
	var sends []fleet.Send
	if !r.ready {
		sends = r.repeatSync(now)
	}
	if view.Settled {
		r.settle(now)
	}
	sends = append(sends, r.startFetches(now)...)
	r.publish()
	return sends
}

func (r *Router) initialize(now time.Time) {
	r.fetchID = uint64(now.UnixNano())
	r.sync.since = now
	r.byName = make(map[fleet.ServiceName]*service)
	r.alive = make(map[fleet.HostID]time.Time)
	r.leaving = make(map[fleet.HostID]time.Time)
	r.fetches = make(map[uint64]*fetch)
	r.copyQueue.allocate(copyQueueSize)
	r.handedFlows.allocate(handedFlowsSize)
	r.inquiryQueue.allocate(maxQueuedInquiries)
}

// Tick performs periodic work: it copies and expires records, retries unanswered
// messages, and retires splits. It returns the messages to send.
func (r *Router) Tick(now time.Time) []fleet.Send {
	if r.byName == nil {
		return nil
	}
	var sends []fleet.Send
	if !r.ready {
		sends = r.repeatSync(now)
	}
	if r.expireHostStates(now) {
		r.updateOwners(now)
		r.assignOwners()
	}
	sends = append(sends, r.repeatLeave(now)...)
	sends = append(sends, r.repeatFetches(now)...)
	r.fetchNeeded = r.fetchNeeded || r.sweepPhase == 0
	sends = append(sends, r.startFetches(now)...)
	sends = append(sends, r.sweep(now)...)
	sends = append(sends, r.copyRecords(now)...)
	sends = append(sends, r.sendInquiries()...)
	if r.dirty {
		r.publish()
	}
	return sends
}

// Receive handles a message from another host, and returns the messages to send.
// Messages may be delayed, duplicated, reordered or lost.
func (r *Router) Receive(now time.Time, from fleet.HostID, message fleet.Message) []fleet.Send {
	if r.byName == nil || from == r.view.Self {
		return nil
	}
	var sends []fleet.Send
	switch message := message.(type) {
	case *SplitsRequest:
		delete(r.leaving, from)
		sends = r.receiveSplitsRequest(from)
	case *Splits:
		r.receiveSplits(now, from, message)
	case *Fetch:
		sends = r.receiveFetch(now, from, message)
	case *Inquiry:
		sends = r.receiveInquiry(now, from, message)
	case *Records:
		r.receiveRecords(now, from, message)
	case *Retire:
		// The next Tick publishes the change; until then packets take one more hop.
		r.receiveRetire(message)
		return nil
	case *Leave:
		r.leaving[from] = now
		delete(r.alive, from)
		r.updateOwners(now)
		r.assignOwners()
	}
	sends = append(sends, r.startFetches(now)...)
	if r.dirty {
		r.publish()
	}
	return sends
}

// Stop announces a planned stop. The slots of this host get new owners, which
// fetch its records; until then it keeps its authority. The host should remain in
// the list of live hosts until Stopped, or for a few seconds at most.
func (r *Router) Stop(now time.Time) []fleet.Send {
	if r.byName == nil {
		return nil
	}
	sends := r.flushCopies(now)
	for _, host := range r.peers() {
		sends = append(sends, fleet.Send{To: host, Message: new(Leave)})
	}
	r.stopping = now
	r.leaving[r.view.Self] = now
	r.updateOwners(now)
	r.assignOwners()
	r.publish()
	return sends
}

// Stopped reports whether other hosts have taken over all split slots. It must be
// called by the control goroutine.
func (r *Router) Stopped() bool { return len(r.newOwners()) == 0 }

// newOwners returns the other hosts that own slots over which this host still has
// authority.
func (r *Router) newOwners() map[fleet.HostID]bool {
	owners := make(map[fleet.HostID]bool)
	for _, svc := range r.services {
		for _, state := range svc.splits {
			if state.owner != "" && state.owner != r.view.Self && state.flows.currentAuthority() != authorityNone {
				owners[state.owner] = true
			}
		}
	}
	return owners
}

// repeatLeave repeats the announcement to hosts that have not fetched their slots.
func (r *Router) repeatLeave(now time.Time) []fleet.Send {
	if r.stopping.IsZero() || now.Sub(r.stopping) < fetchRetryInterval {
		return nil
	}
	r.stopping = now
	var sends []fleet.Send
	owners := r.newOwners()
	for _, host := range r.peers() {
		if owners[host] {
			sends = append(sends, fleet.Send{To: host, Message: new(Leave)})
		}
	}
	return sends
}

// Ready reports whether the host has received the list of split slots from a peer,
// or started without it because no peer provided one. Until then Decide drops all
// packets.
func (r *Router) Ready() bool {
	s := r.snapshot.Load()
	return s != nil && s.ready
}

// Stats returns the current statistics.
func (r *Router) Stats() Stats {
	counts := &r.stats
	return Stats{
		Records:         r.recordCount.Load(),
		Splits:          counts.splits.Load(),
		HalfOpenEvicted: counts.halfOpenEvicted.Load(),
		Uncopied:        counts.uncopied.Load(),
		CopiesRefused:   counts.copiesRefused.Load(),
		FetchTimeouts:   counts.fetchTimeouts.Load(),
		Unsynced:        counts.unsynced.Load(),
		Retired:         counts.retired.Load(),
	}
}

// hasRoom reports whether one more flow may be recorded.
func (r *Router) hasRoom() bool {
	limit := r.Limits.Records
	if limit == 0 {
		limit = defaultRecords
	}
	return r.recordCount.Load() < int64(limit)
}

// peers returns the live hosts other than this one.
func (r *Router) peers() []fleet.HostID {
	var peers []fleet.HostID
	for _, host := range r.view.Hosts {
		if host != r.view.Self {
			peers = append(peers, host)
		}
	}
	return peers
}

// updateOwners computes the hosts among which owners are selected: the live ones,
// and those that sent a Fetch before the view had them, except those that are
// leaving. It reports whether they changed.
func (r *Router) updateOwners(now time.Time) bool {
	hosts, self := r.view.Hosts, r.view.Self
	r.expireHostStates(now)
	for _, host := range hosts {
		delete(r.alive, host)
	}
	for host := range r.leaving {
		if host != self && !slices.Contains(hosts, host) {
			delete(r.leaving, host)
		}
	}
	var owners []fleet.HostID
	for _, host := range hosts {
		if _, ok := r.leaving[host]; !ok {
			owners = append(owners, host)
		}
	}
	for host := range r.alive {
		owners = append(owners, host)
	}
	slices.Sort(owners)
	changed := !slices.Equal(owners, r.eligibleOwners)
	r.eligibleOwners = owners
	return changed
}

// expireHostStates drops alive and leaving entries older than hostStateTTL, and
// reports whether there were any.
func (r *Router) expireHostStates(now time.Time) bool {
	expired := false
	for _, states := range []map[fleet.HostID]time.Time{r.alive, r.leaving} {
		for host, at := range states {
			if host != r.view.Self && now.Sub(at) > hostStateTTL {
				delete(states, host)
				expired = true
			}
		}
	}
	return expired
}
