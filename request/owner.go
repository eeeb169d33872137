package request

import (
	"slices"
	"time"

	"github.com/rattanthread/rattanthread/fleet"
)

// copyInterval is the time between two copies of a claim that is not yet
// acknowledged.
const copyInterval = 150 * time.Millisecond

// maxWaiting is the maximum number of attempts that wait for the outcome of one
// key.
const maxWaiting = 16

// handleClaimQuery decides on an attempt if this host is the owner and may act.
// Otherwise it does not respond: the sender retries, or finds the owner in a
// newer view.
func (k *KeyTracker) handleClaimQuery(now time.Time, query *ClaimQuery) Effects {
	key, err := ParseKey(query.Key)
	if err != nil || !k.canDecide(now, key) {
		return Effects{}
	}
	if verdict, ok := key.check(now, k.limitsOf(query.Service)); !ok && k.claims[query.Key] == nil {
		return k.sendVerdict(now, query.Attempt, verdict)
	}
	claim := k.claims[query.Key]
	if claim == nil {
		return k.claimNewKey(now, key, query)
	}
	if claim.service != query.Service || claim.body != query.Body {
		verdict := Verdict{Decision: DecisionConflict, Reason: ReasonKeyReused}
		return k.sendVerdict(now, query.Attempt, verdict)
	}
	return k.claimExistingKey(now, claim, query)
}

func (k *KeyTracker) canDecide(now time.Time, key Key) bool {
	if !k.Ready(now) || k.homeOf(key).dataCentre != k.view.DataCentre {
		return false
	}
	return k.owns(key.String())
}

func (k *KeyTracker) claimNewKey(now time.Time, key Key, query *ClaimQuery) Effects {
	switch {
	case k.history.mayHaveLost(key):
		return k.sendVerdict(now, query.Attempt, Verdict{Decision: DecisionUnknown, Reason: ReasonHistoryLost})
	case !k.homeOf(key).certain:
		return k.sendVerdict(now, query.Attempt, Verdict{Decision: DecisionUnknown, Reason: ReasonHomeMoved})
	case len(k.claims) >= k.limits().MaxClaims:
		verdict := Verdict{Decision: DecisionRefused, Reason: ReasonKeysFull, Earlier: EarlierNone, RetryAfter: time.Second}
		return k.sendVerdict(now, query.Attempt, verdict)
	}
	claim := &claim{key: key, service: query.Service, body: query.Body}
	k.claims[query.Key] = claim
	return k.grant(now, claim, query.Attempt, now.Add(query.TimeLeft))
}

func (k *KeyTracker) claimExistingKey(now time.Time, claim *claim, query *ClaimQuery) Effects {
	switch claim.state {
	case ClaimFree:
		return k.grant(now, claim, query.Attempt, now.Add(query.TimeLeft))
	case ClaimDone:
		return k.sendVerdict(now, query.Attempt, claim.verdict())
	case ClaimRunning, ClaimPending:
	}
	if claim.attempt == query.Attempt {
		if claim.state == ClaimRunning {
			return k.sendVerdict(now, query.Attempt, Verdict{Decision: DecisionRun})
		}
		return Effects{}
	}
	return k.addWaiter(now, claim, query)
}

func (k *KeyTracker) addWaiter(now time.Time, claim *claim, query *ClaimQuery) Effects {
	waiting := slices.ContainsFunc(claim.waiting, func(w waiter) bool { return w.attempt == query.Attempt })
	if !waiting {
		if len(claim.waiting) >= maxWaiting {
			verdict := Verdict{Decision: DecisionUnknown, Reason: ReasonInProgress, RetryAfter: time.Second}
			return k.sendVerdict(now, query.Attempt, verdict)
		}
		claim.waiting = append(claim.waiting, waiter{attempt: query.Attempt, deadline: now.Add(query.TimeLeft)})
	}
	return k.deliver(now, query.Attempt.Host, &ClaimResponse{Attempt: query.Attempt, Waiting: true})
}

// grant assigns the claim to an attempt, which may run once the successor has
// acknowledged a copy.
func (k *KeyTracker) grant(now time.Time, claim *claim, attempt AttemptID, deadline time.Time) Effects {
	claim.attempt, claim.deadline = attempt, deadline
	claim.version++
	k.setResult(claim, Result{})
	k.setState(now, claim, ClaimPending)
	return k.copyClaim(now, claim)
}

// copyClaim replicates the claim to the successor. A ring of one has none, and
// the claim is lost if this host fails.
func (k *KeyTracker) copyClaim(now time.Time, claim *claim) Effects {
	_, successor := k.ring.pair(claim.key.String())
	if successor == "" {
		return k.confirmCopy(now, claim)
	}
	claim.copiedAt = now
	return k.deliver(now, successor, &ClaimCopy{Ring: k.ringID, Claim: claim.recordForSuccessor(now)})
}

// handleClaimCopy stores a copy for an owner with the same view. A host with a
// different view does not acknowledge it, so that an owner with an outdated view
// grants nothing.
func (k *KeyTracker) handleClaimCopy(now time.Time, from fleet.HostID, claimCopy *ClaimCopy) Effects {
	owner, successor := k.ring.pair(claimCopy.Claim.Key)
	if k.stopped || claimCopy.Ring != k.ringID || owner != from || successor != k.self.Host {
		return Effects{}
	}
	if !k.mergeRecord(now, claimCopy.Claim) {
		return Effects{}
	}
	ack := &ClaimCopyAck{Ring: claimCopy.Ring, Key: claimCopy.Claim.Key, Version: claimCopy.Claim.Version}
	return k.deliver(now, from, ack)
}

