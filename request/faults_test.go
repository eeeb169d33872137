package request_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rattanthread/rattanthread/config"
	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/request"
)

// scenario is one request during a fault.
type scenario struct {
	*cluster
	key              request.Key
	entry            *node
	owner, successor *node
}

func (s *scenario) kill(n *node) { n.up = false }

func (s *scenario) replace(n *node) {
	n.up = false
	s.after(100*time.Millisecond, func() { s.start(n) })
}

func (s *scenario) pause(n *node, d time.Duration) {
	if n.paused || !n.up {
		return
	}
	n.paused = true
	incarnation := n.incarnation
	s.after(d, func() {
		if n.incarnation != incarnation {
			return
		}
		inbox := n.inbox
		n.paused, n.inbox = false, nil
		for _, deliver := range inbox {
			deliver()
		}
	})
}

func (s *scenario) stop(n *node) {
	s.apply(n, n.keys.Stop(s.now))
	s.after(50*time.Millisecond, func() { n.up = false })
}

// isolate partitions hosts from the rest and from the platform.
func (s *scenario) isolate(d time.Duration, hosts ...*node) {
	for _, n := range hosts {
		s.partition[n.id] = 1
	}
	s.after(d, func() { clear(s.partition) })
}

func (s *scenario) home() []*node {
	home, _, _ := s.roles(s.key)
	return slices.DeleteFunc(slices.Clone(s.nodes), func(n *node) bool { return n.centre != home })
}

// setHomeState publishes the state of the key's first home. If name is empty, it
// is set to that home.
func (s *scenario) setHomeState(name *string, state config.DataCentreState) {
	if *name == "" {
		home, _, _ := s.roles(s.key)
		*name = string(home)
	}
	s.centres = slices.Clone(s.centres)
	for i := range s.centres {
		if string(s.centres[i].Name) == *name {
			s.centres[i].PreviousChange, s.centres[i].EarlierChange = s.centres[i].Since, s.centres[i].PreviousChange
			s.centres[i].State, s.centres[i].Since = state, s.now
		}
	}
}

var faults = []struct {
	name   string
	inject func(s *scenario)
}{
	{"none", func(*scenario) {}},
	{"lossy links", func(s *scenario) { s.lossy = true }},
	{"entry dies", func(s *scenario) { s.kill(s.entry) }},
	{"entry replaced", func(s *scenario) { s.replace(s.entry) }},
	{"entry paused", func(s *scenario) { s.pause(s.entry, 1300*time.Millisecond) }},
	{"owner dies", func(s *scenario) { s.kill(s.owner) }},
	{"owner replaced", func(s *scenario) { s.replace(s.owner) }},
	{"owner paused", func(s *scenario) { s.pause(s.owner, 1300*time.Millisecond) }},
	{"owner stops as planned", func(s *scenario) { s.stop(s.owner) }},
	{"successor dies", func(s *scenario) { s.kill(s.successor) }},
	{"successor paused", func(s *scenario) { s.pause(s.successor, 900*time.Millisecond) }},
	{"owner and entry die", func(s *scenario) { s.kill(s.owner); s.kill(s.entry) }},
	{"owner and successor die", func(s *scenario) { s.kill(s.owner); s.kill(s.successor) }},
	{"owner and successor replaced", func(s *scenario) { s.replace(s.owner); s.replace(s.successor) }},
	{"owner, then successor dies", func(s *scenario) {
		s.kill(s.owner)
		s.after(450*time.Millisecond, func() { s.kill(s.successor) })
	}},
	{"owner paused, successor replaced", func(s *scenario) {
		s.pause(s.owner, 1500*time.Millisecond)
		s.replace(s.successor)
	}},
	{"owner replaced, then successor paused", func(s *scenario) {
		s.replace(s.owner)
		s.after(600*time.Millisecond, func() { s.pause(s.successor, 900*time.Millisecond) })
	}},
	{"all of the home replaced", func(s *scenario) {
		for _, n := range s.home() {
			s.replace(n)
		}
	}},
	{"owner cut off", func(s *scenario) { s.isolate(1500*time.Millisecond, s.owner) }},
	{"owner and successor cut off", func(s *scenario) { s.isolate(1500*time.Millisecond, s.owner, s.successor) }},
	{"owner and entry cut off", func(s *scenario) { s.isolate(1500*time.Millisecond, s.owner, s.entry) }},
	{"home cut off", func(s *scenario) { s.isolate(1500*time.Millisecond, s.home()...) }},
	{"home out", func(s *scenario) { s.setHomeState(new(string), config.StateOut) }},
	{"home cut off and out", func(s *scenario) {
		s.isolate(1800*time.Millisecond, s.home()...)
		s.setHomeState(new(string), config.StateOut)
	}},
	{"home out and back", func(s *scenario) {
		var name string
		s.setHomeState(&name, config.StateOut)
		s.after(700*time.Millisecond, func() { s.setHomeState(&name, config.StateIn) })
	}},
	{"home cut off, out and back", func(s *scenario) {
		var name string
		s.isolate(900*time.Millisecond, s.home()...)
		s.setHomeState(&name, config.StateOut)
		s.after(1100*time.Millisecond, func() { s.setHomeState(&name, config.StateIn) })
	}},
}

