package main

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"
)

// requester is a requester. Each of its flows has a port of its own.
type requester struct {
	world *world
	zone  string
	addr  netip.Addr
	conn  *net.UDPConn

	mu    sync.Mutex
	port  uint16
	flows map[uint16]chan packet
}

func (w *world) startRequester(zone string) (*requester, error) {
	w.mu.Lock()
	w.requesterCount++
	addr := w.address(3, w.requesterCount)
	w.mu.Unlock()
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(addr, w.packetsPort)))
	if err != nil {
		return nil, err
	}
	r := &requester{world: w, zone: zone, addr: addr, conn: conn, port: 20000 + uint16(rand.IntN(20000)), flows: make(map[uint16]chan packet)}
	go r.receive()
	return r, nil
}

func (r *requester) receive() {
	buffer := make([]byte, 4096)
	for {
		n, err := r.conn.Read(buffer)
		if err != nil {
			return
		}
		p, ok := decode(buffer[:n])
		if !ok || p.sum != sumOf(buffer[:n]) && (p.flags&flagRST == 0 || p.sum != 0) {
			r.world.record.printf("MIXED a requester got a packet that its sender did not write so")
			continue
		}
		r.mu.Lock()
		flow := r.flows[p.to.Port()]
		r.mu.Unlock()
		if flow != nil {
			select {
			case flow <- p:
			default:
			}
		}
	}
}

// flow is a flow of a requester.
type flow struct {
	requester *requester
	from, to  netip.AddrPort
	packets   chan packet
	openedAt  time.Time
	// via holds the machines that the opening packets were sent through, and last the one of the last packet.
	via  []*host
	last *host

	echo, seq, ack uint32
	open           bool
}

// result is how an attempt ended.
type result string

// Results of an attempt.
const (
	answered    result = "200"
	systemReset result = "reset by the system"
	targetReset result = "reset by a target"
	notOpened   result = "not opened"
	noAnswer    result = "no answer"
)

// dial opens a flow.
func (r *requester) dial(to netip.AddrPort) (*flow, result) {
	r.mu.Lock()
	r.port++
	f := &flow{requester: r, from: netip.AddrPortFrom(r.addr, r.port), to: to, packets: make(chan packet, 64), seq: rand.Uint32(), openedAt: time.Now()}
	r.flows[r.port] = f.packets
	r.mu.Unlock()
	start := time.Now()
	for copies, after := range []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond} {
		if res := f.await(start.Add(after)); res != "" {
			return f, res
		}
		f.via = append(f.via, f.send(packet{seq: f.seq, ack: uint32(copies), flags: flagSYN}))
	}
	if res := f.await(start.Add(1400 * time.Millisecond)); res != "" {
		return f, res
	}
	return f, notOpened
}

// await waits for the response to an opening packet until a time. It returns answered, or why the attempt ended.
func (f *flow) await(until time.Time) result {
	for {
		select {
		case p := <-f.packets:
			switch {
			case p.flags&flagRST != 0:
				return resetOf(p)
			case p.flags&flagSYN != 0 && p.ack == f.seq+1:
				f.seq, f.ack, f.echo, f.open = f.seq+1, p.seq+1, p.echo, true
				return answered
			}
		case <-time.After(time.Until(until)):
			return ""
		}
	}
}

func resetOf(p packet) result {
	if p.sum == 0 {
		return systemReset
	}
	return targetReset
}

// send sends a packet through the machine that the router selects now.
func (f *flow) send(p packet) *host {
	p.from, p.to = f.from, f.to
	h := f.requester.world.route(f.requester.zone, f.from, f.to)
	f.last = h
	if h != nil {
		_, _ = f.requester.conn.WriteToUDPAddrPort(p.encode(), netip.AddrPortFrom(h.addr, f.requester.world.packetsPort))
	}
	return h
}