func (k *KeyTracker) handleClaimCopyAck(now time.Time, from fleet.HostID, ack *ClaimCopyAck) Effects {
	claim := k.claims[ack.Key]
	_, successor := k.ring.pair(ack.Key)
	if claim == nil || ack.Ring != k.ringID || from != successor || ack.Version != claim.version {
		return Effects{}
	}
	return k.confirmCopy(now, claim)
}

func (k *KeyTracker) confirmCopy(now time.Time, claim *claim) Effects {
	claim.ackedVersion = claim.version
	if claim.state == ClaimFree || claim.state == ClaimDone {
		delete(k.active, claim.key.String())
		return Effects{}
	}
	if claim.state != ClaimPending || !k.canDecide(now, claim.key) {
		return Effects{}
	}
	k.setState(now, claim, ClaimRunning)
	return k.sendVerdict(now, claim.attempt, Verdict{Decision: DecisionRun})
}

// recopy replicates the active claims to their new successors.
func (k *KeyTracker) recopy(now time.Time) Effects {
	var effects Effects
	for _, id := range sortedKeys(k.active) {
		claim := k.active[id]
		claim.ackedVersion = 0
		if k.owns(id) {
			effects.merge(k.copyClaim(now, claim))
		}
	}
	return effects
}

// handleResultReport records the result of an attempt. A late report may still
// replace an unknown outcome.
func (k *KeyTracker) handleResultReport(now time.Time, from fleet.HostID, report *ResultReport) Effects {
	key, err := ParseKey(report.Key)
	if err != nil || !k.canDecide(now, key) {
		return Effects{}
	}
	effects := k.deliver(now, from, &ResultAck{Attempt: report.Attempt})
	claim := k.claims[report.Key]
	if claim == nil {
		effects.merge(k.restoreClaim(now, key, report))
		return effects
	}
	if claim.attempt != report.Attempt {
		claim.waiting = slices.DeleteFunc(claim.waiting, func(w waiter) bool { return w.attempt == report.Attempt })
		return effects
	}
	if claim.state == ClaimFree || claim.state == ClaimDone && claim.result.Outcome != Unknown {
		return effects
	}
	effects.merge(k.finish(now, claim, report.Result))
	return effects
}

// restoreClaim stores the result of an attempt whose claim was lost.
func (k *KeyTracker) restoreClaim(now time.Time, key Key, report *ResultReport) Effects {
	if report.Result.Outcome == Refused || len(k.claims) >= k.limits().MaxClaims {
		return Effects{}
	}
	claim := &claim{key: key, service: report.Service, body: report.Body, attempt: report.Attempt, deadline: now}
	k.claims[report.Key] = claim
	return k.finish(now, claim, report.Result)
}

func (k *KeyTracker) finish(now time.Time, claim *claim, result Result) Effects {
	claim.version++
	waiting := claim.waiting
	claim.waiting = nil
	if result.Outcome == Refused {
		k.setState(now, claim, ClaimFree)
		return k.grantNext(now, claim, waiting)
	}
	k.setResult(claim, result)
	k.setState(now, claim, ClaimDone)
	effects := k.copyUntilAcked(now, claim)
	for _, w := range waiting {
		effects.merge(k.sendVerdict(now, w.attempt, claim.verdict()))
	}
	return effects
}

// grantNext grants the claim to the first waiting attempt whose deadline has not
// passed.
func (k *KeyTracker) grantNext(now time.Time, claim *claim, waiting []waiter) Effects {
	for i, w := range waiting {
		if now.Before(w.deadline) {
			claim.waiting = waiting[i+1:]
			return k.grant(now, claim, w.attempt, w.deadline)
		}
	}
	return k.copyUntilAcked(now, claim)
}

// copyUntilAcked copies a claim and keeps it active until the copy is
// acknowledged.
func (k *KeyTracker) copyUntilAcked(now time.Time, claim *claim) Effects {
	k.active[claim.key.String()] = claim
	return k.copyClaim(now, claim)
}

// verdict returns the verdict on a later attempt after a claim has ended.
func (c *claim) verdict() Verdict {
	if c.result.Outcome == Answered {
		return Verdict{Decision: DecisionReplay, Answer: c.result.Answer}
	}
	return Verdict{Decision: DecisionUnknown, Reason: c.result.Reason}
}

func (k *KeyTracker) sendVerdict(now time.Time, attempt AttemptID, verdict Verdict) Effects {
	return k.deliver(now, attempt.Host, &ClaimResponse{
		Attempt:    attempt,
		Decision:   verdict.Decision,
		Reason:     verdict.Reason,
		Earlier:    verdict.Earlier,
		Answer:     verdict.Answer,
		RetryAfter: verdict.RetryAfter,
	})
}

// tickClaims resends copies that were not acknowledged, and ends attempts whose
// outcome is lost.
func (k *KeyTracker) tickClaims(now time.Time) Effects {
	var effects Effects
	for _, id := range sortedKeys(k.active) {
		claim := k.active[id]
		if !k.canDecide(now, claim.key) {
			continue
		}
		if claim.state == ClaimRunning && k.outcomeLost(now, claim) {
			effects.merge(k.finish(now, claim, Result{Outcome: Unknown, Reason: ReasonOutcomeLost}))
			continue
		}
		if claim.ackedVersion != claim.version && now.Sub(claim.copiedAt) >= copyInterval {
			effects.merge(k.copyClaim(now, claim))
		}
	}
	k.sweep(now)
	return effects
}

// outcomeLost reports whether the host that ran the attempt is no longer live, or
// its report is overdue.
func (k *KeyTracker) outcomeLost(now time.Time, claim *claim) bool {
	if now.After(claim.deadline.Add(k.limits().ResultGracePeriod)) {
		return true
	}
	for _, h := range k.view.Hosts {
		if h.ID == claim.attempt.Host {
			return h.Incarnation != claim.attempt.Incarnation
		}
	}
	return true
}
