package request

import (
	"slices"
	"time"
)

// The interval between two messages about the same attempt. For reports it
// doubles each time, up to maxResendInterval.
const (
	resendInterval    = 200 * time.Millisecond
	maxResendInterval = 10 * time.Second
)

// attempt is one attempt of a request at its entry host.
type attempt struct {
	id             AttemptID
	claim          ClaimRequest
	state          attemptState
	started        time.Time
	lastSent       time.Time
	waiting        bool // the owner has reported that another attempt is running
	runAllowed     bool // there was a DecisionRun verdict
	result         Result
	reportInterval time.Duration // until the report is resent
}

type attemptState uint8

const (
	attemptClaiming attemptState = iota
	attemptRunning
	attemptReporting
)

// Claim asks whether a request may run. The effects of this call or of a later
// one contain the verdict, once for each attempt.
func (k *KeyTracker) Claim(now time.Time, request ClaimRequest) (AttemptID, Effects) {
	k.lastAttempt++
	attempt := &attempt{
		id:      AttemptID{Host: k.self.Host, Incarnation: k.self.Incarnation, Number: k.lastAttempt},
		claim:   request,
		started: now,
	}
	if verdict, ok := k.checkClaim(now, request); !ok {
		verdict.Attempt = attempt.id
		return attempt.id, Effects{Verdicts: []Verdict{verdict}}
	}
	k.attempts[attempt.id] = attempt
	return attempt.id, k.sendClaimQuery(now, attempt)
}

func (k *KeyTracker) checkClaim(now time.Time, request ClaimRequest) (Verdict, bool) {
	switch {
	case k.started.IsZero() || k.stopped || k.self.Host == "":
		return Verdict{Decision: DecisionRefused, Reason: ReasonStopping, RetryAfter: time.Second}, false
	case !now.Before(request.Deadline):
		return Verdict{Decision: DecisionRefused, Reason: ReasonDeadline}, false
	case len(k.attempts) >= k.limits().MaxClaims:
		return Verdict{Decision: DecisionRefused, Reason: ReasonKeysFull, RetryAfter: time.Second}, false
	}
	return request.Key.check(now, k.limitsOf(request.Service))
}

func (k *KeyTracker) sendClaimQuery(now time.Time, attempt *attempt) Effects {
	owner := k.ownerOf(attempt.claim.Key)
	if owner == "" {
		return k.abandon(now, attempt, ReasonHomeUnreachable)
	}
	attempt.lastSent = now
	return k.deliver(now, owner, &ClaimQuery{
		Attempt:  attempt.id,
		Key:      attempt.claim.Key.String(),
		Service:  attempt.claim.Service,
		Body:     attempt.claim.Body,
		TimeLeft: attempt.claim.Deadline.Sub(now),
	})
}

// handleClaimResponse returns the owner's verdict. Only the first one counts. A
// DecisionRun that arrives too late is reported to the owner as refused.
func (k *KeyTracker) handleClaimResponse(now time.Time, response *ClaimResponse) Effects {
	attempt := k.attempts[response.Attempt]
	if attempt == nil || attempt.state != attemptClaiming {
		return Effects{}
	}
	if response.Waiting {
		attempt.waiting = true
		return Effects{}
	}
	verdict := Verdict{
		Attempt:    attempt.id,
		Decision:   response.Decision,
		Reason:     response.Reason,
		Earlier:    response.Earlier,
		Answer:     response.Answer,
		RetryAfter: response.RetryAfter,
	}
	if response.Decision != DecisionRun {
		delete(k.attempts, attempt.id)
		return Effects{Verdicts: []Verdict{verdict}}
	}
	verdict.ValidUntil = attempt.claim.Deadline
	if limit := attempt.started.Add(k.limits().RunValidity); limit.Before(verdict.ValidUntil) {
		verdict.ValidUntil = limit
	}
	if !now.Before(verdict.ValidUntil) {
		return k.abandon(now, attempt, ReasonVerdictLate)
	}
	attempt.state, attempt.runAllowed = attemptRunning, true
	return Effects{Verdicts: []Verdict{verdict}}
}

// Report records the result of an attempt that was allowed to run. Refused lets
// another attempt run, so it must be certain and final.
func (k *KeyTracker) Report(now time.Time, id AttemptID, result Result) Effects {
	attempt := k.attempts[id]
	if attempt == nil || attempt.state == attemptClaiming {
		return Effects{}
	}
	if attempt.state == attemptReporting && attempt.result.Outcome != Unknown {
		return Effects{}
	}
	return k.report(now, attempt, result)
}

