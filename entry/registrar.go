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
	registerPause   = 2 * time.Second
	registerTimeout = 2 * time.Second
)

// register writes the record by which other hosts find this one, unless it is
// there already. It costs no call at a restart.
func (h *Host) register(ctx context.Context, store *platform.Store) error {
	tick := time.NewTicker(registerPause)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		known := h.snapshot.Load()
		if known.versions[catalogue.Hosts] == 0 || registered(known.catalogue.Hosts(), h.self()) {
			continue
		}
		calling, cancel := context.WithTimeout(ctx, registerTimeout)
		err := store.Register(calling, h.self())
		cancel()
		h.log.Line("registered", "error", err)
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
