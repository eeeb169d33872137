package placement

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rattanthread/rattanthread/catalogue"
	"github.com/rattanthread/rattanthread/fleet"
)

// MaxFailed is how many failed tries to open a flow are remembered.
const MaxFailed = 4

// Failed holds the servers on which tries to open a flow have failed in a row.
type Failed struct {
	servers [MaxFailed]catalogue.Cookie
	count   int
}

// Add notes one more server. The oldest is forgotten if there are too many.
func (f *Failed) Add(server catalogue.Cookie) {
	f.servers[f.count%MaxFailed] = server
	f.count++
}

// Count returns how many tries have failed.
func (f *Failed) Count() int { return f.count }

// Last returns the server of the last failed try, or zero.
func (f *Failed) Last() catalogue.Cookie {
	if f.count == 0 {
		return 0
	}
	return f.servers[(f.count-1)%MaxFailed]
}

func (f *Failed) has(server catalogue.Cookie) bool {
	return f.count > 0 && slices.Contains(f.servers[:min(f.count, MaxFailed)], server)
}

// local reports whether the next try should stay in the own data centre. Tries
// alternate: if one fails there, the data centre as a whole may be in trouble, and
// if one fails elsewhere, the way there may be.
func (f *Failed) local() bool { return f.count%2 == 0 }

// Chooser chooses servers for new flows. It belongs to one goroutine.
type Chooser struct {
	// DataCentre is that of the host.
	DataCentre fleet.DataCentreID
	// Suspects are the servers that do not answer.
	Suspects Suspects
	// Reach holds the servers that accept no connection.
	Reach Reach
	// Isolation tells whether the host reaches no server at all.
	Isolation Isolation
	// Shortage tells whether new flows fail more than requests are answered.
	Shortage Shortage
	// Outages tells when servers of a data centre end together.
	Outages Outages
	// Loads holds how busy servers are.
	Loads Loads
	// Colds keeps cold servers within their bound.
	Colds Colds
}

// Reasons to pass over a server, the gravest highest.
const (
	remote = 1 << iota // or local, after failed tries there
	busy
	cold
	suspected
	failed
	unreachable
	exhausted // a cold server that may get no more for now
)

// Choose returns the server for a new flow, or nil if there is none that may get
// it. Servers on which the caller's last tries have failed come last. Hosts with the same
// catalogue and the same suspicions choose alike.
func (c *Chooser) Choose(now time.Time, pool *catalogue.Pool, flow uint64, tried Failed) *catalogue.Server {
	if tried.local() {
		if server, against := c.best(now, pool, pool.Places[c.DataCentre], flow, &tried); server != nil && against == 0 {
			return server
		}
	}
	server, against := c.best(now, pool, pool.All, flow, &tried)
	if against&exhausted != 0 {
		return nil
	}
	return server
}

// best returns the best of some servers of a pool, and the reasons against it.
func (c *Chooser) best(
	now time.Time, pool *catalogue.Pool, servers []*catalogue.Server, flow uint64, tried *Failed,
) (*catalogue.Server, int) {
	var best *catalogue.Server
	var bestAgainst int
	var bestScore uint64
	for _, server := range servers {
		against, score := c.against(now, pool, server, tried), score(flow, server.Cookie)
		if best == nil || against < bestAgainst || against == bestAgainst && score > bestScore {
			best, bestAgainst, bestScore = server, against, score
		}
	}
	return best, bestAgainst
}

// against returns the reasons to pass over a server.
func (c *Chooser) against(now time.Time, pool *catalogue.Pool, server *catalogue.Server, tried *Failed) int {
	reasons := 0
	local := server.DataCentre == c.DataCentre
	if local != tried.local() {
		reasons |= remote
	}
	if c.Loads.Busy(now, server.Cookie) {
		reasons |= busy
	}
	if server.IsCold(now) {
		reasons |= cold
		if !c.Colds.Allow(now, pool, server.Cookie) {
			reasons |= exhausted
		}
	}
	if c.Suspects.Suspected(now, server.Cookie) {
		reasons |= suspected
	}
	if tried.has(server.Cookie) {
		reasons |= failed
	}
	if c.Reach.Unreachable(server.Cookie) {
		reasons |= unreachable
	}
	return reasons
}

// Witnesses returns servers to probe beside one that does not answer: one of the
// host's own data centre and one of another, as far as there are some in no doubt.
// If none of them answers either, the host itself may be held up.
func (c *Chooser) Witnesses(known *catalogue.Catalogue, of *catalogue.Server, turn uint64) []*catalogue.Server {
	near := c.witness(known.Place(c.DataCentre), of, turn, func(*catalogue.Server) bool { return true })
	far := c.witness(known.Pool(of.Service).All, of, turn, func(s *catalogue.Server) bool { return s.DataCentre != c.DataCentre })
	return slices.DeleteFunc([]*catalogue.Server{near, far}, func(s *catalogue.Server) bool { return s == nil })
}

// witness returns one of the servers that fit and are in no doubt, another one each turn.
func (c *Chooser) witness(servers []*catalogue.Server, of *catalogue.Server, turn uint64, fits func(*catalogue.Server) bool) *catalogue.Server {
	var best *catalogue.Server
	for _, server := range servers {
		if server == of || c.Reach.Doubted(server.Cookie) || !fits(server) {
			continue
		}
		if best == nil || score(turn, server.Cookie) > score(turn, best.Cookie) {
			best = server
		}
	}
	return best
}

// Other reports whether a new flow can go to another server, one in no doubt.
func (c *Chooser) Other(pool *catalogue.Pool, than catalogue.Cookie) bool {
	return slices.ContainsFunc(pool.All, func(s *catalogue.Server) bool {
		return s.Cookie != than && !c.Reach.Doubted(s.Cookie)
	})
}

// Opened notes that a new flow goes to a server that Choose has returned.
func (c *Chooser) Opened(now time.Time, pool *catalogue.Pool, server *catalogue.Server) {
	if server.IsCold(now) {
		c.Colds.Opened(now, pool, server.Cookie)
	}
}

// score ranks a server for a flow by rendezvous hashing.
func score(flow uint64, server catalogue.Cookie) uint64 {
	var data [12]byte
	binary.LittleEndian.PutUint64(data[:8], flow)
	binary.LittleEndian.PutUint32(data[8:], uint32(server))
	return xxhash.Sum64(data[:])
}
