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

	"github.com/rattanthread/rattanthread/demo"
	"github.com/rattanthread/rattanthread/platformstandin"
)

// Try is the command that runs the whole system for a short time on this machine.
type Try struct {
	// Out receives the report and Err messages. Nil means os.Stdout and os.Stderr.
	Out, Err io.Writer
	// Run runs the demonstration. Nil means [demo.Demo.Run].
	Run func(ctx context.Context, d *demo.Demo) (demo.Report, error)

	seed     uint64
	duration time.Duration
	hosts    int
	json     bool
	hold     bool
	log      string
}

// Name returns the name of the subcommand.
func (*Try) Name() string { return "try" }

// Synopsis returns a one-line description of the command.
func (*Try) Synopsis() string { return "run the whole system for a short time on this machine" }

// Usage returns the help text of the command.
func (*Try) Usage() string {
	return `try [-duration D] [-seed N] [-json] [-hold]:
  Start entry hosts in two data centres, backend servers, callers and the
  platform's object API, all in this process and on loopback. Needs no set-up.

  While flows and requests run, an entry host is restarted, another one is killed,
  two backend servers are drained, and a data centre is taken out of service and
  brought back. The report shows the results of callers and backend servers. Then
  entry hosts of the users' platform are simulated in memory for a short time.

  The exit status is 0 if all guarantees held, 1 if one was violated, and 2 if the
  demonstration could not run.

`
}

// SetFlags defines the command's flags.
func (c *Try) SetFlags(f *flag.FlagSet) {
	f.Uint64Var(&c.seed, "seed", 1, "seed of the random choices of the stand-ins and of the hosts to stop and kill")
	f.DurationVar(&c.duration, "duration", demo.DefaultDuration, "how long callers run, at least "+demo.MinDuration.String())
	f.IntVar(&c.hosts, "hosts", demo.DefaultHostsPerDataCentre, "number of entry hosts in each data centre")
	f.BoolVar(&c.json, "json", false, "print the report as JSON")
	f.StringVar(&c.log, "log", "", "print the entry hosts' logs from this level on: debug, info, warn or error")
	f.BoolVar(&c.hold, "hold", false, "keep everything running after the report until interrupted, for use with curl and nc")
}

// Execute runs the command.
func (c *Try) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	out, stderr := writerOr(c.Out, os.Stdout), writerOr(c.Err, os.Stderr)
	if f.NArg() > 0 {
		_, _ = fmt.Fprintf(stderr, "try takes no arguments, got %q\n", f.Args())
		return subcommands.ExitUsageError
	}
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	report, err := c.run(ctx, c.demo(out, stderr))
	if err != nil {
		_, _ = fmt.Fprintln(stderr, "try:", err)
		return subcommands.ExitUsageError
	}
	if !c.hold {
		c.print(out, stderr, report)
	}
	if !report.Passed || !c.simulateSite(out) {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// siteDuration is how long the users' platform is simulated.
const siteDuration = 8 * time.Second

// simulateSite simulates entry hosts on the users' platform, in memory, while the
// servers of a data centre crash. It reports whether all rules held.
func (c *Try) simulateSite(out io.Writer) bool {
	if c.Run != nil || c.json {
		return true
	}
	fault, _ := platformstandin.FindFault("crash_refusing")
	report := newSite(c.seed).Run(siteDuration, fault)
	_, _ = fmt.Fprintf(out, "\nusers' platform, in memory: %s\n\n", fault.Description)
	return report.WriteTable(out) == nil && len(report.Violations) == 0
}

func (c *Try) run(ctx context.Context, d *demo.Demo) (demo.Report, error) {
	if c.Run != nil {
		return c.Run(ctx, d)
	}
	return d.Run(ctx)
}

func (c *Try) demo(out, stderr io.Writer) *demo.Demo {
	d := &demo.Demo{
		Seed:               c.seed,
		Duration:           c.duration,
		HostsPerDataCentre: c.hosts,
	}
	if c.log != "" {
		d.Logger = hclog.New(&hclog.LoggerOptions{Output: stderr, Level: hclog.LevelFromString(c.log)})
	}
	if file, ok := stderr.(*os.File); ok && term.IsTerminal(int(file.Fd())) {
		d.Progress = stderr
	}
	if c.hold {
		d.Hold = func(ctx context.Context, report demo.Report, a demo.Addresses) {
			c.print(out, stderr, report)
			printAddresses(stderr, a)
			<-ctx.Done()
		}
	}
	return d
}

// print writes the report on a new line after the progress line.
func (c *Try) print(out, stderr io.Writer, report demo.Report) {
	_, _ = fmt.Fprintln(stderr)
	var err error
	if c.json {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		err = encoder.Encode(report)
	} else {
		err = report.WriteTable(out)
	}
	if err != nil {
		_, _ = fmt.Fprintln(stderr, "try:", err)
	}
}

func printAddresses(out io.Writer, a demo.Addresses) {
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

func writerOr(w, fallback io.Writer) io.Writer {
	if w != nil {
		return w
	}
	return fallback
}
