package datacentre

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rattanthread/rattanthread/fleet"
)

// chainFanout is how many peers a confirmation is passed to.
const chainFanout = 2

// Confirmation passes on, within a data centre, that somebody there would have
// heard of a command of the operators.
type Confirmation struct {
	// Age is the time since the first host of the chain was confirmed.
	Age time.Duration `cbor:"age"`
}

// Kind implements fleet.Message.
func (*Confirmation) Kind() fleet.MessageKind { return "datacentre_confirmation" }

// Messages returns one zero value of every message of this package.
func Messages() []fleet.Message { return []fleet.Message{&Confirmation{}} }

// Work tells what a host may do for callers of the backend servers in its own
// data centre.
type Work struct {
	EstablishedFlows      bool
	NewFlows              bool
	IdempotentRequests    bool
	NonIdempotentRequests bool // new idempotency keys
}

// Confirm records that the platform has answered this host.
func (t *Tracker) Confirm(now time.Time) { t.confirm(now) }

// Heard records a message from a host and the revision that it has in force. A
// host of another data centre that does not lag confirms: while it can be heard,
// what operators publish reaches this host too, if anybody can publish at all.
func (t *Tracker) Heard(now time.Time, from fleet.Host, revision fleet.Revision) {
	if from.DataCentre != t.Self.DataCentre && revision >= t.revision {
		t.confirm(now)
	}
}

func (t *Tracker) confirm(at time.Time) {
	if at.After(t.confirmed) {
		t.confirmed = at
	}
}

// Confirmed reports whether this host knows recently enough that it would have
// heard if its data centre had been taken out. The only data centre needs no
// confirmation.
func (t *Tracker) Confirmed(now time.Time) bool {
	if len(t.centres) <= 1 {
		return true
	}
	return now.Sub(t.confirmed) < t.Timing.withDefaults().Confirm
}

// ConfirmedUntil returns when the present confirmation ends, or the zero time
// if none is needed.
func (t *Tracker) ConfirmedUntil() time.Time {
	if len(t.centres) <= 1 {
		return time.Time{}
	}
	return t.confirmed.Add(t.Timing.withDefaults().Confirm)
}

// Allowed returns what this host may do for callers at now. A host that cannot
// confirm that its data centre is in goes on with flows and with requests that
// may run twice, and refuses new idempotency keys: if the data centre has been
// taken out, callers may have been told to send them elsewhere.
func (t *Tracker) Allowed(now time.Time) Work {
	switch t.Phase(now, t.Self.DataCentre) {
	case fleet.DataCentreOut:
		return Work{}
	case fleet.DataCentreLeaving:
		return Work{EstablishedFlows: true}
	}
	return Work{
		EstablishedFlows:      true,
		NewFlows:              true,
		IdempotentRequests:    true,
		NonIdempotentRequests: t.Confirmed(now),
	}
}

// Receive handles a confirmation that a peer passes on. Confirmations from other
// data centres count by Heard alone.
func (t *Tracker) Receive(now time.Time, _ fleet.HostID, m fleet.Message) []fleet.Send {
	if c, ok := m.(*Confirmation); ok && c.Age >= 0 {
		t.confirm(now.Add(-c.Age))
	}
	return nil
}

// Tick returns the confirmations to pass on to peers of the same data centre. A
// confirmation keeps its age from host to host, so that a chain of hosts cannot
// keep it alive among themselves.
func (t *Tracker) Tick(now time.Time, live []fleet.Host) []fleet.Send {
	timing := t.Timing.withDefaults()
	age := now.Sub(t.confirmed)
	if now.Before(t.nextChain) || age >= timing.Confirm {
		return nil
	}
	t.nextChain = now.Add(timing.Chain)
	if t.Random == nil {
		t.Random = rand.New(rand.NewPCG(3, xxhash.Sum64String(string(t.Self.ID))))
	}
	var near []fleet.HostID
	for _, h := range live {
		if h.DataCentre == t.Self.DataCentre && h.ID != t.Self.ID {
			near = append(near, h.ID)
		}
	}
	var sends []fleet.Send
	for range min(chainFanout, len(near)) {
		i := t.Random.IntN(len(near))
		sends = append(sends, fleet.Send{To: near[i], Message: &Confirmation{Age: age}})
		near = append(near[:i:i], near[i+1:]...)
	}
	return sends
}
