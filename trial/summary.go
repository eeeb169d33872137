package trial

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

// report makes the report of what was seen so far.
func (w *world) report() Report {
	w.collect()
	r := Report{
		Seed:         w.trial.Seed,
		Duration:     status.SecondsOf(w.trial.duration()),
		Phases:       w.evidence.Phases,
		BrokenFlows:  w.evidence.broken(),
		Flows:        w.flowRows(),
		Requests:     w.requestRows(),
		Imbalance:    w.imbalance(),
		Seconds:      w.secondRows(),
		ControlBytes: w.controlRows(),
		ColdServers:  w.coldRows(),
		Publications: w.evidence.Publications,
		HostCounters: w.watch.counters(),
		Faults:       Judge(&w.evidence),
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, err := range w.errs {
		r.Faults = append(r.Faults, Fault{Rule: RuleTrialGotThrough, Count: 1, Detail: err.Error()})
	}
	r.Passed = len(r.Faults) == 0
	return r
}

// collect takes the final counts of callers and servers.
func (w *world) collect() {
	e := &w.evidence
	for _, c := range w.flowCallers {
		e.Flows = append(e.Flows, c.Report())
	}
	for _, c := range w.requestCallers {
		e.Requests = append(e.Requests, c.Report())
	}
	e.FlowServers = make(map[fleet.ServerID]standin.FlowServerCounts)
	for id, s := range w.flowServers {
		e.FlowServers[id] = s.Counts()
	}
	e.RequestServers = make(map[fleet.ServerID]standin.RequestServerCounts)
	for id, s := range w.requestServers {
		e.RequestServers[id] = s.Counts()
	}
	e.Publications = w.watch.Publications()
	e.Reverted = w.watch.Reverted()
}

func (w *world) flowRows() []FlowRow {
	rows := make(map[fleet.ServiceName]*FlowRow)
	latencies := make(map[fleet.ServiceName]*hdrhistogram.Histogram)
	for i, c := range w.flowCallers {
		row := rows[c.Service]
		if row == nil {
			row = &FlowRow{Service: c.Service}
			rows[c.Service] = row
			latencies[c.Service] = standin.NewLatencyHistogram()
		}
		report := w.evidence.Flows[i]
		row.Opened += report.Opened
		row.NotOpened += report.NotOpened
		row.Established += report.Established
		row.Messages += report.Messages
		row.Resent += report.Resent
		row.Broken += uint64(len(report.Breaks))
		c.AddLatency(latencies[c.Service])
	}
	for id, counts := range w.evidence.FlowServers {
		if row := rows[w.flowServers[id].Service]; row != nil {
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

func (w *world) requestRows() []RequestRow {
	var rows []RequestRow
	for i, c := range w.requestCallers {
		r := w.evidence.Requests[i]
		latency := standin.NewLatencyHistogram()
		c.AddLatency(latency)
		row := RequestRow{
			Service:       c.Service,
			Sent:          r.Sent,
			Answered:      r.Answered,
			Refused:       r.Refused,
			Unknown:       r.Unknown,
			Attempts:      r.Attempts,
			NotConnected:  r.NotConnected,
			TimedOut:      r.TimedOut,
			Cut:           r.Disconnected,
			Skipped:       r.Skipped,
			RunTwice:      r.RunTwice,
			RefusedButRun: r.RefusedButRun,
			Crossed:       r.Mismatched,
			Reasons:       r.Reasons,
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

// imbalance compares the servers of each service while all data centres were in.
func (w *world) imbalance() []ImbalanceRow {
	w.mu.Lock()
	defer w.mu.Unlock()
	var rows []ImbalanceRow
	for _, service := range w.set.Services {
		var work []float64
		for _, s := range w.set.ServersOf(service.Name) {
			if !w.samples.excluded[s.Name] {
				work = append(work, float64(w.samples.workAfter[s.Name]-w.samples.workBefore[s.Name]))
			}
		}
		row := Compare(work)
		row.Service, row.Unit = service.Name, "requests"
		if service.Kind == config.KindFlow {
			row.Unit = "new flows"
		}
		rows = append(rows, row)
	}
	return rows
}

// Compare tells how unevenly work is spread.
func Compare(work []float64) ImbalanceRow {
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

func (w *world) secondRows() []SecondRow {
	w.mu.Lock()
	defer w.mu.Unlock()
	var rows []SecondRow
	var before flowSecond
	for i, s := range w.samples.seconds {
		end := w.began.Add(time.Duration(i+1) * time.Second)
		rows = append(rows, SecondRow{
			Second:       i,
			Phase:        w.evidence.phaseAt(end).Phase,
			FlowMessages: s.messages - before.messages,
			FlowsOpened:  s.opened - before.opened,
			FlowsBroken:  s.broken - before.broken,
		})
		before = s
	}
	for _, c := range w.requestCallers {
		for _, s := range c.OutcomesBySecond() {
			i := int(s.Start.Sub(w.began) / time.Second)
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

func (w *world) controlRows() []ControlRow {
	after := w.sent()
	w.mu.Lock()
	defer w.mu.Unlock()
	var rows []ControlRow
	for _, p := range w.processes {
		id := p.settings.Host
		first, ok := w.samples.sentBefore[id]
		if !ok {
			continue
		}
		if rate, ok := after[id].Rate(first); ok {
			rows = append(rows, ControlRow{Host: id, BytesPerSecond: rate})
		}
	}
	return rows
}

func (w *world) coldRows() []ColdRow {
	var rows []ColdRow
	for id, counts := range w.evidence.FlowServers {
		rows = append(rows, ColdRow{id, counts.Warmup})
	}
	for id, counts := range w.evidence.RequestServers {
		rows = append(rows, ColdRow{id, counts.Warmup})
	}
	slices.SortFunc(rows, func(a, b ColdRow) int { return cmp.Compare(a.Server, b.Server) })
	return rows
}
