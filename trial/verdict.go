package trial

import (
	"fmt"
	"time"

	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/standin"
)

// Evidence is what the callers, servers and entry hosts of a trial saw. Judge
// makes a verdict of it.
type Evidence struct {
	Phases         []PhaseRow
	CentreOut      fleet.DataCentreID
	StoppedRequest map[string]bool // request addresses of hosts stopped as planned
	CentreOf       map[fleet.ServerID]fleet.DataCentreID
	Flows          []standin.FlowReport
	Requests       []standin.RequestReport
	FlowServers    map[fleet.ServerID]standin.FlowServerCounts
	RequestServers map[fleet.ServerID]standin.RequestServerCounts
	Publications   []PublicationRow
	Reverted       []string // descriptions of revisions that went back
}

// phaseAt returns the phase in which t lies.
func (e *Evidence) phaseAt(t time.Time) PhaseRow {
	found := PhaseRow{Phase: PhaseWarmUp}
	for _, p := range e.Phases {
		if p.began.After(t) {
			break
		}
		found = p
	}
	return found
}

// excuse tells why a flow may have broken, or "" when it must not.
func (e *Evidence) excuse(b standin.Break) Excuse {
	if e.CentreOut != "" && e.CentreOf[b.Server] == e.CentreOut && e.centreWasOut(b.Detected) {
		return ExcuseCentreOut
	}
	if e.phaseAt(b.Sent).Phase == PhaseKill {
		return ExcuseKill
	}
	return ""
}

// centreWasOut reports whether the data centre had been taken out by t.
func (e *Evidence) centreWasOut(t time.Time) bool {
	for _, p := range e.Phases {
		if p.Phase == PhaseCentreOut {
			return !t.Before(p.began)
		}
	}
	return false
}

// broken groups the breaks of all callers by service, phase, cause and excuse.
func (e *Evidence) broken() []BrokenRow {
	var rows []BrokenRow
	for _, report := range e.Flows {
		for _, b := range report.Breaks {
			row := BrokenRow{Service: b.Service, Phase: e.phaseAt(b.Sent).Phase, Cause: b.Cause, Excuse: e.excuse(b)}
			rows = addBroken(rows, row)
		}
	}
	return rows
}

func addBroken(rows []BrokenRow, row BrokenRow) []BrokenRow {
	for i := range rows {
		same := rows[i]
		same.Count = 0
		if same == row {
			rows[i].Count++
			return rows
		}
	}
	row.Count = 1
	return append(rows, row)
}

// Judge returns what must never happen and did.
func Judge(e *Evidence) []Fault {
	j := &judge{evidence: e}
	j.judgeFlows()
	j.judgeRequests()
	j.judgeServers()
	j.judgePublications()
	return j.faults
}

type judge struct {
	evidence *Evidence
	faults   []Fault
}

// add notes a fault, unless count is zero.
func (j *judge) add(rule Rule, count uint64, format string, args ...any) {
	if count > 0 {
		j.faults = append(j.faults, Fault{Rule: rule, Count: count, Detail: fmt.Sprintf(format, args...)})
	}
}

func (j *judge) judgeFlows() {
	for _, row := range j.evidence.broken() {
		if row.Cause == standin.BreakMismatch {
			j.add(RuleWholeAnswer, row.Count, "flows of %s got another flow's answer in phase %s", row.Service, row.Phase)
			continue
		}
		if row.Excuse == "" {
			j.add(RuleFlowSurvives, row.Count, "%s in phase %s: %s", row.Service, row.Phase, row.Cause)
		}
	}
	for _, report := range j.evidence.Flows {
		if report.Opened == 0 {
			j.add(RuleServiceOffered, 1, "no flow was opened")
		}
	}
}

func (j *judge) judgeRequests() {
	for _, report := range j.evidence.Requests {
		j.add(RuleTrueRefusal, report.RefusedButRun, "a backend server ran what was refused")
		j.add(RuleAtMostOnce, report.RunTwice, "backend servers ran a request more than once")
		j.add(RuleWholeAnswer, report.Mismatched, "answers to other requests")
		if report.Answered == 0 {
			j.add(RuleServiceOffered, 1, "no request was answered")
		}
		j.judgeCuts(report)
	}
}

func (j *judge) judgeCuts(report standin.RequestReport) {
	var planned, other uint64
	for _, cut := range report.Disconnects {
		phase := j.evidence.phaseAt(cut.At).Phase
		before := j.evidence.phaseAt(cut.At.Add(-plannedStopAfterglow)).Phase
		switch {
		case j.evidence.StoppedRequest[cut.Host.String()] && (phase == PhasePlannedStop || before == PhasePlannedStop):
			planned++
		case phase != PhaseKill && before != PhaseKill:
			other++
		}
	}
	j.add(RulePlannedStop, planned, "connections were cut by the planned stop")
	j.add(RuleWholeAnswer, other, "answers were cut")
}

func (j *judge) judgeServers() {
	for id, counts := range j.evidence.FlowServers {
		j.judgeServer(id, counts.Misdelivered, counts.LateNewWork, counts.LatePackets, counts.Warmup)
	}
	for id, counts := range j.evidence.RequestServers {
		j.judgeServer(id, counts.Misdelivered, counts.LateNewWork, counts.LatePackets, counts.Warmup)
	}
}

func (j *judge) judgeServer(id fleet.ServerID, misdelivered, lateNew, latePackets uint64, warmth standin.WarmupCounts) {
	j.add(RuleOwnService, misdelivered, "packets of another service at %s", id)
	j.add(RuleNoNewWork, lateNew, "new work at %s more than %s after the drain", id, leavingLimit)
	j.add(RuleDataCentreOut, latePackets, "packets at %s more than %s after its data centre was taken out", id, outLimit)
	j.add(RuleColdBound, warmth.OverBound, "%s got up to %.2f times what it bore", id, warmth.PeakRatio)
}

func (j *judge) judgePublications() {
	for _, p := range j.evidence.Publications {
		if !p.Complete || p.InForce.Duration() > inForceLimit {
			j.add(RuleInForce, 1, "revision %d (%s)", p.Revision, p.Change)
		}
	}
	for _, reverted := range j.evidence.Reverted {
		j.add(RuleNoRevert, 1, "%s", reverted)
	}
}
