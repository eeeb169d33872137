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
	// Folder gets settings and logs.
	Folder string
	Seed   uint64
	Length time.Duration
	// HostsPerZone is how many entry hosts each of three zones has. Zero means 2.
	HostsPerZone int

	mu       sync.Mutex
	faults   []string
	running  sync.Map // of processes, by id
	machines map[*platformstandin.Node]*machine
	started  time.Time
}

// maxMemoryBytes is the most that a host may use.
const maxMemoryBytes = 128 << 20

// Run plays the soak and returns what callers and servers saw.
func (s *Soak) Run() (*platformstandin.Report, error) {
	hosts := s.HostsPerZone
	if hosts == 0 {
		hosts = 2
	}
	site := &platformstandin.Site{
		Zones: []string{"a", "b", "c"}, HostsPerZone: hosts, TargetsPerZone: 4, ClientsPerZone: 6, Loss: 0.001, Seed: s.Seed,
	}
	w, err := newWorld(site)
	if err != nil {
		return nil, err
	}
	defer w.close()
	defer s.killAll()
	s.machines = make(map[*platformstandin.Node]*machine)
	site.Launch = func(node *platformstandin.Node) *platformstandin.Run { return s.launch(w, node) }
	report := site.Run(s.Length, platformstandin.Trouble{Apply: func(site *platformstandin.Site) { s.disturb(site) }})
	for _, m := range s.machines {
		m.proxy.close()
		_ = m.log.Close()
	}
	return report, w.err
}

func (s *Soak) launch(w *world, node *platformstandin.Node) *platformstandin.Run {
	m := s.machines[node]
	if m == nil {
		made, err := newMachine(s, w, node)
		if err != nil {
			w.site.Break("START: " + err.Error())
			return &platformstandin.Run{
				Deliver: func([]byte) {}, Ready: func() bool { return false }, Stop: func() {}, Kill: func() {}, Dead: func() bool { return true },
			}
		}
		m = made
		s.machines[node] = m
		w.mu.Lock()
		w.zones[hostAddress(node.Index)] = node.Zone
		w.mu.Unlock()
	}
	return m.launch()
}

// Faults returns what was done.
func (s *Soak) Faults() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

func (s *Soak) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = append(s.faults, fmt.Sprintf("%.1f s ", time.Since(s.started).Seconds())+fmt.Sprintf(format, args...))
}

// disturb injects faults until shortly before the end.
func (s *Soak) disturb(site *platformstandin.Site) {
	s.started = time.Now()
	random := rand.New(rand.NewPCG(s.Seed, 7))
	kinds := faults()
	var all sync.WaitGroup
	for time.Since(s.started) < s.Length*3/4 {
		time.Sleep(time.Duration(300+random.IntN(1200)) * time.Millisecond)
		fault := kinds[random.IntN(len(kinds))]
		node := site.Hosts()[random.IntN(len(site.Hosts()))]
		amount := time.Duration(500+random.IntN(2500)) * time.Millisecond
		number := random.IntN(1 << 16)
		s.note("%s %s %v", fault.name, node.Name, amount)
		all.Go(func() { fault.apply(s, site, s.machines[node], amount, number) })
	}
	all.Wait()
	s.checkMemory(site)
}

// fault is one kind of disturbance.
type fault struct {
	name  string
	apply func(s *Soak, site *platformstandin.Site, m *machine, amount time.Duration, number int)
}

func faults() []fault {
	return []fault{
		{"kill", func(_ *Soak, site *platformstandin.Site, m *machine, amount time.Duration, _ int) {
			site.Harm()
			site.RunOf(m.node).Kill()
			restart(site, m, amount)
		}},
		{"stop", func(_ *Soak, site *platformstandin.Site, m *machine, amount time.Duration, _ int) {
			site.RunOf(m.node).Stop()
			restart(site, m, amount)
		}},
		{"pause", func(_ *Soak, site *platformstandin.Site, m *machine, amount time.Duration, _ int) {
			site.Harm()
			m.signal(syscall.SIGSTOP)
			time.Sleep(amount)
			m.signal(syscall.SIGCONT)
			site.Harm()
		}},
		{"hangup", func(_ *Soak, _ *platformstandin.Site, m *machine, _ time.Duration, _ int) {
			_ = m.writeSettings()
			m.signal(syscall.SIGHUP)
		}},
		{"store_path", func(s *Soak, site *platformstandin.Site, m *machine, amount time.Duration, number int) {
			mode := proxyMode(1 + number%int(proxyModes-1))
			s.storePath(site, []*machine{m}, mode, amount)
		}},
		{"store_paths", func(s *Soak, site *platformstandin.Site, _ *machine, amount time.Duration, number int) {
			var all []*machine
			for _, m := range s.machines {
				all = append(all, m)
			}
			s.storePath(site, all, proxyMode(1+number%int(proxyModes-1)), amount)
		}},
		{"store_forgets", func(_ *Soak, site *platformstandin.Site, _ *machine, _ time.Duration, _ int) {
			site.Harm()
			site.Store.Forget()
		}},
		{"crash", func(_ *Soak, site *platformstandin.Site, _ *machine, _ time.Duration, number int) { site.Crash(number) }},
		{"release", func(_ *Soak, site *platformstandin.Site, _ *machine, _ time.Duration, number int) {
			site.Release(number)
		}},
		{"configure", func(_ *Soak, site *platformstandin.Site, _ *machine, _ time.Duration, number int) {
			site.Configure(number+2, nil)
		}},
		{"evacuate", func(_ *Soak, site *platformstandin.Site, m *machine, amount time.Duration, _ int) {
			site.Evacuate(m.node.Zone)
			time.Sleep(2 * amount)
			site.Return(m.node.Zone)
		}},
	}
}

// restart waits for the end of a run and starts another.
func restart(site *platformstandin.Site, m *machine, after time.Duration) {
	run := site.RunOf(m.node)
	for !run.Dead() {
		time.Sleep(listenPause)
	}
	time.Sleep(after)
	if site.RunOf(m.node) == run {
		site.Restart(m.node)
	}
}

// storePath disturbs the way of hosts to the store.
func (s *Soak) storePath(site *platformstandin.Site, machines []*machine, mode proxyMode, amount time.Duration) {
	s.note("%s on %d paths", modeNames[mode], len(machines))
	site.Harm()
	for _, m := range machines {
		m.proxy.set(mode)
	}
	time.Sleep(amount)
	for _, m := range machines {
		m.proxy.set(pass)
	}
	site.Harm()
}

// checkMemory reads the peak memory of the running programs.
func (s *Soak) checkMemory(site *platformstandin.Site) {
	s.running.Range(func(key, _ any) bool {
		status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", key))
		if err != nil {
			return true
		}
		for _, line := range strings.Split(string(status), "\n") {
			var kilobytes int64
			if n, _ := fmt.Sscanf(line, "VmHWM: %d kB", &kilobytes); n == 1 && kilobytes<<10 > maxMemoryBytes {
				site.Break(fmt.Sprintf("MEMORY: a host took %d kB", kilobytes))
			}
		}
		return true
	})
}

// owns reports whether a process runs with a settings file.
func (s *Soak) owns(pid int, settings string) bool {
	arguments, err := os.ReadFile(fmt.Sprintf("/proc/%d/cmdline", pid))
	return err == nil && strings.Contains(string(arguments), settings)
}

// killAll ends the processes that this soak has started.
func (s *Soak) killAll() {
	s.running.Range(func(_, value any) bool {
		if process, ok := value.(*os.Process); ok {
			_ = process.Kill()
		}
		return true
	})
}
