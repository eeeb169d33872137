package entry

import (
	"context"
	"time"

	"github.com/rattanthread/rattanthread/catalogue"
	"github.com/rattanthread/rattanthread/forwarding"
)

// expiryInterval is how often the control loop removes expired state.
const expiryInterval = 500 * time.Millisecond

// After building a catalogue the control loop waits buildPauseFactor times the build time,
// but at most maxBuildPause, before it builds the next one. Thus builds take a small share
// of the time, and changes are not delayed for long.
const (
	buildPauseFactor = 20
	maxBuildPause    = 500 * time.Millisecond
)

// control owns the catalogue state of a host. It runs in one goroutine, publishes
// snapshots for the others and sends changes to the subscribers.
type control struct {
	host        *Host
	tracker     catalogue.Tracker
	subscribers map[*subscriber]bool
	// pending reports whether there are unpublished changes.
	pending bool
	// nextBuild is the earliest time of the next catalogue build.
	nextBuild time.Time
}

func (c *control) run(ctx context.Context) error {
	c.subscribers = make(map[*subscriber]bool)
	tick := time.NewTicker(expiryInterval)
	defer tick.Stop()
	build := time.NewTimer(0)
	defer build.Stop()
	loads := time.NewTicker(loadInterval)
	defer loads.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case updates := <-c.host.updates:
			for _, update := range updates {
				c.pending = c.apply(update) || c.pending
			}
		case request := <-c.host.subscriptions:
			if request.unsubscribe {
				delete(c.subscribers, request.subscriber)
			} else {
				c.addSubscriber(request.subscriber)
			}
			continue
		case <-tick.C:
			if c.tracker.Tick(c.host.network.Now()) {
				c.pending = true
				c.host.record(Event{Ticked: true})
			}
		case <-loads.C:
			c.host.observeLoads()
			continue
		case <-build.C:
		}
		if wait := c.nextBuild.Sub(c.host.network.Now()); c.pending && wait > 0 {
			build.Reset(wait)
		}
		c.publish()
	}
}

// apply applies an update to the state and sends each subscriber the changes that it lacks. It
// reports whether the catalogue has changed.
func (c *control) apply(update catalogue.Update) bool {
	before := c.tracker.Version(update.Source)
	update.AsOf = c.host.possibleConfirmation(c.host.network.Now(), ageInCatalogue, update.Source, update.AsOf)
	c.host.record(Event{Update: &update})
	changed := c.tracker.Apply(c.host.network.Now(), update)
	if update.Version > c.tracker.Version(update.Source) || update.Version < before {
		c.host.metrics.updatesIgnored.WithLabelValues(update.Source.String()).Inc()
		c.host.log.Line("update_ignored", "source", update.Source.String(), "version", update.Version, "known", before,
			"full", update.Full, "records", len(update.Records))
	}
	if c.tracker.Version(update.Source) == before || len(c.subscribers) == 0 {
		return changed
	}
	now := c.host.network.Now()
	if update.Source == catalogue.Servers {
		update.Grace = c.tracker.Grace(now)
	}
	for sub := range c.subscribers {
		if needed, ok := sub.subscription.Next(now, &c.tracker, update, before); ok {
			c.enqueue(sub, needed)
		}
	}
	return changed
}

// addSubscriber adds a subscriber and sends it the changes since its versions, or the versions at
// least, which confirm its own without delay.
func (c *control) addSubscriber(sub *subscriber) {
	if len(c.subscribers) >= c.host.maxFeeds() {
		sub.rejected.Store(true)
		sub.cancel()
		return
	}
	c.host.log.Line("feed_opened", "peer", sub.host, "feeds", len(c.subscribers)+1)
	c.subscribers[sub] = true
	for _, update := range sub.subscription.Missing(c.host.network.Now(), &c.tracker) {
		c.enqueue(sub, update)
	}
	if len(sub.updates) == 0 && c.tracker.Listed(catalogue.Servers) {
		c.enqueue(sub, catalogue.Update{Source: catalogue.Servers, Version: c.tracker.Version(catalogue.Servers)})
	}
}

