package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// proxyMode is what a proxy does to connections.
type proxyMode int

const (
	pass proxyMode = iota
	delay
	reset
	silence
	oneWay
	proxyModes
)

var modeNames = [proxyModes]string{"pass", "delay", "reset", "silence", "one_way"}

// proxyDelay is how long delayed bytes are held.
const proxyDelay = 300 * time.Millisecond

// proxy stands between one host and the store.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	mode  proxyMode
	conns map[net.Conn]bool
}

func newProxy(target string) (*proxy, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target, conns: make(map[net.Conn]bool)}
	go p.accept()
	return p, nil
}

// set changes the mode. Open connections are reset if the mode says so.
func (p *proxy) set(mode proxyMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
	if mode != reset {
		return
	}
	for conn := range p.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

func (p *proxy) current() proxyMode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.set(reset)
}

func (p *proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.current() == reset {
			_ = conn.Close()
			continue
		}
		go p.carry(conn)
	}
}

func (p *proxy) carry(near net.Conn) {
	far, err := net.Dial("tcp4", p.target)
	if err != nil {
		_ = near.Close()
		return
	}
	p.mu.Lock()
	p.conns[near], p.conns[far] = true, true
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.copy(far, near, false) })
	both.Go(func() { p.copy(near, far, true) })
	both.Wait()
	p.mu.Lock()
	delete(p.conns, near)
	delete(p.conns, far)
	p.mu.Unlock()
}

// copy carries bytes one way. A connection that has been silenced stays silent,
// also when new ones work again.
func (p *proxy) copy(to, from net.Conn, answers bool) {
	defer func() { _, _ = to.Close(), from.Close() }()
	buffer := make([]byte, 32<<10)
	silent := false
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		mode := p.current()
		silent = silent || mode == silence || mode == oneWay && answers
		if silent {
			continue
		}
		if mode == delay {
			time.Sleep(proxyDelay)
		}
		if _, err := to.Write(buffer[:n]); err != nil && err != io.EOF {
			return
		}
	}
}
