package request

import (
	"slices"
	"time"

	"github.com/rattanthread/rattanthread/config"
	"github.com/rattanthread/rattanthread/fleet"
)

// View is a host's view of the fleet and of the data centres.
type View struct {
	Self       fleet.HostID
	DataCentre fleet.DataCentreID
	Hosts      []fleet.Host // live hosts of all data centres, including Self
	// Departed are hosts that the platform confirms to have stopped. They stop
	// counting towards the majority at once.
	Departed    []Member
	DataCentres []config.DataCentre
	// Lifetimes maps services to their key lifetimes. Services that are not in
	// the map have the lifetime of Limits.
	Lifetimes map[fleet.ServiceName]time.Duration
	// Confirmed reports whether this host has recent confirmation that its data
	// centre is in service. Without it, the host may not decide on any key.
	Confirmed bool
	// ConfirmedUntil is when the confirmation expires. The zero value means that
	// it does not expire.
	ConfirmedUntil time.Time
}

// KeyTracker tracks idempotency keys at one host: as the entry host of requests, and
// as the owner and the successor of keys. It is not safe for concurrent use. The
// zero value is ready for Install.
type KeyTracker struct {
	// Limits must not be changed after the first call.
	Limits Limits

	view    View
	self    Member
	started time.Time
	stopped bool

	ring    Ring
	ringID  RingID
	lease   lease
	history history

	claims      map[string]*claim
	active      map[string]*claim // pending, running, or copy not yet acknowledged
	replayBytes int
	lastSweep   time.Time

	attempts    map[AttemptID]*attempt
	lastAttempt uint64
}

// Install applies a change of the live hosts or of the configuration.
func (k *KeyTracker) Install(now time.Time, view View) Effects {
	if k.started.IsZero() {
		k.initialize(now)
	}
	k.checkLease(now)
	k.recordLifetimeGaps(now, view)
	k.view = view
	k.view.Hosts = slices.Clone(view.Hosts)
	ring := newRing(view.Hosts, view.DataCentre)
	k.self, _ = ring.member(view.Self)
	k.lease.refreshMembers(now, ring, view.Departed, k.limits())
	var effects Effects
	if id := ring.ID(); id != k.ringID {
		k.ring, k.ringID = ring, id
		k.lease.reset()
		k.history.startRing(ring, k.self)
		effects = k.recopy(now)
	}
	effects.merge(k.requestLease(now))
	effects.merge(k.requestHistory(now))
	return effects
}

// recordLifetimeGaps adds a gap for each service whose key lifetime grows: the
// longer lifetime makes keys valid again whose claims may have been dropped.
func (k *KeyTracker) recordLifetimeGaps(now time.Time, view View) {
	for service, lifetime := range view.Lifetimes {
		if old := k.view.Lifetimes[service]; old > 0 && lifetime > old {
			k.history.gaps = append(k.history.gaps, Gap{Before: now.Add(-old)})
		}
	}
}

func (k *KeyTracker) initialize(now time.Time) {
	k.started = now
	k.claims = make(map[string]*claim)
	k.active = make(map[string]*claim)
	k.attempts = make(map[AttemptID]*attempt)
	k.lease.initialize()
}

func (k *KeyTracker) limits() Limits {
	return k.Limits.withDefaults()
}

// limitsOf returns the limits with the key lifetime of the service.
func (k *KeyTracker) limitsOf(service fleet.ServiceName) Limits {
	limits := k.limits()
	if lifetime := k.view.Lifetimes[service]; lifetime > 0 {
		limits.KeyLifetime = lifetime
	}
	return limits
}

// longestLifetime returns the longest key lifetime of any service.
func (k *KeyTracker) longestLifetime() time.Duration {
	longest := k.limits().KeyLifetime
	for _, lifetime := range k.view.Lifetimes {
		longest = max(longest, lifetime)
	}
	return longest
}

