// Package membership detects which entry hosts are live. It implements SWIM (Das,
// Gupta and Motivala, 2002): each interval probes one random member, indirect
// probes go through other members, a member is suspected before it is declared
// dead, false suspicions are refuted, and updates are piggybacked on the probes.
// As in Lifeguard (Dadgar, Phillips and Currey, 2018), probes notify a suspected
// member of its suspicion.
//
// The owner of a Table calls Tick about every 50 ms and Receive for each message,
// and sends the messages that they return.
package membership

import (
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rattanthread/rattanthread/fleet"
)

// Table is the membership table of one host. Self must be set before first use;
// the zero value of every other field is ready to use. A Table is not safe for
// concurrent use.
type Table struct {
	Self   fleet.Host
	Timing Timing
	// Random selects the members to probe. Nil means a generator seeded from Self.
	Random *rand.Rand

	timing     Timing
	members    map[fleet.HostID]*member
	selfRecord *member
	version    uint64
	counts     Counts

	peers        []*member // live members except this host, sorted by ID
	unreachable  []*member // dead members and candidates, sorted by ID
	hosts        []fleet.Host
	listHash     uint32 // hash of hosts
	outdated     bool   // peers, unreachable, hosts and listHash must be rebuilt
	pendingCount int    // members with a pending update

	local  localView
	probes probes
	pause  pause

	nextGossip time.Time
	nextReap   time.Time
	nextSync   time.Time
	synced     bool // a peer has had the same list of live hosts
	left       bool
	superseded fleet.Incarnation // highest later incarnation of this host, or 0
}

// State identifies the configuration and the server state that a host uses.
type State struct {
	_        struct{}       `cbor:",toarray"`
	Revision fleet.Revision // configuration in force
	Digest   uint64         // digest of server records, admissions and data centre phases
}

// Counts are totals since the creation of the table.
type Counts struct {
	Probes          uint64 // first attempts
	Retries         uint64 // further attempts of one probe
	Failures        uint64 // probes without a response
	Suspicions      uint64 // members that became suspect
	Refutations     uint64 // claims against this host that it refuted
	Recoveries      uint64 // suspects that became alive
	Deaths          uint64 // suspects that became dead
	Interruptions   uint64 // times that this host was paused or considered dead by others
	Rejected        uint64 // messages whose header does not match their sender
	UpdatesDeferred uint64 // messages with no room for all pending claims
}

// Counts returns the totals.
func (t *Table) Counts() Counts { return t.counts }

// lazyInit initializes the table on first use.
func (t *Table) lazyInit() {
	if t.members != nil {
		return
	}
	t.timing = t.Timing.withDefaults()
	t.members = make(map[fleet.HostID]*member)
	t.selfRecord = &member{Member: Member{Host: t.Self, Status: Alive}, acked: true}
	t.outdated = true
	if t.Random == nil {
		t.Random = rand.New(rand.NewPCG(1, xxhash.Sum64String(string(t.Self.ID))))
	}
	t.probes.sequence = uint64(t.Random.Uint32())
}

// Tick advances the table to now and returns the messages to send.
func (t *Table) Tick(now time.Time) []fleet.Send {
	t.lazyInit()
	if t.left {
		return nil
	}
	t.detectPause(now)
	t.pause.lastTick = now
	t.expireSuspicions(now)
	t.reap(now)
	sends := t.requestConfirmation(now, nil)
	sends = t.tickProbes(now, sends)
	sends = t.tickSync(now, sends)
	return t.tickGossip(now, sends)
}

// Receive handles a message from a peer and returns the messages to send.
func (t *Table) Receive(now time.Time, from fleet.HostID, message fleet.Message) []fleet.Send {
	t.lazyInit()
	header := headerOf(message)
	if t.left || header == nil {
		return nil
	}
	if header.Self.Host != from || from == t.Self.ID {
		t.counts.Rejected++
		return nil
	}
	t.detectPause(now)
	refuted := t.handleHeader(now, header)
	var sends []fleet.Send
	switch message := message.(type) {
	case *Ping:
		ack := &Ack{Header: t.header(from), Sequence: message.Sequence, Subject: t.Self.ID}
		return append(sends, fleet.Send{To: from, Message: ack})
	case *Ack:
		sends = t.handleAck(from, message)
	case *PingRequest:
		sends = t.relayPing(now, from, message)
	case *Fetch:
		sends = t.snapshot(from, message)
	case *Snapshot:
		t.mergeClaims(now, message.Claims, false)
	}
	if refuted || t.senderLacksAcks(header) {
		sends = append(sends, fleet.Send{To: from, Message: &Gossip{Header: t.header(from)}})
	}
	return sends
}

// AddCandidates adds hosts from the platform's list or the settings as candidates
// to probe. It never changes the status of a member.
func (t *Table) AddCandidates(now time.Time, hosts []fleet.Host) {
	t.lazyInit()
	for _, h := range hosts {
		if h.ID != t.Self.ID && h.PeerAddress.IsValid() {
			t.addCandidate(now, h)
		}
	}
}

