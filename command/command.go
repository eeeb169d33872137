// Package command holds the commands by which operators check, publish and
// change the configuration and look at the entry hosts, and the command that
// runs the stand-in of the platform.
//
// Every command exits with 0 when it did what was asked, 1 when it failed, and
// 2 when it was called wrongly or its input is bad.
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

// DefaultPlatformURL is where the platform command listens by default.
const DefaultPlatformURL = "http://127.0.0.1:7000"

// How long a command that changes the configuration may take, and one of its
// calls: operators wait for a slow platform longer than hosts do.
const (
	timeout     = time.Minute
	callTimeout = 10 * time.Second
)

// keptRevisions is how far back rollback reaches.
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
		&Matrix{},
		&Views{},
		&Replay{},
	}
}

// Environment is what a command uses of its surroundings. The zero Environment
// is that of a process.
type Environment struct {
	Out, Err io.Writer
	// Connect returns the client of a platform; nil means a plain client.
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

// fail prints an error, or each line of several problems.
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

// errInput marks what the caller of the command has to correct.
var errInput = errors.New("bad input")

// inputError is an error of the command's input.
type inputError struct{ text string }

// Error returns the text.
func (e inputError) Error() string { return e.text }

// Is reports whether target is errInput.
func (e inputError) Is(target error) bool { return target == errInput }

func badInput(format string, args ...any) error {
	return inputError{fmt.Sprintf(format, args...)}
}

func isProblems(err error) bool {
	_, ok := errors.Into[config.Problems](err)
	return ok
}

// platformFlag is the flag that tells where the platform is.
type platformFlag struct{ url string }

func (p *platformFlag) setFlag(f *flag.FlagSet) {
	f.StringVar(&p.url, "platform", DefaultPlatformURL, "`URL` of the platform's object API")
}

func (p *platformFlag) address() string { return cmp.Or(p.url, DefaultPlatformURL) }

// oneArgument returns the only argument.
func oneArgument(f *flag.FlagSet, what string) (string, error) {
	if f.NArg() != 1 {
		return "", badInput("want one %s, have %d arguments", what, f.NArg())
	}
	return f.Arg(0), nil
}
