package demo_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rattanthread/rattanthread/demo"
	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/standin"
	"github.com/rattanthread/rattanthread/status"
)

var demoStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(second int) time.Time {
	return demoStart.Add(time.Duration(second) * time.Second)
}

// withoutFaults returns the observations of a demonstration without faults.
func withoutFaults() *demo.Observations {
	return &demo.Observations{
		Phases: []demo.PhaseRow{
			demo.NewPhaseRow(demo.PhaseWarmUp, demoStart, at(0)),
			demo.NewPhaseRow(demo.PhasePlannedStop, demoStart, at(10)),
			demo.NewPhaseRow(demo.PhaseStart, demoStart, at(12)),
			demo.NewPhaseRow(demo.PhaseKill, demoStart, at(14)),
			demo.NewPhaseRow(demo.PhaseDrain, demoStart, at(16)),
			demo.NewPhaseRow(demo.PhaseCentreOut, demoStart, at(18)),
			demo.NewPhaseRow(demo.PhaseCentreIn, demoStart, at(28)),
		},
		CentreOut:        "south",
		StoppedAddresses: map[string]bool{"127.0.0.1:1000": true},
		CentreOf:         map[fleet.ServerID]fleet.DataCentreID{"n1": "north", "s1": "south"},
		Flows:            []standin.FlowReport{{Opened: 10}},
		Requests:         []standin.RequestReport{{Answered: 10}},
		FlowServers:      map[fleet.ServerID]standin.FlowServerCounts{"n1": {NewFlows: 10}},
		RequestServers:   map[fleet.ServerID]standin.RequestServerCounts{"s1": {Runs: 10}},
		Publications:     []demo.PublicationRow{{Revision: 1, Complete: true, InForce: 7.9}},
	}
}

