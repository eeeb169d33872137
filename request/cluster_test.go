package request_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/google/uuid"

	"github.com/rattanthread/rattanthread/config"
	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/request"
)

var epoch = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

// Short times keep the virtual runs short.
var testLimits = request.Limits{
	LeaseTime:   400 * time.Millisecond,
	MaxSkew:     200 * time.Millisecond,
	GiveUpAfter: 800 * time.Millisecond,
	RunValidity: 800 * time.Millisecond,
	RunGrace:    200 * time.Millisecond,
	MoveMargin:  1200 * time.Millisecond,
}

const (
	tickEvery    = 100 * time.Millisecond
	detectAfter  = 300 * time.Millisecond // until a lost host leaves the views
	confirmFor   = 600 * time.Millisecond // how long a confirmation holds
	publishDelay = 50 * time.Millisecond
)

// cluster carries messages between Keys in virtual time, and counts runs.
type cluster struct {
	rng     *rand.Rand
	now     time.Time
	queue   []event
	serial  int
	nodes   []*node
	centres []config.DataCentre
	side    map[fleet.HostID]int // hosts of different sides cannot talk; 0 can reach the platform
	lossy   bool
	onStep  func(step int)
	steps   int // messages about requests delivered since watch
	watch   bool
	reports int // result reports sent
	runs    map[string]int
	told    []string
	errs    []string
}

type event struct {
	at     time.Time
	serial int
	do     func()
}

// node is one entry host.
type node struct {
	id       fleet.HostID
	centre   fleet.DataCentreID
	life     fleet.Incarnation
	keys     *request.Keys
	up       bool
	paused   bool
	inbox    []func()
	seen     map[fleet.HostID]time.Time
	centres  []config.DataCentre
	platform time.Time
}

func newCluster(seed uint64, centres, hosts int) *cluster {
	c := &cluster{
		rng:  rand.New(rand.NewPCG(seed, 1)),
		now:  epoch,
		side: make(map[fleet.HostID]int),
		runs: make(map[string]int),
	}
	for i := range centres {
		name := fleet.DataCentreID('a' + rune(i))
		c.centres = append(c.centres, config.DataCentre{Name: name, State: config.StateIn})
		for j := range hosts {
			c.nodes = append(c.nodes, &node{id: fleet.HostID(fmt.Sprintf("%s%d", name, j)), centre: name})
		}
	}
	for _, n := range c.nodes {
		c.boot(n)
	}
	c.run(1500 * time.Millisecond)
	return c
}

// boot starts a new life of a host.
func (c *cluster) boot(n *node) {
	n.life++
	n.up, n.paused, n.inbox = true, false, nil
	n.keys = &request.Keys{Limits: testLimits}
	n.seen = make(map[fleet.HostID]time.Time)
	n.centres, n.platform = c.centres, c.now
	c.tick(n, n.life)
}

func (c *cluster) tick(n *node, life fleet.Incarnation) {
	if !n.up || n.life != life {
		return
	}
	c.after(tickEvery, func() { c.tick(n, life) })
	if n.paused {
		return
	}
	c.install(n)
	c.apply(n, n.keys.Tick(c.now))
}

func (c *cluster) install(n *node) {
	if c.side[n.id] == 0 {
		n.platform = c.now
		centres := c.centres
		c.after(publishDelay, func() { n.centres = centres })
	}
	v := request.View{
		Self:           n.id,
		DataCentre:     n.centre,
		Centres:        n.centres,
		Confirmed:      true,
		ConfirmedUntil: n.platform.Add(confirmFor),
	}
	for _, peer := range c.nodes {
		if peer.up && !peer.paused && c.side[peer.id] == c.side[n.id] {
			n.seen[peer.id] = c.now
		}
		if at, ok := n.seen[peer.id]; ok && c.now.Sub(at) < detectAfter {
			v.Hosts = append(v.Hosts, fleet.Host{ID: peer.id, DataCentre: peer.centre, Incarnation: peer.life})
		}
	}
	c.apply(n, n.keys.Install(c.now, v))
}

func (c *cluster) after(d time.Duration, do func()) {
	c.serial++
	e := event{c.now.Add(d), c.serial, do}
	at, _ := slices.BinarySearchFunc(c.queue, e, func(a, b event) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.serial, b.serial))
	})
	c.queue = slices.Insert(c.queue, at, e)
}

func (c *cluster) run(d time.Duration) {
	end := c.now.Add(d)
	for len(c.queue) > 0 && !c.queue[0].at.After(end) {
		e := c.queue[0]
		c.queue = c.queue[1:]
		c.now = e.at
		e.do()
	}
	c.now = end
}

// on runs do at the host: at once, after its pause, or never if that life is over.
func (c *cluster) on(n *node, life fleet.Incarnation, do func()) {
	switch {
	case !n.up || n.life != life:
	case n.paused:
		n.inbox = append(n.inbox, func() { c.on(n, life, do) })
	default:
		do()
	}
}