// Cancel abandons an attempt that has no verdict yet, as its caller has
// disconnected.
func (k *KeyTracker) Cancel(now time.Time, id AttemptID) Effects {
	attempt := k.attempts[id]
	if attempt == nil || attempt.state != attemptClaiming {
		return Effects{}
	}
	return k.report(now, attempt, Result{Outcome: Refused, Reason: ReasonCancelled})
}

func (k *KeyTracker) report(now time.Time, attempt *attempt, result Result) Effects {
	attempt.state, attempt.result, attempt.reportInterval = attemptReporting, result, resendInterval
	limits := k.limits()
	if len(result.Answer.Body) > limits.MaxReplayBodyBytes {
		attempt.result.Answer.Body, attempt.result.Answer.BodyKept = nil, false
	}
	return k.sendReport(now, attempt)
}

func (k *KeyTracker) sendReport(now time.Time, attempt *attempt) Effects {
	attempt.lastSent = now
	owner := k.ownerOf(attempt.claim.Key)
	if owner == "" {
		return Effects{}
	}
	return k.deliver(now, owner, &ResultReport{
		Attempt: attempt.id,
		Key:     attempt.claim.Key.String(),
		Service: attempt.claim.Service,
		Body:    attempt.claim.Body,
		Result:  attempt.result,
	})
}

func (k *KeyTracker) handleResultAck(ack *ResultAck) {
	if attempt := k.attempts[ack.Attempt]; attempt != nil && attempt.state == attemptReporting {
		delete(k.attempts, ack.Attempt)
	}
}

// abandon ends an attempt that was not allowed to run, and reports that to the
// owner.
func (k *KeyTracker) abandon(now time.Time, attempt *attempt, reason Reason) Effects {
	verdict := Verdict{Attempt: attempt.id, Decision: DecisionRefused, Reason: reason, RetryAfter: time.Second}
	if attempt.waiting {
		verdict.Decision, verdict.Reason = DecisionUnknown, ReasonInProgress
	}
	effects := Effects{Verdicts: []Verdict{verdict}}
	effects.merge(k.report(now, attempt, Result{Outcome: Refused, Reason: reason}))
	return effects
}

// tickAttempts resends messages without a response, and ends attempts that have
// timed out.
func (k *KeyTracker) tickAttempts(now time.Time) Effects {
	var effects Effects
	for _, attempt := range k.sortedAttempts() {
		effects.merge(k.tickAttempt(now, attempt))
	}
	return effects
}

func (k *KeyTracker) tickAttempt(now time.Time, attempt *attempt) Effects {
	limits := k.limits()
	overdue := now.After(attempt.claim.Deadline.Add(limits.ResultGracePeriod))
	switch attempt.state {
	case attemptClaiming:
		if !now.Before(attempt.claim.Deadline) {
			return k.abandon(now, attempt, ReasonDeadline)
		}
		if !attempt.waiting && now.Sub(attempt.started) >= limits.OwnerTimeout {
			return k.abandon(now, attempt, ReasonOwnerUnreachable)
		}
		if now.Sub(attempt.lastSent) >= resendInterval {
			return k.sendClaimQuery(now, attempt)
		}
	case attemptReporting:
		// Without a report, the owner sets the outcome to unknown when it is overdue.
		if overdue && (!attempt.runAllowed || now.Sub(attempt.claim.Deadline) > k.limitsOf(attempt.claim.Service).KeyLifetime) {
			delete(k.attempts, attempt.id)
			return Effects{}
		}
		if now.Sub(attempt.lastSent) >= attempt.reportInterval {
			attempt.reportInterval = min(2*attempt.reportInterval, maxResendInterval)
			return k.sendReport(now, attempt)
		}
	case attemptRunning:
		if overdue {
			return k.report(now, attempt, Result{Outcome: Unknown, Reason: ReasonOutcomeLost})
		}
	}
	return Effects{}
}

func (k *KeyTracker) sortedAttempts() []*attempt {
	all := make([]*attempt, 0, len(k.attempts))
	for _, a := range k.attempts {
		all = append(all, a)
	}
	slices.SortFunc(all, func(a, b *attempt) int {
		if a.id.Number < b.id.Number {
			return -1
		}
		return 1
	})
	return all
}
