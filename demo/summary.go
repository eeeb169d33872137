package demo

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/rattanthread/rattanthread/config"
	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/standin"
	"github.com/rattanthread/rattanthread/status"
)

// report returns the report of the demonstration so far.
func (tb *testbed) report() Report {
	tb.collect()
	report := Report{
		Seed:         tb.demo.Seed,
		Duration:     status.SecondsOf(tb.demo.duration()),
		Phases:       tb.observations.Phases,
		BrokenFlows:  tb.observations.brokenRows(),
		Flows:        tb.flowRows(),
		Requests:     tb.requestRows(),
		Imbalance:    tb.imbalanceRows(),
		Seconds:      tb.secondRows(),
		ControlBytes: tb.controlRows(),
		ColdServers:  tb.coldRows(),
		Publications: tb.observations.Publications,
		HostCounters: tb.tracker.counters(),
		Faults:       FindFaults(&tb.observations),
	}
	tb.mu.Lock()
	defer tb.mu.Unlock()
	for _, err := range tb.errs {
		report.Faults = append(report.Faults, Fault{Rule: RuleDemoCompleted, Count: 1, Detail: err.Error()})
	}
	report.Passed = len(report.Faults) == 0
	return report
}

// collect adds the counts of callers, servers and publications to the
// observations.
func (tb *testbed) collect() {
	observed := &tb.observations
	for _, c := range tb.flowCallers {
		observed.Flows = append(observed.Flows, c.Report())
	}
	for _, c := range tb.requestCallers {
		observed.Requests = append(observed.Requests, c.Report())
	}
	observed.FlowServers = make(map[fleet.ServerID]standin.FlowServerCounts)
	for id, s := range tb.flowServers {
		observed.FlowServers[id] = s.Counts()
	}
	observed.RequestServers = make(map[fleet.ServerID]standin.RequestServerCounts)
	for id, s := range tb.requestServers {
		observed.RequestServers[id] = s.Counts()
	}
	observed.Publications = tb.tracker.Publications()
	observed.Reverts = tb.tracker.Reverts()
}

func (tb *testbed) flowRows() []FlowRow {
	rows := make(map[fleet.ServiceName]*FlowRow)
	latencies := make(map[fleet.ServiceName]*hdrhistogram.Histogram)
	for i, caller := range tb.flowCallers {
		row := rows[caller.Service]
		if row == nil {
			row = &FlowRow{Service: caller.Service}
			rows[caller.Service] = row
			latencies[caller.Service] = standin.NewLatencyHistogram()
		}
		report := tb.observations.Flows[i]
		row.Opened += report.Opened
		row.NotOpened += report.NotOpened
		row.Established += report.Established
		row.Messages += report.Messages
		row.Resent += report.Resent
		row.Broken += uint64(len(report.Breaks))
		caller.AddLatency(latencies[caller.Service])
	}
	for id, counts := range tb.observations.FlowServers {
		if row := rows[tb.flowServers[id].Service]; row != nil {
			row.ServerResets += counts.UnknownFlow
		}
	}
	var sorted []FlowRow
	for _, service := range slices.Sorted(maps.Keys(rows)) {
		row := rows[service]
		row.Median, row.P99 = quantiles(latencies[service])
		sorted = append(sorted, *row)
	}
	return sorted
}

func (tb *testbed) requestRows() []RequestRow {
	var rows []RequestRow
	for i, caller := range tb.requestCallers {
		report := tb.observations.Requests[i]
		latency := standin.NewLatencyHistogram()
		caller.AddLatency(latency)
		row := RequestRow{
			Service:       caller.Service,
			Sent:          report.Sent,
			Answered:      report.Answered,
			Refused:       report.Refused,
			Unknown:       report.Unknown,
			Attempts:      report.Attempts,
			NotConnected:  report.NotConnected,
			TimedOut:      report.TimedOut,
			Disconnected:  report.Disconnected,
			Skipped:       report.Skipped,
			RunTwice:      report.RunTwice,
			RefusedButRun: report.RefusedButRun,
			Mismatched:    report.Mismatched,
			Reasons:       report.Reasons,
		}
		row.Median, row.P99 = quantiles(latency)
		rows = append(rows, row)
	}
	return rows
}

