package command

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/google/subcommands"

	"github.com/rattanthread/rattanthread/soak"
)

// Soak is the command that injects faults into entry hosts that run as separate
// processes.
type Soak struct {
	Environment

	program string
	folder  string
	seed    uint64
	seeds   int
	length  time.Duration
	hosts   int
}

// Name returns the name of the subcommand.
func (*Soak) Name() string { return "soak" }

// Synopsis returns a one-line description of the command.
func (*Soak) Synopsis() string {
	return "inject faults into entry hosts that run as separate processes"
}

// Usage returns the help text of the command.
func (*Soak) Usage() string {
	return `soak -program FILE [-seed N] [-seeds COUNT] [-length TIME] [-hosts N] [-folder DIR]:
  Run entry hosts as processes on loopback with stand-ins, kill, stop, pause and
  reload them, delay, reset or discard traffic between them and the store, crash and
  replace backend servers, and check the guarantees from the results of callers and
  servers. -program is the path of rattanthread-entry. Settings and logs are written
  to -folder and stay there.

  Prints a line for each seed, followed by the injected faults if a rule was
  violated. The exit status is 0 if all rules held, 1 if one was violated, and 2 if
  the test could not run.

`
}

// SetFlags defines the command's flags.
func (c *Soak) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.program, "program", "target/rattanthread-entry", "path of the entry host program")
	f.StringVar(&c.folder, "folder", "", "folder for settings and logs, which is created; a temporary one by default")
	f.Uint64Var(&c.seed, "seed", 1, "the first seed")
	f.IntVar(&c.seeds, "seeds", 1, "number of seeds to run, one after the other")
	f.DurationVar(&c.length, "length", 15*time.Second, "duration of the run of each seed")
	f.IntVar(&c.hosts, "hosts", 2, "number of entry hosts in each of three data centres")
}

// Execute runs the command.
func (c *Soak) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() > 0 || c.seeds < 1 || c.hosts < 1 {
		return c.fail(fmt.Errorf("soak takes no arguments and needs at least one seed and one host: %w", errInput))
	}
	if c.folder == "" {
		folder, err := os.MkdirTemp("", "soak-")
		if err != nil {
			return c.fail(err)
		}
		c.folder = folder
	}
	if err := os.MkdirAll(c.folder, 0o700); err != nil {
		return c.fail(fmt.Errorf("%w: %w", errInput, err))
	}
	status := subcommands.ExitSuccess
	for i := range c.seeds {
		violated, err := c.run(c.seed + uint64(i))
		if err != nil {
			return c.fail(fmt.Errorf("%w: %w", errInput, err))
		}
		if violated {
			status = subcommands.ExitFailure
		}
	}
	return status
}

func (c *Soak) run(seed uint64) (bool, error) {
	s := soak.Soak{Program: c.program, Folder: c.folder, Seed: seed, Length: c.length, HostsPerZone: c.hosts}
	report, err := s.Run()
	if err != nil {
		return false, err
	}
	c.printf("seed %d  faults %d  worth %.3f  served %.4f  broken %d\n",
		seed, len(s.Faults()), report.CreditShare(), report.Served(), len(report.Violations))
	if len(report.Violations) == 0 {
		return false, nil
	}
	for _, fault := range s.Faults() {
		c.printf("  %s\n", fault)
	}
	for _, violation := range report.Violations {
		c.printf("  BROKEN %s\n", violation)
	}
	c.printf("  logs: %s\n", c.folder)
	return true, nil
}
