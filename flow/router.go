package flow

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/rattanthread/rattanthread/fleet"
)

// Limits bounds what a Router keeps. Zero fields take defaults.
type Limits struct {
	// Records is how many flows are recorded, copies included; default 200,000.
	// At the limit, new flows go to the agreed server of their slot if it takes
	// any, and are refused otherwise.
	Records int
	// ControlBytes is how many bytes of copied records a host sends in a
	// second; default 3,000.
	ControlBytes int
}

const (
	defaultRecords      = 200_000
	defaultControlBytes = 3_000
	// copyQueue is how many new records may wait to be copied.
	copyQueue = 16_384
	// handedFlows is how many new flows, handed to owners, are remembered.
	handedFlows = 8_192
	// hostMark is how long a host is remembered as living or leaving before the
	// view says so.
	hostMark = 10 * time.Second
)

// Stats counts what a Router did besides its decisions.
type Stats struct {
	Records         int64 // flows recorded now, copies included
	Splits          int64 // slots split now
	HalfOpenEvicted int64 // half-open flows pushed out by others
	Uncopied        int64 // records that were not copied: too many were waiting
	CopiesRefused   int64 // copies refused at the limit of records
	FetchTimeouts   int64 // fetches that ended before every peer had answered
	Unsynced        int64 // 1 if the host became ready without an answer from a peer
	Retired         int64 // splits retired by this host
}

type counters struct {
	splits, halfOpenEvicted, uncopied, copiesRefused, fetchTimeouts, unsynced, retired atomic.Int64
}

// Router decides about packets. The zero value works once a View is installed.
//
// Install, Receive, Tick and Stop belong to one goroutine, the control
// goroutine. Decide, Ready and Stats may be called by any. Tick is meant to be
// called ten times a second.
type Router struct {
	Limits Limits
	// Key is mixed into the hash of a flow. It is the same on all hosts.
	Key [16]byte
	// Credit takes one unit of credit of a server that admits by credit. It is
	// called by the goroutines that call Decide. Nil means that there is none.
	Credit func(fleet.ServerID) bool
	// Spare is Credit for a server that is not the first choice of a flow. Nil
	// means Credit.
	Spare func(fleet.ServerID) bool

	snapshot atomic.Pointer[snapshot]
	count    atomic.Int64 // records
	stats    counters
	copies   ring[copiedFlow]
	handed   ring[handedFlow]
	// questions are the flows to ask doubted hosts about, if any are doubtful.
	questions ring[copiedFlow]
	doubtful  atomic.Bool

	// What follows belongs to the control goroutine.

	view     View
	ready    bool
	synced   bool           // has been ready
	owners   []fleet.HostID // live hosts, less those that leave
	alive    map[fleet.HostID]time.Time
	leaving  map[fleet.HostID]time.Time
	stopping time.Time  // when the stop was last announced; zero: it was not
	services []*service // by index; never shrinks
	byName   map[fleet.ServiceName]*service
	dirty    bool
	sync     syncState
	fetches  map[uint64]*fetch
	fetchID  uint64
	// seek is true when this host may own slots whose flows it does not know.
	seek    bool
	copier  copier
	sweepAt int
}

// copiedFlow is a flow that waits to be copied, or to be asked about.
type copiedFlow struct {
	hash    uint64
	service uint16
}

// handedFlow is a new flow that was handed to the owner of its slot.
type handedFlow struct {
	hash    uint64
	service uint16
	at      time.Time
}

// Install makes v the view to decide by, and returns the messages to send.
func (r *Router) Install(now time.Time, v View) []fleet.Send {
	if r.byName == nil {
		r.begin(now)
	}
	r.view = v
	r.doubtful.Store(len(v.Doubted) > 0)
	if r.setHosts(now) {
		r.assignOwners()
	}
	r.updateServices(now, v.Services)
	var sends []fleet.Send
	if !r.ready {
		sends = r.repeatSync(now)
	}
	if v.Settled {
		r.settle(now)
	}
	sends = append(sends, r.startFetches(now)...)
	r.publish()
	return sends
}

func (r *Router) begin(now time.Time) {
	r.fetchID = uint64(now.UnixNano())
	r.sync.since = now
	r.byName = make(map[fleet.ServiceName]*service)
	r.alive = make(map[fleet.HostID]time.Time)
	r.leaving = make(map[fleet.HostID]time.Time)
	r.fetches = make(map[uint64]*fetch)
	r.copies.resize(copyQueue)
	r.handed.resize(handedFlows)
	r.questions.resize(queuedInquiries)
}

