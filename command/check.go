package command

import (
	"context"
	"encoding/json"
	"flag"

	"github.com/go-faster/errors"
	"github.com/google/subcommands"

	"github.com/rattanthread/rattanthread/config"
	"github.com/rattanthread/rattanthread/entry"
)

// Check is the command that checks configuration files offline.
type Check struct {
	Environment
	JSON bool

	settings, deploy string
}

// Name returns the name of the subcommand.
func (*Check) Name() string { return "check" }

// Synopsis returns a one-line description of the command.
func (*Check) Synopsis() string { return "check configuration files, offline" }

// Usage returns the help text of the command.
func (*Check) Usage() string {
	return `check [-json] FILE|DIR...
check -settings FILE, check -deploy FILE:
  Check all objects of the given files, and of the *.toml files below the given
  directories, as one set. Prints every problem with its file, line, object and
  reason. Does not contact the platform and changes nothing.

  With -settings, check the settings file of an entry host on the users' platform
  instead, and with -deploy the file that builds and places the system.

  Example: rattanthread check examples/configuration
`
}

// SetFlags defines the command's flags.
func (c *Check) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settings, "settings", "", "check this settings file of an entry host")
	f.StringVar(&c.deploy, "deploy", "", "check this deploy file")
	f.BoolVar(&c.JSON, "json", false, "print the problems as JSON")
}

// Execute runs the command.
func (c *Check) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.settings != "" || c.deploy != "" {
		return c.checkFiles(f)
	}
	set, err := loadArguments(f)
	if c.JSON && (err == nil || isProblems(err)) {
		return c.printJSON(err)
	}
	if err != nil {
		return c.fail(err)
	}
	c.printf("%d data centres, %d services, %d servers, %d rules: no problems\n",
		len(set.DataCentres), len(set.Services), len(set.Servers), len(set.Rules))
	return subcommands.ExitSuccess
}

// checkFiles checks a settings file, a deploy file, or both.
func (c *Check) checkFiles(f *flag.FlagSet) subcommands.ExitStatus {
	if f.NArg() > 0 {
		return c.fail(inputErrorf("-settings and -deploy take no further arguments"))
	}
	if c.settings != "" {
		if _, err := entry.LoadSettings(c.settings); err != nil {
			return c.fail(inputError{err.Error()})
		}
		c.printf("%s: no problems\n", c.settings)
	}
	if c.deploy == "" {
		return subcommands.ExitSuccess
	}
	if err := entry.CheckDeployment(c.deploy); err != nil {
		return c.fail(inputError{err.Error()})
	}
	c.printf("%s: no problems\n", c.deploy)
	return subcommands.ExitSuccess
}

func (c *Check) printJSON(err error) subcommands.ExitStatus {
	problems, invalid := errors.Into[config.Problems](err)
	if !invalid {
		problems = config.Problems{}
	}
	if err := json.NewEncoder(c.out()).Encode(problems); err != nil {
		return c.fail(errors.Wrap(err, "print problems"))
	}
	if invalid {
		return subcommands.ExitUsageError
	}
	return subcommands.ExitSuccess
}

// loadArguments reads and checks the configuration set in the files given as
// arguments.
func loadArguments(f *flag.FlagSet) (config.Set, error) {
	if f.NArg() == 0 {
		return config.Set{}, inputErrorf("want files or directories with configuration")
	}
	set, err := config.LoadChecked(f.Args()...)
	if err != nil && !isProblems(err) {
		return config.Set{}, inputError{err.Error()}
	}
	return set, err
}
