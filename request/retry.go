package request

import (
	"sync"
	"time"
)

// The reasons that Retries.Next returns, with ReasonDeadline.
const (
	ReasonRetryNotRun     Reason = "not_run"    // the failed attempt provably did not run
	ReasonRetryIdempotent Reason = "idempotent" // running the request twice is harmless
	ReasonNotRetryable    Reason = "not_retryable"
	ReasonRetryBudget     Reason = "retry_budget"
	ReasonRetryAttempts   Reason = "retry_tries"
)

// Failure describes a failed attempt to send a request to a server.
type Failure struct {
	Attempts   int  // attempts so far, including the failed one
	NotRun     bool // provably did not run: nothing was sent, or the server reported it
	Idempotent bool
	Deadline   time.Time
}

// Retries decides whether requests are retried at another server. The zero value
// uses the defaults.
type Retries struct {
	// MaxAttempts is the maximum number of attempts to send a request to a server.
	MaxAttempts int
	Backoff     Backoff
}

// The defaults of Retries and Backoff, and of Budget.
const (
	DefaultMaxAttempts     = 3
	DefaultBackoffBase     = 20 * time.Millisecond
	DefaultBackoffMax      = time.Second
	DefaultRetryRatio      = 0.1 // retries per first attempt
	DefaultMaxRetryBalance = 20  // maximum balance of a budget, in retries
)

// Next decides whether to retry, and after which delay. The random number is in
// [0, 1). The reason explains the decision.
func (r Retries) Next(now time.Time, failure Failure, budget *Budget, random float64) (delay time.Duration, reason Reason, retry bool) {
	switch {
	case !failure.NotRun && !failure.Idempotent:
		return 0, ReasonNotRetryable, false
	case failure.Attempts >= orDefault(r.MaxAttempts, DefaultMaxAttempts):
		return 0, ReasonRetryAttempts, false
	}
	delay = r.Backoff.Delay(failure.Attempts, random)
	if !now.Add(delay).Before(failure.Deadline) {
		return 0, ReasonDeadline, false
	}
	if !budget.Withdraw() {
		return 0, ReasonRetryBudget, false
	}
	if failure.NotRun {
		return delay, ReasonRetryNotRun, true
	}
	return delay, ReasonRetryIdempotent, true
}

// Backoff is an exponential backoff between attempts, with full jitter.
type Backoff struct {
	Base time.Duration
	Max  time.Duration
}

// Delay returns the delay after the given number of attempts; random is in [0, 1).
func (b Backoff) Delay(attempts int, random float64) time.Duration {
	limit := orDefault(b.Max, DefaultBackoffMax)
	delay := orDefault(b.Base, DefaultBackoffBase)
	for range attempts - 1 {
		delay *= 2
		if delay >= limit {
			break
		}
	}
	return time.Duration(random * float64(min(delay, limit)))
}

// Budget limits the retries of one service to a ratio of its first attempts, so
// that retries never multiply the load when all servers fail. It is safe for
// concurrent use. The zero value uses DefaultRetryRatio.
type Budget struct {
	// Ratio is the number of retries that each first attempt allows.
	Ratio float64

	mu      sync.Mutex
	balance float64
}

// Deposit records a first attempt.
func (b *Budget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balance = min(DefaultMaxRetryBalance, b.balance+orDefault(b.Ratio, DefaultRetryRatio))
}

// Withdraw reports whether a retry is allowed and, if so, deducts it.
func (b *Budget) Withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	// Rounding leaves sums of a decimal ratio slightly below whole numbers.
	const rounding = 1e-9
	if b.balance < 1-rounding {
		return false
	}
	b.balance--
	return true
}
