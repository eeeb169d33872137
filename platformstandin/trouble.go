package platformstandin

import (
	"fmt"
	"net/netip"
	"slices"
	"time"
)

// Trouble is a disruption of a site.
type Trouble struct {
	Name  string
	About string
	Apply func(*Site)
}

// Troubles returns all troubles that a site knows.
func Troubles() []Trouble {
	return []Trouble{
		{"none", "nothing happens", nil},
		{"crash_dark", "two targets fall silent for good", func(s *Site) { s.crash(3*time.Second, Dark, 2) }},
		{"crash_refusing", "the targets of a zone crash, their machines refuse", func(s *Site) { s.crashZone(3*time.Second, Refusing) }},
		{"reuse", "targets crash, and their addresses go to another service", (*Site).reuse},
		{"drain", "targets are replaced one after the other", func(s *Site) { s.release(3*time.Second, 3) }},
		{"evacuate", "a zone is taken out and back", (*Site).evacuate},
		{"return_cold", "all targets of a service crash and come back cold", (*Site).returnCold},
		{"configure", "a route is added and dropped, and hosts are asked for it", (*Site).configure},
		{"burst", "clients send three times as much", (*Site).burst},
		{"stop_hosts", "each host is stopped and started in turn", (*Site).rollHosts},
		{"kill_hosts", "all hosts are killed at once", (*Site).killHosts},
		{"cut_zone", "a zone is cut off from all others and from the store", (*Site).cutZone},
		{"cut_zone_bare", "a zone is cut off and its targets have crashed; the zone's clients reach the others", (*Site).cutBareZone},
		{"cut_zone_out", "a zone is taken out and then cut off: no other targets are reached from it", (*Site).cutZoneOut},
		{"host_held_up", "all that passes a host's link is late", (*Site).holdUpHost},
		{"store_busy", "the store answers 503, targets leave meanwhile", func(s *Site) { s.storeFails(Faults{Outage: Busy}) }},
		{"store_many", "the store answers 429", func(s *Site) { s.storeFails(Faults{Outage: Many}) }},
		{"store_silent", "the store does not answer", func(s *Site) { s.storeFails(Faults{Outage: Silent}) }},
		{"store_cut", "the store breaks calls off", func(s *Site) { s.storeFails(Faults{Outage: Cut}) }},
		{"store_slow", "the store takes 240 ms longer", func(s *Site) { s.storeFails(Faults{Slow: 240 * time.Millisecond}) }},
		{"store_stale", "serializable reads lag by 2 s", func(s *Site) { s.storeFails(Faults{Stale: 2 * time.Second}) }},
		{"store_forgets", "the store drops its history while targets leave", (*Site).storeForgets},
		{"store_refuses_hosts", "the store turns one host in three away", (*Site).storeRefusesHosts},
		{"records_lapse", "records lapse while the store is away, and come back", (*Site).recordsLapse},
		{"hosts_start_blind", "hosts are killed while the store is away", func(s *Site) {
			s.startBlind(s.hosts[len(s.hosts)/2:], troubleTime)
		}},
		{"seeds_start_blind", "the hosts that others ask first are killed while the store is away", func(s *Site) {
			s.startBlind(s.hosts[:len(s.hosts)-1], 2*time.Second)
		}},
		{"hosts_start_stale", "all hosts are killed just after a zone was taken out, and serializable reads lag by 1 s", (*Site).startStale},
		{"most_start_blind", "all but one host of each zone are killed while the store turns all away", (*Site).mostStartBlind},
	}
}

// FindTrouble returns the trouble of a name.
func FindTrouble(name string) (Trouble, bool) {
	for _, t := range Troubles() {
		if t.Name == name {
			return t, true
		}
	}
	return Trouble{}, false
}

// troubleTime is how long a trouble lasts that ends by itself.
const troubleTime = 5 * time.Second

