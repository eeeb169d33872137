package request

import (
	"cmp"
	"slices"
	"time"

	"github.com/rattanthread/rattanthread/fleet"
)

// lease is the right to act as owner by one ring: promises of a majority of
// the members that may be running. A host promises one ring at a time, so two
// hosts never act by different rings.
type lease struct {
	known map[fleet.HostID]knownHost
	left  map[Member]time.Time // stopped as planned, or confirmed gone; by when noted

	// As the one who asks.
	number    uint64
	sent      map[uint64]time.Time
	confirmed map[fleet.HostID]time.Time // until when each promise holds
	asked     time.Time
	differs   map[fleet.HostID]bool // peers that believe in other members

	// As the one who promises.
	given map[fleet.HostID]givenPromise
}

type knownHost struct {
	member Member
	seen   time.Time
}

type givenPromise struct {
	incarnation fleet.Incarnation
	number      uint64
	ring        RingID
	until       time.Time
}

// pendingAsks is how many asks a holder remembers the time of.
const pendingAsks = 16

func (l *lease) start() {
	l.known = make(map[fleet.HostID]knownHost)
	l.left = make(map[Member]time.Time)
	l.given = make(map[fleet.HostID]givenPromise)
	l.differs = make(map[fleet.HostID]bool)
	l.reset()
}

// reset drops the promises for an earlier ring.
func (l *lease) reset() {
	l.sent = make(map[uint64]time.Time)
	l.confirmed = make(map[fleet.HostID]time.Time)
	l.asked = time.Time{}
}

// note keeps the set of members that may be running.
func (l *lease) note(now time.Time, ring Ring, gone []Member, limits Limits) {
	for _, m := range ring {
		l.see(m, now)
	}
	for _, m := range gone {
		l.leave(now, m)
	}
	for m, at := range l.left {
		// By then every host has forgotten it anyway.
		if now.Sub(at) > 2*limits.ForgetAfter {
			delete(l.left, m)
		}
	}
	for host, h := range l.known {
		if now.Sub(h.seen) > limits.ForgetAfter {
			delete(l.known, host)
		}
	}
}

func (l *lease) see(m Member, at time.Time) {
	old, ok := l.known[m.Host]
	if l.hasLeft(m) || ok && old.member.Incarnation > m.Incarnation {
		return
	}
	if old.member != m || old.seen.Before(at) {
		l.known[m.Host] = knownHost{member: m, seen: at}
	}
}

func (l *lease) hasLeft(m Member) bool {
	_, ok := l.left[m]
	return ok
}

func (l *lease) leave(now time.Time, m Member) {
	l.left[m] = now
	if l.known[m.Host].member == m {
		delete(l.known, m.Host)
	}
	if l.given[m.Host].incarnation <= m.Incarnation {
		delete(l.given, m.Host)
	}
}

// heldAt reports whether a majority of the known members has promised. Of an
// even number, the half with the first host by name counts as the majority.
func (l *lease) heldAt(now time.Time) bool {
	promised := 0
	first := fleet.HostID("")
	for host := range l.known {
		if first == "" || host < first {
			first = host
		}
		if now.Before(l.confirmed[host]) {
			promised++
		}
	}
	if 2*promised == len(l.known) {
		return promised > 0 && now.Before(l.confirmed[first])
	}
	return 2*promised > len(l.known)
}

func (l *lease) members(now time.Time) []KnownMember {
	members := make([]KnownMember, 0, len(l.known))
	for _, h := range l.known {
		members = append(members, KnownMember{Member: h.member, Age: now.Sub(h.seen)})
	}
	slices.SortFunc(members, func(a, b KnownMember) int { return cmp.Compare(a.Member.Host, b.Member.Host) })
	return members
}

func (l *lease) learn(now time.Time, members []KnownMember) {
	for _, m := range members {
		l.see(m.Member, now.Add(-m.Age))
	}
}

// digest returns the hash of the known members.
func (l *lease) digest() RingID {
	var r Ring
	for _, h := range l.known {
		r = append(r, h.member)
	}
	r.sort()
	return r.ID()
}

// askLease asks all members for promises, several times in the life of one.
func (k *Keys) askLease(now time.Time) Effects {
	limits := k.limits()
	if k.stopped || len(k.ring) == 0 || now.Sub(k.lease.asked) < limits.LeaseTime/4 {
		return Effects{}
	}
	l := &k.lease
	l.asked = now
	l.number++
	l.sent[l.number] = now
	delete(l.sent, l.number-pendingAsks)
	m := LeaseAsk{Ring: k.ringID, Incarnation: k.self.Incarnation, Number: l.number, Digest: l.digest()}
	full := m
	full.Members = l.members(now)
	var e Effects
	for _, member := range k.ring {
		ask := &m
		if l.differs[member.Host] {
			ask = &full
		}
		e.merge(k.deliver(now, member.Host, ask))
	}
	clear(l.differs)
	return e
}

func (k *Keys) leaseAsked(now time.Time, from fleet.HostID, m *LeaseAsk) Effects {
	l := &k.lease
	old := l.given[from]
	repeated := m.Incarnation < old.incarnation || m.Incarnation == old.incarnation && m.Number <= old.number
	if repeated || l.hasLeft(Member{Host: from, Incarnation: m.Incarnation}) {
		return Effects{}
	}
	l.learn(now, m.Members)
	answer := &LeasePromise{Ring: m.Ring, Number: m.Number}
	answer.Given = k.mayPromise(now, from, m)
	if answer.Given {
		answer.Settled = k.history.settled
		l.given[from] = givenPromise{
			incarnation: m.Incarnation,
			number:      m.Number,
			ring:        m.Ring,
			until:       now.Add(k.limits().LeaseTime),
		}
	} else {
		answer.Members = l.members(now)
	}
	return k.deliver(now, from, answer)
}

// mayPromise tells whether this host sees the same ring and has no promise
// outstanding for another one. An earlier life of this host may have promised,
// so a fresh host waits.
func (k *Keys) mayPromise(now time.Time, from fleet.HostID, m *LeaseAsk) bool {
	if k.stopped || m.Ring != k.ringID || now.Sub(k.started) < k.limits().LeaseTime {
		return false
	}
	if k.lease.digest() != m.Digest {
		return false
	}
	for host, g := range k.lease.given {
		if host != from && g.ring != m.Ring && now.Before(g.until) {
			return false
		}
	}
	return true
}

func (k *Keys) leasePromised(now time.Time, from fleet.HostID, m *LeasePromise) Effects {
	l := &k.lease
	if !m.Given {
		l.learn(now, m.Members)
		l.differs[from] = true
		return k.tellGone(from, m.Members)
	}
	sent, ok := l.sent[m.Number]
	if !ok || m.Ring != k.ringID {
		return Effects{}
	}
	until := sent.Add(k.limits().LeaseTime)
	if until.After(l.confirmed[from]) {
		l.confirmed[from] = until
	}
	if m.Settled && m.Number > k.history.sinceAsk {
		k.history.peerSettled[from] = true
		k.dropRings()
	}
	return Effects{}
}

// tellGone tells a peer which of its members are gone, as it may have missed
// their own message.
func (k *Keys) tellGone(to fleet.HostID, members []KnownMember) Effects {
	var e Effects
	for _, m := range members {
		if k.lease.hasLeft(m.Member) {
			e.send(to, &KeysLeave{Member: m.Member})
		}
	}
	return e
}