// summary collects the results of several runs.
type summary struct {
	cases, maxRuns, ran int
	decisions           map[string]int
	errs                []string
}

// maxSteps exceeds the number of messages about one request without faults.
const maxSteps = 14

// runScenario sends one request, injects the fault at the given step, and resends
// the request to other hosts during and after the fault.
func runScenario(total *summary, inject func(*scenario), step int, seed uint64) {
	s := &scenario{cluster: newCluster(seed, 3, 3)}
	s.key = s.newKey(time.Duration(s.rng.IntN(300)-150) * time.Millisecond)
	_, s.owner, s.successor = s.roles(s.key)
	s.entry = s.nodes[s.rng.IntN(len(s.nodes))]
	s.counting = true
	s.onStep = func(n int) {
		if n == step {
			inject(s)
		}
	}
	if step == 0 {
		inject(s)
	}
	s.call(s.entry, s.key)
	for range 8 {
		s.run(time.Duration(20+s.rng.IntN(700)) * time.Millisecond)
		s.call(s.nodes[s.rng.IntN(len(s.nodes))], s.key)
	}
	s.run(2500 * time.Millisecond)
	total.cases++
	total.maxRuns = max(total.maxRuns, s.runs[s.key.String()])
	total.ran += s.runs[s.key.String()]
	for _, decision := range s.decisions {
		total.decisions[decision]++
	}
	for _, e := range s.errs {
		total.errs = append(total.errs, fmt.Sprintf("step %d seed %d: %s", step, seed, e))
	}
	if s.runs[s.key.String()] > 1 {
		total.errs = append(total.errs, fmt.Sprintf("step %d seed %d: ran %d times", step, seed, s.runs[s.key.String()]))
	}
}

// TestAtMostOneRun injects every fault at every step.
func TestAtMostOneRun(t *testing.T) {
	for _, fault := range faults {
		t.Run(fault.name, func(t *testing.T) {
			is := is.New(t)
			total := summary{decisions: make(map[string]int)}
			for step := range maxSteps {
				for seed := range uint64(seeds(1)) {
					runScenario(&total, fault.inject, step, 100*uint64(step)+seed)
				}
			}
			t.Logf("cases %d, runs per request at most %d, mean %.2f, verdicts %v",
				total.cases, total.maxRuns, float64(total.ran)/float64(total.cases), total.decisions)
			is.Equal(strings.Join(total.errs, "\n"), "")
		})
	}
}

// TestAtMostOneRunTwoFaults injects two faults, at once or shortly after each other.
func TestAtMostOneRunTwoFaults(t *testing.T) {
	is := is.New(t)
	total := summary{decisions: make(map[string]int)}
	for seed := range uint64(100 * seeds(1)) {
		rng := rand.New(rand.NewPCG(seed, 2))
		first, second := faults[rng.IntN(len(faults))], faults[rng.IntN(len(faults))]
		delay := time.Duration(rng.IntN(2000)) * time.Millisecond
		inject := func(s *scenario) {
			first.inject(s)
			s.after(delay, func() { second.inject(s) })
		}
		before := len(total.errs)
		runScenario(&total, inject, rng.IntN(maxSteps), seed)
		for i := range total.errs[before:] {
			total.errs[before+i] += ": " + first.name + ", " + second.name
		}
	}
	t.Logf("cases %d, runs per request at most %d, mean %.2f, verdicts %v",
		total.cases, total.maxRuns, float64(total.ran)/float64(total.cases), total.decisions)
	is.Equal(strings.Join(total.errs, "\n"), "")
}

