package demo

import (
	"time"

	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/standin"
	"github.com/rattanthread/rattanthread/status"
)

// Report is the result of a demonstration. Its counts come from callers and
// backend servers, except ControlBytes, Publications and HostCounters, which come
// from the entry hosts' /status.
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
	// HostCounters holds the sums of the counters of all entry hosts at the end.
	// What a host counted before it was stopped or killed is missing.
	HostCounters map[string]uint64 `json:"host_counters"`
}

// Fault is a violation of a rule.
type Fault struct {
	Rule   Rule   `json:"rule"`
	Count  uint64 `json:"count"`
	Detail string `json:"detail,omitempty"`
}

// Rule identifies a condition that must always hold.
type Rule string

// The rules that a demonstration checks, and their time limits.
const (
	RuleFlowSurvives            Rule = "established_flow_survives_planned_change"
	RuleOwnService              Rule = "packet_reaches_only_its_service"
	RuleColdBound               Rule = "cold_server_gets_no_more_than_it_bears"
	RuleDataCentreOut           Rule = "data_centre_out_gets_no_packets"
	RuleResponseIntact          Rule = "answer_is_whole_and_its_own"
	RuleRefusedNotRun           Rule = "refused_request_was_not_run"
	RuleAtMostOnce              Rule = "request_runs_at_most_once"
	RuleNoNewWork               Rule = "leaving_server_gets_no_new_work"
	RulePlannedStop             Rule = "planned_stop_cuts_no_request"
	RuleInForce                 Rule = "configuration_in_force_everywhere"
	RuleNoRevert                Rule = "configuration_never_reverts"
	RuleDemoCompleted           Rule = "trial_ran_to_its_end"
	RuleCallersServed           Rule = "callers_were_served"
	inForceLimit                     = 8 * time.Second // for a publication to be in force on all hosts
	drainLimit                       = 8 * time.Second // after which a draining server gets no new work
	centreOutLimit                   = 8 * time.Second // after which a data centre out of service gets no packets
	disconnectAttributionWindow      = time.Second     // after a phase, in which a disconnect still counts as an effect of it
)

// Phase identifies a part of the demonstration's timeline.
type Phase string

// The phases of a demonstration, in order.
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

// PhaseRow is a phase with its start.
type PhaseRow struct {
	Phase     Phase          `json:"phase"`
	Start     status.Seconds `json:"start_seconds"`
	Target    string         `json:"target,omitempty"` // the host, server or data centre
	startTime time.Time
}

// NewPhaseRow returns the row of a phase that starts at now, in a demonstration
// that started at start.
func NewPhaseRow(phase Phase, start, now time.Time) PhaseRow {
	return PhaseRow{Phase: phase, Start: secondsSince(start, now), startTime: now}
}

// BrokenRow counts the flows of a service that broke in a phase for one cause.
type BrokenRow struct {
	Service fleet.ServiceName  `json:"service"`
	Phase   Phase              `json:"phase"`
	Cause   standin.BreakCause `json:"cause"`
	// Excuse is why the flows were allowed to break, or "" for a fault.
	Excuse Excuse `json:"excuse,omitempty"`
	Count  uint64 `json:"count"`
}

// Excuse is a reason that allows an established flow to break.
type Excuse string

// The reasons that allow a flow to break.
const (
	ExcuseCentreOut Excuse = "data_centre_out"
	ExcuseKill      Excuse = "unplanned_kill"
)

// FlowRow holds what callers observed of the flows of a service.
type FlowRow struct {
	Service     fleet.ServiceName `json:"service"`
	Opened      uint64            `json:"opened"`
	NotOpened   uint64            `json:"not_opened"`
	Established int               `json:"established"`
	Messages    uint64            `json:"messages"`
	Resent      uint64            `json:"resent"`
	Broken      uint64            `json:"broken"`
	// ServerResets counts the packets that a backend server received for a flow
	// unknown to it.
	ServerResets uint64       `json:"server_resets"`
	Median       Milliseconds `json:"median_ms"`
	P99          Milliseconds `json:"p99_ms"`
}

// RequestRow holds what callers observed of the requests of a service.
type RequestRow struct {
	Service       fleet.ServiceName `json:"service"`
	Sent          uint64            `json:"sent"`
	Answered      uint64            `json:"answered"`
	Refused       uint64            `json:"refused"`
	Unknown       uint64            `json:"unknown"`
	Attempts      uint64            `json:"attempts"`
	NotConnected  uint64            `json:"not_connected"`
	TimedOut      uint64            `json:"timed_out"`
	Disconnected  uint64            `json:"cut"`
	Skipped       uint64            `json:"skipped"`
	RunTwice      uint64            `json:"run_twice"`
	RefusedButRun uint64            `json:"refused_but_run"`
	Mismatched    uint64            `json:"crossed"`
	Reasons       map[string]uint64 `json:"reasons,omitempty"`
	Median        Milliseconds      `json:"median_ms"`
	P99           Milliseconds      `json:"p99_ms"`
}

// Milliseconds is a duration in milliseconds.
type Milliseconds float64

// ImbalanceRow compares the load of a service's servers between the end of the
// warm-up and the time when a data centre is taken out of service. It excludes
// drained servers.
type ImbalanceRow struct {
	Service        fleet.ServiceName `json:"service"`
	Unit           string            `json:"unit"`
	Servers        int               `json:"servers"`
	Mean           float64           `json:"mean"`
	MaxOverMean    float64           `json:"max_over_mean"`
	StdDevOverMean float64           `json:"stddev_over_mean"`
}

// SecondRow holds the counts of one second of the demonstration.
type SecondRow struct {
	Second   int    `json:"second"`
	Phase    Phase  `json:"phase"`
	Answered uint64 `json:"answered"`
	Refused  uint64 `json:"refused"`
	Unknown  uint64 `json:"unknown"`
	// FlowMessages counts the answered messages on flows.
	FlowMessages uint64 `json:"flow_messages"`
	FlowsOpened  uint64 `json:"flows_opened"`
	FlowsBroken  uint64 `json:"flows_broken"`
}

// ControlRow is the rate at which an entry host sent bytes to its peers between
// the end of the warm-up and the end of the demonstration, as the host reports it.
// Hosts that restarted in between are omitted.
type ControlRow struct {
	Host           fleet.HostID `json:"host"`
	BytesPerSecond float64      `json:"bytes_per_second"`
}

// ColdRow holds the arrivals at a backend server while it was not warm.
type ColdRow struct {
	Server fleet.ServerID `json:"server"`
	standin.WarmupCounts
}

// PublicationRow is how long a configuration took to be in force on all hosts.
type PublicationRow struct {
	Revision fleet.Revision `json:"revision"`
	Change   string         `json:"change"`
	// InForce is zero if the configuration was not in force on all hosts by the
	// end of the demonstration.
	InForce  status.Seconds `json:"in_force_seconds"`
	Complete bool           `json:"complete"`
}
