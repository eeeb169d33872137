package host

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/thejerf/suture/v4"

	"github.com/rattanthread/rattanthread/registry"
)

const (
	hostLease     = 60 * time.Second // of the registration
	leaseRenewal  = 20 * time.Second
	registerRetry = 2 * time.Second
)

// registrar registers the host with the platform and renews the registration.
type registrar struct {
	host       *Host
	components *hostComponents
}

func (r *registrar) serve(ctx context.Context) error {
	for ctx.Err() == nil {
		err := r.components.client.RegisterObject(ctx, hostObject(r.host, r.components, registry.HostLive), hostLease)
		if errors.Is(err, registry.ErrConflict) {
			r.components.loop.supersede()
			return suture.ErrDoNotRestart
		}
		if err != nil {
			r.components.counters.platform.WithLabelValues("register", "failed").Inc()
			sleep(ctx, registerRetry)
			continue
		}
		r.components.counters.platform.WithLabelValues("register", "ok").Inc()
		sleep(ctx, leaseRenewal)
	}
	return nil
}

func hostObject(host *Host, components *hostComponents, state registry.HostState) registry.HostObject {
	return registry.HostObject{Host: components.self, Admin: host.Settings.Listen.Admin, State: state}
}

// deregister removes the host from the platform's list before a planned stop.
// Failures are only counted, since the list lags anyway and the lease expires.
func deregister(ctx context.Context, host *Host, components *hostComponents) {
	ctx, cancel := context.WithTimeout(ctx, host.Settings.Platform.Timeout)
	defer cancel()
	result := "ok"
	if err := components.client.Deregister(ctx, components.self.ID); err != nil {
		result = "failed"
	}
	components.counters.platform.WithLabelValues("deregister", result).Inc()
}
