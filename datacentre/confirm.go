package datacentre

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rattanthread/rattanthread/fleet"
)

// gossipFanout is the number of peers to which a confirmation is forwarded at a time.
const gossipFanout = 2

// Confirmation informs peers of the same data centre that a change by the operators
// would have reached a host there.
type Confirmation struct {
	// Age is the time since the host where the confirmation originated was confirmed.
	Age time.Duration `cbor:"age"`
}

// Kind implements fleet.Message.
func (*Confirmation) Kind() fleet.MessageKind { return "datacentre_confirmation" }

// Messages returns one zero value of every message of this package.
func Messages() []fleet.Message { return []fleet.Message{&Confirmation{}} }

// Permissions lists the kinds of work that a host may do for callers of the backend
// servers in its data centre.
type Permissions struct {
	EstablishedFlows      bool
	NewFlows              bool
	IdempotentRequests    bool
	NonIdempotentRequests bool // new idempotency keys
}

// Confirm records a response of the platform to this host, which counts as a
// confirmation.
func (t *Tracker) Confirm(now time.Time) { t.confirm(now) }

// ObserveMessage records a message from a host and the revision that it has in
// force. If the host is in another data centre and its revision is not behind, the
// message is a confirmation: while such messages arrive, whatever operators publish
// reaches this host too, if they can publish at all.
func (t *Tracker) ObserveMessage(now time.Time, from fleet.Host, revision fleet.Revision) {
	if from.DataCentre != t.Self.DataCentre && revision >= t.revision {
		t.confirm(now)
	}
}

func (t *Tracker) confirm(at time.Time) {
	if at.After(t.confirmed) {
		t.confirmed = at
	}
}

// Confirmed reports whether the last confirmation is recent enough to rule out that
// the data centre was taken out of service without this host learning of it. The
// only data centre needs no confirmation.
func (t *Tracker) Confirmed(now time.Time) bool {
	if len(t.dataCentres) <= 1 {
		return true
	}
	return now.Sub(t.confirmed) < t.Timing.withDefaults().ConfirmationTTL
}

// ConfirmedUntil returns when the last confirmation expires, or the zero time if
// none is needed.
func (t *Tracker) ConfirmedUntil() time.Time {
	if len(t.dataCentres) <= 1 {
		return time.Time{}
	}
	return t.confirmed.Add(t.Timing.withDefaults().ConfirmationTTL)
}

// Allowed returns the work that this host may do at now. A host without a recent
// confirmation that its data centre is in service continues to serve flows and
// idempotent requests, but refuses new idempotency keys: if the data centre has
// been taken out of service, callers may have been directed to send them elsewhere.
func (t *Tracker) Allowed(now time.Time) Permissions {
	switch t.Phase(now, t.Self.DataCentre) {
	case fleet.DataCentreOut:
		return Permissions{}
	case fleet.DataCentreLeaving:
		return Permissions{EstablishedFlows: true}
	}
	return Permissions{
		EstablishedFlows:      true,
		NewFlows:              true,
		IdempotentRequests:    true,
		NonIdempotentRequests: t.Confirmed(now),
	}
}

// Receive handles a confirmation that was forwarded by a peer of the same data
// centre. Messages from other data centres confirm through ObserveMessage only.
func (t *Tracker) Receive(now time.Time, _ fleet.HostID, m fleet.Message) []fleet.Send {
	if c, ok := m.(*Confirmation); ok && c.Age >= 0 {
		t.confirm(now.Add(-c.Age))
	}
	return nil
}

// Tick returns the confirmations to forward to peers of the same data centre. A
// confirmation keeps its age from host to host, so that hosts can't keep it from
// expiring by forwarding it among themselves.
func (t *Tracker) Tick(now time.Time, live []fleet.Host) []fleet.Send {
	timing := t.Timing.withDefaults()
	age := now.Sub(t.confirmed)
	if now.Before(t.nextGossip) || age >= timing.ConfirmationTTL {
		return nil
	}
	t.nextGossip = now.Add(timing.GossipInterval)
	if t.Random == nil {
		t.Random = rand.New(rand.NewPCG(3, xxhash.Sum64String(string(t.Self.ID))))
	}
	var local []fleet.HostID
	for _, h := range live {
		if h.DataCentre == t.Self.DataCentre && h.ID != t.Self.ID {
			local = append(local, h.ID)
		}
	}
	var sends []fleet.Send
	for range min(gossipFanout, len(local)) {
		i := t.Random.IntN(len(local))
		sends = append(sends, fleet.Send{To: local[i], Message: &Confirmation{Age: age}})
		local = append(local[:i:i], local[i+1:]...)
	}
	return sends
}
