package flow_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/flow"
)

// single is a lone host, which owns every slot, and its view.
type single struct {
	flow.Router
	view flow.View
	now  time.Time
}

func newSingle() *single {
	s := &single{now: epoch}
	s.view = flow.View{
		Self: "a1", Hosts: []fleet.HostID{"a1"},
		Services: []flow.Service{newService("hunt", 1, 14), newService("maps", 2, 4)},
	}
	s.install(true)
	return s
}

func (s *single) install(settled bool) {
	s.view.Settled = settled
	v := s.view
	v.Services = nil
	for _, service := range s.view.Services {
		service.Servers = append([]flow.Server(nil), service.Servers...)
		v.Services = append(v.Services, service)
	}
	s.Install(s.now, v)
}

func (s *single) server(i int) *flow.Server { return &s.view.Services[0].Servers[i] }

// drain makes a server of the first service leave.
func (s *single) drain(i int) {
	s.server(i).Weight, s.server(i).Admission = 0, flow.AdmitNone
}

// pass lets time pass, with the ticks that are due.
func (s *single) pass(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(100 * time.Millisecond)
		s.Tick(s.now)
	}
}

// testKey returns a flow to the first service.
func testKey(i int) fleet.FlowKey { return newKey(&huntService, i) }

var huntService = newService("hunt", 1, 0)

func (s *single) send(k fleet.FlowKey, in flow.Input) flow.Decision {
	in.Key = k
	return s.Decide(s.now, &in)
}

func (s *single) open(k fleet.FlowKey) flow.Decision {
	d := s.send(k, flow.Input{SYN: true, Sequence: 1000})
	s.send(k, flow.Input{ACK: true, Sequence: 1001})
	return d
}

