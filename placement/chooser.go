package placement

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rattanthread/rattanthread/catalogue"
	"github.com/rattanthread/rattanthread/fleet"
)

// maxTries is how many tries to open a flow are told apart.
const maxTries = 3

// Chooser chooses servers for new flows. It belongs to one goroutine.
type Chooser struct {
	// DataCentre is that of the host.
	DataCentre fleet.DataCentreID
	// Suspects are the servers that do not answer.
	Suspects Suspects
	// Reach holds the servers that accept no connection.
	Reach Reach
}

// Reasons to pass over a server, the gravest highest.
const (
	remote = 1 << iota
	cold
	suspected
	unreached
)

// candidate is a server with the reasons against it and its rank for the flow.
type candidate struct {
	server  *catalogue.Server
	against int
	score   uint64
}

func (c candidate) before(other candidate) bool {
	if c.against != other.against {
		return c.against < other.against
	}
	return c.score > other.score
}

// Choose returns the server for a new flow, or nil if the pool is empty. After
// failed tries each goes to another server, as long as there is one, and not to
// the one that failed last. Hosts with the same catalogue and the same suspicions
// choose alike.
func (c *Chooser) Choose(now time.Time, pool []*catalogue.Server, flow uint64, failed int, last catalogue.Cookie) *catalogue.Server {
	var best [maxTries]candidate
	n := 0
	for _, server := range pool {
		next := candidate{server: server, against: c.against(now, server), score: score(flow, server.Cookie)}
		if server.Cookie == last {
			next.against |= unreached
		}
		n = insert(&best, n, next)
	}
	if n == 0 {
		return nil
	}
	return best[min(failed, n-1)].server
}

func (c *Chooser) against(now time.Time, server *catalogue.Server) int {
	reasons := 0
	if server.DataCentre != c.DataCentre {
		reasons |= remote
	}
	if server.IsCold(now) {
		reasons |= cold
	}
	if c.Suspects.Suspected(now, server.Cookie) {
		reasons |= suspected
	}
	if c.Reach.Unreachable(server.Cookie) {
		reasons |= unreached
	}
	return reasons
}

// insert keeps the best candidates in order and returns how many there are.
func insert(best *[maxTries]candidate, n int, next candidate) int {
	at := n
	for at > 0 && next.before(best[at-1]) {
		at--
	}
	if at == maxTries {
		return n
	}
	n = min(n+1, maxTries)
	copy(best[at+1:n], best[at:n-1])
	best[at] = next
	return n
}

// score ranks a server for a flow by rendezvous hashing.
func score(flow uint64, server catalogue.Cookie) uint64 {
	var data [12]byte
	binary.LittleEndian.PutUint64(data[:8], flow)
	binary.LittleEndian.PutUint32(data[8:], uint32(server))
	return xxhash.Sum64(data[:])
}
