package frontend

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// Settings of NewTransport.
const (
	connectTimeout         = 2 * time.Second
	idleConnTimeout        = 30 * time.Second
	idleConnsPerServer     = 64
	maxResponseHeaderBytes = 64 << 10 // bytes
)

// NewTransport returns a transport to backend servers. It tracks writes on its
// connections, so that a failed request can be proven not to have been sent.
func NewTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: connectTimeout}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, errors.Wrap(err, "dial "+address)
			}
			return &trackedConn{Conn: c}, nil
		},
		DisableCompression:     true,
		MaxIdleConnsPerHost:    idleConnsPerServer,
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}
}

// errWritesBlocked is returned by trackedConn.Write after blockWrites.
var errWritesBlocked = errors.New("writes on the connection are blocked")

// trackedConn is a connection that counts writes and can block further ones.
type trackedConn struct {
	net.Conn

	mu            sync.Mutex
	writes        int
	writesBlocked bool
}

// Write implements net.Conn.
func (c *trackedConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.writesBlocked {
		c.mu.Unlock()
		return 0, errWritesBlocked
	}
	c.writes++
	c.mu.Unlock()
	return c.Conn.Write(b)
}

func (c *trackedConn) writeCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// blockWrites blocks further writes, and reports whether the number of writes
// still equals before.
func (c *trackedConn) blockWrites(before int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writesBlocked = true
	return c.writes == before
}

// sendTracker tracks one round trip, to prove that nothing was sent if it fails.
type sendTracker struct {
	mu           sync.Mutex
	conn         net.Conn
	reused       bool
	writesBefore int
	connCount    int
}

func (t *sendTracker) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.connCount++
		t.conn, t.reused = info.Conn, info.Reused
		if c, ok := info.Conn.(*trackedConn); ok {
			t.writesBefore = c.writeCount()
		}
	}}
}

// closeConn closes the connection, so that it is not reused for another request.
func (t *sendTracker) closeConn() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn != nil {
		_ = t.conn.Close() // discards any response still in transit
	}
}

// wasReused reports whether the connection was used for earlier requests.
func (t *sendTracker) wasReused() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reused
}

// notSent reports, after a failed round trip, whether nothing was sent and nothing
// can be sent any more. If the transport reported no connection, only a dial error
// proves this.
func (t *sendTracker) notSent(err error) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.connCount == 0 {
		var op *net.OpError
		return errors.As(err, &op) && op.Op == "dial"
	}
	c, ok := t.conn.(*trackedConn)
	return ok && t.connCount == 1 && c.blockWrites(t.writesBefore)
}
