// Package command implements the subcommands of rattanthread: those with which
// operators check, publish and change the configuration and inspect entry hosts,
// those that run an entry host or a stand-in for the platform, and those that run
// simulations and fault tests.
//
// Every command exits with status 0 on success, 1 on failure, and 2 if its
// arguments or its input are invalid.
package command

import (
	"cmp"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/subcommands"

	"github.com/rattanthread/rattanthread/config"
	"github.com/rattanthread/rattanthread/entry"
	"github.com/rattanthread/rattanthread/registry"
)

// DefaultPlatformURL is the URL on which the platform command listens by default.
const DefaultPlatformURL = "http://127.0.0.1:7000"

// Time limits of a command that changes the configuration and of each of its
// calls. They exceed those of hosts, because operators can wait for a slow platform.
const (
	changeTimeout = time.Minute
	callTimeout   = 10 * time.Second
)

// keptRevisions is the number of revisions that are kept for a rollback.
const keptRevisions = 1000

// All returns the commands of this package.
func All() []subcommands.Command {
	return []subcommands.Command{
		&Check{},
		&Publish{},
		&Rollback{},
		&Out{},
		&In{},
		&Drain{},
		&Status{},
		&Platform{},
		&Serve{},
		&entry.Command{},
		&Try{},
		&Site{},
		&Soak{},
		&Explain{},
		&Preview{},
		&Matrix{},
		&Views{},
		&Replay{},
	}
}

// Environment holds the outputs and the platform connection of a command. The
// zero value uses those of the process.
type Environment struct {
	Out, Err io.Writer
	// Connect returns a client for the platform. Nil means a client with callTimeout.
	Connect func(url string) *registry.Client
}

func (e *Environment) printf(format string, args ...any) {
	fmt.Fprintf(e.out(), format, args...)
}

func (e *Environment) out() io.Writer {
	if e.Out != nil {
		return e.Out
	}
	return os.Stdout
}

// fail prints err line by line and returns the exit status for it.
func (e *Environment) fail(err error) subcommands.ExitStatus {
	var w io.Writer = os.Stderr
	if e.Err != nil {
		w = e.Err
	}
	for line := range strings.Lines(err.Error()) {
		fmt.Fprintf(w, "rattanthread: %s\n", strings.TrimSuffix(line, "\n"))
	}
	if errors.Is(err, errInput) || errors.Is(err, registry.ErrRefused) || isProblems(err) {
		return subcommands.ExitUsageError
	}
	return subcommands.ExitFailure
}

func (e *Environment) connect(url string) *registry.Client {
	if e.Connect != nil {
		return e.Connect(url)
	}
	return &registry.Client{URL: url, Timeout: callTimeout}
}

// errInput matches errors in the arguments or the input of a command.
var errInput = errors.New("invalid input")

// inputError is an error in the arguments or the input of a command.
type inputError struct{ text string }

// Error implements error.
func (e inputError) Error() string { return e.text }

// Is reports whether target is errInput.
func (e inputError) Is(target error) bool { return target == errInput }

func inputErrorf(format string, args ...any) error {
	return inputError{fmt.Sprintf(format, args...)}
}

func isProblems(err error) bool {
	_, ok := errors.Into[config.Problems](err)
	return ok
}

// platformFlag is the flag for the URL of the platform.
type platformFlag struct{ url string }

func (p *platformFlag) setFlag(f *flag.FlagSet) {
	f.StringVar(&p.url, "platform", DefaultPlatformURL, "`URL` of the platform's object API")
}

func (p *platformFlag) platformURL() string { return cmp.Or(p.url, DefaultPlatformURL) }

// oneArgument returns the only argument. The description names it in the error.
func oneArgument(f *flag.FlagSet, description string) (string, error) {
	if f.NArg() != 1 {
		return "", inputErrorf("want one %s, have %d arguments", description, f.NArg())
	}
	return f.Arg(0), nil
}