// request sends one request on an open flow and waits for its response.
func (f *flow) request(id string, budget time.Duration) result {
	data := []byte("POST / HTTP/1.1\r\nHost: " + f.to.String() + "\r\n" + idHeader + id + "\r\nContent-Length: 0\r\n\r\n")
	sent := packet{echo: f.echo, seq: f.seq, ack: f.ack, flags: flagACK, data: data}
	f.send(sent)
	f.seq += uint32(len(data))
	end, pause, received := time.Now().Add(budget), 200*time.Millisecond, false
	resend := time.Now().Add(pause)
	for time.Now().Before(end) {
		select {
		case p := <-f.packets:
			switch {
			case p.flags&flagRST != 0:
				if p.sum != 0 || withinWindow(p.seq, f.ack) {
					return resetOf(p)
				}
				continue
			case p.flags&flagSYN != 0:
				continue
			}
			f.echo = p.echo
			if p.flags&flagFIN != 0 && p.seq == f.ack { // the target closes the flow
				f.ack++
				f.send(packet{echo: f.echo, seq: f.seq, ack: f.ack, flags: flagACK})
				continue
			}
			received = received || p.ack == f.seq
			if len(p.data) > 0 && p.seq == f.ack {
				f.ack += uint32(len(p.data))
				f.send(packet{echo: f.echo, seq: f.seq, ack: f.ack, flags: flagACK})
				if strings.Contains(string(p.data), "Response-Seal: "+id) {
					return answered
				}
				if strings.Contains(string(p.data), wire["not_executed_header"]) {
					return "503, not run"
				}
				r := f.requester.world.record
				r.printf("MIXED %s got a foreign answer", id)
				return "foreign answer"
			}
		case <-time.After(min(time.Until(resend), time.Until(end))):
			if !received && !time.Now().Before(resend) {
				sent.echo, sent.ack = f.echo, f.ack
				f.send(sent)
				pause = min(2*pause, 1600*time.Millisecond)
			}
			if !time.Now().Before(resend) {
				resend = time.Now().Add(pause)
			}
		}
	}
	return noAnswer
}

// withinWindow reports whether a reset of the system's counts on an open flow.
func withinWindow(seq, ack uint32) bool {
	d := int64(int32(seq - ack))
	return d >= -76800 && d <= 76800
}

func (f *flow) close() {
	if f.open {
		f.send(packet{echo: f.echo, seq: f.seq, ack: f.ack, flags: flagFIN | flagACK})
	}
	f.requester.mu.Lock()
	defer f.requester.mu.Unlock()
	delete(f.requester.flows, f.from.Port())
}

// route returns the machine to which the routers of a zone send a packet of a flow, by a steady hash.
func (w *world) route(zone string, from, to netip.AddrPort) *host {
	w.mu.Lock()
	defer w.mu.Unlock()
	var own, ownReady, otherReady []*host
	for _, h := range w.hosts {
		switch {
		case h.zone == zone && h.inRotation:
			own, ownReady = append(own, h), append(ownReady, h)
		case h.zone == zone:
			own = append(own, h)
		case h.inRotation:
			otherReady = append(otherReady, h)
		}
	}
	candidates := ownReady
	switch {
	case len(ownReady) == 0:
		candidates = otherReady
	case 2*len(ownReady) < len(own):
		candidates = own
	}
	var best *host
	bestScore := uint64(0)
	for _, h := range candidates {
		hash := fnv.New64a()
		_, _ = fmt.Fprint(hash, from, to, h.name)
		score := hash.Sum64() * 0x9e3779b97f4a7c15
		if best == nil || score > bestScore {
			best, bestScore = h, score
		}
	}
	return best
}

// pollReadiness asks a machine twice a second whether it is ready. After two misses it is out of rotation.
func (w *world) pollReadiness(h *host) {
	client := &http.Client{Timeout: 450 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	misses := 2
	for range time.Tick(500 * time.Millisecond) {
		response, err := client.Get("http://" + netip.AddrPortFrom(h.addr, w.readinessPort).String() + wire["ready"])
		ok := err == nil && response.StatusCode == http.StatusOK
		if err == nil {
			_ = response.Body.Close()
		}
		if ok {
			misses = 0
		} else {
			misses++
		}
		w.mu.Lock()
		before := h.inRotation
		h.inRotation = misses < 2 && (ok || before)
		if before != h.inRotation {
			w.record.printf("routers: %s in rotation: %t", h.name, h.inRotation)
		}
		h.ready = ok
		w.mu.Unlock()
	}
}

// ready reports whether all machines are in rotation.
func (w *world) ready() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !slices.ContainsFunc(w.hosts, func(h *host) bool { return !h.inRotation })
}
