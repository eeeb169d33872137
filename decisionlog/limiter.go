package decisionlog

import "time"

// DefaultLinesPerSecond is the number of lines of a kind that a Limiter allows per
// second.
const DefaultLinesPerSecond = 100

// Limiter limits the lines of each kind per second. The zero value is ready to use. It
// is not safe for concurrent use.
type Limiter struct {
	// LinesPerSecond is the limit for each kind. Zero means DefaultLinesPerSecond.
	LinesPerSecond int

	windowStart time.Time
	counts      map[string]int
}

// Omitted is the number of lines of a kind that were omitted within a second.
type Omitted struct {
	Kind  string
	Lines int
}

// Allow reports whether a line of a kind may be written. With the first line of a new
// second it also returns what was omitted in the last one.
func (l *Limiter) Allow(now time.Time, kind string) (bool, []Omitted) {
	var omitted []Omitted
	limit := l.LinesPerSecond
	if limit == 0 {
		limit = DefaultLinesPerSecond
	}
	if now.Sub(l.windowStart) >= time.Second || l.counts == nil {
		omitted = l.omitted(limit)
		l.windowStart, l.counts = now, make(map[string]int)
	}
	l.counts[kind]++
	return l.counts[kind] <= limit, omitted
}

func (l *Limiter) omitted(limit int) []Omitted {
	var omitted []Omitted
	for kind, lines := range l.counts {
		if lines > limit {
			omitted = append(omitted, Omitted{Kind: kind, Lines: lines - limit})
		}
	}
	return omitted
}
