package demo

import (
	"context"
	"fmt"
	"time"

	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/standin"
)

// samples holds the counts that are taken while the demonstration runs.
type samples struct {
	ledger        standin.Ledger
	flowsBySecond []flowTotals
	drained       map[fleet.ServerID]bool
	// workAtWarmupEnd and workAtCentreOut count the new flows or requests of each
	// server until the end of the warm-up and until a data centre was taken out
	// of service.
	workAtWarmupEnd, workAtCentreOut map[fleet.ServerID]uint64
	// sentAtWarmupEnd is what each host had reported by then as sent to its peers.
	sentAtWarmupEnd map[fleet.HostID]SentSample
}

// flowTotals holds the totals of all flow callers at the end of a second.
type flowTotals struct {
	messages, opened, broken uint64
}

// Name and label of the /status counters of the bytes that a host sent to its
// peers.
const (
	peerBytesCounter = "rattanthread_peer_bytes_total,"
	sentLabel        = "direction=out"
)

// sampleEverySecond records the flow totals at the end of each second and prints
// the progress line.
func (tb *testbed) sampleEverySecond(ctx context.Context) {
	for {
		tb.mu.Lock()
		n := len(tb.samples.flowsBySecond)
		tb.mu.Unlock()
		if !sleepUntil(ctx, tb.startTime.Add(time.Duration(n+1)*time.Second)) {
			return
		}
		totals := tb.sumFlows()
		tb.mu.Lock()
		tb.samples.flowsBySecond = append(tb.samples.flowsBySecond, totals)
		tb.mu.Unlock()
		tb.printProgress(n+1, totals)
	}
}

func (tb *testbed) sumFlows() flowTotals {
	var total flowTotals
	for _, caller := range tb.flowCallers {
		report := caller.Report()
		total.messages += report.Messages
		total.opened += report.Opened
		total.broken += uint64(len(report.Breaks))
	}
	return total
}

func (tb *testbed) printProgress(second int, totals flowTotals) {
	if tb.demo.Progress == nil {
		return
	}
	tb.mu.Lock()
	phase := tb.observations.phaseAt(time.Now())
	tb.mu.Unlock()
	_, _ = fmt.Fprintf(tb.demo.Progress, "\r\033[K%3ds %s %s: %d flows opened, %d broken",
		second, phase.Phase, phase.Target, totals.opened, totals.broken)
}

// samplePhaseStart takes the samples that are due at the start of a phase.
func (tb *testbed) samplePhaseStart(phase Phase) {
	switch phase {
	case PhasePlannedStop:
		work := tb.workByServer()
		sent := tb.sentByHost()
		tb.mu.Lock()
		defer tb.mu.Unlock()
		tb.samples.workAtWarmupEnd = work
		tb.samples.sentAtWarmupEnd = sent
	case PhaseCentreOut:
		work := tb.workByServer()
		tb.mu.Lock()
		defer tb.mu.Unlock()
		tb.samples.workAtCentreOut = work
	default:
	}
}

// workByServer returns the number of new flows or started requests of each server.
func (tb *testbed) workByServer() map[fleet.ServerID]uint64 {
	work := make(map[fleet.ServerID]uint64)
	for id, s := range tb.flowServers {
		work[id] = s.Counts().NewFlows
	}
	for id, s := range tb.requestServers {
		work[id] = s.Counts().Runs
	}
	return work
}

func (tb *testbed) sentByHost() map[fleet.HostID]SentSample {
	sent := make(map[fleet.HostID]SentSample)
	now := time.Now()
	for _, host := range tb.hosts {
		if sample, ok := tb.tracker.SentBytes(now, host.settings.Host); ok {
			sent[host.settings.Host] = sample
		}
	}
	return sent
}