// enqueue queues an update for a subscriber. It cancels the feed if the queue is full.
func (c *control) enqueue(sub *subscriber, update catalogue.Update) {
	select {
	case sub.updates <- update:
	default:
		delete(c.subscribers, sub)
		sub.cancel()
	}
}

// publish publishes a snapshot. The catalogue is rebuilt if there are pending changes and
// nextBuild has passed.
func (c *control) publish() {
	host := c.host
	last := host.snapshot.Load()
	before := last.catalogue
	next := &snapshot{catalogue: before, catalogueConfirmed: last.catalogueConfirmed, catalogueComplete: last.catalogueComplete}
	for source := range catalogue.Source(catalogue.SourceCount) {
		next.versions[source] = c.tracker.Version(source)
		next.confirmed[source] = c.tracker.ConfirmedAt(source)
	}
	start := host.network.Now()
	changed := c.pending && !start.Before(c.nextBuild)
	if changed {
		c.pending = false
		next.catalogue = c.tracker.Current()
		end := host.network.Now()
		c.nextBuild = end.Add(min(buildPauseFactor*end.Sub(start), maxBuildPause))
	}
	if !c.pending {
		next.catalogueConfirmed = next.confirmed
		for source := range catalogue.Source(catalogue.SourceCount) {
			next.catalogueComplete[source] = c.tracker.CompleteAt(source)
		}
	}
	host.mu.Lock()
	host.snapshot.Store(next)
	if changed {
		host.record(Event{Published: true})
		host.forwarder.CatalogueChanged(before, next.catalogue)
	}
	host.mu.Unlock()
	if !before.Ready() && next.catalogue.Ready() {
		host.readyOnce.Do(func() { close(host.ready) })
		host.log.Line("ready", "catalogue", next.catalogue.Number, "servers", next.catalogue.ServerCount())
	}
	if !c.pending {
		c.logChanges(before.Ready())
	}
	if changed {
		host.resetFlowsOfRemovedServers(before, next)
	}
}

// logChanges logs each change of the state. Servers added by the first catalogue are not
// logged one by one, so that the host is ready sooner.
func (c *control) logChanges(started bool) {
	changes := c.tracker.Changes()
	if len(changes) == 0 {
		return
	}
	current := c.tracker.Current()
	c.host.metrics.servers.Set(float64(current.ServerCount()))
	for _, change := range changes {
		if change.Kind == catalogue.ConfigurationInForce {
			c.host.metrics.configurationNumber.Set(float64(change.Number))
		}
		if change.Kind == catalogue.ServerAdded && !started {
			continue
		}
		if change.Fault != "" {
			c.host.log.Line(change.Kind.String(), "name", change.Name, "version", change.Version, "fault", change.Fault)
			continue
		}
		c.host.log.Line(change.Kind.String(), "name", change.Name, "version", change.Version, "configuration", change.Number,
			"catalogue", current.Number, "servers", current.ServerCount())
	}
}

// resetFlowsOfRemovedServers resets the flows of the servers that were removed between a
// catalogue and that of the next snapshot.
func (h *Host) resetFlowsOfRemovedServers(before *catalogue.Catalogue, after *snapshot) {
	if before == nil {
		return
	}
	confirmed := after.catalogueComplete[catalogue.Servers]
	for cookie := range after.catalogue.Removed() {
		server := before.Server(cookie)
		if server == nil {
			continue
		}
		h.mu.Lock()
		flows := h.forwarder.RemoveServer(h.network.Now(), cookie, confirmed)
		h.record(Event{RemovedServer: cookie, Confirmed: confirmed})
		h.mu.Unlock()
		h.resetFlows(flows, server.ID, forwarding.ServerGone)
	}
}
