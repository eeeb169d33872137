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

// One-way delays of the network.
const (
	sameZoneDelay  = 100 * time.Microsecond
	crossZoneDelay = 4 * time.Millisecond
	clientDelay    = time.Millisecond
)

// heartbeatInterval is the time between registrations of a target.
const heartbeatInterval = time.Second

// healthCheckInterval is the time between health checks of a host.
const healthCheckInterval = 500 * time.Millisecond

// Site is a simulated deployment. Set its exported fields, then call Run.
type Site struct {
	Zones []string
	// Each zone has HostsPerZone entry hosts, TargetsPerZone targets of the service
	// bench, one target of the service press, and ClientsPerZone clients of each class.
	HostsPerZone, TargetsPerZone, ClientsPerZone int
	// Loss is the share of packets that are lost.
	Loss float64
	// FlowPerRequest makes clients open a flow for each request, whatever its class.
	FlowPerRequest bool
	Seed           uint64
	// Launch starts an entry host on a machine; nil means to run it in memory.
	Launch func(node *Node) *Process
	// TargetAddress returns the address of a target by its number; nil means an address
	// of the in-memory network.
	TargetAddress func(number int) netip.AddrPort
	// ClientAddress returns the address of a client by the index of its zone and its
	// number; nil means an address of the in-memory network.
	ClientAddress func(zone, number int) netip.Addr
	// Record receives the events of the first host, unless it is nil.
	Record func(entry.Event)
	// Now is the clock of a host; nil means time.Now.
	Now func(node *Node) time.Time
	// Adjust changes the settings of a host before it starts; nil leaves them as they are.
	Adjust func(node *Node, settings *entry.Settings)
	// Observe is called with each transfer of the in-memory hosts, at the same time by several
	// goroutines; nil observes none.
	Observe func(Transfer)
	// Logger receives the logs of the hosts; nil discards them.
	Logger hclog.Logger

	Store Store

	propagationBound time.Duration
	background       sync.WaitGroup

	mu        sync.Mutex
	random    *rand.Rand
	startedAt time.Time
	hosts     []*Node
	// hostByPeerAddr holds the latest in-memory host at each PeerAddress.
	hostByPeerAddr   map[netip.AddrPort]*memoryHost
	targets          []*Target
	targetByAddr     map[netip.AddrPort]*Target
	classes          []Class
	clients          map[flowID]listener
	owners           map[flowID]*Target
	partitioned      map[string]bool
	partitionEndedAt time.Time
	evacuatedZone    string
	evacuatedAt      time.Time
	// boundsRelaxedAt is the time of the last call of RelaxBounds; zero if none.
	boundsRelaxedAt time.Time
	loadFactor      float64
	lastRequest     uint64
	requestClass    map[uint64]Class
	runCount        map[uint64]int
	// refusedFlows are the flows that were refused for lack of capacity, flowsRun those of which
	// a target ran a request. lostResets are those of which the network lost a reset by a host.
	refusedFlows, flowsRun, lostResets map[flowID]bool
	report                             Report
	targetCount                        int
	// probeCount is the number of probes that were sent to probeRoute.
	probeCount int
}

type listener struct {
	zone  string
	inbox chan answer
}

// Routes of a site.
var (
	feedRoute  = netip.MustParseAddrPort("198.18.0.1:443")
	orderRoute = netip.MustParseAddrPort("198.18.0.1:8080")
	sheetRoute = netip.MustParseAddrPort("198.18.0.2:8443")
)

func requestClasses() []Class {
	return []Class{
		{Name: "feed", Route: feedRoute, Priority: 2, Idempotent: true, Objective: 150 * time.Millisecond, Deadline: 800 * time.Millisecond, Credit: 1, LateCredit: 0.3},
		{Name: "order", Route: orderRoute, Priority: 1, Objective: 150 * time.Millisecond, Deadline: time.Second, Credit: 2, LateCredit: 0.6},
		{Name: "sheet", Route: sheetRoute, Priority: 2, Idempotent: true, FlowPerRequest: true, Objective: 500 * time.Millisecond, Deadline: 3 * time.Second, Credit: 1, LateCredit: 0.3},
	}
}

