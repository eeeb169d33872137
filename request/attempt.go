package request

import (
	"slices"
	"time"
)

// repeatInterval is the time between two messages about the same attempt. For
// reports it doubles each time, up to maxRepeatInterval.
const (
	repeatInterval    = 200 * time.Millisecond
	maxRepeatInterval = 10 * time.Second
)

// attempt is one attempt of a request at the host that the caller reached.
type attempt struct {
	id      AttemptID
	claim   ClaimRequest
	state   attemptState
	started time.Time
	sentAt  time.Time
	waiting bool // the owner has told that another attempt runs
	ran     bool // there was a Run verdict
	result  Result
	pause   time.Duration // until the report is repeated
}

type attemptState uint8

const (
	attemptAsking attemptState = iota
	attemptRunning
	attemptReporting
)

// Claim asks whether a request may run. The verdict comes in the effects of
// this or of a later call, once for every attempt.
func (k *Keys) Claim(now time.Time, r ClaimRequest) (AttemptID, Effects) {
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
	return a.id, k.ask(now, a)
}

func (k *Keys) checkClaim(now time.Time, r ClaimRequest) (Verdict, bool) {
	switch {
	case k.started.IsZero() || k.stopped || k.self.Host == "":
		return Verdict{Decision: DecisionRefused, Reason: ReasonStopping, RetryAfter: time.Second}, false
	case !now.Before(r.Deadline):
		return Verdict{Decision: DecisionRefused, Reason: ReasonDeadline}, false
	case len(k.attempts) >= k.limits().Keys:
		return Verdict{Decision: DecisionRefused, Reason: ReasonKeysFull, RetryAfter: time.Second}, false
	}
	return r.Key.check(now, k.limitsOf(r.Service))
}

func (k *Keys) ask(now time.Time, a *attempt) Effects {
	owner := k.ownerOf(a.claim.Key)
	if owner == "" {
		return k.giveUp(now, a, ReasonHomeUnreachable)
	}
	a.sentAt = now
	return k.deliver(now, owner, &ClaimAsk{
		Attempt:  a.id,
		Key:      a.claim.Key.String(),
		Service:  a.claim.Service,
		Body:     a.claim.Body,
		TimeLeft: a.claim.Deadline.Sub(now),
	})
}

// claimAnswered hands the owner's verdict on. Only the first one counts, and a
// Run that comes too late is given back.
func (k *Keys) claimAnswered(now time.Time, m *ClaimAnswer) Effects {
	a := k.attempts[m.Attempt]
	if a == nil || a.state != attemptAsking {
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
		return k.giveUp(now, a, ReasonVerdictLate)
	}
	a.state, a.ran = attemptRunning, true
	return Effects{Verdicts: []Verdict{v}}
}

// Report tells how an attempt with a Run verdict ended. Refused lets another
// attempt run, so it must be true and final.
func (k *Keys) Report(now time.Time, id AttemptID, r Result) Effects {
	a := k.attempts[id]
	if a == nil || a.state == attemptAsking {
		return Effects{}
	}
	if a.state == attemptReporting && a.result.Outcome != Unknown {
		return Effects{}
	}
	return k.report(now, a, r)
}

// Cancel gives up an attempt that has no verdict yet, as its caller has left.
func (k *Keys) Cancel(now time.Time, id AttemptID) Effects {
	a := k.attempts[id]
	if a == nil || a.state != attemptAsking {
		return Effects{}
	}
	return k.report(now, a, Result{Outcome: Refused, Reason: ReasonCancelled})
}

func (k *Keys) report(now time.Time, a *attempt, r Result) Effects {
	a.state, a.result, a.pause = attemptReporting, r, repeatInterval
	limits := k.limits()
	if len(r.Answer.Body) > limits.KeptBody {
		a.result.Answer.Body, a.result.Answer.BodyKept = nil, false
	}
	return k.sendReport(now, a)
}

func (k *Keys) sendReport(now time.Time, a *attempt) Effects {
	a.sentAt = now
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

func (k *Keys) resultAcked(m *ResultAck) {
	if a := k.attempts[m.Attempt]; a != nil && a.state == attemptReporting {
		delete(k.attempts, m.Attempt)
	}
}

// giveUp ends an attempt that was not allowed to run, and tells the owner so.
func (k *Keys) giveUp(now time.Time, a *attempt, reason Reason) Effects {
	v := Verdict{Attempt: a.id, Decision: DecisionRefused, Reason: reason, RetryAfter: time.Second}
	if a.waiting {
		v.Decision, v.Reason = DecisionUnknown, ReasonInProgress
	}
	e := Effects{Verdicts: []Verdict{v}}
	e.merge(k.report(now, a, Result{Outcome: Refused, Reason: reason}))
	return e
}

// tickAttempts repeats what was not answered, and gives up in time.
func (k *Keys) tickAttempts(now time.Time) Effects {
	var e Effects
	for _, a := range k.sortedAttempts() {
		e.merge(k.tickAttempt(now, a))
	}
	return e
}

func (k *Keys) tickAttempt(now time.Time, a *attempt) Effects {
	limits := k.limits()
	overdue := now.After(a.claim.Deadline.Add(limits.RunGrace))
	switch a.state {
	case attemptAsking:
		if !now.Before(a.claim.Deadline) {
			return k.giveUp(now, a, ReasonDeadline)
		}
		if !a.waiting && now.Sub(a.started) >= limits.GiveUpAfter {
			return k.giveUp(now, a, ReasonOwnerUnreachable)
		}
		if now.Sub(a.sentAt) >= repeatInterval {
			return k.ask(now, a)
		}
	case attemptReporting:
		// Without a report the owner calls the outcome unknown when it is overdue.
		if overdue && (!a.ran || now.Sub(a.claim.Deadline) > k.limitsOf(a.claim.Service).KeyLifetime) {
			delete(k.attempts, a.id)
			return Effects{}
		}
		if now.Sub(a.sentAt) >= a.pause {
			a.pause = min(2*a.pause, maxRepeatInterval)
			return k.sendReport(now, a)
		}
	case attemptRunning:
		if overdue {
			return k.report(now, a, Result{Outcome: Unknown, Reason: ReasonOutcomeLost})
		}
	}
	return Effects{}
}

func (k *Keys) sortedAttempts() []*attempt {
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
