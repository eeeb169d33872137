package standin

import "time"

// Seconds counts outcomes by second since the first one.
type Seconds struct {
	start time.Time
	all   []Second
}

// Second is the outcomes of requests that ended within one second.
type Second struct {
	Start    time.Time `json:"start"`
	Answered uint64    `json:"answered"`
	Refused  uint64    `json:"refused"`
	Unknown  uint64    `json:"unknown"`
}

const maxSeconds = 24 * 60 * 60

// Add counts one outcome at now.
func (s *Seconds) Add(now time.Time, outcome Outcome) {
	if s.start.IsZero() {
		s.start = now.Truncate(time.Second)
	}
	index := int(now.Sub(s.start) / time.Second)
	if index < 0 || index >= maxSeconds {
		return
	}
	for len(s.all) <= index {
		s.all = append(s.all, Second{Start: s.start.Add(time.Duration(len(s.all)) * time.Second)})
	}
	second := &s.all[index]
	switch outcome {
	case OutcomeAnswered:
		second.Answered++
	case OutcomeRefused:
		second.Refused++
	default:
		second.Unknown++
	}
}

// All returns the seconds so far, in order.
func (s *Seconds) All() []Second {
	return append([]Second(nil), s.all...)
}
