package host

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/thejerf/suture/v4"

	"github.com/rattanthread/rattanthread/registry"
)

const (
	hostLease     = 60 * time.Second // of the host's entry in the platform's list
	leaseRenewal  = 20 * time.Second
	registerRetry = 2 * time.Second
)

// registrar keeps the host in the platform's list of hosts.
type registrar struct {
	host  *Host
	parts *parts
}

func (r *registrar) serve(ctx context.Context) error {
	for ctx.Err() == nil {
		err := r.parts.client.RegisterObject(ctx, hostObject(r.host, r.parts, registry.HostLive), hostLease)
		if errors.Is(err, registry.ErrConflict) {
			r.parts.loop.supersede()
			return suture.ErrDoNotRestart
		}
		if err != nil {
			r.parts.counters.platform.WithLabelValues("register", "failed").Inc()
			wait(ctx, registerRetry)
			continue
		}
		r.parts.counters.platform.WithLabelValues("register", "ok").Inc()
		wait(ctx, leaseRenewal)
	}
	return nil
}

func hostObject(h *Host, p *parts, state registry.HostState) registry.HostObject {
	return registry.HostObject{Host: p.self, Admin: h.Settings.Listen.Admin, State: state}
}

// deregister takes the host out of the platform's list before a planned stop.
// The list lags, and the lease ends by itself, so a failure is only counted.
func deregister(ctx context.Context, h *Host, p *parts) {
	ctx, cancel := context.WithTimeout(ctx, h.Settings.Platform.Timeout)
	defer cancel()
	result := "ok"
	if err := p.client.Deregister(ctx, p.self.ID); err != nil {
		result = "failed"
	}
	p.counters.platform.WithLabelValues("deregister", result).Inc()
}
