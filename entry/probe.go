package entry

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/rattanthread/rattanthread/catalogue"
	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/forwarding"
)

const (
	// maxProbes bounds the servers that wait to be probed.
	maxProbes = 1024
	// probeAttempts is how many connections are tried, probeGap apart. Of a server
	// that is unreachable one at a time is enough: a lost packet costs a probePause.
	probeAttempts = 3
	probeGap      = 50 * time.Millisecond
	// maxRefused is how many refused connections show that a server has ended.
	maxRefused = 2
	// probeTime is how long a server has to accept one of them.
	probeTime = 200 * time.Millisecond
	// maxProbeTime is how long a failed probe may have taken. A host that was held
	// up itself can't tell who has not answered.
	maxProbeTime = probeTime + 3*probeGap
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
	attempts := probeAttempts
	for {
		start := h.network.Now()
		reachable := h.accepts(ctx, server, attempts)
		if ctx.Err() != nil {
			return
		}
		if took := h.network.Now().Sub(start); !reachable && took > maxProbeTime {
			h.log.Line("probe_void", "server", server.ID, "took_ms", took.Milliseconds())
			continue
		}
		h.mu.Lock()
		flows, also := h.forwarder.Probed(h.network.Now(), h.snapshot.Load().catalogue, server.Cookie, reachable)
		h.record(Event{Probe: &ProbeEvent{Server: server.Cookie, Reachable: reachable, Flows: len(flows)}})
		h.mu.Unlock()
		h.countProbe(server, reachable, len(flows))
		h.askProbes(also)
		h.resetFlows(flows, server.ID, forwarding.ServerUnreachable)
		if reachable {
			return
		}
		attempts = 1
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

// askProbes asks for probes. Those for which there is no room are left out.
func (h *Host) askProbes(servers []*catalogue.Server) {
	for _, server := range servers {
		select {
		case h.probes <- server:
		default:
			h.mu.Lock()
			h.forwarder.Chooser.Reach.Forget(server.Cookie)
			h.mu.Unlock()
		}
	}
}

func (h *Host) countProbe(server *catalogue.Server, reachable bool, flows int) {
	result := "accepted"
	if !reachable {
		result = "unreachable"
	}
	h.metrics.probes.WithLabelValues(result).Inc()
	h.log.Line("server_probed", "server", server.ID, "result", result, "flows", flows)
}

// accepts reports whether a server accepts a connection. Several are tried, as
// one packet may be lost; a host that refuses two has no server. One on which
// another server answers, to which the address has gone, has not either.
func (h *Host) accepts(ctx context.Context, server *catalogue.Server, attempts int) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTime)
	defer cancel()
	path := h.snapshot.Load().catalogue.Service(server.Service).HealthPath
	results := make(chan probeResult, attempts)
	next := time.NewTicker(probeGap)
	defer next.Stop()
	tried, refused := 0, 0
	try := func() {
		if tried < attempts {
			tried++
			go func() {
				id, err := h.network.Identify(ctx, server.Address, path)
				results <- probeResult{id, err}
			}()
		}
	}
	try()
	for {
		select {
		case r := <-results:
			if r.err == nil {
				return r.id == "" || r.id == server.ID
			}
			if errors.Is(r.err, syscall.ECONNREFUSED) || errors.Is(r.err, syscall.ECONNRESET) {
				refused++
			}
			if refused == min(maxRefused, attempts) {
				return false
			}
			try()
		case <-next.C:
			try()
		case <-ctx.Done():
			return h.acceptedLate(results)
		}
	}
}

// probeResult is who answered a probe, if a connection was accepted.
type probeResult struct {
	id  fleet.ServerID
	err error
}

// acceptedLate waits for the probes that were cut off by the end of their time:
// one that was accepted and not answered shows a server that is alive and slow.
func (h *Host) acceptedLate(results <-chan probeResult) bool {
	timer := time.NewTimer(probeGap)
	defer timer.Stop()
	for {
		select {
		case r := <-results:
			if r.err == nil {
				return true
			}
		case <-timer.C:
			return false
		}
	}
}
