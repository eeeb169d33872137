package trial

import (
	"context"
	"fmt"
	"time"

	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/standin"
)

// samples are the counts that are taken while the trial runs.
type samples struct {
	ledger   standin.Ledger
	seconds  []flowSecond
	excluded map[fleet.ServerID]bool // drained servers
	// work is what each server had done when the warm-up ended and when a data
	// centre left.
	workBefore, workAfter map[fleet.ServerID]uint64
	// sent is what each host had sent, by its own count.
	sentBefore map[fleet.HostID]Sent
}

// flowSecond is what flow callers saw by the end of a second.
type flowSecond struct {
	messages, opened, broken uint64
}

// The counters of /status that hold what a host sent to its peers.
const (
	peerBytesCounter = "rattanthread_peer_bytes_total,"
	sentLabel        = "direction=out"
)

// sample notes the flow callers' counts at the end of each second and writes
// the progress line.
func (w *world) sample(ctx context.Context) {
	for {
		w.mu.Lock()
		n := len(w.samples.seconds)
		w.mu.Unlock()
		if !sleepUntil(ctx, w.began.Add(time.Duration(n+1)*time.Second)) {
			return
		}
		second := w.flowTotals()
		w.mu.Lock()
		w.samples.seconds = append(w.samples.seconds, second)
		w.mu.Unlock()
		w.showProgress(n+1, second)
	}
}

func (w *world) flowTotals() flowSecond {
	var total flowSecond
	for _, c := range w.flowCallers {
		report := c.Report()
		total.messages += report.Messages
		total.opened += report.Opened
		total.broken += uint64(len(report.Breaks))
	}
	return total
}

func (w *world) showProgress(second int, total flowSecond) {
	if w.trial.Progress == nil {
		return
	}
	w.mu.Lock()
	phase := w.evidence.phaseAt(time.Now())
	w.mu.Unlock()
	_, _ = fmt.Fprintf(w.trial.Progress, "\r\033[K%3ds %s %s: %d flows opened, %d broken",
		second, phase.Phase, phase.Target, total.opened, total.broken)
}

// markPhase takes the counts that belong to the start of a phase.
func (w *world) markPhase(phase Phase) {
	switch phase {
	case PhasePlannedStop:
		work := w.work()
		sent := w.sent()
		w.mu.Lock()
		defer w.mu.Unlock()
		w.samples.workBefore = work
		w.samples.sentBefore = sent
	case PhaseCentreOut:
		work := w.work()
		w.mu.Lock()
		defer w.mu.Unlock()
		w.samples.workAfter = work
	default:
	}
}

// work is how many flows and requests each server has been given.
func (w *world) work() map[fleet.ServerID]uint64 {
	work := make(map[fleet.ServerID]uint64)
	for id, s := range w.flowServers {
		work[id] = s.Counts().NewFlows
	}
	for id, s := range w.requestServers {
		work[id] = s.Counts().Runs
	}
	return work
}

func (w *world) sent() map[fleet.HostID]Sent {
	sent := make(map[fleet.HostID]Sent)
	now := time.Now()
	for _, p := range w.processes {
		if count, ok := w.watch.SentBytes(now, p.settings.Host); ok {
			sent[p.settings.Host] = count
		}
	}
	return sent
}
