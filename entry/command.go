package entry

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/google/subcommands"
	"github.com/hashicorp/go-hclog"

	"github.com/rattanthread/rattanthread/decisionlog"
)

// gcPercent is by how much the heap grows between collections. Where hosts are many,
// memory costs more than the processor's time, and most of it is what lists were
// decoded from.
const gcPercent = 50

// Command runs one entry host on the users' platform.
type Command struct {
	// Err is where messages go; nil means the process's own.
	Err io.Writer

	settings string
}

// Name returns the word that calls the command.
func (*Command) Name() string { return "entry" }

// Synopsis says what the command does, in a line.
func (*Command) Synopsis() string { return "run an entry host on the users' platform" }

// Usage explains the command.
func (*Command) Usage() string {
	return `entry [-settings FILE]:
  Run one entry host that gets its configuration and its backend servers from
  the platform's store. The settings file is that of -settings or, without it,
  the one that the variable RATTANTHREAD_CONFIG names.

  SIGTERM or SIGINT starts a planned stop.

  The exit status is 0 after a stop, 1 when the host could not run, and 2 when
  the settings are wrong.

`
}

// SetFlags defines the command's flags.
func (c *Command) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settings, "settings", os.Getenv(SettingsVariable), "the settings file of this host")
}

// Execute runs the command.
func (c *Command) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	errs := c.errs()
	if c.settings == "" || f.NArg() > 0 {
		_, _ = fmt.Fprintln(errs, "entry needs -settings FILE or", SettingsVariable, "and takes no other arguments")
		return subcommands.ExitUsageError
	}
	s, err := LoadSettings(c.settings)
	if err != nil {
		_, _ = fmt.Fprintln(errs, err)
		return subcommands.ExitUsageError
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	lines := decisionlog.NewQueue(os.Stdout)
	defer lines.Close()
	debug.SetGCPercent(gcPercent)
	logger := hclog.New(&hclog.LoggerOptions{Output: lines})
	watcher := settingsWatcher{path: c.settings, logger: logger, changed: make(chan Settings, 1)}
	go watcher.run(ctx)
	h := &Host{Settings: s, Logger: logger, Reload: watcher.changed}
	if err := h.Run(ctx); err != nil {
		_, _ = fmt.Fprintln(errs, "entry:", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (c *Command) errs() io.Writer {
	if c.Err != nil {
		return c.Err
	}
	return os.Stderr
}
