package command

import (
	"context"
	"encoding/json"
	"flag"
	"slices"

	"github.com/google/subcommands"

	"github.com/rattanthread/rattanthread/faultmatrix"
)

// Matrix is the command that injects every fault at every step.
type Matrix struct {
	Environment
	Seed      uint64
	Pairs     bool
	Sample    bool
	JSON      bool
	Procedure string
	Fault     string
}

// Name returns the name of the command.
func (*Matrix) Name() string { return "matrix" }

// Synopsis describes the command in one line.
func (*Matrix) Synopsis() string { return "inject every fault at every step and check the promises" }

// Usage describes the command.
func (*Matrix) Usage() string {
	return `matrix [-seed N] [-pairs | -sample] [-procedure NAME] [-fault NAME] [-json]:
  Run procedures (a publication, a drain, a planned stop, ...) between a few
  entry hosts in virtual time, inject each fault at each step, and check what
  must always hold. Prints how many cells held, lost only what the promises
  allow, or were red, and the reasons. The same seed gives the same result.

  The exit status is 1 when a cell is red.

`
}

// SetFlags defines the flags of the command.
func (c *Matrix) SetFlags(f *flag.FlagSet) {
	f.Uint64Var(&c.Seed, "seed", 1, "fixes everything that is random")
	f.BoolVar(&c.Pairs, "pairs", false, "also run two faults together, one after the other")
	f.BoolVar(&c.Sample, "sample", false, "run the part of the cells that CI runs")
	f.BoolVar(&c.JSON, "json", false, "print the result of each cell as JSON, for programs")
	f.StringVar(&c.Procedure, "procedure", "", "only this procedure")
	f.StringVar(&c.Fault, "fault", "", "only this first fault")
}

// Execute runs the command.
func (c *Matrix) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	cells := c.cells()
	if f.NArg() > 0 || len(cells) == 0 {
		return c.fail(badInput("no cell has procedure %q and fault %q; arguments: %q", c.Procedure, c.Fault, f.Args()))
	}
	results := faultmatrix.RunAll(cells, faultmatrix.Mutant{})
	if err := c.report(results); err != nil {
		return c.fail(err)
	}
	if slices.ContainsFunc(results, isRed) {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func isRed(r faultmatrix.Result) bool { return r.Verdict() == faultmatrix.VerdictRed }

func (c *Matrix) cells() []faultmatrix.Cell {
	all := faultmatrix.Cells(c.Seed)
	if c.Sample {
		all = faultmatrix.Sample(c.Seed)
	}
	return slices.DeleteFunc(all, func(cell faultmatrix.Cell) bool {
		return c.Procedure != "" && cell.Procedure != c.Procedure ||
			c.Fault != "" && cell.Fault != c.Fault ||
			cell.Second != "" && !c.Pairs && !c.Sample
	})
}

func (c *Matrix) report(results []faultmatrix.Result) error {
	if c.JSON {
		return json.NewEncoder(c.out()).Encode(results)
	}
	return faultmatrix.WriteTable(c.out(), results)
}
