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

// Options configure a Core. Zero fields mean defaults.
type Options struct {
	Self   fleet.Host
	Seeds  []fleet.Host // peers from the settings
	Random *rand.Rand
	Timing membership.Timing
	Flows  flow.Limits
	Keys   request.Limits
	// FlowKey is the key of the flow hash. It is the same on all hosts.
	FlowKey [16]byte
	// Clock returns the current time when a traffic goroutine takes credit. Nil
	// means the time of the last Step.
	Clock func() time.Time
}

// Output is the result of a Step, which the caller carries out.
type Output struct {
	Sends []fleet.Send
	// Verdicts contains exactly one verdict per claim over all outputs.
	Verdicts []request.Verdict
	// Attempt identifies the attempt of a ClaimRequested.
	Attempt request.AttemptID
	// Changed is set if Snapshot returns a new value.
	Changed bool
}

// Core is the control state of one entry host. Except for Router, Credit and
// Snapshot, its methods are not safe for concurrent use.
type Core struct {
	options       Options
	members       membership.Table
	rollout       rollout.Follower
	dataCentres   datacentre.Tracker
	servers       backend.Pool
	flows         flow.Router
	keys          request.KeyTracker
	platformHosts hostList
	partitioned   partitionedHosts
	joinWait      joinWait

	seeded        bool
	stopping      time.Time // start of a planned stop, or zero
	left          bool
	stale         bool            // whether the members were stale at the last resync
	interruptions uint64          // number of interruptions at the last resync
	installed     componentInputs // the inputs of the components
	published     componentInputs // the inputs of the last snapshot
	keyInputs     keyInputs
	now           atomic.Pointer[time.Time]
	snapshot      atomic.Pointer[Snapshot]
}

// componentInputs identifies the inputs that the components last received.
type componentInputs struct {
	membersVersion     uint64
	history            fleet.HistoryID
	revision           fleet.Revision
	phaseDigest        uint64
	records            uint64
	settled            bool
	partitionedVersion uint64 // version of the partitioned hosts
}

// keyInputs identifies the inputs that the keys last received.
type keyInputs struct {
	confirmed      bool      // the local data centre is confirmed to be in service
	confirmedUntil time.Time // end of the confirmation, truncated to confirmationStep
	hostsVersion   uint64    // version of the platform's list of hosts
}

// New returns the initial control state of a host.
func New(options Options) *Core {
	c := &Core{options: options}
	c.members.Self = options.Self
	c.members.Timing = options.Timing
	c.members.Random = options.Random
	c.rollout.Self = options.Self.ID
	c.rollout.DataCentre = options.Self.DataCentre
	c.rollout.Random = options.Random
	c.dataCentres.Self = options.Self
	c.keys.Limits = options.Keys
	c.flows.Limits = options.Flows
	c.flows.Key = options.FlowKey
	c.flows.Credit = c.takeCredit
	c.flows.FallbackCredit = c.takeFallbackCredit
	return c
}

// Router returns the router, which decides where packets go. It is safe for
// concurrent use.
func (c *Core) Router() *flow.Router { return &c.flows }

// Credit returns the credit of this host. It is safe for concurrent use.
func (c *Core) Credit() *backend.Credit { return c.servers.Credit() }

// Snapshot returns the state that traffic goroutines need. It is not nil after
// the first Step. It is safe for concurrent use.
func (c *Core) Snapshot() *Snapshot { return c.snapshot.Load() }

// Lookup returns the location and addresses of a peer. It must be called from the
// goroutine that calls Step.
func (c *Core) Lookup(id fleet.HostID) (fleet.Host, bool) { return c.members.Lookup(id) }

// Step processes an event that happened at now.
func (c *Core) Step(now time.Time, event Event) Output {
	c.now.Store(&now)
	c.addSeeds(now)
	resync := c.resync(now)
	out := c.dispatch(now, event)
	out.Sends = append(resync, out.Sends...)
	out.add(sendOutput(c.resync(now)))
	out.add(c.refresh(now))
	out.Changed = c.publish(now)
	return out
}

// add appends the messages and verdicts of other.
func (o *Output) add(other Output) {
	o.Sends = append(o.Sends, other.Sends...)
	o.Verdicts = append(o.Verdicts, other.Verdicts...)
}

func sendOutput(sends []fleet.Send) Output { return Output{Sends: sends} }

func requestOutput(e request.Effects) Output { return Output{Sends: e.Sends, Verdicts: e.Verdicts} }

func (c *Core) addSeeds(now time.Time) {
	if c.seeded {
		return
	}
	c.seeded = true
	c.members.AddCandidates(now, c.options.Seeds)
}