func quantiles(latency *hdrhistogram.Histogram) (median, p99 Milliseconds) {
	const microsecondsPerMillisecond = 1000
	at := func(quantile float64) Milliseconds {
		return Milliseconds(float64(latency.ValueAtQuantile(quantile)) / microsecondsPerMillisecond)
	}
	return at(50), at(99)
}

// imbalanceRows compares the load of the servers of each service while all data
// centres were in service.
func (tb *testbed) imbalanceRows() []ImbalanceRow {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	var rows []ImbalanceRow
	for _, service := range tb.set.Services {
		var work []float64
		for _, s := range tb.set.ServersOf(service.Name) {
			if !tb.samples.drained[s.Name] {
				work = append(work, float64(tb.samples.workAtCentreOut[s.Name]-tb.samples.workAtWarmupEnd[s.Name]))
			}
		}
		row := NewImbalanceRow(work)
		row.Service, row.Unit = service.Name, "requests"
		if service.Kind == config.KindFlow {
			row.Unit = "new flows"
		}
		rows = append(rows, row)
	}
	return rows
}

// NewImbalanceRow returns the mean and the spread of the work of some servers.
func NewImbalanceRow(work []float64) ImbalanceRow {
	row := ImbalanceRow{Servers: len(work)}
	if len(work) == 0 {
		return row
	}
	var sum, squares float64
	for _, x := range work {
		sum += x
	}
	row.Mean = sum / float64(len(work))
	if row.Mean == 0 {
		return row
	}
	for _, x := range work {
		squares += (x - row.Mean) * (x - row.Mean)
	}
	row.MaxOverMean = slices.Max(work) / row.Mean
	row.StdDevOverMean = math.Sqrt(squares/float64(len(work))) / row.Mean
	return row
}

func (tb *testbed) secondRows() []SecondRow {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	var rows []SecondRow
	var before flowTotals
	for i, s := range tb.samples.flowsBySecond {
		end := tb.startTime.Add(time.Duration(i+1) * time.Second)
		rows = append(rows, SecondRow{
			Second:       i,
			Phase:        tb.observations.phaseAt(end).Phase,
			FlowMessages: s.messages - before.messages,
			FlowsOpened:  s.opened - before.opened,
			FlowsBroken:  s.broken - before.broken,
		})
		before = s
	}
	for _, caller := range tb.requestCallers {
		for _, s := range caller.OutcomesBySecond() {
			i := int(s.Start.Sub(tb.startTime) / time.Second)
			if i < 0 || i >= len(rows) {
				continue
			}
			rows[i].Answered += s.Answered
			rows[i].Refused += s.Refused
			rows[i].Unknown += s.Unknown
		}
	}
	return rows
}

func (tb *testbed) controlRows() []ControlRow {
	after := tb.sentByHost()
	tb.mu.Lock()
	defer tb.mu.Unlock()
	var rows []ControlRow
	for _, host := range tb.hosts {
		id := host.settings.Host
		first, ok := tb.samples.sentAtWarmupEnd[id]
		if !ok {
			continue
		}
		if rate, ok := after[id].Rate(first); ok {
			rows = append(rows, ControlRow{Host: id, BytesPerSecond: rate})
		}
	}
	return rows
}

func (tb *testbed) coldRows() []ColdRow {
	var rows []ColdRow
	for id, counts := range tb.observations.FlowServers {
		rows = append(rows, ColdRow{id, counts.Warmup})
	}
	for id, counts := range tb.observations.RequestServers {
		rows = append(rows, ColdRow{id, counts.Warmup})
	}
	slices.SortFunc(rows, func(a, b ColdRow) int { return cmp.Compare(a.Server, b.Server) })
	return rows
}
