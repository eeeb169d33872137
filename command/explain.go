package command

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"github.com/rattanthread/rattanthread/explain"
)

// Explain tells the story of a flow from logs.
type Explain struct {
	Environment

	flow string
}

// Name returns the word that calls the command.
func (*Explain) Name() string { return "explain" }

// Synopsis says what the command does, in a line.
func (*Explain) Synopsis() string { return "tell from logs what became of a flow, and why" }

// Usage explains the command.
func (*Explain) Usage() string {
	return `explain -flow CALLER:PORT-ROUTE:PORT [LOG...]:
  Print, in the order of time, what entry hosts decided about a flow and what they
  believed of the servers involved. Reads standard input without a LOG. Lines about
  the flow itself are marked with *.

  The exit status is 0, 1 if no line names the flow, and 2 if a log can't be read.

`
}

// SetFlags defines the command's flags.
func (c *Explain) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.flow, "flow", "", "the flow, as logs name it")
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
	story := explain.Timeline(lines, c.flow)
	if len(story) == 0 {
		return c.fail(fmt.Errorf("no line names the flow %s", c.flow))
	}
	if err := explain.Write(c.out(), story, c.flow); err != nil {
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
