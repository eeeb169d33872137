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

func (s *scenario) kill(node *node) { node.up = false }

func (s *scenario) replace(node *node) {
	node.up = false
	s.after(100*time.Millisecond, func() { s.start(node) })
}

func (s *scenario) pause(node *node, d time.Duration) {
	if node.paused || !node.up {
		return
	}
	node.paused = true
	incarnation := node.incarnation
	s.after(d, func() {
		if node.incarnation != incarnation {
			return
		}
		inbox := node.inbox
		node.paused, node.inbox = false, nil
		for _, deliver := range inbox {
			deliver()
		}
	})
}

func (s *scenario) stop(node *node) {
	s.apply(node, node.keys.Stop(s.now))
	s.after(50*time.Millisecond, func() { node.up = false })
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
	return slices.DeleteFunc(slices.Clone(s.nodes), func(n *node) bool { return n.dataCentre != home })
}

// setHomeState publishes the state of the key's first home. If name is empty, it
// is set to that home.
func (s *scenario) setHomeState(name *string, state config.DataCentreState) {
	if *name == "" {
		home, _, _ := s.roles(s.key)
		*name = string(home)
	}
	s.dataCentres = slices.Clone(s.dataCentres)
	for i := range s.dataCentres {
		if string(s.dataCentres[i].Name) == *name {
			s.dataCentres[i].PreviousChange, s.dataCentres[i].EarlierChange = s.dataCentres[i].Since, s.dataCentres[i].PreviousChange
			s.dataCentres[i].State, s.dataCentres[i].Since = state, s.now
		}
	}
}

