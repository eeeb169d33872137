package backend

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/rattanthread/rattanthread/fleet"
)

// Credit is the right to give work to servers, as one host holds it. It is safe
// for concurrent use. The zero value admits nothing.
type Credit struct {
	tanks atomic.Pointer[map[fleet.ServerID]*tank]
}

// Take reports whether one new flow or request may be given to the server, and
// spends one unit of credit if the server is admitted by credit. What it
// refuses counts as demand, for which the host asks the keeper.
func (c *Credit) Take(now time.Time, id fleet.ServerID) bool {
	t := c.find(id)
	return t != nil && t.take(now, true)
}

// TakeSpare is Take for a server that is not the first choice: what it refuses
// is no demand, as the work was meant for another server.
func (c *Credit) TakeSpare(now time.Time, id fleet.ServerID) bool {
	t := c.find(id)
	return t != nil && t.take(now, false)
}

func (c *Credit) find(id fleet.ServerID) *tank {
	tanks := c.tanks.Load()
	if tanks == nil {
		return nil
	}
	return (*tanks)[id]
}

func (c *Credit) install(servers map[fleet.ServerID]*server) {
	tanks := make(map[fleet.ServerID]*tank, len(servers))
	for id, s := range servers {
		tanks[id] = s.tank
	}
	c.tanks.Store(&tanks)
}

// tank holds the unspent credit for one server.
type tank struct {
	admission atomic.Uint32

	mu     sync.Mutex
	grants []grant
	demand int       // units taken or refused since the last ask
	used   time.Time // last demand
}

// stockTime is how long after its last demand a host goes on asking for one
// unit of credit, so that the next new flow or request finds it there.
const stockTime = 10 * time.Second

// grant is credit that may be spent until a set time.
type grant struct {
	count   int
	expires time.Time
}

// maxDemand bounds what one host asks for at once.
const maxDemand = 1 << 16

func (t *tank) set(a Admission) {
	t.admission.Store(uint32(a))
}

func (t *tank) admitted() Admission {
	return Admission(t.admission.Load())
}

func (t *tank) take(now time.Time, demanded bool) bool {
	switch t.admitted() {
	case AdmitFreely:
		return true
	case AdmitNone:
		return false
	case AdmitByCredit:
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if demanded {
		t.demand = min(t.demand+1, maxDemand)
		t.used = now
	}
	for len(t.grants) > 0 {
		first := &t.grants[0]
		if first.count > 0 && now.Before(first.expires) {
			first.count--
			return true
		}
		t.grants = t.grants[1:]
	}
	return false
}

func (t *tank) add(g grant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.grants = append(t.grants, g)
}

// takeDemand returns the demand since the last call, and whether there was none
// but one unit should be kept in stock.
func (t *tank) takeDemand(now time.Time) (wanted int, stock bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	wanted = t.demand
	t.demand = 0
	return wanted, wanted == 0 && now.Sub(t.used) < stockTime
}