// Receive handles a message from a peer.
func (k *KeyTracker) Receive(now time.Time, from fleet.HostID, message fleet.Message) Effects {
	if k.started.IsZero() {
		return Effects{}
	}
	k.checkLease(now)
	switch message := message.(type) {
	case *ClaimQuery:
		return k.handleClaimQuery(now, message)
	case *ClaimResponse:
		return k.handleClaimResponse(now, message)
	case *ClaimCopy:
		return k.handleClaimCopy(now, from, message)
	case *ClaimCopyAck:
		return k.handleClaimCopyAck(now, from, message)
	case *ResultReport:
		return k.handleResultReport(now, from, message)
	case *ResultAck:
		k.handleResultAck(message)
	case *LeaseRequest:
		return k.handleLeaseRequest(now, from, message)
	case *LeasePromise:
		return k.handleLeasePromise(now, from, message)
	case *HistoryRequest:
		return k.handleHistoryRequest(now, from, message)
	case *HistoryPart:
		return k.handleHistoryPart(now, from, message)
	case *MemberDeparted:
		k.lease.recordDeparture(now, message.Member)
	}
	return Effects{}
}

// Tick performs the work that is due at now. Call it every 100 to 200 ms.
func (k *KeyTracker) Tick(now time.Time) Effects {
	if k.started.IsZero() {
		return Effects{}
	}
	k.checkLease(now)
	k.lease.refreshMembers(now, k.ring, k.view.Departed, k.limits())
	e := k.requestLease(now)
	e.merge(k.requestHistory(now))
	k.settle(now)
	e.merge(k.tickClaims(now))
	e.merge(k.tickAttempts(now))
	return e
}

// Stop ends this host's ownership of keys and notifies its peers. Attempts that
// are running on this host may still be reported afterwards.
func (k *KeyTracker) Stop(now time.Time) Effects {
	var effects Effects
	for _, id := range sortedKeys(k.active) {
		if k.owns(id) {
			effects.merge(k.copyClaim(now, k.active[id]))
		}
	}
	k.stopped = true
	for _, m := range k.ring {
		if m != k.self {
			effects.send(m.Host, &MemberDeparted{Member: k.self})
		}
	}
	return effects
}

// Ready reports whether this host may decide on the keys that it owns.
func (k *KeyTracker) Ready(now time.Time) bool {
	return !k.stopped && k.confirmed(now) && k.history.settled && k.lease.heldAt(now)
}

func (k *KeyTracker) confirmed(now time.Time) bool {
	if !k.view.Confirmed {
		return false
	}
	return k.view.ConfirmedUntil.IsZero() || now.Before(k.view.ConfirmedUntil)
}

// owns reports whether this host is the owner of key in its own view.
func (k *KeyTracker) owns(key string) bool {
	owner, _ := k.ring.pair(key)
	return owner == k.self.Host
}

// homeOf returns the home of key in this host's view.
func (k *KeyTracker) homeOf(key Key) keyHome {
	return findHome(key, k.view.DataCentres, k.limits().HomeChangeMargin)
}

// ownerOf returns the host that owns key in its home data centre, or "" if there
// is none.
func (k *KeyTracker) ownerOf(key Key) fleet.HostID {
	dataCentre := k.homeOf(key).dataCentre
	if dataCentre == "" {
		return ""
	}
	owner, _ := newRing(k.view.Hosts, dataCentre).pair(key.String())
	return owner
}

func (e *Effects) send(to fleet.HostID, message fleet.Message) {
	e.Sends = append(e.Sends, fleet.Send{To: to, Message: message})
}

// deliver sends a message, or handles it at once if it is for this host.
func (k *KeyTracker) deliver(now time.Time, to fleet.HostID, message fleet.Message) Effects {
	if to == k.view.Self {
		return k.Receive(now, to, message)
	}
	return Effects{Sends: []fleet.Send{{To: to, Message: message}}}
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