// Tick does what is due at now: it copies and expires records, repeats messages
// that were not answered, and retires splits.
func (r *Router) Tick(now time.Time) []fleet.Send {
	if r.byName == nil {
		return nil
	}
	var sends []fleet.Send
	if !r.ready {
		sends = r.repeatSync(now)
	}
	if r.expireMarks(now) {
		r.setHosts(now)
		r.assignOwners()
	}
	sends = append(sends, r.repeatLeave(now)...)
	sends = append(sends, r.repeatFetches(now)...)
	r.seek = r.seek || r.sweepAt == 0
	sends = append(sends, r.startFetches(now)...)
	sends = append(sends, r.sweep(now)...)
	sends = append(sends, r.copy(now)...)
	sends = append(sends, r.askDoubted()...)
	if r.dirty {
		r.publish()
	}
	return sends
}

// Receive takes a message of another host. Messages may come late, twice, in
// any order, or not at all.
func (r *Router) Receive(now time.Time, from fleet.HostID, m fleet.Message) []fleet.Send {
	if r.byName == nil || from == r.view.Self {
		return nil
	}
	var sends []fleet.Send
	switch m := m.(type) {
	case *SplitsRequest:
		delete(r.leaving, from)
		sends = r.answerSync(from)
	case *Splits:
		r.receiveSplits(now, from, m)
	case *Fetch:
		sends = r.answerFetch(now, from, m)
	case *Inquiry:
		sends = r.answerInquiry(now, from, m)
	case *Records:
		r.receiveRecords(now, from, m)
	case *Retire:
		// The next Tick publishes it: until then packets take one more hop.
		r.receiveRetire(m)
		return nil
	case *Leave:
		r.leaving[from] = now
		delete(r.alive, from)
		r.setHosts(now)
		r.assignOwners()
	}
	sends = append(sends, r.startFetches(now)...)
	if r.dirty {
		r.publish()
	}
	return sends
}

// Stop announces a planned stop. The slots of this host go to other owners, which
// fetch what it knows; until then it goes on deciding. The host should stay in
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
	r.setHosts(now)
	r.assignOwners()
	r.publish()
	return sends
}

// Stopped reports whether the host decides about no split slot any more. It
// belongs to the control goroutine.
func (r *Router) Stopped() bool { return len(r.heirs()) == 0 }

// heirs returns the owners of the slots about which this host still decides, other
// than itself.
func (r *Router) heirs() map[fleet.HostID]bool {
	heirs := make(map[fleet.HostID]bool)
	for _, s := range r.services {
		for _, state := range s.splits {
			if state.owner != "" && state.owner != r.view.Self && state.live.current() != authorityNone {
				heirs[state.owner] = true
			}
		}
	}
	return heirs
}

// repeatLeave tells the hosts again that have not fetched their slots.
func (r *Router) repeatLeave(now time.Time) []fleet.Send {
	if r.stopping.IsZero() || now.Sub(r.stopping) < fetchRetry {
		return nil
	}
	r.stopping = now
	var sends []fleet.Send
	heirs := r.heirs()
	for _, host := range r.peers() {
		if heirs[host] {
			sends = append(sends, fleet.Send{To: host, Message: new(Leave)})
		}
	}
	return sends
}

// Ready reports whether the host knows which slots are split: it has learned
// them from a peer, or there was none to ask. Until then Decide drops all packets.
func (r *Router) Ready() bool {
	s := r.snapshot.Load()
	return s != nil && s.ready
}

// Stats returns the counters as they are now.
func (r *Router) Stats() Stats {
	c := &r.stats
	return Stats{
		Records:         r.count.Load(),
		Splits:          c.splits.Load(),
		HalfOpenEvicted: c.halfOpenEvicted.Load(),
		Uncopied:        c.uncopied.Load(),
		CopiesRefused:   c.copiesRefused.Load(),
		FetchTimeouts:   c.fetchTimeouts.Load(),
		Unsynced:        c.unsynced.Load(),
		Retired:         c.retired.Load(),
	}
}

// hasRoom reports whether one more flow may be recorded.
func (r *Router) hasRoom() bool {
	limit := r.Limits.Records
	if limit == 0 {
		limit = defaultRecords
	}
	return r.count.Load() < int64(limit)
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

// setHosts computes the hosts among which owners are chosen: the live ones, and
// those that were heard of before the view knew them, less those that leave. It
// reports whether they changed.
func (r *Router) setHosts(now time.Time) bool {
	hosts, self := r.view.Hosts, r.view.Self
	r.expireMarks(now)
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
	changed := !slices.Equal(owners, r.owners)
	r.owners = owners
	return changed
}

// expireMarks forgets what was heard of hosts long ago, and reports whether
// there was any.
func (r *Router) expireMarks(now time.Time) bool {
	expired := false
	for _, marks := range []map[fleet.HostID]time.Time{r.alive, r.leaving} {
		for host, at := range marks {
			if host != r.view.Self && now.Sub(at) > hostMark {
				delete(marks, host)
				expired = true
			}
		}
	}
	return expired
}
