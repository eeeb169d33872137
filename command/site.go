package command

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/subcommands"
	"github.com/hashicorp/go-hclog"

	"github.com/rattanthread/rattanthread/platformstandin"
	"github.com/rattanthread/rattanthread/replay"
)

// Site is the command that simulates a site of the users' platform with a fault.
type Site struct {
	Environment

	faultName string
	seed      uint64
	length    time.Duration
	logs      bool
	record    string
}

// Name returns the name of the subcommand.
func (*Site) Name() string { return "site" }

// Synopsis returns a one-line description of the command.
func (*Site) Synopsis() string {
	return "simulate a fault at entry hosts of the users' platform, in memory"
}

// Usage returns the help text of the command.
func (*Site) Usage() string {
	usage := `site [-trouble NAME] [-seed N] [-length TIME] [-logs] [-record FILE]:
  Run entry hosts with stand-ins for the users' platform in one process, and print
  the results of callers and backend servers: the share of the available credit
  that was earned ("worth"), violated rules, and latency.

  The exit status is 0 if no rule was violated, 1 if one was, and 2 for an unknown
  fault. The faults are:

`
	for _, fault := range platformstandin.Faults() {
		usage += "    " + fault.String() + "\n"
	}
	return usage + "\n"
}

// SetFlags defines the command's flags.
func (c *Site) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.faultName, "trouble", "none", "the fault to simulate")
	f.Uint64Var(&c.seed, "seed", 1, "the seed of all random choices")
	f.DurationVar(&c.length, "length", 18*time.Second, "duration for which callers send")
	f.StringVar(&c.record, "record", "", "write the trace of the first host to this new file")
	f.BoolVar(&c.logs, "logs", false, "write the logs of the hosts to standard error")
}

// Execute runs the command.
func (c *Site) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	fault, ok := platformstandin.FindFault(c.faultName)
	if !ok || f.NArg() > 0 {
		return c.fail(fmt.Errorf("unknown fault %q or unexpected arguments; see \"rattanthread help site\": %w", c.faultName, errInput))
	}
	site := newSite(c.seed)
	if c.logs {
		site.Logger = hclog.New(&hclog.LoggerOptions{Output: os.Stderr})
	}
	report, err := c.run(site, fault)
	if err != nil {
		return c.fail(err)
	}
	if err := report.WriteTable(c.out()); err != nil {
		return c.fail(err)
	}
	if len(report.Violations) > 0 {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// run simulates the site and, with -record, records its first host.
func (c *Site) run(site *platformstandin.Site, fault platformstandin.Fault) (*platformstandin.Report, error) {
	if c.record == "" {
		return site.Run(c.length, fault), nil
	}
	file, err := os.OpenFile(c.record, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o644)
	if err != nil {
		return nil, err
	}
	recorder := replay.EntryRecorder{Out: file}
	site.Record = recorder.Record
	report := site.Run(c.length, fault)
	return report, errors.Join(recorder.Err(), file.Close())
}

// newSite returns a small site with three data centres.
func newSite(seed uint64) *platformstandin.Site {
	return &platformstandin.Site{
		Zones: []string{"a", "b", "c"}, HostsPerZone: 2, TargetsPerZone: 4, ClientsPerZone: 12, Loss: 0.001, Seed: seed,
	}
}
