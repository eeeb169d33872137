package platformstandin

import (
	"fmt"
	"time"
)

// A target that has just started is cold for warmupTime and accepts coldRate new
// flows per second. All hosts together may open at most coldRate*ColdOver+ColdSlack
// flows per second.
const (
	warmupTime = 4 * time.Second
	coldRate   = 2.0

	ColdOver  = 1.5
	ColdSlack = 5.0
)

// coldRateWindow is the time over which new flows are counted.
const coldRateWindow = time.Second

// replaceWithColdTargets crashes all targets of a service and adds cold ones in
// their place.
func (s *Site) replaceWithColdTargets() {
	time.Sleep(3 * time.Second)
	s.withLock(func() {
		for _, old := range append([]*Target(nil), s.targets...) {
			if old.Service != "press" {
				continue
			}
			old.crash(Refusing)
			replacement := s.addTarget(old.Service, old.Zone, old.ServiceTime)
			replacement.warmAt = time.Now().Add(warmupTime)
		}
	})
}

// warmupLeft returns the time until the target is warm.
func (t *Target) warmupLeft() time.Duration { return max(0, time.Until(t.warmAt)) }

// checkColdRate checks that a cold target does not receive too many new flows.
func (s *Site) checkColdRate(t *Target) {
	if t.warmupLeft() == 0 {
		return
	}
	now := time.Now()
	recent := 1
	for _, at := range t.coldOpenings {
		if now.Sub(at) < coldRateWindow {
			recent++
		}
	}
	t.coldOpenings = append(t.coldOpenings, now)
	if bound := coldRate*ColdOver + ColdSlack; float64(recent) > bound {
		s.addViolation(fmt.Sprintf("FAILBACK: %s received %d new flows in a second while it was cold", t.ID, recent))
	}
}
