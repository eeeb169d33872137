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
func (k *KeyTracker) Claim(now time.Time, r ClaimRequest) (AttemptID, Effects) {
	k.lastAttempt++
	a := &attempt{
		id:      AttemptID{Host: k.self.Host, Incarnation: k.self.Incarnation, Number: k.lastAttempt},
		claim:   r,
		started: now,
	}
	if v, ok := k.checkClaim(now, r); !ok {
		v.Attempt = a.id
		return a.id, Effects{Verdicts: []Verdict{v}}
	}
	k.attempts[a.id] = a
	return a.id, k.sendClaimQuery(now, a)
}

func (k *KeyTracker) checkClaim(now time.Time, r ClaimRequest) (Verdict, bool) {
	switch {
	case k.started.IsZero() || k.stopped || k.self.Host == "":
		return Verdict{Decision: DecisionRefused, Reason: ReasonStopping, RetryAfter: time.Second}, false
	case !now.Before(r.Deadline):
		return Verdict{Decision: DecisionRefused, Reason: ReasonDeadline}, false
	case len(k.attempts) >= k.limits().MaxClaims:
		return Verdict{Decision: DecisionRefused, Reason: ReasonKeysFull, RetryAfter: time.Second}, false
	}
	return r.Key.check(now, k.limitsOf(r.Service))
}

func (k *KeyTracker) sendClaimQuery(now time.Time, a *attempt) Effects {
	owner := k.ownerOf(a.claim.Key)
	if owner == "" {
		return k.abandon(now, a, ReasonHomeUnreachable)
	}
	a.lastSent = now
	return k.deliver(now, owner, &ClaimQuery{
		Attempt:  a.id,
		Key:      a.claim.Key.String(),
		Service:  a.claim.Service,
		Body:     a.claim.Body,
		TimeLeft: a.claim.Deadline.Sub(now),
	})
}

// handleClaimResponse returns the owner's verdict. Only the first one counts. A
// DecisionRun that arrives too late is reported to the owner as refused.
func (k *KeyTracker) handleClaimResponse(now time.Time, m *ClaimResponse) Effects {
	a := k.attempts[m.Attempt]
	if a == nil || a.state != attemptClaiming {
		return Effects{}
	}
	if m.Waiting {
		a.waiting = true
		return Effects{}
	}
	v := Verdict{
		Attempt:    a.id,
		Decision:   m.Decision,
		Reason:     m.Reason,
		Earlier:    m.Earlier,
		Answer:     m.Answer,
		RetryAfter: m.RetryAfter,
	}
	if m.Decision != DecisionRun {
		delete(k.attempts, a.id)
		return Effects{Verdicts: []Verdict{v}}
	}
	v.ValidUntil = a.claim.Deadline
	if limit := a.started.Add(k.limits().RunValidity); limit.Before(v.ValidUntil) {
		v.ValidUntil = limit
	}
	if !now.Before(v.ValidUntil) {
		return k.abandon(now, a, ReasonVerdictLate)
	}
	a.state, a.runAllowed = attemptRunning, true
	return Effects{Verdicts: []Verdict{v}}
}

// Report records the result of an attempt that was allowed to run. Refused lets
// another attempt run, so it must be certain and final.
func (k *KeyTracker) Report(now time.Time, id AttemptID, r Result) Effects {
	a := k.attempts[id]
	if a == nil || a.state == attemptClaiming {
		return Effects{}
	}
	if a.state == attemptReporting && a.result.Outcome != Unknown {
		return Effects{}
	}
	return k.report(now, a, r)
}

// Cancel abandons an attempt that has no verdict yet, as its caller has
// disconnected.
func (k *KeyTracker) Cancel(now time.Time, id AttemptID) Effects {
	a := k.attempts[id]
	if a == nil || a.state != attemptClaiming {
		return Effects{}
	}
	return k.report(now, a, Result{Outcome: Refused, Reason: ReasonCancelled})
}

func (k *KeyTracker) report(now time.Time, a *attempt, r Result) Effects {
	a.state, a.result, a.reportInterval = attemptReporting, r, resendInterval
	limits := k.limits()
	if len(r.Answer.Body) > limits.MaxReplayBodyBytes {
		a.result.Answer.Body, a.result.Answer.BodyKept = nil, false
	}
	return k.sendReport(now, a)
}

func (k *KeyTracker) sendReport(now time.Time, a *attempt) Effects {
	a.lastSent = now
	owner := k.ownerOf(a.claim.Key)
	if owner == "" {
		return Effects{}
	}
	return k.deliver(now, owner, &ResultReport{
		Attempt: a.id,
		Key:     a.claim.Key.String(),
		Service: a.claim.Service,
		Body:    a.claim.Body,
		Result:  a.result,
	})
}

func (k *KeyTracker) handleResultAck(m *ResultAck) {
	if a := k.attempts[m.Attempt]; a != nil && a.state == attemptReporting {
		delete(k.attempts, m.Attempt)
	}
}

// abandon ends an attempt that was not allowed to run, and reports that to the
// owner.
func (k *KeyTracker) abandon(now time.Time, a *attempt, reason Reason) Effects {
	v := Verdict{Attempt: a.id, Decision: DecisionRefused, Reason: reason, RetryAfter: time.Second}
	if a.waiting {
		v.Decision, v.Reason = DecisionUnknown, ReasonInProgress
	}
	e := Effects{Verdicts: []Verdict{v}}
	e.merge(k.report(now, a, Result{Outcome: Refused, Reason: reason}))
	return e
}

// tickAttempts resends messages without a response, and ends attempts that have
// timed out.
func (k *KeyTracker) tickAttempts(now time.Time) Effects {
	var e Effects
	for _, a := range k.sortedAttempts() {
		e.merge(k.tickAttempt(now, a))
	}
	return e
}

func (k *KeyTracker) tickAttempt(now time.Time, a *attempt) Effects {
	limits := k.limits()
	overdue := now.After(a.claim.Deadline.Add(limits.ResultGracePeriod))
	switch a.state {
	case attemptClaiming:
		if !now.Before(a.claim.Deadline) {
			return k.abandon(now, a, ReasonDeadline)
		}
		if !a.waiting && now.Sub(a.started) >= limits.OwnerTimeout {
			return k.abandon(now, a, ReasonOwnerUnreachable)
		}
		if now.Sub(a.lastSent) >= resendInterval {
			return k.sendClaimQuery(now, a)
		}
	case attemptReporting:
		// Without a report, the owner sets the outcome to unknown when it is overdue.
		if overdue && (!a.runAllowed || now.Sub(a.claim.Deadline) > k.limitsOf(a.claim.Service).KeyLifetime) {
			delete(k.attempts, a.id)
			return Effects{}
		}
		if now.Sub(a.lastSent) >= a.reportInterval {
			a.reportInterval = min(2*a.reportInterval, maxResendInterval)
			return k.sendReport(now, a)
		}
	case attemptRunning:
		if overdue {
			return k.report(now, a, Result{Outcome: Unknown, Reason: ReasonOutcomeLost})
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
