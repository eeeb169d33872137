package upstream

import "time"

// Freshness decides whether an upstream is recent enough to rely on. The zero
// value relies on none.
type Freshness struct {
	// Silence is how long an upstream may send nothing.
	Silence time.Duration

	heard time.Time
	slack time.Duration
}

// Heard notes an update, and how long its oldest part still is recent enough.
func (f *Freshness) Heard(now time.Time, slack time.Duration) { f.heard, f.slack = now, slack }

// Fresh reports whether the host may rely on its upstream.
func (f *Freshness) Fresh(now time.Time) bool {
	since := now.Sub(f.heard)
	return !f.heard.IsZero() && since <= f.Silence && since < f.slack
}

// Slack returns how long something of an age is still recent enough to rely on
// an upstream for it, if changes must be in force within a bound. What remains
// of the bound is for the host to ask the store itself.
func Slack(bound, age time.Duration) time.Duration {
	return bound*relyPercent/100 - age
}

// relyPercent is the part of a bound for which an upstream is relied on.
const relyPercent = 60
