package platformstandin

import (
	"net/netip"
	"time"
)

// probeRoute is a route that is added and removed during a run. No client uses it.
var probeRoute = netip.MustParseAddrPort("198.18.0.3:8443")

const (
	probeInterval = 100 * time.Millisecond
	probeTimeout  = 80 * time.Millisecond
	// revertSlack is how long after its first response according to the new
	// configuration a host may still respond according to the old one.
	revertSlack = 250 * time.Millisecond
)

// routeChange is the addition or removal of probeRoute.
type routeChange struct {
	added     bool
	changedAt time.Time
	// firstMatch is when each host first responded according to the new configuration.
	firstMatch map[*Node]time.Time
}

// changeRoute adds probeRoute and removes it again, and probes all hosts meanwhile.
func (s *Site) changeRoute() {
	time.Sleep(3 * time.Second)
	s.Configure(2, []netip.AddrPort{probeRoute})
	s.probeHosts(routeChange{added: true}, 5*time.Second)
	s.Configure(3, nil)
	s.probeHosts(routeChange{}, 5*time.Second)
}

// probeHosts repeatedly requests a flow on probeRoute from every host.
func (s *Site) probeHosts(change routeChange, duration time.Duration) {
	change.changedAt, change.firstMatch = time.Now(), make(map[*Node]time.Time)
	for time.Since(change.changedAt) < duration {
		for _, node := range s.hosts {
			s.probeHost(&change, node)
		}
		time.Sleep(probeInterval)
	}
}

// probeHost sends an opening packet to one host and checks the response.
func (s *Site) probeHost(change *routeChange, node *Node) {
	process := s.ProcessOf(node)
	if process == nil || process.Exited() || !process.Ready() {
		return
	}
	s.mu.Lock()
	s.probeCount++
	port := uint16(1000 + s.probeCount%60000)
	s.mu.Unlock()
	flow := flowID{netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 127, 0, byte(node.Index)}), port), probeRoute}
	inbox := make(chan answer, 4)
	s.listen(node.Zone, flow, inbox)
	sentAt := time.Now()
	opening := segment{flow: flow, flags: flagSYN, seq: 1}
	process.Deliver(opening.encode())
	go func() {
		defer s.stopListening(flow)
		select {
		case a := <-inbox:
			s.withLock(func() { s.checkProbe(change, node, sentAt, a.flags&flagSYN != 0) })
		case <-time.After(probeTimeout):
		}
	}()
}

// checkProbe checks that a host's response matches the configuration.
func (s *Site) checkProbe(change *routeChange, node *Node, sentAt time.Time, opened bool) {
	if opened == change.added {
		if change.firstMatch[node].IsZero() {
			change.firstMatch[node] = time.Now()
		}
		return
	}
	firstMatch := change.firstMatch[node]
	switch {
	case !firstMatch.IsZero() && sentAt.Sub(firstMatch) > revertSlack:
		s.addViolation("CONFIG: " + node.Name + " reverted to an earlier configuration")
	case sentAt.Sub(change.changedAt) > s.propagationBound && s.boundsApply():
		s.addViolation("CONFIG: " + node.Name + " still uses an earlier configuration")
	}
}
