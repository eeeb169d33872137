package membership_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/membership"
)

// overhead is the size of what surrounds the body of a message: the envelope of
// package peer, and the headers of UDP and IPv4.
const overhead = 80 + 28

// tickEvery is how often the owner of a table calls Tick.
const tickEvery = 50 * time.Millisecond

// node is one host of a network.
type node struct {
	table  *membership.Table
	offset time.Duration // of its ticks
	down   bool          // crashed
	asleep bool          // paused; what arrives waits
	inbox  []delivery
	bytes  int // sent
	long   int // bytes of the longest message that is sent without being asked for
}

type delivery struct {
	to, from fleet.HostID
	message  fleet.Message
}

// network carries messages between tables in virtual time.
type network struct {
	now     time.Time
	random  *rand.Rand
	nodes   map[fleet.HostID]*node
	order   []fleet.HostID
	pending map[time.Time][]delivery
	loss    float64
	// cut drops what goes from one host to another. It may be nil.
	cut func(from, to fleet.HostID) bool
	// after is called after every millisecond. It may be nil.
	after func()
}

func host(i, centres int, incarnation fleet.Incarnation) fleet.Host {
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i % centres), byte(i >> 8), byte(i)}), 7000)
	return fleet.Host{
		ID:             fleet.HostID(fmt.Sprintf("host-%c%03d", 'a'+i%centres, i)),
		DataCentre:     fleet.DataCentreID(fmt.Sprintf("centre-%c", 'a'+i%centres)),
		Incarnation:    incarnation,
		PeerAddress:    address,
		HandoffAddress: netip.AddrPortFrom(address.Addr(), 7001),
	}
}

func newNetwork(seed uint64, hosts, centres int) *network {
	n := &network{
		now: time.Unix(1_700_000_000, 0), random: rand.New(rand.NewPCG(seed, 0)),
		nodes: make(map[fleet.HostID]*node), pending: make(map[time.Time][]delivery),
	}
	var all []fleet.Host
	for i := range hosts {
		all = append(all, host(i, centres, 1_700_000_000_000))
	}
	for _, h := range all {
		n.add(h, all)
	}
	return n
}

func (n *network) add(h fleet.Host, hints []fleet.Host) *node {
	random := rand.New(rand.NewPCG(n.random.Uint64(), 1))
	offset := time.Duration(n.random.IntN(50)) * time.Millisecond
	x := &node{table: &membership.Table{Self: h, Random: random}, offset: offset}
	x.table.Hint(n.now, hints)
	x.table.SetLocal(n.now, membership.State{Revision: 1, Digest: 0x1234567890abcdef})
	if n.nodes[h.ID] == nil {
		n.order = append(n.order, h.ID)
	}
	n.nodes[h.ID] = x
	return x
}

// run advances the network by d.
func (n *network) run(d time.Duration) {
	n.until(d, func() bool { return false })
}

// until advances the network by at most d, in steps of 10 ms, until done holds,
// and returns the time passed.
func (n *network) until(d time.Duration, done func() bool) time.Duration {
	start := n.now
	for n.now.Sub(start) < d && !done() {
		for range 10 {
			n.step()
		}
	}
	return n.now.Sub(start)
}

func (n *network) step() {
	n.now = n.now.Add(time.Millisecond)
	arrived := n.pending[n.now]
	delete(n.pending, n.now)
	for _, d := range arrived {
		n.deliver(d)
	}
	phase := time.Duration(n.now.UnixNano()) % tickEvery
	for _, id := range n.order {
		if x := n.nodes[id]; x.offset == phase && !x.down && !x.asleep {
			n.send(id, x.table.Tick(n.now))
		}
	}
	if n.after != nil {
		n.after()
	}
}

func (n *network) deliver(d delivery) {
	x := n.nodes[d.to]
	switch {
	case x == nil || x.down:
	case x.asleep:
		x.inbox = append(x.inbox, d)
	default:
		n.send(d.to, x.table.Receive(n.now, d.from, d.message))
	}
}

func (n *network) wake(id fleet.HostID) {
	x := n.nodes[id]
	x.asleep = false
	for _, d := range x.inbox {
		n.deliver(d)
	}
	x.inbox = nil
}

func (n *network) send(from fleet.HostID, sends []fleet.Send) {
	for _, s := range sends {
		b, err := cbor.Marshal(s.Message)
		if err != nil {
			panic(err)
		}
		n.nodes[from].bytes += len(b) + overhead
		if _, ok := s.Message.(*membership.Snapshot); !ok {
			n.nodes[from].long = max(n.nodes[from].long, len(b)+overhead)
		}
		if n.random.Float64() < n.loss || (n.cut != nil && n.cut(from, s.To)) {
			continue
		}
		at := n.now.Add(n.delay(from, s.To))
		n.pending[at] = append(n.pending[at], delivery{s.To, from, decoded(s.Message, b)})
	}
}

// decoded returns a copy, as the receiver would see it.
func decoded(m fleet.Message, b []byte) fleet.Message {
	c := reflect.New(reflect.TypeOf(m).Elem()).Interface().(fleet.Message)
	if err := cbor.Unmarshal(b, c); err != nil {
		panic(err)
	}
	return c
}

func (n *network) delay(from, to fleet.HostID) time.Duration {
	if from[5] == to[5] {
		return time.Millisecond
	}
	return time.Duration(4+n.random.IntN(3)) * time.Millisecond
}

// holds reports whether host id counts the other as live.
func (n *network) holds(id, other fleet.HostID) bool {
	_, found := slices.BinarySearchFunc(n.nodes[id].table.Live(), other, func(h fleet.Host, id fleet.HostID) int {
		return strings.Compare(string(h.ID), string(id))
	})
	return found
}

// agreed reports whether every running host holds exactly the running hosts
// that want accepts.
func (n *network) agreed(want func(holder, held fleet.HostID) bool) bool {
	for _, a := range n.order {
		if n.nodes[a].down || n.nodes[a].asleep {
			continue
		}
		count := 0
		for _, b := range n.order {
			if n.nodes[b].down || n.nodes[b].asleep || !want(a, b) {
				continue
			}
			count++
			if !n.holds(a, b) {
				return false
			}
		}
		if count != len(n.nodes[a].table.Live()) {
			return false
		}
	}
	return true
}

// sameSide reports whether neither or both hosts are in the first data centre.
func sameSide(a, b fleet.HostID) bool { return (a[5] == 'a') == (b[5] == 'a') }

func acrossSides(from, to fleet.HostID) bool { return !sameSide(from, to) }

func (n *network) whole() bool {
	return n.agreed(func(_, _ fleet.HostID) bool { return true })
}

func (n *network) total(f func(membership.Counts) uint64) (sum uint64) {
	for _, x := range n.nodes {
		sum += f(x.table.Counts())
	}
	return sum
}

func (n *network) bytes() (sum int) {
	for _, x := range n.nodes {
		sum += x.bytes
	}
	return sum
}

func (n *network) settled(s membership.State) bool {
	for _, id := range n.order {
		if x := n.nodes[id]; !x.down && !x.table.Settled(n.now, s) {
			return false
		}
	}
	return true
}
