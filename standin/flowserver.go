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

// FlowServer is a backend server of a flow service. It unwraps encapsulated
// packets, keeps a little TCP state for each flow and answers callers directly.
// Every message gets an answer that names the server and repeats the message.
// FlowServer is safe for concurrent use.
type FlowServer struct {
	Name    fleet.ServerID
	Service fleet.ServiceName
	// Destination is the service's address; a packet for another address is a misdelivery.
	Destination    netip.AddrPort
	MaxConnections int
	// AnswerPort is the UDP port at callers' addresses that takes encapsulated answers.
	AnswerPort uint16
	Warmth     Warmth
	Health     Health
	// Now is the clock; nil means time.Now.
	Now func() time.Time

	mu       sync.Mutex
	flows    map[fleet.FlowKey]*serverFlow
	presence presence
	life     uint32
	counts   FlowServerCounts
}

// FlowServerCounts are what a flow server saw.
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
	Warmth       WarmthCounts `json:"warmth"`
}

type serverFlow struct {
	next     uint32 // the sequence number expected from the caller
	sent     uint32 // the next own sequence number
	last     Packet // the latest answer, repeated for a duplicate
	lastSeen time.Time
}

const (
	maxDatagram    = 65535           // bytes
	readBuffer     = 4 << 20         // bytes, of a socket
	serverFlowIdle = 2 * time.Minute // after which a server drops a silent flow
)

// Run serves encapsulated packets from socket until the context ends.
func (s *FlowServer) Run(ctx context.Context, socket *net.UDPConn) error {
	_ = socket.SetReadBuffer(readBuffer)
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
		answer, ok := s.Receive(s.now(), buffer[:n])
		if !ok {
			continue
		}
		data, err := answer.Encode()
		if err != nil {
			continue
		}
		to := netip.AddrPortFrom(answer.Destination.Addr(), s.AnswerPort)
		_, _ = socket.WriteToUDPAddrPort(data, to)
	}
}

// Receive takes one encapsulated packet and returns the answer, if there is one.
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
	flow, known := s.flows[key]
	s.presence.arrive(now, !known)
	if !known {
		s.counts.NewFlows++
		s.Warmth.Arrive(now)
		flow = &serverFlow{}
		s.keep(now, key, flow)
	}
	flow.lastSeen = now
	s.counts.Messages++
	s.Warmth.Serve(now)
	answer := p.reply()
	answer.Payload = s.answer(p.Payload)
	return answer
}

func (s *FlowServer) receiveTCP(now time.Time, p Packet) (Packet, bool) {
	key := p.flowKey()
	flow, known := s.flows[key]
	isNew := p.Flags.Has(FlagSYN) && (!known || flow.next != p.Sequence+1)
	s.presence.arrive(now, isNew)
	switch {
	case p.Flags.Has(FlagRST):
		delete(s.flows, key)
		return Packet{}, false
	case isNew:
		return s.open(now, key, p), true
	case !known:
		s.counts.UnknownFlow++
		return reset(p), true
	}
	flow.lastSeen = now
	return s.segment(now, key, flow, p), true
}

func (s *FlowServer) open(now time.Time, key fleet.FlowKey, p Packet) Packet {
	_, reused := s.flows[key]
	if !reused && s.MaxConnections > 0 && len(s.flows) >= s.MaxConnections {
		s.forgetIdle(now)
		if len(s.flows) >= s.MaxConnections {
			s.counts.Shed++
			return reset(p)
		}
	}
	s.counts.NewFlows++
	if !s.Warmth.Arrive(now) {
		s.fall()
		return reset(p)
	}
	own := sequenceOf(key, s.life)
	flow := &serverFlow{next: p.Sequence + 1, sent: own + 1, lastSeen: now}
	answer := p.reply()
	answer.Flags = FlagSYN | FlagACK
	answer.Sequence = own
	answer.Acknowledgement = flow.next
	flow.last = answer
	s.keep(now, key, flow)
	return answer
}

// segment takes a packet of a known flow. Only the expected segment is new;
// any other gets the latest answer again.
func (s *FlowServer) segment(now time.Time, key fleet.FlowKey, flow *serverFlow, p Packet) Packet {
	length := p.segmentLength()
	if p.Sequence != flow.next || length == 0 {
		if length > 0 {
			s.counts.Duplicates++
		}
		return flow.last
	}
	flow.next += length
	answer := p.reply()
	answer.Flags = FlagACK
	answer.Sequence = flow.sent
	answer.Acknowledgement = flow.next
	if p.Flags.Has(FlagFIN) {
		answer.Flags |= FlagFIN
		delete(s.flows, key)
		return answer
	}
	s.counts.Messages++
	s.Warmth.Serve(now)
	answer.Payload = s.answer(p.Payload)
	flow.sent += uint32(len(answer.Payload))
	flow.last = answer
	return answer
}

// Restart makes the server cold and forgets its flows, as a crash would.
func (s *FlowServer) Restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Warmth.Cold()
	s.fall()
}

// TurnCold makes the server cold without a sign of it; its flows stay.
func (s *FlowServer) TurnCold() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Warmth.Cold()
}

// NoNewWorkAfter counts new flows that come later than t; zero ends that.
func (s *FlowServer) NoNewWorkAfter(t time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.presence.noNewAfter = t
}

// NoPacketsAfter counts packets that come later than t; zero ends that.
func (s *FlowServer) NoPacketsAfter(t time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.presence.noneAfter = t
}

// Counts returns what the server saw so far.
func (s *FlowServer) Counts() FlowServerCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := s.counts
	counts.Open = len(s.flows)
	counts.LateNewWork = s.presence.lateNewWork
	counts.LatePackets = s.presence.latePackets
	counts.Warmth = s.Warmth.Counts()
	return counts
}

// Load returns what the server says of itself now.
func (s *FlowServer) Load() Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Load{
		Ready:          true,
		Instance:       strconv.FormatUint(uint64(s.life), 10),
		Connections:    len(s.flows),
		MaxConnections: s.MaxConnections,
		Load:           ratio(len(s.flows), s.MaxConnections),
	}
}

func (s *FlowServer) fall() {
	s.life++
	clear(s.flows)
}

// keep stores a flow and bounds how many there are.
func (s *FlowServer) keep(now time.Time, key fleet.FlowKey, flow *serverFlow) {
	if s.MaxConnections > 0 && len(s.flows) >= s.MaxConnections {
		s.forgetIdle(now)
	}
	if s.MaxConnections == 0 || len(s.flows) < s.MaxConnections || s.flows[key] != nil {
		s.flows[key] = flow
	}
}

func (s *FlowServer) forgetIdle(now time.Time) {
	for key, flow := range s.flows {
		if now.Sub(flow.lastSeen) > serverFlowIdle {
			delete(s.flows, key)
		}
	}
}

func (s *FlowServer) answer(message []byte) []byte {
	answer := make([]byte, 0, len(s.Name)+1+len(message))
	answer = append(answer, s.Name...)
	answer = append(answer, ' ')
	return append(answer, message...)
}

func (s *FlowServer) now() time.Time {
	if s.Now == nil {
		return time.Now()
	}
	return s.Now()
}

// reset answers p with a TCP reset as RFC 9293, section 3.10.7.1, has it.
func reset(p Packet) Packet {
	answer := p.reply()
	answer.Flags = FlagRST
	if p.Flags.Has(FlagACK) {
		answer.Sequence = p.Acknowledgement
		return answer
	}
	answer.Flags |= FlagACK
	answer.Acknowledgement = p.Sequence + p.segmentLength()
	return answer
}

func ratio(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
