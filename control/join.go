package control

import "time"

const (
	// joinQuiet is how long no further host may turn up before a fresh host
	// takes its list of live hosts for whole.
	joinQuiet = 600 * time.Millisecond
	// maxJoin bounds that wait.
	maxJoin = 3 * time.Second
)

// join tells whether a fresh host knows the fleet. Until then it would own slots
// of hosts that it has not heard of yet, and decide without asking them.
type join struct {
	done    bool
	since   time.Time // when the configuration was ready
	live    int
	changed time.Time // when live last changed
}

// observe notes how many hosts are live and reports whether the wait is over.
func (j *join) observe(now time.Time, live int) bool {
	if j.done {
		return true
	}
	if j.since.IsZero() {
		j.since, j.changed = now, now
	}
	if live != j.live {
		j.live, j.changed = live, now
	}
	j.done = now.Sub(j.changed) >= joinQuiet || now.Sub(j.since) >= maxJoin
	return j.done
}
