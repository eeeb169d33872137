package command

import (
	"context"
	"flag"
	"fmt"
	"strconv"

	"github.com/go-faster/errors"
	"github.com/google/subcommands"

	"github.com/rattanthread/rattanthread/config"
	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/registry"
)

// Rollback is the command that puts an older revision in force again.
type Rollback struct {
	Environment
	platformFlag
	States bool
}

// Name returns the name of the subcommand.
func (*Rollback) Name() string { return "rollback" }

// Synopsis returns a one-line description of the command.
func (*Rollback) Synopsis() string { return "put an older revision in force again" }

// Usage returns the help text of the command.
func (*Rollback) Usage() string {
	return `rollback [-platform URL] [-states] REVISION:
  Publish the objects of an older revision as a new revision. The states of data
  centres and the drains of servers stay as they are unless -states is given.

  Example: rattanthread rollback 6
`
}

// SetFlags defines the command's flags.
func (c *Rollback) SetFlags(f *flag.FlagSet) {
	c.setFlag(f)
	f.BoolVar(&c.States, "states", false, "also restore the states of data centres and the drains of servers")
}

// Execute runs the command.
func (c *Rollback) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	text, err := oneArgument(f, "revision")
	if err != nil {
		return c.fail(err)
	}
	rev, err := strconv.ParseUint(text, 10, 64)
	if err != nil || rev == 0 {
		return c.fail(inputErrorf("%q is not a revision number", text))
	}
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	if err := c.rollBack(ctx, fleet.Revision(rev)); err != nil {
		return c.fail(err)
	}
	return subcommands.ExitSuccess
}

func (c *Rollback) rollBack(ctx context.Context, rev fleet.Revision) error {
	pub := publisher{environment: &c.Environment, client: c.connect(c.platformURL())}
	current, err := pub.readSnapshot(ctx)
	if err != nil {
		return err
	}
	older, err := pub.client.Fetch(ctx, rev)
	if errors.Is(err, registry.ErrNotFound) {
		return inputErrorf("there is no revision %d: %d is in force", rev, current.head.Revision)
	}
	if err != nil {
		return err
	}
	set := older.Set
	if !c.States {
		set = set.WithOperationalState(current.published.Set)
	}
	if err := config.Check(set).Err(); err != nil {
		return err
	}
	changes := config.Diff(current.published.Set, set)
	if len(changes) == 0 {
		c.printf("nothing to do: revision %d has the same objects\n", current.head.Revision)
		return nil
	}
	c.printChanges(changes)
	err = pub.publish(ctx, current, set, fmt.Sprintf("rollback to revision %d", rev))
	return pub.reportConflict(current, err)
}
