package command

import (
	"context"
	"flag"
	"fmt"
	"slices"

	"github.com/go-faster/errors"
	"github.com/google/subcommands"

	"github.com/rattanthread/rattanthread/config"
	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/registry"
)

// editAttempts is the maximum number of attempts of an edit that conflicts with
// changes of other objects.
const editAttempts = 5

// edit is a change of one object of the configuration in force.
type edit struct {
	object  config.Object
	message string
	// apply changes the object in the set and reports whether that made a difference.
	apply func(*config.Set) (bool, error)
}

// run reads the set, applies the edit and publishes the result if the revision
// read is still in force. It retries after a conflicting change of other objects,
// but not after one of the same object.
func (e edit) run(ctx context.Context, p publisher) error {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	current, err := p.readSnapshot(ctx)
	if err != nil {
		return err
	}
	for range editAttempts {
		err := e.attempt(ctx, p, current)
		conflict, ok := errors.Into[*registry.ConflictError](err)
		if !ok {
			return err
		}
		if e.conflictsWith(config.Diff(current.published.Set, conflict.Winner.Set)) {
			return p.reportConflict(current, err)
		}
		p.environment.printf("revision %d was published first and does not change %s: retrying\n", conflict.Winner.Revision, e.object)
		current = snapshot{conflict.Head, conflict.Winner}
	}
	return errors.Errorf("%s: %d attempts conflicted with other publications; try again", e.object, editAttempts)
}

func (e edit) attempt(ctx context.Context, p publisher, current snapshot) error {
	set := current.published.Set.Normalised()
	changed, err := e.apply(&set)
	if err != nil {
		return err
	}
	if !changed {
		p.environment.printf("nothing to do: revision %d already has %s in this state\n", current.head.Revision, e.object)
		return nil
	}
	if problems := config.Check(set); len(problems) > 0 {
		return errors.Wrapf(errors.New(problems.Error()), "%s is refused", e.message)
	}
	p.environment.printChanges(config.Diff(current.published.Set, set))
	return p.publish(ctx, current, set, e.message)
}

func (e edit) conflictsWith(changes []config.Change) bool {
	return slices.ContainsFunc(changes, func(c config.Change) bool { return c.Object == e.object })
}

func stateEdit(name fleet.DataCentreID, state config.DataCentreState) edit {
	return edit{
		object:  config.Object{Kind: config.ObjectDataCentre, Name: string(name)},
		message: fmt.Sprintf("%s %s", state, name),
		apply: func(s *config.Set) (bool, error) {
			i := slices.IndexFunc(s.DataCentres, func(d config.DataCentre) bool { return d.Name == name })
			if i < 0 {
				return false, inputErrorf("there is no data centre %q in force", name)
			}
			changed := s.DataCentres[i].State != state
			s.DataCentres[i].State = state
			return changed, nil
		},
	}
}

func drainEdit(name fleet.ServerID, drain bool) edit {
	message := fmt.Sprintf("drain %s", name)
	if !drain {
		message = fmt.Sprintf("end drain of %s", name)
	}
	return edit{
		object:  config.Object{Kind: config.ObjectServer, Name: string(name)},
		message: message,
		apply: func(s *config.Set) (bool, error) {
			i := slices.IndexFunc(s.Servers, func(v config.Server) bool { return v.Name == name })
			if i < 0 {
				return false, inputErrorf("there is no server %q in force", name)
			}
			changed := s.Servers[i].Drain != drain
			s.Servers[i].Drain = drain
			return changed, nil
		},
	}
}

// Out is the command that takes a data centre out of service.
type Out struct {
	Environment
	platformFlag
}

// Name returns the name of the subcommand.
func (*Out) Name() string { return "out" }

// Synopsis returns a one-line description of the command.
func (*Out) Synopsis() string { return "take a data centre out of service" }

// Usage returns the help text of the command.
func (*Out) Usage() string {
	return `out [-platform URL] DATACENTRE:
  Take a data centre out of service: after a few seconds no packet reaches its
  backend servers. Existing flows to these servers are terminated. Refused if a
  service would be left without a server.

  Example: rattanthread out tp2
`
}

// SetFlags defines the command's flags.
func (c *Out) SetFlags(f *flag.FlagSet) { c.setFlag(f) }

// Execute runs the command.
func (c *Out) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return c.runStateEdit(ctx, f, c.platformURL(), config.StateOut)
}

// In is the command that brings a data centre back into service.
type In struct {
	Environment
	platformFlag
}

// Name returns the name of the subcommand.
func (*In) Name() string { return "in" }

// Synopsis returns a one-line description of the command.
func (*In) Synopsis() string { return "bring a data centre back into service" }

// Usage returns the help text of the command.
func (*In) Usage() string {
	return `in [-platform URL] DATACENTRE:
  Bring a data centre back into service. Its backend servers start cold and its
  share of new flows and requests rises gradually.

  Example: rattanthread in tp2
`
}

// SetFlags defines the command's flags.
func (c *In) SetFlags(f *flag.FlagSet) { c.setFlag(f) }

// Execute runs the command.
func (c *In) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return c.runStateEdit(ctx, f, c.platformURL(), config.StateIn)
}

func (e *Environment) runStateEdit(ctx context.Context, f *flag.FlagSet, url string, state config.DataCentreState) subcommands.ExitStatus {
	name, err := oneArgument(f, "data centre")
	if err != nil {
		return e.fail(err)
	}
	return e.runEdit(ctx, stateEdit(fleet.DataCentreID(name), state), url)
}

func (e *Environment) runEdit(ctx context.Context, change edit, url string) subcommands.ExitStatus {
	if err := change.run(ctx, publisher{environment: e, client: e.connect(url)}); err != nil {
		return e.fail(err)
	}
	return subcommands.ExitSuccess
}

// Drain is the command that drains a backend server.
type Drain struct {
	Environment
	platformFlag
	Undo bool
}

// Name returns the name of the subcommand.
func (*Drain) Name() string { return "drain" }

// Synopsis returns a one-line description of the command.
func (*Drain) Synopsis() string { return "stop sending new flows and requests to a backend server" }

// Usage returns the help text of the command.
func (*Drain) Usage() string {
	return `drain [-platform URL] [-undo] SERVER:
  Stop sending new flows and requests to a backend server within a few seconds.
  Its existing ones stay with it. -undo ends the drain. Refused if a service would
  be left without a server.

  Example: rattanthread drain hints-tp1-1
`
}

// SetFlags defines the command's flags.
func (c *Drain) SetFlags(f *flag.FlagSet) {
	c.setFlag(f)
	f.BoolVar(&c.Undo, "undo", false, "end the drain of the server")
}

// Execute runs the command.
func (c *Drain) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	name, err := oneArgument(f, "server")
	if err != nil {
		return c.fail(err)
	}
	return c.runEdit(ctx, drainEdit(fleet.ServerID(name), !c.Undo), c.platformURL())
}
