package trial

import (
	"time"

	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/standin"
	"github.com/rattanthread/rattanthread/status"
)

// Report is the result of a trial. Its counts come from callers and backend
// servers, but for ControlBytes and Publications, which come from the entry
// hosts' /status.
type Report struct {
	Seed         uint64           `json:"seed"`
	Duration     status.Seconds   `json:"duration_seconds"`
	Passed       bool             `json:"passed"`
	Faults       []Fault          `json:"faults"`
	Phases       []PhaseRow       `json:"phases"`
	BrokenFlows  []BrokenRow      `json:"broken_flows"`
	Flows        []FlowRow        `json:"flows"`
	Requests     []RequestRow     `json:"requests"`
	Imbalance    []ImbalanceRow   `json:"imbalance"`
	Seconds      []SecondRow      `json:"seconds"`
	ControlBytes []ControlRow     `json:"control_bytes"`
	ColdServers  []ColdRow        `json:"cold_servers"`
	Publications []PublicationRow `json:"publications"`
	// HostCounters are the counters of all entry hosts at the end, added up.
	// Those of hosts that were stopped or killed are lost.
	HostCounters map[string]uint64 `json:"host_counters"`
}

// Fault is something that must never happen and did.
type Fault struct {
	Rule   Rule   `json:"rule"`
	Count  uint64 `json:"count"`
	Detail string `json:"detail,omitempty"`
}

// Rule names something that must always hold.
type Rule string

// The rules that a trial checks.
const (
	RuleFlowSurvives     Rule = "established_flow_survives_planned_change"
	RuleOwnService       Rule = "packet_reaches_only_its_service"
	RuleColdBound        Rule = "cold_server_gets_no_more_than_it_bears"
	RuleDataCentreOut    Rule = "data_centre_out_gets_no_packets"
	RuleWholeAnswer      Rule = "answer_is_whole_and_its_own"
	RuleTrueRefusal      Rule = "refused_request_was_not_run"
	RuleAtMostOnce       Rule = "request_runs_at_most_once"
	RuleNoNewWork        Rule = "leaving_server_gets_no_new_work"
	RulePlannedStop      Rule = "planned_stop_cuts_no_request"
	RuleInForce          Rule = "configuration_in_force_everywhere"
	RuleNoRevert         Rule = "configuration_never_reverts"
	RuleTrialGotThrough  Rule = "trial_ran_to_its_end"
	RuleServiceOffered   Rule = "callers_were_served"
	inForceLimit              = 8 * time.Second
	leavingLimit              = 8 * time.Second // after which a leaving server gets no new work
	outLimit                  = 8 * time.Second // after which a data centre that is out gets no packets
	plannedStopAfterglow      = time.Second     // of cuts that still count as the stop's
)

// Phase names a part of the trial's timeline.
type Phase string

// The phases of a trial, in order.
const (
	PhaseWarmUp      Phase = "warm_up"
	PhasePlannedStop Phase = "planned_stop"
	PhaseStart       Phase = "start"
	PhaseKill        Phase = "kill"
	PhaseDrain       Phase = "drain"
	PhaseCentreOut   Phase = "data_centre_out"
	PhaseCentreIn    Phase = "data_centre_in"
	PhaseEnd         Phase = "end"
)

// PhaseRow tells when a phase began.
type PhaseRow struct {
	Phase  Phase          `json:"phase"`
	Start  status.Seconds `json:"start_seconds"`
	Target string         `json:"target,omitempty"` // the host, server or data centre
	began  time.Time
}

// NewPhaseRow returns the row of a phase that begins at now, in a trial that
// began at start.
func NewPhaseRow(phase Phase, start, now time.Time) PhaseRow {
	return PhaseRow{Phase: phase, Start: secondsSince(start, now), began: now}
}

