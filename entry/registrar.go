package entry

import (
	"context"
	"time"

	"github.com/rattanthread/rattanthread/catalogue"
	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/platform"
)

// Times of the registration.
const (
	registerPause   = 500 * time.Millisecond
	registerTimeout = 2 * time.Second
)

// register writes the record by which other hosts find this one, unless it is
// there already. It costs no call at a restart.
func (h *Host) register(ctx context.Context, store *platform.Store) error {
	return every(ctx, registerPause, func() {
		known := h.snapshot.Load()
		if known.versions[catalogue.Hosts] == 0 || registered(known.catalogue.Hosts(), h.self()) {
			return
		}
		calling, cancel := context.WithTimeout(ctx, registerTimeout)
		defer cancel()
		h.log.Line("registered", "error", store.Register(calling, h.self()))
	})
}

// every does something after each pause until ctx ends.
func every(ctx context.Context, pause time.Duration, do func()) error {
	tick := time.NewTicker(pause)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			do()
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
