package flow_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/flow"
)

// testRouter is the router of a single host, which owns every slot, and its view.
type testRouter struct {
	flow.Router
	view flow.View
	now  time.Time
}

func newTestRouter() *testRouter {
	router := &testRouter{now: epoch}
	router.view = flow.View{
		Self: "a1", Hosts: []fleet.HostID{"a1"},
		Services: []flow.Service{newService("hunt", 1, 14), newService("maps", 2, 4)},
	}
	router.install(true)
	return router
}

func (r *testRouter) install(settled bool) {
	r.view.Settled = settled
	view := r.view
	view.Services = nil
	for _, service := range r.view.Services {
		service.Servers = append([]flow.Server(nil), service.Servers...)
		view.Services = append(view.Services, service)
	}
	r.Install(r.now, view)
}

func (r *testRouter) server(i int) *flow.Server { return &r.view.Services[0].Servers[i] }

// drain sets server i of the first service to get no new flows.
func (r *testRouter) drain(i int) {
	r.server(i).Weight, r.server(i).Admission = 0, flow.AdmitNone
}

// advance advances the time by d and calls Tick when due.
func (r *testRouter) advance(d time.Duration) {
	for end := r.now.Add(d); r.now.Before(end); {
		r.now = r.now.Add(100 * time.Millisecond)
		r.Tick(r.now)
	}
}

// testKey returns the five-tuple of flow i to the first service.
func testKey(i int) fleet.FlowKey { return newKey(&huntService, i) }

var huntService = newService("hunt", 1, 0)

func (r *testRouter) send(k fleet.FlowKey, in flow.Input) flow.Decision {
	in.Key = k
	return r.Decide(r.now, &in)
}

func (r *testRouter) open(k fleet.FlowKey) flow.Decision {
	d := r.send(k, flow.Input{SYN: true, Sequence: 1000})
	r.send(k, flow.Input{ACK: true, Sequence: 1001})
	return d
}

// openOn opens flows until n of them are on server i of the first service, and
// returns these.
func (r *testRouter) openOn(i, n int) []fleet.FlowKey {
	var keys []fleet.FlowKey
	for j := 0; len(keys) < n; j++ {
		if k := testKey(j); r.open(k).Server == r.server(i).ID {
			keys = append(keys, k)
		}
	}
	return keys
}

var (
	synInput  = flow.Input{SYN: true, Sequence: 1000}
	dataInput = flow.Input{ACK: true, Sequence: 1001, PayloadLen: 10}
	finInput  = flow.Input{ACK: true, FIN: true, Sequence: 1011}
)

func TestZeroRouterDropsPackets(t *testing.T) {
	is := is.New(t)
	var r flow.Router
	is.Equal(r.Decide(time.Time{}, &flow.Input{}).Reason, flow.ReasonNotReady)
	is.True(!r.Ready())
	is.Equal(len(r.Tick(epoch))+len(r.Receive(epoch, "a2", new(flow.Fetch)))+len(r.Stop(epoch)), 0)
}

func TestDrain(t *testing.T) {
	is := is.New(t)
	router := newTestRouter()
	keys := router.openOn(3, 3)
	old, fresh, reused := keys[0], keys[1], keys[2]
	drained := router.server(3).ID
	router.drain(3)
	router.install(false)
	is.Equal(router.open(fresh).Server, drained) // the view is not settled yet
	router.install(true)
	is.Equal(router.send(old, dataInput).Server, drained)
	is.Equal(router.send(old, dataInput).Reason, flow.ReasonAgreed)
	is.Equal(len(router.Status()), 1)
	is.Equal(router.Status()[0].Owned, router.Status()[0].Splits)

	placed := router.open(reused)
	is.True(placed.Server != drained)
	router.drain(int(placed.Address.Addr().As4()[3]))
	router.install(true)
	is.Equal(router.send(reused, synInput).Server, placed.Server) // a retransmission
	is.Equal(router.send(reused, dataInput).Server, placed.Server)
	is.Equal(router.send(reused, finInput).Reason, flow.ReasonRecord)
	is.Equal(router.send(reused, dataInput).Reason, flow.ReasonLate)
	again := router.send(reused, flow.Input{SYN: true, Sequence: 9000})
	is.Equal(again.Reason, flow.ReasonReused)
	is.True(again.Server != placed.Server && again.Server != drained)
}

// TestStraySYN opens a flow with the five-tuple of an older, unrecorded flow, and
// checks that the packets of the older flow still reach their server.
func TestStraySYN(t *testing.T) {
	is := is.New(t)
	router := newTestRouter()
	old := router.openOn(3, 1)[0]
	router.drain(3)
	router.install(true)
	is.True(router.send(old, flow.Input{SYN: true, Sequence: 1 << 30}).Server != router.server(3).ID)
	is.Equal(router.send(old, dataInput).Server, router.server(3).ID)
	is.True(router.send(old, flow.Input{ACK: true, Sequence: 1<<30 + 1}).Server != router.server(3).ID)
}

func TestRetire(t *testing.T) {
	is := is.New(t)
	router := newTestRouter()
	old := router.openOn(3, 1)[0]
	router.drain(3)
	router.install(true)
	for range 4 {
		router.advance(flow.DefaultIdleTimeout / 2)
		is.Equal(router.send(old, dataInput).Server, router.server(3).ID) // the flow is still open
	}
	router.advance(flow.DefaultIdleTimeout + 10*time.Second)
	is.Equal(router.Stats().Splits, int64(0))
	is.Equal(router.Stats().Records, int64(0))
	is.Equal(router.send(old, synInput).Reason, flow.ReasonTable)
}

