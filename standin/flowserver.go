package standin

import (
	"context"
	"net"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/rattanthread/rattanthread/fleet"
)

// FlowServer emulates a backend server of a flow service. It decapsulates
// packets, keeps minimal TCP state for each flow and responds to callers directly.
// The response to a message consists of the server's name and the message.
// FlowServer is safe for concurrent use.
type FlowServer struct {
	Name    fleet.ServerID
	Service fleet.ServiceName
	// Destination is the service's address; packets for another address count as misdelivered.
	Destination    netip.AddrPort
	MaxConnections int
	// AnswerPort is the UDP port at callers' addresses that receives encapsulated responses.
	AnswerPort uint16
	Warmup     Warmup
	Health     HealthEndpoint
	// Now is the clock; nil means time.Now.
	Now func() time.Time

	mu          sync.Mutex
	flows       map[fleet.FlowKey]*serverFlow
	late        lateCounter
	incarnation uint32
	counts      FlowServerCounts
}

// FlowServerCounts holds the counters of a FlowServer.
type FlowServerCounts struct {
	Packets      uint64       `json:"packets"`
	NewFlows     uint64       `json:"new_flows"`
	Messages     uint64       `json:"messages"`
	Duplicates   uint64       `json:"duplicates"`
	Misdelivered uint64       `json:"misdelivered"`
	Malformed    uint64       `json:"malformed"`
	UnknownFlow  uint64       `json:"unknown_flow"`
	Shed         uint64       `json:"shed"`
	LateNewWork  uint64       `json:"late_new_work"`
	LatePackets  uint64       `json:"late_packets"`
	Open         int          `json:"open"`
	Warmup       WarmupCounts `json:"warmth"`
}

type serverFlow struct {
	expected     uint32 // next sequence number from the caller
	sequence     uint32 // of the next packet to the caller
	lastResponse Packet // repeated for a duplicate
	lastSeen     time.Time
}

const (
	maxDatagram           = 65535           // bytes
	receiveBufferSize     = 4 << 20         // bytes, of a socket
	serverFlowIdleTimeout = 2 * time.Minute // after which a server may drop a flow
)

// Run serves encapsulated packets from socket until ctx is done.
func (s *FlowServer) Run(ctx context.Context, socket *net.UDPConn) error {
	_ = socket.SetReadBuffer(receiveBufferSize)
	stop := context.AfterFunc(ctx, func() { _ = socket.Close() })
	defer stop()
	buffer := make([]byte, maxDatagram)
	for {
		n, _, err := socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return errors.Wrapf(err, "server %s: read packet", s.Name)
		}
		response, ok := s.Receive(s.now(), buffer[:n])
		if !ok {
			continue
		}
		data, err := response.Encode()
		if err != nil {
			continue
		}
		to := netip.AddrPortFrom(response.Destination.Addr(), s.AnswerPort)
		_, _ = socket.WriteToUDPAddrPort(data, to)
	}
}

// Receive processes one encapsulated packet and returns the response, if there is one.
func (s *FlowServer) Receive(now time.Time, data []byte) (Packet, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Packets++
	p, err := DecodePacket(data)
	if err != nil {
		s.counts.Malformed++
		return Packet{}, false
	}
	if p.Destination != s.Destination {
		s.counts.Misdelivered++
		return Packet{}, false
	}
	if s.flows == nil {
		s.flows = make(map[fleet.FlowKey]*serverFlow)
	}
	if p.Protocol == fleet.ProtocolUDP {
		return s.receiveUDP(now, p), true
	}
	return s.receiveTCP(now, p)
}

func (s *FlowServer) receiveUDP(now time.Time, p Packet) Packet {
	key := p.flowKey()
	flow, exists := s.flows[key]
	s.late.record(now, !exists)
	if !exists {
		s.counts.NewFlows++
		s.Warmup.RecordArrival(now)
		flow = &serverFlow{}
		s.storeFlow(now, key, flow)
	}
	flow.lastSeen = now
	s.counts.Messages++
	s.Warmup.RecordCompletion(now)
	response := p.reply()
	response.Payload = s.responsePayload(p.Payload)
	return response
}

func (s *FlowServer) receiveTCP(now time.Time, p Packet) (Packet, bool) {
	key := p.flowKey()
	flow, exists := s.flows[key]
	isNew := p.Flags.Has(FlagSYN) && (!exists || flow.expected != p.Sequence+1)
	s.late.record(now, isNew)
	switch {
	case p.Flags.Has(FlagRST):
		delete(s.flows, key)
		return Packet{}, false
	case isNew:
		return s.openFlow(now, key, p), true
	case !exists:
		s.counts.UnknownFlow++
		return resetPacket(p), true
	}
	flow.lastSeen = now
	return s.receiveSegment(now, key, flow, p), true
}

