package control

import "time"

const (
	// joinQuietPeriod is how long the number of live hosts must be unchanged before
	// a new host considers its list of live hosts complete.
	joinQuietPeriod = 600 * time.Millisecond
	// maxJoinWait limits the wait for a complete list.
	maxJoinWait = 3 * time.Second
)

// joinWait determines whether the list of live hosts of a new host is complete.
// With an incomplete list, the host would own slots of hosts that it has not
// discovered yet, and decide without querying them.
type joinWait struct {
	done    bool
	since   time.Time // when the configuration was ready
	live    int
	changed time.Time // when live last changed
}

// observe records the number of live hosts and reports whether the wait is over.
func (j *joinWait) observe(now time.Time, live int) bool {
	if j.done {
		return true
	}
	if j.since.IsZero() {
		j.since, j.changed = now, now
	}
	if live != j.live {
		j.live, j.changed = live, now
	}
	j.done = now.Sub(j.changed) >= joinQuietPeriod || now.Sub(j.since) >= maxJoinWait
	return j.done
}
