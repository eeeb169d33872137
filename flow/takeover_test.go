package flow_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/flow"
)

// handedTo opens flows by packets that come in at host-00 and that it hands to
// owner. No time passes, so that none is copied.
func (c *cluster) handedTo(owner fleet.HostID, n int) map[fleet.FlowKey]fleet.ServerID {
	flows := make(map[fleet.FlowKey]fleet.ServerID)
	for i := 0; len(flows) < n; i++ {
		if i > 1_000_000 {
			c.t.Fatalf("%s owns no split slot", owner)
		}
		in := synInput
		in.Key = testKey(i)
		if c.routers["host-00"].Decide(c.now, &in).Host != owner {
			continue
		}
		in.Handed, in.From = true, "host-00"
		flows[in.Key] = c.routers[owner].Decide(c.now, &in).Server
		in.SYN, in.ACK, in.Sequence = false, true, 1001
		c.routers[owner].Decide(c.now, &in)
	}
	return flows
}

// next decides about the next packet of a flow at its new owner.
func (c *cluster) next(k fleet.FlowKey) flow.Decision {
	in := dataInput
	in.Key = k
	d := c.routers["host-00"].Decide(c.now, &in)
	if d.Action != flow.HandOff {
		return d
	}
	in.Handed, in.From = true, "host-00"
	return c.routers[d.Host].Decide(c.now, &in)
}

// TestOwnerDiesBeforeCopying checks that the host which handed new flows to a
// dead owner remembers them, and that no new owner guesses before it knows.
func TestOwnerDiesBeforeCopying(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, chosen, 3)
	c.drain(3)
	c.run(settle + 2*time.Second)
	flows := c.handedTo("host-01", 100)
	delete(c.routers, "host-01")
	c.hosts = []fleet.HostID{"host-00", "host-02"}
	c.install("host-00", false)
	c.install("host-02", false)
	for k := range flows {
		is.Equal(c.next(k).Reason, flow.ReasonAcquiring)
	}
	c.run(time.Second)
	for k, server := range flows {
		is.Equal(c.next(k).Server, server)
	}
}

// TestLiveOwnerIsBelieved lets an owner give credit that its successor lacks:
// what the owner tells goes before what the successor would have done.
func TestLiveOwnerIsBelieved(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, chosen, 3)
	c.server(0, 3).Admission = flow.AdmitByCredit
	c.publish(spread)
	c.run(settle + 2*time.Second)
	c.routers["host-01"].Credit = func(fleet.ServerID) bool { return true }
	flows := c.handedTo("host-01", 100)
	c.stop("host-01")
	for k, server := range flows {
		is.Equal(server, c.server(0, 3).ID)
		is.Equal(c.next(k).Server, server)
	}
}

// TestResync pauses an owner until its slots have a new one, which places flows.
// When it wakes up and learns again, it knows them.
func TestResync(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, chosen, 3)
	c.drain(3)
	c.run(settle + 2*time.Second)
	before := c.handedTo("host-01", 50)
	c.run(time.Second)
	paused := c.routers["host-01"]
	c.die("host-01")
	c.run(2 * settle)
	c.start(2000, time.Second)
	c.run(2 * time.Second)
	c.routers["host-01"] = paused
	c.carry("host-01", paused.Resync(c.now))
	is.True(!paused.Ready())
	c.hosts = []fleet.HostID{"host-00", "host-01", "host-02"}
	c.publish(spread)
	c.run(2 * settle)
	is.True(paused.Ready())
	for k, server := range before {
		is.Equal(c.next(k).Server, server)
	}
	is.Equal(c.broken, 0)
	is.True(c.hops > 0)
}

// TestFreshOwnerRetires lets a host that joined after a slot was retired retire
// it once more: all hosts take its word.
func TestFreshOwnerRetires(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, chosen, 3)
	c.services[0].IdleTimeout = 5 * time.Second
	c.drain(3)
	c.run(15 * time.Second)
	c.join("host-03")
	c.drain(4)
	c.run(15 * time.Second)
	for _, h := range c.known() {
		is.Equal(c.routers[h].Stats().Splits, int64(0))
	}
	is.True(c.routers["host-03"].Stats().Retired > 0)
}

// TestFlowOutlivesItsRecord takes a data centre out, and ends the only host that knows
// flows which were opened since. They are not taken for flows of the server that is out.
func TestFlowOutlivesItsRecord(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, chosen, 3)
	var keys []fleet.FlowKey // of slots of the server that will be out
	for i := 0; len(keys) < 300; i++ {
		if c.next(testKey(i)).Server == c.server(0, 3).ID {
			keys = append(keys, testKey(i))
		}
	}
	c.server(0, 3).Weight, c.server(0, 3).Out = 0, true
	c.publish(spread)
	c.run(settle + 2*time.Second)
	flows := make(map[fleet.FlowKey]fleet.ServerID)
	for _, k := range keys {
		in := synInput
		in.Key = k
		if d := c.routers["host-01"].Decide(c.now, &in); d.Reason == flow.ReasonPlaced {
			flows[k] = d.Server
		}
	}
	is.True(len(flows) > 50)
	delete(c.routers, "host-01")
	c.hosts = []fleet.HostID{"host-00", "host-02"}
	c.install("host-00", true)
	c.install("host-02", true)
	c.run(time.Second)
	for k, server := range flows {
		is.Equal(c.next(k).Server, server)
	}
}
