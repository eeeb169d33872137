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

// editAttempts is how often an edit is repeated when others change other objects.
const editAttempts = 5

// edit is a change of one object of what is in force.
type edit struct {
	object  config.Object
	message string
	// apply changes the object. It reports whether there was anything to change.
	apply func(*config.Set) (bool, error)
}

// run reads, changes and conditionally writes the set. A conflict with a change
// of other objects is retried; one with a change of the same object is not.
func (e edit) run(ctx context.Context, p publisher) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	current, err := p.read(ctx)
	if err != nil {
		return err
	}
	for range editAttempts {
		err := e.try(ctx, p, current)
		lost, ok := errors.Into[*registry.ConflictError](err)
		if !ok {
			return err
		}
		if e.touchedBy(config.Diff(current.revised.Set, lost.Winner.Set)) {
			return p.conflict(current, err)
		}
		p.environment.printf("revision %d came first and left %s alone: trying again\n", lost.Winner.Revision, e.object)
		current = inForce{lost.Head, lost.Winner}
	}
	return errors.Errorf("%s: others published %d times meanwhile; try again", e.object, editAttempts)
}

func (e edit) try(ctx context.Context, p publisher, current inForce) error {
	set := current.revised.Set.Normalised()
	changed, err := e.apply(&set)
	if err != nil {
		return err
	}
	if !changed {
		p.environment.printf("nothing to do: revision %d has %s so already\n", current.head.Revision, e.object)
		return nil
	}
	if problems := config.Check(set); len(problems) > 0 {
		return errors.Wrapf(errors.New(problems.Error()), "%s is refused", e.message)
	}
	p.environment.printChanges(config.Diff(current.revised.Set, set))
	return p.publish(ctx, current, set, e.message)
}

func (e edit) touchedBy(changes []config.Change) bool {
	return slices.ContainsFunc(changes, func(c config.Change) bool { return c.Object == e.object })
}

func setState(name fleet.DataCentreID, state config.DataCentreState) edit {
	return edit{
		object:  config.Object{Kind: config.ObjectDataCentre, Name: string(name)},
		message: fmt.Sprintf("%s %s", state, name),
		apply: func(s *config.Set) (bool, error) {
			i := slices.IndexFunc(s.DataCentres, func(d config.DataCentre) bool { return d.Name == name })
			if i < 0 {
				return false, badInput("there is no data centre %q in force", name)
			}
			changed := s.DataCentres[i].State != state
			s.DataCentres[i].State = state
			return changed, nil
		},
	}
}

func setDrain(name fleet.ServerID, drain bool) edit {
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
				return false, badInput("there is no server %q in force", name)
			}
			changed := s.Servers[i].Drain != drain
			s.Servers[i].Drain = drain
			return changed, nil
		},
	}
}

// Out is the command that takes a data centre out.
type Out struct {
	Environment
	platformFlag
}

// Name returns the name of the command.
func (*Out) Name() string { return "out" }

// Synopsis describes the command in one line.
func (*Out) Synopsis() string { return "take a data centre out of service" }

// Usage describes the command.
func (*Out) Usage() string {
	return `out [-platform URL] DATACENTRE:
  Take a data centre out of service: after a few seconds no packet reaches its
  backend servers. Flows that end there are given up. Refused if a service would
  be left without a server.

  Example: rattanthread out tp2
`
}

// SetFlags defines the flags of the command.
func (c *Out) SetFlags(f *flag.FlagSet) { c.setFlag(f) }

// Execute runs the command.
func (c *Out) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return c.runState(ctx, f, c.address(), config.StateOut)
}

// In is the command that brings a data centre back.
type In struct {
	Environment
	platformFlag
}

// Name returns the name of the command.
func (*In) Name() string { return "in" }

// Synopsis describes the command in one line.
func (*In) Synopsis() string { return "bring a data centre back into service" }

// Usage describes the command.
func (*In) Usage() string {
	return `in [-platform URL] DATACENTRE:
  Bring a data centre back into service. Its backend servers start cold and its
  share of new work rises gradually.

  Example: rattanthread in tp2
`
}

// SetFlags defines the flags of the command.
func (c *In) SetFlags(f *flag.FlagSet) { c.setFlag(f) }

// Execute runs the command.
func (c *In) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return c.runState(ctx, f, c.address(), config.StateIn)
}

func (e *Environment) runState(ctx context.Context, f *flag.FlagSet, url string, state config.DataCentreState) subcommands.ExitStatus {
	name, err := oneArgument(f, "data centre")
	if err != nil {
		return e.fail(err)
	}
	return e.runEdit(ctx, setState(fleet.DataCentreID(name), state), url)
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

// Name returns the name of the command.
func (*Drain) Name() string { return "drain" }

// Synopsis describes the command in one line.
func (*Drain) Synopsis() string { return "give a backend server no new work" }

// Usage describes the command.
func (*Drain) Usage() string {
	return `drain [-platform URL] [-undo] SERVER:
  Give a backend server no new flows or requests after a few seconds. What it
  has already stays with it. -undo gives it new work again. Refused if a service
  would be left without a server.

  Example: rattanthread drain hints-tp1-1
`
}

// SetFlags defines the flags of the command.
func (c *Drain) SetFlags(f *flag.FlagSet) {
	c.setFlag(f)
	f.BoolVar(&c.Undo, "undo", false, "give the server new work again")
}

// Execute runs the command.
func (c *Drain) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	name, err := oneArgument(f, "server")
	if err != nil {
		return c.fail(err)
	}
	return c.runEdit(ctx, setDrain(fleet.ServerID(name), !c.Undo), c.address())
}
