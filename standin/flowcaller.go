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

// FlowCaller emulates a caller of a flow service. It opens flows from one
// address, exchanges numbered messages on each, and records the flows that break.
// It receives responses at Address, directly from the backend servers. FlowCaller
// is safe for concurrent use.
type FlowCaller struct {
	Address     netip.Addr
	Service     fleet.ServiceName
	Destination netip.AddrPort
	Protocol    fleet.Protocol
	// Send passes an encapsulated packet to the fabric.
	Send func(packet []byte)
	// LongFlows is the number of flows that stay open to the end; broken ones are
	// replaced.
	LongFlows int
	// ShortFlows is the number of concurrent flows that close after ShortFlowDuration.
	ShortFlows        int
	ShortFlowDuration time.Duration
	// OpenRate limits the new flows per second.
	OpenRate float64
	// Interval is the time between two messages of a flow.
	Interval time.Duration
	// RetransmitTimeout is the initial timeout; it doubles with each attempt.
	RetransmitTimeout time.Duration
	// MaxAttempts is how often a packet is sent before its flow is given up.
	MaxAttempts int
	Seed        uint64

	mu         sync.Mutex
	random     *rand.Rand
	flows      map[fleet.Port]*callerFlow
	nextPort   fleet.Port
	longCount  int
	shortCount int
	tokens     float64 // flows that may be opened now
	lastTick   time.Time
	stopped    bool
	report     FlowReport
	latency    *hdrhistogram.Histogram
}

// FlowReport holds the counters and breaks of a FlowCaller.
type FlowReport struct {
	Opened      uint64                    `json:"opened"`      // SYN-ACK or first UDP response received
	NotOpened   uint64                    `json:"not_opened"`  // reset or no response while opening
	Established int                       `json:"established"` // at the time of the report
	Messages    uint64                    `json:"messages"`
	Resent      uint64                    `json:"resent"`
	Closed      uint64                    `json:"closed"`
	Stray       uint64                    `json:"stray"` // responses that were not expected
	Breaks      []Break                   `json:"breaks"`
	PerServer   map[fleet.ServerID]uint64 `json:"per_server"` // opened flows
	Mismatched  uint64                    `json:"crossed"`    // responses with an unexpected message
}

// Break is the end of an established flow that its caller did not request.
type Break struct {
	Service fleet.ServiceName `json:"service"`
	Server  fleet.ServerID    `json:"server"`
	Cause   BreakCause        `json:"cause"`
	// Sent is when the message without a valid response was first sent.
	Sent     time.Time `json:"sent"`
	Detected time.Time `json:"noticed"`
}

// BreakCause is how a caller detected that a flow broke.
type BreakCause string

// The causes of a break.
const (
	BreakReset         BreakCause = "reset"
	BreakNoResponse    BreakCause = "silent"
	BreakServerChanged BreakCause = "server_changed"
	BreakMismatch      BreakCause = "crossed"
)

const (
	firstCallerPort fleet.Port = 10000
	lastCallerPort  fleet.Port = 60000
	callerTick                 = 5 * time.Millisecond
	openBurst                  = 1.0 // flows
)

// Run exchanges messages until ctx is done. It receives responses on socket.
func (c *FlowCaller) Run(ctx context.Context, socket *net.UDPConn) error {
	_ = socket.SetReadBuffer(receiveBufferSize)
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
			return errors.Wrapf(err, "caller %s: read response", c.Address)
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

// Tick sends the packets that are due at now.
func (c *FlowCaller) Tick(now time.Time) {
	for _, packet := range c.duePackets(now) {
		data, err := packet.Encode()
		if err != nil {
			continue
		}
		c.Send(data)
	}
}

// Receive processes an encapsulated response.
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
	c.handleEvent(now, flow, flow.receive(now, p))
}

// StopOpening stops the opening of flows; open flows continue.
func (c *FlowCaller) StopOpening() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopped = true
}

// Report returns the current counters and the breaks so far.
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
		if flow.state == stateEstablished {
			report.Established++
		}
	}
	return report
}

