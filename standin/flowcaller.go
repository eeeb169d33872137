package standin

import (
	"context"
	"maps"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-faster/errors"

	"github.com/rattanthread/rattanthread/fleet"
)

// FlowCaller opens flows to one service from one address, exchanges numbered
// messages on each, and notes the flows that break. It takes answers at
// Address, straight from the backend servers. FlowCaller is safe for
// concurrent use.
type FlowCaller struct {
	Address     netip.Addr
	Service     fleet.ServiceName
	Destination netip.AddrPort
	Protocol    fleet.Protocol
	// Send gives an encapsulated packet to the fabric.
	Send func(packet []byte)
	// LongFlows is how many flows are kept open to the end; a broken one is
	// opened anew.
	LongFlows int
	// ShortFlows is how many flows are kept open that end after ShortLife.
	ShortFlows int
	ShortLife  time.Duration
	// OpenRate limits new flows a second.
	OpenRate float64
	// Interval is the time between two messages of a flow.
	Interval time.Duration
	// Retransmit is the first retransmission timeout, which doubles each time.
	Retransmit time.Duration
	// MaxTries is how often a packet is sent before its flow counts as broken.
	MaxTries int
	Seed     uint64

	mu       sync.Mutex
	random   *rand.Rand
	flows    map[fleet.Port]*callerFlow
	nextPort fleet.Port
	long     int
	short    int
	credit   float64 // flows that may be opened now
	ticked   time.Time
	stopping bool
	report   FlowReport
	latency  *hdrhistogram.Histogram
}

// FlowReport is what a caller saw of its flows.
type FlowReport struct {
	Opened      uint64                    `json:"opened"`      // SYN answered, or first UDP answer
	NotOpened   uint64                    `json:"not_opened"`  // refused or not answered while opening
	Established int                       `json:"established"` // now
	Messages    uint64                    `json:"messages"`
	Resent      uint64                    `json:"resent"`
	Closed      uint64                    `json:"closed"`
	Stray       uint64                    `json:"stray"` // answers for no open flow
	Breaks      []Break                   `json:"breaks"`
	PerServer   map[fleet.ServerID]uint64 `json:"per_server"` // flows opened
	Crossed     uint64                    `json:"crossed"`    // answers with another flow's message
}

// Break is the end of an established flow that its caller did not ask for.
type Break struct {
	Service fleet.ServiceName `json:"service"`
	Server  fleet.ServerID    `json:"server"`
	Cause   BreakCause        `json:"cause"`
	// Sent is when the message that was not properly answered was first sent.
	Sent    time.Time `json:"sent"`
	Noticed time.Time `json:"noticed"`
}

// BreakCause tells how a caller noticed that a flow broke.
type BreakCause string

// The causes of a break.
const (
	BreakReset         BreakCause = "reset"
	BreakSilent        BreakCause = "silent"
	BreakServerChanged BreakCause = "server_changed"
	BreakCrossed       BreakCause = "crossed"
)

const (
	firstCallerPort fleet.Port = 10000
	lastCallerPort  fleet.Port = 60000
	callerTick                 = 5 * time.Millisecond
	openBurst                  = 1.0 // flows
)

// Run exchanges messages until the context ends. Answers come to socket.
func (c *FlowCaller) Run(ctx context.Context, socket *net.UDPConn) error {
	_ = socket.SetReadBuffer(readBuffer)
	stop := context.AfterFunc(ctx, func() { _ = socket.Close() })
	defer stop()
	go c.tickUntil(ctx)
	buffer := make([]byte, maxDatagram)
	for {
		n, _, err := socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return errors.Wrapf(err, "caller %s: read answer", c.Address)
		}
		c.Receive(time.Now(), buffer[:n])
	}
}

func (c *FlowCaller) tickUntil(ctx context.Context) {
	ticker := time.NewTicker(callerTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			c.Tick(now)
		}
	}
}

// Tick sends what is due at now: opening packets, messages, retransmissions.
func (c *FlowCaller) Tick(now time.Time) {
	for _, packet := range c.due(now) {
		data, err := packet.Encode()
		if err != nil {
			continue
		}
		c.Send(data)
	}
}

// Receive takes an encapsulated answer.
func (c *FlowCaller) Receive(now time.Time, data []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, err := DecodePacket(data)
	if err != nil {
		c.report.Stray++
		return
	}
	flow, ok := c.flows[fleet.Port(p.Destination.Port())]
	if !ok || p.Source != c.Destination || p.Destination.Addr() != c.Address {
		c.report.Stray++
		return
	}
	c.apply(now, flow, flow.receive(now, p))
}

