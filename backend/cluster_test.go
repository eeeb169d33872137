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
	step        = 20 * time.Millisecond
	detectAfter = 400 * time.Millisecond // until a lost host leaves the views
)

// cluster carries messages between Pools in virtual time. Every host gives
// work to server s1 whenever it has credit.
type cluster struct {
	rng     *rand.Rand
	now     time.Time
	nodes   []*node
	mail    []letter
	side    map[fleet.HostID]int
	servers []config.Server
	out     map[fleet.ServerID]bool
	served  bool // the server does the work that it gets
	takes   []time.Time
}

type letter struct {
	at       time.Time
	from, to *node
	life     int
	message  fleet.Message
}

type node struct {
	id     fleet.HostID
	pool   *backend.Pool
	life   int
	up     bool
	paused bool
	seen   map[fleet.HostID]time.Time
}

func newCluster(seed uint64, hosts int) *cluster {
	c := &cluster{
		rng:     rand.New(rand.NewPCG(seed, 3)),
		now:     epoch,
		side:    make(map[fleet.HostID]int),
		servers: []config.Server{{Name: "s1", Weight: 100, ColdRate: coldRate, WarmupTime: 10 * time.Second}},
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
	n.life++
	n.seen = make(map[fleet.HostID]time.Time)
}

func (c *cluster) keeper() *node {
	for _, n := range c.nodes {
		if n.up && slices.Contains(n.pool.Keeps(), "s1") {
			return n
		}
	}
	return c.nodes[0]
}

func (c *cluster) run(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); c.now = c.now.Add(step) {
		c.deliver()
		for _, n := range c.nodes {
			if n.up && !n.paused {
				c.work(n)
			}
		}
	}
}

func (c *cluster) work(n *node) {
	c.install(n)
	c.send(n, n.pool.Tick(c.now))
	for range 3 {
		if !n.pool.Credit().Take(c.now, "s1") {
			continue
		}
		c.takes = append(c.takes, c.now)
		if c.served {
			c.send(n, n.pool.Observe(c.now, backend.Evidence{Server: "s1", Kind: backend.EvidenceServed}))
		}
	}
}

func (c *cluster) install(n *node) {
	v := backend.View{Self: n.id, Servers: c.servers, Excluded: c.out}
	for _, peer := range c.nodes {
		if peer.up && !peer.paused && c.side[peer.id] == c.side[n.id] {
			n.seen[peer.id] = c.now
		}
		if at, ok := n.seen[peer.id]; ok && c.now.Sub(at) < detectAfter {
			v.Hosts = append(v.Hosts, peer.id)
		}
	}
	slices.Sort(v.Hosts)
	c.send(n, n.pool.Install(c.now, v))
}

// send loses one message in ten, repeats some, and delays some for long.
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
				c.mail = append(c.mail, letter{c.now.Add(delay), from, to, to.life, s.Message})
			}
		}
	}
}

func (c *cluster) deliver() {
	mail := c.mail
	c.mail = nil
	for _, l := range mail {
		switch {
		case l.at.After(c.now) || l.to.paused:
			c.mail = append(c.mail, l)
		case l.to.up && l.life == l.to.life && c.side[l.from.id] == c.side[l.to.id]:
			c.send(l.to, l.to.pool.Receive(c.now, l.from.id, l.message))
		}
	}
}

// busiest returns the most work that was given within one second.
func (c *cluster) busiest() int {
	most, first := 0, 0
	for i, at := range c.takes {
		for at.Sub(c.takes[first]) >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

func (c *cluster) admissions() map[backend.Admission]int {
	seen := make(map[backend.Admission]int)
	for _, n := range c.nodes {
		if n.up {
			seen[n.pool.Admission("s1")]++
		}
	}
	return seen
}