// EstablishedByServer returns the number of established flows for each server.
func (c *FlowCaller) EstablishedByServer() map[fleet.ServerID]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	flows := make(map[fleet.ServerID]int)
	for _, flow := range c.flows {
		if flow.state == stateEstablished && flow.server != "" {
			flows[flow.server]++
		}
	}
	return flows
}

// AddLatency adds the response times of messages to total, in microseconds.
func (c *FlowCaller) AddLatency(total *hdrhistogram.Histogram) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.latency != nil {
		total.Merge(c.latency)
	}
}

func (c *FlowCaller) duePackets(now time.Time) []Packet {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.openFlows(now)
	var packets []Packet
	for _, port := range slices.Sorted(maps.Keys(c.flows)) {
		flow := c.flows[port]
		if flow.due.After(now) {
			continue
		}
		packet, event := flow.tick(now)
		c.handleEvent(now, flow, event)
		if event == eventSent || event == eventResent {
			packets = append(packets, packet)
		}
	}
	return packets
}

// openFlows opens flows as far as their numbers and OpenRate allow.
func (c *FlowCaller) openFlows(now time.Time) {
	if c.flows == nil {
		c.flows = make(map[fleet.Port]*callerFlow)
		c.random = rand.New(rand.NewPCG(c.Seed, 1))
		c.nextPort = firstCallerPort
		c.report.PerServer = make(map[fleet.ServerID]uint64)
		c.latency = NewLatencyHistogram()
		c.lastTick = now
	}
	c.tokens = min(openBurst+c.OpenRate*callerTick.Seconds(), c.tokens+c.OpenRate*now.Sub(c.lastTick).Seconds())
	c.lastTick = now
	for c.tokens >= 1 && !c.stopped {
		switch {
		case c.longCount < c.LongFlows:
			c.openFlow(now, true)
		case c.shortCount < c.ShortFlows:
			c.openFlow(now, false)
		default:
			return
		}
		c.tokens--
	}
}

func (c *FlowCaller) openFlow(now time.Time, isLong bool) {
	for c.flows[c.nextPort] != nil {
		c.advancePort()
	}
	flow := &callerFlow{
		caller:   c,
		port:     c.nextPort,
		sequence: c.random.Uint32(),
		due:      now,
		opened:   now,
		isLong:   isLong,
	}
	c.flows[c.nextPort] = flow
	c.advancePort()
	if isLong {
		c.longCount++
	} else {
		c.shortCount++
	}
}

func (c *FlowCaller) advancePort() {
	c.nextPort++
	if c.nextPort > lastCallerPort {
		c.nextPort = firstCallerPort
	}
}

// handleEvent counts an event of a flow, and removes the flow if it has ended.
func (c *FlowCaller) handleEvent(now time.Time, flow *callerFlow, event flowEvent) {
	switch event {
	case eventNone, eventSent:
		return
	case eventResent:
		c.report.Resent++
		return
	case eventStray:
		c.report.Stray++
		return
	case eventOpened:
		c.report.Opened++
		return
	case eventAnswered:
		c.report.Messages++
		_ = c.latency.RecordValue(now.Sub(flow.firstSent).Microseconds())
		return
	case eventClosed:
		c.report.Closed++
	case eventNotOpened:
		c.report.NotOpened++
	default:
		c.recordBreak(now, flow, event)
	}
	c.removeFlow(flow)
}

func (c *FlowCaller) recordBreak(now time.Time, flow *callerFlow, event flowEvent) {
	cause := breakCauses[event]
	if cause == BreakMismatch {
		c.report.Mismatched++
	}
	c.report.Breaks = append(c.report.Breaks, Break{
		Service:  c.Service,
		Server:   flow.server,
		Cause:    cause,
		Sent:     flow.firstSent,
		Detected: now,
	})
}

func (c *FlowCaller) removeFlow(flow *callerFlow) {
	delete(c.flows, flow.port)
	if flow.isLong {
		c.longCount--
	} else {
		c.shortCount--
	}
}

// NewLatencyHistogram returns a histogram of times up to a minute, in microseconds.
func NewLatencyHistogram() *hdrhistogram.Histogram {
	const significantFigures = 3
	return hdrhistogram.New(1, time.Minute.Microseconds(), significantFigures)
}
