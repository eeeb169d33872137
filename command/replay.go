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

// Replay is the command that replays recorded traces and compares the outcomes.
type Replay struct {
	Environment

	state, entry bool
}

// Name returns the name of the subcommand.
func (*Replay) Name() string { return "replay" }

// Synopsis returns a one-line description of the command.
func (*Replay) Synopsis() string { return "replay recorded traces and compare the outcomes" }

// Usage returns the help text of the command.
func (*Replay) Usage() string {
	return `replay [-state] FILE...:
  Feed the events of each trace to a new control state and compare its decisions
  with the expected ones in the trace. docs/TRACES.md describes the format.

  With -entry, the traces are of entry hosts on the users' platform, as written
  by "site -record".

  With -state, print the traces with the outcomes of this run instead, so that a
  recorded trace can be reviewed and kept.

  The exit status is 0 if all outcomes are as expected, 1 if one differs (the
  first difference of each trace is printed), and 2 if a trace cannot be read.

`
}

// SetFlags defines the command's flags.
func (c *Replay) SetFlags(f *flag.FlagSet) {
	f.BoolVar(&c.entry, "entry", false, "the traces are of entry hosts on the users' platform")
	f.BoolVar(&c.state, "state", false, "print the traces with the outcomes of this run")
}

// Execute runs the command.
func (c *Replay) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() == 0 {
		return c.fail(inputErrorf("want one or more trace files"))
	}
	status := subcommands.ExitSuccess
	for _, path := range f.Args() {
		if err := c.replay(path); err != nil {
			status = max(status, c.fail(err))
		}
	}
	return status
}

func (c *Replay) replay(path string) error {
	if c.entry {
		return c.replayEntry(path)
	}
	trace, err := replay.Load(path)
	if err != nil {
		return asInputError(err)
	}
	if c.state {
		updated, err := replay.UpdateExpectations(trace)
		if err != nil {
			return asInputError(err)
		}
		return replay.Write(c.out(), updated)
	}
	if err := replay.Run(trace); err != nil {
		return asInputError(err)
	}
	c.printf("%s: %d events as expected\n", path, len(trace.Events))
	return nil
}

// replayEntry replays a trace of an entry host on the users' platform.
func (c *Replay) replayEntry(path string) error {
	file, err := os.Open(path)
	if err != nil {
		return asInputError(err)
	}
	defer func() { _ = file.Close() }()
	events, err := replay.RunEntry(path, file)
	if err != nil {
		return err
	}
	c.printf("%s: %d events as expected\n", path, events)
	return nil
}

// asInputError turns an error in a trace file into an input error. It returns a
// MismatchError unchanged.
func asInputError(err error) error {
	if _, differs := errors.Into[*replay.MismatchError](err); differs {
		return err
	}
	return inputErrorf("%s", fmt.Sprint(err))
}
