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

// gcPercent is the heap growth that triggers a garbage collection. With many hosts memory
// costs more than CPU time, and most of the garbage comes from decoding lists.
const gcPercent = 50

// Command runs one entry host on the users' platform.
type Command struct {
	// Err receives messages. Nil means os.Stderr.
	Err io.Writer

	settings string
}

// Name returns the name of the subcommand.
func (*Command) Name() string { return "entry" }

// Synopsis returns a one-line description of the command.
func (*Command) Synopsis() string { return "run an entry host on the users' platform" }

// Usage returns the help text of the command.
func (*Command) Usage() string {
	return `entry [-settings FILE]:
  Run one entry host that gets its configuration and its backend servers from
  the platform's store. The settings file is given by -settings or, by default,
  by the environment variable RATTANTHREAD_CONFIG.

  SIGTERM and SIGINT start a planned stop.

  The exit status is 0 after a planned stop, 1 if the host failed, and 2 if the
  arguments or the settings are invalid.

`
}

// SetFlags defines the command's flags.
func (c *Command) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settings, "settings", os.Getenv(SettingsVariable), "the settings file of this host")
}

// Execute runs the command.
func (c *Command) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	stderr := c.stderr()
	if c.settings == "" || f.NArg() > 0 {
		_, _ = fmt.Fprintln(stderr, "entry needs -settings FILE or", SettingsVariable, "and takes no other arguments")
		return subcommands.ExitUsageError
	}
	settings, err := LoadSettings(c.settings)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return subcommands.ExitUsageError
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	logQueue := decisionlog.NewQueue(os.Stdout)
	defer logQueue.Close()
	debug.SetGCPercent(gcPercent)
	logger := hclog.New(&hclog.LoggerOptions{Output: logQueue})
	watcher := settingsWatcher{path: c.settings, logger: logger, changed: make(chan Settings, 1)}
	go watcher.run(ctx)
	host := &Host{Settings: settings, Logger: logger, Reload: watcher.changed}
	if err := host.Run(ctx); err != nil {
		_, _ = fmt.Fprintln(stderr, "entry:", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (c *Command) stderr() io.Writer {
	if c.Err != nil {
		return c.Err
	}
	return os.Stderr
}
