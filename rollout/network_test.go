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

// overhead is the size of what surrounds the body of a message: the envelope of
// package peer, and the headers of TCP and IPv4.
const overhead = 80 + 52

const tickEvery = 50 * time.Millisecond

type delivery struct {
	to, from fleet.HostID
	message  fleet.Message
}

// network carries messages between followers in virtual time. Every follower of
// a reader is offered what the platform holds every half second.
type network struct {
	now       time.Time
	random    *rand.Rand
	limits    rollout.Limits
	hosts     []fleet.Host
	followers map[fleet.HostID]*rollout.Follower
	pending   map[time.Time][]delivery
	bytes     int
	loss      float64
	cut       func(from, to fleet.HostID) bool // may be nil
	platform  func(fleet.HostID) (config.Revised, bool)
	// adopted is called when what a follower has in force changes. It may be nil.
	adopted func(id fleet.HostID, before, after config.Revised)
}

func newNetwork(seed uint64, hosts, centres int, limits rollout.Limits) *network {
	n := &network{
		now:       time.Unix(1_700_000_000, 0).UTC(),
		random:    rand.New(rand.NewPCG(seed, 0)),
		limits:    limits,
		followers: make(map[fleet.HostID]*rollout.Follower),
		pending:   make(map[time.Time][]delivery),
		platform:  func(fleet.HostID) (config.Revised, bool) { return config.Revised{}, false },
	}
	for i := range hosts {
		n.hosts = append(n.hosts, fleet.Host{
			ID:         fleet.HostID(fmt.Sprintf("host-%c%03d", 'a'+i%centres, i)),
			DataCentre: fleet.DataCentreID(fmt.Sprintf("centre-%c", 'a'+i%centres)),
		})
	}
	slices.SortFunc(n.hosts, func(a, b fleet.Host) int { return strings.Compare(string(a.ID), string(b.ID)) })
	for _, h := range n.hosts {
		n.restart(h)
	}
	return n
}

func (n *network) restart(h fleet.Host) *rollout.Follower {
	f := &rollout.Follower{
		Self: h.ID, DataCentre: h.DataCentre, Limits: n.limits,
		Random: rand.New(rand.NewPCG(n.random.Uint64(), 1)),
	}
	f.Install(n.now, n.hosts)
	n.followers[h.ID] = f
	return f
}

func (n *network) run(d time.Duration) {
	n.until(d, func() bool { return false })
}

// until advances the network by at most d, until done holds, and returns the time passed.
func (n *network) until(d time.Duration, done func() bool) time.Duration {
	start := n.now
	for n.now.Sub(start) < d && !done() {
		n.step()
	}
	return n.now.Sub(start)
}

func (n *network) step() {
	n.now = n.now.Add(time.Millisecond)
	arrived := n.pending[n.now]
	delete(n.pending, n.now)
	for _, d := range arrived {
		n.with(d.to, func(f *rollout.Follower) []fleet.Send { return f.Receive(n.now, d.from, d.message) })
	}
	ms := n.now.UnixMilli()
	for i, h := range n.hosts {
		if (ms+int64(i)*7)%tickEvery.Milliseconds() == 0 {
			n.with(h.ID, func(f *rollout.Follower) []fleet.Send { return f.Tick(n.now) })
		}
		if r, ok := n.platform(h.ID); ok && (ms+int64(i)*31)%500 == 0 && n.followers[h.ID].IsReader() {
			n.with(h.ID, func(f *rollout.Follower) []fleet.Send { return f.Offer(n.now, r) })
		}
	}
}

// with runs one event of a follower and sends what it returns.
func (n *network) with(id fleet.HostID, event func(*rollout.Follower) []fleet.Send) {
	f := n.followers[id]
	before, _ := f.InForce()
	sends := event(f)
	after, _ := f.InForce()
	if n.adopted != nil && (after.Revision != before.Revision || after.History != before.History) {
		n.adopted(id, before, after)
	}
	for _, s := range sends {
		b, err := cbor.Marshal(s.Message)
		if err != nil {
			panic(err)
		}
		n.bytes += len(b) + overhead
		if n.random.Float64() < n.loss || (n.cut != nil && n.cut(id, s.To)) {
			continue
		}
		at := n.now.Add(time.Duration(1+n.random.IntN(4)) * time.Millisecond)
		copied := reflect.New(reflect.TypeOf(s.Message).Elem()).Interface().(fleet.Message)
		if err := cbor.Unmarshal(b, copied); err != nil {
			panic(err)
		}
		n.pending[at] = append(n.pending[at], delivery{s.To, id, copied})
	}
}

func (n *network) inForce(r fleet.Revision) bool {
	for _, f := range n.followers {
		if c, _ := f.InForce(); c.Revision != r {
			return false
		}
	}
	return true
}

// revised returns revision r of a history: a set in which server r%servers has
// been given weight r.
func revised(history fleet.HistoryID, r fleet.Revision, servers int) config.Revised {
	s := config.Set{DataCentres: []config.DataCentre{{Name: "centre-a", Region: "north"}}}
	for i := range max(1, servers/4) {
		s.Services = append(s.Services, config.Service{
			Name:    fleet.ServiceName(fmt.Sprintf("service-%04d", i)),
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, byte(i >> 8), byte(i)}), 443),
			Kind:    config.KindFlow, Protocol: "tcp",
		})
	}
	for i := range servers {
		s.Servers = append(s.Servers, config.Server{
			Name:    fleet.ServerID(fmt.Sprintf("server-%05d", i)),
			Service: s.Services[i%len(s.Services)].Name, DataCentre: "centre-a",
			Address:       netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 8000),
			HealthAddress: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 9000),
			Weight:        100, MaxConnections: 2000,
		})
	}
	for k := fleet.Revision(1); k <= r; k++ {
		s.Servers[int(k)%servers].Weight = 100 + fleet.Weight(k)
	}
	return config.Revised{
		History: history, Revision: r, Publication: fmt.Sprintf("%s-%d", history, r),
		Published: time.Unix(1_600_000_000+int64(r), 0).UTC(), Set: s.Normalised(),
	}
}
