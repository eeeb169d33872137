package soak

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rattanthread/rattanthread/platformstandin"
)

// Soak is one run. Program, Folder and Length must be set.
type Soak struct {
	// Program is the path of the entry host's program.
	Program string
	// Folder is where settings and logs are written.
	Folder string
	Seed   uint64
	Length time.Duration
	// HostsPerZone is the number of entry hosts in each of the three zones. Zero means 2.
	HostsPerZone int

	mu        sync.Mutex
	faults    []string
	processes sync.Map // *os.Process by PID
	machines  map[*platformstandin.Node]*machine
	startedAt time.Time
}

// maxMemoryBytes is the maximum peak memory of a host.
const maxMemoryBytes = 128 << 20

// Run runs the site, injects faults and returns the report.
func (s *Soak) Run() (*platformstandin.Report, error) {
	hosts := s.HostsPerZone
	if hosts == 0 {
		hosts = 2
	}
	site := &platformstandin.Site{
		Zones: []string{"a", "b", "c"}, HostsPerZone: hosts, TargetsPerZone: 4, ClientsPerZone: 6, Loss: 0.001, Seed: s.Seed,
	}
	network, err := newLoopback(site)
	if err != nil {
		return nil, err
	}
	defer network.close()
	defer s.killAll()
	s.machines = make(map[*platformstandin.Node]*machine)
	site.Launch = func(node *platformstandin.Node) *platformstandin.Process { return s.launch(network, node) }
	report := site.Run(s.Length, platformstandin.Fault{Inject: func(site *platformstandin.Site) { s.injectFaults(site) }})
	for _, m := range s.machines {
		m.proxy.close()
		violations, err := m.findImpossibleAges()
		if err != nil && network.err == nil {
			network.err = fmt.Errorf("read the log of %s: %w", m.node.Name, err)
		}
		report.Violations = append(report.Violations, violations...)
		_ = m.log.Close()
	}
	return report, network.err
}

func (s *Soak) launch(network *loopback, node *platformstandin.Node) *platformstandin.Process {
	m := s.machines[node]
	if m == nil {
		created, err := newMachine(s, network, node)
		if err != nil {
			network.site.ReportViolation("START: " + err.Error())
			return &platformstandin.Process{
				Deliver: func([]byte) {}, Ready: func() bool { return false }, Stop: func() {}, Kill: func() {}, Exited: func() bool { return true },
			}
		}
		m = created
		s.machines[node] = m
		network.mu.Lock()
		network.zoneByHost[hostAddress(node.Index)] = node.Zone
		network.mu.Unlock()
	}
	return m.launch()
}

// Faults returns a description of each fault that was injected.
func (s *Soak) Faults() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

func (s *Soak) recordFault(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = append(s.faults, fmt.Sprintf("%.1f s ", time.Since(s.startedAt).Seconds())+fmt.Sprintf(format, args...))
}

// injectFaults injects random faults during the first three quarters of the run.
func (s *Soak) injectFaults(site *platformstandin.Site) {
	s.startedAt = time.Now()
	random := rand.New(rand.NewPCG(s.Seed, 7))
	kinds := faults()
	var injected sync.WaitGroup
	injected.Go(func() { s.restoreStore(site) })
	injected.Go(func() { s.slowTargets(site) })
	for time.Since(s.startedAt) < s.Length*3/4 {
		time.Sleep(time.Duration(300+random.IntN(1200)) * time.Millisecond)
		fault := kinds[random.IntN(len(kinds))]
		node := site.Hosts()[random.IntN(len(site.Hosts()))]
		duration := time.Duration(500+random.IntN(2500)) * time.Millisecond
		number := random.IntN(1 << 16)
		s.recordFault("%s %s %v", fault.name, node.Name, duration)
		injected.Go(func() { fault.inject(s, site, s.machines[node], duration, number) })
	}
	injected.Wait()
	s.checkConfigurations(site)
	s.checkMemory(site)
	s.checkRefusals(site)
}

// fault is a kind of fault that a soak injects. The number that is passed to inject
// selects a target or the mode of a proxy.
type fault struct {
	name   string
	inject func(s *Soak, site *platformstandin.Site, m *machine, duration time.Duration, number int)
}

