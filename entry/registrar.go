package entry

import (
	"context"
	"time"

	"github.com/rattanthread/rattanthread/catalogue"
	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/platform"
)

// Timing of the registration.
const (
	registerInterval = 500 * time.Millisecond
	registerTimeout  = 2 * time.Second
)

// register writes the record by which other hosts find this one, unless it exists already, so
// that a restart requires no call to the store.
func (h *Host) register(ctx context.Context, store *platform.Store) error {
	return every(ctx, registerInterval, func() {
		state := h.snapshot.Load()
		if state.versions[catalogue.Hosts] == 0 || registered(state.catalogue.Hosts(), h.self()) {
			return
		}
		callCtx, cancel := context.WithTimeout(ctx, registerTimeout)
		defer cancel()
		h.log.Line("registered", "error", store.Register(callCtx, h.self()))
	})
}

// every calls f at each interval until ctx ends.
func every(ctx context.Context, interval time.Duration, f func()) error {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			f()
		}
	}
}

func registered(hosts []fleet.Host, self fleet.Host) bool {
	for _, host := range hosts {
		if host == self {
			return true
		}
	}
	return false
}