// BrokenRow counts the flows of a service that broke in a phase.
type BrokenRow struct {
	Service fleet.ServiceName  `json:"service"`
	Phase   Phase              `json:"phase"`
	Cause   standin.BreakCause `json:"cause"`
	// Excuse is why the flows may break, or "" for a fault.
	Excuse Excuse `json:"excuse,omitempty"`
	Count  uint64 `json:"count"`
}

// Excuse is a reason for which an established flow may break.
type Excuse string

// The reasons for which a flow may break.
const (
	ExcuseCentreOut Excuse = "data_centre_out"
	ExcuseKill      Excuse = "unplanned_kill"
)

// FlowRow is what callers saw of the flows of a service.
type FlowRow struct {
	Service     fleet.ServiceName `json:"service"`
	Opened      uint64            `json:"opened"`
	NotOpened   uint64            `json:"not_opened"`
	Established int               `json:"established"`
	Messages    uint64            `json:"messages"`
	Resent      uint64            `json:"resent"`
	Broken      uint64            `json:"broken"`
	// ServerResets is how often a backend server got a packet of a flow that it
	// did not know.
	ServerResets uint64       `json:"server_resets"`
	Median       Milliseconds `json:"median_ms"`
	P99          Milliseconds `json:"p99_ms"`
}

// RequestRow is what callers saw of the requests of a service.
type RequestRow struct {
	Service       fleet.ServiceName `json:"service"`
	Sent          uint64            `json:"sent"`
	Answered      uint64            `json:"answered"`
	Refused       uint64            `json:"refused"`
	Unknown       uint64            `json:"unknown"`
	Attempts      uint64            `json:"attempts"`
	NotConnected  uint64            `json:"not_connected"`
	TimedOut      uint64            `json:"timed_out"`
	Cut           uint64            `json:"cut"`
	Skipped       uint64            `json:"skipped"`
	RunTwice      uint64            `json:"run_twice"`
	RefusedButRun uint64            `json:"refused_but_run"`
	Crossed       uint64            `json:"crossed"`
	Reasons       map[string]uint64 `json:"reasons,omitempty"`
	Median        Milliseconds      `json:"median_ms"`
	P99           Milliseconds      `json:"p99_ms"`
}

// Milliseconds is a duration that is written as a number of milliseconds.
type Milliseconds float64

// ImbalanceRow compares the work of a service's servers, between the end of the
// warm-up and the time when a data centre leaves, without the drained server.
type ImbalanceRow struct {
	Service        fleet.ServiceName `json:"service"`
	Unit           string            `json:"unit"`
	Servers        int               `json:"servers"`
	Mean           float64           `json:"mean"`
	MaxOverMean    float64           `json:"max_over_mean"`
	StdDevOverMean float64           `json:"stddev_over_mean"`
}

// SecondRow is one second of the trial.
type SecondRow struct {
	Second   int    `json:"second"`
	Phase    Phase  `json:"phase"`
	Answered uint64 `json:"answered"`
	Refused  uint64 `json:"refused"`
	Unknown  uint64 `json:"unknown"`
	// FlowMessages are the messages on flows that were answered.
	FlowMessages uint64 `json:"flow_messages"`
	FlowsOpened  uint64 `json:"flows_opened"`
	FlowsBroken  uint64 `json:"flows_broken"`
}

// ControlRow is what an entry host sent to its peers, between the end of the
// warm-up and the end of the trial, by its own count. Hosts that were replaced
// meanwhile are left out.
type ControlRow struct {
	Host           fleet.HostID `json:"host"`
	BytesPerSecond float64      `json:"bytes_per_second"`
}

// ColdRow tells how a backend server was treated while it was not warm.
type ColdRow struct {
	Server fleet.ServerID `json:"server"`
	standin.WarmupCounts
}

// PublicationRow tells how long a configuration took to be in force everywhere.
type PublicationRow struct {
	Revision fleet.Revision `json:"revision"`
	Change   string         `json:"change"`
	// InForce is zero when it was not in force everywhere by the trial's end.
	InForce  status.Seconds `json:"in_force_seconds"`
	Complete bool           `json:"complete"`
}
