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
func (k *KeyTracker) handleClaimQuery(now time.Time, m *ClaimQuery) Effects {
	key, err := ParseKey(m.Key)
	if err != nil || !k.canDecide(now, key) {
		return Effects{}
	}
	if v, ok := key.check(now, k.limitsOf(m.Service)); !ok && k.claims[m.Key] == nil {
		return k.sendVerdict(now, m.Attempt, v)
	}
	c := k.claims[m.Key]
	if c == nil {
		return k.claimNewKey(now, key, m)
	}
	if c.service != m.Service || c.body != m.Body {
		v := Verdict{Decision: DecisionConflict, Reason: ReasonKeyReused}
		return k.sendVerdict(now, m.Attempt, v)
	}
	return k.claimExistingKey(now, c, m)
}

func (k *KeyTracker) canDecide(now time.Time, key Key) bool {
	if !k.Ready(now) || k.homeOf(key).dataCentre != k.view.DataCentre {
		return false
	}
	return k.owns(key.String())
}

func (k *KeyTracker) claimNewKey(now time.Time, key Key, m *ClaimQuery) Effects {
	switch {
	case k.history.mayHaveLost(key):
		return k.sendVerdict(now, m.Attempt, Verdict{Decision: DecisionUnknown, Reason: ReasonHistoryLost})
	case !k.homeOf(key).certain:
		return k.sendVerdict(now, m.Attempt, Verdict{Decision: DecisionUnknown, Reason: ReasonHomeMoved})
	case len(k.claims) >= k.limits().MaxClaims:
		v := Verdict{Decision: DecisionRefused, Reason: ReasonKeysFull, Earlier: EarlierNone, RetryAfter: time.Second}
		return k.sendVerdict(now, m.Attempt, v)
	}
	c := &claim{key: key, service: m.Service, body: m.Body}
	k.claims[m.Key] = c
	return k.grant(now, c, m.Attempt, now.Add(m.TimeLeft))
}

func (k *KeyTracker) claimExistingKey(now time.Time, c *claim, m *ClaimQuery) Effects {
	switch c.state {
	case ClaimFree:
		return k.grant(now, c, m.Attempt, now.Add(m.TimeLeft))
	case ClaimDone:
		return k.sendVerdict(now, m.Attempt, c.verdict())
	case ClaimRunning, ClaimPending:
	}
	if c.attempt == m.Attempt {
		if c.state == ClaimRunning {
			return k.sendVerdict(now, m.Attempt, Verdict{Decision: DecisionRun})
		}
		return Effects{}
	}
	return k.addWaiter(now, c, m)
}

func (k *KeyTracker) addWaiter(now time.Time, c *claim, m *ClaimQuery) Effects {
	waiting := slices.ContainsFunc(c.waiting, func(w waiter) bool { return w.attempt == m.Attempt })
	if !waiting {
		if len(c.waiting) >= maxWaiting {
			v := Verdict{Decision: DecisionUnknown, Reason: ReasonInProgress, RetryAfter: time.Second}
			return k.sendVerdict(now, m.Attempt, v)
		}
		c.waiting = append(c.waiting, waiter{attempt: m.Attempt, deadline: now.Add(m.TimeLeft)})
	}
	return k.deliver(now, m.Attempt.Host, &ClaimResponse{Attempt: m.Attempt, Waiting: true})
}

// grant assigns the claim to an attempt, which may run once the successor has
// acknowledged a copy.
func (k *KeyTracker) grant(now time.Time, c *claim, a AttemptID, deadline time.Time) Effects {
	c.attempt, c.deadline = a, deadline
	c.version++
	k.setResult(c, Result{})
	k.setState(now, c, ClaimPending)
	return k.copyClaim(now, c)
}

// copyClaim replicates the claim to the successor. A ring of one has none, and
// the claim is lost if this host fails.
func (k *KeyTracker) copyClaim(now time.Time, c *claim) Effects {
	_, successor := k.ring.pair(c.key.String())
	if successor == "" {
		return k.confirmCopy(now, c)
	}
	c.copiedAt = now
	return k.deliver(now, successor, &ClaimCopy{Ring: k.ringID, Claim: c.recordForSuccessor(now)})
}

// handleClaimCopy stores a copy for an owner with the same view. A host with a
// different view does not acknowledge it, so that an owner with an outdated view
// grants nothing.
func (k *KeyTracker) handleClaimCopy(now time.Time, from fleet.HostID, m *ClaimCopy) Effects {
	owner, successor := k.ring.pair(m.Claim.Key)
	if k.stopped || m.Ring != k.ringID || owner != from || successor != k.self.Host {
		return Effects{}
	}
	if !k.mergeRecord(now, m.Claim) {
		return Effects{}
	}
	ack := &ClaimCopyAck{Ring: m.Ring, Key: m.Claim.Key, Version: m.Claim.Version}
	return k.deliver(now, from, ack)
}

func (k *KeyTracker) handleClaimCopyAck(now time.Time, from fleet.HostID, m *ClaimCopyAck) Effects {
	c := k.claims[m.Key]
	_, successor := k.ring.pair(m.Key)
	if c == nil || m.Ring != k.ringID || from != successor || m.Version != c.version {
		return Effects{}
	}
	return k.confirmCopy(now, c)
}

