package command

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"github.com/rattanthread/rattanthread/explain"
)

// Explain is the command that prints the log lines that concern a flow.
type Explain struct {
	Environment

	flow string
}

// Name returns the name of the subcommand.
func (*Explain) Name() string { return "explain" }

// Synopsis returns a one-line description of the command.
func (*Explain) Synopsis() string {
	return "print the logged decisions about a flow and the reasons for them"
}

// Usage returns the help text of the command.
func (*Explain) Usage() string {
	return `explain -flow CALLER:PORT-ROUTE:PORT [LOG...]:
  Print, in chronological order, the decisions of entry hosts about a flow and the
  states that they recorded for the servers involved. Reads standard input if no LOG
  is given. Lines about the flow itself are marked with *.

  The exit status is 0 on success, 1 if no line names the flow, and 2 if a log
  can't be read.

`
}

// SetFlags defines the command's flags.
func (c *Explain) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.flow, "flow", "", "the flow, in the notation of the logs")
}

// Execute runs the command.
func (c *Explain) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.flow == "" {
		return c.fail(fmt.Errorf("explain needs -flow: %w", errInput))
	}
	lines, err := readLogs(f.Args())
	if err != nil {
		return c.fail(fmt.Errorf("%w: %w", errInput, err))
	}
	timeline := explain.Timeline(lines, c.flow)
	if len(timeline) == 0 {
		return c.fail(fmt.Errorf("no log line names the flow %s", c.flow))
	}
	if err := explain.Write(c.out(), timeline, c.flow); err != nil {
		return c.fail(err)
	}
	return subcommands.ExitSuccess
}

func readLogs(names []string) ([]explain.Line, error) {
	if len(names) == 0 {
		return explain.Read("standard input", os.Stdin)
	}
	var all []explain.Line
	for _, name := range names {
		lines, err := readLog(name)
		if err != nil {
			return nil, err
		}
		all = append(all, lines...)
	}
	return all, nil
}

func readLog(name string) ([]explain.Line, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	return explain.Read(name, file)
}
