package platformstandin

import (
	"net/netip"
	"time"
)

// probeRoute is a route that comes and goes. No client uses it.
var probeRoute = netip.MustParseAddrPort("198.18.0.3:8443")

// Times of the probes of probeRoute.
const (
	probeEvery = 100 * time.Millisecond
	probeWait  = 80 * time.Millisecond
	// regressSlack is how much later than it showed the new configuration a host
	// may still show the old one.
	regressSlack = 250 * time.Millisecond
)

// change is a change of the configuration that the probes look for.
type change struct {
	added bool
	at    time.Time
	// shown is when each host first showed it.
	shown map[*Node]time.Time
}

// configure adds a route and drops it again, and probes all hosts meanwhile.
func (s *Site) configure() {
	time.Sleep(3 * time.Second)
	s.Configure(2, []netip.AddrPort{probeRoute})
	s.probe(change{added: true}, 5*time.Second)
	s.Configure(3, nil)
	s.probe(change{}, 5*time.Second)
}

// probe asks every host again and again for a flow on the route.
func (s *Site) probe(c change, length time.Duration) {
	c.at, c.shown = time.Now(), make(map[*Node]time.Time)
	for time.Since(c.at) < length {
		for _, node := range s.hosts {
			s.probeHost(&c, node)
		}
		time.Sleep(probeEvery)
	}
}

// probeHost sends an opening packet to one host, and checks the answer.
func (s *Site) probeHost(c *change, node *Node) {
	run := s.RunOf(node)
	if run == nil || run.Dead() || !run.Ready() {
		return
	}
	s.mu.Lock()
	s.probes++
	port := uint16(1000 + s.probes%60000)
	s.mu.Unlock()
	flow := flowID{netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 127, 0, byte(node.Index)}), port), probeRoute}
	inbox := make(chan answer, 4)
	s.listen(node.Zone, flow, inbox)
	sent := time.Now()
	opening := segment{flow: flow, flags: flagSYN, seq: 1}
	run.Deliver(opening.encode())
	go func() {
		defer s.forget(flow)
		select {
		case a := <-inbox:
			s.locked(func() { s.probed(c, node, sent, a.flags&flagSYN != 0) })
		case <-time.After(probeWait):
		}
	}()
}

// probed checks what a host's answer tells of its configuration.
func (s *Site) probed(c *change, node *Node, sent time.Time, opened bool) {
	if opened == c.added {
		if c.shown[node].IsZero() {
			c.shown[node] = time.Now()
		}
		return
	}
	shown := c.shown[node]
	switch {
	case !shown.IsZero() && sent.Sub(shown) > regressSlack:
		s.breaks("CONFIG: " + node.Name + " went back to an earlier configuration")
	case sent.Sub(c.at) > s.bound && s.storeCalm():
		s.breaks("CONFIG: " + node.Name + " goes by an earlier configuration")
	}
}
