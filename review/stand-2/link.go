package main

import (
	"net"
	"sync"
	"time"
)

// link is the path of the channels to one address. Its zero value is whole.
type link struct {
	mu sync.Mutex
	// silenced counts the events after which the channels open by then carry nothing more.
	silenced int
	// dark means that the path is cut: what is sent is held up until it is whole again.
	dark bool
}

// silence makes all channels that are open now go silent for good, without a reset. New ones work.
func (l *link) silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.silenced++
}

// cut cuts the path, silently, until it is healed.
func (l *link) cut() { l.setDark(true) }

func (l *link) heal() { l.setDark(false) }

func (l *link) setDark(dark bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dark = dark
}

func (l *link) state() (silenced int, dark bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.silenced, l.dark
}

// awaitWhole waits while the path is cut.
func (l *link) awaitWhole() {
	for {
		if _, dark := l.state(); !dark {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// linkListener accepts channels that follow the state of a link.
type linkListener struct {
	net.Listener
	link *link
}

// Accept accepts a channel.
func (l linkListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	silenced, _ := l.link.state()
	return &linkConn{Conn: conn, link: l.link, opened: silenced}, nil
}

// linkConn is a channel over a link.
type linkConn struct {
	net.Conn
	link   *link
	opened int
}

func (c *linkConn) silent() bool {
	silenced, _ := c.link.state()
	return silenced != c.opened
}

// Read holds what arrives during a cut, and discards it once the channel is silent.
func (c *linkConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		c.link.awaitWhole()
		if err != nil || !c.silent() {
			return n, err
		}
	}
}

// Write holds what is sent during a cut, and loses it once the channel is silent.
func (c *linkConn) Write(b []byte) (int, error) {
	c.link.awaitWhole()
	if c.silent() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}
