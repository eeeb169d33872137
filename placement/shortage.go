package placement

import (
	"time"

	"github.com/rattanthread/rattanthread/catalogue"
	"github.com/rattanthread/rattanthread/fleet"
)

// shortageWindow is the period over which failed attempts to open flows are compared
// with completed requests.
const shortageWindow = 400 * time.Millisecond

// minFailedOpenings is how many attempts must fail within shortageWindow.
const minFailedOpenings = 3

// ShortageDetector detects that new flows fail for lack of reachable servers: more
// attempts to open a flow fail than requests on open flows complete. This happens in
// a data centre that is partitioned after an evacuation: its own servers accept no
// new flows, and the others can't be reached. The zero value is ready to use. It is
// not safe for concurrent use.
type ShortageDetector struct {
	windowStart       time.Time
	failed, completed int
	short             bool
	service           fleet.ServiceName
}

// RecordFailure records that an attempt to open a flow to a service failed or can't
// succeed.
func (s *ShortageDetector) RecordFailure(now time.Time, service fleet.ServiceName) {
	s.closeWindow(now)
	s.failed, s.service = s.failed+1, service
}

// RecordResponse records a completed request.
func (s *ShortageDetector) RecordResponse(now time.Time) {
	s.closeWindow(now)
	s.completed++
}

// Short returns the service of the last failed attempt, and whether there is a
// shortage.
func (s *ShortageDetector) Short(now time.Time) (fleet.ServiceName, bool) {
	s.closeWindow(now)
	return s.service, s.short
}

// closeWindow evaluates the current window if it is over. A window without events
// leaves the result unchanged.
func (s *ShortageDetector) closeWindow(now time.Time) {
	if now.Sub(s.windowStart) < shortageWindow {
		return
	}
	if s.failed+s.completed > 0 {
		s.short = s.failed >= minFailedOpenings && s.failed > s.completed
	}
	s.windowStart, s.failed, s.completed = now, 0, 0
}

// Isolated reports whether callers are better served by other hosts: this one can't
// reach any server, or none that accepts new flows. If the local data centre has such
// servers, the service itself may be down, and other hosts would not help.
func (c *Chooser) Isolated(now time.Time, current *catalogue.Catalogue) bool {
	if c.Isolation.Isolated(now) {
		return true
	}
	service, short := c.Shortage.Short(now)
	if !short {
		return false
	}
	pool := current.Pool(service)
	return len(pool.All) > 0 && len(pool.ByDataCentre[c.DataCentre]) == 0 && !c.HasAlternative(pool, 0)
}