// locked runs f under the lock.
func (s *Site) locked(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

func (s *Site) crash(at time.Duration, state TargetState, count int) {
	time.Sleep(at)
	s.locked(func() {
		for _, t := range s.targets[:count] {
			t.crash(state)
		}
	})
}

func (s *Site) crashZone(at time.Duration, state TargetState) {
	time.Sleep(at)
	s.locked(func() {
		for _, t := range s.targets {
			if t.Zone == s.Zones[0] {
				t.crash(state)
			}
		}
	})
}

// reuse lets targets crash. Their addresses go to targets of another service
// while their records are still there.
func (s *Site) reuse() {
	time.Sleep(3 * time.Second)
	s.locked(func() {
		for _, old := range s.targets[:2] {
			old.crash(Dark)
		}
	})
	time.Sleep(2 * time.Second)
	s.locked(func() {
		for _, old := range s.targets[:2] {
			next := s.addTarget("press", old.Zone, 5*time.Millisecond)
			delete(s.byAddr, next.Address)
			next.Address = old.Address
			s.byAddr[next.Address] = next
		}
	})
}

// drainTime is how long a draining target serves on.
const drainTime = 4 * time.Second

// release replaces targets, one a second.
func (s *Site) release(at time.Duration, count int) {
	time.Sleep(at)
	for i := range count {
		s.locked(func() { s.replace(s.targets[i]) })
		time.Sleep(time.Second)
	}
}

func (s *Site) evacuate() {
	time.Sleep(3 * time.Second)
	zone := s.Zones[len(s.Zones)-1]
	s.Evacuate(zone)
	time.Sleep(8 * time.Second)
	s.Return(zone)
}

// evacuated returns for how long a zone has been out, if it is.
func (s *Site) evacuated(zone string) (time.Duration, bool) {
	return time.Since(s.outSince), s.out == zone
}

func (s *Site) burst() {
	time.Sleep(3 * time.Second)
	s.locked(func() { s.press = 3 })
	time.Sleep(3 * time.Second)
	s.locked(func() { s.press = 1 })
}

func (s *Site) rollHosts() {
	time.Sleep(2 * time.Second)
	for _, node := range s.hosts {
		s.RunOf(node).Stop()
		time.Sleep(2200 * time.Millisecond)
		s.start(node)
		time.Sleep(time.Second)
	}
}

func (s *Site) killHosts() {
	time.Sleep(3 * time.Second)
	s.kill(s.hosts)
	time.Sleep(time.Second)
	s.restart()
}

func (s *Site) kill(nodes []*Node) {
	for _, node := range nodes {
		s.RunOf(node).Kill()
	}
}

func (s *Site) restart() {
	for _, node := range s.hosts {
		if s.RunOf(node).Dead() {
			s.start(node)
		}
	}
}

func (s *Site) cutZone() {
	time.Sleep(3 * time.Second)
	s.cutFor(s.Zones[0], troubleTime)
}

// cutFor cuts a zone off from all others and from the store for a time.
func (s *Site) cutFor(zone string, d time.Duration) {
	s.locked(func() { s.cut[zone] = true })
	time.Sleep(d)
	s.locked(func() {
		delete(s.cut, zone)
		s.harmed = time.Now()
	})
}

// cutBareZone cuts a zone off whose targets end at the same time, for good.
func (s *Site) cutBareZone() {
	time.Sleep(3 * time.Second)
	s.locked(func() {
		for _, t := range s.targets {
			if t.Zone == s.Zones[0] {
				t.crash(Dark)
			}
		}
	})
	s.cutFor(s.Zones[0], troubleTime)
}

// cutZoneOut takes a zone out and cuts it off for a while.
func (s *Site) cutZoneOut() {
	time.Sleep(3 * time.Second)
	s.Evacuate(s.Zones[0])
	time.Sleep(time.Second)
	s.cutFor(s.Zones[0], 2*troubleTime)
	time.Sleep(troubleTime / 2)
	s.Return(s.Zones[0])
}

// heldUpTime is by how much the link of a host that is held up delays a packet.
const heldUpTime = 250 * time.Millisecond

// holdUpHost delays what one host sends and receives. Its targets are well.
func (s *Site) holdUpHost() {
	time.Sleep(3 * time.Second)
	s.locked(func() { s.hosts[0].lag = heldUpTime })
	time.Sleep(troubleTime)
	s.locked(func() { s.hosts[0].lag = 0 })
}

// calmTime is how long after the last harm the bounds hold again.
const calmTime = 8 * time.Second

// storeCalm reports whether the store and the hosts have long been undisturbed.
func (s *Site) storeCalm() bool {
	return s.storeHarmed.IsZero() || time.Since(s.storeHarmed) > calmTime
}

// Harm notes that the store or hosts are being disturbed: the bounds on drains
// and evacuations do not hold for a while.
func (s *Site) Harm() { s.locked(func() { s.storeHarmed = time.Now() }) }

// Break notes a broken rule that was found outside.
func (s *Site) Break(what string) { s.locked(func() { s.breaks(what) }) }

// State returns what has become of the target at an address.
func (s *Site) State(address netip.AddrPort) TargetState {
	_, state := s.occupant("", address)
	return state
}

// Hosts returns the machines of the entry hosts.
func (s *Site) Hosts() []*Node { return s.hosts }

// Restart starts a new run of an entry host.
func (s *Site) Restart(node *Node) { s.start(node) }

// RunOf returns the latest run of a machine's entry host.
func (s *Site) RunOf(node *Node) *Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return node.run
}

