// Package membership detects which entry hosts are live. It follows SWIM (Das,
// Gupta and Motivala, 2002): probes of one random member per interval, indirect
// probes through other members, suspicion before death, refutation of a false
// suspicion, and news carried on the probes themselves. A suspected member is
// told of it directly, as in Lifeguard (Dadgar, Phillips and Currey, 2018).
//
// A Table is used by one goroutine: the owner calls Tick about every 50 ms,
// Receive for each message, and sends what they return.
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

// Table is one host's knowledge of all entry hosts. Self must be set before
// first use; the zero value of every other field is ready for use.
type Table struct {
	Self   fleet.Host
	Timing Timing
	// Random chooses whom to probe. Nil means a fixed seed.
	Random *rand.Rand

	timing  Timing
	members map[fleet.HostID]*member
	me      *member
	version uint64
	counts  Counts

	peers    []*member // live members but this host, sorted by ID
	lost     []*member // dead members and candidates, sorted by ID
	hosts    []fleet.Host
	list     uint32 // hash of hosts
	outdated bool   // peers, lost, hosts and list must be rebuilt
	freshes  int    // members that there is news of

	views  views
	probes probes
	pause  pause

	nextGossip time.Time
	nextForget time.Time
	nextSync   time.Time
	synced     bool // this table has agreed with that of a peer
	left       bool
	superseded fleet.Incarnation // a later life of this host, or 0
}

// State is the version of the view that a host works by.
type State struct {
	_        struct{}       `cbor:",toarray"`
	Revision fleet.Revision // configuration in force
	Digest   uint64         // digest of the server records
}

// Counts are totals since the table was made.
type Counts struct {
	Probes        uint64 // first attempts
	Retries       uint64 // further attempts of one probe
	Failures      uint64 // probes without an answer
	Suspicions    uint64 // members that became suspect
	Refutations   uint64 // suspicions against this host that it denied
	Recoveries    uint64 // suspects that proved alive
	Deaths        uint64 // suspects that became dead
	Interruptions uint64 // pauses of this host, and times that others held it dead
	Rejected      uint64 // messages whose header does not fit their sender
	NewsDeferred  uint64 // claims that did not fit into a message
}

// Counts returns the totals.
func (t *Table) Counts() Counts { return t.counts }

// start makes the zero value usable.
func (t *Table) start() {
	if t.members != nil {
		return
	}
	t.timing = t.Timing.withDefaults()
	t.members = make(map[fleet.HostID]*member)
	t.me = &member{Member: Member{Host: t.Self, Status: Alive}, acked: true}
	t.outdated = true
	if t.Random == nil {
		t.Random = rand.New(rand.NewPCG(1, xxhash.Sum64String(string(t.Self.ID))))
	}
	t.probes.sequence = uint64(t.Random.Uint32())
}

// Tick advances the table to now and returns the probes and news to send.
func (t *Table) Tick(now time.Time) []fleet.Send {
	t.start()
	if t.left {
		return nil
	}
	t.noticePause(now)
	t.pause.ticked = now
	t.endSuspicions(now)
	t.forget(now)
	sends := t.confirmSelf(now, nil)
	sends = t.tickProbes(now, sends)
	sends = t.tickSync(now, sends)
	return t.tickGossip(now, sends)
}

// Receive handles a message from a peer and returns the answers.
func (t *Table) Receive(now time.Time, from fleet.HostID, message fleet.Message) []fleet.Send {
	t.start()
	h := headerOf(message)
	if t.left || h == nil {
		return nil
	}
	if h.Self.Host != from || from == t.Self.ID {
		t.counts.Rejected++
		return nil
	}
	t.noticePause(now)
	refuted := t.readHeader(now, h)
	var sends []fleet.Send
	switch m := message.(type) {
	case *Ping:
		ack := &Ack{Header: t.header(from), Sequence: m.Sequence, Subject: t.Self.ID}
		return append(sends, fleet.Send{To: from, Message: ack})
	case *Ack:
		sends = t.readAck(from, m)
	case *PingRequest:
		sends = t.relay(now, from, m)
	case *Fetch:
		sends = t.snapshot(from, m)
	case *Snapshot:
		t.learnAll(now, m.Claims, false)
	}
	if refuted || t.knowsMoreAcks(h) {
		sends = append(sends, fleet.Send{To: from, Message: &Gossip{Header: t.header(from)}})
	}
	return sends
}

