package command

import (
	"context"
	"flag"
	"fmt"

	"github.com/google/subcommands"

	"github.com/rattanthread/rattanthread/viewcheck"
)

// Views is the command that looks for hosts that believe what never was true.
type Views struct {
	Environment
	Seed  uint64
	Seeds int
	Steps int
}

// Name returns the name of the command.
func (*Views) Name() string { return "views" }

// Synopsis describes the command in one line.
func (*Views) Synopsis() string {
	return "check what hosts believe against a store that lags and forgets"
}

// Usage describes the command.
func (*Views) Usage() string {
	return `views [-seed N] [-seeds N] [-steps N]:
  Let a few entry hosts follow a store whose reads are old and whose history is
  dropped, and learn from each other over feeds that break, in an order that the
  seed fixes. After each step, what a host knows must be true at the version that
  it claims, or have been true later. The same seed gives the same result.

  The exit status is 1 when a host believes what never was true.

`
}

// SetFlags defines the flags of the command.
func (c *Views) SetFlags(f *flag.FlagSet) {
	f.Uint64Var(&c.Seed, "seed", 0, "the first seed")
	f.IntVar(&c.Seeds, "seeds", 1000, "how many seeds to play, for each source")
	f.IntVar(&c.Steps, "steps", 120, "how many things happen with each seed")
}

// Execute runs the command.
func (c *Views) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() > 0 || c.Seeds < 1 || c.Steps < 1 {
		return c.fail(badInput("-seeds %d and -steps %d must be 1 at least; arguments: %q", c.Seeds, c.Steps, f.Args()))
	}
	for _, source := range viewcheck.Sources() {
		for seed := c.Seed; seed < c.Seed+uint64(c.Seeds); seed++ {
			if ctx.Err() != nil {
				return c.fail(ctx.Err())
			}
			if err := (viewcheck.Check{Source: source, Seed: seed, Steps: c.Steps}).Run(); err != nil {
				return c.fail(err)
			}
		}
		if _, err := fmt.Fprintf(c.out(), "%s: %d seeds, no fault\n", source, c.Seeds); err != nil {
			return c.fail(err)
		}
	}
	return subcommands.ExitSuccess
}