// Crash ends a target of a number at once; its machine refuses packets.
func (s *Site) Crash(number int) {
	s.locked(func() {
		if t := s.targets[number%len(s.targets)]; t.state == Running && s.spare(t) {
			t.crash(Refusing)
		}
	})
}

// Release replaces a target of a number.
func (s *Site) Release(number int) {
	s.locked(func() {
		old := s.targets[number%len(s.targets)]
		if old.state == Running {
			s.replace(old)
		}
	})
}

// spare reports whether other targets of the service are running.
func (s *Site) spare(t *Target) bool {
	running := 0
	for _, other := range s.targets {
		if other.Service == t.Service && other.state == Running {
			running++
		}
	}
	return running > 2
}

// replace adds a target in place of one that drains and then ends.
func (s *Site) replace(old *Target) {
	s.addTarget(old.Service, old.Zone, old.Work)
	old.state, old.since = Draining, time.Now()
	s.after(drainTime, func() {
		old.crash(Dark)
		s.Store.Delete("servers", old.ID)
	})
}

// Evacuate takes a zone out, and Return takes it back.
func (s *Site) Evacuate(zone string) {
	s.Store.Put("evacuations", zone, map[string]any{})
	s.locked(func() { s.out, s.outSince = zone, time.Now() })
}

// Return takes a zone back.
func (s *Site) Return(zone string) {
	s.Store.Delete("evacuations", zone)
	s.locked(func() { s.out = "" })
}

func (s *Site) storeFails(f Faults) {
	time.Sleep(3 * time.Second)
	s.Harm()
	s.Store.SetFaults(f)
	s.release(0, 1)
	time.Sleep(troubleTime)
	s.Store.SetFaults(Faults{})
}

func (s *Site) storeForgets() {
	time.Sleep(3 * time.Second)
	s.Harm()
	s.release(0, 1)
	s.Store.Forget()
}

func (s *Site) storeRefusesHosts() {
	time.Sleep(3 * time.Second)
	s.Harm()
	for i, node := range s.hosts {
		if i%3 == 0 {
			s.Store.Refuse(node.Name, Faults{Outage: Many})
		}
	}
	s.release(0, 1)
	time.Sleep(troubleTime)
	for _, node := range s.hosts {
		s.Store.Refuse(node.Name, Faults{})
	}
}

// recordsLapse lets half of the records lapse while the store is away. They
// are back a second after it is.
func (s *Site) recordsLapse() {
	time.Sleep(3 * time.Second)
	s.Harm()
	s.Store.SetFaults(Faults{Outage: Silent})
	time.Sleep(troubleTime)
	var lapsed []*Target
	s.locked(func() {
		lapsed = append(lapsed, s.targets[:len(s.targets)/2]...)
	})
	for _, t := range lapsed {
		s.Store.Delete("servers", t.ID)
	}
	s.Store.SetFaults(Faults{})
	// Targets find their records missing at their next heartbeat.
}

// startBlind kills hosts while the store is away, and has it back a while after they
// have started again.
func (s *Site) startBlind(nodes []*Node, away time.Duration) {
	time.Sleep(3 * time.Second)
	s.Harm()
	s.Store.SetFaults(Faults{Outage: Silent})
	time.Sleep(time.Second)
	s.kill(nodes)
	time.Sleep(500 * time.Millisecond)
	s.restart()
	time.Sleep(away)
	s.Store.SetFaults(Faults{})
}

// startStale lets all hosts start from lists that don't tell what was changed last.
func (s *Site) startStale() {
	time.Sleep(3 * time.Second)
	s.Store.SetFaults(Faults{Stale: time.Second})
	zone := s.Zones[0]
	s.Evacuate(zone)
	s.locked(func() { s.replace(s.targets[len(s.targets)-1]) })
	time.Sleep(200 * time.Millisecond)
	s.kill(s.hosts)
	time.Sleep(300 * time.Millisecond)
	s.restart()
	time.Sleep(2 * troubleTime)
	s.Store.SetFaults(Faults{})
	s.Return(zone)
}

// mostStartBlind leaves each zone its last host.
func (s *Site) mostStartBlind() {
	time.Sleep(3 * time.Second)
	s.Harm()
	s.Store.SetFaults(Faults{Outage: Busy})
	time.Sleep(time.Second)
	s.kill(slices.DeleteFunc(slices.Clone(s.hosts), func(n *Node) bool {
		last := slices.IndexFunc(s.hosts, func(other *Node) bool { return other.Zone == n.Zone }) + s.HostsPerZone - 1
		return n == s.hosts[last]
	}))
	time.Sleep(500 * time.Millisecond)
	s.restart()
	time.Sleep(troubleTime)
	s.Store.SetFaults(Faults{})
}

// String describes the trouble.
func (t Trouble) String() string { return fmt.Sprintf("%-20s %s", t.Name, t.About) }
