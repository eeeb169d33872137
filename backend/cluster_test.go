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

func (c *cluster) boot(node *node) {
	node.pool, node.up, node.paused = &backend.Pool{}, true, false
	node.incarnation++
	node.lastSeen = make(map[fleet.HostID]time.Time)
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

func (c *cluster) runNode(node *node) {
	c.install(node)
	c.send(node, node.pool.Tick(c.now))
	for range 3 {
		if !node.pool.Credit().Take(c.now, "s1") {
			continue
		}
		c.workTimes = append(c.workTimes, c.now)
		if c.servesWork {
			c.send(node, node.pool.Observe(c.now, backend.Evidence{Server: "s1", Kind: backend.EvidenceServed}))
		}
	}
}

func (c *cluster) install(node *node) {
	view := backend.View{Self: node.id, Servers: c.servers, Excluded: c.excluded}
	for _, peer := range c.nodes {
		if peer.up && !peer.paused && c.partition[peer.id] == c.partition[node.id] {
			node.lastSeen[peer.id] = c.now
		}
		if at, ok := node.lastSeen[peer.id]; ok && c.now.Sub(at) < detectionTime {
			view.Hosts = append(view.Hosts, peer.id)
		}
	}
	slices.Sort(view.Hosts)
	c.send(node, node.pool.Install(c.now, view))
}

// send queues messages for delivery. It drops one message in ten, duplicates some and
// delays some by up to 1.16 s.
func (c *cluster) send(from *node, sends []fleet.Send) {
	for _, send := range sends {
		for _, to := range c.nodes {
			if to.id != send.To || c.rng.IntN(10) == 0 {
				continue
			}
			for range 1 + c.rng.IntN(10)/9 {
				delay := time.Duration(c.rng.IntN(30)) * time.Millisecond
				if c.rng.IntN(20) == 0 {
					delay *= 40
				}
				c.queue = append(c.queue, envelope{c.now.Add(delay), from, to, to.incarnation, send.Message})
			}
		}
	}
}

func (c *cluster) deliver() {
	queue := c.queue
	c.queue = nil
	for _, envelope := range queue {
		switch {
		case envelope.at.After(c.now) || envelope.to.paused:
			c.queue = append(c.queue, envelope)
		case envelope.to.up && envelope.incarnation == envelope.to.incarnation && c.partition[envelope.from.id] == c.partition[envelope.to.id]:
			c.send(envelope.to, envelope.to.pool.Receive(c.now, envelope.from.id, envelope.message))
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
