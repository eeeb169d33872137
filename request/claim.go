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
func (k *KeyTracker) mergeRecord(now time.Time, r ClaimRecord) bool {
	key, err := ParseKey(r.Key)
	if err != nil || r.State > ClaimDone {
		return false
	}
	c := k.claims[r.Key]
	if c == nil {
		if len(k.claims) >= k.limits().MaxClaims {
			return false
		}
		c = &claim{key: key}
		k.claims[r.Key] = c
	} else if r.Version < c.version || r.Version == c.version && r.State <= c.state {
		return true
	}
	if r.State == ClaimPending {
		r.State = ClaimRunning
	}
	c.service, c.body, c.version, c.attempt = r.Service, r.Body, r.Version, r.Attempt
	c.deadline = now.Add(r.TimeLeft)
	k.setResult(c, r.Result)
	k.setState(now, c, r.State)
	return true
}

func (k *KeyTracker) setState(now time.Time, c *claim, s ClaimState) {
	c.state, c.changedAt = s, now
	id := c.key.String()
	if s == ClaimPending || s == ClaimRunning {
		k.active[id] = c
		return
	}
	delete(k.active, id)
}

// setResult stores the result, without the body if it is too long or exceeds the
// total size of stored bodies.
func (k *KeyTracker) setResult(c *claim, r Result) {
	k.replayBytes -= len(c.result.Answer.Body)
	limits := k.limits()
	tooLong := len(r.Answer.Body) > limits.MaxReplayBodyBytes || k.replayBytes+len(r.Answer.Body) > limits.MaxReplayTotalBytes
	if tooLong {
		r.Answer.Body, r.Answer.BodyKept = nil, false
	}
	k.replayBytes += len(r.Answer.Body)
	c.result = r
}

// sweep removes the claims whose keys have expired.
func (k *KeyTracker) sweep(now time.Time) {
	if now.Sub(k.lastSweep) < time.Second {
		return
	}
	k.lastSweep = now
	k.dropGaps(now)
	limits := k.limits()
	for id, c := range k.claims {
		lifetime := k.limitsOf(c.service).KeyLifetime
		expired := now.After(c.key.Issued().Add(lifetime + limits.MaxSkew))
		if !expired || k.active[id] != nil && now.Before(c.deadline.Add(limits.ResultGracePeriod)) {
			continue
		}
		k.setResult(c, Result{})
		delete(k.claims, id)
		delete(k.active, id)
	}
}
