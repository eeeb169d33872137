package control

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/rattanthread/rattanthread/backend"
	"github.com/rattanthread/rattanthread/config"
	"github.com/rattanthread/rattanthread/datacentre"
	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/flow"
	"github.com/rattanthread/rattanthread/membership"
	"github.com/rattanthread/rattanthread/request"
	"github.com/rattanthread/rattanthread/rollout"
)

// Options are what a Core is told at its start. Zero fields take defaults.
type Options struct {
	Self   fleet.Host
	Seeds  []fleet.Host // peers known from settings
	Random *rand.Rand
	Timing membership.Timing
	Flows  flow.Limits
	Keys   request.Limits
	// FlowKey is the key of the flow hash. It is the same on all hosts.
	FlowKey [16]byte
	// Clock returns the time at which a traffic goroutine takes credit. Nil
	// means the time of the last Step.
	Clock func() time.Time
}

// Output is what the shell has to do after a Step.
type Output struct {
	Sends []fleet.Send
	// Verdicts answer claims, each claim once.
	Verdicts []request.Verdict
	// Attempt names the attempt of a ClaimAsked.
	Attempt request.AttemptID
	// Changed is true when Snapshot returns something new.
	Changed bool
}

// Core is the control state of one entry host.
type Core struct {
	options Options
	members membership.Table
	rollout rollout.Follower
	centres datacentre.Tracker
	servers backend.Pool
	flows   flow.Router
	keys    request.KeyTracker
	listed  hostList
	doubts  doubts
	join    join

	seeded    bool
	stopping  time.Time // when a planned stop began; zero: not
	left      bool
	stale     bool      // as noticed by resync
	notices   uint64    // interruptions noticed by resync
	installed installed // the inputs that the parts have
	published installed // the inputs of the last snapshot
	keyInputs keyInputs
	now       atomic.Pointer[time.Time]
	snapshot  atomic.Pointer[Snapshot]
}

// installed tells which inputs the parts were last given.
type installed struct {
	members  uint64
	history  fleet.HistoryID
	revision fleet.Revision
	stage    uint64
	records  uint64
	settled  bool
	doubted  uint64 // version of the doubts
}

// keyInputs tells what the keys were last given.
type keyInputs struct {
	confirmed bool      // this data centre is known to be in
	until     time.Time // when that knowledge ends, to the second
	listed    uint64    // version of the platform's list of hosts
}

// New returns the control state of a host that has just started.
func New(options Options) *Core {
	c := &Core{options: options}
	c.members.Self = options.Self
	c.members.Timing = options.Timing
	c.members.Random = options.Random
	c.rollout.Self = options.Self.ID
	c.rollout.DataCentre = options.Self.DataCentre
	c.rollout.Random = options.Random
	c.centres.Self = options.Self
	c.keys.Limits = options.Keys
	c.flows.Limits = options.Flows
	c.flows.Key = options.FlowKey
	c.flows.Credit = c.takeCredit
	c.flows.FallbackCredit = c.takeSpareCredit
	return c
}

// Router decides about packets. It is safe for concurrent use.
func (c *Core) Router() *flow.Router { return &c.flows }

// Credit is the credit that this host holds. It is safe for concurrent use.
func (c *Core) Credit() *backend.Credit { return c.servers.Credit() }

// Snapshot returns what traffic goroutines need to know. It is never nil once
// Step was called, and safe for concurrent use.
func (c *Core) Snapshot() *Snapshot { return c.snapshot.Load() }

// Lookup tells where a peer listens. It belongs to the goroutine that calls Step.
func (c *Core) Lookup(id fleet.HostID) (fleet.Host, bool) { return c.members.Lookup(id) }

// Step takes one event that happened at now.
func (c *Core) Step(now time.Time, event Event) Output {
	c.now.Store(&now)
	c.seed(now)
	resync := c.resync(now)
	out := c.take(now, event)
	out.Sends = append(resync, out.Sends...)
	out.add(sent(c.resync(now)))
	out.add(c.refresh(now))
	out.Changed = c.publish(now)
	return out
}

// add appends what other asks for.
func (o *Output) add(other Output) {
	o.Sends = append(o.Sends, other.Sends...)
	o.Verdicts = append(o.Verdicts, other.Verdicts...)
}

func sent(sends []fleet.Send) Output { return Output{Sends: sends} }

func effects(e request.Effects) Output { return Output{Sends: e.Sends, Verdicts: e.Verdicts} }

func (c *Core) seed(now time.Time) {
	if c.seeded {
		return
	}
	c.seeded = true
	c.members.AddCandidates(now, c.options.Seeds)
}