// Hint adds hosts that the platform's list or the settings name as candidates
// to probe. It never ends or revives a member.
func (t *Table) Hint(now time.Time, hosts []fleet.Host) {
	t.start()
	for _, h := range hosts {
		if h.ID != t.Self.ID && h.PeerAddress.IsValid() {
			t.hint(now, h)
		}
	}
}

func (t *Table) hint(now time.Time, h fleet.Host) {
	m := t.members[h.ID]
	if m == nil {
		m = &member{Member: Member{Host: h, Status: Candidate}, since: now}
		t.members[h.ID] = m
		t.outdated = true
	}
	m.hinted = now
	if m.lost() && m.Host.PeerAddress != h.PeerAddress {
		m.Host.PeerAddress = h.PeerAddress
		m.Host.HandoffAddress = h.HandoffAddress
		m.attempts = 0
	}
}

// Leave announces a planned stop and returns the announcements. The table
// sends nothing afterwards.
func (t *Table) Leave(_ time.Time) []fleet.Send {
	t.start()
	if t.left {
		return nil
	}
	t.me.Status = Left
	t.me.refutation++
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
	t.start()
	t.rebuild()
	return t.hosts
}

// Members returns every known host but this one, sorted by ID.
func (t *Table) Members() []Member {
	members := make([]Member, 0, len(t.members))
	for _, m := range t.members {
		members = append(members, m.Member)
	}
	slices.SortFunc(members, func(a, b Member) int { return compareIDs(a.Host.ID, b.Host.ID) })
	return members
}

// Lookup returns what is known of a host, live or not, so that it can be reached.
func (t *Table) Lookup(id fleet.HostID) (fleet.Host, bool) {
	if id == t.Self.ID {
		return t.Self, true
	}
	if m := t.members[id]; m != nil {
		return m.Host, true
	}
	return fleet.Host{}, false
}

// RevisionOf returns the revision that a peer was last known to have in force, or 0.
func (t *Table) RevisionOf(id fleet.HostID) fleet.Revision {
	if m := t.members[id]; m != nil {
		return m.State.Revision
	}
	return 0
}

// Changed returns a number that rises whenever Live or the answer of Settled
// can have changed, other than by the end of a bounded wait.
func (t *Table) Changed() uint64 { return t.version }

// Superseded reports whether a later incarnation of this host is known. Such a
// host must stop.
func (t *Table) Superseded() bool { return t.superseded > 0 }

// SupersededBy returns the highest later incarnation of this host that is known,
// or 0. A restart has to take a higher one, even when the clock has gone back.
func (t *Table) SupersededBy() fleet.Incarnation { return t.superseded }

// forget drops the dead and the departed after a while, and candidates that no
// hint names any more.
func (t *Table) forget(now time.Time) {
	if now.Before(t.nextForget) {
		return
	}
	t.nextForget = now.Add(forgetInterval)
	for id, m := range t.members {
		if m.live() {
			continue
		}
		last := later(m.since, m.hinted)
		limit := t.timing.Forget
		if m.Status == Candidate {
			limit = candidateLifetime
		}
		if now.Sub(last) > limit {
			t.setFresh(m, false)
			delete(t.members, id)
			t.outdated = true
		}
	}
}

func (t *Table) livePeers() []*member {
	t.rebuild()
	return t.peers
}

// rebuild brings the sorted lists up to date with the members.
func (t *Table) rebuild() {
	if !t.outdated {
		return
	}
	t.outdated = false
	t.peers = t.peers[:0]
	t.lost = t.lost[:0]
	hosts := []fleet.Host{t.Self}
	for _, m := range t.members {
		switch {
		case m.live():
			t.peers = append(t.peers, m)
			hosts = append(hosts, m.Host)
		case m.lost():
			t.lost = append(t.lost, m)
		}
	}
	slices.SortFunc(t.peers, func(a, b *member) int { return compareIDs(a.Host.ID, b.Host.ID) })
	slices.SortFunc(t.lost, func(a, b *member) int { return compareIDs(a.Host.ID, b.Host.ID) })
	slices.SortFunc(hosts, func(a, b fleet.Host) int { return compareIDs(a.ID, b.ID) })
	if !slices.Equal(hosts, t.hosts) {
		t.hosts = hosts
		t.list = listHash(hosts)
		t.version++
	}
	t.countAcks()
}

func listHash(hosts []fleet.Host) uint32 {
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
