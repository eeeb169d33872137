package rollout

import (
	"time"

	"github.com/rattanthread/rattanthread/config"
	"github.com/rattanthread/rattanthread/fleet"
)

// newHistory is a history other than the one in force, which the platform has shown.
type newHistory struct {
	id    fleet.HistoryID
	reads int
	since time.Time
}

// offerHistory handles a read of another history than the one in force. The
// store may have been recreated, or the read may come from a replica that lags
// behind such a change. The new history is adopted when it was published later
// than what is in force and several reads over some time show nothing else.
func (f *Follower) offerHistory(now time.Time, r config.Revised) []fleet.Send {
	if !r.Published.After(f.current.Published) {
		f.counts.StaleReads++
		return nil
	}
	if f.history.id != r.History {
		f.history = newHistory{id: r.History, since: now}
	}
	f.history.reads++
	if f.history.reads < historyConfirmations || now.Sub(f.history.since) < historyTime {
		return nil
	}
	f.history = newHistory{}
	f.counts.Histories++
	f.adopt(now, r, nil)
	return f.push(true)
}
