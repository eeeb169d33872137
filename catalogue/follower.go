package catalogue

import "time"

// Call is the next call to the store for one source.
type Call struct {
	Source Source
	// Full requests all records, instead of the changes after a version.
	Full bool
	// Linearizable requires a linearizable list, because the store no longer has the
	// changes since an older one.
	Linearizable bool
	After        Version
	// Wait is how long the store may wait for a change.
	Wait time.Duration
	// Timeout is the time after which a call without a response has failed.
	Timeout time.Duration
}

// Timing of calls to the store.
const (
	// maxWatchWait bounds the wait of a watch: an unresponsive watch is detected only
	// after this time and callTimeout have passed.
	maxWatchWait = 1600 * time.Millisecond
	// hostsWatchWait is the wait of a watch of entry hosts, whose changes have no
	// bound.
	hostsWatchWait = 10 * time.Second
	// burstPause is the pause after a change within burstGap of another: when many
	// servers or hosts start together, one call returns many changes.
	burstPause = 250 * time.Millisecond
	burstGap   = time.Second
	// callTimeout is how long a call may take in addition to its wait.
	callTimeout = 600 * time.Millisecond
	// maxTimeoutFactor bounds the multiple of callTimeout allowed after failed calls.
	maxTimeoutFactor = 8
	// firstRetryPause and maxRetryPause bound the pause after failed calls.
	firstRetryPause = 250 * time.Millisecond
	maxRetryPause   = 500 * time.Millisecond
)

// Follower decides how to read one source of the store: it is listed once and then
// watched. A watch may break, become unresponsive or lose its history at any time.
// Source and Bound must be set. A Follower is not safe for concurrent use.
type Follower struct {
	Source Source
	// Bound is the time within which a change must be in force.
	Bound time.Duration

	version Version
	// historyExpired means that the store no longer has the changes after version.
	historyExpired bool
	failures       int
	// expiries is the number of expiries of the history since the last successful watch.
	expiries int
	// changedAt is when the last changes were received.
	changedAt time.Time
}

// Advance raises the known version to one obtained elsewhere, such as from a peer.
func (f *Follower) Advance(version Version) {
	if version > f.version {
		f.version, f.historyExpired = version, false
	}
}

// Next returns the next call. After a failed call it requests an immediate response,
// so that the store's recovery is detected without delay.
func (f *Follower) Next() Call {
	// A long list over a slow link takes longer, so each failure extends the timeout.
	if f.version == 0 || f.historyExpired {
		return Call{Source: f.Source, Full: true, Linearizable: f.historyExpired, Timeout: callTimeout * time.Duration(min(1+f.failures, maxTimeoutFactor))}
	}
	timeout := callTimeout * time.Duration(min(max(1, f.failures), maxTimeoutFactor))
	wait := WatchWait(f.Bound)
	if f.Source == Hosts {
		wait = hostsWatchWait
	}
	if f.failures > 0 {
		wait = 0
	}
	return Call{Source: f.Source, After: f.version, Wait: wait, Timeout: wait + timeout}
}

// WatchWait returns how long a watch may wait for a change that must be in force
// within a bound.
func WatchWait(bound time.Duration) time.Duration { return min(bound/3, maxWatchWait) }

// Succeeded records a successful call. It reports whether the calls before it had
// failed.
func (f *Follower) Succeeded(version Version) bool {
	recovered := f.failures > 0
	if !f.historyExpired {
		f.expiries = 0
	}
	f.failures, f.historyExpired = 0, false
	f.version = max(version, f.version)
	return recovered
}

// Pause returns the pause before the next call after a successful one with or without
// changes. There is none after an isolated change.
func (f *Follower) Pause(now time.Time, changes bool) time.Duration {
	if !changes {
		return 0
	}
	burst := !f.changedAt.IsZero() && now.Sub(f.changedAt) < burstGap
	f.changedAt = now
	if !burst {
		return 0
	}
	return burstPause
}

// Failed records a failed call. It returns the pause before the next one and whether
// this is the first failure in a row.
func (f *Follower) Failed() (time.Duration, bool) {
	f.failures++
	return min(firstRetryPause*time.Duration(f.failures), maxRetryPause), f.failures == 1
}

// HistoryExpired records that the store does not have the changes after the known version.
// The next call lists all records. It returns the pause before that call; there is none
// unless the history expired again after it was listed.
func (f *Follower) HistoryExpired() time.Duration {
	f.historyExpired = true
	f.expiries++
	return min(firstRetryPause*time.Duration(f.expiries-1), maxRetryPause)
}
