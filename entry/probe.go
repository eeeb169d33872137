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
	// unclearPause is the time until a first probe that has shown nothing is made again.
	unclearPause = 200 * time.Millisecond
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
	attempts, pause := probeAttempts, unclearPause
	for {
		p := forwarding.Probe{Server: server.Cookie, Began: h.network.Now()}
		p.Found = h.ask(ctx, server, h.witnesses(server, attempts), attempts)
		if ctx.Err() != nil {
			return
		}
		if took := h.network.Now().Sub(p.Began); p.Found == placement.Silent && took > maxProbeTime {
			p.Found = placement.Unclear
		}
		ended := h.probed(server, p)
		if p.Found == placement.Accepted {
			return
		}
		if ended {
			attempts, pause = 1, probePause
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return
		}
		pause = probePause
		if h.snapshot.Load().catalogue.Server(server.Cookie) == nil {
			h.mu.Lock()
			h.forwarder.Chooser.Reachability.Forget(server.Cookie)
			h.mu.Unlock()
			return
		}
	}
}

// witnesses returns the servers to probe beside one whose state is not known yet.
func (h *Host) witnesses(server *catalogue.Server, attempts int) []*catalogue.Server {
	if attempts == 1 {
		return nil
	}
	known := h.snapshot.Load().catalogue
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.forwarder.Chooser.Witnesses(known, server, uint64(h.network.Now().UnixNano()))
}

// probed acts on a finished probe, and reports whether its server's flows have ended.
func (h *Host) probed(server *catalogue.Server, p forwarding.Probe) bool {
	h.mu.Lock()
	flows, also := h.forwarder.RecordProbe(h.network.Now(), h.snapshot.Load().catalogue, p)
	ended := h.forwarder.Chooser.Reachability.FlowsEnded(server.Cookie)
	unreachable := h.forwarder.Chooser.Reachability.Unreachable(server.Cookie)
	h.record(Event{Probe: &ProbeEvent{Probe: p, Flows: len(flows)}})
	h.mu.Unlock()
	h.metrics.probes.WithLabelValues(p.Found.String()).Inc()
	h.log.Line("server_probed", "server", server.ID, "result", p.Found.String(), "unreachable", unreachable, "ended", ended, "flows", len(flows))
	h.askProbes(also)
	h.resetFlows(flows, server.ID, forwarding.ServerUnreachable)
	return ended
}

// askProbes asks for probes. Those for which there is no room are left out.
func (h *Host) askProbes(servers []*catalogue.Server) {
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

// ask tries connections to a server. Several are tried, as one packet may be lost;
// a host that refuses two has no server. One on which another server answers, to
// which the address has gone, has not either. With the last try the witnesses are
// asked as well: without an answer of theirs, silence shows nothing.
func (h *Host) ask(ctx context.Context, server *catalogue.Server, witnesses []*catalogue.Server, attempts int) placement.Evidence {
	ctx, cancel := context.WithTimeout(ctx, probeTime)
	defer cancel()
	results := make(chan probeResult, attempts+len(witnesses))
	next := time.NewTicker(probeGap)
	defer next.Stop()
	tried, refused, witnessed := 0, 0, len(witnesses) == 0 && attempts == 1
	try := func() {
		if tried == attempts {
			return
		}
		tried++
		go h.identify(ctx, server, false, results)
		if tried == attempts {
			for _, witness := range witnesses {
				go h.identify(ctx, witness, true, results)
			}
		}
	}
	try()
	for {
		select {
		case r := <-results:
			switch {
			case r.witness:
				witnessed = witnessed || r.err == nil || r.refused()
			case r.err == nil && (r.id == "" || r.id == server.ID):
				return placement.Accepted
			case r.err == nil:
				return placement.Refused
			case r.refused():
				refused++
				if refused == min(maxRefused, attempts) {
					return placement.Refused
				}
				try()
			}
		case <-next.C:
			try()
		case <-ctx.Done():
			return h.askedLate(results, witnessed)
		}
	}
}

// identify makes one attempt of a probe.
func (h *Host) identify(ctx context.Context, server *catalogue.Server, witness bool, results chan<- probeResult) {
	path := h.snapshot.Load().catalogue.Service(server.Service).HealthPath
	id, err := h.network.Identify(ctx, server.Address, path)
	results <- probeResult{witness: witness, id: id, err: err}
}

// probeResult is who answered an attempt of a probe, if a connection was accepted.
type probeResult struct {
	witness bool
	id      fleet.ServerID
	err     error
}

func (r probeResult) refused() bool {
	return errors.Is(r.err, syscall.ECONNREFUSED) || errors.Is(r.err, syscall.ECONNRESET)
}

// askedLate waits for the attempts that were cut off by the end of their time:
// one that was accepted and not answered shows a server that is alive and slow.
func (h *Host) askedLate(results <-chan probeResult, witnessed bool) placement.Evidence {
	timer := time.NewTimer(probeGap)
	defer timer.Stop()
	for {
		select {
		case r := <-results:
			if r.err == nil && !r.witness {
				return placement.Accepted
			}
			witnessed = witnessed || r.err == nil
		case <-timer.C:
			if witnessed {
				return placement.Silent
			}
			return placement.Unclear
		}
	}
}