func TestDataCentreOut(t *testing.T) {
	is := is.New(t)
	router := newTestRouter()
	keys := router.openOn(3, 2)
	router.server(3).Weight, router.server(3).Out = 0, true
	router.install(false)
	is.Equal(router.send(keys[0], dataInput).Reason, flow.ReasonServerOut)
	is.Equal(router.send(keys[0], dataInput).Action, flow.Reset)
	is.Equal(router.send(keys[0], synInput).Reason, flow.ReasonUnsettled)
	router.install(true)
	is.Equal(router.send(keys[0], synInput).Action, flow.Forward)
	is.Equal(router.send(keys[0], dataInput).Action, flow.Forward) // the new flow
	is.Equal(router.send(keys[1], dataInput).Action, flow.Reset)
	is.Equal(router.send(keys[1], dataInput).Action, flow.Reset)
	router.advance(35 * time.Second)
	for _, k := range keys { // the old flows were reset, so the splits were retired early
		is.Equal(router.send(k, dataInput).Reason, flow.ReasonTable)
	}
}

func TestServerGone(t *testing.T) {
	is := is.New(t)
	router := newTestRouter()
	keys := router.openOn(13, 1)
	router.view.Services[0].Servers = router.view.Services[0].Servers[:13]
	router.install(true)
	is.Equal(router.send(keys[0], dataInput).Reason, flow.ReasonServerGone)
	router.view.Services[0].Servers = nil
	router.install(true)
	is.Equal(router.send(keys[0], synInput).Reason, flow.ReasonNoServer)
	k := keys[0]
	k.Protocol = fleet.ProtocolUDP
	is.Equal(router.send(k, synInput).Reason, flow.ReasonUnknownAddress)
	router.view.Services = router.view.Services[1:]
	router.install(true)
	is.Equal(router.send(keys[0], synInput).Reason, flow.ReasonUnknownAddress)
}

func TestCredit(t *testing.T) {
	is := is.New(t)
	router := newTestRouter()
	cold := router.server(3).ID
	keys := router.openOn(3, 20)
	router.server(3).Admission = flow.AdmitByCredit
	router.install(true)
	credit := 5
	router.Credit = func(id fleet.ServerID) bool {
		is.Equal(id, cold)
		credit--
		return credit >= 0
	}
	placed := make(map[fleet.FlowKey]fleet.ServerID)
	onCold := 0
	for _, k := range keys {
		placed[k] = router.open(k).Server
		if placed[k] == cold {
			onCold++
		}
	}
	is.Equal(onCold, 5)
	router.server(3).Admission = flow.AdmitFreely // the server is warm; the flows on other servers remain there
	router.install(true)
	for k, server := range placed {
		is.Equal(router.send(k, dataInput).Server, server)
	}
	router.Credit = nil
	router.server(3).Admission = flow.AdmitByCredit
	router.install(true)
	is.True(router.open(testKey(100_000)).Server != cold)
}

// TestRecordLimit checks that no established flow is moved to another server when
// the limit of records is reached and during a SYN flood.
func TestRecordLimit(t *testing.T) {
	is := is.New(t)
	router := newTestRouter()
	router.Limits.Records = 20 // and 64 half-open flows in each slot
	keys := router.openOn(3, 60)
	router.drain(3)
	router.install(true)
	placed := make(map[fleet.FlowKey]fleet.ServerID)
	refused := 0
	for _, key := range keys {
		decision := router.open(key)
		if decision.Action == flow.Reset {
			is.Equal(decision.Reason, flow.ReasonRecordsFull)
			refused++
			continue
		}
		placed[key] = decision.Server
	}
	is.Equal(refused, 40)
	for i := range 200_000 {
		router.send(testKey(1_000_000+i), synInput)
	}
	is.Equal(router.Stats().Records, int64(20))
	is.True(router.Stats().HalfOpenEvicted > 0)
	for k, server := range placed {
		is.Equal(router.send(k, dataInput).Server, server)
	}
}

func TestUDP(t *testing.T) {
	is := is.New(t)
	router := newTestRouter()
	router.view.Services[0].Protocol = fleet.ProtocolUDP
	router.install(true)
	key := func(i int) fleet.FlowKey {
		k := testKey(i)
		k.Protocol = fleet.ProtocolUDP
		return k
	}
	var keys []fleet.FlowKey
	for i := 0; len(keys) < 2; i++ {
		if router.send(key(i), flow.Input{}).Server == router.server(3).ID {
			keys = append(keys, key(i))
		}
	}
	router.drain(3)
	router.install(true)
	for range 10 {
		is.Equal(router.send(keys[0], flow.Input{}).Server, router.server(3).ID) // an old flow
		router.advance(time.Second)
	}
	is.True(router.send(keys[1], flow.Input{}).Server != router.server(3).ID) // a new flow, or one that was idle during the drain window
}

func TestDecideDoesNotAllocate(t *testing.T) {
	is := is.New(t)
	router := newTestRouter()
	key, old := testKey(1), router.openOn(3, 1)[0]
	router.drain(3)
	router.install(true)
	router.open(old)
	for _, in := range []flow.Input{{Key: key, ACK: true}, {Key: old, ACK: true, Sequence: 1001}} {
		is.Equal(testing.AllocsPerRun(100, func() { router.Decide(router.now, &in) }), 0.0)
	}
}
