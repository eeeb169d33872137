package entry

import (
	"context"
	"slices"
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
// that a restart requires no call to the store. A restored store may have lost the record.
func (h *Host) register(ctx context.Context, store *platform.Store) error {
	return every(ctx, registerInterval, func() {
		state := h.snapshot.Load()
		if state.versions[catalogue.Hosts] == 0 || registered(state.catalogue, h.self()) {
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

func registered(current *catalogue.Catalogue, self fleet.Host) bool {
	return current.HostVersion(self.ID) != 0 && slices.Contains(current.Hosts(), self)
}
