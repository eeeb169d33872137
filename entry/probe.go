package entry

import (
	"context"
	"net"
	"time"

	"github.com/rattanthread/rattanthread/catalogue"
	"github.com/rattanthread/rattanthread/forwarding"
)

const (
	// maxProbes bounds the servers that wait to be probed.
	maxProbes = 64
	// probeAttempts is how many connections are tried, probeGap apart.
	probeAttempts = 3
	probeGap      = 50 * time.Millisecond
	// probeTime is how long a server has to accept one of them.
	probeTime = 200 * time.Millisecond
	// probePause is the time between probes of a server that is unreachable.
	probePause = time.Second
)

// probe finds out whether servers that do not answer have ended.
func (h *Host) probe(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case server := <-h.probes:
			go h.probeServer(ctx, server)
		}
	}
}

// probeServer probes a server until it accepts a connection or its record ends.
func (h *Host) probeServer(ctx context.Context, server *catalogue.Server) {
	for {
		reachable := accepts(ctx, server)
		if ctx.Err() != nil {
			return
		}
		h.mu.Lock()
		flows := h.forwarder.Probed(server.Cookie, reachable)
		h.mu.Unlock()
		h.resetFlows(flows, server.Cookie, forwarding.ServerUnreachable)
		if reachable {
			return
		}
		select {
		case <-time.After(probePause):
		case <-ctx.Done():
			return
		}
		if h.snapshot.Load().catalogue.Server(server.Cookie) == nil {
			h.mu.Lock()
			h.forwarder.Chooser.Reach.Forget(server.Cookie)
			h.mu.Unlock()
			return
		}
	}
}

// accepts reports whether a server accepts a connection. Several are tried, as
// one packet may be lost.
func accepts(ctx context.Context, server *catalogue.Server) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTime)
	defer cancel()
	accepted := make(chan struct{}, probeAttempts)
	for range probeAttempts {
		go func() {
			conn, err := (&net.Dialer{}).DialContext(ctx, "tcp4", server.Address.String())
			if err == nil {
				_ = conn.Close()
				accepted <- struct{}{}
			}
		}()
		select {
		case <-accepted:
			return true
		case <-time.After(probeGap):
		}
	}
	select {
	case <-accepted:
		return true
	case <-ctx.Done():
		return false
	}
}
