package command

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"
	"github.com/hashicorp/go-hclog"

	"github.com/rattanthread/rattanthread/host"
	"github.com/rattanthread/rattanthread/settings"
)

// Serve runs one entry host.
type Serve struct {
	// Err is where logs and messages go; nil means the process's own.
	Err io.Writer

	settings string
}

// Name returns the word that calls the command.
func (*Serve) Name() string { return "serve" }

// Synopsis says what the command does, in a line.
func (*Serve) Synopsis() string { return "run an entry host" }

// Usage explains the command.
func (*Serve) Usage() string {
	return `serve -settings FILE:
  Run one entry host by its settings file; docs/SETTINGS.md describes every key.

  The host gets its configuration from the platform, or from its peers while the
  platform does not answer. SIGTERM or SIGINT starts a planned stop, which cuts
  no request and no flow; a second one ends the host at once.

  The exit status is 0 after a stop, 1 when the host could not run, and 2 when
  the settings are wrong.

`
}

// SetFlags defines the command's flags.
func (c *Serve) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settings, "settings", "", "the settings file of this host")
}

// Execute runs the command.
func (c *Serve) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	errs := orWriter(c.Err, os.Stderr)
	if c.settings == "" || f.NArg() > 0 {
		_, _ = fmt.Fprintln(errs, "serve needs -settings FILE and takes no other arguments")
		return subcommands.ExitUsageError
	}
	s, err := settings.Load(c.settings)
	if err != nil {
		_, _ = fmt.Fprintln(errs, err)
		return subcommands.ExitUsageError
	}
	h := &host.Host{Settings: s, Logger: logger(s.Log, errs)}
	if err := runUntilSignal(ctx, h); err != nil {
		_, _ = fmt.Fprintln(errs, "serve:", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func logger(l settings.Log, out io.Writer) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{
		Name:       "rattanthread",
		Level:      hclog.LevelFromString(l.Level),
		JSONFormat: l.JSON,
		Output:     out,
	})
}

// runUntilSignal makes a planned stop at the first signal, and ends the host at
// the second.
func runUntilSignal(ctx context.Context, h *host.Host) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	go func() {
		select {
		case <-signals:
			cancel()
		case <-ctx.Done():
		}
		<-signals
		h.Kill()
	}()
	return h.Run(ctx)
}