func (t *Table) addCandidate(now time.Time, host fleet.Host) {
	m := t.members[host.ID]
	if m == nil {
		m = &member{Member: Member{Host: host, Status: Candidate}, since: now}
		t.members[host.ID] = m
		t.outdated = true
	}
	m.lastListed = now
	if m.unreachable() && m.Host.PeerAddress != host.PeerAddress {
		m.Host.PeerAddress = host.PeerAddress
		m.Host.HandoffAddress = host.HandoffAddress
		m.attempts = 0
	}
}

// Leave returns the announcements of a planned stop. The table sends nothing
// afterwards.
func (t *Table) Leave(_ time.Time) []fleet.Send {
	t.lazyInit()
	if t.left {
		return nil
	}
	t.selfRecord.Status = Left
	t.selfRecord.refutation++
	var sends []fleet.Send
	for _, m := range t.pick(t.livePeers(), leaveFanout, "") {
		sends = append(sends, fleet.Send{To: m.Host.ID, Message: &Gossip{Header: t.header(m.Host.ID)}})
	}
	t.left = true
	return sends
}

// Live returns the live hosts sorted by ID, this host included. A suspected
// host is live until its suspicion ends. The caller must not modify the slice.
func (t *Table) Live() []fleet.Host {
	t.lazyInit()
	t.rebuild()
	return t.hosts
}

// Members returns every host in the table except this one, sorted by ID.
func (t *Table) Members() []Member {
	members := make([]Member, 0, len(t.members))
	for _, m := range t.members {
		members = append(members, m.Member)
	}
	slices.SortFunc(members, func(a, b Member) int { return compareIDs(a.Host.ID, b.Host.ID) })
	return members
}

// Lookup returns the location and addresses of a host, live or not.
func (t *Table) Lookup(id fleet.HostID) (fleet.Host, bool) {
	if id == t.Self.ID {
		return t.Self, true
	}
	if m := t.members[id]; m != nil {
		return m.Host, true
	}
	return fleet.Host{}, false
}

// RevisionOf returns the revision in the last announced state of a peer, or 0.
func (t *Table) RevisionOf(id fleet.HostID) fleet.Revision {
	if m := t.members[id]; m != nil {
		return m.State.Revision
	}
	return 0
}

// Version returns a number that increases whenever the result of Live or Settled
// may have changed, except when Timing.Settle expires.
func (t *Table) Version() uint64 { return t.version }

// Superseded reports whether a peer has announced a later incarnation of this
// host. A superseded host must stop.
func (t *Table) Superseded() bool { return t.superseded > 0 }

// SupersededBy returns the highest later incarnation of this host that a peer has
// announced, or 0. A restart must use a higher one, even if the clock went back.
func (t *Table) SupersededBy() fleet.Incarnation { return t.superseded }

// reap removes members that have been dead or departed for Timing.Retention, and
// candidates that AddCandidates has not named for candidateLifetime.
func (t *Table) reap(now time.Time) {
	if now.Before(t.nextReap) {
		return
	}
	t.nextReap = now.Add(reapInterval)
	for id, member := range t.members {
		if member.live() {
			continue
		}
		last := later(member.since, member.lastListed)
		limit := t.timing.Retention
		if member.Status == Candidate {
			limit = candidateLifetime
		}
		if now.Sub(last) > limit {
			t.setPending(member, false)
			delete(t.members, id)
			t.outdated = true
		}
	}
}

func (t *Table) livePeers() []*member {
	t.rebuild()
	return t.peers
}

// rebuild recomputes the sorted lists if members have changed.
func (t *Table) rebuild() {
	if !t.outdated {
		return
	}
	t.outdated = false
	t.peers = t.peers[:0]
	t.unreachable = t.unreachable[:0]
	hosts := []fleet.Host{t.Self}
	for _, m := range t.members {
		switch {
		case m.live():
			t.peers = append(t.peers, m)
			hosts = append(hosts, m.Host)
		case m.unreachable():
			t.unreachable = append(t.unreachable, m)
		}
	}
	slices.SortFunc(t.peers, func(a, b *member) int { return compareIDs(a.Host.ID, b.Host.ID) })
	slices.SortFunc(t.unreachable, func(a, b *member) int { return compareIDs(a.Host.ID, b.Host.ID) })
	slices.SortFunc(hosts, func(a, b fleet.Host) int { return compareIDs(a.ID, b.ID) })
	if !slices.Equal(hosts, t.hosts) {
		t.hosts = hosts
		t.listHash = hashHosts(hosts)
		t.version++
	}
	t.updateComplete()
}

func hashHosts(hosts []fleet.Host) uint32 {
	var d xxhash.Digest
	d.Reset()
	var b [8]byte
	for _, h := range hosts {
		_, _ = d.WriteString(string(h.ID))
		binary.BigEndian.PutUint64(b[:], uint64(h.Incarnation))
		_, _ = d.Write(b[:])
	}
	return uint32(d.Sum64())
}

func compareIDs(a, b fleet.HostID) int {
	return strings.Compare(string(a), string(b))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
