package standin

import (
	"math"
	"time"
)

// Warmup models the capacity of a backend server after a start. A cold server
// handles ColdRate new flows or requests a second. Its capacity doubles
// rateDoublings times within WarmupTime, counting only the time in which it
// works. A warm server handles any rate. Above crashFactor times its capacity, a
// server crashes. Warmup is not safe for concurrent use.
type Warmup struct {
	ColdRate   float64 // new flows or requests a second; zero means that the server is always warm
	WarmupTime time.Duration

	progress float64     // from 0, cold, to 1, warm
	lastWork time.Time   // time of the latest completion, or of the first arrival if none completed
	arrivals []time.Time // within arrivalWindow
	counts   WarmupCounts
}

// WarmupCounts holds the counters of a Warmup.
type WarmupCounts struct {
	// ColdArrivals is the number of new flows or requests that arrived while the server
	// was not warm.
	ColdArrivals uint64 `json:"cold_arrivals"`
	// OverBound is the number of them that exceeded the server's bound at that time.
	OverBound uint64 `json:"over_bound"`
	// PeakRatio is the highest ratio of the arrivals in a window to the bound.
	PeakRatio float64 `json:"peak_ratio"`
	Starts    uint64  `json:"starts"`
	Crashes   uint64  `json:"fall_overs"`
}

const (
	arrivalWindow   = time.Second // over which the rate of arrivals is measured
	crashFactor     = 2           // times the bound
	rateDoublings   = 4           // doublings of the bound from cold to warm
	maxWorkInterval = time.Second // longest pause in the work that counts towards the warm-up
)

// Reset makes the server cold.
func (w *Warmup) Reset() {
	w.progress = 0
	w.lastWork = time.Time{}
	w.arrivals = w.arrivals[:0]
	w.counts.Starts++
}

// Finish makes the server warm at once.
func (w *Warmup) Finish() {
	w.progress = 1
}

// IsWarm reports whether the server handles any rate.
func (w *Warmup) IsWarm() bool {
	return w.progress >= 1 || w.ColdRate <= 0 || w.WarmupTime <= 0
}

// RecordArrival records one new flow or request. It returns false if the server
// crashes under the load; the server is then cold.
func (w *Warmup) RecordArrival(now time.Time) bool {
	if w.IsWarm() {
		return true
	}
	if w.lastWork.IsZero() {
		w.lastWork = now
	}
	w.dropOldArrivals(now)
	w.arrivals = append(w.arrivals, now)
	w.counts.ColdArrivals++
	bound := w.bound()
	load := float64(len(w.arrivals))
	w.counts.PeakRatio = max(w.counts.PeakRatio, load/bound)
	if load > bound {
		w.counts.OverBound++
	}
	if load > crashFactor*bound {
		w.counts.Crashes++
		w.Reset()
		return false
	}
	return true
}

// RecordCompletion records that work was completed, and advances the warm-up by
// the time since the previous work, but by maxWorkInterval at most.
func (w *Warmup) RecordCompletion(now time.Time) {
	if w.IsWarm() || w.lastWork.IsZero() {
		return
	}
	worked := min(maxWorkInterval, now.Sub(w.lastWork))
	w.progress += worked.Seconds() / w.WarmupTime.Seconds()
	w.lastWork = now
}

// Counts returns the current counters.
func (w *Warmup) Counts() WarmupCounts {
	return w.counts
}

// slowdown returns the factor by which work takes longer than at a warm server.
func (w *Warmup) slowdown() float64 {
	const coldSlowdown = 4 // times the warm service time
	if w.IsWarm() {
		return 1
	}
	return coldSlowdown - (coldSlowdown-1)*w.progress
}

// bound returns the number of arrivals that the server can handle in one window.
func (w *Warmup) bound() float64 {
	rate := w.ColdRate * math.Pow(2, rateDoublings*w.progress)
	return max(1, math.Ceil(rate*arrivalWindow.Seconds()))
}

func (w *Warmup) dropOldArrivals(now time.Time) {
	first := 0
	for first < len(w.arrivals) && now.Sub(w.arrivals[first]) >= arrivalWindow {
		first++
	}
	w.arrivals = append(w.arrivals[:0], w.arrivals[first:]...)
}
