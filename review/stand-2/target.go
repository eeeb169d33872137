package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"
)

// idHeader begins the header line with the id of a request.
var idHeader = wire["request_header"] + ": "

// opening is an opening packet that a target took.
type opening struct {
	from   netip.AddrPort
	route  netip.AddrPort
	at     time.Time
	sender netip.Addr
	target *target
}

// target is a target of a service.
type target struct {
	world   *world
	id      string
	service string
	zone    string
	number  uint64
	address netip.AddrPort
	work    time.Duration
	// cold is how long the target is cold after its start.
	cold   time.Duration
	born   time.Time
	conn   *net.UDPConn
	health net.Listener

	// slots holds the requests that are worked on, and queue those that wait too.
	slots, queue chan struct{}

	mu    sync.Mutex
	flows map[[2]netip.AddrPort]*targetFlow
	// closed holds the flows that have ended here.
	closed   map[[2]netip.AddrPort]bool
	seq      int
	draining bool
	ended    bool
}

// targetFlow is a flow of which a target has had the opening packet.
type targetFlow struct {
	seq, expected uint32
	echo          uint32
	open          bool
	acked         uint32
}

func (w *world) startTarget(service, zone string, work time.Duration) (*target, error) {
	w.mu.Lock()
	w.targetCount++
	n, cold := w.targetCount, time.Duration(0)
	if w.started {
		cold = coldTime
	}
	w.mu.Unlock()
	number := rand.Uint64N(1<<31) + 1
	t := &target{
		world: w, id: fmt.Sprintf("i-%08x", number), number: number, service: service, zone: zone, work: work, cold: cold,
		address: netip.AddrPortFrom(w.address(2, n), w.targetPort), flows: make(map[[2]netip.AddrPort]*targetFlow),
	}
	if err := t.start(); err != nil {
		return nil, err
	}
	w.mu.Lock()
	w.targets = append(w.targets, t)
	w.mu.Unlock()
	return t, nil
}

// startAgain starts a target that has ended again, under its id and at its address. It knows nothing of before, and is cold.
func (t *target) startAgain() (*target, error) {
	again := &target{
		world: t.world, id: t.id, number: t.number, service: t.service, zone: t.zone, work: t.work, cold: coldTime,
		address: t.address, flows: make(map[[2]netip.AddrPort]*targetFlow),
	}
	return again, again.start()
}

// start opens the sockets of a target and registers it.
func (t *target) start() error {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(t.address))
	if err != nil {
		return err
	}
	t.conn, t.born = conn, time.Now()
	t.closed, t.slots, t.queue = make(map[[2]netip.AddrPort]bool), make(chan struct{}, slots), make(chan struct{}, 2*slots)
	if t.health, err = net.Listen("tcp4", t.address.String()); err != nil {
		return err
	}
	go func() { _ = (&http.Server{Handler: t, ReadHeaderTimeout: time.Minute}).Serve(t.health) }()
	go t.receive()
	t.register()
	go t.checkIn()
	return nil
}

// coldTime is how long a target is cold that starts during traffic.
const coldTime = 2 * time.Second

// slots is how many requests a target works on at once. It queues as many more.
const slots = 8

// checkInInterval is the interval at which targets write their entries.
const checkInInterval = 1200 * time.Millisecond

// checkIn writes the entry of the target until it ends.
func (t *target) checkIn() {
	for range time.Tick(checkInInterval) {
		if !t.alive() {
			return
		}
		t.register()
	}
}

func (t *target) alive() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.ended
}

// register writes the entry of the target, and returns when the store confirmed it.
func (t *target) register() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ended {
		return time.Now()
	}
	t.seq++
	state := "ready"
	if t.draining {
		state = "draining"
	}
	return t.world.store.put("servers", t.id, map[string]any{
		"service": t.service, "address": t.address.String(), "zone": t.zone, "version": "v1", "slots": slots, "state": state,
		wire["cold_remaining"]: max(0, t.cold-time.Since(t.born)).Milliseconds(), "seq": t.seq, "born": t.born.UnixMilli(),
	})
}

// ServeHTTP answers liveness checks.
func (t *target) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	t.slots <- struct{}{} // a liveness check occupies a slot
	time.Sleep(time.Millisecond)
	<-t.slots
	w.Header().Set(wire["target_header"], t.id)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.draining {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (t *target) drain() time.Time {
	t.mu.Lock()
	t.draining = true
	t.mu.Unlock()
	return t.register()
}

// end ends the target and removes its entry.
func (t *target) end() {
	t.mu.Lock()
	t.ended = true
	t.mu.Unlock()
	_ = t.conn.Close()
	_ = t.health.Close()
	t.world.store.remove("servers", t.id) // check-ins write nothing from now on
}

// holds reports whether a flow is open at the target.
func (t *target) holds(from, route netip.AddrPort) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	f := t.flows[[2]netip.AddrPort{from, route}]
	return !t.ended && f != nil && f.open
}

