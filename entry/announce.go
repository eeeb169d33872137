package entry

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	"github.com/rattanthread/rattanthread/fleet"
)

const (
	// announceInterval is the time between announcements while the store is unavailable.
	announceInterval = 500 * time.Millisecond
	// announceFanout is how many hosts receive each round of announcements.
	announceFanout = 4
)

// announcer announces to other hosts that this one has a catalogue while the store is
// unavailable. A host that has just started has no list of hosts, and its seeds may have
// started at the same time.
type announcer struct {
	host *Host
	// position is the round-robin position of the next host.
	position int
}

func (a *announcer) run(ctx context.Context) error {
	return every(ctx, announceInterval, func() {
		current := a.host.snapshot.Load().catalogue
		if !a.host.storeUnavailable.Load() || !current.Ready() || !current.Complete() {
			return
		}
		var group errgroup.Group
		for _, host := range a.nextHosts(current.Hosts()) {
			group.Go(func() error {
				a.host.metrics.countAnnouncement(a.announce(ctx, host))
				return nil
			})
		}
		_ = group.Wait() // failures are counted in the metrics
	})
}

// nextHosts returns the next hosts in round-robin order. Each host starts at a different
// position.
func (a *announcer) nextHosts(hosts []fleet.Host) []fleet.Host {
	if len(hosts) == 0 {
		return nil
	}
	self := a.host.Settings.Host
	first := int(xxhash.Sum64String(string(self)) % uint64(len(hosts)))
	var selected []fleet.Host
	for range min(announceFanout, len(hosts)) {
		host := hosts[(first+a.position)%len(hosts)]
		a.position++
		if host.ID != self {
			selected = append(selected, host)
		}
	}
	return selected
}

// announce sends one announcement.
func (a *announcer) announce(ctx context.Context, host fleet.Host) error {
	ctx, cancel := context.WithTimeout(ctx, feedDialTimeout)
	defer cancel()
	stream, err := a.host.network.DialFeed(ctx, host.PeerAddress)
	if err != nil {
		return errors.Wrapf(err, "dial %s", host.ID)
	}
	defer stream.Close()
	data, err := cbor.Marshal(hello{Host: a.host.Settings.Host, FeedAddress: a.host.Settings.Listen.Peers})
	if err != nil {
		return errors.Wrap(err, "encode hello")
	}
	if err := stream.Send(ctx, data); err != nil {
		return errors.Wrapf(err, "announce to %s", host.ID)
	}
	return nil
}
