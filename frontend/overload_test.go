package frontend_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rattanthread/rattanthread/backend"
	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/request"
)

// model is a queueing model of one service in virtual time: Poisson arrivals at
// several entry hosts, and servers with two slots and a bounded queue. The entry
// hosts use request.Admission, backend.Picker, request.Budget and request.Retries
// as the front end does.
type model struct {
	rng       *rand.Rand
	now       time.Time
	events    []modelEvent
	sequence  int
	hosts     []*modelHost
	servers   []*modelServer
	limit     int // concurrent requests of one host
	attempts  int
	calls     int
	latencies []time.Duration // of responses before the deadline
	start     time.Time
}

type modelEvent struct {
	at       time.Time
	sequence int
	do       func()
}

type modelHost struct {
	admission request.Admission
	picker    backend.Picker
	budget    request.Budget
}

type modelServer struct {
	backend.Candidate
	serviceTime time.Duration // mean
	queue       []*modelCall
	running     int
	done        int
	busy        time.Duration
}

type modelCall struct {
	host     *modelHost
	server   *modelServer
	start    time.Time
	sent     time.Time
	deadline time.Time
	attempts int
}

const (
	modelSlots       = 2
	modelQueueLength = 8 // queued requests of a server above which it sheds
	modelServiceTime = 20 * time.Millisecond
	modelDeadline    = 500 * time.Millisecond
	modelDuration    = 20 * time.Second
)

var modelStart = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

// newModel returns a model of 9 hosts and 14 servers. slow is the number of servers with
// three times the service time and a third of the weight of the others.
func newModel(seed uint64, slow int, p pickerCase) *model {
	m := &model{rng: rand.New(rand.NewPCG(seed, 4)), now: modelStart, start: modelStart}
	for range 9 {
		h := &modelHost{}
		h.picker.Policy, h.picker.UseReports = p.policy, p.useReports
		m.hosts = append(m.hosts, h)
	}
	for i := range 14 {
		s := &modelServer{serviceTime: modelServiceTime}
		s.Candidate = backend.Candidate{Server: fleet.ServerID(fmt.Sprint("s", i)), Weight: 99, Slots: modelSlots}
		if i >= 14-slow {
			s.serviceTime, s.Weight = 3*modelServiceTime, 33
		}
		m.servers = append(m.servers, s)
	}
	m.limit = 12 // about four requests per slot, divided among the hosts
	return m
}

// capacity returns the capacity of all servers in requests per second.
func (m *model) capacity() float64 {
	total := 0.0
	for _, s := range m.servers {
		total += modelSlots / s.serviceTime.Seconds()
	}
	return total
}

func (m *model) schedule(d time.Duration, do func()) {
	m.sequence++
	e := modelEvent{m.now.Add(d), m.sequence, do}
	at, _ := slices.BinarySearchFunc(m.events, e, func(a, b modelEvent) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.sequence, b.sequence))
	})
	m.events = slices.Insert(m.events, at, e)
}

func (m *model) run(load float64) {
	rate := load * m.capacity()
	var arrive func()
	arrive = func() {
		if m.now.Sub(m.start) >= modelDuration {
			return
		}
		m.schedule(time.Duration(m.rng.ExpFloat64()/rate*float64(time.Second)), arrive)
		m.startCall()
	}
	m.sendReports()
	arrive()
	for len(m.events) > 0 {
		e := m.events[0]
		m.events = m.events[1:]
		m.now = e.at
		e.do()
	}
}

// sendReports reports the load of the servers to all hosts, every 250 ms and with a
// delay of 10 ms.
func (m *model) sendReports() {
	if m.now.Sub(m.start) >= modelDuration {
		return
	}
	for _, s := range m.servers {
		inFlight, at := s.running+len(s.queue), m.now
		m.schedule(10*time.Millisecond, func() {
			for _, h := range m.hosts {
				h.picker.Report(s.Server, inFlight, at)
			}
		})
	}
	m.schedule(250*time.Millisecond, m.sendReports)
}

func (m *model) startCall() {
	m.calls++
	h := m.hosts[m.rng.IntN(len(m.hosts))]
	if _, _, ok := h.admission.Acquire(m.now, "orders", m.limit); !ok {
		return
	}
	h.budget.Deposit()
	m.send(&modelCall{host: h, start: m.now, deadline: m.now.Add(modelDeadline)})
}

