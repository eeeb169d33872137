package standin_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/standin"
)

var (
	callerAddress  = netip.MustParseAddr("127.1.0.1")
	serviceAddress = netip.MustParseAddrPort("10.1.0.1:7000")
	otherAddress   = netip.MustParseAddrPort("10.1.0.2:7000")
	start          = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
)

// testPath carries packets between a caller and servers without sockets. Its
// function choose takes the place of the entry hosts.
type testPath struct {
	now     time.Time
	caller  *standin.FlowCaller
	servers []*standin.FlowServer
	choose  func(packet []byte) int // returns the index of the server; negative drops the packet
	alter   func(standin.Packet) standin.Packet
}

func newTestPath(protocol fleet.Protocol) *testPath {
	path := &testPath{now: start}
	path.caller = &standin.FlowCaller{
		Address:           callerAddress,
		Service:           "live",
		Destination:       serviceAddress,
		Protocol:          protocol,
		LongFlows:         20,
		ShortFlows:        5,
		ShortFlowDuration: time.Second,
		OpenRate:          1000,
		Interval:          100 * time.Millisecond,
		RetransmitTimeout: 50 * time.Millisecond,
		MaxAttempts:       4,
		Send:              path.send,
	}
	for _, name := range []fleet.ServerID{"live-1", "live-2"} {
		path.servers = append(path.servers, &standin.FlowServer{Name: name, Destination: serviceAddress})
	}
	path.choose = func([]byte) int { return 0 }
	return path
}

func (p *testPath) send(packet []byte) {
	i := p.choose(packet)
	if i < 0 {
		return
	}
	response, ok := p.servers[i].Receive(p.now, packet)
	if !ok {
		return
	}
	if p.alter != nil {
		response = p.alter(response)
	}
	data, err := response.Encode()
	if err != nil {
		panic(err)
	}
	p.caller.Receive(p.now, data)
}

// run advances the time by d in small steps.
func (p *testPath) run(d time.Duration) {
	for end := p.now.Add(d); p.now.Before(end); p.now = p.now.Add(10 * time.Millisecond) {
		p.caller.Tick(p.now)
	}
}

func TestFlowsWithoutFaultDoNotBreak(t *testing.T) {
	for _, protocol := range []fleet.Protocol{fleet.ProtocolTCP, fleet.ProtocolUDP} {
		is := is.New(t)
		path := newTestPath(protocol)
		path.run(5 * time.Second)
		report := path.caller.Report()
		is.Equal(len(report.Breaks), 0)
		is.Equal(report.NotOpened, uint64(0))
		is.Equal(report.Established, 25)
		is.True(report.Closed > 5)      // short flows ended
		is.True(report.Messages > 1000) // 25 flows, ten messages a second
		is.Equal(report.PerServer["live-1"], report.Opened)
		is.Equal(path.caller.EstablishedByServer()["live-1"], 25)
		is.Equal(path.servers[0].Counts().Misdelivered, uint64(0))
	}
}

func TestFlowsNoticeFaults(t *testing.T) {
	dropAll := func(*testPath) func([]byte) int { return func([]byte) int { return -1 } }
	sendToOther := func(*testPath) func([]byte) int { return func([]byte) int { return 1 } }
	tests := []struct {
		name     string
		protocol fleet.Protocol
		choose   func(*testPath) func([]byte) int
		alter    func(standin.Packet) standin.Packet
		want     standin.BreakCause
	}{
		{"lost packets", fleet.ProtocolTCP, dropAll, nil, standin.BreakNoResponse},
		{"TCP flows moved to another server", fleet.ProtocolTCP, sendToOther, nil, standin.BreakReset},
		{"UDP flows moved to another server", fleet.ProtocolUDP, sendToOther, nil, standin.BreakServerChanged},
		{"TCP response of another flow", fleet.ProtocolTCP, nil, replaceMessage, standin.BreakMismatch},
		{"UDP response of another flow", fleet.ProtocolUDP, nil, replaceMessage, standin.BreakMismatch},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			path := newTestPath(tt.protocol)
			path.caller.ShortFlows = 0
			path.run(2 * time.Second)
			is.Equal(len(path.caller.Report().Breaks), 0)
			if tt.choose != nil {
				path.choose = tt.choose(path)
			}
			path.alter = tt.alter
			path.run(1200 * time.Millisecond)
			breaks := path.caller.Report().Breaks
			is.True(len(breaks) >= 20) // every flow that was open
			is.Equal(breaks[0].Cause, tt.want)
			is.Equal(breaks[0].Server, fleet.ServerID("live-1"))
		})
	}
}