// resync synchronizes the flow tables again after an interruption. While this
// host was paused or considered dead, others may have moved the slots that it
// owned.
func (c *Core) resync(now time.Time) []fleet.Send {
	stale, interruptions := c.members.Stale(now), uint64(c.members.Counts().Interruptions)
	interrupted := stale && !c.stale || interruptions != c.interruptions
	c.stale, c.interruptions = stale, interruptions
	if !interrupted || c.isStopping() {
		return nil
	}
	return c.flows.Resync(now)
}

func (c *Core) dispatch(now time.Time, event Event) Output {
	switch event := event.(type) {
	case *Tick:
		return c.tick(now)
	case *MessageReceived:
		return c.receive(now, event.From, event.Message)
	case *RevisionRead:
		c.confirm(now)
		return sendOutput(c.rollout.Offer(now, event.Published))
	case *PlatformAnswered:
		c.confirm(now)
	case *HostsRead:
		c.confirm(now)
		c.members.AddCandidates(now, event.Hosts)
		c.platformHosts.set(event.Hosts)
	case *EvidenceSeen:
		return sendOutput(c.servers.Observe(now, event.Evidence))
	case *ClaimRequested:
		attempt, result := c.keys.Claim(now, event.Claim)
		out := requestOutput(result)
		out.Attempt = attempt
		return out
	case *ClaimEnded:
		return requestOutput(c.keys.Report(now, event.Attempt, event.Result))
	case *ClaimCancelled:
		return requestOutput(c.keys.Cancel(now, event.Attempt))
	case *StopRequested:
		return c.stop(now)
	}
	return Output{}
}

// confirm records a response of the platform, which ends the staleness after a
// pause or a partition.
func (c *Core) confirm(now time.Time) {
	c.members.Confirm(now)
	c.dataCentres.Confirm(now)
}

func (c *Core) tick(now time.Time) Output {
	out := sendOutput(c.members.Tick(now))
	out.add(requestOutput(c.keys.Tick(now)))
	out.add(sendOutput(c.flows.Tick(now)))
	if c.isStopping() {
		out.add(c.leave(now))
		return out
	}
	c.observePeers(now)
	out.add(sendOutput(c.rollout.Tick(now)))
	out.add(sendOutput(c.dataCentres.Tick(now, c.members.Live())))
	out.add(sendOutput(c.servers.Tick(now)))
	return out
}

// observePeers passes the revisions that the peers have announced to the rollout.
func (c *Core) observePeers(now time.Time) {
	for _, h := range c.members.Live() {
		if h.ID != c.options.Self.ID {
			c.rollout.Observe(now, h.ID, c.members.RevisionOf(h.ID))
		}
	}
}

// receive passes a message to the component that handles its kind.
func (c *Core) receive(now time.Time, from fleet.HostID, message fleet.Message) Output {
	if host, ok := c.members.Lookup(from); ok {
		c.dataCentres.ObserveMessage(now, host, c.members.RevisionOf(from))
	}
	switch componentByKind[message.Kind()] {
	case componentMembership:
		return sendOutput(c.members.Receive(now, from, message))
	case componentRollout:
		return sendOutput(c.rollout.Receive(now, from, message))
	case componentDataCentre:
		return sendOutput(c.dataCentres.Receive(now, from, message))
	case componentBackend:
		return sendOutput(c.servers.Receive(now, from, message))
	case componentFlow:
		return sendOutput(c.flows.Receive(now, from, message))
	case componentRequest:
		return requestOutput(c.keys.Receive(now, from, message))
	default:
		return Output{}
	}
}

// stop starts a planned stop by handing over what this host owns. The host
// responds to messages until it leaves the membership, see MinLeaveDelay.
func (c *Core) stop(now time.Time) Output {
	if c.isStopping() {
		return Output{}
	}
	c.stopping = now
	out := requestOutput(c.keys.Stop(now))
	out.add(sendOutput(c.flows.Stop(now)))
	out.add(sendOutput(c.servers.Stop(now)))
	return out
}

func (c *Core) isStopping() bool { return !c.stopping.IsZero() }

// leave ends the membership once the new owners have had time to fetch the state
// of this host.
func (c *Core) leave(now time.Time) Output {
	waited := now.Sub(c.stopping)
	if c.left || waited < MinLeaveDelay || waited < MaxLeaveDelay && !c.flows.Stopped() {
		return Output{}
	}
	c.left = true
	return sendOutput(c.members.Leave(now))
}

func (c *Core) takeCredit(id fleet.ServerID) bool {
	return c.servers.Credit().Take(c.clock(), id)
}

func (c *Core) takeFallbackCredit(id fleet.ServerID) bool {
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
func (c *Core) InForce() (config.PublishedSet, bool) { return c.rollout.InForce() }