// Stop ends the opening of flows; open flows go on.
func (c *FlowCaller) Stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopping = true
}

// Report returns what the caller saw so far.
func (c *FlowCaller) Report() FlowReport {
	c.mu.Lock()
	defer c.mu.Unlock()
	report := c.report
	report.Breaks = append([]Break(nil), report.Breaks...)
	report.PerServer = make(map[fleet.ServerID]uint64, len(c.report.PerServer))
	for server, n := range c.report.PerServer {
		report.PerServer[server] = n
	}
	for _, flow := range c.flows {
		if flow.state == flowEstablished {
			report.Established++
		}
	}
	return report
}

// Open returns how many established flows each server has now.
func (c *FlowCaller) Open() map[fleet.ServerID]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	open := make(map[fleet.ServerID]int)
	for _, flow := range c.flows {
		if flow.state == flowEstablished && flow.server != "" {
			open[flow.server]++
		}
	}
	return open
}

// AddLatency adds the times from message to answer to total, in microseconds.
func (c *FlowCaller) AddLatency(total *hdrhistogram.Histogram) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.latency != nil {
		total.Merge(c.latency)
	}
}

func (c *FlowCaller) due(now time.Time) []Packet {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.prepare(now)
	var packets []Packet
	for _, port := range slices.Sorted(maps.Keys(c.flows)) {
		flow := c.flows[port]
		if flow.due.After(now) {
			continue
		}
		packet, event := flow.tick(now)
		c.apply(now, flow, event)
		if event == flowSent || event == flowResent {
			packets = append(packets, packet)
		}
	}
	return packets
}

func (c *FlowCaller) prepare(now time.Time) {
	if c.flows == nil {
		c.flows = make(map[fleet.Port]*callerFlow)
		c.random = rand.New(rand.NewPCG(c.Seed, 1))
		c.nextPort = firstCallerPort
		c.report.PerServer = make(map[fleet.ServerID]uint64)
		c.latency = NewLatency()
		c.ticked = now
	}
	c.credit = min(openBurst+c.OpenRate*callerTick.Seconds(), c.credit+c.OpenRate*now.Sub(c.ticked).Seconds())
	c.ticked = now
	for c.credit >= 1 && !c.stopping {
		switch {
		case c.long < c.LongFlows:
			c.open(now, true)
		case c.short < c.ShortFlows:
			c.open(now, false)
		default:
			return
		}
		c.credit--
	}
}

func (c *FlowCaller) open(now time.Time, long bool) {
	for c.flows[c.nextPort] != nil {
		c.advancePort()
	}
	flow := &callerFlow{
		caller:   c,
		port:     c.nextPort,
		sequence: c.random.Uint32(),
		due:      now,
		opened:   now,
		long:     long,
	}
	c.flows[c.nextPort] = flow
	c.advancePort()
	if long {
		c.long++
	} else {
		c.short++
	}
}

func (c *FlowCaller) advancePort() {
	c.nextPort++
	if c.nextPort > lastCallerPort {
		c.nextPort = firstCallerPort
	}
}

// apply counts what happened to a flow, and forgets a flow that ended.
func (c *FlowCaller) apply(now time.Time, flow *callerFlow, event flowEvent) {
	switch event {
	case flowNothing, flowSent:
		return
	case flowResent:
		c.report.Resent++
		return
	case flowStray:
		c.report.Stray++
		return
	case flowOpened:
		c.report.Opened++
		return
	case flowAnswered:
		c.report.Messages++
		_ = c.latency.RecordValue(now.Sub(flow.firstSent).Microseconds())
		return
	case flowClosed:
		c.report.Closed++
	case flowNotOpened:
		c.report.NotOpened++
	default:
		c.broken(now, flow, event)
	}
	c.forget(flow)
}

func (c *FlowCaller) broken(now time.Time, flow *callerFlow, event flowEvent) {
	cause := breakCauses[event]
	if cause == BreakCrossed {
		c.report.Crossed++
	}
	c.report.Breaks = append(c.report.Breaks, Break{
		Service: c.Service,
		Server:  flow.server,
		Cause:   cause,
		Sent:    flow.firstSent,
		Noticed: now,
	})
}

func (c *FlowCaller) forget(flow *callerFlow) {
	delete(c.flows, flow.port)
	if flow.long {
		c.long--
	} else {
		c.short--
	}
}

// NewLatency returns a histogram of microseconds up to a minute.
func NewLatency() *hdrhistogram.Histogram {
	const significantFigures = 3
	return hdrhistogram.New(1, time.Minute.Microseconds(), significantFigures)
}
