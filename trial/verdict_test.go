package trial_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/standin"
	"github.com/rattanthread/rattanthread/status"
	"github.com/rattanthread/rattanthread/trial"
)

var began = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(second int) time.Time {
	return began.Add(time.Duration(second) * time.Second)
}

// sound is the evidence of a trial in which all went well.
func sound() *trial.Evidence {
	return &trial.Evidence{
		Phases: []trial.PhaseRow{
			trial.NewPhaseRow(trial.PhaseWarmUp, began, at(0)),
			trial.NewPhaseRow(trial.PhasePlannedStop, began, at(10)),
			trial.NewPhaseRow(trial.PhaseStart, began, at(12)),
			trial.NewPhaseRow(trial.PhaseKill, began, at(14)),
			trial.NewPhaseRow(trial.PhaseDrain, began, at(16)),
			trial.NewPhaseRow(trial.PhaseCentreOut, began, at(18)),
			trial.NewPhaseRow(trial.PhaseCentreIn, began, at(28)),
		},
		CentreOut:      "south",
		StoppedRequest: map[string]bool{"127.0.0.1:1000": true},
		CentreOf:       map[fleet.ServerID]fleet.DataCentreID{"n1": "north", "s1": "south"},
		Flows:          []standin.FlowReport{{Opened: 10}},
		Requests:       []standin.RequestReport{{Answered: 10}},
		FlowServers:    map[fleet.ServerID]standin.FlowServerCounts{"n1": {NewFlows: 10}},
		RequestServers: map[fleet.ServerID]standin.RequestServerCounts{"s1": {Runs: 10}},
		Publications:   []trial.PublicationRow{{Revision: 1, Complete: true, InForce: 7.9}},
	}
}

func TestJudge(t *testing.T) {
	broke := func(server fleet.ServerID, second int, cause standin.BreakCause) func(*trial.Evidence) {
		return func(e *trial.Evidence) {
			e.Flows[0].Breaks = []standin.Break{{Server: server, Cause: cause, Sent: at(second), Detected: at(second + 1)}}
		}
	}
	flowServer := func(counts standin.FlowServerCounts) func(*trial.Evidence) {
		return func(e *trial.Evidence) { e.FlowServers["n1"] = counts }
	}
	requests := func(report standin.RequestReport) func(*trial.Evidence) {
		return func(e *trial.Evidence) {
			report.Answered = 1
			e.Requests[0] = report
		}
	}
	cut := func(host string, second int) func(*trial.Evidence) {
		return func(e *trial.Evidence) {
			e.Requests[0].Disconnects = []standin.Disconnect{{Host: addrPort(host), At: at(second)}}
		}
	}
	published := func(row trial.PublicationRow) func(*trial.Evidence) {
		return func(e *trial.Evidence) { e.Publications[0] = row }
	}
	tests := []struct {
		name   string
		change func(*trial.Evidence)
		want   trial.Rule // "" for no fault
	}{
		{"sound", func(*trial.Evidence) {}, ""},
		{"broken by a planned stop", broke("n1", 11, standin.BreakReset), trial.RuleFlowSurvives},
		{"broken by a drain", broke("n1", 17, standin.BreakNoResponse), trial.RuleFlowSurvives},
		{"broken by a kill", broke("n1", 15, standin.BreakNoResponse), ""},
		{"broken in the data centre out", broke("s1", 19, standin.BreakReset), ""},
		{"broken there before it was out", broke("s1", 11, standin.BreakReset), trial.RuleFlowSurvives},
		{"broken elsewhere meanwhile", broke("n1", 19, standin.BreakReset), trial.RuleFlowSurvives},
		{"crossed flows", broke("n1", 15, standin.BreakMismatch), trial.RuleWholeAnswer},
		{"no flow", func(e *trial.Evidence) { e.Flows[0].Opened = 0 }, trial.RuleServiceOffered},
		{"no answer", func(e *trial.Evidence) { e.Requests[0].Answered = 0 }, trial.RuleServiceOffered},
		{"misdelivered", flowServer(standin.FlowServerCounts{Misdelivered: 1}), trial.RuleOwnService},
		{"new work while leaving", flowServer(standin.FlowServerCounts{LateNewWork: 1}), trial.RuleNoNewWork},
		{"packets to a data centre out", func(e *trial.Evidence) {
			e.RequestServers["s1"] = standin.RequestServerCounts{LatePackets: 1}
		}, trial.RuleDataCentreOut},
		{"cold server over its bound", flowServer(standin.FlowServerCounts{
			Warmup: standin.WarmupCounts{OverBound: 1, PeakRatio: 1.2},
		}), trial.RuleColdBound},
		{"refused but run", requests(standin.RequestReport{RefusedButRun: 1}), trial.RuleTrueRefusal},
		{"run twice", requests(standin.RequestReport{RunTwice: 1}), trial.RuleAtMostOnce},
		{"crossed answers", requests(standin.RequestReport{Mismatched: 1}), trial.RuleWholeAnswer},
		{"cut by the planned stop", cut("127.0.0.1:1000", 11), trial.RulePlannedStop},
		{"cut soon after the planned stop", cut("127.0.0.1:1000", 12), trial.RulePlannedStop},
		{"cut at another host", cut("127.0.0.1:2000", 11), trial.RuleWholeAnswer},
		{"cut by the kill", cut("127.0.0.1:2000", 15), ""},
		{"late in force", published(trial.PublicationRow{Complete: true, InForce: 8.1}), trial.RuleInForce},
		{"never in force", published(trial.PublicationRow{}), trial.RuleInForce},
		{"reverted", func(e *trial.Evidence) { e.Reverted = []string{"2 to 1"} }, trial.RuleNoRevert},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			e := sound()
			tt.change(e)
			faults := trial.Judge(e)
			if tt.want == "" {
				is.Equal(len(faults), 0)
				return
			}
			is.Equal(len(faults), 1)
			is.Equal(faults[0].Rule, tt.want)
		})
	}
}

