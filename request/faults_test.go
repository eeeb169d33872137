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

// scene is one request under a fault.
type scene struct {
	*cluster
	key              request.Key
	entry            *node
	owner, successor *node
}

func (s *scene) kill(n *node) { n.up = false }

func (s *scene) replace(n *node) {
	n.up = false
	s.after(100*time.Millisecond, func() { s.boot(n) })
}

func (s *scene) pause(n *node, d time.Duration) {
	if n.paused || !n.up {
		return
	}
	n.paused = true
	life := n.life
	s.after(d, func() {
		if n.life != life {
			return
		}
		inbox := n.inbox
		n.paused, n.inbox = false, nil
		for _, do := range inbox {
			do()
		}
	})
}

func (s *scene) stop(n *node) {
	s.apply(n, n.keys.Stop(s.now))
	s.after(50*time.Millisecond, func() { n.up = false })
}

// cut separates hosts from the rest and from the platform.
func (s *scene) cut(d time.Duration, hosts ...*node) {
	for _, n := range hosts {
		s.side[n.id] = 1
	}
	s.after(d, func() { clear(s.side) })
}

func (s *scene) home() []*node {
	home, _, _ := s.roles(s.key)
	return slices.DeleteFunc(slices.Clone(s.nodes), func(n *node) bool { return n.centre != home })
}

// setHome publishes the state of the key's first home.
func (s *scene) setHome(name *string, state config.DataCentreState) {
	if *name == "" {
		home, _, _ := s.roles(s.key)
		*name = string(home)
	}
	s.centres = slices.Clone(s.centres)
	for i := range s.centres {
		if string(s.centres[i].Name) == *name {
			s.centres[i].Previous, s.centres[i].Earlier = s.centres[i].Since, s.centres[i].Previous
			s.centres[i].State, s.centres[i].Since = state, s.now
		}
	}
}

var faults = []struct {
	name   string
	inject func(s *scene)
}{
	{"none", func(*scene) {}},
	{"lossy links", func(s *scene) { s.lossy = true }},
	{"entry dies", func(s *scene) { s.kill(s.entry) }},
	{"entry replaced", func(s *scene) { s.replace(s.entry) }},
	{"entry paused", func(s *scene) { s.pause(s.entry, 1300*time.Millisecond) }},
	{"owner dies", func(s *scene) { s.kill(s.owner) }},
	{"owner replaced", func(s *scene) { s.replace(s.owner) }},
	{"owner paused", func(s *scene) { s.pause(s.owner, 1300*time.Millisecond) }},
	{"owner stops as planned", func(s *scene) { s.stop(s.owner) }},
	{"successor dies", func(s *scene) { s.kill(s.successor) }},
	{"successor paused", func(s *scene) { s.pause(s.successor, 900*time.Millisecond) }},
	{"owner and entry die", func(s *scene) { s.kill(s.owner); s.kill(s.entry) }},
	{"owner and successor die", func(s *scene) { s.kill(s.owner); s.kill(s.successor) }},
	{"owner and successor replaced", func(s *scene) { s.replace(s.owner); s.replace(s.successor) }},
	{"owner, then successor dies", func(s *scene) {
		s.kill(s.owner)
		s.after(450*time.Millisecond, func() { s.kill(s.successor) })
	}},
	{"owner paused, successor replaced", func(s *scene) {
		s.pause(s.owner, 1500*time.Millisecond)
		s.replace(s.successor)
	}},
	{"owner replaced, then successor paused", func(s *scene) {
		s.replace(s.owner)
		s.after(600*time.Millisecond, func() { s.pause(s.successor, 900*time.Millisecond) })
	}},
	{"all of the home replaced", func(s *scene) {
		for _, n := range s.home() {
			s.replace(n)
		}
	}},
	{"owner cut off", func(s *scene) { s.cut(1500*time.Millisecond, s.owner) }},
	{"owner and successor cut off", func(s *scene) { s.cut(1500*time.Millisecond, s.owner, s.successor) }},
	{"owner and entry cut off", func(s *scene) { s.cut(1500*time.Millisecond, s.owner, s.entry) }},
	{"home cut off", func(s *scene) { s.cut(1500*time.Millisecond, s.home()...) }},
	{"home out", func(s *scene) { s.setHome(new(string), config.StateOut) }},
	{"home cut off and out", func(s *scene) {
		s.cut(1800*time.Millisecond, s.home()...)
		s.setHome(new(string), config.StateOut)
	}},
	{"home out and back", func(s *scene) {
		var name string
		s.setHome(&name, config.StateOut)
		s.after(700*time.Millisecond, func() { s.setHome(&name, config.StateIn) })
	}},
	{"home cut off, out and back", func(s *scene) {
		var name string
		s.cut(900*time.Millisecond, s.home()...)
		s.setHome(&name, config.StateOut)
		s.after(1100*time.Millisecond, func() { s.setHome(&name, config.StateIn) })
	}},
}

// tally is what was seen over the runs of one fault.
type tally struct {
	cases, maxRuns, ran int
	told                map[string]int
	errs                []string
}

// maxSteps is beyond the last message about one undisturbed request.
const maxSteps = 14

