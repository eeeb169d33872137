package backend

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/rattanthread/rattanthread/fleet"
)

// Credit holds the credit of one host for all servers. It is safe for concurrent
// use. The zero value admits nothing.
type Credit struct {
	buckets atomic.Pointer[map[fleet.ServerID]*creditBucket]
}

// Take reports whether one new flow or request may be sent to the server. If the
// server is admitted by credit, it spends one unit. Each call for such a server,
// even a refused one, counts as demand, which the host reports to the allocator.
func (c *Credit) Take(now time.Time, id fleet.ServerID) bool {
	b := c.find(id)
	return b != nil && b.take(now, true)
}

// TakeFallback is Take for a server that is not the first choice. It counts no demand,
// because the work was intended for another server.
func (c *Credit) TakeFallback(now time.Time, id fleet.ServerID) bool {
	b := c.find(id)
	return b != nil && b.take(now, false)
}

func (c *Credit) find(id fleet.ServerID) *creditBucket {
	buckets := c.buckets.Load()
	if buckets == nil {
		return nil
	}
	return (*buckets)[id]
}

func (c *Credit) install(servers map[fleet.ServerID]*server) {
	buckets := make(map[fleet.ServerID]*creditBucket, len(servers))
	for id, s := range servers {
		buckets[id] = s.bucket
	}
	c.buckets.Store(&buckets)
}

// creditBucket holds the unspent credit for one server.
type creditBucket struct {
	admission atomic.Uint32

	mu         sync.Mutex
	grants     []grant
	demand     int // units taken or refused since the last request
	lastDemand time.Time
}

// prefetchTime is how long after its last demand a host requests one unit of
// credit in advance, for the next new flow or request.
const prefetchTime = 10 * time.Second

// grant is credit that may be spent until it expires.
type grant struct {
	count   int
	expires time.Time
}

// maxDemand bounds the demand in one credit request.
const maxDemand = 1 << 16

func (b *creditBucket) setAdmission(a Admission) {
	b.admission.Store(uint32(a))
}

func (b *creditBucket) currentAdmission() Admission {
	return Admission(b.admission.Load())
}

func (b *creditBucket) take(now time.Time, countDemand bool) bool {
	switch b.currentAdmission() {
	case AdmitFreely:
		return true
	case AdmitNone:
		return false
	case AdmitByCredit:
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if countDemand {
		b.demand = min(b.demand+1, maxDemand)
		b.lastDemand = now
	}
	for len(b.grants) > 0 {
		first := &b.grants[0]
		if first.count > 0 && now.Before(first.expires) {
			first.count--
			return true
		}
		b.grants = b.grants[1:]
	}
	return false
}

func (b *creditBucket) add(g grant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.grants = append(b.grants, g)
}

// collectDemand returns the demand since the last call, and whether to request one
// unit in advance although there was no demand.
func (b *creditBucket) collectDemand(now time.Time) (wanted int, prefetch bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	wanted = b.demand
	b.demand = 0
	return wanted, wanted == 0 && now.Sub(b.lastDemand) < prefetchTime
}
