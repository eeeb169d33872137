package host

import (
	"context"
	"fmt"
	"time"

	"github.com/thejerf/suture/v4"

	"github.com/rattanthread/rattanthread/control"
)

const (
	// stopDrain bounds how long a planned stop waits for running requests.
	stopDrain = 30 * time.Second
	// stopLinger is how long the host goes on forwarding packets after it has
	// handed over, since the fabric learns late that it is gone.
	stopLinger = control.MaxLeaveDelay + time.Second
)

// tree returns the supervisor tree: one branch for control, one for traffic, so
// that the restarts of one never stop the other.
func (h *Host) tree() *suture.Supervisor {
	p := h.parts
	root := newSupervisor("host", h.Logger, p.counters.restarts)
	controls := newSupervisor("control", h.Logger, p.counters.restarts)
	controls.Add(service{"loop", p.loop.serve})
	controls.Add(service{"peer", p.hub.Serve})
	controls.Add(service{"reader", (&reader{h, p}).serve})
	controls.Add(service{"registrar", (&registrar{h, p}).serve})
	controls.Add(service{"prober", (&prober{host: h, parts: p}).serve})
	controls.Add(service{"admin", (&admin{h, p}).serve})
	traffic := newSupervisor("traffic", h.Logger, p.counters.restarts)
	for i := range h.Settings.Limits.PacketWorkers {
		traffic.Add(service{fmt.Sprintf("packet-%d", i), newPacketWorker(h, p, i).serve})
		traffic.Add(service{fmt.Sprintf("handoff-%d", i), newHandoffWorker(h, p, i).serve})
	}
	traffic.Add(service{"requests", p.requests.serve})
	root.Add(controls)
	root.Add(traffic)
	return root
}

// stop hands over what the host owns. Packets are forwarded to the end.
func (h *Host) stop() {
	p := h.parts
	h.Logger.Info("planned stop", "host", h.Settings.Host)
	drain, cancel := context.WithTimeout(context.Background(), stopDrain)
	defer cancel()
	deregister(drain, h, p)
	if err := p.requests.drain(drain); err != nil {
		h.Logger.Warn("running requests were cut", "error", err)
	}
	p.loop.stop(drain)
	h.linger(drain)
}

func (h *Host) linger(ctx context.Context) {
	timer := time.NewTimer(stopLinger)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	case <-h.killed:
	}
}
