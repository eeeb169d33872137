package rollout_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/rattanthread/rattanthread/config"
	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/rollout"
)

// overheadBytes is the size of a message without its body: the envelope of package
// peer, and the TCP and IPv4 headers.
const overheadBytes = 80 + 52

const tickInterval = 50 * time.Millisecond

type delivery struct {
	to, from fleet.HostID
	message  fleet.Message
}

// testNetwork delivers messages between followers in virtual time. Every half
// second it offers the configuration of the platform to the followers of readers.
type testNetwork struct {
	now       time.Time
	random    *rand.Rand
	limits    rollout.Limits
	hosts     []fleet.Host
	followers map[fleet.HostID]*rollout.Follower
	pending   map[time.Time][]delivery
	bytes     int                              // sent, including lost messages
	loss      float64                          // probability that a message is lost
	blocked   func(from, to fleet.HostID) bool // reports whether messages are lost; may be nil
	platform  func(fleet.HostID) (config.PublishedSet, bool)
	// onAdopt is called when the configuration in force on a host changes. It may be nil.
	onAdopt func(id fleet.HostID, before, after config.PublishedSet)
}

func newNetwork(seed uint64, hosts, dataCentres int, limits rollout.Limits) *testNetwork {
	network := &testNetwork{
		now:       time.Unix(1_700_000_000, 0).UTC(),
		random:    rand.New(rand.NewPCG(seed, 0)),
		limits:    limits,
		followers: make(map[fleet.HostID]*rollout.Follower),
		pending:   make(map[time.Time][]delivery),
		platform:  func(fleet.HostID) (config.PublishedSet, bool) { return config.PublishedSet{}, false },
	}
	for i := range hosts {
		network.hosts = append(network.hosts, fleet.Host{
			ID:         fleet.HostID(fmt.Sprintf("host-%c%03d", 'a'+i%dataCentres, i)),
			DataCentre: fleet.DataCentreID(fmt.Sprintf("centre-%c", 'a'+i%dataCentres)),
		})
	}
	slices.SortFunc(network.hosts, func(a, b fleet.Host) int { return strings.Compare(string(a.ID), string(b.ID)) })
	for _, h := range network.hosts {
		network.restart(h)
	}
	return network
}

func (n *testNetwork) restart(h fleet.Host) *rollout.Follower {
	f := &rollout.Follower{
		Self: h.ID, DataCentre: h.DataCentre, Limits: n.limits,
		Random: rand.New(rand.NewPCG(n.random.Uint64(), 1)),
	}
	f.Install(n.now, n.hosts)
	n.followers[h.ID] = f
	return f
}

func (n *testNetwork) run(d time.Duration) {
	n.runUntil(d, func() bool { return false })
}

// runUntil advances the network until done returns true, by at most d, and returns
// the elapsed time.
func (n *testNetwork) runUntil(d time.Duration, done func() bool) time.Duration {
	start := n.now
	for n.now.Sub(start) < d && !done() {
		n.step()
	}
	return n.now.Sub(start)
}

func (n *testNetwork) step() {
	n.now = n.now.Add(time.Millisecond)
	arrived := n.pending[n.now]
	delete(n.pending, n.now)
	for _, d := range arrived {
		n.handle(d.to, func(f *rollout.Follower) []fleet.Send { return f.Receive(n.now, d.from, d.message) })
	}
	ms := n.now.UnixMilli()
	for i, h := range n.hosts {
		if (ms+int64(i)*7)%tickInterval.Milliseconds() == 0 {
			n.handle(h.ID, func(f *rollout.Follower) []fleet.Send { return f.Tick(n.now) })
		}
		if r, ok := n.platform(h.ID); ok && (ms+int64(i)*31)%500 == 0 && n.followers[h.ID].IsReader() {
			n.handle(h.ID, func(f *rollout.Follower) []fleet.Send { return f.Offer(n.now, r) })
		}
	}
}

// handle runs one event of a follower and sends the messages that it returns.
func (n *testNetwork) handle(id fleet.HostID, event func(*rollout.Follower) []fleet.Send) {
	follower := n.followers[id]
	before, _ := follower.InForce()
	sends := event(follower)
	after, _ := follower.InForce()
	if n.onAdopt != nil && (after.Revision != before.Revision || after.History != before.History) {
		n.onAdopt(id, before, after)
	}
	for _, send := range sends {
		encoded, err := cbor.Marshal(send.Message)
		if err != nil {
			panic(err)
		}
		n.bytes += len(encoded) + overheadBytes
		if n.random.Float64() < n.loss || (n.blocked != nil && n.blocked(id, send.To)) {
			continue
		}
		at := n.now.Add(time.Duration(1+n.random.IntN(4)) * time.Millisecond)
		copied := reflect.New(reflect.TypeOf(send.Message).Elem()).Interface().(fleet.Message)
		if err := cbor.Unmarshal(encoded, copied); err != nil {
			panic(err)
		}
		n.pending[at] = append(n.pending[at], delivery{send.To, id, copied})
	}
}

func (n *testNetwork) allInForce(r fleet.Revision) bool {
	for _, f := range n.followers {
		if c, _ := f.InForce(); c.Revision != r {
			return false
		}
	}
	return true
}

// newRevision returns a revision of a history. Every revision k up to it has set the
// weight of server k%servers to 100+k.
func newRevision(history fleet.HistoryID, revision fleet.Revision, servers int) config.PublishedSet {
	set := config.Set{DataCentres: []config.DataCentre{{Name: "centre-a", Region: "north"}}}
	for i := range max(1, servers/4) {
		set.Services = append(set.Services, config.Service{
			Name:    fleet.ServiceName(fmt.Sprintf("service-%04d", i)),
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, byte(i >> 8), byte(i)}), 443),
			Kind:    config.KindFlow, Protocol: "tcp",
		})
	}
	for i := range servers {
		set.Servers = append(set.Servers, config.Server{
			Name:    fleet.ServerID(fmt.Sprintf("server-%05d", i)),
			Service: set.Services[i%len(set.Services)].Name, DataCentre: "centre-a",
			Address:       netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 8000),
			HealthAddress: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 9000),
			Weight:        100, MaxConnections: 2000,
		})
	}
	for k := fleet.Revision(1); k <= revision; k++ {
		set.Servers[int(k)%servers].Weight = 100 + fleet.Weight(k)
	}
	return config.PublishedSet{
		History: history, Revision: revision, Publication: fmt.Sprintf("%s-%d", history, revision),
		Published: time.Unix(1_600_000_000+int64(revision), 0).UTC(), Set: set.Normalised(),
	}
}
