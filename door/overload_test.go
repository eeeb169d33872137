package door_test

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
// several entry hosts, servers with two slots and a bounded queue. The entry
// hosts decide by request.Admission, backend.Picker, request.Budget and
// request.Retries, as the door does.
type model struct {
	rng     *rand.Rand
	now     time.Time
	events  []modelEvent
	serial  int
	hosts   []*modelHost
	servers []*modelServer
	limit   int // requests at once of one host
	tries   int
	calls   int
	took    []time.Duration // of answers in time
	began   time.Time
}

type modelEvent struct {
	at     time.Time
	serial int
	do     func()
}

type modelHost struct {
	admission request.Admission
	picker    backend.Picker
	budget    request.Budget
}

type modelServer struct {
	backend.Candidate
	service time.Duration // mean
	queue   []*modelCall
	running int
	done    int
	busy    time.Duration
}

type modelCall struct {
	host     *modelHost
	server   *modelServer
	began    time.Time
	sent     time.Time
	deadline time.Time
	tries    int
}

const (
	modelSlots    = 2
	modelQueue    = 8 // requests that a server holds back before it sheds
	modelService  = 20 * time.Millisecond
	modelDeadline = 500 * time.Millisecond
	modelLength   = 20 * time.Second
)

var modelStart = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

// newModel has 9 hosts before 14 servers, of which the last slow ones take
// three times as long and have a third of the weight.
func newModel(seed uint64, slow int, p pickerCase) *model {
	m := &model{rng: rand.New(rand.NewPCG(seed, 4)), now: modelStart, began: modelStart}
	for range 9 {
		h := &modelHost{}
		h.picker.Policy, h.picker.Reports = p.Policy, p.Reports
		m.hosts = append(m.hosts, h)
	}
	for i := range 14 {
		s := &modelServer{service: modelService}
		s.Candidate = backend.Candidate{Server: fleet.ServerID(fmt.Sprint("s", i)), Weight: 99, Slots: modelSlots}
		if i >= 14-slow {
			s.service, s.Weight = 3*modelService, 33
		}
		m.servers = append(m.servers, s)
	}
	// Four times as many requests as slots, shared by the hosts.
	m.limit = 12
	return m
}

// capacity is in requests per second.
func (m *model) capacity() float64 {
	total := 0.0
	for _, s := range m.servers {
		total += modelSlots / s.service.Seconds()
	}
	return total
}

func (m *model) after(d time.Duration, do func()) {
	m.serial++
	e := modelEvent{m.now.Add(d), m.serial, do}
	at, _ := slices.BinarySearchFunc(m.events, e, func(a, b modelEvent) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.serial, b.serial))
	})
	m.events = slices.Insert(m.events, at, e)
}

func (m *model) run(load float64) {
	rate := load * m.capacity()
	var arrive func()
	arrive = func() {
		if m.now.Sub(m.began) >= modelLength {
			return
		}
		m.after(time.Duration(m.rng.ExpFloat64()/rate*float64(time.Second)), arrive)
		m.call()
	}
	m.reports()
	arrive()
	for len(m.events) > 0 {
		e := m.events[0]
		m.events = m.events[1:]
		m.now = e.at
		e.do()
	}
}

// reports gives the servers' load to all hosts, late and not often.
func (m *model) reports() {
	if m.now.Sub(m.began) >= modelLength {
		return
	}
	for _, s := range m.servers {
		inFlight, at := s.running+len(s.queue), m.now
		m.after(10*time.Millisecond, func() {
			for _, h := range m.hosts {
				h.picker.Report(s.Server, inFlight, at)
			}
		})
	}
	m.after(250*time.Millisecond, m.reports)
}

func (m *model) call() {
	m.calls++
	h := m.hosts[m.rng.IntN(len(m.hosts))]
	if _, _, ok := h.admission.Acquire(m.now, "orders", m.limit); !ok {
		return
	}
	h.budget.Deposit()
	m.try(&modelCall{host: h, began: m.now, deadline: m.now.Add(modelDeadline)})
}

