package platformstandin

import (
	"fmt"
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
		{"drain", "targets are replaced one after the other", func(s *Site) { s.release(3*time.Second, 3) }},
		{"evacuate", "a zone is taken out and back", (*Site).evacuate},
		{"burst", "clients send three times as much", (*Site).burst},
		{"stop_hosts", "each host is stopped and started in turn", (*Site).rollHosts},
		{"kill_hosts", "all hosts are killed at once", (*Site).killHosts},
		{"cut_zone", "a zone is cut off from all others and from the store", (*Site).cutZone},
		{"store_busy", "the store answers 503, targets leave meanwhile", func(s *Site) { s.storeFails(Faults{Outage: Busy}) }},
		{"store_many", "the store answers 429", func(s *Site) { s.storeFails(Faults{Outage: Many}) }},
		{"store_silent", "the store does not answer", func(s *Site) { s.storeFails(Faults{Outage: Silent}) }},
		{"store_cut", "the store breaks calls off", func(s *Site) { s.storeFails(Faults{Outage: Cut}) }},
		{"store_slow", "the store takes 240 ms longer", func(s *Site) { s.storeFails(Faults{Slow: 240 * time.Millisecond}) }},
		{"store_stale", "serializable reads lag by 2 s", func(s *Site) { s.storeFails(Faults{Stale: 2 * time.Second}) }},
		{"store_forgets", "the store drops its history while targets leave", (*Site).storeForgets},
		{"store_refuses_hosts", "the store turns one host in three away", (*Site).storeRefusesHosts},
		{"records_lapse", "records lapse while the store is away, and come back", (*Site).recordsLapse},
		{"hosts_start_blind", "hosts are killed while the store is away", (*Site).hostsStartBlind},
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

// drainTime is how long a draining target serves on.
const drainTime = 4 * time.Second

// release replaces targets, one a second.
func (s *Site) release(at time.Duration, count int) {
	time.Sleep(at)
	for i := range count {
		s.locked(func() {
			old := s.targets[i]
			s.addTarget(old.Service, old.Zone, old.Work)
			old.state, old.since = Draining, time.Now()
			s.after(drainTime, func() {
				old.crash(Dark)
				s.Store.Delete("servers", old.ID)
			})
		})
		time.Sleep(time.Second)
	}
}

func (s *Site) evacuate() {
	time.Sleep(3 * time.Second)
	zone := s.Zones[len(s.Zones)-1]
	s.Store.Put("evacuations", zone, map[string]any{})
	s.locked(func() { s.out, s.outSince = zone, time.Now() })
	time.Sleep(8 * time.Second)
	s.Store.Delete("evacuations", zone)
	s.locked(func() { s.out = "" })
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
		node.process.stop()
		time.Sleep(2200 * time.Millisecond)
		s.start(node)
		time.Sleep(time.Second)
	}
}

func (s *Site) killHosts() {
	time.Sleep(3 * time.Second)
	s.kill(0)
	time.Sleep(time.Second)
	s.restart()
}

func (s *Site) kill(from int) {
	for _, node := range s.hosts[from:] {
		node.process.kill()
	}
}

func (s *Site) restart() {
	for _, node := range s.hosts {
		if node.process.dead() {
			s.start(node)
		}
	}
}

func (s *Site) cutZone() {
	time.Sleep(3 * time.Second)
	s.locked(func() { s.cut[s.Zones[0]] = true })
	time.Sleep(troubleTime)
	s.locked(func() {
		delete(s.cut, s.Zones[0])
		s.harmed = time.Now()
	})
}

// storeCalm reports whether the store has long been undisturbed.
func (s *Site) storeCalm() bool { return s.storeHarmed.IsZero() }

func (s *Site) storeFails(f Faults) {
	time.Sleep(3 * time.Second)
	s.locked(func() { s.storeHarmed = time.Now() })
	s.Store.SetFaults(f)
	s.release(0, 1)
	time.Sleep(troubleTime)
	s.Store.SetFaults(Faults{})
}

func (s *Site) storeForgets() {
	time.Sleep(3 * time.Second)
	s.locked(func() { s.storeHarmed = time.Now() })
	s.release(0, 1)
	s.Store.Forget()
}

func (s *Site) storeRefusesHosts() {
	time.Sleep(3 * time.Second)
	s.locked(func() { s.storeHarmed = time.Now() })
	for i, node := range s.hosts {
		if i%3 == 0 {
			s.Store.Refuse(node.name, Faults{Outage: Many})
		}
	}
	s.release(0, 1)
	time.Sleep(troubleTime)
	for _, node := range s.hosts {
		s.Store.Refuse(node.name, Faults{})
	}
}

// recordsLapse lets half of the records lapse while the store is away. They
// are back a second after it is.
func (s *Site) recordsLapse() {
	time.Sleep(3 * time.Second)
	s.locked(func() { s.storeHarmed = time.Now() })
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

func (s *Site) hostsStartBlind() {
	time.Sleep(3 * time.Second)
	s.locked(func() { s.storeHarmed = time.Now() })
	s.Store.SetFaults(Faults{Outage: Silent})
	time.Sleep(time.Second)
	s.kill(len(s.hosts) / 2)
	time.Sleep(500 * time.Millisecond)
	s.restart()
	time.Sleep(troubleTime)
	s.Store.SetFaults(Faults{})
}

// String describes the trouble.
func (t Trouble) String() string { return fmt.Sprintf("%-20s %s", t.Name, t.About) }
