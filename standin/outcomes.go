package standin

import "time"

// OutcomeSeries counts the outcomes of requests by second, for a day from the
// first one.
type OutcomeSeries struct {
	start   time.Time
	seconds []OutcomeCounts
}

// OutcomeCounts holds the outcomes of requests that ended within one second.
type OutcomeCounts struct {
	Start    time.Time `json:"start"`
	Answered uint64    `json:"answered"`
	Refused  uint64    `json:"refused"`
	Unknown  uint64    `json:"unknown"`
}

const maxSeriesSeconds = 24 * 60 * 60

// Add counts one outcome at now.
func (s *OutcomeSeries) Add(now time.Time, outcome Outcome) {
	if s.start.IsZero() {
		s.start = now.Truncate(time.Second)
	}
	index := int(now.Sub(s.start) / time.Second)
	if index < 0 || index >= maxSeriesSeconds {
		return
	}
	for len(s.seconds) <= index {
		s.seconds = append(s.seconds, OutcomeCounts{Start: s.start.Add(time.Duration(len(s.seconds)) * time.Second)})
	}
	second := &s.seconds[index]
	switch outcome {
	case OutcomeAnswered:
		second.Answered++
	case OutcomeRefused:
		second.Refused++
	default:
		second.Unknown++
	}
}

// All returns the counts of all seconds so far, in order.
func (s *OutcomeSeries) All() []OutcomeCounts {
	return append([]OutcomeCounts(nil), s.seconds...)
}
