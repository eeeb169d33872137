package faultmatrix

import (
	"fmt"
	"time"

	"github.com/rattanthread/rattanthread/config"
	"github.com/rattanthread/rattanthread/fleet"
)

// Promise names something that must always hold.
type Promise string

// The promises.
const (
	PromiseFlows    Promise = "established_flow_survives"
	PromiseService  Promise = "packet_reaches_own_service"
	PromiseCold     Promise = "cold_server_within_bound"
	PromiseOut      Promise = "centre_out_gets_no_packet"
	PromiseAnswer   Promise = "caller_gets_own_answer"
	PromiseRefusal  Promise = "refused_was_not_run"
	PromiseOnce     Promise = "runs_at_most_once"
	PromiseLeaving  Promise = "leaving_server_gets_no_new_work"
	PromiseStop     Promise = "planned_stop_cuts_no_request"
	PromiseRevision Promise = "accepted_configuration_in_force"
)

// Promises lists every promise.
func Promises() []Promise {
	return []Promise{
		PromiseFlows, PromiseService, PromiseCold, PromiseOut, PromiseAnswer,
		PromiseRefusal, PromiseOnce, PromiseLeaving, PromiseStop, PromiseRevision,
	}
}

// inForceBound is how long a configuration, or what follows from it, may take.
const inForceBound = 8 * time.Second

// Violation is a promise that did not hold.
type Violation struct {
	Promise Promise       `json:"promise"`
	At      time.Duration `json:"at"` // since the start of the run
	Detail  string        `json:"detail"`
}

// checks compares what the fakes saw with the promises.
type checks struct {
	world      *World
	violations []Violation
	allowed    []string // what the promises allow, with the reason
	revisions  map[fleet.HostID]seen
	drained    map[fleet.ServerID]time.Time
	out        map[fleet.DataCentreID]time.Time
	latest     config.PublishedSet
	// disturbed is when the network or the platform last kept a host from
	// learning; bounds count from its end.
	disturbed time.Time
}

type seen struct {
	life     fleet.Incarnation
	revision fleet.Revision
}

func (c *checks) fail(p Promise, format string, args ...any) {
	c.violations = append(c.violations, Violation{
		Promise: p, At: c.world.now.Sub(c.world.started), Detail: fmt.Sprintf(format, args...),
	})
}

func (c *checks) allow(format string, args ...any) {
	c.allowed = append(c.allowed, fmt.Sprintf(format, args...))
}

// published notes since when something is drained or out.
func (c *checks) published(r config.PublishedSet) {
	c.latest = r
	drained := make(map[fleet.ServerID]time.Time)
	for _, s := range r.Set.Servers {
		if s.Drain {
			drained[s.Name] = earlier(c.drained[s.Name], r.Published)
		}
	}
	out := make(map[fleet.DataCentreID]time.Time)
	for _, d := range r.Set.DataCentres {
		if d.State == config.StateOut {
			out[d.Name] = earlier(c.out[d.Name], r.Published)
		}
	}
	c.drained, c.out = drained, out
}

func earlier(known, now time.Time) time.Time {
	if known.IsZero() {
		return now
	}
	return known
}

// due reports whether the bound since a publication has passed, for hosts that
// could learn of it.
func (c *checks) due(since time.Time) bool {
	if since.IsZero() {
		return false
	}
	if c.disturbed.After(since) {
		since = c.disturbed
	}
	return c.world.now.Sub(since) > inForceBound
}

// disturb notes that hosts are kept from learning until d has passed.
func (c *checks) disturb(d time.Duration) {
	if end := c.world.now.Add(d); end.After(c.disturbed) {
		c.disturbed = end
	}
}

