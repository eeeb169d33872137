package entry

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/rattanthread/rattanthread/catalogue"
	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/forwarding"
	"github.com/rattanthread/rattanthread/placement"
)

const (
	// maxQueuedProbes bounds the servers that wait to be probed.
	maxQueuedProbes = 1024
	// probeAttempts is how many connections a probe attempts, attemptInterval apart. One is
	// enough for a server that is known to be unreachable: a lost packet only delays the result
	// by a probeInterval.
	probeAttempts   = 3
	attemptInterval = 50 * time.Millisecond
	// requiredRefusals is how many refused connections show that a server has ended, and how many that
	// are reset show that it is at its limit of connections.
	requiredRefusals = 2
	// probeTimeout bounds the attempts of a probe.
	probeTimeout = 200 * time.Millisecond
	// maxProbeDuration is the longest probe whose failure is conclusive. If it takes longer,
	// the host itself was delayed.
	maxProbeDuration = probeTimeout + 3*attemptInterval
	// witnessTimeout bounds the connection to a witness. It exceeds the round trip between two
	// data centres.
	witnessTimeout = 50 * time.Millisecond
	// probeInterval is the time between probes of an unreachable server.
	probeInterval = time.Second
	// inconclusiveRetryDelay is the time until an inconclusive first probe is repeated.
	inconclusiveRetryDelay = 200 * time.Millisecond
)

// runProbes probes servers that don't respond, to find out whether they have ended.
func (h *Host) runProbes(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case server := <-h.probes:
			go h.probeServer(ctx, server)
		}
	}
}

// probeServer probes a server until it accepts a connection, its record is removed, or it has
// started again.
func (h *Host) probeServer(ctx context.Context, server *catalogue.Server) {
	attempts, delay := probeAttempts, inconclusiveRetryDelay
	for {
		probe := forwarding.Probe{Server: server.Cookie, Began: h.network.Now()}
		probe.Evidence = h.probeOnce(ctx, server, h.witnesses(server, attempts), attempts)
		if ctx.Err() != nil {
			return
		}
		if elapsed := h.network.Now().Sub(probe.Began); probe.Evidence == placement.Silent && elapsed > maxProbeDuration {
			probe.Evidence = placement.Unclear
		}
		ended := h.recordProbe(server, probe)
		if probe.Evidence == placement.Accepted {
			return
		}
		switch {
		case ended:
			attempts, delay = 1, probeInterval
		case probe.Evidence == placement.Full: // its flows are forwarded again, and one lost packet must not end them
			attempts = probeAttempts
		}
		select {
		case <-time.After(delay):
		case <-ctx.Done():
			return
		}
		delay = probeInterval
		switch current := h.snapshot.Load().catalogue.Server(server.Cookie); {
		case current == nil:
			h.mu.Lock()
			h.forwarder.Chooser.Reachability.Forget(server.Cookie)
			h.mu.Unlock()
			return
		case !current.SameStart(server): // the state is that of the new start
			return
		}
	}
}

// witnesses returns the servers to probe together with a server whose state is unknown.
func (h *Host) witnesses(server *catalogue.Server, attempts int) []*catalogue.Server {
	if attempts == 1 {
		return nil
	}
	current := h.snapshot.Load().catalogue
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.forwarder.Chooser.Witnesses(current, server, uint64(h.network.Now().UnixNano()))
}

// recordProbe records the result of a probe and resets the flows of an unreachable server.
// It reports whether the flows of the server have been ended. The result of a probe of an earlier
// start says nothing about the server.
func (h *Host) recordProbe(server *catalogue.Server, probe forwarding.Probe) bool {
	h.mu.Lock()
	catalogue := h.snapshot.Load().catalogue
	if current := catalogue.Server(server.Cookie); current != nil && !current.SameStart(server) {
		h.mu.Unlock()
		h.log.Line("probe_outdated", "server", server.ID, "result", probe.Evidence.String(), "probed", server.Address, "address", current.Address)
		return false
	}
	flows, related := h.forwarder.RecordProbe(h.network.Now(), catalogue, probe)
	ended := h.forwarder.Chooser.Reachability.FlowsEnded(server.Cookie)
	unreachable := h.forwarder.Chooser.Reachability.Unreachable(server.Cookie)
	h.record(Event{Probe: &ProbeEvent{Probe: probe, Flows: len(flows)}})
	h.mu.Unlock()
	h.metrics.probes.WithLabelValues(probe.Evidence.String()).Inc()
	h.log.Line("server_probed", "server", server.ID, "result", probe.Evidence.String(), "unreachable", unreachable, "ended", ended, "flows", len(flows))
	h.requestProbes(related)
	h.resetFlows(flows, server.ID, forwarding.ServerUnreachable)
	return ended
}

