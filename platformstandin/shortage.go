package platformstandin

import (
	"net/netip"
	"time"

	"github.com/rattanthread/rattanthread/entry"
)

// Slowdown of targets. With slowdownFactor a request of the service bench takes longer than the
// objective of its class and less than the deadline.
const (
	slowdownFactor = 8
	// slowShare is the share of the targets that are slow: one in slowShare.
	slowShare = 4
)

// noRoom is the reason of a refusal for lack of capacity in decisions and logs.
const noRoom = "no_room"

// SlowTargets makes one in slowShare of the targets slower for a time, beginning with the one with
// a number.
func (s *Site) SlowTargets(number int, duration time.Duration) {
	var slowed []*Target
	s.withLock(func() {
		for i := number % slowShare; i < len(s.targets); i += slowShare {
			slowed = append(slowed, s.targets[i])
		}
		for _, t := range slowed {
			t.slowdowns++
		}
	})
	time.Sleep(duration)
	s.withLock(func() {
		for _, t := range slowed {
			t.slowdowns--
		}
	})
}

// fillTargets keeps half of the targets at their limit of connections for a time.
func (s *Site) fillTargets(duration time.Duration) {
	var filled []*Target
	s.withLock(func() {
		for i, t := range s.targets {
			if i%2 == 0 {
				filled = append(filled, t)
				t.atConnectionLimit = true
			}
		}
	})
	time.Sleep(duration)
	s.withLock(func() {
		for _, t := range filled {
			t.atConnectionLimit = false
		}
	})
}

// isAtConnectionLimit reports whether the target at an address resets connections.
func (s *Site) isAtConnectionLimit(address netip.AddrPort) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.targetByAddr[address]
	return t != nil && t.atConnectionLimit
}

// requestTime returns the time that a request takes now.
func (t *Target) requestTime() time.Duration {
	if t.slowdowns > 0 {
		return slowdownFactor * t.ServiceTime
	}
	return t.ServiceTime
}

// CheckRefusal records that a host has refused a flow for lack of capacity. Such a refusal tells
// the caller that its request did not run, so that no target may have run it, or run it later. A
// refusal that the network has lost tells the caller nothing: it sends its opening packet again.
func (s *Site) CheckRefusal(client, route netip.AddrPort) {
	id := flowID{client: client, route: route}
	s.withLock(func() {
		s.refusedFlows[id] = true
		s.checkRefusedFlow(id)
	})
}

// recordFlowRun records that a target runs a request of a flow.
func (s *Site) recordFlowRun(id flowID) {
	s.flowsRun[id] = true
	s.checkRefusedFlow(id)
}

func (s *Site) checkRefusedFlow(id flowID) {
	if s.refusedFlows[id] && s.flowsRun[id] && !s.lostResets[id] {
		s.addViolation("REFUSAL: a request of a flow that was refused for lack of room ran")
	}
}

// halfOpenInterval is the time between two opening packets that openHalfway sends through a host: 100 a
// second for each target of the service bench with two hosts and four targets in each zone. Openings that
// count for 200 ms then exceed the limit of a target, which is at most 10.
const halfOpenInterval = 5 * time.Millisecond

// openHalfway sends opening packets through all hosts and ignores the responses, as a scan does. The route
// has a higher priority than another one of its service, so that flows of the other one may be refused.
func (s *Site) openHalfway() {
	time.Sleep(3 * time.Second)
	for n := range int(faultDuration / halfOpenInterval) {
		for i, node := range s.hosts {
			source := netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 126, byte(n >> 8), byte(n)}), uint16(1000+i))
			opening := segment{flow: flowID{source, orderRoute}, flags: flagSYN, seq: 1}
			s.ProcessOf(node).Deliver(opening.encode())
		}
		time.Sleep(halfOpenInterval)
	}
}

// recordOf returns the function that receives the events of a host.
func (s *Site) recordOf(node *Node) func(entry.Event) {
	return func(e entry.Event) {
		if node.Index == 0 && s.Record != nil {
			s.Record(e)
		}
		if e.Packet != nil && e.Packet.Decision.Reason.String() == noRoom {
			s.CheckRefusal(e.Packet.Packet.Source, e.Packet.Packet.Destination)
		}
	}
}