// TestCutOffHomeRunsNothingNew takes a data centre out of service while it is
// partitioned. A key that is issued later and sent to both sides must run on one
// side only.
func TestCutOffHomeRunsNothingNew(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(10 * seeds(1)) {
		s := &scenario{cluster: newCluster(seed, 3, 3)}
		s.key = s.newKey(0)
		inside := s.home()
		s.isolate(time.Minute, inside...)
		s.setHomeState(new(string), config.StateOut)
		s.run(testLimits.HomeChangeMargin + 500*time.Millisecond)
		for s.key = s.newKey(0); s.homeIfInService(inside[0].centre) != inside[0].centre; {
			s.key = s.newKey(0)
		}
		outside := s.nodes[slices.IndexFunc(s.nodes, func(n *node) bool { return s.partition[n.id] == 0 })]
		for range 4 {
			s.call(inside[0], s.key)
			s.call(outside, s.key)
			s.run(400 * time.Millisecond)
		}
		s.run(3 * time.Second)
		is.True(s.runs[s.key.String()] <= 1)
		is.True(slices.Contains(s.decisions, "refused"))
		is.True(slices.Contains(s.decisions, "run"))
	}
}

// homeIfInService returns the home that the scenario's key would have if the data
// centre were in service.
func (s *scenario) homeIfInService(name fleet.DataCentreID) fleet.DataCentreID {
	centres := s.centres
	defer func() { s.centres = centres }()
	s.setHomeState((*string)(&name), config.StateIn)
	home, _, _ := s.roles(s.key)
	return home
}

// TestLostGoodbye stops a host whose MemberDeparted message does not reach one of
// its peers. The other hosts must be able to decide on all keys soon after.
func TestLostGoodbye(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(6) {
		c := newCluster(seed, 1, 3)
		stopping, unreachable := c.nodes[seed%3], c.nodes[(seed+1)%3]
		c.partition[unreachable.id] = 1
		c.apply(stopping, stopping.keys.Stop(c.now))
		c.run(20 * time.Millisecond)
		clear(c.partition)
		stopping.up = false
		c.run(2 * time.Second)
		for _, n := range c.nodes {
			is.Equal(n.keys.Ready(c.now), n != stopping)
		}
	}
}

// TestReportsDoNotPileUp checks the number of reports when every request is
// abandoned, as the only remaining host of the home is not a majority.
func TestReportsDoNotPileUp(t *testing.T) {
	is := is.New(t)
	s := &scenario{cluster: newCluster(1, 3, 3)}
	s.key = s.newKey(0)
	outside := s.nodes[slices.IndexFunc(s.nodes, func(n *node) bool { return n.centre != s.home()[0].centre })]
	s.kill(s.home()[1])
	s.kill(s.home()[2])
	s.run(time.Second)
	const calls = 100
	for range calls {
		s.call(outside, s.key)
	}
	s.run(20 * time.Second)
	is.True(s.reports <= 5*calls)
	is.Equal(len(s.decisions), calls)
}

// TestFullTableForgetsNothing gives a key a new owner without room for the claim
// of a request that ran, and resends the request once there is room. The request
// must not run again.
func TestFullTableForgetsNothing(t *testing.T) {
	is := is.New(t)
	before := testLimits
	defer func() { testLimits = before }()
	testLimits.MaxClaims, testLimits.KeyLifetime = 8, 20*time.Second
	for seed := range uint64(20) {
		s := &scenario{cluster: newCluster(seed, 1, 4)}
		for range 8 {
			s.call(s.nodes[s.rng.IntN(4)], s.newKey(0))
		}
		s.run(10 * time.Second)
		var late []request.Key
		for range 8 {
			late = append(late, s.newKey(0))
			s.call(s.nodes[s.rng.IntN(4)], late[len(late)-1])
		}
		s.run(3 * time.Second)
		s.kill(s.nodes[1+seed%3])
		s.run(2 * time.Second)
		s.kill(s.nodes[1+(seed+1)%3])
		s.run(7 * time.Second) // the first keys expire
		for _, key := range late {
			s.call(s.nodes[0], key)
		}
		s.run(4 * time.Second)
		for _, key := range late {
			is.True(s.runs[key.String()] <= 1)
		}
	}
}
