package request

import (
	"time"

	"github.com/rattanthread/rattanthread/fleet"
)

// ClaimState is the progress of the request of one key.
type ClaimState uint8

// The states of a claim. Of two records with the same version, the one with the
// higher state takes precedence.
const (
	ClaimFree    ClaimState = iota // no attempt has run
	ClaimPending                   // granted to an attempt once the successor has a copy
	ClaimRunning                   // an attempt may be running
	ClaimDone                      // answered, or the outcome is unknown
)

// claim is the state of one key at its owner or successor.
type claim struct {
	key          Key
	service      fleet.ServiceName
	body         BodyHash
	state        ClaimState
	version      uint64
	attempt      AttemptID
	deadline     time.Time
	result       Result
	changedAt    time.Time // when this host recorded the state
	copiedAt     time.Time
	ackedVersion uint64 // version that the successor has
	waiting      []waiter
}

// waiter is an attempt that waits for the outcome of another one.
type waiter struct {
	attempt  AttemptID
	deadline time.Time
}

func (c *claim) record(now time.Time) ClaimRecord {
	return ClaimRecord{
		Key:      c.key.String(),
		Service:  c.service,
		Body:     c.body,
		State:    c.state,
		Version:  c.version,
		Attempt:  c.attempt,
		TimeLeft: c.deadline.Sub(now),
		Result:   c.result,
	}
}

// recordForSuccessor returns the record that the successor stores. A pending
// claim is copied as running, as it runs as soon as the copy is acknowledged.
func (c *claim) recordForSuccessor(now time.Time) ClaimRecord {
	r := c.record(now)
	if r.State == ClaimPending {
		r.State = ClaimRunning
	}
	return r
}

// mergeRecord applies a record of another host if it is newer. It reports whether
// this host now holds that record or a newer one.
func (k *KeyTracker) mergeRecord(now time.Time, record ClaimRecord) bool {
	key, err := ParseKey(record.Key)
	if err != nil || record.State > ClaimDone {
		return false
	}
	stored := k.claims[record.Key]
	if stored == nil {
		if len(k.claims) >= k.limits().MaxClaims {
			return false
		}
		stored = &claim{key: key}
		k.claims[record.Key] = stored
	} else if record.Version < stored.version || record.Version == stored.version && record.State <= stored.state {
		return true
	}
	if record.State == ClaimPending {
		record.State = ClaimRunning
	}
	stored.service, stored.body, stored.version, stored.attempt = record.Service, record.Body, record.Version, record.Attempt
	stored.deadline = now.Add(record.TimeLeft)
	k.setResult(stored, record.Result)
	k.setState(now, stored, record.State)
	return true
}

func (k *KeyTracker) setState(now time.Time, claim *claim, state ClaimState) {
	claim.state, claim.changedAt = state, now
	id := claim.key.String()
	if state == ClaimPending || state == ClaimRunning {
		k.active[id] = claim
		return
	}
	delete(k.active, id)
}

// setResult stores the result, without the body if it is too long or exceeds the
// total size of stored bodies.
func (k *KeyTracker) setResult(claim *claim, result Result) {
	k.replayBytes -= len(claim.result.Answer.Body)
	limits := k.limits()
	tooLong := len(result.Answer.Body) > limits.MaxReplayBodyBytes || k.replayBytes+len(result.Answer.Body) > limits.MaxReplayTotalBytes
	if tooLong {
		result.Answer.Body, result.Answer.BodyKept = nil, false
	}
	k.replayBytes += len(result.Answer.Body)
	claim.result = result
}

// sweep removes the claims whose keys have expired.
func (k *KeyTracker) sweep(now time.Time) {
	if now.Sub(k.lastSweep) < time.Second {
		return
	}
	k.lastSweep = now
	k.dropGaps(now)
	limits := k.limits()
	for id, claim := range k.claims {
		lifetime := k.limitsOf(claim.service).KeyLifetime
		expired := now.After(claim.key.Issued().Add(lifetime + limits.MaxSkew))
		if !expired || k.active[id] != nil && now.Before(claim.deadline.Add(limits.ResultGracePeriod)) {
			continue
		}
		k.setResult(claim, Result{})
		delete(k.claims, id)
		delete(k.active, id)
	}
}
