package faultmatrix

import (
	"cmp"
	"fmt"
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

// sampleShare is how many procedures there are for each in which Sample injects
// a fault.
const sampleShare = 4

// Sample returns a part of the cells that runs in CI: each fault in every fourth
// procedure, at a step that changes from one to the next, and one pair of faults
// for each procedure. The seed chooses the procedures, the steps and the pairs.
func Sample(seed uint64) []Cell {
	var cells []Cell
	faults, steps := Faults(), Steps()
	for i, p := range Procedures() {
		for j, f := range faults {
			if (int(seed)+i+j)%sampleShare != 0 {
				continue
			}
			cells = append(cells, Cell{
				Seed: seed, Procedure: p.Name, Fault: f.Name, Step: steps[(int(seed)+2*i+j)%len(steps)],
			})
		}
		first, second := 1+(int(seed)+i)%(len(faults)-1), 1+(int(seed)+5*i)%(len(faults)-1)
		cells = append(cells, Cell{
			Seed: seed, Procedure: p.Name, Fault: faults[first].Name, Step: steps[(int(seed)+i)%len(steps)],
			Second: faults[second].Name, SecondAfter: secondAfter,
		})
	}
	return cells
}

// String names the cell, for tests and lists.
func (c Cell) String() string {
	name := fmt.Sprintf("%d/%s/%s/%s", c.Seed, c.Procedure, c.Fault, c.Step)
	if c.Second != "" {
		name += "/" + c.Second
	}
	return name
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
