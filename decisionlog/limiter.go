package decisionlog

import "time"

// DefaultLines is how many lines of a kind a Budget allows in a second.
const DefaultLines = 100

// Budget bounds the lines of each kind in a second. The zero value is ready for
// use. It belongs to one goroutine.
type Budget struct {
	// Lines is the bound for each kind. Zero means DefaultLines.
	Lines int

	second time.Time
	kinds  map[string]int
}

// Omitted says how many lines of a kind were left out in a second.
type Omitted struct {
	Kind  string
	Lines int
}

// Allow reports whether a line of a kind may be written. At the first line of a
// new second it also returns what was left out of the last one.
func (b *Budget) Allow(now time.Time, kind string) (bool, []Omitted) {
	var omitted []Omitted
	limit := b.Lines
	if limit == 0 {
		limit = DefaultLines
	}
	if now.Sub(b.second) >= time.Second || b.kinds == nil {
		omitted = b.omitted(limit)
		b.second, b.kinds = now, make(map[string]int)
	}
	b.kinds[kind]++
	return b.kinds[kind] <= limit, omitted
}

func (b *Budget) omitted(limit int) []Omitted {
	var omitted []Omitted
	for kind, lines := range b.kinds {
		if lines > limit {
			omitted = append(omitted, Omitted{Kind: kind, Lines: lines - limit})
		}
	}
	return omitted
}
