package backend

import (
	"math"
	"time"
)

const (
	// loadWindow is the time constant over which work and demand are averaged.
	loadWindow = 5 * time.Second
	// minServedShare is the share of the allowed and requested work that a server
	// must have served to count as active.
	minServedShare = 0.25
	// minServed is the average work per loadWindow below which a server is idle.
	minServed = 0.1
)

// workload holds the work that a server has served and the demand for it. Both
// decay exponentially over loadWindow.
type workload struct {
	served float64
	wanted float64
}

func (w *workload) addServed(units float64) { w.served += units }

func (w *workload) addWanted(units int) { w.wanted += float64(units) }

func (w *workload) decay(elapsed time.Duration) {
	factor := math.Exp(-elapsed.Seconds() / loadWindow.Seconds())
	w.served *= factor
	w.wanted *= factor
}

// isActive reports whether the server has recently served at least minServedShare
// of the work that its bound allows, or of the demand if that is less. A server
// with little demand can thus warm up; an idle one does not.
func (w *workload) isActive(rate float64) bool {
	expected := math.Min(w.wanted, rate*loadWindow.Seconds())
	return w.served >= math.Max(minServed, minServedShare*expected)
}
