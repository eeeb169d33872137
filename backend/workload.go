package backend

import (
	"math"
	"time"
)

const (
	// loadWindow is the time constant over which work and demand are averaged.
	loadWindow = 5 * time.Second
	// servedShare of what a server was allowed and asked to do must have been
	// served for it to count as at work.
	servedShare = 0.25
	// minServed is the average work in a loadWindow below which a server is idle.
	minServed = 0.1
)

// workload averages the work that a server has served and the demand for it, both
// decaying over loadWindow.
type workload struct {
	served float64
	wanted float64
}

func (l *workload) serve(units float64) { l.served += units }

func (l *workload) want(units int) { l.wanted += float64(units) }

func (l *workload) decay(passed time.Duration) {
	factor := math.Exp(-passed.Seconds() / loadWindow.Seconds())
	l.served *= factor
	l.wanted *= factor
}

// atWork reports whether the server has lately done its part: a fair share of
// what its bound allows, or of the demand if that is less. A server for which
// there is little demand warms up on it; an idle one does not warm up.
func (l *workload) atWork(rate float64) bool {
	asked := math.Min(l.wanted, rate*loadWindow.Seconds())
	return l.served >= math.Max(minServed, servedShare*asked)
}
