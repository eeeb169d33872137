package upstream

import "time"

// Freshness decides whether an upstream is recent enough to rely on. The zero
// value relies on none.
type Freshness struct {
	// Limit is the age of the oldest part from which on an upstream is late.
	Limit time.Duration
	// Silence is how long an upstream may send nothing.
	Silence time.Duration

	heard time.Time
	age   time.Duration
}

// Heard notes an update and the age of its oldest part.
func (f *Freshness) Heard(now time.Time, age time.Duration) { f.heard, f.age = now, age }

// Fresh reports whether the host may rely on its upstream.
func (f *Freshness) Fresh(now time.Time) bool {
	since := now.Sub(f.heard)
	return !f.heard.IsZero() && since <= f.Silence && f.age+since <= f.Limit
}