// keysOf returns flows that were opened on a server of the first service.
func (s *single) keysOf(i, n int) []fleet.FlowKey {
	var keys []fleet.FlowKey
	for j := 0; len(keys) < n; j++ {
		if k := testKey(j); s.open(k).Server == s.server(i).ID {
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
	s := newSingle()
	keys := s.keysOf(3, 3)
	old, fresh, reused := keys[0], keys[1], keys[2]
	drained := s.server(3).ID
	s.drain(3)
	s.install(false)
	is.Equal(s.open(fresh).Server, drained) // until the view is settled
	s.install(true)
	is.Equal(s.send(old, dataInput).Server, drained)
	is.Equal(s.send(old, dataInput).Reason, flow.ReasonAgreed)
	is.Equal(len(s.Status()), 1)
	is.Equal(s.Status()[0].Owned, s.Status()[0].Splits)

	placed := s.open(reused)
	is.True(placed.Server != drained)
	s.drain(int(placed.Address.Addr().As4()[3]))
	s.install(true)
	is.Equal(s.send(reused, synInput).Server, placed.Server) // a retransmission
	is.Equal(s.send(reused, dataInput).Server, placed.Server)
	is.Equal(s.send(reused, finInput).Reason, flow.ReasonRecord)
	is.Equal(s.send(reused, dataInput).Reason, flow.ReasonLate)
	again := s.send(reused, flow.Input{SYN: true, Sequence: 9000})
	is.Equal(again.Reason, flow.ReasonReused)
	is.True(again.Server != placed.Server && again.Server != drained)
}

// TestStraySYN opens a flow with the five-tuple of an unrecorded older one: its
// packets do not follow the new SYN.
func TestStraySYN(t *testing.T) {
	is := is.New(t)
	s := newSingle()
	old := s.keysOf(3, 1)[0]
	s.drain(3)
	s.install(true)
	is.True(s.send(old, flow.Input{SYN: true, Sequence: 1 << 30}).Server != s.server(3).ID)
	is.Equal(s.send(old, dataInput).Server, s.server(3).ID)
	is.True(s.send(old, flow.Input{ACK: true, Sequence: 1<<30 + 1}).Server != s.server(3).ID)
}

func TestRetire(t *testing.T) {
	is := is.New(t)
	s := newSingle()
	old := s.keysOf(3, 1)[0]
	s.drain(3)
	s.install(true)
	for range 4 {
		s.pass(flow.DefaultIdleTimeout / 2)
		is.Equal(s.send(old, dataInput).Server, s.server(3).ID) // it lives
	}
	s.pass(flow.DefaultIdleTimeout + 10*time.Second)
	is.Equal(s.Stats().Splits, int64(0))
	is.Equal(s.Stats().Records, int64(0))
	is.Equal(s.send(old, synInput).Reason, flow.ReasonTable)
}

func TestDataCentreOut(t *testing.T) {
	is := is.New(t)
	s := newSingle()
	keys := s.keysOf(3, 2)
	s.server(3).Weight, s.server(3).Out = 0, true
	s.install(false)
	is.Equal(s.send(keys[0], dataInput).Reason, flow.ReasonServerOut)
	is.Equal(s.send(keys[0], dataInput).Action, flow.Reset)
	is.Equal(s.send(keys[0], synInput).Reason, flow.ReasonUnsettled)
	s.install(true)
	is.Equal(s.send(keys[0], synInput).Action, flow.Forward)
	is.Equal(s.send(keys[0], dataInput).Action, flow.Forward) // the new flow
	is.Equal(s.send(keys[1], dataInput).Action, flow.Reset)
	is.Equal(s.send(keys[1], dataInput).Action, flow.Reset)
	s.pass(35 * time.Second)
	for _, k := range keys { // there are no old flows to wait for
		is.Equal(s.send(k, dataInput).Reason, flow.ReasonTable)
	}
}

func TestServerGone(t *testing.T) {
	is := is.New(t)
	s := newSingle()
	keys := s.keysOf(13, 1)
	s.view.Services[0].Servers = s.view.Services[0].Servers[:13]
	s.install(true)
	is.Equal(s.send(keys[0], dataInput).Reason, flow.ReasonServerGone)
	s.view.Services[0].Servers = nil
	s.install(true)
	is.Equal(s.send(keys[0], synInput).Reason, flow.ReasonNoServer)
	k := keys[0]
	k.Protocol = fleet.ProtocolUDP
	is.Equal(s.send(k, synInput).Reason, flow.ReasonUnknownAddress)
	s.view.Services = s.view.Services[1:]
	s.install(true)
	is.Equal(s.send(keys[0], synInput).Reason, flow.ReasonUnknownAddress)
}

func TestCredit(t *testing.T) {
	is := is.New(t)
	s := newSingle()
	cold := s.server(3).ID
	keys := s.keysOf(3, 20)
	s.server(3).Admission = flow.AdmitByCredit
	s.install(true)
	credit := 5
	s.Credit = func(id fleet.ServerID) bool {
		is.Equal(id, cold)
		credit--
		return credit >= 0
	}
	placed := make(map[fleet.FlowKey]fleet.ServerID)
	onCold := 0
	for _, k := range keys {
		placed[k] = s.open(k).Server
		if placed[k] == cold {
			onCold++
		}
	}
	is.Equal(onCold, 5)
	s.server(3).Admission = flow.AdmitFreely // it is warm, and the others stay where they are
	s.install(true)
	for k, server := range placed {
		is.Equal(s.send(k, dataInput).Server, server)
	}
	s.Credit = nil
	s.server(3).Admission = flow.AdmitByCredit
	s.install(true)
	is.True(s.open(testKey(100_000)).Server != cold)
}

// TestRecordLimit fills the records, floods with SYNs, and checks that no
// established flow loses its server.
func TestRecordLimit(t *testing.T) {
	is := is.New(t)
	s := newSingle()
	s.Limits.Records = 20 // and 64 half-open flows in each slot
	keys := s.keysOf(3, 60)
	s.drain(3)
	s.install(true)
	placed := make(map[fleet.FlowKey]fleet.ServerID)
	refused := 0
	for _, k := range keys {
		d := s.open(k)
		if d.Action == flow.Reset {
			is.Equal(d.Reason, flow.ReasonRecordsFull)
			refused++
			continue
		}
		placed[k] = d.Server
	}
	is.Equal(refused, 40)
	for i := range 200_000 {
		s.send(testKey(1_000_000+i), synInput)
	}
	is.Equal(s.Stats().Records, int64(20))
	is.True(s.Stats().HalfOpenEvicted > 0)
	for k, server := range placed {
		is.Equal(s.send(k, dataInput).Server, server)
	}
}

func TestUDP(t *testing.T) {
	is := is.New(t)
	s := newSingle()
	s.view.Services[0].Protocol = fleet.ProtocolUDP
	s.install(true)
	key := func(i int) fleet.FlowKey {
		k := testKey(i)
		k.Protocol = fleet.ProtocolUDP
		return k
	}
	var keys []fleet.FlowKey
	for i := 0; len(keys) < 2; i++ {
		if s.send(key(i), flow.Input{}).Server == s.server(3).ID {
			keys = append(keys, key(i))
		}
	}
	s.drain(3)
	s.install(true)
	for range 10 {
		is.Equal(s.send(keys[0], flow.Input{}).Server, s.server(3).ID) // an old flow
		s.pass(time.Second)
	}
	is.True(s.send(keys[1], flow.Input{}).Server != s.server(3).ID) // a new one, or quiet for long
}

func TestDecideDoesNotAllocate(t *testing.T) {
	is := is.New(t)
	s := newSingle()
	key, old := testKey(1), s.keysOf(3, 1)[0]
	s.drain(3)
	s.install(true)
	s.open(old)
	for _, in := range []flow.Input{{Key: key, ACK: true}, {Key: old, ACK: true, Sequence: 1001}} {
		is.Equal(testing.AllocsPerRun(100, func() { s.Decide(s.now, &in) }), 0.0)
	}
}
