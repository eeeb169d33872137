package platformstandin

import (
	"context"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/rattanthread/rattanthread/entry"
	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/platform"
)

// Delays of the network, one way.
const (
	zoneDelay   = 100 * time.Microsecond
	crossDelay  = 4 * time.Millisecond
	clientDelay = time.Millisecond
)

// heartbeat is how often targets register.
const heartbeat = time.Second

// probePause is the time between health checks of a host.
const probePause = 500 * time.Millisecond

// Site is a deployment in memory. Set its exported fields, then call Run.
type Site struct {
	Zones []string
	// HostsPerZone entry hosts and TargetsPerZone targets of each service are
	// in each zone, and ClientsPerZone clients of each class.
	HostsPerZone, TargetsPerZone, ClientsPerZone int
	// Loss is the share of packets that are lost.
	Loss float64
	// Fresh clients open a flow for each request, whatever its class.
	Fresh bool
	Seed  uint64
	// Launch starts an entry host on a machine; nil runs it in memory.
	Launch func(node *Node) *Run
	// Address returns that of the target of a number; nil means one in memory.
	Address func(number int) netip.AddrPort
	// ClientAddress returns that of the client of a number; nil means one in memory.
	ClientAddress func(zone, number int) netip.Addr
	// Record takes the events of the first host, if it is set.
	Record func(entry.Event)
	// Logger gets the logs of the hosts; nil drops them.
	Logger hclog.Logger

	Store Store

	bound     time.Duration
	processes sync.WaitGroup

	mu     sync.Mutex
	random *rand.Rand
	start0 time.Time
	hosts  []*Node
	// processAt holds the processes in memory, by where they accept other hosts.
	processAt map[netip.AddrPort]*process
	targets   []*Target
	byAddr    map[netip.AddrPort]*Target
	classes   []Class
	clients   map[flowID]listener
	owners    map[flowID]*Target
	cut       map[string]bool
	harmed    time.Time
	out       string
	outSince  time.Time
	// storeHarmed is when the store was first disturbed; zero if never.
	storeHarmed time.Time
	press       float64
	requests    uint64
	pending     map[uint64]Class
	runs        map[uint64]int
	report0     Report
	nextID      int
	// probes counts the probes of the configuration.
	probes int
}

type listener struct {
	zone  string
	inbox chan answer
}

// The routes and services of a site.
var (
	feedRoute  = netip.MustParseAddrPort("198.18.0.1:443")
	orderRoute = netip.MustParseAddrPort("198.18.0.1:8080")
	sheetRoute = netip.MustParseAddrPort("198.18.0.2:8443")
)

func siteClasses() []Class {
	return []Class{
		{Name: "feed", Route: feedRoute, Idempotent: true, Objective: 150 * time.Millisecond, Deadline: 800 * time.Millisecond, Worth: 1, Late: 0.3},
		{Name: "order", Route: orderRoute, Objective: 150 * time.Millisecond, Deadline: time.Second, Worth: 2, Late: 0.6},
		{Name: "sheet", Route: sheetRoute, Idempotent: true, Fresh: true, Objective: 500 * time.Millisecond, Deadline: 3 * time.Second, Worth: 1, Late: 0.3},
	}
}

// Run plays the site for a time, with a trouble, and returns what was seen.
func (s *Site) Run(length time.Duration, trouble Trouble) *Report {
	s.prepare()
	ctx, cancel := context.WithCancel(context.Background())
	var actors sync.WaitGroup
	actors.Go(func() { s.register(ctx) })
	time.Sleep(2 * heartbeat)
	for _, node := range s.hosts {
		s.start(node)
	}
	actors.Go(func() { s.checkHosts(ctx) })
	time.Sleep(3 * time.Second)
	s.start0 = time.Now()
	s.startClients(ctx, &actors)
	if trouble.Apply != nil {
		actors.Go(func() { trouble.Apply(s) })
	}
	time.Sleep(length)
	cancel()
	actors.Wait()
	unready := 0
	for _, node := range s.hosts {
		if run := s.RunOf(node); !run.Dead() && !run.Ready() {
			unready++
		}
	}
	for _, node := range s.hosts {
		s.RunOf(node).Kill()
	}
	s.locked(func() { s.report0.Unready = unready })
	s.processes.Wait()
	return s.finish()
}

func (s *Site) prepare() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bound = 3 * time.Second
	s.press = 1
	s.random = rand.New(rand.NewPCG(s.Seed, 1))
	s.byAddr = make(map[netip.AddrPort]*Target)
	s.processAt = make(map[netip.AddrPort]*process)
	s.clients = make(map[flowID]listener)
	s.owners = make(map[flowID]*Target)
	s.cut = make(map[string]bool)
	s.pending = make(map[uint64]Class)
	s.runs = make(map[uint64]int)
	s.classes = siteClasses()
	s.report0.Classes = make(map[string]*ClassReport)
	for i, class := range s.classes {
		s.classes[i].Fresh = class.Fresh || s.Fresh
		s.report0.Classes[class.Name] = &ClassReport{}
	}
	for _, zone := range s.Zones {
		for range s.HostsPerZone {
			n := len(s.hosts)
			s.hosts = append(s.hosts, &Node{
				Name: fmt.Sprintf("host-%s-%d", zone, n), Zone: zone, Index: n, in: true,
				Peers: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, byte(n)}), 8166),
			})
		}
		for range s.TargetsPerZone {
			s.addTarget("bench", zone, 20*time.Millisecond)
		}
		s.addTarget("press", zone, 5*time.Millisecond)
	}
	s.Configure(1, nil)
}

