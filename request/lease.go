package request

import (
	"cmp"
	"slices"
	"time"

	"github.com/rattanthread/rattanthread/fleet"
)

// lease is the right to act as owner in one ring: promises of a majority of the
// members that may be running. A host promises one ring at a time, so two hosts
// never act in different rings at once.
type lease struct {
	known map[fleet.HostID]knownHost
	// departed are the members that stopped as planned or are confirmed to have
	// departed, with the time when this was recorded.
	departed map[Member]time.Time

	// State of the requesting side.
	lastNumber     uint64
	sentAt         map[uint64]time.Time
	promisedUntil  map[fleet.HostID]time.Time // when each promise expires
	lastRequest    time.Time
	memberMismatch map[fleet.HostID]bool // peers that count other members as possibly running

	// State of the promising side.
	granted map[fleet.HostID]grantedPromise
}

type knownHost struct {
	member   Member
	lastSeen time.Time
}

type grantedPromise struct {
	incarnation fleet.Incarnation
	number      uint64
	ring        RingID
	until       time.Time
}

// maxPendingRequests is the number of latest requests whose send times are kept.
const maxPendingRequests = 16

func (l *lease) initialize() {
	l.known = make(map[fleet.HostID]knownHost)
	l.departed = make(map[Member]time.Time)
	l.granted = make(map[fleet.HostID]grantedPromise)
	l.memberMismatch = make(map[fleet.HostID]bool)
	l.reset()
}

// reset discards the promises for an earlier ring.
func (l *lease) reset() {
	l.sentAt = make(map[uint64]time.Time)
	l.promisedUntil = make(map[fleet.HostID]time.Time)
	l.lastRequest = time.Time{}
}

// refreshMembers updates the set of members that may be running.
func (l *lease) refreshMembers(now time.Time, ring Ring, departed []Member, limits Limits) {
	for _, m := range ring {
		l.observe(m, now)
	}
	for _, m := range departed {
		l.recordDeparture(now, m)
	}
	for m, at := range l.departed {
		// By then every host has dropped it from its known members.
		if now.Sub(at) > 2*limits.MemberExpiry {
			delete(l.departed, m)
		}
	}
	for host, h := range l.known {
		if now.Sub(h.lastSeen) > limits.MemberExpiry {
			delete(l.known, host)
		}
	}
}

func (l *lease) observe(member Member, at time.Time) {
	old, ok := l.known[member.Host]
	if l.hasDeparted(member) || ok && old.member.Incarnation > member.Incarnation {
		return
	}
	if old.member != member || old.lastSeen.Before(at) {
		l.known[member.Host] = knownHost{member: member, lastSeen: at}
	}
}

func (l *lease) hasDeparted(member Member) bool {
	_, ok := l.departed[member]
	return ok
}

func (l *lease) recordDeparture(now time.Time, member Member) {
	l.departed[member] = now
	if l.known[member.Host].member == member {
		delete(l.known, member.Host)
	}
	if l.granted[member.Host].incarnation <= member.Incarnation {
		delete(l.granted, member.Host)
	}
}

// heldAt reports whether a majority of the known members has promised. With an
// even number, the half that includes the first host by name is the majority.
func (l *lease) heldAt(now time.Time) bool {
	promised := 0
	first := fleet.HostID("")
	for host := range l.known {
		if first == "" || host < first {
			first = host
		}
		if now.Before(l.promisedUntil[host]) {
			promised++
		}
	}
	if 2*promised == len(l.known) {
		return promised > 0 && now.Before(l.promisedUntil[first])
	}
	return 2*promised > len(l.known)
}

func (l *lease) members(now time.Time) []KnownMember {
	members := make([]KnownMember, 0, len(l.known))
	for _, h := range l.known {
		members = append(members, KnownMember{Member: h.member, Age: now.Sub(h.lastSeen)})
	}
	slices.SortFunc(members, func(a, b KnownMember) int { return cmp.Compare(a.Member.Host, b.Member.Host) })
	return members
}

func (l *lease) mergeMembers(now time.Time, members []KnownMember) {
	for _, m := range members {
		l.observe(m.Member, now.Add(-m.Age))
	}
}

