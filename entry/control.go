package entry

import (
	"context"
	"time"

	"github.com/rattanthread/rattanthread/catalogue"
	"github.com/rattanthread/rattanthread/forwarding"
)

// tickTime is how often the control loop looks for what has expired.
const tickTime = 500 * time.Millisecond

// A catalogue is built at most for buildShare of the time, and at least every
// maxBuildPause while there are changes.
const (
	buildShare    = 20
	maxBuildPause = 500 * time.Millisecond
)

// control is the one goroutine that owns what the host knows. It publishes a
// snapshot for the others and feeds the hosts that have joined.
type control struct {
	host        *Host
	tracker     catalogue.Tracker
	subscribers map[*subscriber]bool
	// pending says that there are changes that are not yet published.
	pending bool
	// nextBuild is when the next catalogue may be built.
	nextBuild time.Time
}

func (c *control) run(ctx context.Context) error {
	c.subscribers = make(map[*subscriber]bool)
	tick := time.NewTicker(tickTime)
	defer tick.Stop()
	build := time.NewTimer(0)
	defer build.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case answers := <-c.host.answers:
			for _, a := range answers {
				c.pending = c.take(a) || c.pending
			}
		case s := <-c.host.joins:
			if s.leaves {
				delete(c.subscribers, s.subscriber)
			} else {
				c.join(s.subscriber)
			}
			continue
		case <-tick.C:
			if c.tracker.Tick(c.host.network.Now()) {
				c.pending = true
				c.host.record(Event{Ticked: true})
			}
		case <-build.C:
		}
		if rest := c.nextBuild.Sub(c.host.network.Now()); c.pending && rest > 0 {
			build.Reset(rest)
		}
		c.publish()
	}
}

// take takes in an answer and passes its changes on.
func (c *control) take(a catalogue.Update) bool {
	before := c.tracker.Version(a.Source)
	newer := a.Version > before
	c.host.record(Event{Answer: &a})
	changed := c.tracker.Apply(c.host.network.Now(), a)
	if !newer || len(c.subscribers) == 0 {
		return changed
	}
	if a.Full {
		a = c.tracker.Since(c.host.network.Now(), a.Source, before)
	}
	for s := range c.subscribers {
		c.pass(s, a)
	}
	return changed
}

// join adds a host that learns from this one, and tells it what it lacks.
func (c *control) join(s *subscriber) {
	if len(c.subscribers) >= c.host.maxFeeds() {
		s.full.Store(true)
		s.drop()
		return
	}
	c.host.log.Line("feed_opened", "peer", s.host, "feeds", len(c.subscribers)+1)
	c.subscribers[s] = true
	for source := range catalogue.Source(catalogue.SourceCount) {
		if c.tracker.Listed(source) && c.tracker.Version(source) > s.versions[source] {
			c.pass(s, c.tracker.Since(c.host.network.Now(), source, s.versions[source]))
		}
	}
}

// pass hands an answer to a subscriber. One that is too slow is dropped.
func (c *control) pass(s *subscriber, a catalogue.Update) {
	select {
	case s.answers <- a:
	default:
		delete(c.subscribers, s)
		s.drop()
	}
}

// publish makes a snapshot, with a new catalogue if there are changes and it is
// time, and acts on what has changed.
func (c *control) publish() {
	h := c.host
	before := h.snapshot.Load().catalogue
	next := &snapshot{catalogue: before}
	for source := range catalogue.Source(catalogue.SourceCount) {
		next.versions[source] = c.tracker.Version(source)
		next.confirmed[source] = c.tracker.ConfirmedAt(source)
	}
	start := h.network.Now()
	changed := c.pending && !start.Before(c.nextBuild)
	if changed {
		c.pending = false
		next.catalogue = c.tracker.Current()
		end := h.network.Now()
		c.nextBuild = end.Add(min(buildShare*end.Sub(start), maxBuildPause))
	}
	h.mu.Lock()
	h.snapshot.Store(next)
	if changed {
		h.record(Event{Published: true})
	}
	h.mu.Unlock()
	if !before.Ready() && next.catalogue.Ready() {
		h.readyOnce.Do(func() { close(h.ready) })
		h.log.Line("ready", "catalogue", next.catalogue.Number, "servers", next.catalogue.ServerCount())
	}
	if !c.pending {
		c.logChanges(before.Ready())
	}
	if changed {
		h.endFlows(before, next.catalogue)
	}
}

// logChanges writes a line for each change of what the host believes. Servers
// that were there at the start are counted only, to be ready sooner.
func (c *control) logChanges(started bool) {
	changes := c.tracker.Changes()
	if len(changes) == 0 {
		return
	}
	current := c.tracker.Current()
	c.host.metrics.servers.Set(float64(current.ServerCount()))
	for _, change := range changes {
		if change.Kind == catalogue.ConfigurationInForce {
			c.host.metrics.config.Set(float64(change.Number))
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

// endFlows resets the flows of the servers that have ended since before.
func (h *Host) endFlows(before, after *catalogue.Catalogue) {
	if before == nil {
		return
	}
	for cookie, gone := range after.Removed() {
		server := before.Server(cookie)
		if !gone || server == nil {
			continue
		}
		h.mu.Lock()
		flows := h.forwarder.RemoveServer(cookie)
		h.record(Event{Ended: cookie})
		h.mu.Unlock()
		h.resetFlows(flows, server.ID, forwarding.ServerGone)
	}
}