func (t *target) receive() {
	buffer := make([]byte, 4096)
	for {
		n, from, err := t.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		if n < 8 {
			continue
		}
		number := uint64(0)
		for _, b := range buffer[:8] {
			number = number<<8 | uint64(b)
		}
		p, ok := decode(buffer[8:n])
		if number != 0 && number != t.number || !ok {
			continue
		}
		if p.sum != sumOf(buffer[8:n]) {
			t.world.record.printf("UNASKED %s got a packet that its sender did not write so", t.id)
			continue
		}
		t.handle(p, from.Addr().Unmap())
	}
}

func (t *target) handle(p packet, sender netip.Addr) {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := [2]netip.AddrPort{p.from, p.to}
	f := t.flows[key]
	if p.flags&flagSYN != 0 {
		if f == nil {
			f = &targetFlow{seq: rand.Uint32(), expected: p.seq + 1}
			t.flows[key] = f
			t.world.opened(opening{p.from, p.to, time.Now(), sender, t})
		}
		f.echo = p.echo
		t.send(f, p, flagSYN|flagACK, f.seq, nil)
		return
	}
	if f == nil {
		switch {
		case p.flags&flagRST != 0:
		case t.closed[key] && len(p.data) == 0:
			if p.flags&flagFIN != 0 {
				t.send(&targetFlow{echo: p.echo, expected: p.seq + 1}, p, flagACK, p.ack, nil)
			}
		default:
			t.send(&targetFlow{echo: p.echo, expected: p.seq}, p, flagRST, p.ack, nil)
		}
		return
	}
	f.echo = p.echo
	if p.flags&flagRST != 0 {
		delete(t.flows, key)
		return
	}
	if !f.open {
		if p.ack != f.seq+1 {
			t.send(&targetFlow{echo: p.echo, expected: p.seq}, p, flagRST, p.ack, nil)
			delete(t.flows, key)
			return
		}
		f.open, f.seq, f.acked = true, f.seq+1, p.ack
	}
	if int32(p.ack-f.acked) > 0 {
		f.acked = p.ack
	}
	if len(p.data) > 0 && p.seq == f.expected {
		f.expected += uint32(len(p.data))
		go t.run(f, p)
	}
	if p.flags&flagFIN != 0 {
		f.expected = p.seq + 1
		t.send(f, p, flagACK, f.seq, nil)
		delete(t.flows, key)
		t.closed[key] = true
		return
	}
	if len(p.data) > 0 {
		t.send(f, p, flagACK, f.seq, nil)
	}
}

// send sends a packet to the requester of a packet. The caller holds mu.
func (t *target) send(f *targetFlow, to packet, flags byte, seq uint32, data []byte) {
	p := packet{from: to.to, to: to.from, echo: f.echo, seq: seq, ack: f.expected, flags: flags, data: data}
	_, _ = t.conn.WriteToUDPAddrPort(p.encode(), netip.AddrPortFrom(to.from.Addr(), t.world.packetsPort))
}

// run works on a request and responds, or says that it did not run if its queue is full.
func (t *target) run(f *targetFlow, p packet) {
	id := "?"
	if _, rest, ok := strings.Cut(string(p.data), idHeader); ok {
		id, _, _ = strings.Cut(rest, "\r\n")
	}
	key := [2]netip.AddrPort{p.from, p.to}
	select {
	case t.queue <- struct{}{}:
	default:
		t.respond(f, p, "HTTP/1.1 503 Service Unavailable\r\n"+wire["not_executed_header"]+": 1\r\nContent-Length: 0\r\n\r\n")
		return
	}
	defer func() { <-t.queue }()
	t.slots <- struct{}{}
	t.world.record.printf("run %s at %s of %s for route %s", id, t.id, t.service, p.to)
	t.world.ran(id, t)
	time.Sleep(t.work)
	<-t.slots
	body := "done by " + t.id
	t.respond(f, p, "HTTP/1.1 200 OK\r\n"+wire["seal_header"]+": "+id+"\r\nContent-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+body)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.draining && t.flows[key] == f { // it closes each flow after its next response
		t.send(f, p, flagFIN|flagACK, f.seq, nil)
		f.seq++
	}
}

// respond sends a response until it is acknowledged.
func (t *target) respond(f *targetFlow, p packet, text string) {
	response := []byte(text)
	t.mu.Lock()
	seq := f.seq
	f.seq += uint32(len(response))
	t.mu.Unlock()
	pause := 200 * time.Millisecond
	for range 8 {
		t.mu.Lock()
		if t.ended || int32(f.acked-seq) > 0 || t.flows[[2]netip.AddrPort{p.from, p.to}] != f {
			t.mu.Unlock()
			return
		}
		t.send(f, p, flagACK, seq, response)
		t.mu.Unlock()
		time.Sleep(pause)
		pause = min(2*pause, 1600*time.Millisecond)
	}
}