// play sends one request, injects the fault at the step, and sends the request
// again at other hosts while the fault lasts and after it.
func play(t *tally, inject func(*scene), step int, seed uint64) {
	s := &scene{cluster: newCluster(seed, 3, 3)}
	s.key = s.newKey(time.Duration(s.rng.IntN(300)-150) * time.Millisecond)
	_, s.owner, s.successor = s.roles(s.key)
	s.entry = s.nodes[s.rng.IntN(len(s.nodes))]
	s.watch = true
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
	t.cases++
	t.maxRuns = max(t.maxRuns, s.runs[s.key.String()])
	t.ran += s.runs[s.key.String()]
	for _, told := range s.told {
		t.told[told]++
	}
	for _, e := range s.errs {
		t.errs = append(t.errs, fmt.Sprintf("step %d seed %d: %s", step, seed, e))
	}
	if s.runs[s.key.String()] > 1 {
		t.errs = append(t.errs, fmt.Sprintf("step %d seed %d: ran %d times", step, seed, s.runs[s.key.String()]))
	}
}

// TestAtMostOneRun injects every fault at every step.
func TestAtMostOneRun(t *testing.T) {
	for _, f := range faults {
		t.Run(f.name, func(t *testing.T) {
			is := is.New(t)
			seen := tally{told: make(map[string]int)}
			for step := range maxSteps {
				for seed := range uint64(seeds(1)) {
					play(&seen, f.inject, step, 100*uint64(step)+seed)
				}
			}
			t.Logf("cases %d, runs per request at most %d, mean %.2f, verdicts %v",
				seen.cases, seen.maxRuns, float64(seen.ran)/float64(seen.cases), seen.told)
			is.Equal(strings.Join(seen.errs, "\n"), "")
		})
	}
}

// TestAtMostOneRunTwoFaults injects two faults, at once or shortly after each other.
func TestAtMostOneRunTwoFaults(t *testing.T) {
	is := is.New(t)
	seen := tally{told: make(map[string]int)}
	for seed := range uint64(100 * seeds(1)) {
		rng := rand.New(rand.NewPCG(seed, 2))
		first, second := faults[rng.IntN(len(faults))], faults[rng.IntN(len(faults))]
		delay := time.Duration(rng.IntN(2000)) * time.Millisecond
		inject := func(s *scene) {
			first.inject(s)
			s.after(delay, func() { second.inject(s) })
		}
		before := len(seen.errs)
		play(&seen, inject, rng.IntN(maxSteps), seed)
		for i := range seen.errs[before:] {
			seen.errs[before+i] += ": " + first.name + ", " + second.name
		}
	}
	t.Logf("cases %d, runs per request at most %d, mean %.2f, verdicts %v",
		seen.cases, seen.maxRuns, float64(seen.ran)/float64(seen.cases), seen.told)
	is.Equal(strings.Join(seen.errs, "\n"), "")
}

// TestCutOffHomeRunsNothingNew takes a data centre out while it is cut off. A
// key that is issued later and sent to both sides must run at one of them only.
func TestCutOffHomeRunsNothingNew(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(10 * seeds(1)) {
		s := &scene{cluster: newCluster(seed, 3, 3)}
		s.key = s.newKey(0)
		inside := s.home()
		s.cut(time.Minute, inside...)
		s.setHome(new(string), config.StateOut)
		s.run(testLimits.MoveMargin + 500*time.Millisecond)
		for s.key = s.newKey(0); s.placedAt(inside[0].centre) != inside[0].centre; {
			s.key = s.newKey(0)
		}
		outside := s.nodes[slices.IndexFunc(s.nodes, func(n *node) bool { return s.side[n.id] == 0 })]
		for range 4 {
			s.call(inside[0], s.key)
			s.call(outside, s.key)
			s.run(400 * time.Millisecond)
		}
		s.run(3 * time.Second)
		is.True(s.runs[s.key.String()] <= 1)
		is.True(slices.Contains(s.told, "refused"))
		is.True(slices.Contains(s.told, "run"))
	}
}

// placedAt returns the home of the scene's key if the data centre were in.
func (s *scene) placedAt(name fleet.DataCentreID) fleet.DataCentreID {
	centres := s.centres
	defer func() { s.centres = centres }()
	s.setHome((*string)(&name), config.StateIn)
	home, _, _ := s.roles(s.key)
	return home
}

// TestLostGoodbye stops a host whose goodbye does not reach one of its peers.
// The others must be able to decide on all keys soon after.
func TestLostGoodbye(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(6) {
		c := newCluster(seed, 1, 3)
		stopping, deaf := c.nodes[seed%3], c.nodes[(seed+1)%3]
		c.side[deaf.id] = 1
		c.apply(stopping, stopping.keys.Stop(c.now))
		c.run(20 * time.Millisecond)
		clear(c.side)
		stopping.up = false
		c.run(2 * time.Second)
		for _, n := range c.nodes {
			is.Equal(n.keys.Ready(c.now), n != stopping)
		}
	}
}

// TestReportsDoNotPileUp has every request given up, as the only host that is
// left of the home is no majority.
func TestReportsDoNotPileUp(t *testing.T) {
	is := is.New(t)
	s := &scene{cluster: newCluster(1, 3, 3)}
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
	is.Equal(len(s.told), calls)
}

// TestFullTableForgetsNothing has a new owner without room for the claim of a
// request that ran, and sends the request again once there is room.
func TestFullTableForgetsNothing(t *testing.T) {
	is := is.New(t)
	before := testLimits
	defer func() { testLimits = before }()
	testLimits.Keys, testLimits.KeyLifetime = 8, 20*time.Second
	for seed := range uint64(20) {
		s := &scene{cluster: newCluster(seed, 1, 4)}
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