// digest returns the hash of the known members and their incarnations.
func (l *lease) digest() RingID {
	var r Ring
	for _, h := range l.known {
		r = append(r, h.member)
	}
	r.sort()
	return r.ID()
}

// requestLease requests promises from all members of the ring, at most once per
// quarter of LeaseDuration.
func (k *KeyTracker) requestLease(now time.Time) Effects {
	limits := k.limits()
	if k.stopped || len(k.ring) == 0 || now.Sub(k.lease.lastRequest) < limits.LeaseDuration/4 {
		return Effects{}
	}
	lease := &k.lease
	lease.lastRequest = now
	lease.lastNumber++
	lease.sentAt[lease.lastNumber] = now
	delete(lease.sentAt, lease.lastNumber-maxPendingRequests)
	digestOnly := LeaseRequest{Ring: k.ringID, Incarnation: k.self.Incarnation, Number: lease.lastNumber, Digest: lease.digest()}
	full := digestOnly
	full.Members = lease.members(now)
	var effects Effects
	for _, member := range k.ring {
		request := &digestOnly
		if lease.memberMismatch[member.Host] {
			request = &full
		}
		effects.merge(k.deliver(now, member.Host, request))
	}
	clear(lease.memberMismatch)
	return effects
}

func (k *KeyTracker) handleLeaseRequest(now time.Time, from fleet.HostID, request *LeaseRequest) Effects {
	lease := &k.lease
	old := lease.granted[from]
	repeated := request.Incarnation < old.incarnation || request.Incarnation == old.incarnation && request.Number <= old.number
	if repeated || lease.hasDeparted(Member{Host: from, Incarnation: request.Incarnation}) {
		return Effects{}
	}
	lease.mergeMembers(now, request.Members)
	promise := &LeasePromise{Ring: request.Ring, Number: request.Number}
	promise.Given = k.canPromise(now, from, request)
	if promise.Given {
		promise.Settled = k.history.settled
		lease.granted[from] = grantedPromise{
			incarnation: request.Incarnation,
			number:      request.Number,
			ring:        request.Ring,
			until:       now.Add(k.limits().LeaseDuration),
		}
	} else {
		promise.Members = lease.members(now)
	}
	return k.deliver(now, from, promise)
}

// canPromise reports whether this host has the same ring and no outstanding
// promise for another one. A host that has just started waits, as its previous
// incarnation may have promised.
func (k *KeyTracker) canPromise(now time.Time, from fleet.HostID, request *LeaseRequest) bool {
	if k.stopped || request.Ring != k.ringID || now.Sub(k.started) < k.limits().LeaseDuration {
		return false
	}
	if k.lease.digest() != request.Digest {
		return false
	}
	for host, g := range k.lease.granted {
		if host != from && g.ring != request.Ring && now.Before(g.until) {
			return false
		}
	}
	return true
}

func (k *KeyTracker) handleLeasePromise(now time.Time, from fleet.HostID, promise *LeasePromise) Effects {
	lease := &k.lease
	if !promise.Given {
		lease.mergeMembers(now, promise.Members)
		lease.memberMismatch[from] = true
		return k.sendDepartures(from, promise.Members)
	}
	sent, ok := lease.sentAt[promise.Number]
	if !ok || promise.Ring != k.ringID {
		return Effects{}
	}
	until := sent.Add(k.limits().LeaseDuration)
	if until.After(lease.promisedUntil[from]) {
		lease.promisedUntil[from] = until
	}
	if promise.Settled && promise.Number > k.history.resetNumber {
		k.history.peerSettled[from] = true
		k.dropRings()
	}
	return Effects{}
}

// sendDepartures notifies a peer of those of its members that have departed, as
// it may have missed their own messages.
func (k *KeyTracker) sendDepartures(to fleet.HostID, members []KnownMember) Effects {
	var effects Effects
	for _, m := range members {
		if k.lease.hasDeparted(m.Member) {
			effects.send(to, &MemberDeparted{Member: m.Member})
		}
	}
	return effects
}
