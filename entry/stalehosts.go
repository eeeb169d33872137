package entry

import (
	"context"
	"net/netip"
	"time"

	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/platform"
)

// Timing of the removal of host records.
const (
	staleHostInterval = time.Minute
	// unreachableTimeout is how long a host must have been unreachable before its record is
	// removed. A host that is still alive registers again.
	unreachableTimeout = 10 * time.Minute
)

// staleHostRemover removes the records of hosts that no longer exist. Hosts that were
// replaced never return under their names, so the list would grow with each replacement.
type staleHostRemover struct {
	host  *Host
	store *platform.Store
	// unreachableSince holds the time at which each host was first found unreachable.
	unreachableSince map[fleet.HostID]time.Time
}

// run checks the hosts of the local data centre while this host reads the store. A host with
// an upstream leaves the check to the upstream.
func (r *staleHostRemover) run(ctx context.Context) error {
	r.unreachableSince = make(map[fleet.HostID]time.Time)
	return every(ctx, staleHostInterval, func() {
		host := r.host
		if host.upstreamFreshUntil.Load() > host.network.Now().UnixNano() || host.storeUnavailable.Load() {
			clear(r.unreachableSince)
			return
		}
		current := host.snapshot.Load().catalogue
		for _, other := range current.Hosts() {
			if other.DataCentre == host.Settings.DataCentre && other.ID != host.Settings.Host && current.HostVersion(other.ID) != 0 {
				r.check(ctx, other)
			}
		}
	})
}

// check removes the record of a host that has been unreachable for unreachableTimeout.
func (r *staleHostRemover) check(ctx context.Context, other fleet.Host) {
	now := r.host.network.Now()
	if r.reachable(ctx, other.PeerAddress) {
		delete(r.unreachableSince, other.ID)
		return
	}
	since, ok := r.unreachableSince[other.ID]
	if !ok {
		r.unreachableSince[other.ID] = now
		return
	}
	if now.Sub(since) < unreachableTimeout {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	changed := r.host.snapshot.Load().catalogue.HostVersion(other.ID)
	err := r.store.Unregister(callCtx, other.ID, changed)
	r.host.log.Line("host_removed", "peer", other.ID, "address", other.PeerAddress, "version", changed,
		"unreachable", now.Sub(since), "error", err)
	delete(r.unreachableSince, other.ID)
}

func (r *staleHostRemover) reachable(ctx context.Context, address netip.AddrPort) bool {
	dialCtx, cancel := context.WithTimeout(ctx, feedDialTimeout)
	defer cancel()
	stream, err := r.host.network.DialFeed(dialCtx, address)
	if err != nil {
		return false
	}
	stream.Close()
	return true
}
