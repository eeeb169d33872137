package request

import (
	"slices"
	"time"

	"github.com/rattanthread/rattanthread/config"
	"github.com/rattanthread/rattanthread/fleet"
)

// View is what a host knows of the fleet and of the data centres.
type View struct {
	Self       fleet.HostID
	DataCentre fleet.DataCentreID
	Hosts      []fleet.Host // live, of all data centres, with Self
	// Gone are hosts that the platform confirms not to run any more. They stop
	// counting towards the majority at once.
	Gone    []Member
	Centres []config.DataCentre
	// Lifetimes are the key lifetimes of services. Others have that of Limits.
	Lifetimes map[fleet.ServiceName]time.Duration
	// Confirmed tells that this host has lately learnt that its data centre is
	// in. Without it the host owns no key.
	Confirmed bool
	// ConfirmedUntil ends the confirmation, if not zero.
	ConfirmedUntil time.Time
}

// Keys is the state of idempotency keys at one host: as entry of requests, as
// owner and as successor. It belongs to the control goroutine. The zero value
// is ready for Install.
type Keys struct {
	// Limits must be set before the first call, if at all.
	Limits Limits

	view    View
	self    Member
	started time.Time
	stopped bool

	ring    Ring
	ringID  RingID
	lease   lease
	history history

	claims    map[string]*claim
	active    map[string]*claim // pending, running, or not yet copied
	keptBytes int
	lastSweep time.Time

	attempts    map[AttemptID]*attempt
	lastAttempt uint64
}

// Install takes over a change of the live hosts or of the configuration.
func (k *Keys) Install(now time.Time, v View) Effects {
	if k.started.IsZero() {
		k.start(now)
	}
	k.checkLease(now)
	k.noteLifetimes(now, v)
	k.view = v
	k.view.Hosts = slices.Clone(v.Hosts)
	ring := newRing(v.Hosts, v.DataCentre)
	k.self, _ = ring.member(v.Self)
	k.lease.note(now, ring, v.Gone, k.limits())
	var e Effects
	if id := ring.ID(); id != k.ringID {
		k.ring, k.ringID = ring, id
		k.lease.reset()
		k.history.begin(ring, k.self)
		e = k.recopy(now)
	}
	e.merge(k.askLease(now))
	e.merge(k.askHistory(now))
	return e
}

// noteLifetimes notes that claims may have been forgotten whose keys a longer
// lifetime makes valid again.
func (k *Keys) noteLifetimes(now time.Time, v View) {
	for service, lifetime := range v.Lifetimes {
		if old := k.view.Lifetimes[service]; old > 0 && lifetime > old {
			k.history.gaps = append(k.history.gaps, Gap{Before: now.Add(-old)})
		}
	}
}

func (k *Keys) start(now time.Time) {
	k.started = now
	k.claims = make(map[string]*claim)
	k.active = make(map[string]*claim)
	k.attempts = make(map[AttemptID]*attempt)
	k.lease.start()
}

func (k *Keys) limits() Limits {
	return k.Limits.withDefaults()
}

// limitsOf returns the limits with the key lifetime of a service.
func (k *Keys) limitsOf(service fleet.ServiceName) Limits {
	limits := k.limits()
	if lifetime := k.view.Lifetimes[service]; lifetime > 0 {
		limits.KeyLifetime = lifetime
	}
	return limits
}

// longestLifetime returns the longest key lifetime of any service.
func (k *Keys) longestLifetime() time.Duration {
	longest := k.limits().KeyLifetime
	for _, lifetime := range k.view.Lifetimes {
		longest = max(longest, lifetime)
	}
	return longest
}

// Receive takes in a message of a peer.
func (k *Keys) Receive(now time.Time, from fleet.HostID, m fleet.Message) Effects {
	if k.started.IsZero() {
		return Effects{}
	}
	k.checkLease(now)
	switch m := m.(type) {
	case *ClaimAsk:
		return k.claimAsked(now, m)
	case *ClaimAnswer:
		return k.claimAnswered(now, m)
	case *ClaimCopy:
		return k.claimCopied(now, from, m)
	case *ClaimCopied:
		return k.copyAcked(now, from, m)
	case *ResultReport:
		return k.resultReported(now, from, m)
	case *ResultAck:
		k.resultAcked(m)
	case *LeaseAsk:
		return k.leaseAsked(now, from, m)
	case *LeasePromise:
		return k.leasePromised(now, from, m)
	case *HistoryAsk:
		return k.historyAsked(now, from, m)
	case *HistoryPart:
		return k.historyReceived(now, from, m)
	case *KeysLeave:
		k.lease.leave(now, m.Member)
	}
	return Effects{}
}

// Tick does what is due at now. It is to be called every 100 to 200 ms.
func (k *Keys) Tick(now time.Time) Effects {
	if k.started.IsZero() {
		return Effects{}
	}
	k.checkLease(now)
	k.lease.note(now, k.ring, k.view.Gone, k.limits())
	e := k.askLease(now)
	e.merge(k.askHistory(now))
	k.settle(now)
	e.merge(k.tickClaims(now))
	e.merge(k.tickAttempts(now))
	return e
}

// Stop ends this host's ownership and tells the peers. Attempts that run here
// may still be reported afterwards.
func (k *Keys) Stop(now time.Time) Effects {
	var e Effects
	for _, id := range sortedKeys(k.active) {
		if k.owns(id) {
			e.merge(k.copyClaim(now, k.active[id]))
		}
	}
	k.stopped = true
	for _, m := range k.ring {
		if m != k.self {
			e.send(m.Host, &KeysLeave{Member: k.self})
		}
	}
	return e
}

// Ready reports whether this host can decide on the keys it owns.
func (k *Keys) Ready(now time.Time) bool {
	return !k.stopped && k.confirmed(now) && k.history.settled && k.lease.heldAt(now)
}

func (k *Keys) confirmed(now time.Time) bool {
	if !k.view.Confirmed {
		return false
	}
	return k.view.ConfirmedUntil.IsZero() || now.Before(k.view.ConfirmedUntil)
}

// owns reports whether this host is the owner of key by its own view.
func (k *Keys) owns(key string) bool {
	owner, _ := k.ring.pair(key)
	return owner == k.self.Host
}

// place returns where a key belongs by this host's view.
func (k *Keys) place(key Key) placement {
	return place(key, k.view.Centres, k.limits().MoveMargin)
}

// ownerOf returns the host that owns key in its home data centre, or "".
func (k *Keys) ownerOf(key Key) fleet.HostID {
	centre := k.place(key).home
	if centre == "" {
		return ""
	}
	owner, _ := newRing(k.view.Hosts, centre).pair(key.String())
	return owner
}

func (e *Effects) send(to fleet.HostID, m fleet.Message) {
	e.Sends = append(e.Sends, fleet.Send{To: to, Message: m})
}

// deliver sends a message, or takes it in at once if it is for this host.
func (k *Keys) deliver(now time.Time, to fleet.HostID, m fleet.Message) Effects {
	if to == k.view.Self {
		return k.Receive(now, to, m)
	}
	return Effects{Sends: []fleet.Send{{To: to, Message: m}}}
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
