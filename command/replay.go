package command

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/go-faster/errors"
	"github.com/google/subcommands"

	"github.com/rattanthread/rattanthread/replay"
)

// Replay runs recorded traces against their stated outcomes.
type Replay struct {
	Environment

	state, entry bool
}

// Name returns the word that calls the command.
func (*Replay) Name() string { return "replay" }

// Synopsis says what the command does, in a line.
func (*Replay) Synopsis() string { return "run recorded traces against their stated outcomes" }

// Usage explains the command.
func (*Replay) Usage() string {
	return `replay [-state] FILE...:
  Give the events of each trace to a new control state and compare what it
  decides with what the trace states. docs/TRACES.md describes the format.

  With -entry, the traces are of entry hosts on the users' platform, as "site
  -record" writes them.

  With -state, print the traces with the outcomes of now instead, so that a
  recorded trace can be reviewed and kept.

  The exit status is 0 when all outcomes are as stated, 1 when one differs (the
  first of each trace is named), and 2 when a trace cannot be read.

`
}

// SetFlags defines the command's flags.
func (c *Replay) SetFlags(f *flag.FlagSet) {
	f.BoolVar(&c.entry, "entry", false, "the traces are of entry hosts on the users' platform")
	f.BoolVar(&c.state, "state", false, "print the traces with the outcomes of now")
}

// Execute runs the command.
func (c *Replay) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() == 0 {
		return c.fail(badInput("want one or more trace files"))
	}
	worst := subcommands.ExitSuccess
	for _, path := range f.Args() {
		if err := c.replay(path); err != nil {
			worst = max(worst, c.fail(err))
		}
	}
	return worst
}

func (c *Replay) replay(path string) error {
	if c.entry {
		return c.replayEntry(path)
	}
	trace, err := replay.Load(path)
	if err != nil {
		return unreadable(err)
	}
	if c.state {
		stated, err := replay.State(trace)
		if err != nil {
			return unreadable(err)
		}
		return replay.Write(c.out(), stated)
	}
	if err := replay.Run(trace); err != nil {
		return unreadable(err)
	}
	c.printf("%s: %d events as stated\n", path, len(trace.Events))
	return nil
}

// replayEntry runs a trace of an entry host on the users' platform.
func (c *Replay) replayEntry(path string) error {
	file, err := os.Open(path)
	if err != nil {
		return unreadable(err)
	}
	defer func() { _ = file.Close() }()
	events, err := replay.RunEntry(path, file)
	if err != nil {
		return err
	}
	c.printf("%s: %d events as stated\n", path, events)
	return nil
}

// unreadable marks the faults of a trace file, but not a different outcome, as
// bad input.
func unreadable(err error) error {
	if _, differs := errors.Into[*replay.Difference](err); differs {
		return err
	}
	return badInput("%s", fmt.Sprint(err))
}
