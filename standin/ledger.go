package standin

import (
	"sync"

	"github.com/rattanthread/rattanthread/fleet"
)

// Ledger notes which requests backend servers began to run, by their id. All
// servers of a trial share one. Ledger is safe for concurrent use; its zero
// value works.
type Ledger struct {
	// MaxRequests bounds the requests that are noted; zero means a million.
	MaxRequests int

	mu        sync.Mutex
	runs      map[string][]fleet.ServerID
	forgotten uint64
}

const defaultLedgerRequests = 1_000_000

// Run notes that server begins to run the request.
func (l *Ledger) Run(request string, server fleet.ServerID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.runs == nil {
		l.runs = make(map[string][]fleet.ServerID)
	}
	limit := l.MaxRequests
	if limit == 0 {
		limit = defaultLedgerRequests
	}
	if len(l.runs) >= limit && l.runs[request] == nil {
		l.forgotten++
		return
	}
	l.runs[request] = append(l.runs[request], server)
}

// Runs returns the servers that began to run the request, in order.
func (l *Ledger) Runs(request string) []fleet.ServerID {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]fleet.ServerID(nil), l.runs[request]...)
}

// Forgotten returns how many runs were not noted for want of room.
func (l *Ledger) Forgotten() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.forgotten
}
