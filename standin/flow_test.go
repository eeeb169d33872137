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

// path carries packets between a caller and servers without sockets. Choose
// stands in for the entry hosts.
type path struct {
	now     time.Time
	caller  *standin.FlowCaller
	servers []*standin.FlowServer
	choose  func(packet []byte) int // index of the server; negative drops
	change  func(standin.Packet) standin.Packet
}

func newPath(protocol fleet.Protocol) *path {
	p := &path{now: start}
	p.caller = &standin.FlowCaller{
		Address:     callerAddress,
		Service:     "live",
		Destination: serviceAddress,
		Protocol:    protocol,
		LongFlows:   20,
		ShortFlows:  5,
		ShortLife:   time.Second,
		OpenRate:    1000,
		Interval:    100 * time.Millisecond,
		Retransmit:  50 * time.Millisecond,
		MaxTries:    4,
		Send:        p.send,
	}
	for _, name := range []fleet.ServerID{"live-1", "live-2"} {
		p.servers = append(p.servers, &standin.FlowServer{Name: name, Destination: serviceAddress})
	}
	p.choose = func([]byte) int { return 0 }
	return p
}

func (p *path) send(packet []byte) {
	i := p.choose(packet)
	if i < 0 {
		return
	}
	answer, ok := p.servers[i].Receive(p.now, packet)
	if !ok {
		return
	}
	if p.change != nil {
		answer = p.change(answer)
	}
	data, err := answer.Encode()
	if err != nil {
		panic(err)
	}
	p.caller.Receive(p.now, data)
}

// run advances the time in small steps.
func (p *path) run(d time.Duration) {
	for end := p.now.Add(d); p.now.Before(end); p.now = p.now.Add(10 * time.Millisecond) {
		p.caller.Tick(p.now)
	}
}

func TestFlowsWithoutFaultDoNotBreak(t *testing.T) {
	for _, protocol := range []fleet.Protocol{fleet.ProtocolTCP, fleet.ProtocolUDP} {
		is := is.New(t)
		p := newPath(protocol)
		p.run(5 * time.Second)
		report := p.caller.Report()
		is.Equal(len(report.Breaks), 0)
		is.Equal(report.NotOpened, uint64(0))
		is.Equal(report.Established, 25)
		is.True(report.Closed > 5)      // short flows ended
		is.True(report.Messages > 1000) // 25 flows, ten messages a second
		is.Equal(report.PerServer["live-1"], report.Opened)
		is.Equal(p.caller.Open()["live-1"], 25)
		is.Equal(p.servers[0].Counts().Misdelivered, uint64(0))
	}
}

func TestFlowsNoticeFaults(t *testing.T) {
	lost := func(*path) func([]byte) int { return func([]byte) int { return -1 } }
	moved := func(*path) func([]byte) int { return func([]byte) int { return 1 } }
	tests := []struct {
		name     string
		protocol fleet.Protocol
		choose   func(*path) func([]byte) int
		change   func(standin.Packet) standin.Packet
		want     standin.BreakCause
	}{
		{"packets lost", fleet.ProtocolTCP, lost, nil, standin.BreakSilent},
		{"moved TCP", fleet.ProtocolTCP, moved, nil, standin.BreakReset},
		{"moved UDP", fleet.ProtocolUDP, moved, nil, standin.BreakServerChanged},
		{"crossed", fleet.ProtocolTCP, nil, crossed, standin.BreakCrossed},
		{"crossed UDP", fleet.ProtocolUDP, nil, crossed, standin.BreakCrossed},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			p := newPath(tt.protocol)
			p.caller.ShortFlows = 0
			p.run(2 * time.Second)
			is.Equal(len(p.caller.Report().Breaks), 0)
			if tt.choose != nil {
				p.choose = tt.choose(p)
			}
			p.change = tt.change
			p.run(1200 * time.Millisecond)
			breaks := p.caller.Report().Breaks
			is.True(len(breaks) >= 20) // every flow that was open
			is.Equal(breaks[0].Cause, tt.want)
			is.Equal(breaks[0].Server, fleet.ServerID("live-1"))
		})
	}
}

// crossed gives an answer the message of another flow.
func crossed(p standin.Packet) standin.Packet {
	if len(p.Payload) > 0 {
		p.Payload = []byte("live-1 127.1.0.9:1/1")
	}
	return p
}

func TestLostAndRepeatedPacketsAreRetransmitted(t *testing.T) {
	is := is.New(t)
	p := newPath(fleet.ProtocolTCP)
	p.caller.MaxTries = 10 // a fifth of the packets is lost
	p.caller.Retransmit = 10 * time.Millisecond
	n := 0
	p.choose = func(packet []byte) int {
		n++
		if n%5 == 0 {
			return -1
		}
		if n%7 == 0 {
			p.servers[0].Receive(p.now, packet) // the answer is lost
		}
		return 0
	}
	p.run(5 * time.Second)
	report := p.caller.Report()
	is.Equal(len(report.Breaks), 0)
	is.True(report.Resent > 0)
	counts := p.servers[0].Counts()
	is.True(counts.Duplicates > 0)
	is.True(counts.Messages-report.Messages <= 25) // none twice; the latest may be unanswered
}

func TestServerCountsWhatShouldNotCome(t *testing.T) {
	is := is.New(t)
	p := newPath(fleet.ProtocolTCP)
	server := p.servers[0]
	server.MaxConnections = 10
	server.NoNewWorkAfter(start.Add(-time.Second))
	server.NoPacketsAfter(start.Add(-time.Second))
	p.run(100 * time.Millisecond)
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
	p := newPath(fleet.ProtocolTCP)
	p.caller.ShortFlows = 0
	p.run(time.Second)
	p.servers[0].Restart()
	p.run(time.Second)
	report := p.caller.Report()
	is.Equal(len(report.Breaks), 20)
	is.Equal(report.Breaks[0].Cause, standin.BreakReset)
	is.Equal(report.Established, 20) // opened anew
	is.Equal(p.servers[0].Counts().Warmth.Starts, uint64(1))
}

func TestWarmth(t *testing.T) {
	tests := []struct {
		name     string
		perTick  int // arrivals in each tenth of a second
		served   bool
		over     bool
		fallOver bool
		warm     bool
	}{
		{name: "within the bound, served", perTick: 1, served: true, warm: true},
		{name: "within the bound, not served", perTick: 1},
		{name: "over the bound", perTick: 2, over: true},
		{name: "far over the bound", perTick: 5, over: true, fallOver: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			w := standin.Warmth{ColdRate: 10, WarmupTime: 3 * time.Second}
			w.Cold()
			for i := range 40 {
				now := start.Add(time.Duration(i) * 100 * time.Millisecond)
				for range tt.perTick {
					w.Arrive(now)
					if tt.served {
						w.Serve(now)
					}
				}
			}
			is.Equal(w.Counts().OverBound > 0, tt.over)
			is.Equal(w.Counts().FallOvers > 0, tt.fallOver)
			is.Equal(w.IsWarm(), tt.warm)
		})
	}
	var always standin.Warmth
	is.New(t).True(always.IsWarm())
}
