package command

import (
	"context"
	"encoding/json"
	"flag"
	"slices"

	"github.com/google/subcommands"

	"github.com/rattanthread/rattanthread/faultmatrix"
)

// Matrix is the command that injects every fault at every step of every procedure.
type Matrix struct {
	Environment
	Seed      uint64
	Pairs     bool
	Sample    bool
	JSON      bool
	Procedure string
	Fault     string
}

// Name returns the name of the subcommand.
func (*Matrix) Name() string { return "matrix" }

// Synopsis returns a one-line description of the command.
func (*Matrix) Synopsis() string {
	return "inject every fault at every step of every procedure and check the guarantees"
}

// Usage returns the help text of the command.
func (*Matrix) Usage() string {
	return `matrix [-seed N] [-pairs | -sample] [-procedure NAME] [-fault NAME] [-json]:
  Run procedures (a publication, a drain, a planned stop, ...) on a few entry
  hosts in virtual time, inject each fault at each step, and check the
  guarantees. Prints how many cells held, had only losses that the guarantees
  allow, or were red (violated one), and the reasons. The same seed gives the
  same result.

  The exit status is 1 if a cell is red.

`
}

// SetFlags defines the command's flags.
func (c *Matrix) SetFlags(f *flag.FlagSet) {
	f.Uint64Var(&c.Seed, "seed", 1, "seed of all random choices")
	f.BoolVar(&c.Pairs, "pairs", false, "also run pairs of faults, the second after the first")
	f.BoolVar(&c.Sample, "sample", false, "run only the cells that CI runs")
	f.BoolVar(&c.JSON, "json", false, "print the result of each cell as JSON")
	f.StringVar(&c.Procedure, "procedure", "", "run only this procedure")
	f.StringVar(&c.Fault, "fault", "", "run only cells with this first fault")
}

// Execute runs the command.
func (c *Matrix) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	cells := c.cells()
	if f.NArg() > 0 || len(cells) == 0 {
		return c.fail(inputErrorf("no cell has procedure %q and fault %q, or unexpected arguments: %q", c.Procedure, c.Fault, f.Args()))
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