var faults = []struct {
	name   string
	inject func(s *scenario)
}{
	{"none", func(*scenario) {}},
	{"lossy links", func(s *scenario) { s.lossy = true }},
	{"entry host fails", func(s *scenario) { s.kill(s.entry) }},
	{"entry host replaced", func(s *scenario) { s.replace(s.entry) }},
	{"entry host paused", func(s *scenario) { s.pause(s.entry, 1300*time.Millisecond) }},
	{"owner fails", func(s *scenario) { s.kill(s.owner) }},
	{"owner replaced", func(s *scenario) { s.replace(s.owner) }},
	{"owner paused", func(s *scenario) { s.pause(s.owner, 1300*time.Millisecond) }},
	{"owner stops as planned", func(s *scenario) { s.stop(s.owner) }},
	{"successor fails", func(s *scenario) { s.kill(s.successor) }},
	{"successor paused", func(s *scenario) { s.pause(s.successor, 900*time.Millisecond) }},
	{"owner and entry host fail", func(s *scenario) { s.kill(s.owner); s.kill(s.entry) }},
	{"owner and successor fail", func(s *scenario) { s.kill(s.owner); s.kill(s.successor) }},
	{"owner and successor replaced", func(s *scenario) { s.replace(s.owner); s.replace(s.successor) }},
	{"owner, then successor fails", func(s *scenario) {
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
	{"owner partitioned", func(s *scenario) { s.isolate(1500*time.Millisecond, s.owner) }},
	{"owner and successor partitioned", func(s *scenario) { s.isolate(1500*time.Millisecond, s.owner, s.successor) }},
	{"owner and entry host partitioned", func(s *scenario) { s.isolate(1500*time.Millisecond, s.owner, s.entry) }},
	{"home partitioned", func(s *scenario) { s.isolate(1500*time.Millisecond, s.home()...) }},
	{"home out of service", func(s *scenario) { s.setHomeState(new(string), config.StateOut) }},
	{"home partitioned and out of service", func(s *scenario) {
		s.isolate(1800*time.Millisecond, s.home()...)
		s.setHomeState(new(string), config.StateOut)
	}},
	{"home out of service and back", func(s *scenario) {
		var name string
		s.setHomeState(&name, config.StateOut)
		s.after(700*time.Millisecond, func() { s.setHomeState(&name, config.StateIn) })
	}},
	{"home partitioned, out of service and back", func(s *scenario) {
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
	scenario := &scenario{cluster: newCluster(seed, 3, 3)}
	scenario.key = scenario.newKey(time.Duration(scenario.rng.IntN(300)-150) * time.Millisecond)
	_, scenario.owner, scenario.successor = scenario.roles(scenario.key)
	scenario.entry = scenario.nodes[scenario.rng.IntN(len(scenario.nodes))]
	scenario.counting = true
	scenario.onStep = func(n int) {
		if n == step {
			inject(scenario)
		}
	}
	if step == 0 {
		inject(scenario)
	}
	scenario.call(scenario.entry, scenario.key)
	for range 8 {
		scenario.run(time.Duration(20+scenario.rng.IntN(700)) * time.Millisecond)
		scenario.call(scenario.nodes[scenario.rng.IntN(len(scenario.nodes))], scenario.key)
	}
	scenario.run(2500 * time.Millisecond)
	total.cases++
	total.maxRuns = max(total.maxRuns, scenario.runs[scenario.key.String()])
	total.ran += scenario.runs[scenario.key.String()]
	for _, decision := range scenario.decisions {
		total.decisions[decision]++
	}
	for _, e := range scenario.errs {
		total.errs = append(total.errs, fmt.Sprintf("step %d seed %d: %s", step, seed, e))
	}
	if scenario.runs[scenario.key.String()] > 1 {
		total.errs = append(total.errs, fmt.Sprintf("step %d seed %d: ran %d times", step, seed, scenario.runs[scenario.key.String()]))
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
		scenario := &scenario{cluster: newCluster(seed, 3, 3)}
		scenario.key = scenario.newKey(0)
		inside := scenario.home()
		scenario.isolate(time.Minute, inside...)
		scenario.setHomeState(new(string), config.StateOut)
		scenario.run(testLimits.HomeChangeMargin + 500*time.Millisecond)
		for scenario.key = scenario.newKey(0); scenario.homeIfInService(inside[0].dataCentre) != inside[0].dataCentre; {
			scenario.key = scenario.newKey(0)
		}
		outside := scenario.nodes[slices.IndexFunc(scenario.nodes, func(n *node) bool { return scenario.partition[n.id] == 0 })]
		for range 4 {
			scenario.call(inside[0], scenario.key)
			scenario.call(outside, scenario.key)
			scenario.run(400 * time.Millisecond)
		}
		scenario.run(3 * time.Second)
		is.True(scenario.runs[scenario.key.String()] <= 1)
		is.True(slices.Contains(scenario.decisions, "refused"))
		is.True(slices.Contains(scenario.decisions, "run"))
	}
}

// homeIfInService returns the home that the scenario's key would have if the data
// centre were in service.
func (s *scenario) homeIfInService(name fleet.DataCentreID) fleet.DataCentreID {
	dataCentres := s.dataCentres
	defer func() { s.dataCentres = dataCentres }()
	s.setHomeState((*string)(&name), config.StateIn)
	home, _, _ := s.roles(s.key)
	return home
}

// TestLostGoodbye stops a host whose MemberDeparted message does not reach one of
// its peers. The other hosts must be able to decide on all keys soon after.
func TestLostGoodbye(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(6) {
		cluster := newCluster(seed, 1, 3)
		stopping, unreachable := cluster.nodes[seed%3], cluster.nodes[(seed+1)%3]
		cluster.partition[unreachable.id] = 1
		cluster.apply(stopping, stopping.keys.Stop(cluster.now))
		cluster.run(20 * time.Millisecond)
		clear(cluster.partition)
		stopping.up = false
		cluster.run(2 * time.Second)
		for _, n := range cluster.nodes {
			is.Equal(n.keys.Ready(cluster.now), n != stopping)
		}
	}
}

// TestReportsDoNotPileUp checks the number of reports when every request is
// abandoned, as the only remaining host of the home is not a majority.
func TestReportsDoNotPileUp(t *testing.T) {
	is := is.New(t)
	scenario := &scenario{cluster: newCluster(1, 3, 3)}
	scenario.key = scenario.newKey(0)
	outside := scenario.nodes[slices.IndexFunc(scenario.nodes, func(n *node) bool { return n.dataCentre != scenario.home()[0].dataCentre })]
	scenario.kill(scenario.home()[1])
	scenario.kill(scenario.home()[2])
	scenario.run(time.Second)
	const calls = 100
	for range calls {
		scenario.call(outside, scenario.key)
	}
	scenario.run(20 * time.Second)
	is.True(scenario.reports <= 5*calls)
	is.Equal(len(scenario.decisions), calls)
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
		scenario := &scenario{cluster: newCluster(seed, 1, 4)}
		for range 8 {
			scenario.call(scenario.nodes[scenario.rng.IntN(4)], scenario.newKey(0))
		}
		scenario.run(10 * time.Second)
		var late []request.Key
		for range 8 {
			late = append(late, scenario.newKey(0))
			scenario.call(scenario.nodes[scenario.rng.IntN(4)], late[len(late)-1])
		}
		scenario.run(3 * time.Second)
		scenario.kill(scenario.nodes[1+seed%3])
		scenario.run(2 * time.Second)
		scenario.kill(scenario.nodes[1+(seed+1)%3])
		scenario.run(7 * time.Second) // the first keys expire
		for _, key := range late {
			scenario.call(scenario.nodes[0], key)
		}
		scenario.run(4 * time.Second)
		for _, key := range late {
			is.True(scenario.runs[key.String()] <= 1)
		}
	}
}
