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

// testLimits shortens all times, so that simulated runs stay short.
var testLimits = request.Limits{
	LeaseDuration:     400 * time.Millisecond,
	MaxSkew:           200 * time.Millisecond,
	OwnerTimeout:      800 * time.Millisecond,
	RunValidity:       800 * time.Millisecond,
	ResultGracePeriod: 200 * time.Millisecond,
	HomeChangeMargin:  1200 * time.Millisecond,
}

const (
	tickInterval         = 100 * time.Millisecond
	detectionDelay       = 300 * time.Millisecond // until a failed host is removed from the views
	confirmationDuration = 600 * time.Millisecond // how long a confirmation is valid
	publishDelay         = 50 * time.Millisecond
)

// cluster delivers messages between KeyTrackers in simulated time and counts runs.
type cluster struct {
	rng         *rand.Rand
	now         time.Time
	queue       []event
	sequence    int
	nodes       []*node
	dataCentres []config.DataCentre
	// partition assigns hosts to network partitions. Hosts of different partitions
	// cannot communicate, and only partition 0 reaches the platform.
	partition map[fleet.HostID]int
	lossy     bool
	onStep    func(step int)
	steps     int // request messages delivered while counting is set
	counting  bool
	reports   int // result reports sent
	runs      map[string]int
	decisions []string
	errs      []string
}

type event struct {
	at       time.Time
	sequence int
	run      func()
}

// node is one entry host.
type node struct {
	id           fleet.HostID
	dataCentre   fleet.DataCentreID
	incarnation  fleet.Incarnation
	keys         *request.KeyTracker
	up           bool
	paused       bool
	inbox        []func()
	lastSeen     map[fleet.HostID]time.Time
	dataCentres  []config.DataCentre
	platformSeen time.Time
}

func newCluster(seed uint64, dataCentres, hosts int) *cluster {
	cluster := &cluster{
		rng:       rand.New(rand.NewPCG(seed, 1)),
		now:       epoch,
		partition: make(map[fleet.HostID]int),
		runs:      make(map[string]int),
	}
	for i := range dataCentres {
		name := fleet.DataCentreID('a' + rune(i))
		cluster.dataCentres = append(cluster.dataCentres, config.DataCentre{Name: name, State: config.StateIn})
		for j := range hosts {
			cluster.nodes = append(cluster.nodes, &node{id: fleet.HostID(fmt.Sprintf("%s%d", name, j)), dataCentre: name})
		}
	}
	for _, n := range cluster.nodes {
		cluster.start(n)
	}
	cluster.run(1500 * time.Millisecond)
	return cluster
}

// start starts a new incarnation of a host.
func (c *cluster) start(node *node) {
	node.incarnation++
	node.up, node.paused, node.inbox = true, false, nil
	node.keys = &request.KeyTracker{Limits: testLimits}
	node.lastSeen = make(map[fleet.HostID]time.Time)
	node.dataCentres, node.platformSeen = c.dataCentres, c.now
	c.tick(node, node.incarnation)
}

func (c *cluster) tick(node *node, incarnation fleet.Incarnation) {
	if !node.up || node.incarnation != incarnation {
		return
	}
	c.after(tickInterval, func() { c.tick(node, incarnation) })
	if node.paused {
		return
	}
	c.install(node)
	c.apply(node, node.keys.Tick(c.now))
}

func (c *cluster) install(node *node) {
	if c.partition[node.id] == 0 {
		node.platformSeen = c.now
		dataCentres := c.dataCentres
		c.after(publishDelay, func() { node.dataCentres = dataCentres })
	}
	view := request.View{
		Self:           node.id,
		DataCentre:     node.dataCentre,
		DataCentres:    node.dataCentres,
		Confirmed:      true,
		ConfirmedUntil: node.platformSeen.Add(confirmationDuration),
	}
	for _, peer := range c.nodes {
		if peer.up && !peer.paused && c.partition[peer.id] == c.partition[node.id] {
			node.lastSeen[peer.id] = c.now
		}
		if at, ok := node.lastSeen[peer.id]; ok && c.now.Sub(at) < detectionDelay {
			view.Hosts = append(view.Hosts, fleet.Host{ID: peer.id, DataCentre: peer.dataCentre, Incarnation: peer.incarnation})
		}
	}
	c.apply(node, node.keys.Install(c.now, view))
}

func (c *cluster) after(d time.Duration, run func()) {
	c.sequence++
	e := event{c.now.Add(d), c.sequence, run}
	at, _ := slices.BinarySearchFunc(c.queue, e, func(a, b event) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.sequence, b.sequence))
	})
	c.queue = slices.Insert(c.queue, at, e)
}

func (c *cluster) run(d time.Duration) {
	end := c.now.Add(d)
	for len(c.queue) > 0 && !c.queue[0].at.After(end) {
		e := c.queue[0]
		c.queue = c.queue[1:]
		c.now = e.at
		e.run()
	}
	c.now = end
}