// replaceMessage replaces the message in a response by that of another flow.
func replaceMessage(p standin.Packet) standin.Packet {
	if len(p.Payload) > 0 {
		p.Payload = []byte("live-1 127.1.0.9:1/1")
	}
	return p
}

func TestLostAndRepeatedPacketsAreRetransmitted(t *testing.T) {
	is := is.New(t)
	path := newTestPath(fleet.ProtocolTCP)
	path.caller.MaxAttempts = 10 // a fifth of the packets is lost
	path.caller.RetransmitTimeout = 10 * time.Millisecond
	n := 0
	path.choose = func(packet []byte) int {
		n++
		if n%5 == 0 {
			return -1
		}
		if n%7 == 0 {
			path.servers[0].Receive(path.now, packet) // the response is lost
		}
		return 0
	}
	path.run(5 * time.Second)
	report := path.caller.Report()
	is.Equal(len(report.Breaks), 0)
	is.True(report.Resent > 0)
	counts := path.servers[0].Counts()
	is.True(counts.Duplicates > 0)
	is.True(counts.Messages-report.Messages <= 25) // no duplicates; the latest may be without a response
}

func TestServerCountsWhatShouldNotCome(t *testing.T) {
	is := is.New(t)
	path := newTestPath(fleet.ProtocolTCP)
	server := path.servers[0]
	server.MaxConnections = 10
	server.SetNewWorkCutoff(start.Add(-time.Second))
	server.SetPacketCutoff(start.Add(-time.Second))
	path.run(100 * time.Millisecond)
	counts := server.Counts()
	is.Equal(counts.Open, 10)
	is.True(counts.Shed > 0)
	is.True(counts.LateNewWork >= 10)
	is.True(counts.LatePackets > counts.LateNewWork)

	stray := standin.Packet{
		Source:      netip.AddrPortFrom(callerAddress, 1),
		Destination: otherAddress,
		Protocol:    fleet.ProtocolUDP,
	}
	data, err := stray.Encode()
	is.NoErr(err)
	_, answered := server.Receive(start, data)
	is.True(!answered)
	_, answered = server.Receive(start, []byte{1, 2})
	is.True(!answered)
	is.Equal(server.Counts().Misdelivered, uint64(1))
	is.Equal(server.Counts().Malformed, uint64(1))
}

func TestRestartedServerResetsItsFlows(t *testing.T) {
	is := is.New(t)
	path := newTestPath(fleet.ProtocolTCP)
	path.caller.ShortFlows = 0
	path.run(time.Second)
	path.servers[0].Restart()
	path.run(time.Second)
	report := path.caller.Report()
	is.Equal(len(report.Breaks), 20)
	is.Equal(report.Breaks[0].Cause, standin.BreakReset)
	is.Equal(report.Established, 20) // replaced
	is.Equal(path.servers[0].Counts().Warmup.Starts, uint64(1))
}

func TestWarmth(t *testing.T) {
	tests := []struct {
		name      string
		perTick   int // arrivals in each tenth of a second
		completed bool
		over      bool
		crash     bool
		warm      bool
	}{
		{name: "within the bound, completed", perTick: 1, completed: true, warm: true},
		{name: "within the bound, not completed", perTick: 1},
		{name: "over the bound", perTick: 2, over: true},
		{name: "far over the bound", perTick: 5, over: true, crash: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			warmup := standin.Warmup{ColdRate: 10, WarmupTime: 3 * time.Second}
			warmup.Reset()
			for i := range 40 {
				now := start.Add(time.Duration(i) * 100 * time.Millisecond)
				for range tt.perTick {
					warmup.RecordArrival(now)
					if tt.completed {
						warmup.RecordCompletion(now)
					}
				}
			}
			is.Equal(warmup.Counts().OverBound > 0, tt.over)
			is.Equal(warmup.Counts().Crashes > 0, tt.crash)
			is.Equal(warmup.IsWarm(), tt.warm)
		})
	}
	var zero standin.Warmup
	is.New(t).True(zero.IsWarm())
}