// resync makes the flow tables follow an interruption. While this host was
// paused or held dead, others may have moved the slots that it owned.
func (c *Core) resync(now time.Time) []fleet.Send {
	stale, notices := c.members.Stale(now), uint64(c.members.Counts().Interruptions)
	noticed := stale && !c.stale || notices != c.notices
	c.stale, c.notices = stale, notices
	if !noticed || c.isStopping() {
		return nil
	}
	return c.flows.Resync(now)
}

func (c *Core) take(now time.Time, event Event) Output {
	switch e := event.(type) {
	case *Tick:
		return c.tick(now)
	case *MessageReceived:
		return c.receive(now, e.From, e.Message)
	case *RevisionRead:
		c.confirm(now)
		return sent(c.rollout.Offer(now, e.Revised))
	case *PlatformAnswered:
		c.confirm(now)
	case *HostsRead:
		c.confirm(now)
		c.members.AddCandidates(now, e.Hosts)
		c.listed.set(e.Hosts)
	case *EvidenceSeen:
		return sent(c.servers.Observe(now, e.Evidence))
	case *ClaimAsked:
		attempt, result := c.keys.Claim(now, e.Claim)
		out := effects(result)
		out.Attempt = attempt
		return out
	case *ClaimEnded:
		return effects(c.keys.Report(now, e.Attempt, e.Result))
	case *ClaimCancelled:
		return effects(c.keys.Cancel(now, e.Attempt))
	case *StopRequested:
		return c.stop(now)
	}
	return Output{}
}

// confirm notes an answer of the platform, which ends a pause or a separation.
func (c *Core) confirm(now time.Time) {
	c.members.Confirm(now)
	c.centres.Confirm(now)
}

func (c *Core) tick(now time.Time) Output {
	out := sent(c.members.Tick(now))
	out.add(effects(c.keys.Tick(now)))
	out.add(sent(c.flows.Tick(now)))
	if c.isStopping() {
		out.add(c.leave(now))
		return out
	}
	c.observePeers(now)
	out.add(sent(c.rollout.Tick(now)))
	out.add(sent(c.centres.Tick(now, c.members.Live())))
	out.add(sent(c.servers.Tick(now)))
	return out
}

// observePeers tells the rollout which revisions the peers' heartbeats name.
func (c *Core) observePeers(now time.Time) {
	for _, h := range c.members.Live() {
		if h.ID != c.options.Self.ID {
			c.rollout.Observe(now, h.ID, c.members.RevisionOf(h.ID))
		}
	}
}

// receive gives a message to the part that its kind belongs to.
func (c *Core) receive(now time.Time, from fleet.HostID, m fleet.Message) Output {
	if host, ok := c.members.Lookup(from); ok {
		c.centres.ObserveMessage(now, host, c.members.RevisionOf(from))
	}
	switch partOf[m.Kind()] {
	case partMembership:
		return sent(c.members.Receive(now, from, m))
	case partRollout:
		return sent(c.rollout.Receive(now, from, m))
	case partDataCentre:
		return sent(c.centres.Receive(now, from, m))
	case partBackend:
		return sent(c.servers.Receive(now, from, m))
	case partFlow:
		return sent(c.flows.Receive(now, from, m))
	case partRequest:
		return effects(c.keys.Receive(now, from, m))
	default:
		return Output{}
	}
}

// stop hands over what this host owns. It goes on answering for LeaveAfter.
func (c *Core) stop(now time.Time) Output {
	if c.isStopping() {
		return Output{}
	}
	c.stopping = now
	out := effects(c.keys.Stop(now))
	out.add(sent(c.flows.Stop(now)))
	out.add(sent(c.servers.Stop(now)))
	return out
}

func (c *Core) isStopping() bool { return !c.stopping.IsZero() }

// leave ends the membership once the new owners had time to ask for what this
// host knows.
func (c *Core) leave(now time.Time) Output {
	waited := now.Sub(c.stopping)
	if c.left || waited < LeaveAfter || waited < MaxLeave && !c.flows.Stopped() {
		return Output{}
	}
	c.left = true
	return sent(c.members.Leave(now))
}

func (c *Core) takeCredit(id fleet.ServerID) bool {
	return c.servers.Credit().Take(c.clock(), id)
}

func (c *Core) takeSpareCredit(id fleet.ServerID) bool {
	return c.servers.Credit().TakeFallback(c.clock(), id)
}

func (c *Core) clock() time.Time {
	if c.options.Clock != nil {
		return c.options.Clock()
	}
	if now := c.now.Load(); now != nil {
		return *now
	}
	return time.Time{}
}

// InForce returns the configuration in force.
func (c *Core) InForce() (config.Revised, bool) { return c.rollout.InForce() }