func TestJudge(t *testing.T) {
	breakFlow := func(server fleet.ServerID, second int, cause standin.BreakCause) func(*demo.Observations) {
		return func(o *demo.Observations) {
			o.Flows[0].Breaks = []standin.Break{{Server: server, Cause: cause, Sent: at(second), Detected: at(second + 1)}}
		}
	}
	flowServer := func(counts standin.FlowServerCounts) func(*demo.Observations) {
		return func(o *demo.Observations) { o.FlowServers["n1"] = counts }
	}
	requests := func(report standin.RequestReport) func(*demo.Observations) {
		return func(o *demo.Observations) {
			report.Answered = 1
			o.Requests[0] = report
		}
	}
	disconnect := func(host string, second int) func(*demo.Observations) {
		return func(o *demo.Observations) {
			o.Requests[0].Disconnects = []standin.Disconnect{{Host: addrPort(host), At: at(second)}}
		}
	}
	published := func(row demo.PublicationRow) func(*demo.Observations) {
		return func(o *demo.Observations) { o.Publications[0] = row }
	}
	tests := []struct {
		name   string
		change func(*demo.Observations)
		want   demo.Rule // "" for no fault
	}{
		{"no violation", func(*demo.Observations) {}, ""},
		{"flow broken by planned stop", breakFlow("n1", 11, standin.BreakReset), demo.RuleFlowSurvives},
		{"flow broken by drain", breakFlow("n1", 17, standin.BreakNoResponse), demo.RuleFlowSurvives},
		{"flow broken by kill", breakFlow("n1", 15, standin.BreakNoResponse), ""},
		{"flow broken in data centre out of service", breakFlow("s1", 19, standin.BreakReset), ""},
		{"flow broken before data centre was out of service", breakFlow("s1", 11, standin.BreakReset), demo.RuleFlowSurvives},
		{"flow broken in another data centre", breakFlow("n1", 19, standin.BreakReset), demo.RuleFlowSurvives},
		{"response to another flow", breakFlow("n1", 15, standin.BreakMismatch), demo.RuleResponseIntact},
		{"no flow opened", func(o *demo.Observations) { o.Flows[0].Opened = 0 }, demo.RuleCallersServed},
		{"no request answered", func(o *demo.Observations) { o.Requests[0].Answered = 0 }, demo.RuleCallersServed},
		{"misdelivered packet", flowServer(standin.FlowServerCounts{Misdelivered: 1}), demo.RuleOwnService},
		{"new work on draining server", flowServer(standin.FlowServerCounts{LateNewWork: 1}), demo.RuleNoNewWork},
		{"packet to data centre out of service", func(o *demo.Observations) {
			o.RequestServers["s1"] = standin.RequestServerCounts{LatePackets: 1}
		}, demo.RuleDataCentreOut},
		{"cold server over its bound", flowServer(standin.FlowServerCounts{
			Warmup: standin.WarmupCounts{OverBound: 1, PeakRatio: 1.2},
		}), demo.RuleColdBound},
		{"refused request run", requests(standin.RequestReport{RefusedButRun: 1}), demo.RuleRefusedNotRun},
		{"request run twice", requests(standin.RequestReport{RunTwice: 1}), demo.RuleAtMostOnce},
		{"response to another request", requests(standin.RequestReport{Mismatched: 1}), demo.RuleResponseIntact},
		{"request disconnected by planned stop", disconnect("127.0.0.1:1000", 11), demo.RulePlannedStop},
		{"request disconnected soon after planned stop", disconnect("127.0.0.1:1000", 12), demo.RulePlannedStop},
		{"request disconnected at another host", disconnect("127.0.0.1:2000", 11), demo.RuleResponseIntact},
		{"request disconnected by kill", disconnect("127.0.0.1:2000", 15), ""},
		{"publication in force late", published(demo.PublicationRow{Complete: true, InForce: 8.1}), demo.RuleInForce},
		{"publication never in force", published(demo.PublicationRow{}), demo.RuleInForce},
		{"revision reverted", func(o *demo.Observations) { o.Reverts = []string{"2 to 1"} }, demo.RuleNoRevert},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			o := withoutFaults()
			tt.change(o)
			faults := demo.FindFaults(o)
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
	var tracker demo.StatusTracker
	hosts := []fleet.HostID{"a", "b"}
	observe := func(host fleet.HostID, incarnation fleet.Incarnation, revision fleet.Revision) {
		tracker.Observe(status.Host{Host: host, Incarnation: incarnation, Revision: revision})
	}
	tracker.Expect(at(0), 2, "first")
	observe("a", 1, 2)
	tracker.MarkInForce(at(1), hosts)
	is.True(!tracker.Publications()[0].Complete) // b has not reported its status
	observe("b", 1, 3)
	tracker.MarkInForce(at(2), hosts)
	is.Equal(tracker.Publications()[0].InForce.Duration(), 2*time.Second)
	tracker.Expect(at(3), 3, "second")
	tracker.MarkInForce(at(4), hosts)
	is.True(!tracker.Publications()[1].Complete)
	tracker.Forget("a")
	tracker.MarkInForce(at(5), hosts[1:])
	is.True(tracker.Publications()[1].Complete)
	is.Equal(len(tracker.Reverts()), 0)
	observe("b", 2, 0) // a restarted host starts without a revision
	is.Equal(len(tracker.Reverts()), 0)
	observe("b", 2, 3)
	observe("b", 2, 2)
	is.Equal(len(tracker.Reverts()), 1)
}

func TestControlBytesAreOfOneLife(t *testing.T) {
	is := is.New(t)
	var tracker demo.StatusTracker
	observe := func(incarnation fleet.Incarnation, sent uint64) {
		tracker.Observe(status.Host{Host: "a", Incarnation: incarnation, Counters: map[string]uint64{
			"rattanthread_peer_bytes_total,direction=out,path=link":     sent,
			"rattanthread_peer_bytes_total,direction=out,path=datagram": sent,
			"rattanthread_peer_bytes_total,direction=in,path=link":      9,
		}})
	}
	_, ok := tracker.SentBytes(at(0), "a")
	is.True(!ok)
	observe(1, 100)
	first, ok := tracker.SentBytes(at(0), "a")
	is.True(ok)
	observe(1, 150)
	second, _ := tracker.SentBytes(at(2), "a")
	rate, ok := second.Rate(first)
	is.True(ok)
	is.Equal(rate, 50.0)
	observe(2, 400)
	third, _ := tracker.SentBytes(at(4), "a")
	_, ok = third.Rate(first)
	is.True(!ok) // the host restarted
}
