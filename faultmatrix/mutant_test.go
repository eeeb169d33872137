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

// place is a broken decision that gives the packets that match to one server.
func place(server fleet.ServerID, match func(in *flow.Input) bool) faultmatrix.Mutant {
	return faultmatrix.Mutant{Decide: func(_ *faultmatrix.World, in *flow.Input, d flow.Decision) flow.Decision {
		if d.Action == flow.Forward && d.Service == "hints" && match(in) {
			d.Server = server
		}
		return d
	}}
}

func newFlow(in *flow.Input) bool { return in.SYN }

func oldFlow(in *flow.Input) bool { return !in.SYN }

// runAgain lets every claim run, and calls what ran refused.
func runAgain() faultmatrix.Mutant {
	return faultmatrix.Mutant{
		Served: func() bool { return false },
		Verdict: func(_ *faultmatrix.World, v request.Verdict) request.Verdict {
			v.Decision = request.DecisionRun
			return v
		},
	}
}

// keepFirst never adopts another configuration than the first one read.
func keepFirst() faultmatrix.Mutant {
	var first config.PublishedSet
	return faultmatrix.Mutant{Adopt: func(_ *faultmatrix.World, r config.PublishedSet) config.PublishedSet {
		if first.Revision == 0 {
			first = r
		}
		return first
	}}
}

// Every promise has a broken decision that turns a cell red under this promise.
// The same cell without it is not.
func TestChecksCanFail(t *testing.T) {
	tests := []struct {
		promise          faultmatrix.Promise
		procedure, fault string
		mutant           faultmatrix.Mutant
	}{
		{faultmatrix.PromiseFlows, "flow_opening", "none", place("a-hints-2", oldFlow)},
		{faultmatrix.PromiseService, "flow_opening", "none", place("a-tally-1", newFlow)},
		{faultmatrix.PromiseCold, "flow_opening", "request_server_restarts", faultmatrix.Mutant{
			Admit: func(server fleet.ServerID, _ bool) bool { return server == "a-scores-2" },
		}},
		{faultmatrix.PromiseOut, "centre_out", "none", place("b-hints-1", newFlow)},
		{faultmatrix.PromiseAnswer, "flow_opening", "none", faultmatrix.Mutant{
			Answer: func(string) string { return "ran another request" },
		}},
		{faultmatrix.PromiseRefusal, "flow_opening", "none", faultmatrix.Mutant{Served: func() bool { return false }}},
		{faultmatrix.PromiseOnce, "flow_opening", "none", runAgain()},
		{faultmatrix.PromiseLeaving, "drain", "none", place("a-hints-2", newFlow)},
		{faultmatrix.PromiseStop, "planned_stop", "none", faultmatrix.Mutant{Drain: func() bool { return false }}},
		{faultmatrix.PromiseRevision, "drain", "none", keepFirst()},
	}
	var covered []faultmatrix.Promise
	for _, test := range tests {
		covered = append(covered, test.promise)
		t.Run(string(test.promise), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			cell := faultmatrix.Cell{Seed: 1, Procedure: test.procedure, Fault: test.fault}
			broken := func(v faultmatrix.Violation) bool { return v.Promise == test.promise }
			is.True(!slices.ContainsFunc(cell.Run(faultmatrix.Mutant{}).Violations, broken))
			is.True(slices.ContainsFunc(cell.Run(test.mutant).Violations, broken)) // the check can fail
		})
	}
	is.New(t).Equal(covered, faultmatrix.Promises())
}
