package faultmatrix

import (
	"fmt"
	"time"

	"github.com/rattanthread/rattanthread/config"
	"github.com/rattanthread/rattanthread/fleet"
)

// Guarantee is the name of a property that must always hold.
type Guarantee string

// The guarantees.
const (
	GuaranteeFlows         Guarantee = "established_flow_survives"
	GuaranteeService       Guarantee = "packet_reaches_own_service"
	GuaranteeColdLoad      Guarantee = "cold_server_within_bound"
	GuaranteeOutOfService  Guarantee = "centre_out_gets_no_packet"
	GuaranteeAnswer        Guarantee = "caller_gets_own_answer"
	GuaranteeRefusal       Guarantee = "refused_was_not_run"
	GuaranteeOnce          Guarantee = "runs_at_most_once"
	GuaranteeDrain         Guarantee = "leaving_server_gets_no_new_work"
	GuaranteeStop          Guarantee = "planned_stop_cuts_no_request"
	GuaranteeConfiguration Guarantee = "accepted_configuration_in_force"
)

// Guarantees lists every guarantee.
func Guarantees() []Guarantee {
	return []Guarantee{
		GuaranteeFlows, GuaranteeService, GuaranteeColdLoad, GuaranteeOutOfService, GuaranteeAnswer,
		GuaranteeRefusal, GuaranteeOnce, GuaranteeDrain, GuaranteeStop, GuaranteeConfiguration,
	}
}

// inForceBound is the time within which a configuration and its effects must be in
// force at every host.
const inForceBound = 8 * time.Second

// Violation is a case in which a guarantee did not hold.
type Violation struct {
	Guarantee Guarantee     `json:"promise"`
	At        time.Duration `json:"at"` // since the start of the run
	Detail    string        `json:"detail"`
}

// checks compares what the fakes observed with the guarantees.
type checks struct {
	sim          *Simulation
	violations   []Violation
	allowed      []string // reasons for losses that the guarantees allow
	revisions    map[fleet.HostID]hostRevision
	drainedSince map[fleet.ServerID]time.Time
	outSince     map[fleet.DataCentreID]time.Time
	latest       config.PublishedSet
	// disturbedUntil is the end of the last fault that can keep publications from a
	// host. Time limits start no earlier than this.
	disturbedUntil time.Time
}

// hostRevision is the last revision observed at an incarnation of a host.
type hostRevision struct {
	incarnation fleet.Incarnation
	revision    fleet.Revision
}

func (c *checks) fail(g Guarantee, format string, args ...any) {
	c.violations = append(c.violations, Violation{
		Guarantee: g, At: c.sim.now.Sub(c.sim.started), Detail: fmt.Sprintf(format, args...),
	})
}

func (c *checks) allow(format string, args ...any) {
	c.allowed = append(c.allowed, fmt.Sprintf(format, args...))
}

// recordPublication records when servers were drained and data centres were taken
// out of service.
func (c *checks) recordPublication(publication config.PublishedSet) {
	c.latest = publication
	drained := make(map[fleet.ServerID]time.Time)
	for _, s := range publication.Set.Servers {
		if s.Drain {
			drained[s.Name] = firstRecorded(c.drainedSince[s.Name], publication.Published)
		}
	}
	out := make(map[fleet.DataCentreID]time.Time)
	for _, d := range publication.Set.DataCentres {
		if d.State == config.StateOut {
			out[d.Name] = firstRecorded(c.outSince[d.Name], publication.Published)
		}
	}
	c.drainedSince, c.outSince = drained, out
}

// firstRecorded returns the recorded time, or published if there is none.
func firstRecorded(recorded, published time.Time) time.Time {
	if recorded.IsZero() {
		return published
	}
	return recorded
}

// overdue reports whether inForceBound has passed since a publication, not counting
// the time before the end of the last disturbance. It returns false if since is zero.
func (c *checks) overdue(since time.Time) bool {
	if since.IsZero() {
		return false
	}
	if c.disturbedUntil.After(since) {
		since = c.disturbedUntil
	}
	return c.sim.now.Sub(since) > inForceBound
}

// recordDisturbance records that publications may not reach hosts for d from now.
func (c *checks) recordDisturbance(d time.Duration) {
	if end := c.sim.now.Add(d); end.After(c.disturbedUntil) {
		c.disturbedUntil = end
	}
}

