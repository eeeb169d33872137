package main

import (
	"net"
	"sync"
)

// link is the path of the channels to one address. Its zero value is whole.
type link struct {
	mu sync.Mutex
	// silenced counts the events after which the channels open by then carry nothing more.
	silenced int
	// dark means that new channels carry nothing either.
	dark bool
}

// silence makes all channels that are open now go silent for good, without a reset. New ones work.
func (l *link) silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.silenced++
}

// cut makes the path silent until heal.
func (l *link) cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dark = true
	l.silenced++
}

// heal ends a cut. What was sent on the channels of before is lost.
func (l *link) heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dark = false
	l.silenced++
}

func (l *link) isDark() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.dark
}

func (l *link) epoch() (int, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.silenced, l.dark
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
	epoch, _ := l.link.epoch()
	return &linkConn{Conn: conn, link: l.link, opened: epoch}, nil
}

// linkConn is a channel over a link.
type linkConn struct {
	net.Conn
	link   *link
	opened int
}

func (c *linkConn) silent() bool {
	epoch, dark := c.link.epoch()
	return dark || epoch != c.opened
}

// Read discards what arrives while the channel is silent.
func (c *linkConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.silent() {
			return n, err
		}
	}
}

// Write loses what is sent while the channel is silent.
func (c *linkConn) Write(b []byte) (int, error) {
	if c.silent() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}
