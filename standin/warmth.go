package standin

import (
	"math"
	"time"
)

// Warmth models what a backend server bears after a start. A cold server bears
// ColdRate new flows or requests a second. Work warms it: what it bears doubles
// growthSteps times within WarmupTime, counting only the time in which it
// serves. A warm server bears any rate. Above fallFactor times what it bears,
// a server falls over. Warmth is not safe for concurrent use.
type Warmth struct {
	ColdRate   float64 // new flows or requests a second; zero means always warm
	WarmupTime time.Duration

	progress float64     // from 0, cold, to 1, warm
	busy     time.Time   // when it last got or served work
	arrivals []time.Time // of the last window
	counts   WarmthCounts
}

// WarmthCounts tell how the server's cold starts went.
type WarmthCounts struct {
	// ColdArrivals is the new work that arrived while the server was not warm.
	ColdArrivals uint64 `json:"cold_arrivals"`
	// OverBound is the part of it that exceeded what the server bore then.
	OverBound uint64 `json:"over_bound"`
	// PeakRatio is the highest ratio of arrivals in a window to its bound.
	PeakRatio float64 `json:"peak_ratio"`
	Starts    uint64  `json:"starts"`
	FallOvers uint64  `json:"fall_overs"`
}

const (
	warmthWindow = time.Second // of a cold server's rate
	fallFactor   = 2           // times the bound
	growthSteps  = 4           // doublings of the bound from cold to warm
	idleLimit    = time.Second // of a pause in the work that still warms
)

// Cold makes the server cold.
func (w *Warmth) Cold() {
	w.progress = 0
	w.busy = time.Time{}
	w.arrivals = w.arrivals[:0]
	w.counts.Starts++
}

// Warm makes the server warm at once.
func (w *Warmth) Warm() {
	w.progress = 1
}

// IsWarm reports whether the server bears any rate.
func (w *Warmth) IsWarm() bool {
	return w.progress >= 1 || w.ColdRate <= 0 || w.WarmupTime <= 0
}

// Arrive counts one piece of new work. It reports false when the server falls
// over under it; the server is cold then.
func (w *Warmth) Arrive(now time.Time) bool {
	if w.IsWarm() {
		return true
	}
	if w.busy.IsZero() {
		w.busy = now
	}
	w.forget(now)
	w.arrivals = append(w.arrivals, now)
	w.counts.ColdArrivals++
	bound := w.bound()
	load := float64(len(w.arrivals))
	w.counts.PeakRatio = max(w.counts.PeakRatio, load/bound)
	if load > bound {
		w.counts.OverBound++
	}
	if load > fallFactor*bound {
		w.counts.FallOvers++
		w.Cold()
		return false
	}
	return true
}

// Serve counts one piece of work as done, which warms the server. Time without
// work does not, but for idleLimit.
func (w *Warmth) Serve(now time.Time) {
	if w.IsWarm() || w.busy.IsZero() {
		return
	}
	worked := min(idleLimit, now.Sub(w.busy))
	w.progress += worked.Seconds() / w.WarmupTime.Seconds()
	w.busy = now
}

// Counts returns how the cold starts went so far.
func (w *Warmth) Counts() WarmthCounts {
	return w.counts
}

// slowdown is how much longer work takes than at a warm server.
func (w *Warmth) slowdown() float64 {
	const coldSlowdown = 4 // times the warm service time
	if w.IsWarm() {
		return 1
	}
	return coldSlowdown - (coldSlowdown-1)*w.progress
}

// bound is the new work that the server bears in one window.
func (w *Warmth) bound() float64 {
	rate := w.ColdRate * math.Pow(2, growthSteps*w.progress)
	return max(1, math.Ceil(rate*warmthWindow.Seconds()))
}

func (w *Warmth) forget(now time.Time) {
	first := 0
	for first < len(w.arrivals) && now.Sub(w.arrivals[first]) >= warmthWindow {
		first++
	}
	w.arrivals = append(w.arrivals[:0], w.arrivals[first:]...)
}
