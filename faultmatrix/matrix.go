package faultmatrix

import (
	"cmp"
	"fmt"
	"runtime"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"
)

// Cell is one run: a procedure with one or two faults, each injected at a step.
type Cell struct {
	Seed      uint64        `json:"seed"`
	Procedure string        `json:"procedure"`
	Fault     string        `json:"fault"`
	Step      time.Duration `json:"step"` // after the start of the procedure
	// Second is a second fault, injected SecondAfter after the first. It is empty
	// if there is none.
	Second      string        `json:"second,omitempty"`
	SecondAfter time.Duration `json:"second_after,omitempty"`
}

// Result is the outcome of running a cell.
type Result struct {
	Cell       Cell        `json:"cell"`
	Violations []Violation `json:"violations,omitempty"`
	Allowed    []string    `json:"allowed,omitempty"` // distinct reasons for allowed losses
	Opened     int         `json:"opened"`            // flows that callers started to open
	Requests   int         `json:"requests"`
	Answered   int         `json:"answered"`
	// Messages is a digest of the times, senders, recipients and kinds of all
	// messages between entry hosts. Runs of the same cell have the same digest.
	Messages uint64 `json:"messages"`
}

// Steps returns the times after the start of a procedure at which faults are
// injected.
func Steps() []time.Duration {
	return []time.Duration{
		0, 100 * time.Millisecond, 300 * time.Millisecond, time.Second, 2500 * time.Millisecond, 6 * time.Second,
	}
}

// secondFaultDelay is the time between the two faults of a cell.
const secondFaultDelay = 700 * time.Millisecond

// Cells returns a cell for every procedure, fault and step, and one for every
// procedure and pair of faults, at a step that depends on the seed.
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
					Second: second.Name, SecondAfter: secondFaultDelay,
				})
			}
		}
	}
	return cells
}

// sampleStride is the distance between two procedures in which Sample injects the
// same fault.
const sampleStride = 4

// Sample returns the subset of cells that CI runs: each fault in every fourth
// procedure, at varying steps, and one pair of faults for each procedure. The seed
// determines the procedures, the steps and the pairs.
func Sample(seed uint64) []Cell {
	var cells []Cell
	faults, steps := Faults(), Steps()
	for i, p := range Procedures() {
		for j, f := range faults {
			if (int(seed)+i+j)%sampleStride != 0 {
				continue
			}
			cells = append(cells, Cell{
				Seed: seed, Procedure: p.Name, Fault: f.Name, Step: steps[(int(seed)+2*i+j)%len(steps)],
			})
		}
		first, second := 1+(int(seed)+i)%(len(faults)-1), 1+(int(seed)+5*i)%(len(faults)-1)
		cells = append(cells, Cell{
			Seed: seed, Procedure: p.Name, Fault: faults[first].Name, Step: steps[(int(seed)+i)%len(steps)],
			Second: faults[second].Name, SecondAfter: secondFaultDelay,
		})
	}
	return cells
}

// String returns the name of the cell, as in KNOWN-RED.txt.
func (c Cell) String() string {
	name := fmt.Sprintf("%d/%s/%s/%s", c.Seed, c.Procedure, c.Fault, c.Step)
	if c.Second != "" {
		name += "/" + c.Second
	}
	return name
}

// Run runs the cell. The mutant replaces decisions; the zero Mutant replaces none.
func (c Cell) Run(mutant Mutant) Result {
	sim := NewSimulation(c.Seed)
	sim.Mutant = mutant
	sim.runFor(startupTime)
	procedure := find(Procedures(), func(p Procedure) bool { return p.Name == c.Procedure })
	first := find(Faults(), func(f Fault) bool { return f.Name == c.Fault })
	procedure.run(sim)
	sim.after(c.Step, func() { first.inject(sim) })
	if c.Second != "" {
		second := find(Faults(), func(f Fault) bool { return f.Name == c.Second })
		sim.after(c.Step+c.SecondAfter, func() { second.inject(sim) })
	}
	sim.runFor(procedureTime)
	return sim.result(c)
}

func find[T any](all []T, match func(T) bool) T {
	return all[slices.IndexFunc(all, match)]
}

func (sim *Simulation) result(c Cell) Result {
	result := Result{
		Cell:       c,
		Violations: sim.checks.violations,
		Opened:     len(sim.flows.callers),
		Requests:   len(sim.requests.calls),
		Messages:   sim.messageDigest.Sum64(),
	}
	result.Allowed = slices.Clone(sim.checks.allowed)
	slices.Sort(result.Allowed)
	result.Allowed = slices.Compact(result.Allowed)
	for _, call := range sim.requests.calls {
		if call.answered {
			result.Answered++
		}
	}
	return result
}

// RunAll runs the cells concurrently and returns their results in order.
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
