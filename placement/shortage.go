package placement

import (
	"time"

	"github.com/rattanthread/rattanthread/catalogue"
	"github.com/rattanthread/rattanthread/fleet"
)

// shortageTime is the time over which the tries of new flows that have failed are
// compared with the requests that were answered.
const shortageTime = 400 * time.Millisecond

// minFailedOpenings is how many tries must have failed in that time.
const minFailedOpenings = 3

// Shortage tells whether more new flows of a host fail than requests on open flows
// are answered, as in a data centre that was evacuated and is then cut off: its own
// servers take no new flow, and others can't be reached. The zero value is ready for
// use. It belongs to one goroutine.
type Shortage struct {
	since            time.Time
	failed, answered int
	short            bool
	service          fleet.ServiceName
}

// Failed notes that a try to open a flow to a service has failed, or can't succeed.
func (s *Shortage) Failed(now time.Time, service fleet.ServiceName) {
	s.judge(now)
	s.failed, s.service = s.failed+1, service
}

// Answered notes that a request was answered.
func (s *Shortage) Answered(now time.Time) {
	s.judge(now)
	s.answered++
}

// Short returns the service that new flows can't be opened to, if any.
func (s *Shortage) Short(now time.Time) (fleet.ServiceName, bool) {
	s.judge(now)
	return s.service, s.short
}

// judge ends a span of time. One in which nothing was seen changes nothing.
func (s *Shortage) judge(now time.Time) {
	if now.Sub(s.since) < shortageTime {
		return
	}
	if s.failed+s.answered > 0 {
		s.short = s.failed >= minFailedOpenings && s.failed > s.answered
	}
	s.since, s.failed, s.answered = now, 0, 0
}

// Isolated reports whether callers are better served by other hosts: this one
// reaches no server, or none of those that take its new flows. Where the own data
// centre has some of these, the service itself may be down, which other hosts can't
// help.
func (c *Chooser) Isolated(now time.Time, known *catalogue.Catalogue) bool {
	if c.Isolation.Isolated(now) {
		return true
	}
	service, short := c.Shortage.Short(now)
	if !short {
		return false
	}
	pool := known.Pool(service)
	return len(pool.All) > 0 && len(pool.Places[c.DataCentre]) == 0 && !c.Other(pool, 0)
}
