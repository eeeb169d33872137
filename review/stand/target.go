package stand

import (
	"encoding/binary"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

// Target is one target of Service.
type Target struct {
	ID string

	world *World
	tag   uint64

	mu       sync.Mutex
	address  netip.AddrPort
	packets  *net.UDPConn
	health   net.Listener
	flows    map[netip.AddrPort]*targetFlow
	born     time.Time
	beats    int
	draining bool
	alive    bool
	// silent means that the target's check-ins don't reach the store.
	silent bool
	// coldUntil is when the target is warm again after a start during traffic.
	coldUntil time.Time
	// openings holds when each opening packet arrived.
	openings []time.Time
}

// targetFlow is the state of a flow at its target.
type targetFlow struct {
	seq, next uint32
	open      bool
	answer    *packet
}

// StartTarget starts a target and registers it.
func (w *World) StartTarget(number int) (*Target, error) {
	tag := uint64(0x7f3a0000) + uint64(number)<<8 + uint64(w.random.IntN(256))
	t := &Target{ID: fmt.Sprintf("i-%x", tag), world: w, tag: tag}
	if err := t.Start(number); err != nil {
		return nil, err
	}
	w.targets = append(w.targets, t)
	go t.beat()
	return t, nil
}

// Start starts the target on the machine with a number. It holds and knows nothing of before.
func (t *Target) Start(machine int) error {
	address := netip.AddrPortFrom(t.world.address(classTarget, machine), t.world.ports.targets)
	packets, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return err
	}
	health, err := net.Listen("tcp4", address.String())
	if err != nil {
		return err
	}
	t.mu.Lock()
	t.address, t.packets, t.health = address, packets, health
	t.flows, t.beats, t.draining, t.alive = make(map[netip.AddrPort]*targetFlow), 0, false, true
	t.born = time.Now()
	t.mu.Unlock()
	go t.receive(packets)
	go func() {
		_ = (&http.Server{Handler: http.HandlerFunc(t.serveHealth), ReadHeaderTimeout: time.Second}).Serve(health)
	}()
	t.world.Logf("target %s: started at %s", t.ID, address)
	t.register()
	return nil
}

// Crash ends the target without a word. Its machine goes on: no one listens on its ports.
func (t *Target) Crash() {
	t.mu.Lock()
	t.alive = false
	t.flows = make(map[netip.AddrPort]*targetFlow)
	_, _ = t.packets.Close(), t.health.Close()
	t.mu.Unlock()
	t.world.Logf("target %s: crashed", t.ID)
}

// Drain reports that the target is draining. It returns when the store has accepted this.
func (t *Target) Drain() time.Time {
	t.mu.Lock()
	t.draining = true
	t.mu.Unlock()
	t.register()
	t.world.Logf("store: confirmed that target %s is draining", t.ID)
	return time.Now()
}

// StartCold starts the target during traffic, on the machine with a number.
func (t *Target) StartCold(machine int) error {
	t.mu.Lock()
	t.coldUntil = time.Now().Add(Warmup)
	t.openings = nil
	t.mu.Unlock()
	return t.Start(machine)
}

// Openings returns when the opening packets that the target took arrived.
func (t *Target) Openings() []time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]time.Time(nil), t.openings...)
}

// Address returns the address of the target.
func (t *Target) Address() netip.AddrPort {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.address
}

// HasOpen reports whether a flow is open at the target.
func (t *Target) HasOpen(requester netip.AddrPort) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	flow := t.flows[requester]
	return flow != nil && flow.open
}

func (t *Target) beat() {
	for {
		select {
		case <-t.world.done:
			return
		case <-time.After(HeartbeatInterval):
			t.register()
		}
	}
}

// register writes the target's entry.
func (t *Target) register() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.alive || t.silent || t.world.isDown() {
		return
	}
	t.beats++
	state := "ready"
	if t.draining {
		state = "draining"
	}
	t.world.Store.Put("servers", t.ID, render("server.json.tmpl", serverRecord{
		Service: Service, Address: t.address, Zone: zone, State: state, ColdRemaining: max(0, time.Until(t.coldUntil).Milliseconds()),
		Heartbeat: t.beats, Born: t.born.UnixMilli(),
	}))
}

func (t *Target) serveHealth(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(names.Instance, t.ID)
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.URL.Path != "/health" || t.draining {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (t *Target) receive(packets *net.UDPConn) {
	buffer := make([]byte, maxDatagram)
	for {
		n, _, err := packets.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		if n < tagBytes {
			continue
		}
		tag := binary.BigEndian.Uint64(buffer)
		if p, ok := decode(buffer[tagBytes:n]); ok && (tag == 0 || tag == t.tag) {
			t.handle(packets, p)
		}
	}
}

// handle processes a packet as PROTOCOL.md says.
func (t *Target) handle(packets *net.UDPConn, p packet) {
	t.mu.Lock()
	defer t.mu.Unlock()
	flow := t.flows[p.source]
	reply := packet{source: p.destination, destination: p.source, echo: p.echo, flags: flagACK}
	switch {
	case p.flags&flagSYN != 0:
		t.openings = append(t.openings, time.Now())
		if flow == nil {
			flow = &targetFlow{seq: uint32(time.Now().UnixNano()), next: p.seq + 1}
			t.flows[p.source] = flow
		}
		reply.flags, reply.seq, reply.ack = flagSYN|flagACK, flow.seq, flow.next
	case flow == nil:
		reply.flags, reply.seq = flagRST, p.ack
	case p.flags&(flagRST|flagFIN) != 0:
		delete(t.flows, p.source)
		return
	default:
		flow.open = flow.open || p.ack == flow.seq+1
		if len(p.data) == 0 {
			return
		}
		if p.seq == flow.next {
			flow.next += uint32(len(p.data))
			reply.seq, reply.ack, reply.data = p.ack, flow.next, p.data
			flow.answer = &reply
			t.world.Logf("target %s: ran %s", t.ID, p.data)
		}
		if flow.answer == nil {
			return
		}
		flow.answer.echo = p.echo
		reply = *flow.answer
	}
	to := netip.AddrPortFrom(p.source.Addr(), t.world.ports.packets)
	_, _ = packets.WriteToUDPAddrPort(reply.encode(), to)
}

// OpeningsWhileCold returns when the opening packets arrived that the target took while it was
// cold.
func (t *Target) OpeningsWhileCold() []time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	var cold []time.Time
	for _, at := range t.openings {
		if at.Before(t.coldUntil) {
			cold = append(cold, at)
		}
	}
	return cold
}

// CutFromStore ends the target's check-ins, while it goes on serving. The store removes its entry
// after three check-in intervals of silence. CutFromStore returns when it has done so.
func (t *Target) CutFromStore() time.Time {
	t.mu.Lock()
	t.silent = true
	t.mu.Unlock()
	t.world.Logf("target %s: its check-ins no longer reach the store", t.ID)
	time.Sleep(3 * HeartbeatInterval)
	t.world.Store.Delete("servers", t.ID)
	t.world.Logf("store: removed the entry of target %s", t.ID)
	return time.Now()
}
