package host

import (
	"context"
	"fmt"
	"time"

	"github.com/thejerf/suture/v4"

	"github.com/rattanthread/rattanthread/control"
)

const (
	// plannedStopTimeout bounds a planned stop, including the wait for running requests.
	plannedStopTimeout = 30 * time.Second
	// lingerDuration is how long the host continues to forward packets after the
	// handover, since the fabric detects its departure with a delay.
	lingerDuration = control.MaxLeaveDelay + time.Second
)

// tree returns the supervisor tree. Control and traffic are separate branches, so
// that restarts in one never stop the other.
func (h *Host) tree() *suture.Supervisor {
	components := h.components
	root := newSupervisor("host", h.Logger, components.counters.restarts)
	controlTree := newSupervisor("control", h.Logger, components.counters.restarts)
	controlTree.Add(service{"loop", components.loop.serve})
	controlTree.Add(service{"peer", components.hub.Serve})
	controlTree.Add(service{"reader", (&reader{h, components}).serve})
	controlTree.Add(service{"registrar", (&registrar{h, components}).serve})
	controlTree.Add(service{"prober", (&prober{host: h, components: components}).serve})
	controlTree.Add(service{"admin", (&admin{h, components}).serve})
	trafficTree := newSupervisor("traffic", h.Logger, components.counters.restarts)
	for i := range h.Settings.Limits.PacketWorkers {
		trafficTree.Add(service{fmt.Sprintf("packet-%d", i), newPacketWorker(h, components, i).serve})
		trafficTree.Add(service{fmt.Sprintf("handoff-%d", i), newHandoffWorker(h, components, i).serve})
	}
	trafficTree.Add(service{"requests", components.requests.serve})
	root.Add(controlTree)
	root.Add(trafficTree)
	return root
}

// stop performs a planned stop: it drains requests and hands over the state that
// the host owns. Packets are forwarded until the end.
func (h *Host) stop() {
	components := h.components
	h.Logger.Info("planned stop started", "host", h.Settings.Host)
	ctx, cancel := context.WithTimeout(context.Background(), plannedStopTimeout)
	defer cancel()
	deregister(ctx, h, components)
	if err := components.requests.drain(ctx); err != nil {
		h.Logger.Warn("drain ended before all requests finished", "error", err)
	}
	components.loop.stop(ctx)
	h.linger(ctx)
}

func (h *Host) linger(ctx context.Context) {
	timer := time.NewTimer(lingerDuration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	case <-h.killed:
	}
}