// checkRevisions checks the revision of every running host.
func (c *checks) checkRevisions() {
	if c.revisions == nil {
		c.revisions = make(map[fleet.HostID]hostRevision)
	}
	for _, id := range c.sim.ids {
		h := c.sim.hosts[id]
		snapshot := h.core.Snapshot()
		if !h.up || snapshot == nil || c.sim.now.Before(h.pausedUntil) {
			continue
		}
		last, revision := c.revisions[id], snapshot.Published.Revision
		if last.incarnation == h.self.Incarnation && revision < last.revision {
			c.fail(GuaranteeConfiguration, "host %s went from revision %d back to %d", id, last.revision, revision)
		}
		c.revisions[id] = hostRevision{h.self.Incarnation, revision}
		if snapshot.Ready && revision < c.latest.Revision && c.overdue(c.latest.Published) {
			c.fail(GuaranteeConfiguration, "host %s has revision %d, %s after %d was published",
				id, revision, c.sim.now.Sub(c.latest.Published), c.latest.Revision)
		}
	}
}

func (c *checks) checkPacket(s *server, caller *flowCaller) {
	if s.service != caller.service {
		c.fail(GuaranteeService, "a packet for service %s reached server %s", caller.service, s.id)
	}
	if since := c.outSince[s.centre]; c.overdue(since) {
		c.fail(GuaranteeOutOfService, "a packet reached server %s %s after its data centre was taken out of service", s.id, c.sim.now.Sub(since))
	}
}

func (c *checks) checkWork(s *server) {
	if since := c.drainedSince[s.id]; c.overdue(since) {
		c.fail(GuaranteeDrain, "server %s received new work %s after it was drained", s.id, c.sim.now.Sub(since))
	}
	if since := c.outSince[s.centre]; c.overdue(since) {
		c.fail(GuaranteeOutOfService, "server %s received new work %s after its data centre was taken out of service", s.id, c.sim.now.Sub(since))
	}
}

func (c *checks) checkColdLoad(s *server, recent, limit int) {
	if recent > limit {
		c.fail(GuaranteeColdLoad, "server %s received %d new flows or requests in a second while cold, limit %d", s.id, recent, limit)
	}
}

// checkBrokenFlow checks whether the guarantees allow the loss of a flow that its
// caller did not close.
func (c *checks) checkBrokenFlow(caller *flowCaller, from fleet.ServerID, cause string) {
	server := c.sim.servers[caller.server]
	_, out := c.outSince[server.centre]
	switch {
	case !server.flowsLostAt.IsZero() && !server.flowsLostAt.Before(caller.opened):
		c.allow("server %s restarted and lost its flows", server.id)
	case out:
		c.allow("data centre %s was taken out of service", server.centre)
	case c.sim.network.wasPartitioned(caller.opened):
		// Each data centre continues with its own servers and has no record of the
		// server on which the other one placed a flow. The guarantee covers only
		// planned changes.
		c.allow("a flow was opened during a network partition and its packets reached servers on both sides")
	case caller.bothIsolated:
		// Likewise, neither the host that placed the flow nor the host that forwarded
		// its packet to another server had state from the other data centre.
		c.allow("a flow was opened before the hosts received state from the other data centre")
	case server.unresponsive:
		c.allow("server %s is unresponsive", server.id)
	default:
		c.fail(GuaranteeFlows, "%s flow from port %d to server %s, open for %s: %s (from %q)",
			caller.service, caller.key.SourcePort, caller.server, c.sim.now.Sub(caller.opened), cause, from)
	}
}

func (c *checks) checkRun(a *attempt) {
	if len(a.call.runs) > 1 {
		c.fail(GuaranteeOnce, "key %s ran %d times, last in attempt %v", a.call.key, len(a.call.runs), a.id)
	}
	if a.refused {
		c.fail(GuaranteeRefusal, "attempt %v ran after it was refused", a.id)
	}
}

func (c *checks) checkRefusal(a *attempt) {
	if a.ran {
		c.fail(GuaranteeRefusal, "attempt %v was refused after it ran", a.id)
	}
}

func (c *checks) checkAnswer(a *attempt, body string) {
	if want := "ran " + a.call.key.String(); body != want {
		c.fail(GuaranteeAnswer, "key %s received the response %q", a.call.key, body)
	}
	if len(a.call.runs) == 0 {
		c.fail(GuaranteeAnswer, "key %s received a response but never ran", a.call.key)
	}
}

// recordLostHost records that the host of a running request went down.
func (c *checks) recordLostHost(a *attempt) {
	if a.host.draining {
		return // checkPlannedStop checks draining hosts
	}
	c.allow("host %s crashed with a request running", a.host.self.ID)
}

// checkPlannedStop checks that no requests are running at a host at the end of its
// planned stop.
func (c *checks) checkPlannedStop(h *host) {
	if h.running > 0 && h.up {
		c.fail(GuaranteeStop, "host %s stopped with %d requests running", h.self.ID, h.running)
	}
}
