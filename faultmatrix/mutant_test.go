package faultmatrix_test

import (
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/rattanthread/rattanthread/config"
	"github.com/rattanthread/rattanthread/faultmatrix"
	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/flow"
	"github.com/rattanthread/rattanthread/request"
)

// forwardTo returns a mutant that forwards matching packets of the hints service to
// one server.
func forwardTo(server fleet.ServerID, match func(in *flow.Input) bool) faultmatrix.Mutant {
	return faultmatrix.Mutant{Decide: func(_ *faultmatrix.Simulation, in *flow.Input, d flow.Decision) flow.Decision {
		if d.Action == flow.Forward && d.Service == "hints" && match(in) {
			d.Server = server
		}
		return d
	}}
}

func newFlow(in *flow.Input) bool { return in.SYN }

func establishedFlow(in *flow.Input) bool { return !in.SYN }

// rerunRefused returns a mutant that allows every claim to run and reports requests
// that ran as refused.
func rerunRefused() faultmatrix.Mutant {
	return faultmatrix.Mutant{
		Served: func() bool { return false },
		Verdict: func(_ *faultmatrix.Simulation, v request.Verdict) request.Verdict {
			v.Decision = request.DecisionRun
			return v
		},
	}
}

// keepFirstRevision returns a mutant that keeps the first configuration read.
func keepFirstRevision() faultmatrix.Mutant {
	var first config.PublishedSet
	return faultmatrix.Mutant{Adopt: func(_ *faultmatrix.Simulation, r config.PublishedSet) config.PublishedSet {
		if first.Revision == 0 {
			first = r
		}
		return first
	}}
}

// Every guarantee has a mutant that violates it in some cell. Without the mutant, the
// same cell does not violate it.
func TestChecksCanFail(t *testing.T) {
	tests := []struct {
		guarantee        faultmatrix.Guarantee
		procedure, fault string
		mutant           faultmatrix.Mutant
	}{
		{faultmatrix.GuaranteeFlows, "flow_opening", "none", forwardTo("a-hints-2", establishedFlow)},
		{faultmatrix.GuaranteeService, "flow_opening", "none", forwardTo("a-tally-1", newFlow)},
		{faultmatrix.GuaranteeColdLoad, "flow_opening", "request_server_restarts", faultmatrix.Mutant{
			Admit: func(server fleet.ServerID, _ bool) bool { return server == "a-scores-2" },
		}},
		{faultmatrix.GuaranteeOutOfService, "centre_out", "none", forwardTo("b-hints-1", newFlow)},
		{faultmatrix.GuaranteeAnswer, "flow_opening", "none", faultmatrix.Mutant{
			Answer: func(string) string { return "ran another request" },
		}},
		{faultmatrix.GuaranteeRefusal, "flow_opening", "none", faultmatrix.Mutant{Served: func() bool { return false }}},
		{faultmatrix.GuaranteeOnce, "flow_opening", "none", rerunRefused()},
		{faultmatrix.GuaranteeDrain, "drain", "none", forwardTo("a-hints-2", newFlow)},
		{faultmatrix.GuaranteeStop, "planned_stop", "none", faultmatrix.Mutant{Drain: func() bool { return false }}},
		{faultmatrix.GuaranteeConfiguration, "drain", "none", keepFirstRevision()},
	}
	var covered []faultmatrix.Guarantee
	for _, test := range tests {
		covered = append(covered, test.guarantee)
		t.Run(string(test.guarantee), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			cell := faultmatrix.Cell{Seed: 1, Procedure: test.procedure, Fault: test.fault}
			violates := func(v faultmatrix.Violation) bool { return v.Guarantee == test.guarantee }
			is.True(!slices.ContainsFunc(cell.Run(faultmatrix.Mutant{}).Violations, violates))
			is.True(slices.ContainsFunc(cell.Run(test.mutant).Violations, violates)) // the check can fail
		})
	}
	is.New(t).Equal(covered, faultmatrix.Guarantees())
}