// Configure writes a configuration with further routes to the service press.
func (s *Site) Configure(version int, further []netip.AddrPort) {
	routes := []map[string]any{
		{"name": "feed", "host": feedRoute.Addr().String(), "path_prefix": "/443/", "service": "bench"},
		{"name": "order", "host": orderRoute.Addr().String(), "path_prefix": "/8080/", "service": "bench"},
		{"name": "sheet", "host": sheetRoute.Addr().String(), "path_prefix": "/8443/", "service": "press"},
	}
	for _, route := range further {
		routes = append(routes, map[string]any{
			"name": "r" + route.String(), "host": route.Addr().String(), "path_prefix": "/" + strconv.Itoa(int(route.Port())) + "/", "service": "press",
		})
	}
	var services []map[string]any
	for _, name := range []string{"bench", "press"} {
		services = append(services, map[string]any{
			"name": name, "health_path": "/health", "warmup_s": coldTime.Seconds(), "cold_per_s": coldRate,
		})
	}
	s.Store.Put("config", "main", map[string]any{"version": version, "routes": routes, "services": services, "limits": map[string]any{"idle_timeout_ms": 15000}})
}

func (s *Site) addTarget(service, zone string, work time.Duration) *Target {
	s.nextID++
	t := &Target{
		ID: fmt.Sprintf("i-%010x", 0x7f00000000+s.nextID), Service: service, Zone: zone, Work: work,
		Address: s.targetAddress(s.nextID),
		flows:   make(map[flowID]*targetFlow),
	}
	t.tag, _ = strconv.ParseUint(strings.TrimPrefix(t.ID, "i-"), 16, 64)
	s.targets = append(s.targets, t)
	s.byAddr[t.Address] = t
	return t
}

func (s *Site) targetAddress(number int) netip.AddrPort {
	if s.Address != nil {
		return s.Address(number)
	}
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 128, byte(number >> 8), byte(number)}), 8080)
}

func (s *Site) clientAddress(zone, number int) netip.Addr {
	if s.ClientAddress != nil {
		return s.ClientAddress(zone, number)
	}
	return netip.AddrFrom4([4]byte{100, byte(64 + zone), byte(number >> 8), byte(number)})
}

// register writes the targets to the store, and removes those that are silent.
func (s *Site) register(ctx context.Context) {
	silent := make(map[string]int)
	for {
		s.mu.Lock()
		targets := append([]*Target(nil), s.targets...)
		s.mu.Unlock()
		for _, t := range targets {
			s.registerTarget(t, silent)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(heartbeat):
		}
	}
}

// lapseAfter is how many heartbeats a target may miss.
const lapseAfter = 3

func (s *Site) registerTarget(t *Target, silent map[string]int) {
	s.mu.Lock()
	state := t.state
	s.mu.Unlock()
	words := map[TargetState]string{Running: "ready", Draining: "draining"}
	word, alive := words[state]
	switch {
	case !alive:
		silent[t.ID]++
		if silent[t.ID] == lapseAfter {
			s.Store.Delete("servers", t.ID)
		}
	case silent[t.ID] == 0 && s.Store.spec("servers", t.ID)["state"] == word:
	default:
		silent[t.ID] = 0
		s.Store.Put("servers", t.ID, map[string]any{
			"service": t.Service, "address": t.Address.String(), "zone": t.Zone, "version": "v1", "slots": targetSlots,
			"state": word, "cold_remaining_ms": t.cold().Milliseconds(), "seq": 1, "born": 1,
		})
	}
}

func (s *Site) startClients(ctx context.Context, actors *sync.WaitGroup) {
	n := 0
	for z, zone := range s.Zones {
		for k, class := range s.classes {
			for range s.ClientsPerZone {
				n++
				c := &client{
					site: s, zone: zone, class: class, pause: 200 * time.Millisecond, port: 1000,
					address: s.clientAddress(z, n),
					random:  rand.New(rand.NewPCG(s.Seed, uint64(100*n+k))),
				}
				actors.Go(func() { c.run(ctx) })
			}
		}
	}
}

// checkHosts keeps the rotation: two missed health checks take a host out.
func (s *Site) checkHosts(ctx context.Context) {
	for {
		for _, node := range s.hosts {
			run := s.RunOf(node)
			ready := run != nil && !run.Dead() && run.Ready()
			s.locked(func() { node.checked(ready) })
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(probePause):
		}
	}
}

func (n *Node) checked(ready bool) {
	if ready {
		n.misses, n.in = 0, true
		return
	}
	n.misses++
	n.in = n.in && n.misses < 2
}

