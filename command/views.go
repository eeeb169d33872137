package command

import (
	"context"
	"flag"
	"fmt"

	"github.com/google/subcommands"

	"github.com/rattanthread/rattanthread/viewcheck"
)

// Views is the command that searches for hosts with a state that the store never had.
type Views struct {
	Environment
	Seed  uint64
	Seeds int
	Steps int
}

// Name returns the name of the subcommand.
func (*Views) Name() string { return "views" }

// Synopsis returns a one-line description of the command.
func (*Views) Synopsis() string {
	return "check the state of hosts against a store with stale reads and dropped history"
}

// Usage returns the help text of the command.
func (*Views) Usage() string {
	return `views [-seed N] [-seeds N] [-steps N]:
  Simulate a few entry hosts that follow a store with stale reads, dropped history
  and restorations from older copies, and each other over feeds that break, in an order that the seed
  determines. After each step, every record that a host holds must be as it was in
  the store at the version that the host reports, or at a later one. The same seed
  gives the same result.

  The exit status is 1 if a host has a state that the store never had.

`
}

// SetFlags defines the command's flags.
func (c *Views) SetFlags(f *flag.FlagSet) {
	f.Uint64Var(&c.Seed, "seed", 0, "the first seed")
	f.IntVar(&c.Seeds, "seeds", 1000, "number of seeds to simulate for each source")
	f.IntVar(&c.Steps, "steps", 120, "number of events to simulate with each seed")
}

// Execute runs the command.
func (c *Views) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() > 0 || c.Seeds < 1 || c.Steps < 1 {
		return c.fail(inputErrorf("want -seeds and -steps of at least 1 and no arguments, have -seeds %d, -steps %d and arguments %q", c.Seeds, c.Steps, f.Args()))
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
