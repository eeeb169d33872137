package catalogue

import "time"

// Call is the next call to the store for one source.
type Call struct {
	Source Source
	// Full requests all records, instead of the changes after a version.
	Full bool
	// Linearizable requires a linearizable read. Other reads may return data that is seconds
	// old, and confirm nothing.
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
	// confirmationDelay is the time from a linearizable read of the servers to the end of the
	// watches of other sources, which the version of the former confirms.
	confirmationDelay = 100 * time.Millisecond
	// confirmationTolerance is how much older than the wait of a watch a state may be before it is
	// confirmed by another call. Changes of the servers in quick succession delay their watches.
	confirmationTolerance = burstPause
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
	// failingSince is when the first of the latest failed calls was sent.
	failingSince time.Time
	// confirmedAt is the latest time at which version was known to be current.
	confirmedAt time.Time
	// unconfirmed counts the successful calls in a row that left the state older than
	// confirmationTolerance allows.
	unconfirmed int
	// provisional means that the first successful call of all, or after failed ones, may have
	// returned data that is seconds old.
	provisional bool
	// expiries is the number of expiries of the history since the last successful watch.
	expiries int
	// changedAt is when the last changes were received.
	changedAt time.Time
}

// Advance raises the known version to one obtained elsewhere, such as from a peer, which was
// current at a time. The time is not used if it is impossible (see [CheckConfirmation]).
func (f *Follower) Advance(now time.Time, version Version, confirmedAt time.Time) {
	if version > f.version {
		f.version, f.historyExpired = version, false
	}
	if CheckConfirmation(now, confirmedAt) != nil {
		return
	}
	if confirmedAt.After(f.confirmedAt) {
		f.confirmedAt, f.unconfirmed, f.provisional = confirmedAt, 0, false
	}
	if confirmedAt.After(f.failingSince) { // others have reached the store since
		f.failingSince = time.Time{}
	}
}

// Next returns the next call. After a failed call it requests an immediate response,
// so that the store's recovery is detected without delay.
func (f *Follower) Next(now time.Time) Call {
	if f.version == 0 || f.historyExpired {
		// A long list over a slow link takes longer, so each failure extends the timeout.
		return Call{Source: f.Source, Full: true, Linearizable: f.historyExpired, Timeout: callTimeout * time.Duration(min(1+f.failures, maxTimeoutFactor))}
	}
	wait := f.watchWait(now)
	timeout := callTimeout * time.Duration(min(max(1, f.failures), maxTimeoutFactor))
	return Call{Source: f.Source, Linearizable: f.linearizable(now), After: f.version, Wait: wait, Timeout: wait + timeout}
}

// linearizable reports whether the next watch must be linearizable. That of the servers is when
// a confirmation is due, and its version confirms the other sources (see [ReadIndex]), unless
// their reads lag. The list of hosts has no bound. While the store is unavailable, cheaper calls
// detect its recovery.
func (f *Follower) linearizable(now time.Time) bool {
	switch {
	case f.Source == Hosts || f.failures > 1:
		return false
	case f.Source == Servers || f.failures == 1:
		return f.watchWait(now) == 0
	}
	return f.unconfirmed > 1
}

// watchWait returns how long the next watch may wait. The wait is counted from the last
// confirmation, so that changes do not delay the next one.
func (f *Follower) watchWait(now time.Time) time.Duration {
	switch age := max(0, now.Sub(f.confirmedAt)); {
	case f.failures > 0 || f.unconfirmed > 1:
		return 0
	case f.Source == Hosts:
		return hostsWatchWait
	case f.Source == Servers:
		return max(0, WatchWait(f.Bound)-age)
	case f.unconfirmed == 1:
		return confirmationDelay
	default:
		return max(confirmationDelay, WatchWait(f.Bound)+confirmationDelay-age)
	}
}

// TakeProvisional reports once, before the next call, that the first successful call of all, or
// after failed ones, may have returned data that is seconds old.
func (f *Follower) TakeProvisional() bool {
	provisional := f.provisional
	f.provisional = false
	return provisional
}

// WatchWait returns how long a watch may wait for a change that must be in force
// within a bound.
func WatchWait(bound time.Duration) time.Duration { return min(bound/3, maxWatchWait) }

// Succeeded records a successful call, and the time at which the version was known to be
// current; zero if there is none. It reports whether the calls before it had failed.
func (f *Follower) Succeeded(now time.Time, version Version, confirmedAt time.Time) bool {
	recovered := f.failures > 0
	if !f.historyExpired {
		f.expiries = 0
	}
	f.failures, f.failingSince, f.historyExpired = 0, time.Time{}, false
	f.provisional = f.Source != Hosts && (recovered || f.confirmedAt.IsZero())
	unconfirmed := f.unconfirmed
	f.Advance(now, version, confirmedAt)
	if f.Source != Hosts && now.Sub(f.confirmedAt) > WatchWait(f.Bound)+confirmationTolerance {
		f.unconfirmed = unconfirmed + 1
	}
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

// Outage returns how long the store has been unavailable: since the first of the latest failed
// calls, unless a peer has read the store since. It is zero after a successful call.
func (f *Follower) Outage(now time.Time) time.Duration {
	if f.failingSince.IsZero() {
		return 0
	}
	return now.Sub(f.failingSince)
}

// Failed records a failed call, and when it was sent. It returns the pause before the next one and
// whether this is the first failure in a row.
func (f *Follower) Failed(sent time.Time) (time.Duration, bool) {
	f.failures++
	if f.failingSince.IsZero() {
		f.failingSince = sent
	}
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