func (m *model) try(c *modelCall) {
	candidates := make([]backend.Candidate, len(m.servers))
	for i, s := range m.servers {
		candidates[i] = s.Candidate
	}
	c.server = m.servers[c.host.picker.Pick(m.now, candidates, m.rng.IntN)]
	c.host.picker.Start(c.server.Server)
	c.tries++
	m.tries++
	c.sent = m.now
	s := c.server
	switch {
	case s.running < modelSlots:
		m.serve(c)
	case len(s.queue) < modelQueue:
		s.queue = append(s.queue, c)
	default:
		m.shed(c)
	}
}

func (m *model) serve(c *modelCall) {
	s := c.server
	s.running++
	d := time.Duration(m.rng.ExpFloat64() * float64(s.service))
	s.busy += d
	m.after(d, func() {
		s.running--
		s.done++
		c.host.picker.Done(s.Server, m.now.Sub(c.sent))
		c.host.admission.Release("orders", m.now.Sub(c.began))
		if !m.now.After(c.deadline) {
			m.took = append(m.took, m.now.Sub(c.began))
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
	try := request.Failure{Attempts: c.tries, NotRun: true, Deadline: c.deadline}
	delay, _, again := request.Retries{}.Next(m.now, try, &c.host.budget, m.rng.Float64())
	if !again {
		c.host.admission.Release("orders", m.now.Sub(c.began))
		return
	}
	m.after(delay, func() { m.try(c) })
}

func (m *model) goodput() float64 { return float64(len(m.took)) / modelLength.Seconds() }

func (m *model) quantile(q float64) time.Duration {
	slices.Sort(m.took)
	return m.took[int(q*float64(len(m.took)-1))].Round(100 * time.Microsecond)
}

// imbalance is the busiest server's use over the mean use.
func (m *model) imbalance() float64 {
	var most, total time.Duration
	for _, s := range m.servers {
		most = max(most, s.busy)
		total += s.busy
	}
	return float64(most) * float64(len(m.servers)) / float64(total)
}

type pickerCase struct {
	name    string
	Policy  backend.Policy
	Reports bool
}

var pickers = []pickerCase{
	{"least in flight", backend.LeastInFlight, false},
	{"two choices", backend.TwoChoices, false},
	{"probed", backend.LatencyAware, false},
	{"least in flight and reports", backend.LeastInFlight, true},
	{"two choices and reports", backend.TwoChoices, true},
	{"probed and reports", backend.LatencyAware, true},
}

// TestGoodputUnderOverload loads one service with 0.5 to 3 times its capacity.
func TestGoodputUnderOverload(t *testing.T) {
	is := is.New(t)
	peak, last := 0.0, 0.0
	for _, load := range []float64{0.5, 0.8, 1, 1.5, 2, 3} {
		m := newModel(1, 0, pickers[0])
		m.run(load)
		last = m.goodput()
		peak = max(peak, last)
		t.Logf("load %.1f: answered %.3f, goodput %.0f/s of %.0f/s, p50 %v, p99 %v, tries per request %.3f",
			load, float64(len(m.took))/float64(m.calls), last, m.capacity(), m.quantile(0.5), m.quantile(0.99),
			float64(m.tries)/float64(m.calls))
	}
	is.True(last >= 0.9*peak)
}

// TestPickers compares the policies; the figures are in docs/measurements/request.md.
func TestPickers(t *testing.T) {
	is := is.New(t)
	for _, slow := range []int{0, 4} {
		for _, load := range []float64{0.5, 0.8} {
			for _, p := range pickers {
				m := newModel(2, slow, p)
				m.run(load)
				answered := float64(len(m.took)) / float64(m.calls)
				t.Logf("%d slow, load %.1f, %s: answered %.4f, imbalance %.3f, p50 %v, p99 %v",
					slow, load, p.name, answered, m.imbalance(), m.quantile(0.5), m.quantile(0.99))
				is.True(p.Reports || answered > 0.95) // below capacity
			}
		}
	}
}
