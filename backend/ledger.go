package backend

import "time"

// ledger sums up the granted credit that still counts against the bound of a server.
type ledger struct {
	entries []ledgerEntry
}

type ledgerEntry struct {
	count int
	until time.Time
}

func (l *ledger) add(until time.Time, count int) {
	if count > 0 {
		l.entries = append(l.entries, ledgerEntry{count, until})
	}
}

func (l *ledger) outstanding(now time.Time) int {
	total := 0
	kept := l.entries[:0]
	for _, entry := range l.entries {
		if now.Before(entry.until) {
			kept = append(kept, entry)
			total += entry.count
		}
	}
	l.entries = kept
	return total
}
