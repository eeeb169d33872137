package request

import (
	"sync"
	"time"
)

// The reasons for and against another try of one attempt at another server.
const (
	ReasonRetryNotRun     Reason = "not_run"    // the first try was proven not to have run
	ReasonRetryIdempotent Reason = "idempotent" // running twice does no harm
	ReasonNotRetryable    Reason = "not_retryable"
	ReasonRetryBudget     Reason = "retry_budget"
	ReasonRetryTries      Reason = "retry_tries"
)

// Try describes a try that failed.
type Try struct {
	Number     int  // tries so far, the failed one included
	NotRun     bool // proven: nothing was sent, or the server said so
	Idempotent bool
	Deadline   time.Time
}

// Retries decides on further tries. The zero value uses the defaults.
type Retries struct {
	// MaxTries bounds the tries of one attempt.
	MaxTries int
	Backoff  Backoff
}

// The defaults of Retries and Backoff, and of Budget.
const (
	DefaultMaxTries    = 3
	DefaultBackoffBase = 20 * time.Millisecond
	DefaultBackoffMax  = time.Second
	DefaultRetryRatio  = 0.1 // retries per first try
	DefaultRetrySaved  = 20  // retries that a budget can save up
)

// Next decides whether to try again, and after which delay. The random number
// is from [0, 1). The reason says why it is tried again, or why not.
func (r Retries) Next(now time.Time, t Try, b *Budget, random float64) (delay time.Duration, reason Reason, again bool) {
	switch {
	case !t.NotRun && !t.Idempotent:
		return 0, ReasonNotRetryable, false
	case t.Number >= orDefault(r.MaxTries, DefaultMaxTries):
		return 0, ReasonRetryTries, false
	}
	delay = r.Backoff.Delay(t.Number, random)
	if !now.Add(delay).Before(t.Deadline) {
		return 0, ReasonDeadline, false
	}
	if !b.Withdraw() {
		return 0, ReasonRetryBudget, false
	}
	if t.NotRun {
		return delay, ReasonRetryNotRun, true
	}
	return delay, ReasonRetryIdempotent, true
}

// Backoff grows the delay between tries exponentially, with full jitter.
type Backoff struct {
	Base time.Duration
	Max  time.Duration
}

// Delay returns the delay after the given number of tries; random is from [0, 1).
func (b Backoff) Delay(tries int, random float64) time.Duration {
	limit := orDefault(b.Max, DefaultBackoffMax)
	delay := orDefault(b.Base, DefaultBackoffBase)
	for range tries - 1 {
		delay *= 2
		if delay >= limit {
			break
		}
	}
	return time.Duration(random * float64(min(delay, limit)))
}

// Budget bounds the retries of one service to a ratio of its first tries, so
// that retries never multiply the load when all servers fail. It is safe for
// concurrent use; the zero value uses DefaultRetryRatio.
type Budget struct {
	// Ratio is how many retries each first try allows for.
	Ratio float64

	mu    sync.Mutex
	saved float64
}

// Deposit notes a first try.
func (b *Budget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.saved = min(DefaultRetrySaved, b.saved+orDefault(b.Ratio, DefaultRetryRatio))
}

// Withdraw reports whether one retry is allowed, and counts it.
func (b *Budget) Withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	// Sums of a decimal ratio fall short of whole numbers by rounding.
	const rounding = 1e-9
	if b.saved < 1-rounding {
		return false
	}
	b.saved--
	return true
}
