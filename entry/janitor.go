package entry

import (
	"context"
	"net/netip"
	"time"

	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/platform"
)

// Times of the removal of records of hosts.
const (
	janitorPause = time.Minute
	// unreachableTime is how long a host must have accepted no other host before
	// its record is removed. One that lives after all writes it again.
	unreachableTime = 10 * time.Minute
)

// janitor removes the records of hosts that are gone for good: those that were
// replaced never come back under their names, and the list would grow with each.
type janitor struct {
	host  *Host
	store *platform.Store
	// failing holds since when hosts have not been reached.
	failing map[fleet.HostID]time.Time
}

// run looks after the hosts of the own data centre while this host reads the store
// for them. One that is fed by another leaves it to that one.
func (j *janitor) run(ctx context.Context) error {
	j.failing = make(map[fleet.HostID]time.Time)
	return every(ctx, janitorPause, func() {
		h := j.host
		if h.fedUntil.Load() > h.network.Now().UnixNano() || h.storeLost.Load() {
			clear(j.failing)
			return
		}
		for _, other := range h.snapshot.Load().catalogue.Hosts() {
			if other.DataCentre == h.Settings.DataCentre && other.ID != h.Settings.Host {
				j.look(ctx, other)
			}
		}
	})
}

// look removes the record of a host that has long not been reached.
func (j *janitor) look(ctx context.Context, other fleet.Host) {
	now := j.host.network.Now()
	if j.reaches(ctx, other.PeerAddress) {
		delete(j.failing, other.ID)
		return
	}
	since, known := j.failing[other.ID]
	if !known {
		j.failing[other.ID] = now
		return
	}
	if now.Sub(since) < unreachableTime {
		return
	}
	calling, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	changed := j.host.snapshot.Load().catalogue.HostVersion(other.ID)
	err := j.store.Unregister(calling, other.ID, changed)
	j.host.log.Line("host_removed", "peer", other.ID, "address", other.PeerAddress, "version", changed,
		"unreachable", now.Sub(since), "error", err)
	delete(j.failing, other.ID)
}

func (j *janitor) reaches(ctx context.Context, address netip.AddrPort) bool {
	dialing, cancel := context.WithTimeout(ctx, feedDial)
	defer cancel()
	stream, err := j.host.network.DialFeed(dialing, address)
	if err != nil {
		return false
	}
	stream.Close()
	return true
}
