package entry

import (
	"time"

	"github.com/rattanthread/rattanthread/catalogue"
)

// Places where the ages of states are checked: the messages of an upstream, the responses of the store,
// and the updates of the catalogue.
const (
	ageInFeed      = "feed"
	ageInStore     = "store"
	ageInCatalogue = "catalogue"
)

// rejectAge counts and logs an impossible age, which is not used.
func (h *Host) rejectAge(place string, err error, pairs ...any) {
	h.metrics.agesRejected.WithLabelValues(place).Inc()
	h.log.Line("age_rejected", append([]any{"place", place, "error", err}, pairs...)...)
}

// possibleConfirmation returns a time of confirmation, or the zero time if it is impossible, which is
// counted and logged.
func (h *Host) possibleConfirmation(now time.Time, place string, source catalogue.Source, confirmedAt time.Time) time.Time {
	if err := catalogue.CheckConfirmation(now, confirmedAt); err != nil {
		h.rejectAge(place, err, "source", source.String())
		return time.Time{}
	}
	return confirmedAt
}

// loggedAge returns the age of a state in milliseconds, as it appears in the log.
func loggedAge(now, confirmedAt time.Time) any {
	age, known := catalogue.AgeAt(now, confirmedAt)
	if !known {
		return "unknown"
	}
	return age.Milliseconds()
}
