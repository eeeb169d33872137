package faultmatrix

import (
	"cmp"
	"runtime"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"
)

// Cell is one run: a procedure with one or two faults, each at a step.
type Cell struct {
	Seed      uint64        `json:"seed"`
	Procedure string        `json:"procedure"`
	Fault     string        `json:"fault"`
	Step      time.Duration `json:"step"` // after the start of the procedure
	// Second is a further fault, SecondAfter the first; empty for none.
	Second      string        `json:"second,omitempty"`
	SecondAfter time.Duration `json:"second_after,omitempty"`
}

// Result is what a cell's run showed.
type Result struct {
	Cell       Cell        `json:"cell"`
	Violations []Violation `json:"violations,omitempty"`
	Allowed    []string    `json:"allowed,omitempty"` // reasons, each once
	Opened     int         `json:"opened"`            // flows
	Requests   int         `json:"requests"`
	Answered   int         `json:"answered"`
	// Messages is a digest of the times, ends and kinds of all messages between
	// entry hosts. It tells whether two runs are the same.
	Messages uint64 `json:"messages"`
}

// Steps are the moments of a procedure at which faults are injected.
func Steps() []time.Duration {
	return []time.Duration{
		0, 100 * time.Millisecond, 300 * time.Millisecond, time.Second, 2500 * time.Millisecond, 6 * time.Second,
	}
}

// secondAfter is the time between two faults of one cell.
const secondAfter = 700 * time.Millisecond

// Cells returns a cell for every procedure, fault and step, once and twice, and
// for every pair of faults at one step of each procedure that the seed picks.
func Cells(seed uint64) []Cell {
	var cells []Cell
	for i, p := range Procedures() {
		for j, f := range Faults() {
			for _, step := range Steps() {
				cells = append(cells, Cell{Seed: seed, Procedure: p.Name, Fault: f.Name, Step: step})
			}
			for k, second := range Faults()[1:] {
				step := Steps()[(int(seed)+i+j+k)%len(Steps())]
				cells = append(cells, Cell{
					Seed: seed, Procedure: p.Name, Fault: f.Name, Step: step,
					Second: second.Name, SecondAfter: secondAfter,
				})
			}
		}
	}
	return cells
}

// Run runs one cell.
func (c Cell) Run(mutant Mutant) Result {
	w := NewWorld(c.Seed)
	w.Mutant = mutant
	w.runFor(warmUp)
	procedure := find(Procedures(), func(p Procedure) bool { return p.Name == c.Procedure })
	first := find(Faults(), func(f Fault) bool { return f.Name == c.Fault })
	procedure.run(w)
	w.after(c.Step, func() { first.inject(w) })
	if c.Second != "" {
		second := find(Faults(), func(f Fault) bool { return f.Name == c.Second })
		w.after(c.Step+c.SecondAfter, func() { second.inject(w) })
	}
	w.runFor(afterward)
	return w.result(c)
}

func find[T any](all []T, match func(T) bool) T {
	return all[slices.IndexFunc(all, match)]
}

func (w *World) result(c Cell) Result {
	r := Result{
		Cell:       c,
		Violations: w.checks.violations,
		Opened:     len(w.flows.callers),
		Requests:   len(w.requests.all),
		Messages:   w.sent.Sum64(),
	}
	r.Allowed = slices.Clone(w.checks.allowed)
	slices.Sort(r.Allowed)
	r.Allowed = slices.Compact(r.Allowed)
	for _, call := range w.requests.all {
		if call.answered {
			r.Answered++
		}
	}
	return r
}

// RunAll runs cells side by side and returns their results in order.
func RunAll(cells []Cell, mutant Mutant) []Result {
	results := make([]Result, len(cells))
	var group errgroup.Group
	group.SetLimit(cmp.Or(runtime.GOMAXPROCS(0), 1))
	for i, c := range cells {
		group.Go(func() error {
			results[i] = c.Run(mutant)
			return nil
		})
	}
	_ = group.Wait()
	return results
}
