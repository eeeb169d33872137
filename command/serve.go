package command

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/subcommands"
	"github.com/hashicorp/go-hclog"

	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/host"
	"github.com/rattanthread/rattanthread/replay"
	"github.com/rattanthread/rattanthread/settings"
)

// Serve is the command that runs one entry host.
type Serve struct {
	// Err receives logs and messages. Nil means os.Stderr.
	Err io.Writer

	settings string
	record   string
}

// Name returns the name of the subcommand.
func (*Serve) Name() string { return "serve" }

// Synopsis returns a one-line description of the command.
func (*Serve) Synopsis() string { return "run an entry host" }

// Usage returns the help text of the command.
func (*Serve) Usage() string {
	return `serve -settings FILE [-record FILE]:
  Run one entry host with the given settings file; docs/SETTINGS.md describes its
  keys.

  The host gets its configuration from the platform, or from its peers while the
  platform does not respond. SIGTERM or SIGINT starts a planned stop, which
  interrupts no request and no flow; a second signal ends the host immediately.

  With -record, the control events of this host are written to a new trace file
  for "rattanthread replay"; docs/TRACES.md describes the format.

  The exit status is 0 after a stop, 1 if the host failed, and 2 if the arguments
  or the settings are invalid.

`
}

// SetFlags defines the command's flags.
func (c *Serve) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settings, "settings", "", "the settings file of this host")
	f.StringVar(&c.record, "record", "", "write the control events to this new file")
}

// Execute runs the command.
func (c *Serve) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	stderr := writerOr(c.Err, os.Stderr)
	if c.settings == "" || f.NArg() > 0 {
		_, _ = fmt.Fprintln(stderr, "serve needs -settings FILE and takes no other arguments")
		return subcommands.ExitUsageError
	}
	s, err := settings.Load(c.settings)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return subcommands.ExitUsageError
	}
	h := &host.Host{Settings: s, Logger: logger(s.Log, stderr)}
	if err := c.run(ctx, h); err != nil {
		_, _ = fmt.Fprintln(stderr, "serve:", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// run runs the host and, with -record, records its control events.
func (c *Serve) run(ctx context.Context, h *host.Host) error {
	if c.record == "" {
		return runUntilSignal(ctx, h)
	}
	file, err := os.OpenFile(c.record, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o644)
	if err != nil {
		return errors.Wrap(err, "open trace")
	}
	h.Incarnation = fleet.Incarnation(time.Now().UnixNano())
	recorder := &replay.Recorder{Out: file, Header: traceHeader(h)}
	h.Record = recorder.Record
	err = runUntilSignal(ctx, h)
	if err := recorder.Err(); err != nil {
		_, _ = fmt.Fprintln(writerOr(c.Err, os.Stderr), "serve: the trace is incomplete:", err)
	}
	if closeErr := file.Close(); err == nil && closeErr != nil {
		return errors.Wrap(closeErr, "close trace")
	}
	return err
}

// traceHeader returns the trace header of the host, which includes its random seed
// so that a replay makes the same choices.
func traceHeader(h *host.Host) replay.Header {
	s := h.Settings
	header := replay.Header{
		Self: replay.Host{
			ID:          s.Host,
			DataCentre:  s.DataCentre,
			Incarnation: h.Incarnation,
			Peer:        s.Listen.Peer,
			Handoff:     s.Listen.Handoff,
		},
		Seed: uint64(h.Incarnation),
	}
	for _, seed := range s.Peers.Seeds {
		if seed.Host != s.Host {
			header.Seeds = append(header.Seeds, replay.Host{
				ID: seed.Host, DataCentre: seed.DataCentre, Peer: seed.Peer, Handoff: seed.Handoff,
			})
		}
	}
	return header
}

func logger(l settings.Log, out io.Writer) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{
		Name:       "rattanthread",
		Level:      hclog.LevelFromString(l.Level),
		JSONFormat: l.JSON,
		Output:     out,
	})
}

// runUntilSignal runs the host. The first signal starts a planned stop, and the
// second kills the host.
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
