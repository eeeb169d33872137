package standin

import (
	"sync"

	"github.com/rattanthread/rattanthread/fleet"
)

// Ledger records which backend servers started to run each request, by request
// id. The servers of a demonstration share one Ledger. Ledger is safe for
// concurrent use; its zero value is ready to use.
type Ledger struct {
	// MaxRequests limits the requests that are recorded; zero means a million.
	MaxRequests int

	mu      sync.Mutex
	runs    map[string][]fleet.ServerID
	dropped uint64
}

const defaultLedgerRequests = 1_000_000

// Record records that server starts to run the request.
func (l *Ledger) Record(id string, server fleet.ServerID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.runs == nil {
		l.runs = make(map[string][]fleet.ServerID)
	}
	limit := l.MaxRequests
	if limit == 0 {
		limit = defaultLedgerRequests
	}
	if len(l.runs) >= limit && l.runs[id] == nil {
		l.dropped++
		return
	}
	l.runs[id] = append(l.runs[id], server)
}

// Runs returns the servers that started to run the request, in order.
func (l *Ledger) Runs(id string) []fleet.ServerID {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]fleet.ServerID(nil), l.runs[id]...)
}

// Dropped returns the number of runs that exceeded MaxRequests and were not recorded.
func (l *Ledger) Dropped() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.dropped
}
