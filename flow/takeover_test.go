package flow_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/flow"
)

// openHanded opens n flows with packets that host-00 receives and hands off to
// owner. The time does not advance, so that no record is copied.
func (c *cluster) openHanded(owner fleet.HostID, n int) map[fleet.FlowKey]fleet.ServerID {
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

// sendNext sends the next packet of a flow to host-00 and returns the final decision.
func (c *cluster) sendNext(k fleet.FlowKey) flow.Decision {
	in := dataInput
	in.Key = k
	decision := c.routers["host-00"].Decide(c.now, &in)
	if decision.Action != flow.HandOff {
		return decision
	}
	in.Handed, in.From = true, "host-00"
	return c.routers[decision.Host].Decide(c.now, &in)
}

// TestOwnerDiesBeforeCopying checks that a host stores new flows that it handed
// off to an owner which then failed, and that the new owner drops their packets
// until it has fetched them.
func TestOwnerDiesBeforeCopying(t *testing.T) {
	is := is.New(t)
	cluster := newCluster(t, slotSplitting, 3)
	cluster.drain(3)
	cluster.run(settleTime + 2*time.Second)
	flows := cluster.openHanded("host-01", 100)
	delete(cluster.routers, "host-01")
	cluster.hosts = []fleet.HostID{"host-00", "host-02"}
	cluster.install("host-00", false)
	cluster.install("host-02", false)
	for k := range flows {
		is.Equal(cluster.sendNext(k).Reason, flow.ReasonAcquiring)
	}
	cluster.run(time.Second)
	for k, server := range flows {
		is.Equal(cluster.sendNext(k).Server, server)
	}
}

// TestLiveOwnerIsBelieved stops an owner that placed flows by credit which its
// successor lacks: the successor must use the owner's records rather than the
// servers that it would have chosen.
func TestLiveOwnerIsBelieved(t *testing.T) {
	is := is.New(t)
	cluster := newCluster(t, slotSplitting, 3)
	cluster.server(0, 3).Admission = flow.AdmitByCredit
	cluster.publish(publishSpread)
	cluster.run(settleTime + 2*time.Second)
	cluster.routers["host-01"].Credit = func(fleet.ServerID) bool { return true }
	flows := cluster.openHanded("host-01", 100)
	cluster.stop("host-01")
	for k, server := range flows {
		is.Equal(server, cluster.server(0, 3).ID)
		is.Equal(cluster.sendNext(k).Server, server)
	}
}

// TestResync pauses an owner until its slots have a new owner, which places flows.
// After the pause and a Resync, no flow may break.
func TestResync(t *testing.T) {
	is := is.New(t)
	cluster := newCluster(t, slotSplitting, 3)
	cluster.drain(3)
	cluster.run(settleTime + 2*time.Second)
	before := cluster.openHanded("host-01", 50)
	cluster.run(time.Second)
	paused := cluster.routers["host-01"]
	cluster.crash("host-01")
	cluster.run(2 * settleTime)
	cluster.start(2000, time.Second)
	cluster.run(2 * time.Second)
	cluster.routers["host-01"] = paused
	cluster.deliver("host-01", paused.Resync(cluster.now))
	is.True(!paused.Ready())
	cluster.hosts = []fleet.HostID{"host-00", "host-01", "host-02"}
	cluster.publish(publishSpread)
	cluster.run(2 * settleTime)
	is.True(paused.Ready())
	for k, server := range before {
		is.Equal(cluster.sendNext(k).Server, server)
	}
	is.Equal(cluster.broken, 0)
	is.True(cluster.hops > 0)
}

// TestFreshOwnerRetires checks that all hosts accept the retirement of a slot by a
// host that joined after an earlier retirement, and so lacks its epoch.
func TestFreshOwnerRetires(t *testing.T) {
	is := is.New(t)
	cluster := newCluster(t, slotSplitting, 3)
	cluster.services[0].IdleTimeout = 5 * time.Second
	cluster.drain(3)
	cluster.run(15 * time.Second)
	cluster.join("host-03")
	cluster.drain(4)
	cluster.run(15 * time.Second)
	for _, host := range cluster.running() {
		is.Equal(cluster.routers[host].Stats().Splits, int64(0))
	}
	is.True(cluster.routers["host-03"].Stats().Retired > 0)
}

// TestFlowOutlivesItsRecord takes a server out of service, and then stops the only
// host that has records of flows opened since. These must not be treated as flows of
// the server that is out of service.
func TestFlowOutlivesItsRecord(t *testing.T) {
	is := is.New(t)
	cluster := newCluster(t, slotSplitting, 3)
	var keys []fleet.FlowKey // flows of the slots of the server that will be taken out
	for i := 0; len(keys) < 300; i++ {
		if cluster.sendNext(testKey(i)).Server == cluster.server(0, 3).ID {
			keys = append(keys, testKey(i))
		}
	}
	cluster.server(0, 3).Weight, cluster.server(0, 3).Out = 0, true
	cluster.publish(publishSpread)
	cluster.run(settleTime + 2*time.Second)
	flows := make(map[fleet.FlowKey]fleet.ServerID)
	for _, key := range keys {
		in := synInput
		in.Key = key
		if d := cluster.routers["host-01"].Decide(cluster.now, &in); d.Reason == flow.ReasonPlaced {
			flows[key] = d.Server
		}
	}
	is.True(len(flows) > 50)
	delete(cluster.routers, "host-01")
	cluster.hosts = []fleet.HostID{"host-00", "host-02"}
	cluster.install("host-00", true)
	cluster.install("host-02", true)
	cluster.run(time.Second)
	for k, server := range flows {
		is.Equal(cluster.sendNext(k).Server, server)
	}
}
