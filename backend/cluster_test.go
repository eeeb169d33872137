package backend_test

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rattanthread/rattanthread/backend"
	"github.com/rattanthread/rattanthread/config"
	"github.com/rattanthread/rattanthread/fleet"
)

var epoch = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

const (
	timeStep      = 20 * time.Millisecond
	detectionTime = 400 * time.Millisecond // until a lost host is removed from the views
)

// cluster delivers messages between Pools in virtual time. Every host sends work to
// server s1 whenever it has credit.
type cluster struct {
	rng        *rand.Rand
	now        time.Time
	nodes      []*node
	queue      []envelope
	partition  map[fleet.HostID]int
	servers    []config.Server
	excluded   map[fleet.ServerID]bool
	servesWork bool // s1 serves the work that it receives
	workTimes  []time.Time
}

type envelope struct {
	at          time.Time
	from, to    *node
	incarnation int
	message     fleet.Message
}

type node struct {
	id          fleet.HostID
	pool        *backend.Pool
	incarnation int
	up          bool
	paused      bool
	lastSeen    map[fleet.HostID]time.Time
}

func newCluster(seed uint64, hosts int) *cluster {
	c := &cluster{
		rng:       rand.New(rand.NewPCG(seed, 3)),
		now:       epoch,
		partition: make(map[fleet.HostID]int),
		servers:   []config.Server{{Name: "s1", Weight: 100, ColdRate: coldRate, WarmupTime: 10 * time.Second}},
	}
	for i := range hosts {
		c.add(fleet.HostID("h" + string(rune('0'+i))))
	}
	return c
}

const coldRate = 30.0

func (c *cluster) add(id fleet.HostID) *node {
	n := &node{id: id}
	c.nodes = append(c.nodes, n)
	c.boot(n)
	return n
}

func (c *cluster) boot(n *node) {
	n.pool, n.up, n.paused = &backend.Pool{}, true, false
	n.incarnation++
	n.lastSeen = make(map[fleet.HostID]time.Time)
}

func (c *cluster) allocator() *node {
	for _, n := range c.nodes {
		if n.up && slices.Contains(n.pool.ServersToProbe(), "s1") {
			return n
		}
	}
	return c.nodes[0]
}

func (c *cluster) run(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); c.now = c.now.Add(timeStep) {
		c.deliver()
		for _, n := range c.nodes {
			if n.up && !n.paused {
				c.runNode(n)
			}
		}
	}
}

func (c *cluster) runNode(n *node) {
	c.install(n)
	c.send(n, n.pool.Tick(c.now))
	for range 3 {
		if !n.pool.Credit().Take(c.now, "s1") {
			continue
		}
		c.workTimes = append(c.workTimes, c.now)
		if c.servesWork {
			c.send(n, n.pool.Observe(c.now, backend.Evidence{Server: "s1", Kind: backend.EvidenceServed}))
		}
	}
}

func (c *cluster) install(n *node) {
	v := backend.View{Self: n.id, Servers: c.servers, Excluded: c.excluded}
	for _, peer := range c.nodes {
		if peer.up && !peer.paused && c.partition[peer.id] == c.partition[n.id] {
			n.lastSeen[peer.id] = c.now
		}
		if at, ok := n.lastSeen[peer.id]; ok && c.now.Sub(at) < detectionTime {
			v.Hosts = append(v.Hosts, peer.id)
		}
	}
	slices.Sort(v.Hosts)
	c.send(n, n.pool.Install(c.now, v))
}

// send queues messages for delivery. It drops one message in ten, duplicates some and
// delays some by up to 1.16 s.
func (c *cluster) send(from *node, sends []fleet.Send) {
	for _, s := range sends {
		for _, to := range c.nodes {
			if to.id != s.To || c.rng.IntN(10) == 0 {
				continue
			}
			for range 1 + c.rng.IntN(10)/9 {
				delay := time.Duration(c.rng.IntN(30)) * time.Millisecond
				if c.rng.IntN(20) == 0 {
					delay *= 40
				}
				c.queue = append(c.queue, envelope{c.now.Add(delay), from, to, to.incarnation, s.Message})
			}
		}
	}
}

func (c *cluster) deliver() {
	queue := c.queue
	c.queue = nil
	for _, e := range queue {
		switch {
		case e.at.After(c.now) || e.to.paused:
			c.queue = append(c.queue, e)
		case e.to.up && e.incarnation == e.to.incarnation && c.partition[e.from.id] == c.partition[e.to.id]:
			c.send(e.to, e.to.pool.Receive(c.now, e.from.id, e.message))
		}
	}
}

// maxWorkPerSecond returns the largest amount of work sent within one second.
func (c *cluster) maxWorkPerSecond() int {
	highest, first := 0, 0
	for i, at := range c.workTimes {
		for at.Sub(c.workTimes[first]) >= time.Second {
			first++
		}
		highest = max(highest, i-first+1)
	}
	return highest
}

func (c *cluster) admissions() map[backend.Admission]int {
	counts := make(map[backend.Admission]int)
	for _, n := range c.nodes {
		if n.up {
			counts[n.pool.Admission("s1")]++
		}
	}
	return counts
}
