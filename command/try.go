package command

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/google/subcommands"
	"github.com/hashicorp/go-hclog"
	"golang.org/x/term"

	"github.com/rattanthread/rattanthread/platformstandin"
	"github.com/rattanthread/rattanthread/trial"
)

// Try runs the whole system for a short time on this machine.
type Try struct {
	// Out and Err are where the report and messages go; nil means the process's own.
	Out, Err io.Writer
	// Run runs the trial; nil means its Run method.
	Run func(ctx context.Context, t *trial.Trial) (trial.Report, error)

	seed     uint64
	duration time.Duration
	hosts    int
	json     bool
	hold     bool
	log      string
}

// Name returns the word that calls the command.
func (*Try) Name() string { return "try" }

// Synopsis says what the command does, in a line.
func (*Try) Synopsis() string { return "run the whole system for a short time on this machine" }

// Usage explains the command.
func (*Try) Usage() string {
	return `try [-duration D] [-seed N] [-json] [-hold]:
  Start entry hosts in two data centres, backend servers, callers and the
  platform's object API, all in this process and on loopback. Needs no set-up.

  While flows and requests run, an entry host is stopped and started, another
  one is killed, two backend servers are drained, and a data centre is taken out
  and brought back. The report says what callers and backend servers saw. Then
  entry hosts of the users' platform are played for a short time, in memory.

  The exit status is 0 when all that must always hold held, 1 when something
  did not, and 2 when the trial could not be run.

`
}

// SetFlags defines the command's flags.
func (c *Try) SetFlags(f *flag.FlagSet) {
	f.Uint64Var(&c.seed, "seed", 1, "fixes what is random in callers, fabric and choice of targets")
	f.DurationVar(&c.duration, "duration", trial.DefaultDuration, "how long callers run, at least "+trial.MinDuration.String())
	f.IntVar(&c.hosts, "hosts", trial.DefaultHostsPerDataCentre, "entry hosts in each data centre")
	f.BoolVar(&c.json, "json", false, "print the report as JSON")
	f.StringVar(&c.log, "log", "", "print the entry hosts' logs from this level: debug, info, warn or error")
	f.BoolVar(&c.hold, "hold", false, "keep everything running after the report, until interrupted, for curl and nc")
}

// Execute runs the command.
func (c *Try) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	out, errs := orWriter(c.Out, os.Stdout), orWriter(c.Err, os.Stderr)
	if f.NArg() > 0 {
		_, _ = fmt.Fprintf(errs, "try takes no arguments, got %q\n", f.Args())
		return subcommands.ExitUsageError
	}
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	report, err := c.run(ctx, c.trial(out, errs))
	if err != nil {
		_, _ = fmt.Fprintln(errs, "try:", err)
		return subcommands.ExitUsageError
	}
	if !c.hold {
		c.print(out, errs, report)
	}
	if !report.Passed || !c.playSite(out) {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// siteLength is how long the users' platform is played.
const siteLength = 8 * time.Second

// playSite plays entry hosts on the users' platform, in memory, while the servers of
// a data centre crash. It reports whether all rules held.
func (c *Try) playSite(out io.Writer) bool {
	if c.Run != nil || c.json {
		return true
	}
	trouble, _ := platformstandin.FindTrouble("crash_refusing")
	report := newSite(c.seed).Run(siteLength, trouble)
	_, _ = fmt.Fprintf(out, "\nusers' platform, in memory: %s\n\n", trouble.About)
	return report.WriteTable(out) == nil && len(report.Broken) == 0
}

func (c *Try) run(ctx context.Context, t *trial.Trial) (trial.Report, error) {
	if c.Run != nil {
		return c.Run(ctx, t)
	}
	return t.Run(ctx)
}

func (c *Try) trial(out, errs io.Writer) *trial.Trial {
	t := &trial.Trial{
		Seed:               c.seed,
		Duration:           c.duration,
		HostsPerDataCentre: c.hosts,
	}
	if c.log != "" {
		t.Logger = hclog.New(&hclog.LoggerOptions{Output: errs, Level: hclog.LevelFromString(c.log)})
	}
	if file, ok := errs.(*os.File); ok && term.IsTerminal(int(file.Fd())) {
		t.Progress = errs
	}
	if c.hold {
		t.Hold = func(ctx context.Context, report trial.Report, a trial.Addresses) {
			c.print(out, errs, report)
			printAddresses(errs, a)
			<-ctx.Done()
		}
	}
	return t
}

// print writes the report after the progress line.
func (c *Try) print(out, errs io.Writer, report trial.Report) {
	_, _ = fmt.Fprintln(errs)
	var err error
	if c.json {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		err = encoder.Encode(report)
	} else {
		err = report.WriteTable(out)
	}
	if err != nil {
		_, _ = fmt.Fprintln(errs, "try:", err)
	}
}

func printAddresses(out io.Writer, a trial.Addresses) {
	_, _ = fmt.Fprintf(out, "\nrunning until interrupted\n  platform %s\n", a.Platform)
	for _, host := range a.Hosts {
		_, _ = fmt.Fprintf(out, "  %s: requests %s, admin %s\n", host.Host, host.Request, host.Admin)
	}
	if len(a.Hosts) == 0 || len(a.RequestHosts) == 0 {
		return
	}
	_, _ = fmt.Fprintf(out, "\n  curl -i -H 'Host: %s' 'http://%s/?id=1'\n", a.RequestHosts[0], a.Hosts[0].Request)
	_, _ = fmt.Fprintf(out, "  curl http://%s/status\n", a.Hosts[0].Admin)
	udpHost, udpPort, _ := net.SplitHostPort(a.Gateway)
	_, _ = fmt.Fprintf(out, "  nc -u %s %s\n", udpHost, udpPort)
}

func orWriter(w, fallback io.Writer) io.Writer {
	if w != nil {
		return w
	}
	return fallback
}