func faults() []fault {
	return []fault{
		{"kill", func(_ *Soak, site *platformstandin.Site, m *machine, duration time.Duration, _ int) {
			site.RelaxBounds()
			site.ProcessOf(m.node).Kill()
			restartHost(site, m, duration)
		}},
		{"stop", func(_ *Soak, site *platformstandin.Site, m *machine, duration time.Duration, _ int) {
			site.ProcessOf(m.node).Stop()
			restartHost(site, m, duration)
		}},
		{"pause", func(_ *Soak, site *platformstandin.Site, m *machine, duration time.Duration, _ int) {
			site.RelaxBounds()
			m.signal(syscall.SIGSTOP)
			time.Sleep(duration)
			m.signal(syscall.SIGCONT)
			site.RelaxBounds()
		}},
		{"hangup", func(_ *Soak, _ *platformstandin.Site, m *machine, _ time.Duration, _ int) {
			_ = m.writeSettings()
			m.signal(syscall.SIGHUP)
		}},
		{"store_path", func(s *Soak, site *platformstandin.Site, m *machine, duration time.Duration, number int) {
			mode := proxyMode(1 + number%int(numProxyModes-1))
			s.disturbStorePaths(site, []*machine{m}, mode, duration)
		}},
		{"store_paths", func(s *Soak, site *platformstandin.Site, _ *machine, duration time.Duration, number int) {
			var machines []*machine
			for _, m := range s.machines {
				machines = append(machines, m)
			}
			s.disturbStorePaths(site, machines, proxyMode(1+number%int(numProxyModes-1)), duration)
		}},
		{"store_forgets", func(_ *Soak, site *platformstandin.Site, _ *machine, _ time.Duration, _ int) {
			site.RelaxBounds()
			site.Store.DropHistory()
		}},
		{"crash", func(_ *Soak, site *platformstandin.Site, _ *machine, _ time.Duration, number int) {
			site.CrashTarget(number)
		}},
		{"release", func(_ *Soak, site *platformstandin.Site, _ *machine, _ time.Duration, number int) {
			site.ReplaceTarget(number)
		}},
		{"configure", func(_ *Soak, site *platformstandin.Site, _ *machine, _ time.Duration, _ int) {
			site.Reconfigure()
		}},
		{"evacuate", func(_ *Soak, site *platformstandin.Site, m *machine, duration time.Duration, _ int) {
			site.Evacuate(m.node.Zone)
			time.Sleep(2 * duration)
			site.EndEvacuation(m.node.Zone)
		}},
	}
}

// restartHost waits until the current process has ended, and starts another one after a
// delay unless that has happened already.
func restartHost(site *platformstandin.Site, m *machine, delay time.Duration) {
	process := site.ProcessOf(m.node)
	for !process.Exited() {
		time.Sleep(pollInterval)
	}
	time.Sleep(delay)
	if site.ProcessOf(m.node) == process {
		site.Restart(m.node)
	}
}

// disturbStorePaths sets the mode of the proxies between hosts and the store for some
// time.
func (s *Soak) disturbStorePaths(site *platformstandin.Site, machines []*machine, mode proxyMode, duration time.Duration) {
	s.recordFault("%s on %d paths", modeNames[mode], len(machines))
	site.RelaxBounds()
	for _, m := range machines {
		m.proxy.setMode(mode)
	}
	time.Sleep(duration)
	for _, m := range machines {
		m.proxy.setMode(modePass)
	}
	site.RelaxBounds()
}

// checkMemory checks the peak memory of the running processes.
func (s *Soak) checkMemory(site *platformstandin.Site) {
	s.processes.Range(func(key, _ any) bool {
		status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", key))
		if err != nil {
			return true
		}
		for _, line := range strings.Split(string(status), "\n") {
			var kilobytes int64
			if n, _ := fmt.Sscanf(line, "VmHWM: %d kB", &kilobytes); n == 1 && kilobytes<<10 > maxMemoryBytes {
				site.ReportViolation(fmt.Sprintf("MEMORY: a host used %d kB", kilobytes))
			}
		}
		return true
	})
}

// hasArgument reports whether the command line of a process contains an argument.
func (s *Soak) hasArgument(pid int, argument string) bool {
	arguments, err := os.ReadFile(fmt.Sprintf("/proc/%d/cmdline", pid))
	return err == nil && strings.Contains(string(arguments), argument)
}

// killAll kills the running processes of the soak.
func (s *Soak) killAll() {
	s.processes.Range(func(_, value any) bool {
		if process, ok := value.(*os.Process); ok {
			_ = process.Kill()
		}
		return true
	})
}
