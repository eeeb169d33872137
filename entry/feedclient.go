package entry

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"github.com/rattanthread/rattanthread/catalogue"
	"github.com/rattanthread/rattanthread/upstream"
)

// feedClient receives a feed from a host that ranks higher for reading the store, while there
// is one.
type feedClient struct {
	host    *Host
	chooser upstream.Chooser
}

func (f *feedClient) run(ctx context.Context) error {
	host := f.host
	f.chooser.Self = host.self()
	started := host.network.Now()
	timer := time.NewTimer(startupRetryInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		}
		if address, ok := f.nextUpstream(started); ok {
			err := f.follow(ctx, address)
			if ctx.Err() != nil {
				return nil
			}
			if errors.Is(err, errOtherUpstream) {
				host.log.Line("upstream_left", "peer", address)
				host.metrics.upstreams.WithLabelValues("left").Inc()
				timer.Reset(0)
				continue
			}
			host.upstreamFreshUntil.Store(0)
			f.chooser.Failed(host.network.Now(), address)
			f.updateRank()
			host.log.Line("upstream_lost", "peer", address, "error", err)
			host.metrics.upstreams.WithLabelValues("lost").Inc()
		} else {
			f.updateRank()
		}
		if host.snapshot.Load().catalogue.Ready() {
			timer.Reset(upstreamRetryInterval)
		} else {
			timer.Reset(startupRetryInterval)
		}
	}
}

// updateRank decides whether the host ranks first while it has no upstream. A host that tries a
// failed one again keeps its rank until that responds; see receiveMessage.
func (f *feedClient) updateRank() {
	current := f.host.snapshot.Load().catalogue
	if !current.Ready() || !current.Complete() {
		f.host.ranksFirst.Store(false)
		return
	}
	_, higher := f.chooser.Choose(f.host.network.Now(), current.Hosts())
	f.host.ranksFirst.Store(!higher)
}

// fanout returns the fanout of the feed tree. If the bounds leave no time for three hops it
// returns 0, and all hosts of a data centre use the same upstream.
func (h *Host) fanout() int {
	tightest := min(h.bound(catalogue.Servers), h.bound(catalogue.Evacuations), h.bound(catalogue.Configurations))
	if upstream.Slack(tightest, catalogue.WatchWait(tightest)) < 3*feedInterval {
		return 0
	}
	return feedFanout
}

// nextUpstream returns the address of the next upstream. Hosts that have announced a
// catalogue, and seeds, are used only by a host without a complete catalogue.
func (f *feedClient) nextUpstream(started time.Time) (netip.AddrPort, bool) {
	host := f.host
	now := host.network.Now()
	current := host.snapshot.Load().catalogue
	if current.Ready() && current.Complete() {
		f.chooser.Fanout = host.fanout()
		peer, ok := f.chooser.Choose(now, current.Hosts())
		return peer.PeerAddress, ok
	}
	announced := host.announcedHosts.Addresses(now)
	if len(announced) == 0 && now.Sub(started) < startupTimeout && !host.storeUnavailable.Load() {
		return netip.AddrPort{}, false
	}
	return f.chooser.Seed(now, append(announced, host.activeSettings.Load().Peers.Seeds...))
}

