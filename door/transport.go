package door

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// The settings of NewTransport.
const (
	connectTimeout      = 2 * time.Second
	idleConnTimeout     = 30 * time.Second
	idleConnsPerServer  = 64
	maxAnswerHeaderSize = 64 << 10 // bytes
)

// NewTransport returns a transport to backend servers whose connections can
// prove that nothing of a request was written.
func NewTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: connectTimeout}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, errors.Wrap(err, "dial "+address)
			}
			return &sealedConn{Conn: c}, nil
		},
		DisableCompression:     true,
		MaxIdleConnsPerHost:    idleConnsPerServer,
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: maxAnswerHeaderSize,
	}
}

// errSealed is returned by writes after a connection was sealed.
var errSealed = errors.New("connection is sealed")

// sealedConn counts writes, and can be sealed against further ones.
type sealedConn struct {
	net.Conn

	mu     sync.Mutex
	writes int
	sealed bool
}

// Write implements net.Conn.
func (c *sealedConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.writes++
	c.mu.Unlock()
	return c.Conn.Write(b)
}

func (c *sealedConn) written() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// seal forbids further writes, and reports whether there were none since the
// count was before.
func (c *sealedConn) seal(before int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.writes == before
}

// sendProof watches one round trip for the proof that nothing was sent.
type sendProof struct {
	mu     sync.Mutex
	conn   net.Conn
	reused bool
	before int
	conns  int
}

func (p *sendProof) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.conns++
		p.conn, p.reused = info.Conn, info.Reused
		if c, ok := info.Conn.(*sealedConn); ok {
			p.before = c.written()
		}
	}}
}

// drop closes the connection, so that it carries no further request.
func (p *sendProof) drop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn != nil {
		_ = p.conn.Close() // whatever is still under way on it belongs to nobody
	}
}

// wasReused reports whether the connection has carried other requests before.
func (p *sendProof) wasReused() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reused
}

// notSent reports, after a failed round trip, whether nothing was sent and
// nothing can be sent any more. A transport that does not report connections
// proves nothing; only a failure to connect does.
func (p *sendProof) notSent(err error) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns == 0 {
		var op *net.OpError
		return errors.As(err, &op) && op.Op == "dial"
	}
	c, ok := p.conn.(*sealedConn)
	return ok && p.conns == 1 && c.seal(p.before)
}
