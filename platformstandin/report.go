package platformstandin

import (
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Report is what the clients and targets of a site observed.
type Report struct {
	// Classes holds the results by class of requests.
	Classes map[string]*ClassReport
	// Violations lists the violations of rules in the order of their detection.
	Violations []string
	// Unready is the number of hosts that were running but not ready at the end.
	Unready int
	// Refused is the number of flows that hosts refused for lack of capacity.
	Refused int
	// StoreCalls is the number of calls to the store, and StorePrice the price of those
	// that were served; see [Store.Price].
	StoreCalls int
	StorePrice float64
	// Seconds holds the credit of the requests that started in each second.
	Seconds []Credit
}

// Credit is the credit that was earned and the credit that was available.
type Credit struct{ Earned, Available float64 }

// Share returns the share of the available credit that was earned.
func (c Credit) Share() float64 {
	if c.Available == 0 {
		return 1
	}
	return c.Earned / c.Available
}

// ClassReport is the result of the requests of a class.
type ClassReport struct {
	Requests, InTime, Late, Failed int
	Credit                         Credit
	latency                        *hdrhistogram.Histogram
}

// Latency returns a percentile, such as 99, of the time until the response.
func (c *ClassReport) Latency(percentile float64) time.Duration {
	if c.latency == nil {
		return 0
	}
	return time.Duration(c.latency.ValueAtQuantile(percentile)) * time.Microsecond
}

// Served returns the share of all requests that were served.
func (r *Report) Served() float64 {
	requests, failed := 0, 0
	for _, class := range r.Classes {
		requests += class.Requests
		failed += class.Failed
	}
	if requests == 0 {
		return 0
	}
	return 1 - float64(failed)/float64(requests)
}

// CreditShare returns the share of the available credit that was earned.
func (r *Report) CreditShare() float64 {
	var sum Credit
	for _, class := range r.Classes {
		sum.Earned += class.Credit.Earned
		sum.Available += class.Credit.Available
	}
	return sum.Share()
}

// WriteTable writes the report as text.
func (r *Report) WriteTable(w io.Writer) error {
	var err error
	line := func(format string, args ...any) {
		if err == nil {
			_, err = fmt.Fprintf(w, format+"\n", args...)
		}
	}
	line("worth %.3f  served %.4f  store calls %d, price %.1f", r.CreditShare(), r.Served(), r.StoreCalls, r.StorePrice)
	line("%-8s %7s %7s %6s %7s %9s %9s", "class", "asked", "in time", "late", "failed", "p50 ms", "p99 ms")
	for _, name := range []string{"feed", "order", "sheet"} {
		if c := r.Classes[name]; c != nil {
			line("%-8s %7d %7d %6d %7d %9.1f %9.1f", name, c.Requests, c.InTime, c.Late, c.Failed,
				milliseconds(c.Latency(50)), milliseconds(c.Latency(99)))
		}
	}
	for i, second := range r.Seconds {
		if second.Share() < 0.98 {
			line("second %d  %.3f of the credit", i, second.Share())
		}
	}
	if r.Refused > 0 {
		line("%d flows refused for lack of capacity", r.Refused)
	}
	if r.Unready > 0 {
		line("%d hosts are not ready", r.Unready)
	}
	for _, violation := range r.Violations {
		line("BROKEN %s", violation)
	}
	return err
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// maxViolations is the maximum number of violations in a report.
const maxViolations = 20

// addViolation adds a violation of a rule to the report. The caller must hold s.mu.
func (s *Site) addViolation(violation string) {
	if len(s.report.Violations) < maxViolations {
		s.report.Violations = append(s.report.Violations, fmt.Sprintf("%.3f s: %s", time.Since(s.startedAt).Seconds(), violation))
	}
}

func (s *Site) newRequest(class Class) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastRequest++
	s.requestClass[s.lastRequest] = class
	return s.lastRequest
}

// recordRun records that a target started to run a request, and checks that requests
// that are not idempotent run at most once.
func (s *Site) recordRun(request uint64) {
	s.runCount[request]++
	class, ok := s.requestClass[request]
	if !ok {
		s.addViolation("UNASKED: a target received a request that no client sent")
	}
	if s.runCount[request] > 1 && !class.Idempotent {
		s.addViolation("a request that must not be repeated ran twice")
	}
}

// checkNewFlow checks that a target may receive a new flow.
func (s *Site) checkNewFlow(t *Target, packet segment) {
	service := "bench"
	if packet.flow.route != feedRoute && packet.flow.route != orderRoute {
		service = "press"
	}
	if t.Service != service {
		s.addViolation("ROUTE: " + t.ID + " received a flow of another service")
	}
	if t.state == Draining && time.Since(t.since) > s.propagationBound && s.boundsApply() {
		s.addViolation("DRAIN: " + t.ID + " received a new flow")
	}
	if !t.recordRemovedAt.IsZero() && time.Since(t.recordRemovedAt) > s.propagationBound && s.boundsApply() {
		s.addViolation("DRAIN: " + t.ID + " received a new flow after its record was removed")
	}
	if t.flows[packet.flow] == nil {
		s.checkColdRate(t)
	}
	if elapsed, evacuated := s.evacuatedFor(t.Zone); evacuated && elapsed > 5*time.Second && s.boundsApply() {
		s.addViolation("EVAC: " + t.ID + " received a new flow")
	}
}

// checkFlowPacket checks that a packet of an open flow reaches the target of the flow.
func (s *Site) checkFlowPacket(t *Target, packet segment) {
	if owner := s.owners[packet.flow]; owner != nil && owner != t && s.undisturbed(owner) {
		s.addViolation("FLOW: a packet of a flow on " + owner.ID + " reached " + t.ID)
	}
}

// recordResult adds a request that has ended to the report.
func (s *Site) recordResult(c *client, ok bool, start time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	took := time.Since(start)
	class := s.report.Classes[c.class.Name]
	if class.latency == nil {
		class.latency = hdrhistogram.New(1, 10_000_000, 3)
	}
	earned := 0.0
	class.Requests++
	switch {
	case !ok:
		class.Failed++
	case took > c.class.Objective:
		class.Late++
		earned = c.class.LateCredit
	default:
		class.InTime++
		earned = c.class.Credit
	}
	if ok {
		_ = class.latency.RecordValue(took.Microseconds())
	}
	class.Credit.Earned += earned
	class.Credit.Available += c.class.Credit
	second := int(start.Sub(s.startedAt) / time.Second)
	for len(s.report.Seconds) <= second {
		s.report.Seconds = append(s.report.Seconds, Credit{})
	}
	s.report.Seconds[second].Earned += earned
	s.report.Seconds[second].Available += c.class.Credit
}

func (s *Site) finalReport() *Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	report := s.report
	report.Violations = slices.Clone(s.report.Violations)
	report.Refused = len(s.refusedFlows)
	report.StoreCalls = s.Store.Calls()
	report.StorePrice = s.Store.Price()
	return &report
}