func (s *FlowServer) openFlow(now time.Time, key fleet.FlowKey, p Packet) Packet {
	_, reused := s.flows[key]
	if !reused && s.MaxConnections > 0 && len(s.flows) >= s.MaxConnections {
		s.expireIdleFlows(now)
		if len(s.flows) >= s.MaxConnections {
			s.counts.Shed++
			return resetPacket(p)
		}
	}
	s.counts.NewFlows++
	if !s.Warmup.RecordArrival(now) {
		s.dropFlows()
		return resetPacket(p)
	}
	initial := initialSequence(key, s.incarnation)
	flow := &serverFlow{expected: p.Sequence + 1, sequence: initial + 1, lastSeen: now}
	response := p.reply()
	response.Flags = FlagSYN | FlagACK
	response.Sequence = initial
	response.Acknowledgement = flow.expected
	flow.lastResponse = response
	s.storeFlow(now, key, flow)
	return response
}

// receiveSegment processes a packet of an existing flow. An unexpected
// segment gets the previous response again.
func (s *FlowServer) receiveSegment(now time.Time, key fleet.FlowKey, flow *serverFlow, p Packet) Packet {
	length := p.segmentLength()
	if p.Sequence != flow.expected || length == 0 {
		if length > 0 {
			s.counts.Duplicates++
		}
		return flow.lastResponse
	}
	flow.expected += length
	response := p.reply()
	response.Flags = FlagACK
	response.Sequence = flow.sequence
	response.Acknowledgement = flow.expected
	if p.Flags.Has(FlagFIN) {
		response.Flags |= FlagFIN
		delete(s.flows, key)
		return response
	}
	s.counts.Messages++
	s.Warmup.RecordCompletion(now)
	response.Payload = s.responsePayload(p.Payload)
	flow.sequence += uint32(len(response.Payload))
	flow.lastResponse = response
	return response
}

// Restart makes the server cold and drops its flows, as a crash would.
func (s *FlowServer) Restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Warmup.Reset()
	s.dropFlows()
}

// ResetWarmup makes the server cold without reporting a restart. It keeps its flows.
func (s *FlowServer) ResetWarmup() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Warmup.Reset()
}

// SetNewWorkCutoff makes the server count new flows after t as late; a zero t ends this.
func (s *FlowServer) SetNewWorkCutoff(t time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.late.newWorkCutoff = t
}

// SetPacketCutoff makes the server count packets after t as late; a zero t ends this.
func (s *FlowServer) SetPacketCutoff(t time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.late.packetCutoff = t
}

// Counts returns the current counters.
func (s *FlowServer) Counts() FlowServerCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := s.counts
	counts.Open = len(s.flows)
	counts.LateNewWork = s.late.newWork
	counts.LatePackets = s.late.packets
	counts.Warmup = s.Warmup.Counts()
	return counts
}

// Load returns the current load report.
func (s *FlowServer) Load() Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Load{
		Ready:          true,
		Instance:       strconv.FormatUint(uint64(s.incarnation), 10),
		Connections:    len(s.flows),
		MaxConnections: s.MaxConnections,
		Load:           ratio(len(s.flows), s.MaxConnections),
	}
}

func (s *FlowServer) dropFlows() {
	s.incarnation++
	clear(s.flows)
}

// storeFlow stores a flow unless there are MaxConnections others.
func (s *FlowServer) storeFlow(now time.Time, key fleet.FlowKey, flow *serverFlow) {
	if s.MaxConnections > 0 && len(s.flows) >= s.MaxConnections {
		s.expireIdleFlows(now)
	}
	if s.MaxConnections == 0 || len(s.flows) < s.MaxConnections || s.flows[key] != nil {
		s.flows[key] = flow
	}
}

func (s *FlowServer) expireIdleFlows(now time.Time) {
	for key, flow := range s.flows {
		if now.Sub(flow.lastSeen) > serverFlowIdleTimeout {
			delete(s.flows, key)
		}
	}
}

func (s *FlowServer) responsePayload(message []byte) []byte {
	response := make([]byte, 0, len(s.Name)+1+len(message))
	response = append(response, s.Name...)
	response = append(response, ' ')
	return append(response, message...)
}

func (s *FlowServer) now() time.Time {
	if s.Now == nil {
		return time.Now()
	}
	return s.Now()
}

// resetPacket returns the TCP reset in response to p (RFC 9293, section 3.10.7.1).
func resetPacket(p Packet) Packet {
	response := p.reply()
	response.Flags = FlagRST
	if p.Flags.Has(FlagACK) {
		response.Sequence = p.Acknowledgement
		return response
	}
	response.Flags |= FlagACK
	response.Acknowledgement = p.Sequence + p.segmentLength()
	return response
}

func ratio(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