// Run runs the site for a time, injects a fault, and returns the report.
func (s *Site) Run(length time.Duration, fault Fault) *Report {
	s.prepare()
	ctx, cancel := context.WithCancel(context.Background())
	var workers sync.WaitGroup
	workers.Go(func() { s.registerTargets(ctx) })
	time.Sleep(2 * heartbeatInterval)
	for _, node := range s.hosts {
		s.startHost(node)
	}
	workers.Go(func() { s.checkHosts(ctx) })
	time.Sleep(3 * time.Second)
	s.startedAt = time.Now()
	s.startClients(ctx, &workers)
	if fault.Inject != nil {
		workers.Go(func() { fault.Inject(s) })
	}
	time.Sleep(length)
	cancel()
	workers.Wait()
	unready := 0
	for _, node := range s.hosts {
		if process := s.ProcessOf(node); !process.Exited() && !process.Ready() {
			unready++
		}
	}
	for _, node := range s.hosts {
		s.ProcessOf(node).Kill()
	}
	s.withLock(func() { s.report.Unready = unready })
	s.background.Wait()
	return s.finalReport()
}

func (s *Site) prepare() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.propagationBound = 3 * time.Second
	s.loadFactor = 1
	s.random = rand.New(rand.NewPCG(s.Seed, 1))
	s.targetByAddr = make(map[netip.AddrPort]*Target)
	s.hostByPeerAddr = make(map[netip.AddrPort]*memoryHost)
	s.clients = make(map[flowID]listener)
	s.owners = make(map[flowID]*Target)
	s.partitioned = make(map[string]bool)
	s.requestClass = make(map[uint64]Class)
	s.runCount = make(map[uint64]int)
	s.refusedFlows, s.flowsRun, s.lostResets = make(map[flowID]bool), make(map[flowID]bool), make(map[flowID]bool)
	s.classes = requestClasses()
	s.report.Classes = make(map[string]*ClassReport)
	for i, class := range s.classes {
		s.classes[i].FlowPerRequest = class.FlowPerRequest || s.FlowPerRequest
		s.report.Classes[class.Name] = &ClassReport{}
	}
	for _, zone := range s.Zones {
		for range s.HostsPerZone {
			n := len(s.hosts)
			s.hosts = append(s.hosts, &Node{
				Name: fmt.Sprintf("host-%s-%d", zone, n), Zone: zone, Index: n, inRotation: true,
				PeerAddress: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(1 + n>>8), byte(n)}), 8166),
			})
		}
		for range s.TargetsPerZone {
			s.addTarget("bench", zone, 20*time.Millisecond)
		}
		s.addTarget("press", zone, 5*time.Millisecond)
	}
	s.Configure(1, nil)
}

// Configure writes a configuration with additional routes to the service press.
func (s *Site) Configure(version int, additional []netip.AddrPort) {
	services := map[netip.AddrPort]string{feedRoute: "bench", orderRoute: "bench", sheetRoute: "press"}
	var routes []map[string]any
	for _, class := range requestClasses() {
		routes = append(routes, map[string]any{
			"name": class.Name, "host": class.Route.Addr().String(), "path_prefix": pathPrefix(class.Route), "service": services[class.Route],
			"priority": class.Priority, "aim_ms": class.Objective.Milliseconds(),
		})
	}
	for _, route := range additional {
		routes = append(routes, map[string]any{
			"name": "r" + route.String(), "host": route.Addr().String(), "path_prefix": pathPrefix(route), "service": "press",
		})
	}
	var specs []map[string]any
	for _, name := range []string{"bench", "press"} {
		specs = append(specs, map[string]any{
			"name": name, "health_path": "/health", "warmup_s": warmupTime.Seconds(), "cold_per_s": coldRate,
		})
	}
	s.Store.Put("config", "main", map[string]any{"version": version, "routes": routes, "services": specs, "limits": map[string]any{"idle_timeout_ms": 15000}})
}

// pathPrefix returns the path prefix of a route, which holds its port.
func pathPrefix(route netip.AddrPort) string { return "/" + strconv.Itoa(int(route.Port())) + "/" }

func (s *Site) addTarget(service, zone string, serviceTime time.Duration) *Target {
	s.targetCount++
	t := &Target{
		ID: fmt.Sprintf("i-%010x", 0x7f00000000+s.targetCount), Service: service, Zone: zone, ServiceTime: serviceTime,
		Address: s.targetAddress(s.targetCount),
		flows:   make(map[flowID]*targetFlow),
	}
	t.tag, _ = strconv.ParseUint(strings.TrimPrefix(t.ID, "i-"), 16, 64)
	s.targets = append(s.targets, t)
	s.targetByAddr[t.Address] = t
	return t
}

func (s *Site) targetAddress(number int) netip.AddrPort {
	if s.TargetAddress != nil {
		return s.TargetAddress(number)
	}
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 128, byte(number >> 8), byte(number)}), 8080)
}

func (s *Site) clientAddress(zone, number int) netip.Addr {
	if s.ClientAddress != nil {
		return s.ClientAddress(zone, number)
	}
	return netip.AddrFrom4([4]byte{100, byte(64 + zone), byte(number >> 8), byte(number)})
}

