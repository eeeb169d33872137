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

// overhead is the size in bytes of the envelope of package peer plus the UDP and
// IPv4 headers of a message.
const overhead = 80 + 28

// tickInterval is the time between the calls of Tick on a table.
const tickInterval = 50 * time.Millisecond

// node is one host of a network.
type node struct {
	table          *membership.Table
	offset         time.Duration // of its ticks within tickInterval
	down           bool          // crashed
	paused         bool          // process paused; messages wait in inbox
	inbox          []delivery
	bytes          int // total of sent bytes
	maxUnsolicited int // size of the longest sent message other than a Snapshot, in bytes
}

type delivery struct {
	to, from fleet.HostID
	message  fleet.Message
}

// network delivers messages between tables in simulated time.
type network struct {
	now     time.Time
	random  *rand.Rand
	nodes   map[fleet.HostID]*node
	order   []fleet.HostID
	pending map[time.Time][]delivery
	loss    float64
	// blocked reports whether messages from one host to another are dropped. It may
	// be nil.
	blocked func(from, to fleet.HostID) bool
	// afterStep is called after each simulated millisecond. It may be nil.
	afterStep func()
}

func host(i, dataCentres int, incarnation fleet.Incarnation) fleet.Host {
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i % dataCentres), byte(i >> 8), byte(i)}), 7000)
	return fleet.Host{
		ID:             fleet.HostID(fmt.Sprintf("host-%c%03d", 'a'+i%dataCentres, i)),
		DataCentre:     fleet.DataCentreID(fmt.Sprintf("centre-%c", 'a'+i%dataCentres)),
		Incarnation:    incarnation,
		PeerAddress:    address,
		HandoffAddress: netip.AddrPortFrom(address.Addr(), 7001),
	}
}

func newNetwork(seed uint64, hosts, dataCentres int) *network {
	net := &network{
		now: time.Unix(1_700_000_000, 0), random: rand.New(rand.NewPCG(seed, 0)),
		nodes: make(map[fleet.HostID]*node), pending: make(map[time.Time][]delivery),
	}
	var all []fleet.Host
	for i := range hosts {
		all = append(all, host(i, dataCentres, 1_700_000_000_000))
	}
	for _, h := range all {
		net.add(h, all)
	}
	return net
}

func (n *network) add(self fleet.Host, candidates []fleet.Host) *node {
	random := rand.New(rand.NewPCG(n.random.Uint64(), 1))
	offset := time.Duration(n.random.IntN(50)) * time.Millisecond
	node := &node{table: &membership.Table{Self: self, Random: random}, offset: offset}
	node.table.AddCandidates(n.now, candidates)
	node.table.SetLocalState(n.now, membership.State{Revision: 1, Digest: 0x1234567890abcdef})
	if n.nodes[self.ID] == nil {
		n.order = append(n.order, self.ID)
	}
	n.nodes[self.ID] = node
	return node
}

// run advances the network by d.
func (n *network) run(d time.Duration) {
	n.runUntil(d, func() bool { return false })
}

// runUntil advances the network in steps of 10 ms until done returns true, by at most
// d, and returns the elapsed time.
func (n *network) runUntil(d time.Duration, done func() bool) time.Duration {
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
	phase := time.Duration(n.now.UnixNano()) % tickInterval
	for _, id := range n.order {
		if node := n.nodes[id]; node.offset == phase && !node.down && !node.paused {
			n.send(id, node.table.Tick(n.now))
		}
	}
	if n.afterStep != nil {
		n.afterStep()
	}
}

func (n *network) deliver(d delivery) {
	node := n.nodes[d.to]
	switch {
	case node == nil || node.down:
	case node.paused:
		node.inbox = append(node.inbox, d)
	default:
		n.send(d.to, node.table.Receive(n.now, d.from, d.message))
	}
}

func (n *network) resume(id fleet.HostID) {
	node := n.nodes[id]
	node.paused = false
	for _, d := range node.inbox {
		n.deliver(d)
	}
	node.inbox = nil
}

func (n *network) send(from fleet.HostID, sends []fleet.Send) {
	for _, send := range sends {
		b, err := cbor.Marshal(send.Message)
		if err != nil {
			panic(err)
		}
		n.nodes[from].bytes += len(b) + overhead
		if _, ok := send.Message.(*membership.Snapshot); !ok {
			n.nodes[from].maxUnsolicited = max(n.nodes[from].maxUnsolicited, len(b)+overhead)
		}
		if n.random.Float64() < n.loss || (n.blocked != nil && n.blocked(from, send.To)) {
			continue
		}
		arrival := n.now.Add(n.delay(from, send.To))
		n.pending[arrival] = append(n.pending[arrival], delivery{send.To, from, decoded(send.Message, b)})
	}
}

// decoded returns the message that a receiver decodes from b.
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

// seesLive reports whether other is live in the table of host id.
func (n *network) seesLive(id, other fleet.HostID) bool {
	_, found := slices.BinarySearchFunc(n.nodes[id].table.Live(), other, func(h fleet.Host, id fleet.HostID) int {
		return strings.Compare(string(h.ID), string(id))
	})
	return found
}

// agreed reports whether the live hosts in the table of every running host are
// exactly the running hosts for which want returns true.
func (n *network) agreed(want func(observer, other fleet.HostID) bool) bool {
	for _, observer := range n.order {
		if n.nodes[observer].down || n.nodes[observer].paused {
			continue
		}
		count := 0
		for _, other := range n.order {
			if n.nodes[other].down || n.nodes[other].paused || !want(observer, other) {
				continue
			}
			count++
			if !n.seesLive(observer, other) {
				return false
			}
		}
		if count != len(n.nodes[observer].table.Live()) {
			return false
		}
	}
	return true
}

// sameSide reports whether both hosts or neither of them are in the first data
// centre.
func sameSide(a, b fleet.HostID) bool { return (a[5] == 'a') == (b[5] == 'a') }

func acrossSides(from, to fleet.HostID) bool { return !sameSide(from, to) }

func (n *network) converged() bool {
	return n.agreed(func(_, _ fleet.HostID) bool { return true })
}

func (n *network) total(f func(membership.Counts) uint64) (sum uint64) {
	for _, node := range n.nodes {
		sum += f(node.table.Counts())
	}
	return sum
}

func (n *network) bytes() (sum int) {
	for _, node := range n.nodes {
		sum += node.bytes
	}
	return sum
}

func (n *network) settled(s membership.State) bool {
	for _, id := range n.order {
		if node := n.nodes[id]; !node.down && !node.table.Settled(n.now, s) {
			return false
		}
	}
	return true
}
