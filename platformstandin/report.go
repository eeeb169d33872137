package platformstandin

import (
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Report is what the clients and targets of a site have seen.
type Report struct {
	// Classes holds the requests by class.
	Classes map[string]*ClassReport
	// Broken lists the rules that did not hold, in the order of time.
	Broken []string
	// Unready is how many hosts that ran at the end took no traffic.
	Unready int
	// Calls is how many calls the store has had, and Price what those that it served
	// have cost, in calls that are not serializable.
	Calls int
	Price float64
	// Seconds holds the credit earned and owed in each second.
	Seconds []Credit
}

// Credit is what was earned of what was owed.
type Credit struct{ Earned, Owed float64 }

// Share returns the part that was earned.
func (c Credit) Share() float64 {
	if c.Owed == 0 {
		return 1
	}
	return c.Earned / c.Owed
}

// ClassReport counts the requests of a class.
type ClassReport struct {
	Asked, InTime, Late, Failed int
	Credit                      Credit
	latency                     *hdrhistogram.Histogram
}

// Latency returns a quantile of the time until an answer, such as 99.
func (c *ClassReport) Latency(quantile float64) time.Duration {
	if c.latency == nil {
		return 0
	}
	return time.Duration(c.latency.ValueAtQuantile(quantile)) * time.Microsecond
}

// Served returns the share of all requests that got an answer.
func (r *Report) Served() float64 {
	asked, failed := 0, 0
	for _, class := range r.Classes {
		asked += class.Asked
		failed += class.Failed
	}
	if asked == 0 {
		return 0
	}
	return 1 - float64(failed)/float64(asked)
}

// Worth returns the credit earned of that owed.
func (r *Report) Worth() float64 {
	var sum Credit
	for _, class := range r.Classes {
		sum.Earned += class.Credit.Earned
		sum.Owed += class.Credit.Owed
	}
	return sum.Share()
}

// WriteTable writes the report for a reader.
func (r *Report) WriteTable(w io.Writer) error {
	var err error
	line := func(format string, args ...any) {
		if err == nil {
			_, err = fmt.Fprintf(w, format+"\n", args...)
		}
	}
	line("worth %.3f  served %.4f  store calls %d, price %.1f", r.Worth(), r.Served(), r.Calls, r.Price)
	line("%-8s %7s %7s %6s %7s %9s %9s", "class", "asked", "in time", "late", "failed", "p50 ms", "p99 ms")
	for _, name := range []string{"feed", "order", "sheet"} {
		if c := r.Classes[name]; c != nil {
			line("%-8s %7d %7d %6d %7d %9.1f %9.1f", name, c.Asked, c.InTime, c.Late, c.Failed,
				milliseconds(c.Latency(50)), milliseconds(c.Latency(99)))
		}
	}
	for i, second := range r.Seconds {
		if second.Share() < 0.98 {
			line("second %d  %.3f of the credit", i, second.Share())
		}
	}
	if r.Unready > 0 {
		line("%d hosts are not ready", r.Unready)
	}
	for _, broken := range r.Broken {
		line("BROKEN %s", broken)
	}
	return err
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// maxBroken bounds how many broken rules are listed.
const maxBroken = 20

// breaks notes a broken rule. The caller holds the lock.
func (s *Site) breaks(what string) {
	if len(s.report0.Broken) < maxBroken {
		s.report0.Broken = append(s.report0.Broken, fmt.Sprintf("%.3f s: %s", time.Since(s.start0).Seconds(), what))
	}
}

func (s *Site) newRequest(class Class) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests++
	s.pending[s.requests] = class
	return s.requests
}

// ran checks that a request that must not be repeated runs once.
func (s *Site) ran(request uint64) {
	s.runs[request]++
	class, ok := s.pending[request]
	if !ok {
		s.breaks("UNASKED: a request that no client has sent")
	}
	if s.runs[request] > 1 && !class.Idempotent {
		s.breaks("a request that must not be repeated ran twice")
	}
}

// opened checks that a target may get a new flow.
func (s *Site) opened(t *Target, p segment) {
	service := "bench"
	if p.flow.route != feedRoute && p.flow.route != orderRoute {
		service = "press"
	}
	if t.Service != service {
		s.breaks("ROUTE: " + t.ID + " got a flow of another service")
	}
	if t.state == Draining && time.Since(t.since) > s.bound && s.storeCalm() {
		s.breaks("DRAIN: " + t.ID + " got a new flow")
	}
	if t.flows[p.flow] == nil {
		s.openedCold(t)
	}
	if since, out := s.evacuated(t.Zone); out && since > 5*time.Second && s.storeCalm() {
		s.breaks("EVAC: " + t.ID + " got a new flow")
	}
}

// strayed checks that packets of an open flow reach its own target.
func (s *Site) strayed(t *Target, p segment) {
	if owner := s.owners[p.flow]; owner != nil && owner != t && s.calm(owner) {
		s.breaks("FLOW: a packet of a flow on " + owner.ID + " reached " + t.ID)
	}
}

// report counts a request that has ended.
func (s *Site) report(c *client, ok bool, start time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	took := time.Since(start)
	r := s.report0.Classes[c.class.Name]
	if r.latency == nil {
		r.latency = hdrhistogram.New(1, 10_000_000, 3)
	}
	earned := 0.0
	r.Asked++
	switch {
	case !ok:
		r.Failed++
	case took > c.class.Objective:
		r.Late++
		earned = c.class.Late
	default:
		r.InTime++
		earned = c.class.Worth
	}
	if ok {
		_ = r.latency.RecordValue(took.Microseconds())
	}
	r.Credit.Earned += earned
	r.Credit.Owed += c.class.Worth
	second := int(start.Sub(s.start0) / time.Second)
	for len(s.report0.Seconds) <= second {
		s.report0.Seconds = append(s.report0.Seconds, Credit{})
	}
	s.report0.Seconds[second].Earned += earned
	s.report0.Seconds[second].Owed += c.class.Worth
}

func (s *Site) finish() *Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	report := s.report0
	report.Broken = slices.Clone(s.report0.Broken)
	report.Calls = s.Store.Calls()
	report.Price = s.Store.Price()
	return &report
}
