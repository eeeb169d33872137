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
	// announcePause is the time between announcements, while the store is lost.
	announcePause = 500 * time.Millisecond
	// announceFanout is how many hosts are told each time.
	announceFanout = 4
)

// announcer tells other hosts that this one knows, while the store is lost: one that
// has just started knows nobody, and its seeds may have started with it.
type announcer struct {
	host *Host
	// told counts the hosts that were told.
	told int
}

func (a *announcer) run(ctx context.Context) error {
	return every(ctx, announcePause, func() {
		known := a.host.snapshot.Load().catalogue
		if !a.host.storeLost.Load() || !known.Ready() || !known.Complete() {
			return
		}
		var group errgroup.Group
		for _, to := range a.next(known.Hosts()) {
			group.Go(func() error {
				a.host.metrics.countAnnouncement(a.announce(ctx, to))
				return nil
			})
		}
		_ = group.Wait() // each failure is counted
	})
}

// next returns the hosts to tell now, each in its turn. Hosts begin at different ones.
func (a *announcer) next(hosts []fleet.Host) []fleet.Host {
	if len(hosts) == 0 {
		return nil
	}
	self := a.host.Settings.Host
	first := int(xxhash.Sum64String(string(self)) % uint64(len(hosts)))
	var next []fleet.Host
	for range min(announceFanout, len(hosts)) {
		to := hosts[(first+a.told)%len(hosts)]
		a.told++
		if to.ID != self {
			next = append(next, to)
		}
	}
	return next
}

// announce tells one host.
func (a *announcer) announce(ctx context.Context, to fleet.Host) error {
	ctx, cancel := context.WithTimeout(ctx, feedDial)
	defer cancel()
	stream, err := a.host.network.DialFeed(ctx, to.PeerAddress)
	if err != nil {
		return errors.Wrapf(err, "dial %s", to.ID)
	}
	defer stream.Close()
	message, err := cbor.Marshal(hello{Host: a.host.Settings.Host, Knows: a.host.Settings.Listen.Peers})
	if err != nil {
		return errors.Wrap(err, "encode hello")
	}
	if err := stream.Send(ctx, message); err != nil {
		return errors.Wrapf(err, "announce to %s", to.ID)
	}
	return nil
}