// registerTargets writes the records of targets to the store, and removes those of
// targets that miss their heartbeats.
func (s *Site) registerTargets(ctx context.Context) {
	missed, restorations := make(map[string]int), uint64(0)
	for {
		if count := s.Store.restorationCount(); count != restorations {
			restorations = count
			clear(missed) // the restored records expire like any others
		}
		s.mu.Lock()
		targets := append([]*Target(nil), s.targets...)
		s.mu.Unlock()
		for _, t := range targets {
			s.registerTarget(t, missed)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

// missedHeartbeatLimit is the number of missed heartbeats after which the record of a
// target is removed.
const missedHeartbeatLimit = 3

func (s *Site) registerTarget(t *Target, missed map[string]int) {
	s.mu.Lock()
	state, cut, restarted := t.state, t.cutFromStore, t.starts != t.registeredStarts
	t.registeredStarts = t.starts
	t.heartbeats++
	s.mu.Unlock()
	stateNames := map[TargetState]string{Running: "ready", Draining: "draining"}
	stateName, alive := stateNames[state]
	switch {
	case !alive || cut:
		missed[t.ID]++
		if missed[t.ID] == missedHeartbeatLimit {
			s.Store.Delete("servers", t.ID)
			s.withLock(func() { t.recordRemovedAt = time.Now() })
		}
	case missed[t.ID] == 0 && s.Store.spec("servers", t.ID)["state"] == stateName && !restarted:
	default:
		missed[t.ID] = 0
		spec := TargetSpec(t.Service, t.Address.String(), t.Zone)
		spec["state"], spec["cold_remaining_ms"] = stateName, t.warmupLeft().Milliseconds()
		spec["seq"], spec["born"] = t.heartbeats, 1+t.starts
		s.Store.Put("servers", t.ID, spec)
	}
}

// TargetSpec returns the spec of the first record of a warm target.
func TargetSpec(service, address, zone string) map[string]any {
	return map[string]any{
		"service": service, "address": address, "zone": zone, "version": "v1", "slots": targetSlots,
		"state": "ready", "cold_remaining_ms": 0, "seq": 1,
	}
}

func (s *Site) startClients(ctx context.Context, workers *sync.WaitGroup) {
	number := 0
	for zoneIndex, zone := range s.Zones {
		for classIndex, class := range s.classes {
			for range s.ClientsPerZone {
				number++
				c := &client{
					site: s, zone: zone, class: class, meanPause: 200 * time.Millisecond, port: 1000,
					address: s.clientAddress(zoneIndex, number),
					random:  rand.New(rand.NewPCG(s.Seed, uint64(100*number+classIndex))),
				}
				workers.Go(func() { c.run(ctx) })
			}
		}
	}
}

// checkHosts checks the health of the hosts. Two failed checks take a host out of
// rotation.
func (s *Site) checkHosts(ctx context.Context) {
	for {
		for _, node := range s.hosts {
			process := s.ProcessOf(node)
			ready := process != nil && !process.Exited() && process.Ready()
			s.withLock(func() { node.recordCheck(ready) })
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(healthCheckInterval):
		}
	}
}

func (n *Node) recordCheck(ready bool) {
	if ready {
		n.failedChecks, n.inRotation = 0, true
		return
	}
	n.failedChecks++
	n.inRotation = n.inRotation && n.failedChecks < 2
}

// route sends a client's packet to an entry host of its zone.
func (s *Site) route(zone string, p segment) {
	s.mu.Lock()
	defer s.mu.Unlock()
	node := s.pickHost(zone, p.flow)
	if node == nil || node.process == nil || node.process.Exited() || s.losesPacket() {
		return
	}
	process, packet := node.process, p.encode()
	s.afterFunc(clientDelay+node.linkDelay, func() { process.Deliver(packet) })
}

// pickHost hashes a flow over the hosts in rotation of a zone. It uses all hosts of
// the zone if fewer than half are in rotation, and the hosts in rotation of the other
// zones if none is.
func (s *Site) pickHost(zone string, flow flowID) *Node {
	var inRotation, all, others []*Node
	for _, node := range s.hosts {
		switch {
		case node.Zone != zone && node.inRotation:
			others = append(others, node)
		case node.Zone == zone:
			all = append(all, node)
			if node.inRotation {
				inRotation = append(inRotation, node)
			}
		}
	}
	switch {
	case len(inRotation) == 0 && len(others) > 0:
		inRotation = others
	case 2*len(inRotation) < len(all):
		inRotation = all
	}
	var best *Node
	var highest uint64
	for _, node := range inRotation {
		h := fnv.New64a()
		_, _ = fmt.Fprint(h, flow.client, flow.route, node.Name)
		if sum := h.Sum64(); best == nil || sum > highest {
			best, highest = node, sum
		}
	}
	return best
}

// Transmit sends a datagram from an entry host of a zone to a target or a client.
func (s *Site) Transmit(zone string, datagram []byte, to netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lost := s.losesPacket()
	target := s.targetByAddr[to]
	if target == nil {
		s.resetClient(datagram, lost)
		return
	}
	if lost {
		return
	}
	if s.partitionedLocked(zone, target.Zone) {
		return
	}
	packet, ok := decode(datagram[platform.TagBytes:])
	if !ok {
		s.addViolation("a target received a datagram that is not a packet")
		return
	}
	var tag uint64
	for _, b := range datagram[:platform.TagBytes] {
		tag = tag<<8 | uint64(b)
	}
	s.afterFunc(s.networkDelay(zone, target.Zone), func() { target.receive(s, tag, packet) })
}

// resetClient delivers a reset from an entry host to a client, and checks that the
// flow's target had ended or may have been unreachable. A lost reset is only recorded.
func (s *Site) resetClient(datagram []byte, lost bool) {
	packet, ok := decode(datagram)
	if !ok || packet.flags != flagRST {
		s.addViolation("a client received a datagram that is not a reset")
		return
	}
	id := flowID{client: packet.flow.route, route: packet.flow.client}
	if lost {
		s.lostResets[id] = true
		return
	}
	if owner := s.owners[id]; owner != nil && s.undisturbed(owner) {
		s.addViolation("FLOW: a flow of " + owner.ID + " was reset")
	}
	client, ok := s.clients[id]
	if !ok {
		return
	}
	s.afterFunc(clientDelay, func() { deliver(client.inbox, answer{flags: flagRST, fromHost: true}) })
}

// undisturbed reports whether a target is running or draining and reaches the store, and neither
// its state changed nor a network partition existed for some time.
func (s *Site) undisturbed(t *Target) bool {
	const window = 4 * time.Second
	return t.state < Refusing && !t.cutFromStore && time.Since(t.since) > window && time.Since(s.partitionEndedAt) > window && len(s.partitioned) == 0
}

// sendAnswer sends a packet from a target to a client.
func (s *Site) sendAnswer(zone string, flow flowID, a answer) {
	client, ok := s.clients[flow]
	if !ok || s.losesPacket() {
		return
	}
	s.afterFunc(s.networkDelay(zone, client.zone)+clientDelay, func() { deliver(client.inbox, a) })
}

func deliver(inbox chan answer, a answer) {
	select {
	case inbox <- a:
	default:
	}
}

func (s *Site) networkDelay(from, to string) time.Duration {
	if from == to {
		return sameZoneDelay
	}
	return crossZoneDelay
}

func (s *Site) losesPacket() bool { return s.random.Float64() < s.Loss }

// afterFunc calls f after d, with s.mu held.
func (s *Site) afterFunc(d time.Duration, f func()) {
	time.AfterFunc(d, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		f()
	})
}

// isPartitioned reports whether two zones can't reach each other. The zone of the
// store is "".
func (s *Site) isPartitioned(a, b string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.partitionedLocked(a, b)
}

func (s *Site) partitionedLocked(a, b string) bool {
	return a != b && (s.partitioned[a] || s.partitioned[b])
}

// targetAt returns the ID and the state of the target that a connection from a zone to
// an address reaches.
func (s *Site) targetAt(zone string, to netip.AddrPort) (fleet.ServerID, TargetState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.targetByAddr[to]
	if t == nil || s.partitionedLocked(zone, t.Zone) {
		return "", Unreachable
	}
	return fleet.ServerID(t.ID), t.state
}

// linkDelayOf returns the extra delay of a machine's link.
func (s *Site) linkDelayOf(node *Node) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return node.linkDelay
}

// peerAt returns the host that a zone reaches at an address, or nil.
func (s *Site) peerAt(zone string, address netip.AddrPort) *memoryHost {
	s.mu.Lock()
	defer s.mu.Unlock()
	host := s.hostByPeerAddr[address]
	if host == nil || host.exited() || s.partitionedLocked(zone, host.node.Zone) {
		return nil
	}
	return host
}

func (s *Site) listen(zone string, flow flowID, inbox chan answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.clients[flow] = listener{zone, inbox}
}

func (s *Site) stopListening(flow flowID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.clients, flow)
	delete(s.owners, flow)
}

func (s *Site) currentLoadFactor() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loadFactor
}
