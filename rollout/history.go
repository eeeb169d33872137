package rollout

import (
	"time"

	"github.com/rattanthread/rattanthread/config"
	"github.com/rattanthread/rattanthread/fleet"
)

// historyCandidate is a history other than the one in force that platform reads
// have returned.
type historyCandidate struct {
	id    fleet.HistoryID
	reads int
	since time.Time
}

// offerCandidate handles a platform read whose history is not the one in force.
// Either the store was recreated, or the read comes from a replica that lags behind
// such a change. The new history is adopted if it was published later than the
// configuration in force and several reads over some time return nothing else, or at once
// if it begins with a restoration of the store, which no lagging replica precedes.
func (f *Follower) offerCandidate(now time.Time, read config.PublishedSet) []fleet.Send {
	if !read.Published.After(f.current.Published) {
		f.counts.StaleReads++
		return nil
	}
	if f.current.Epoch != 0 && read.Epoch > f.current.Epoch {
		return f.adoptHistory(now, read)
	}
	if f.candidate.id != read.History {
		f.candidate = historyCandidate{id: read.History, since: now}
	}
	f.candidate.reads++
	if f.candidate.reads < minHistoryReads || now.Sub(f.candidate.since) < minHistoryAge {
		return nil
	}
	return f.adoptHistory(now, read)
}

func (f *Follower) adoptHistory(now time.Time, read config.PublishedSet) []fleet.Send {
	f.candidate = historyCandidate{}
	f.counts.HistoryChanges++
	f.adopt(now, read, nil)
	return f.push(true)
}