// follow receives a feed until it fails or times out. While the upstream is stale this
// host reads the store itself. It switches from a stale upstream only if the store
// does not respond either, since other upstreams may be fresher then. A source that is stale
// on all hosts does not require a switch.
func (f *feedClient) follow(ctx context.Context, address netip.AddrPort) error {
	host := f.host
	dialCtx, cancel := context.WithTimeout(ctx, feedDialTimeout)
	defer cancel()
	stream, err := host.network.DialFeed(dialCtx, address)
	if err != nil {
		return errors.Wrap(err, "dial")
	}
	defer stream.Close()
	state := host.snapshot.Load()
	data, err := cbor.Marshal(hello{
		Host: host.Settings.Host, Versions: state.versions, Configured: state.catalogue.Configured(), List: host.serverList().Digest(),
	})
	if err != nil {
		return errors.Wrap(err, "encode hello")
	}
	requested := host.network.Now()
	if err := stream.Send(dialCtx, data); err != nil {
		return errors.Wrap(err, "send hello")
	}
	host.log.Line("upstream_chosen", "peer", address)
	host.metrics.upstreams.WithLabelValues("chosen").Inc()
	feed := requestedFeed{Stream: stream, address: address, at: requested, loads: &upstreamLoads{peer: loadPeer{host: host}}}
	defer feed.loads.close()
	freshness := upstream.Freshness{SilenceTimeout: feedTimeout}
	withoutCatalogue, start := !host.snapshot.Load().catalogue.Ready(), host.network.Now()
	for {
		if err := f.receiveMessage(ctx, feed, &freshness); err != nil {
			return err
		}
		if f.shouldLeave(address) {
			return errOtherUpstream
		}
		if !withoutCatalogue && !freshness.Fresh(host.network.Now()) && host.storeUnavailable.Load() {
			return errors.New("late")
		}
		if withoutCatalogue && !host.snapshot.Load().catalogue.Ready() && f.shouldSwitch(address, start) {
			return errors.New("upstream has no catalogue")
		}
	}
}

// errOtherUpstream ends the feed of a host that should follow another one, or none.
var errOtherUpstream = errors.New("another upstream is due")

// shouldLeave reports whether the tree of feeds has another upstream for this host, or none. A host
// that got its catalogue from a seed stays with it until the store responds.
func (f *feedClient) shouldLeave(address netip.AddrPort) bool {
	host := f.host
	current := host.snapshot.Load().catalogue
	if !current.Ready() || !current.Complete() || host.storeUnavailable.Load() && !f.chooser.IsHigherRanked(address, current.Hosts()) {
		return false
	}
	f.chooser.Fanout = host.fanout()
	return f.chooser.ShouldLeave(host.network.Now(), address, current.Hosts())
}

// shouldSwitch reports whether a host without a catalogue, which has followed an upstream
// since start, should try another one.
func (f *feedClient) shouldSwitch(address netip.AddrPort, start time.Time) bool {
	now := f.host.network.Now()
	announced := f.host.announcedHosts.Addresses(now)
	return now.Sub(start) > startupTimeout || len(announced) > 0 && !slices.Contains(announced, address)
}

// requestedFeed is a feed of the host at an address, which was requested at a time.
type requestedFeed struct {
	*Stream
	address netip.AddrPort
	at      time.Time
	loads   *upstreamLoads
}

// receiveMessage receives one message and passes its updates to the control goroutine. The feed
// replaces reading the store only if its source ranks higher.
func (f *feedClient) receiveMessage(ctx context.Context, feed requestedFeed, freshness *upstream.Freshness) error {
	host := f.host
	receiveCtx, cancel := context.WithTimeout(ctx, feedTimeout)
	defer cancel()
	data, err := feed.Receive(receiveCtx)
	if err != nil {
		return errors.Wrap(err, "receive update")
	}
	message, err := decodeMessage(data)
	if err != nil {
		if errors.Is(err, catalogue.ErrImpossibleAge) {
			host.rejectAge(ageInFeed, err, "peer", feed.address)
		}
		return errors.Wrap(err, "decode update")
	}
	now := host.network.Now()
	message.addDelay(now.Sub(feed.at), func(source catalogue.Source, err error) {
		host.rejectAge(ageInFeed, err, "source", source.String(), "peer", feed.address)
	})
	updates := message.updates(now)
	select {
	case host.updates <- updates:
	case <-ctx.Done():
		return ctx.Err()
	}
	host.ranksFirst.Store(false)
	feed.loads.received(ctx, feed.Stream, f.rankedUpstream(feed.address), message.Loads)
	freshness.Updated(now, host.slack(&message))
	if freshness.Fresh(now) && f.chooser.IsHigherRanked(feed.address, host.snapshot.Load().catalogue.Hosts()) {
		host.upstreamFreshUntil.Store(now.Add(feedTimeout).UnixNano())
	}
	return nil
}