func (m *model) send(c *modelCall) {
	candidates := make([]backend.Candidate, len(m.servers))
	for i, s := range m.servers {
		candidates[i] = s.Candidate
	}
	c.server = m.servers[c.host.picker.Pick(m.now, candidates, m.rng.IntN)]
	c.host.picker.Start(c.server.Server)
	c.attempts++
	m.attempts++
	c.sent = m.now
	s := c.server
	switch {
	case s.running < modelSlots:
		m.serve(c)
	case len(s.queue) < modelQueueLength:
		s.queue = append(s.queue, c)
	default:
		m.shed(c)
	}
}

func (m *model) serve(c *modelCall) {
	s := c.server
	s.running++
	d := time.Duration(m.rng.ExpFloat64() * float64(s.serviceTime))
	s.busy += d
	m.schedule(d, func() {
		s.running--
		s.done++
		c.host.picker.Done(s.Server, m.now.Sub(c.sent))
		c.host.admission.Release("orders", m.now.Sub(c.start))
		if !m.now.After(c.deadline) {
			m.latencies = append(m.latencies, m.now.Sub(c.start))
		}
		if len(s.queue) > 0 {
			next := s.queue[0]
			s.queue = s.queue[1:]
			m.serve(next)
		}
	})
}

func (m *model) shed(c *modelCall) {
	c.host.picker.Done(c.server.Server, 0)
	failed := request.Failure{Attempts: c.attempts, NotRun: true, Deadline: c.deadline}
	delay, _, retry := request.Retries{}.Next(m.now, failed, &c.host.budget, m.rng.Float64())
	if !retry {
		c.host.admission.Release("orders", m.now.Sub(c.start))
		return
	}
	m.schedule(delay, func() { m.send(c) })
}

func (m *model) goodput() float64 { return float64(len(m.latencies)) / modelDuration.Seconds() }

func (m *model) quantile(q float64) time.Duration {
	slices.Sort(m.latencies)
	return m.latencies[int(q*float64(len(m.latencies)-1))].Round(100 * time.Microsecond)
}

// imbalance returns the busy time of the busiest server over the mean busy time.
func (m *model) imbalance() float64 {
	var most, total time.Duration
	for _, s := range m.servers {
		most = max(most, s.busy)
		total += s.busy
	}
	return float64(most) * float64(len(m.servers)) / float64(total)
}

type pickerCase struct {
	name       string
	policy     backend.Policy
	useReports bool
}

var pickers = []pickerCase{
	{"least in flight", backend.LeastInFlight, false},
	{"two choices", backend.TwoChoices, false},
	{"probed", backend.LatencyAware, false},
	{"least in flight and reports", backend.LeastInFlight, true},
	{"two choices and reports", backend.TwoChoices, true},
	{"probed and reports", backend.LatencyAware, true},
}

// TestGoodputUnderOverload loads one service with 0.5 to 3 times its capacity, and
// checks that the goodput at the highest load is at least 90% of its peak.
func TestGoodputUnderOverload(t *testing.T) {
	is := is.New(t)
	peak, last := 0.0, 0.0
	for _, load := range []float64{0.5, 0.8, 1, 1.5, 2, 3} {
		m := newModel(1, 0, pickers[0])
		m.run(load)
		last = m.goodput()
		peak = max(peak, last)
		t.Logf("load %.1f: answered %.3f, goodput %.0f/s of %.0f/s, p50 %v, p99 %v, attempts per request %.3f",
			load, float64(len(m.latencies))/float64(m.calls), last, m.capacity(), m.quantile(0.5), m.quantile(0.99),
			float64(m.attempts)/float64(m.calls))
	}
	is.True(last >= 0.9*peak)
}

// TestPickers compares the policies. docs/measurements/request.md has the results.
func TestPickers(t *testing.T) {
	is := is.New(t)
	for _, slow := range []int{0, 4} {
		for _, load := range []float64{0.5, 0.8} {
			for _, p := range pickers {
				m := newModel(2, slow, p)
				m.run(load)
				answered := float64(len(m.latencies)) / float64(m.calls)
				t.Logf("%d slow, load %.1f, %s: answered %.4f, imbalance %.3f, p50 %v, p99 %v",
					slow, load, p.name, answered, m.imbalance(), m.quantile(0.5), m.quantile(0.99))
				is.True(p.useReports || answered > 0.95) // below capacity
			}
		}
	}
}
