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

// Site plays a trouble on a site in memory.
type Site struct {
	Environment

	trouble string
	seed    uint64
	length  time.Duration
	logs    bool
	record  string
}

// Name returns the word that calls the command.
func (*Site) Name() string { return "site" }

// Synopsis says what the command does, in a line.
func (*Site) Synopsis() string {
	return "play a trouble on entry hosts of the users' platform, in memory"
}

// Usage explains the command.
func (*Site) Usage() string {
	usage := `site [-trouble NAME] [-seed N] [-length TIME] [-logs] [-record FILE]:
  Run entry hosts between stand-ins for the users' platform, in one process, and
  print what callers and backend servers saw: worth, broken rules, latency.

  The exit status is 0 if no rule was broken, 1 if one was, and 2 for a trouble
  that is not known. The troubles are:

`
	for _, t := range platformstandin.Troubles() {
		usage += "    " + t.String() + "\n"
	}
	return usage + "\n"
}

// SetFlags defines the command's flags.
func (c *Site) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.trouble, "trouble", "none", "what happens")
	f.Uint64Var(&c.seed, "seed", 1, "the seed of all random choices")
	f.DurationVar(&c.length, "length", 18*time.Second, "how long callers send")
	f.StringVar(&c.record, "record", "", "write the trace of the first host to this new file")
	f.BoolVar(&c.logs, "logs", false, "write the logs of the hosts to standard error")
}

// Execute runs the command.
func (c *Site) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	trouble, ok := platformstandin.FindTrouble(c.trouble)
	if !ok || f.NArg() > 0 {
		return c.fail(fmt.Errorf("no trouble %q; see help site: %w", c.trouble, errInput))
	}
	site := newSite(c.seed)
	if c.logs {
		site.Logger = hclog.New(&hclog.LoggerOptions{Output: os.Stderr})
	}
	report, err := c.run(site, trouble)
	if err != nil {
		return c.fail(err)
	}
	if err := report.WriteTable(c.out()); err != nil {
		return c.fail(err)
	}
	if len(report.Broken) > 0 {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// run plays the site, and records its first host if that was asked for.
func (c *Site) run(site *platformstandin.Site, trouble platformstandin.Trouble) (*platformstandin.Report, error) {
	if c.record == "" {
		return site.Run(c.length, trouble), nil
	}
	file, err := os.OpenFile(c.record, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o644)
	if err != nil {
		return nil, err
	}
	recorder := replay.EntryRecorder{Out: file}
	site.Record = recorder.Record
	report := site.Run(c.length, trouble)
	return report, errors.Join(recorder.Err(), file.Close())
}

// newSite returns a small site of three data centres.
func newSite(seed uint64) *platformstandin.Site {
	return &platformstandin.Site{
		Zones: []string{"a", "b", "c"}, HostsPerZone: 2, TargetsPerZone: 4, ClientsPerZone: 12, Loss: 0.001, Seed: seed,
	}
}
