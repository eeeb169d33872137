package upstream

import "time"

// Freshness decides whether an upstream is recent enough to rely on. The zero value
// means that none is.
type Freshness struct {
	// SilenceTimeout is how long an upstream may go without sending an update.
	SilenceTimeout time.Duration

	updatedAt time.Time
	slack     time.Duration
}

// Updated records an update, and how long its oldest part remains recent enough.
func (f *Freshness) Updated(now time.Time, slack time.Duration) { f.updatedAt, f.slack = now, slack }

// Fresh reports whether the host may rely on its upstream.
func (f *Freshness) Fresh(now time.Time) bool {
	since := now.Sub(f.updatedAt)
	return !f.updatedAt.IsZero() && since <= f.SilenceTimeout && since < f.slack
}

// Slack returns how much longer an upstream may be relied on for a record of the given
// age, if changes must be in force within a bound. The rest of the bound is left for the
// host to read the store itself.
func Slack(bound, age time.Duration) time.Duration {
	return bound*upstreamPercent/100 - age
}

// upstreamPercent is the percentage of a bound for which an upstream is relied on.
const upstreamPercent = 60
