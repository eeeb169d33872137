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

// Soak injects faults into entry hosts that run as processes of their own.
type Soak struct {
	Environment

	program string
	folder  string
	seed    uint64
	seeds   int
	length  time.Duration
	hosts   int
}

// Name returns the word that calls the command.
func (*Soak) Name() string { return "soak" }

// Synopsis says what the command does, in a line.
func (*Soak) Synopsis() string { return "inject faults into entry hosts that run as processes" }

// Usage explains the command.
func (*Soak) Usage() string {
	return `soak -program FILE [-seed N] [-seeds COUNT] [-length TIME] [-hosts N] [-folder DIR]:
  Run entry hosts as processes on loopback between stand-ins, kill, stop, pause and
  reload them, disturb their way to the store, crash and replace backend servers,
  and check the promises by what callers and servers see. -program is the path of
  rattanthread-entry. Settings and logs are left in -folder.

  Prints a line for each seed, with what was done where a rule was broken. The exit
  status is 0 if all rules held, 1 if one was broken, and 2 if it could not run.

`
}

// SetFlags defines the command's flags.
func (c *Soak) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.program, "program", "target/rattanthread-entry", "the program of the entry host")
	f.StringVar(&c.folder, "folder", "", "where settings and logs go; a new folder by default")
	f.Uint64Var(&c.seed, "seed", 1, "the first seed")
	f.IntVar(&c.seeds, "seeds", 1, "how many seeds to run, one after the other")
	f.DurationVar(&c.length, "length", 15*time.Second, "how long each seed runs")
	f.IntVar(&c.hosts, "hosts", 2, "entry hosts in each of three data centres")
}

// Execute runs the command.
func (c *Soak) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() > 0 || c.seeds < 1 || c.hosts < 1 {
		return c.fail(fmt.Errorf("soak takes no arguments, and at least 1 seed and host: %w", errInput))
	}
	if c.folder == "" {
		folder, err := os.MkdirTemp("", "soak-")
		if err != nil {
			return c.fail(err)
		}
		c.folder = folder
	}
	status := subcommands.ExitSuccess
	for i := range c.seeds {
		broken, err := c.run(c.seed + uint64(i))
		if err != nil {
			return c.fail(fmt.Errorf("%w: %w", errInput, err))
		}
		if broken {
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
		seed, len(s.Faults()), report.Worth(), report.Served(), len(report.Broken))
	if len(report.Broken) == 0 {
		return false, nil
	}
	for _, fault := range s.Faults() {
		c.printf("  %s\n", fault)
	}
	for _, broken := range report.Broken {
		c.printf("  BROKEN %s\n", broken)
	}
	c.printf("  logs: %s\n", c.folder)
	return true, nil
}
