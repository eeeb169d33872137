package platformstandin

import (
	"fmt"
	"time"
)

// What a target bears that has just started: coldRate new flows a second for
// coldTime. All hosts together must keep to coldRate*ColdOver+ColdSlack.
const (
	coldTime = 4 * time.Second
	coldRate = 2.0

	ColdOver  = 1.5
	ColdSlack = 5.0
)

// coldWindow is the span in which new flows are counted.
const coldWindow = time.Second

// returnCold lets all targets of a service crash, and others take their place
// that are cold.
func (s *Site) returnCold() {
	time.Sleep(3 * time.Second)
	s.locked(func() {
		for _, old := range append([]*Target(nil), s.targets...) {
			if old.Service != "press" {
				continue
			}
			old.crash(Refusing)
			next := s.addTarget(old.Service, old.Zone, old.Work)
			next.warmAt = time.Now().Add(coldTime)
		}
	})
}

// cold returns for how much longer a target is cold.
func (t *Target) cold() time.Duration { return max(0, time.Until(t.warmAt)) }

// openedCold checks that a cold target does not get too many new flows.
func (s *Site) openedCold(t *Target) {
	if t.cold() == 0 {
		return
	}
	now := time.Now()
	recent := 1
	for _, at := range t.coldOpened {
		if now.Sub(at) < coldWindow {
			recent++
		}
	}
	t.coldOpened = append(t.coldOpened, now)
	if bound := coldRate*ColdOver + ColdSlack; float64(recent) > bound {
		s.breaks(fmt.Sprintf("FAILBACK: %s got %d new flows in a second while it was cold", t.ID, recent))
	}
}
