package platformstandin

import (
	"fmt"
	"net/netip"
	"slices"
	"time"
)

// Fault is a fault that can be injected into a site.
type Fault struct {
	Name        string
	Description string
	Inject      func(*Site)
}

// Faults returns all faults.
func Faults() []Fault {
	return []Fault{
		{"none", "nothing happens", nil},
		{"crash_dark", "two targets become unreachable permanently", func(s *Site) { s.crashTargets(3*time.Second, Unreachable, 2) }},
		{"crash_refusing", "the targets of a zone crash, and their machines reject packets", func(s *Site) { s.crashZone(3*time.Second, Refusing) }},
		{"reuse", "targets crash, and their addresses are reused by another service", (*Site).reuseAddresses},
		{"drain", "targets are replaced one after the other", func(s *Site) { s.replaceTargets(3*time.Second, 3) }},
		{"evacuate", "a zone is taken out of service and back in", (*Site).evacuateZone},
		{"return_cold", "all targets of a service crash and are replaced by cold ones", (*Site).replaceWithColdTargets},
		{"configure", "a route is added and removed, and all hosts are probed for it", (*Site).changeRoute},
		{"burst", "clients send requests three times as often", (*Site).burst},
		{"slow_targets", "one target in four takes eight times as long for a request", func(s *Site) {
			time.Sleep(3 * time.Second)
			s.SlowTargets(0, faultDuration)
		}},
		{"full_targets", "one target in two is at its limit of connections", func(s *Site) {
			time.Sleep(3 * time.Second)
			s.fillTargets(faultDuration)
		}},
		{"half_open", "every host gets 200 opening packets a second of flows that no client completes", (*Site).openHalfway},
		{"stop_hosts", "each host is stopped and restarted in turn", (*Site).restartHostsInTurn},
		{"kill_hosts", "all hosts are killed at once", (*Site).killHosts},
		{"cut_zone", "a zone is partitioned from all others and from the store", (*Site).partitionZone},
		{"cut_zone_bare", "a zone is partitioned, and its targets crash; its clients reach other zones", (*Site).partitionZoneWithoutTargets},
		{"cut_zone_out", "a zone is taken out of service, then partitioned from all others and from the store", (*Site).partitionEvacuatedZone},
		{"host_held_up", "the link of a host delays all packets", (*Site).delayHostLink},
		{"store_busy", "the store responds with status 503 while a target is replaced", func(s *Site) { s.failStore(StoreFaults{Outage: Unavailable}) }},
		{"store_many", "the store responds with status 429", func(s *Site) { s.failStore(StoreFaults{Outage: TooManyRequests}) }},
		{"store_silent", "the store does not respond", func(s *Site) { s.failStore(StoreFaults{Outage: Unresponsive}) }},
		{"store_cut", "the store resets connections", func(s *Site) { s.failStore(StoreFaults{Outage: ConnectionReset}) }},
		{"store_slow", "the store responds 240 ms later", func(s *Site) { s.failStore(StoreFaults{Delay: 240 * time.Millisecond}) }},
		{"store_stale", "serializable reads lag by 2 s", func(s *Site) { s.failStore(StoreFaults{ReadLag: 2 * time.Second}) }},
		{"store_forgets", "the store drops its history while a target is replaced", (*Site).dropStoreHistory},
		{"store_restored", "the store returns from a copy that is older than some changes, which are written again", (*Site).restoreStore},
		{"store_refuses_hosts", "the store responds to one host in three with status 429", (*Site).failStoreForHosts},
		{"records_lapse", "records of targets expire while the store is unavailable, and are written again", (*Site).expireRecords},
		{"hosts_start_blind", "half of the hosts are restarted while the store is unavailable", func(s *Site) {
			s.startWithoutStore(s.hosts[len(s.hosts)/2:], faultDuration)
		}},
		{"seeds_start_blind", "all hosts but one, seeds included, are restarted while the store is unavailable", func(s *Site) {
			s.startWithoutStore(s.hosts[:len(s.hosts)-1], 2*time.Second)
		}},
		{"hosts_start_stale", "all hosts are restarted just after a zone is taken out of service, and serializable reads lag by 1 s", (*Site).startFromStaleLists},
		{"hosts_added", "one host of each zone is added later, then targets lose their records one after the other", (*Site).addHosts},
		{"restart_elsewhere", "a target starts again under its ID at another address, then hosts are restarted and stopped", (*Site).restartTargetElsewhere},
		{"most_start_blind", "all but one host of each zone are restarted while the store responds with status 503", (*Site).startMostWithoutStore},
	}
}