// observe looks at the revision of every host.
func (c *checks) observe() {
	if c.revisions == nil {
		c.revisions = make(map[fleet.HostID]seen)
	}
	for _, id := range c.world.ids {
		h := c.world.hosts[id]
		s := h.core.Snapshot()
		if !h.up || s == nil || c.world.now.Before(h.pausedUntil) {
			continue
		}
		last, revision := c.revisions[id], s.Revised.Revision
		if last.life == h.self.Incarnation && revision < last.revision {
			c.fail(PromiseRevision, "host %s went from revision %d back to %d", id, last.revision, revision)
		}
		c.revisions[id] = seen{h.self.Incarnation, revision}
		if s.Ready && revision < c.latest.Revision && c.due(c.latest.Published) {
			c.fail(PromiseRevision, "host %s has revision %d, %s after %d was published",
				id, revision, c.world.now.Sub(c.latest.Published), c.latest.Revision)
		}
	}
}

func (c *checks) packet(s *server, caller *flowCaller) {
	if s.service != caller.service {
		c.fail(PromiseService, "a packet of %s reached %s", caller.service, s.id)
	}
	if since := c.out[s.centre]; c.due(since) {
		c.fail(PromiseOut, "a packet reached %s %s after its data centre was taken out", s.id, c.world.now.Sub(since))
	}
}

func (c *checks) work(s *server) {
	if since := c.drained[s.id]; c.due(since) {
		c.fail(PromiseLeaving, "%s got new work %s after it was drained", s.id, c.world.now.Sub(since))
	}
	if since := c.out[s.centre]; c.due(since) {
		c.fail(PromiseOut, "%s got new work %s after its data centre was taken out", s.id, c.world.now.Sub(since))
	}
}

func (c *checks) coldLoad(s *server, recent, bound int) {
	if recent > bound {
		c.fail(PromiseCold, "%s got %d in a second while cold, bound %d", s.id, recent, bound)
	}
}

// flowBroken judges a flow that ended against its caller's will.
func (c *checks) flowBroken(f *flowCaller, from fleet.ServerID, cause string) {
	s := c.world.servers[f.server]
	_, out := c.out[s.centre]
	switch {
	case !s.lost.IsZero() && !s.lost.Before(f.opened):
		c.allow("%s restarted and lost its flows", s.id)
	case out:
		c.allow("data centre %s was taken out", s.centre)
	case c.world.network.wasSplit(f.opened):
		// Each side goes on with its own servers, and does not know where the
		// other side placed a flow. The promise is about planned changes.
		c.allow("a flow was opened while the data centres were cut off, and its packets went to both sides")
	case f.apart:
		// The same: neither the host that placed the flow nor the one that sent its
		// packet to another server could know of the other side.
		c.allow("a flow was opened before word of the other data centre had come")
	case s.silent:
		c.allow("%s does not answer", s.id)
	default:
		c.fail(PromiseFlows, "%s flow from port %d on %s, open for %s: %s (from %q)",
			f.service, f.key.SourcePort, f.server, c.world.now.Sub(f.opened), cause, from)
	}
}

func (c *checks) ran(a *attempt) {
	if len(a.call.runs) > 1 {
		c.fail(PromiseOnce, "key %s ran %d times, now by %v", a.call.key, len(a.call.runs), a.id)
	}
	if a.refused {
		c.fail(PromiseRefusal, "attempt %v ran after it was refused", a.id)
	}
}

func (c *checks) refused(a *attempt) {
	if a.ran {
		c.fail(PromiseRefusal, "attempt %v was refused after it ran", a.id)
	}
}

func (c *checks) answered(a *attempt, body string) {
	if want := "ran " + a.call.key.String(); body != want {
		c.fail(PromiseAnswer, "key %s got the answer %q", a.call.key, body)
	}
	if len(a.call.runs) == 0 {
		c.fail(PromiseAnswer, "key %s was answered and never ran", a.call.key)
	}
}

// cut notes a request whose host went away.
func (c *checks) cut(a *attempt) {
	if a.host.draining {
		return // stopped judges it
	}
	c.allow("host %s died with a request running", a.host.self.ID)
}

// stopped judges a host at the end of its planned stop.
func (c *checks) stopped(h *host) {
	if h.running > 0 && h.up {
		c.fail(PromiseStop, "host %s stopped with %d requests running", h.self.ID, h.running)
	}
}