// runOn runs f at the host: at once, after its pause, or never if the incarnation
// has ended.
func (c *cluster) runOn(node *node, incarnation fleet.Incarnation, run func()) {
	switch {
	case !node.up || node.incarnation != incarnation:
	case node.paused:
		node.inbox = append(node.inbox, func() { c.runOn(node, incarnation, run) })
	default:
		run()
	}
}

func (c *cluster) apply(node *node, effects request.Effects) {
	for _, send := range effects.Sends {
		c.transmit(node, send)
	}
	for _, verdict := range effects.Verdicts {
		c.handleVerdict(node, verdict)
	}
}

func (c *cluster) transmit(from *node, send fleet.Send) {
	if _, ok := send.Message.(*request.ResultReport); ok {
		c.reports++
	}
	copies := 1
	if c.lossy {
		copies = []int{0, 1, 1, 1, 2}[c.rng.IntN(5)]
	}
	to := c.node(send.To)
	for range copies {
		delay := time.Duration(1+c.rng.IntN(8)) * time.Millisecond
		if c.lossy && c.rng.IntN(10) == 0 {
			delay += time.Duration(c.rng.IntN(900)) * time.Millisecond
		}
		incarnation := to.incarnation
		c.after(delay, func() {
			if c.partition[from.id] != c.partition[to.id] {
				return
			}
			c.runOn(to, incarnation, func() { c.deliver(from, to, send.Message) })
		})
	}
}

func (c *cluster) deliver(from, to *node, message fleet.Message) {
	if c.counting && isRequestMessage(message) {
		c.steps++
		if c.onStep != nil {
			c.onStep(c.steps)
		}
		if !to.up || to.paused || c.partition[from.id] != c.partition[to.id] {
			return
		}
	}
	c.apply(to, to.keys.Receive(c.now, from.id, message))
}

func isRequestMessage(m fleet.Message) bool {
	switch m.(type) {
	case *request.ClaimQuery, *request.ClaimResponse, *request.ClaimCopy, *request.ClaimCopyAck, *request.ResultReport, *request.ResultAck:
		return true
	}
	return false
}

// handleVerdict simulates the entry host's HTTP server and the backend server.
func (c *cluster) handleVerdict(node *node, verdict request.Verdict) {
	key := keyOf[verdict.Attempt]
	c.decisions = append(c.decisions, string(verdict.Decision))
	switch {
	case verdict.Decision == request.DecisionReplay && c.runs[key] != 1:
		c.errs = append(c.errs, fmt.Sprintf("replay of a request that ran %d times", c.runs[key]))
	case verdict.Decision == request.DecisionRefused && verdict.Earlier == request.EarlierNone && c.runs[key] != 0:
		c.errs = append(c.errs, "refusal reports that no earlier attempt ran, but one did")
	case verdict.Decision == request.DecisionRun:
		incarnation := node.incarnation
		c.after(time.Duration(c.rng.IntN(30))*time.Millisecond, func() {
			c.runOn(node, incarnation, func() { c.sendToServer(node, verdict, key) })
		})
	}
}

func (c *cluster) sendToServer(node *node, verdict request.Verdict, key string) {
	outcome := []request.Outcome{request.Answered, request.Answered, request.Refused, request.Unknown}[c.rng.IntN(4)]
	if !c.now.Before(verdict.ValidUntil) {
		outcome = request.Refused
	}
	if outcome != request.Refused {
		c.runs[key]++
	}
	incarnation := node.incarnation
	c.after(time.Duration(c.rng.IntN(60))*time.Millisecond, func() {
		c.runOn(node, incarnation, func() {
			r := request.Result{Outcome: outcome, Reason: "test", Answer: request.Answer{Status: 200, BodyKept: true}}
			c.apply(node, node.keys.Report(c.now, verdict.Attempt, r))
		})
	})
}

// keyOf is filled by call. Attempts are unique within one run, and tests of this
// package do not run in parallel.
var keyOf = map[request.AttemptID]string{}

// call sends a caller's request to a host.
func (c *cluster) call(node *node, key request.Key) {
	if !node.up || node.paused {
		return
	}
	id, effects := node.keys.Claim(c.now, request.ClaimRequest{Key: key, Service: "orders", Deadline: c.now.Add(1500 * time.Millisecond)})
	keyOf[id] = key.String()
	c.apply(node, effects)
}

func (c *cluster) node(id fleet.HostID) *node {
	for _, n := range c.nodes {
		if n.id == id {
			return n
		}
	}
	return nil
}

// newKey issues a key from a clock with the given skew.
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

// roles returns the home of a key, and its owner and successor there.
func (c *cluster) roles(key request.Key) (home fleet.DataCentreID, owner, successor *node) {
	var inService []fleet.HostID
	for _, dataCentre := range c.dataCentres {
		if dataCentre.State != config.StateOut {
			inService = append(inService, fleet.HostID(dataCentre.Name))
		}
	}
	home = fleet.DataCentreID(fleet.Rendezvous("home/"+key.ID.String(), inService))
	var hosts []fleet.HostID
	for _, n := range c.nodes {
		if n.dataCentre == home {
			hosts = append(hosts, n.id)
		}
	}
	o, s := fleet.RendezvousPair("key/"+key.String(), hosts)
	return home, c.node(o), c.node(s)
}