func (c *cluster) apply(n *node, e request.Effects) {
	for _, s := range e.Sends {
		c.carry(n, s)
	}
	for _, v := range e.Verdicts {
		c.verdict(n, v)
	}
}

func (c *cluster) carry(from *node, s fleet.Send) {
	if _, ok := s.Message.(*request.ResultReport); ok {
		c.reports++
	}
	copies := 1
	if c.lossy {
		copies = []int{0, 1, 1, 1, 2}[c.rng.IntN(5)]
	}
	to := c.node(s.To)
	for range copies {
		delay := time.Duration(1+c.rng.IntN(8)) * time.Millisecond
		if c.lossy && c.rng.IntN(10) == 0 {
			delay += time.Duration(c.rng.IntN(900)) * time.Millisecond
		}
		life := to.life
		c.after(delay, func() {
			if c.side[from.id] != c.side[to.id] {
				return
			}
			c.on(to, life, func() { c.deliver(from, to, s.Message) })
		})
	}
}

func (c *cluster) deliver(from, to *node, m fleet.Message) {
	if c.watch && isAboutRequest(m) {
		c.steps++
		if c.onStep != nil {
			c.onStep(c.steps)
		}
		if !to.up || to.paused || c.side[from.id] != c.side[to.id] {
			return
		}
	}
	c.apply(to, to.keys.Receive(c.now, from.id, m))
}

func isAboutRequest(m fleet.Message) bool {
	switch m.(type) {
	case *request.ClaimAsk, *request.ClaimAnswer, *request.ClaimCopy, *request.ClaimCopied, *request.ResultReport, *request.ResultAck:
		return true
	}
	return false
}

// verdict plays the part of the door and of the backend server.
func (c *cluster) verdict(n *node, v request.Verdict) {
	key := keyOf[v.Attempt]
	c.told = append(c.told, string(v.Decision))
	switch {
	case v.Decision == request.DecisionReplay && c.runs[key] != 1:
		c.errs = append(c.errs, fmt.Sprintf("replay of a request that ran %d times", c.runs[key]))
	case v.Decision == request.DecisionRefused && v.Earlier == request.EarlierNone && c.runs[key] != 0:
		c.errs = append(c.errs, "refusal says that no earlier attempt ran, but one did")
	case v.Decision == request.DecisionRun:
		life := n.life
		c.after(time.Duration(c.rng.IntN(30))*time.Millisecond, func() {
			c.on(n, life, func() { c.send(n, v, key) })
		})
	}
}

func (c *cluster) send(n *node, v request.Verdict, key string) {
	outcome := []request.Outcome{request.Answered, request.Answered, request.Refused, request.Unknown}[c.rng.IntN(4)]
	if !c.now.Before(v.ValidUntil) {
		outcome = request.Refused
	}
	if outcome != request.Refused {
		c.runs[key]++
	}
	life := n.life
	c.after(time.Duration(c.rng.IntN(60))*time.Millisecond, func() {
		c.on(n, life, func() {
			r := request.Result{Outcome: outcome, Reason: "test", Answer: request.Answer{Status: 200, BodyKept: true}}
			c.apply(n, n.keys.Report(c.now, v.Attempt, r))
		})
	})
}

// keyOf is filled by call; attempts are unique within one run, and tests of
// this package do not run in parallel.
var keyOf = map[request.AttemptID]string{}

// call lets a caller send a request to a host.
func (c *cluster) call(n *node, key request.Key) {
	if !n.up || n.paused {
		return
	}
	id, e := n.keys.Claim(c.now, request.ClaimRequest{Key: key, Service: "orders", Deadline: c.now.Add(1500 * time.Millisecond)})
	keyOf[id] = key.String()
	c.apply(n, e)
}

func (c *cluster) node(id fleet.HostID) *node {
	for _, n := range c.nodes {
		if n.id == id {
			return n
		}
	}
	return nil
}

// newKey issues a key by a clock that is off by skew.
func (c *cluster) newKey(skew time.Duration) request.Key {
	var id uuid.UUID
	ms := c.now.Add(skew).UnixMilli()
	for i := range 6 {
		id[i] = byte(ms >> (40 - 8*i))
	}
	for i := 6; i < 16; i++ {
		id[i] = byte(c.rng.Uint32())
	}
	id[6], id[8] = id[6]&0x0f|0x70, id[8]&0x3f|0x80
	return request.Key{ID: id}
}

// roles returns the home, and the owner and the successor of a key there.
func (c *cluster) roles(key request.Key) (home fleet.DataCentreID, owner, successor *node) {
	var in []fleet.HostID
	for _, centre := range c.centres {
		if centre.State != config.StateOut {
			in = append(in, fleet.HostID(centre.Name))
		}
	}
	home = fleet.DataCentreID(fleet.Rendezvous("home/"+key.ID.String(), in))
	var hosts []fleet.HostID
	for _, n := range c.nodes {
		if n.centre == home {
			hosts = append(hosts, n.id)
		}
	}
	o, s := fleet.RendezvousPair("key/"+key.String(), hosts)
	return home, c.node(o), c.node(s)
}