// FindFault returns the fault with a name.
func FindFault(name string) (Fault, bool) {
	for _, fault := range Faults() {
		if fault.Name == name {
			return fault, true
		}
	}
	return Fault{}, false
}

// faultDuration is the duration of most temporary faults.
const faultDuration = 5 * time.Second

// withLock calls f with s.mu held.
func (s *Site) withLock(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

func (s *Site) crashTargets(delay time.Duration, state TargetState, count int) {
	time.Sleep(delay)
	s.withLock(func() {
		for _, t := range s.targets[:count] {
			t.crash(state)
		}
	})
}

func (s *Site) crashZone(delay time.Duration, state TargetState) {
	time.Sleep(delay)
	s.withLock(func() {
		for _, t := range s.targets {
			if t.Zone == s.Zones[0] {
				t.crash(state)
			}
		}
	})
}

// reuseAddresses crashes targets and assigns their addresses to targets of another
// service while the records of the old targets still exist.
func (s *Site) reuseAddresses() {
	time.Sleep(3 * time.Second)
	s.withLock(func() {
		for _, old := range s.targets[:2] {
			old.crash(Unreachable)
		}
	})
	time.Sleep(2 * time.Second)
	s.withLock(func() {
		for _, old := range s.targets[:2] {
			replacement := s.addTarget("press", old.Zone, 5*time.Millisecond)
			delete(s.targetByAddr, replacement.Address)
			replacement.Address = old.Address
			s.targetByAddr[replacement.Address] = replacement
		}
	})
}

// drainTime is how long a draining target keeps running.
const drainTime = 4 * time.Second

// replaceTargets replaces targets, one per second.
func (s *Site) replaceTargets(delay time.Duration, count int) {
	time.Sleep(delay)
	for i := range count {
		s.withLock(func() { s.drainAndReplace(s.targets[i]) })
		time.Sleep(time.Second)
	}
}

func (s *Site) evacuateZone() {
	time.Sleep(3 * time.Second)
	zone := s.Zones[len(s.Zones)-1]
	s.Evacuate(zone)
	time.Sleep(8 * time.Second)
	s.EndEvacuation(zone)
}

// evacuatedFor returns how long a zone has been out of service, and whether it is.
func (s *Site) evacuatedFor(zone string) (time.Duration, bool) {
	return time.Since(s.evacuatedAt), s.evacuatedZone == zone
}

func (s *Site) burst() {
	time.Sleep(3 * time.Second)
	s.withLock(func() { s.loadFactor = 3 })
	time.Sleep(3 * time.Second)
	s.withLock(func() { s.loadFactor = 1 })
}

func (s *Site) restartHostsInTurn() {
	time.Sleep(2 * time.Second)
	for _, node := range s.hosts {
		s.ProcessOf(node).Stop()
		time.Sleep(2200 * time.Millisecond)
		s.startHost(node)
		time.Sleep(time.Second)
	}
}

func (s *Site) killHosts() {
	time.Sleep(3 * time.Second)
	s.killNodes(s.hosts)
	time.Sleep(time.Second)
	s.restartExited()
}

func (s *Site) killNodes(nodes []*Node) {
	for _, node := range nodes {
		s.ProcessOf(node).Kill()
	}
}

func (s *Site) restartExited() {
	for _, node := range s.hosts {
		if s.ProcessOf(node).Exited() {
			s.startHost(node)
		}
	}
}

func (s *Site) partitionZone() {
	time.Sleep(3 * time.Second)
	s.partitionFor(s.Zones[0], faultDuration)
}

// partitionFor partitions a zone from all others and from the store for a time.
func (s *Site) partitionFor(zone string, duration time.Duration) {
	s.withLock(func() { s.partitioned[zone] = true })
	time.Sleep(duration)
	s.withLock(func() {
		delete(s.partitioned, zone)
		s.partitionEndedAt = time.Now()
	})
}

// partitionZoneWithoutTargets partitions a zone for a time and crashes its targets
// permanently.
func (s *Site) partitionZoneWithoutTargets() {
	time.Sleep(3 * time.Second)
	s.withLock(func() {
		for _, t := range s.targets {
			if t.Zone == s.Zones[0] {
				t.crash(Unreachable)
			}
		}
	})
	s.partitionFor(s.Zones[0], faultDuration)
}

// partitionEvacuatedZone takes a zone out of service and partitions it for a time.
func (s *Site) partitionEvacuatedZone() {
	time.Sleep(3 * time.Second)
	s.Evacuate(s.Zones[0])
	time.Sleep(time.Second)
	s.partitionFor(s.Zones[0], 2*faultDuration)
	time.Sleep(faultDuration / 2)
	s.EndEvacuation(s.Zones[0])
}

// hostLinkDelay is the one-way delay that delayHostLink adds to a link.
const hostLinkDelay = 250 * time.Millisecond

// delayHostLink delays all packets that one host sends and receives. No target is
// affected.
func (s *Site) delayHostLink() {
	time.Sleep(3 * time.Second)
	s.withLock(func() { s.hosts[0].linkDelay = hostLinkDelay })
	time.Sleep(faultDuration)
	s.withLock(func() { s.hosts[0].linkDelay = 0 })
}

// boundsRelaxedTime is how long after the last call of RelaxBounds the bounds are not
// checked.
const boundsRelaxedTime = 8 * time.Second

// boundsApply reports whether the bounds are checked; see [Site.RelaxBounds].
func (s *Site) boundsApply() bool {
	return s.boundsRelaxedAt.IsZero() || time.Since(s.boundsRelaxedAt) > boundsRelaxedTime
}

// RelaxBounds records that the store or hosts are being disturbed. The bounds on
// configurations, drains and evacuations are not checked for some time afterwards.
func (s *Site) RelaxBounds() { s.withLock(func() { s.boundsRelaxedAt = time.Now() }) }

// Reconfigure writes the next configuration.
func (s *Site) Reconfigure() { s.Configure(s.ConfigurationNumber()+1, nil) }

// ConfigurationNumber returns the number of the configuration in the store.
func (s *Site) ConfigurationNumber() int {
	number, _ := s.Store.spec("config", "main")["version"].(float64)
	return int(number)
}

// ReportViolation adds a violation that the caller detected to the report.
func (s *Site) ReportViolation(violation string) { s.withLock(func() { s.addViolation(violation) }) }

// StateOf returns the state of the target at an address.
func (s *Site) StateOf(address netip.AddrPort) TargetState {
	_, state := s.targetAt("", address)
	return state
}

// Hosts returns the machines of the entry hosts.
func (s *Site) Hosts() []*Node { return s.hosts }

// Restart starts a new process on a machine.
func (s *Site) Restart(node *Node) { s.startHost(node) }

// ProcessOf returns the latest process of a machine.
func (s *Site) ProcessOf(node *Node) *Process {
	s.mu.Lock()
	defer s.mu.Unlock()
	return node.process
}

// CrashTarget crashes the target with a number, unless its service would be left with
// fewer than two running targets. The machine of the target then rejects packets.
func (s *Site) CrashTarget(number int) {
	s.withLock(func() {
		if t := s.targets[number%len(s.targets)]; t.state == Running && s.hasSpares(t) {
			t.crash(Refusing)
		}
	})
}

// ReplaceTarget replaces the target with a number if it is running.
func (s *Site) ReplaceTarget(number int) {
	s.withLock(func() {
		target := s.targets[number%len(s.targets)]
		if target.state == Running {
			s.drainAndReplace(target)
		}
	})
}

// hasSpares reports whether more than two targets of the service are running.
func (s *Site) hasSpares(t *Target) bool {
	running := 0
	for _, other := range s.targets {
		if other.Service == t.Service && other.state == Running {
			running++
		}
	}
	return running > 2
}

// drainAndReplace drains a target, which ends after drainTime, and adds another in its
// place.
func (s *Site) drainAndReplace(target *Target) {
	s.addTarget(target.Service, target.Zone, target.ServiceTime)
	target.state, target.since = Draining, time.Now()
	s.afterFunc(drainTime, func() {
		target.crash(Unreachable)
		s.Store.Delete("servers", target.ID)
	})
}

// Evacuate takes a zone out of service.
func (s *Site) Evacuate(zone string) {
	s.Store.Put("evacuations", zone, map[string]any{})
	s.withLock(func() { s.evacuatedZone, s.evacuatedAt = zone, time.Now() })
}

// EndEvacuation takes a zone back into service.
func (s *Site) EndEvacuation(zone string) {
	s.Store.Delete("evacuations", zone)
	s.withLock(func() { s.evacuatedZone = "" })
}

func (s *Site) failStore(f StoreFaults) {
	time.Sleep(3 * time.Second)
	s.RelaxBounds()
	s.Store.SetFaults(f)
	s.replaceTargets(0, 1)
	time.Sleep(faultDuration)
	s.Store.SetFaults(StoreFaults{})
}

func (s *Site) dropStoreHistory() {
	time.Sleep(3 * time.Second)
	s.RelaxBounds()
	s.replaceTargets(0, 1)
	s.Store.DropHistory()
}

func (s *Site) failStoreForHosts() {
	time.Sleep(3 * time.Second)
	s.RelaxBounds()
	for i, node := range s.hosts {
		if i%3 == 0 {
			s.Store.SetHostFaults(node.Name, StoreFaults{Outage: TooManyRequests})
		}
	}
	s.replaceTargets(0, 1)
	time.Sleep(faultDuration)
	for _, node := range s.hosts {
		s.Store.SetHostFaults(node.Name, StoreFaults{})
	}
}

// expireRecords removes the records of half of the targets while the store is
// unavailable. The targets write them again within a second of its return.
func (s *Site) expireRecords() {
	time.Sleep(3 * time.Second)
	s.RelaxBounds()
	s.Store.SetFaults(StoreFaults{Outage: Unresponsive})
	time.Sleep(faultDuration)
	var expired []*Target
	s.withLock(func() {
		expired = append(expired, s.targets[:len(s.targets)/2]...)
	})
	for _, t := range expired {
		s.Store.Delete("servers", t.ID)
	}
	s.Store.SetFaults(StoreFaults{})
	// The targets write their missing records again at their next heartbeat.
}

// startWithoutStore restarts hosts while the store is unavailable. The store becomes
// available some time after they have started.
func (s *Site) startWithoutStore(nodes []*Node, outage time.Duration) {
	time.Sleep(3 * time.Second)
	s.RelaxBounds()
	s.Store.SetFaults(StoreFaults{Outage: Unresponsive})
	time.Sleep(time.Second)
	s.killNodes(nodes)
	time.Sleep(500 * time.Millisecond)
	s.restartExited()
	time.Sleep(outage)
	s.Store.SetFaults(StoreFaults{})
}

// startFromStaleLists restarts all hosts while the lists that they read lack the latest
// changes.
func (s *Site) startFromStaleLists() {
	time.Sleep(3 * time.Second)
	s.Store.SetFaults(StoreFaults{ReadLag: time.Second})
	zone := s.Zones[0]
	s.Evacuate(zone)
	s.withLock(func() { s.drainAndReplace(s.targets[len(s.targets)-1]) })
	time.Sleep(200 * time.Millisecond)
	s.killNodes(s.hosts)
	time.Sleep(300 * time.Millisecond)
	s.restartExited()
	time.Sleep(2 * faultDuration)
	s.Store.SetFaults(StoreFaults{})
	s.EndEvacuation(zone)
}

// startMostWithoutStore restarts all but the last host of each zone while the store is
// unavailable.
func (s *Site) startMostWithoutStore() {
	time.Sleep(3 * time.Second)
	s.RelaxBounds()
	s.Store.SetFaults(StoreFaults{Outage: Unavailable})
	time.Sleep(time.Second)
	s.killNodes(slices.DeleteFunc(slices.Clone(s.hosts), func(n *Node) bool {
		last := slices.IndexFunc(s.hosts, func(other *Node) bool { return other.Zone == n.Zone }) + s.HostsPerZone - 1
		return n == s.hosts[last]
	}))
	time.Sleep(500 * time.Millisecond)
	s.restartExited()
	time.Sleep(faultDuration)
	s.Store.SetFaults(StoreFaults{})
}

// addHosts removes the last host of each zone, with its record, and adds it again when the others
// have been without it for some time. Then targets, one every two seconds, are cut off from the
// store, while they serve on.
func (s *Site) addHosts() {
	added := s.lastHosts()
	s.killNodes(added)
	for _, node := range added {
		s.Store.Delete("rattanthread_hosts", node.Name)
	}
	time.Sleep(2 * time.Second)
	s.restartExited()
	time.Sleep(2 * time.Second)
	for i := range s.TargetsPerZone - 1 {
		s.withLock(func() { s.targets[i].cutFromStore = true })
		time.Sleep(2100 * time.Millisecond)
	}
}

// restartTargetElsewhere crashes a target and starts it again at another address, before the store
// removes its record. Then the last host of each zone is killed and started again, and the other
// targets of the zone crash, so that clients open flows to the target through that host. It is
// then stopped as planned, so that other hosts forward these flows.
func (s *Site) restartTargetElsewhere() {
	time.Sleep(2 * time.Second)
	restarted := s.targets[0]
	s.withLock(func() { restarted.crash(Refusing) })
	time.Sleep(1200 * time.Millisecond)
	s.withLock(func() {
		s.targetByAddr[restarted.Address] = &Target{ID: restarted.ID, Service: restarted.Service, Zone: restarted.Zone, tag: restarted.tag, state: Refusing}
		s.targetCount++
		restarted.Address = s.targetAddress(s.targetCount)
		s.targetByAddr[restarted.Address] = restarted
		restarted.state, restarted.since = Running, time.Now()
		restarted.starts++
	})
	last := s.lastHosts()
	time.Sleep(time.Second)
	s.killNodes(last)
	time.Sleep(200 * time.Millisecond)
	s.restartExited()
	time.Sleep(1500 * time.Millisecond)
	s.withLock(func() {
		for _, t := range s.targets[1:s.TargetsPerZone] {
			t.crash(Refusing)
		}
	})
	time.Sleep(5 * time.Second)
	for _, node := range last {
		s.ProcessOf(node).Stop()
	}
}

// lastHosts returns the last host of each zone.
func (s *Site) lastHosts() []*Node {
	var last []*Node
	for i, node := range s.hosts {
		if i%s.HostsPerZone == s.HostsPerZone-1 {
			last = append(last, node)
		}
	}
	return last
}

// String returns the name and the description of the fault.
func (f Fault) String() string { return fmt.Sprintf("%-20s %s", f.Name, f.Description) }
