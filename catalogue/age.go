package catalogue

import (
	"time"

	"github.com/go-faster/errors"
)

// MaxWarmup is the maximum remaining warm-up of a server. A longer one is an invalid value.
const MaxWarmup = 24 * time.Hour

// MaxAge is the maximum age of a state that counts as confirmed. It exceeds the time for which a host
// runs, and sums of a few such ages do not overflow.
const MaxAge = 365 * 24 * time.Hour

// ErrImpossibleAge is the error for a time of confirmation that no host can have observed.
var ErrImpossibleAge = errors.New("impossible age")

// CheckAge returns an error if no state can have an age: it is negative or exceeds MaxAge.
func CheckAge(age time.Duration) error {
	switch {
	case age < 0:
		return errors.Wrap(ErrImpossibleAge, "the state is dated after now")
	case age > MaxAge:
		return errors.Wrapf(ErrImpossibleAge, "the state is older than %s", MaxAge)
	}
	return nil
}

// CheckConfirmation returns an error if no state can have been confirmed at a time: it is after now
// or longer ago than MaxAge. The zero time means that the state is not confirmed, and is no error.
func CheckConfirmation(now, confirmedAt time.Time) error {
	if confirmedAt.IsZero() {
		return nil
	}
	return CheckAge(now.Sub(confirmedAt))
}

// AgeAt returns the age of a state that was confirmed at a time. It returns false if the age is
// unknown, since the state is not confirmed or its time of confirmation is impossible.
func AgeAt(now, confirmedAt time.Time) (time.Duration, bool) {
	if confirmedAt.IsZero() || CheckConfirmation(now, confirmedAt) != nil {
		return 0, false
	}
	return now.Sub(confirmedAt), true
}