// requestProbes queues servers to be probed and skips those that don't fit in the queue.
func (h *Host) requestProbes(servers []*catalogue.Server) {
	for _, server := range servers {
		select {
		case h.probes <- server:
		default:
			h.mu.Lock()
			h.forwarder.Chooser.Reachability.Forget(server.Cookie)
			h.mu.Unlock()
		}
	}
}

// probeOnce probes a server. It makes several attempts, since a packet may be lost; two
// refusals mean that no server runs there. So does a response of another server, to which
// the address was reassigned. Resets of connections come from a process that listens there, so they are no
// refusals: a server at its limit of connections resets further ones. The witnesses are probed along with
// the last attempt: if none is connected at once, the host itself may be delayed and the result is
// inconclusive.
func (h *Host) probeOnce(ctx context.Context, server *catalogue.Server, witnesses []*catalogue.Server, attempts int) placement.Evidence {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	results := make(chan probeResult, attempts+len(witnesses))
	ticker := time.NewTicker(attemptInterval)
	defer ticker.Stop()
	attempted, refused, resets, witnessResponded := 0, 0, 0, len(witnesses) == 0 && attempts == 1
	attempt := func() {
		if attempted == attempts {
			return
		}
		attempted++
		go h.identify(ctx, server, false, results)
		if attempted == attempts {
			for _, witness := range witnesses {
				go h.identify(ctx, witness, true, results)
			}
		}
	}
	attempt()
	for {
		select {
		case result := <-results:
			switch {
			case result.witness:
				witnessResponded = witnessResponded || result.prompt()
			case result.err == nil && (result.id == "" || result.id == server.ID):
				return placement.Accepted
			case result.err == nil:
				return placement.Refused
			case result.refused():
				refused++
				if refused == min(requiredRefusals, attempts) {
					return placement.Refused
				}
				attempt()
			case result.reset():
				resets++
				if resets == min(requiredRefusals, attempts) {
					return placement.Full
				}
				attempt()
			}
		case <-ticker.C:
			attempt()
		case <-ctx.Done():
			return h.awaitLateResults(results, witnessResponded)
		}
	}
}

// identify makes one attempt of a probe.
func (h *Host) identify(ctx context.Context, server *catalogue.Server, witness bool, results chan<- probeResult) {
	path := h.snapshot.Load().catalogue.Service(server.Service).HealthPath
	began := h.network.Now()
	var connectTime time.Duration
	id, err := h.network.Identify(ctx, server.Address, path, func() { connectTime = h.network.Now().Sub(began) })
	if err != nil {
		connectTime = h.network.Now().Sub(began)
	}
	results <- probeResult{witness: witness, id: id, err: err, connectTime: connectTime}
}

// probeResult is the result of an attempt. The ID may be empty, as in Network.Identify.
type probeResult struct {
	witness bool
	id      fleet.ServerID
	err     error
	// connectTime is the time until the connection was accepted or refused.
	connectTime time.Duration
}

// refused reports whether no process listens at the address.
func (r probeResult) refused() bool { return errors.Is(r.err, syscall.ECONNREFUSED) }

// reset reports whether a process at the address accepted the connection and reset it.
func (r probeResult) reset() bool { return errors.Is(r.err, syscall.ECONNRESET) }

// prompt reports whether the connection was accepted or refused so soon that the host's own
// link and processor were not congested.
func (r probeResult) prompt() bool {
	return (r.err == nil || r.refused() || r.reset()) && r.connectTime <= witnessTimeout
}

// awaitLateResults waits for the attempts that the timeout has interrupted. An accepted
// connection without a response means that the server is alive but slow.
func (h *Host) awaitLateResults(results <-chan probeResult, witnessResponded bool) placement.Evidence {
	timer := time.NewTimer(attemptInterval)
	defer timer.Stop()
	for {
		select {
		case result := <-results:
			if result.err == nil && !result.witness {
				return placement.Accepted
			}
			witnessResponded = witnessResponded || result.witness && result.prompt()
		case <-timer.C:
			if witnessResponded {
				return placement.Silent
			}
			return placement.Unclear
		}
	}
}
