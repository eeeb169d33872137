package control

import "time"

// Join is join, for the tests.
type Join struct{ join }

// Observe is observe.
func (j *Join) Observe(now time.Time, live int) bool { return j.observe(now, live) }