func TestWatchFindsLateAndRevertedRevisions(t *testing.T) {
	is := is.New(t)
	var w trial.Watch
	hosts := []fleet.HostID{"a", "b"}
	tell := func(host fleet.HostID, incarnation fleet.Incarnation, revision fleet.Revision) {
		w.Observe(status.Host{Host: host, Incarnation: incarnation, Revision: revision})
	}
	w.Expect(at(0), 2, "first")
	tell("a", 1, 2)
	w.Conclude(at(1), hosts)
	is.True(!w.Publications()[0].Complete) // b has not told
	tell("b", 1, 3)
	w.Conclude(at(2), hosts)
	is.Equal(w.Publications()[0].InForce.Duration(), 2*time.Second)
	w.Expect(at(3), 3, "second")
	w.Conclude(at(4), hosts)
	is.True(!w.Publications()[1].Complete)
	w.Forget("a")
	w.Conclude(at(5), hosts[1:])
	is.True(w.Publications()[1].Complete)
	is.Equal(len(w.Reverted()), 0)
	tell("b", 2, 0) // a new life has nothing yet
	is.Equal(len(w.Reverted()), 0)
	tell("b", 2, 3)
	tell("b", 2, 2)
	is.Equal(len(w.Reverted()), 1)
}

func TestControlBytesAreOfOneLife(t *testing.T) {
	is := is.New(t)
	var w trial.Watch
	tell := func(incarnation fleet.Incarnation, sent uint64) {
		w.Observe(status.Host{Host: "a", Incarnation: incarnation, Counters: map[string]uint64{
			"rattanthread_peer_bytes_total,direction=out,path=link":     sent,
			"rattanthread_peer_bytes_total,direction=out,path=datagram": sent,
			"rattanthread_peer_bytes_total,direction=in,path=link":      9,
		}})
	}
	_, ok := w.SentBytes(at(0), "a")
	is.True(!ok)
	tell(1, 100)
	first, ok := w.SentBytes(at(0), "a")
	is.True(ok)
	tell(1, 150)
	second, _ := w.SentBytes(at(2), "a")
	rate, ok := second.Rate(first)
	is.True(ok)
	is.Equal(rate, 50.0)
	tell(2, 400)
	third, _ := w.SentBytes(at(4), "a")
	_, ok = third.Rate(first)
	is.True(!ok) // another life of the host
}