// route sends a client's packet to an entry host of its zone.
func (s *Site) route(zone string, p segment) {
	s.mu.Lock()
	defer s.mu.Unlock()
	node := s.pick(zone, p.flow)
	if node == nil || node.run == nil || node.run.Dead() || s.loses() {
		return
	}
	run, packet := node.run, p.encode()
	s.after(clientDelay+node.lag, func() { run.Deliver(packet) })
}

// pick hashes a flow over the hosts in rotation of a zone, all of the zone's if
// fewer than half are, and those of the other zones if none is.
func (s *Site) pick(zone string, flow flowID) *Node {
	var in, all, others []*Node
	for _, node := range s.hosts {
		switch {
		case node.Zone != zone && node.in:
			others = append(others, node)
		case node.Zone == zone:
			all = append(all, node)
			if node.in {
				in = append(in, node)
			}
		}
	}
	switch {
	case len(in) == 0 && len(others) > 0:
		in = others
	case 2*len(in) < len(all):
		in = all
	}
	var best *Node
	var most uint64
	for _, node := range in {
		h := fnv.New64a()
		_, _ = fmt.Fprint(h, flow.client, flow.route, node.Name)
		if sum := h.Sum64(); best == nil || sum > most {
			best, most = node, sum
		}
	}
	return best
}

// Sent carries a datagram of an entry host of a zone to a target or a client.
func (s *Site) Sent(zone string, datagram []byte, to netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.loses() {
		return
	}
	target := s.byAddr[to]
	if target == nil {
		s.resetClient(datagram)
		return
	}
	if s.cutLocked(zone, target.Zone) {
		return
	}
	p, ok := decode(datagram[platform.TagBytes:])
	if !ok {
		s.breaks("a target got bytes that are no packet")
		return
	}
	var tag uint64
	for _, b := range datagram[:platform.TagBytes] {
		tag = tag<<8 | uint64(b)
	}
	s.after(s.delay(zone, target.Zone), func() { target.receive(s, tag, p) })
}

// resetClient delivers a reset of an entry host, and checks that the flow's
// target had ended or could not be reached.
func (s *Site) resetClient(datagram []byte) {
	p, ok := decode(datagram)
	if !ok || p.flags != flagRST {
		s.breaks("a client got bytes that are no reset")
		return
	}
	id := flowID{client: p.flow.route, route: p.flow.client}
	if owner := s.owners[id]; owner != nil && s.calm(owner) {
		s.breaks("FLOW: a flow of " + owner.ID + " was reset")
	}
	l, ok := s.clients[id]
	if !ok {
		return
	}
	s.after(clientDelay, func() { deliver(l.inbox, answer{flags: flagRST, host: true}) })
}

// calm reports whether a target lives and has done so undisturbed.
func (s *Site) calm(t *Target) bool {
	const window = 4 * time.Second
	return t.state < Refusing && time.Since(t.since) > window && time.Since(s.harmed) > window && len(s.cut) == 0
}

// answer carries a packet of a target to a client.
func (s *Site) answer(zone string, flow flowID, a answer) {
	l, ok := s.clients[flow]
	if !ok || s.loses() {
		return
	}
	s.after(s.delay(zone, l.zone)+clientDelay, func() { deliver(l.inbox, a) })
}

func deliver(inbox chan answer, a answer) {
	select {
	case inbox <- a:
	default:
	}
}

func (s *Site) delay(from, to string) time.Duration {
	if from == to {
		return zoneDelay
	}
	return crossDelay
}

func (s *Site) loses() bool { return s.random.Float64() < s.Loss }

// after calls f under the lock, later.
func (s *Site) after(d time.Duration, f func()) {
	time.AfterFunc(d, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		f()
	})
}

// isCut reports whether two zones can't reach each other; "" is the store's.
func (s *Site) isCut(a, b string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cutLocked(a, b)
}

func (s *Site) cutLocked(a, b string) bool { return a != b && (s.cut[a] || s.cut[b]) }

// occupant returns who answers a connection from a zone to an address, and how.
func (s *Site) occupant(zone string, to netip.AddrPort) (fleet.ServerID, TargetState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.byAddr[to]
	if t == nil || s.cutLocked(zone, t.Zone) {
		return "", Dark
	}
	return fleet.ServerID(t.ID), t.state
}

// lagOf returns how long the link of a machine delays what passes it.
func (s *Site) lagOf(node *Node) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return node.lag
}

// peerAt returns the process that accepts hosts at an address, or nil.
func (s *Site) peerAt(zone string, address netip.AddrPort) *process {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.processAt[address]
	if p == nil || p.dead() || s.cutLocked(zone, p.node.Zone) {
		return nil
	}
	return p
}

func (s *Site) listen(zone string, flow flowID, inbox chan answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.clients[flow] = listener{zone, inbox}
}

func (s *Site) forget(flow flowID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.clients, flow)
	delete(s.owners, flow)
}

func (s *Site) pressure() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.press
}
