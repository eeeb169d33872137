package demo

import (
	"fmt"
	"time"

	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/standin"
)

// Observations holds what the callers, servers and entry hosts of a demonstration
// observed. FindFaults checks it against the rules.
type Observations struct {
	Phases           []PhaseRow
	CentreOut        fleet.DataCentreID
	StoppedAddresses map[string]bool // request addresses of hosts with a planned stop
	CentreOf         map[fleet.ServerID]fleet.DataCentreID
	Flows            []standin.FlowReport
	Requests         []standin.RequestReport
	FlowServers      map[fleet.ServerID]standin.FlowServerCounts
	RequestServers   map[fleet.ServerID]standin.RequestServerCounts
	Publications     []PublicationRow
	Reverts          []string // descriptions of changes to an older revision
}

// phaseAt returns the phase that contains t.
func (o *Observations) phaseAt(t time.Time) PhaseRow {
	found := PhaseRow{Phase: PhaseWarmUp}
	for _, p := range o.Phases {
		if p.startTime.After(t) {
			break
		}
		found = p
	}
	return found
}

// excuse returns why a flow was allowed to break, or "" if it was not.
func (o *Observations) excuse(flowBreak standin.Break) Excuse {
	if o.CentreOut != "" && o.CentreOf[flowBreak.Server] == o.CentreOut && o.centreWasOut(flowBreak.Detected) {
		return ExcuseCentreOut
	}
	if o.phaseAt(flowBreak.Sent).Phase == PhaseKill {
		return ExcuseKill
	}
	return ""
}

// centreWasOut reports whether the data centre had been taken out of service by t.
func (o *Observations) centreWasOut(t time.Time) bool {
	for _, p := range o.Phases {
		if p.Phase == PhaseCentreOut {
			return !t.Before(p.startTime)
		}
	}
	return false
}

// brokenRows groups the breaks of all callers by service, phase, cause and excuse.
func (o *Observations) brokenRows() []BrokenRow {
	var rows []BrokenRow
	for _, report := range o.Flows {
		for _, flowBreak := range report.Breaks {
			row := BrokenRow{Service: flowBreak.Service, Phase: o.phaseAt(flowBreak.Sent).Phase, Cause: flowBreak.Cause, Excuse: o.excuse(flowBreak)}
			rows = countBreak(rows, row)
		}
	}
	return rows
}

func countBreak(rows []BrokenRow, row BrokenRow) []BrokenRow {
	for i := range rows {
		key := rows[i]
		key.Count = 0
		if key == row {
			rows[i].Count++
			return rows
		}
	}
	row.Count = 1
	return append(rows, row)
}

// FindFaults returns the violations of the rules.
func FindFaults(o *Observations) []Fault {
	c := &ruleChecker{observations: o}
	c.checkFlows()
	c.checkRequests()
	c.checkServers()
	c.checkPublications()
	return c.faults
}

type ruleChecker struct {
	observations *Observations
	faults       []Fault
}

// add records a fault unless count is zero.
func (c *ruleChecker) add(rule Rule, count uint64, format string, args ...any) {
	if count > 0 {
		c.faults = append(c.faults, Fault{Rule: rule, Count: count, Detail: fmt.Sprintf(format, args...)})
	}
}

func (c *ruleChecker) checkFlows() {
	for _, row := range c.observations.brokenRows() {
		if row.Cause == standin.BreakMismatch {
			c.add(RuleResponseIntact, row.Count, "flows of %s received another flow's response in phase %s", row.Service, row.Phase)
			continue
		}
		if row.Excuse == "" {
			c.add(RuleFlowSurvives, row.Count, "%s in phase %s: %s", row.Service, row.Phase, row.Cause)
		}
	}
	for _, report := range c.observations.Flows {
		if report.Opened == 0 {
			c.add(RuleCallersServed, 1, "no flow was opened")
		}
	}
}

func (c *ruleChecker) checkRequests() {
	for _, report := range c.observations.Requests {
		c.add(RuleRefusedNotRun, report.RefusedButRun, "backend servers ran refused requests")
		c.add(RuleAtMostOnce, report.RunTwice, "backend servers ran a request more than once")
		c.add(RuleResponseIntact, report.Mismatched, "callers received responses to other requests")
		if report.Answered == 0 {
			c.add(RuleCallersServed, 1, "no request was answered")
		}
		c.checkDisconnects(report)
	}
}

func (c *ruleChecker) checkDisconnects(report standin.RequestReport) {
	var planned, other uint64
	for _, disconnect := range report.Disconnects {
		phase := c.observations.phaseAt(disconnect.At).Phase
		before := c.observations.phaseAt(disconnect.At.Add(-disconnectAttributionWindow)).Phase
		switch {
		case c.observations.StoppedAddresses[disconnect.Host.String()] && (phase == PhasePlannedStop || before == PhasePlannedStop):
			planned++
		case phase != PhaseKill && before != PhaseKill:
			other++
		}
	}
	c.add(RulePlannedStop, planned, "the planned stop closed connections before the full response")
	c.add(RuleResponseIntact, other, "connections were closed before the full response")
}

func (c *ruleChecker) checkServers() {
	for id, counts := range c.observations.FlowServers {
		c.checkServer(id, counts.Misdelivered, counts.LateNewWork, counts.LatePackets, counts.Warmup)
	}
	for id, counts := range c.observations.RequestServers {
		c.checkServer(id, counts.Misdelivered, counts.LateNewWork, counts.LatePackets, counts.Warmup)
	}
}

func (c *ruleChecker) checkServer(id fleet.ServerID, misdelivered, lateNew, latePackets uint64, warmup standin.WarmupCounts) {
	c.add(RuleOwnService, misdelivered, "packets of another service reached %s", id)
	c.add(RuleNoNewWork, lateNew, "new work reached %s more than %s after the drain", id, drainLimit)
	c.add(RuleDataCentreOut, latePackets, "packets reached %s more than %s after its data centre was taken out of service", id, centreOutLimit)
	c.add(RuleColdBound, warmup.OverBound, "%s received up to %.2f times its cold bound", id, warmup.PeakRatio)
}

func (c *ruleChecker) checkPublications() {
	for _, p := range c.observations.Publications {
		if !p.Complete || p.InForce.Duration() > inForceLimit {
			c.add(RuleInForce, 1, "revision %d (%s)", p.Revision, p.Change)
		}
	}
	for _, revert := range c.observations.Reverts {
		c.add(RuleNoRevert, 1, "%s", revert)
	}
}
