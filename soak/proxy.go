package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// proxyMode is how a proxy treats connections.
type proxyMode int

const (
	modePass proxyMode = iota
	modeDelay
	modeReset
	modeDiscard
	modeOneWay
	numProxyModes
)

var modeNames = [numProxyModes]string{"pass", "delay", "reset", "silence", "one_way"}

// proxyDelay is the delay of forwarded data in modeDelay.
const proxyDelay = 300 * time.Millisecond

// proxy forwards the connections of one host to the store.
type proxy struct {
	listener     net.Listener
	storeAddress string

	mu    sync.Mutex
	mode  proxyMode
	conns map[net.Conn]bool
}

func newProxy(storeAddress string) (*proxy, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, storeAddress: storeAddress, conns: make(map[net.Conn]bool)}
	go p.accept()
	return p, nil
}

// setMode changes the mode. modeReset also resets open connections.
func (p *proxy) setMode(mode proxyMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
	if mode != modeReset {
		return
	}
	for conn := range p.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

func (p *proxy) currentMode() proxyMode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.setMode(modeReset)
}

func (p *proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.currentMode() == modeReset {
			_ = conn.Close()
			continue
		}
		go p.forward(conn)
	}
}

func (p *proxy) forward(hostConn net.Conn) {
	storeConn, err := net.Dial("tcp4", p.storeAddress)
	if err != nil {
		_ = hostConn.Close()
		return
	}
	p.mu.Lock()
	p.conns[hostConn], p.conns[storeConn] = true, true
	p.mu.Unlock()
	var copies sync.WaitGroup
	copies.Go(func() { p.copyBytes(storeConn, hostConn, false) })
	copies.Go(func() { p.copyBytes(hostConn, storeConn, true) })
	copies.Wait()
	p.mu.Lock()
	delete(p.conns, hostConn)
	delete(p.conns, storeConn)
	p.mu.Unlock()
}

// copyBytes forwards data of a connection in one direction. Once it has discarded data,
// it discards all later data, even after a mode change that lets new connections through.
func (p *proxy) copyBytes(to, from net.Conn, fromStore bool) {
	defer func() { _, _ = to.Close(), from.Close() }()
	buffer := make([]byte, 32<<10)
	discarding := false
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		mode := p.currentMode()
		discarding = discarding || mode == modeDiscard || mode == modeOneWay && fromStore
		if discarding {
			continue
		}
		if mode == modeDelay {
			time.Sleep(proxyDelay)
		}
		if _, err := to.Write(buffer[:n]); err != nil && err != io.EOF {
			return
		}
	}
}