func (k *KeyTracker) confirmCopy(now time.Time, c *claim) Effects {
	c.ackedVersion = c.version
	if c.state == ClaimFree || c.state == ClaimDone {
		delete(k.active, c.key.String())
		return Effects{}
	}
	if c.state != ClaimPending || !k.canDecide(now, c.key) {
		return Effects{}
	}
	k.setState(now, c, ClaimRunning)
	return k.sendVerdict(now, c.attempt, Verdict{Decision: DecisionRun})
}

// recopy replicates the active claims to their new successors.
func (k *KeyTracker) recopy(now time.Time) Effects {
	var e Effects
	for _, id := range sortedKeys(k.active) {
		c := k.active[id]
		c.ackedVersion = 0
		if k.owns(id) {
			e.merge(k.copyClaim(now, c))
		}
	}
	return e
}

// handleResultReport records the result of an attempt. A late report may still
// replace an unknown outcome.
func (k *KeyTracker) handleResultReport(now time.Time, from fleet.HostID, m *ResultReport) Effects {
	key, err := ParseKey(m.Key)
	if err != nil || !k.canDecide(now, key) {
		return Effects{}
	}
	e := k.deliver(now, from, &ResultAck{Attempt: m.Attempt})
	c := k.claims[m.Key]
	if c == nil {
		e.merge(k.restoreClaim(now, key, m))
		return e
	}
	if c.attempt != m.Attempt {
		c.waiting = slices.DeleteFunc(c.waiting, func(w waiter) bool { return w.attempt == m.Attempt })
		return e
	}
	if c.state == ClaimFree || c.state == ClaimDone && c.result.Outcome != Unknown {
		return e
	}
	e.merge(k.finish(now, c, m.Result))
	return e
}

// restoreClaim stores the result of an attempt whose claim was lost.
func (k *KeyTracker) restoreClaim(now time.Time, key Key, m *ResultReport) Effects {
	if m.Result.Outcome == Refused || len(k.claims) >= k.limits().MaxClaims {
		return Effects{}
	}
	c := &claim{key: key, service: m.Service, body: m.Body, attempt: m.Attempt, deadline: now}
	k.claims[m.Key] = c
	return k.finish(now, c, m.Result)
}

func (k *KeyTracker) finish(now time.Time, c *claim, r Result) Effects {
	c.version++
	waiting := c.waiting
	c.waiting = nil
	if r.Outcome == Refused {
		k.setState(now, c, ClaimFree)
		return k.grantNext(now, c, waiting)
	}
	k.setResult(c, r)
	k.setState(now, c, ClaimDone)
	e := k.copyUntilAcked(now, c)
	for _, w := range waiting {
		e.merge(k.sendVerdict(now, w.attempt, c.verdict()))
	}
	return e
}

// grantNext grants the claim to the first waiting attempt whose deadline has not
// passed.
func (k *KeyTracker) grantNext(now time.Time, c *claim, waiting []waiter) Effects {
	for i, w := range waiting {
		if now.Before(w.deadline) {
			c.waiting = waiting[i+1:]
			return k.grant(now, c, w.attempt, w.deadline)
		}
	}
	return k.copyUntilAcked(now, c)
}

// copyUntilAcked copies a claim and keeps it active until the copy is
// acknowledged.
func (k *KeyTracker) copyUntilAcked(now time.Time, c *claim) Effects {
	k.active[c.key.String()] = c
	return k.copyClaim(now, c)
}

// verdict returns the verdict on a later attempt after a claim has ended.
func (c *claim) verdict() Verdict {
	if c.result.Outcome == Answered {
		return Verdict{Decision: DecisionReplay, Answer: c.result.Answer}
	}
	return Verdict{Decision: DecisionUnknown, Reason: c.result.Reason}
}

func (k *KeyTracker) sendVerdict(now time.Time, a AttemptID, v Verdict) Effects {
	return k.deliver(now, a.Host, &ClaimResponse{
		Attempt:    a,
		Decision:   v.Decision,
		Reason:     v.Reason,
		Earlier:    v.Earlier,
		Answer:     v.Answer,
		RetryAfter: v.RetryAfter,
	})
}

// tickClaims resends copies that were not acknowledged, and ends attempts whose
// outcome is lost.
func (k *KeyTracker) tickClaims(now time.Time) Effects {
	var e Effects
	for _, id := range sortedKeys(k.active) {
		c := k.active[id]
		if !k.canDecide(now, c.key) {
			continue
		}
		if c.state == ClaimRunning && k.outcomeLost(now, c) {
			e.merge(k.finish(now, c, Result{Outcome: Unknown, Reason: ReasonOutcomeLost}))
			continue
		}
		if c.ackedVersion != c.version && now.Sub(c.copiedAt) >= copyInterval {
			e.merge(k.copyClaim(now, c))
		}
	}
	k.sweep(now)
	return e
}

// outcomeLost reports whether the host that ran the attempt is no longer live, or
// its report is overdue.
func (k *KeyTracker) outcomeLost(now time.Time, c *claim) bool {
	if now.After(c.deadline.Add(k.limits().ResultGracePeriod)) {
		return true
	}
	for _, h := range k.view.Hosts {
		if h.ID == c.attempt.Host {
			return h.Incarnation != c.attempt.Incarnation
		}
	}
	return true
}
