package catalogue

import "time"

// Call is the next call on the store for one source.
type Call struct {
	Source Source
	// Whole asks for all records; otherwise for the changes after a version.
	Whole bool
	// Exact says that an old list won't do, as the changes since are forgotten.
	Exact bool
	After Version
	// Wait is how long the store may wait for a change.
	Wait time.Duration
	// Timeout is when a call without an answer has failed.
	Timeout time.Duration
}

// Times of calls on the store.
const (
	// maxWait bounds the time that a watch waits: a watch that has gone silent
	// is noticed only when that and callTimeout are over.
	maxWait = 1600 * time.Millisecond
	// hostsWait is that of entry hosts, of which nothing has to be known in time.
	hostsWait = 10 * time.Second
	// floodRest is the pause after a change that came within floodGap of another: when
	// many servers or hosts start together, one call takes in many changes.
	floodRest = 250 * time.Millisecond
	floodGap  = time.Second
	// callTimeout is how long a call may take beyond the time it waits.
	callTimeout = 600 * time.Millisecond
	// maxPatience bounds how many times callTimeout a call gets after failed ones.
	maxPatience = 8
	// firstPause and maxPause bound the pause after failed calls.
	firstPause = 250 * time.Millisecond
	maxPause   = 500 * time.Millisecond
)

// Follower decides how one source of the store is followed: it is listed once
// and then watched. A watch may be cut, fall silent or lose its history at any
// time. A Follower must have its Source and Bound set. It belongs to one
// goroutine.
type Follower struct {
	Source Source
	// Bound is the time within which a change must be in force.
	Bound time.Duration

	version Version
	// forgotten says that the store has no history after version.
	forgotten bool
	failed    int
	// changed is when the last changes came.
	changed time.Time
}

// Learned takes in a version that is known from another source than the store.
func (f *Follower) Learned(version Version) {
	if version > f.version {
		f.version, f.forgotten = version, false
	}
}

// Next returns the next call. After a failed one the store is asked for an
// immediate answer, so that its return is noticed at once.
func (f *Follower) Next() Call {
	// A call that takes long, as a long list over a slow link does, gets more time.
	if f.version == 0 || f.forgotten {
		return Call{Source: f.Source, Whole: true, Exact: f.forgotten, Timeout: callTimeout * time.Duration(min(1+f.failed, maxPatience))}
	}
	timeout := callTimeout * time.Duration(min(max(1, f.failed), maxPatience))
	wait := LongestWait(f.Bound)
	if f.Source == Hosts {
		wait = hostsWait
	}
	if f.failed > 0 {
		wait = 0
	}
	return Call{Source: f.Source, After: f.version, Wait: wait, Timeout: wait + timeout}
}

// LongestWait returns how long a watch may wait for a change that must be in force
// within a bound.
func LongestWait(bound time.Duration) time.Duration { return min(bound/3, maxWait) }

// Answered takes in an answer. It reports whether the store was lost before.
func (f *Follower) Answered(version Version) bool {
	regained := f.failed > 0
	f.failed, f.forgotten = 0, false
	f.version = max(version, f.version)
	return regained
}

// Rest returns the pause before the next call after an answer with or without changes.
// A change that comes alone is followed at once.
func (f *Follower) Rest(now time.Time, changes bool) time.Duration {
	if !changes {
		return 0
	}
	flood := !f.changed.IsZero() && now.Sub(f.changed) < floodGap
	f.changed = now
	if !flood {
		return 0
	}
	return floodRest
}

// Failed takes in that a call was not served. It returns the pause before the
// next one and whether the store has just been lost.
func (f *Follower) Failed() (time.Duration, bool) {
	f.failed++
	return min(firstPause*time.Duration(f.failed), maxPause), f.failed == 1
}

// Forgotten takes in that the store has forgotten the changes after the known
// version. All records are asked for next.
func (f *Follower) Forgotten() { f.forgotten = true }
