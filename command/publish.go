package command

import (
	"context"
	"flag"

	"github.com/go-faster/errors"
	"github.com/google/subcommands"
	"github.com/google/uuid"

	"github.com/rattanthread/rattanthread/config"
	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/registry"
)

// Publish is the command that puts files in force.
type Publish struct {
	Environment
	platformFlag
	DryRun      bool
	Base        uint64
	Message     string
	Publication string
}

// Name returns the name of the command.
func (*Publish) Name() string { return "publish" }

// Synopsis describes the command in one line.
func (*Publish) Synopsis() string { return "put configuration files in force" }

// Usage describes the command.
func (*Publish) Usage() string {
	return `publish [-platform URL] [-dry-run] [-base REVISION] [-message TEXT] FILE|DIR...:
  Check the files as check does, show what they would change, and put them in
  force as the next revision. The files must hold the whole configuration:
  objects that they leave out are removed.

  A data centre without "state" and a server without "drain" in its file keep
  what the commands out, in and drain gave them.

  -dry-run shows the changes and the revision in force, and changes nothing.
  With -base the command refuses if another revision than that is in force, and
  shows what was changed since. If no answer comes, the command tells how to
  repeat it; repeating never publishes twice.

  Example: rattanthread publish -dry-run examples/configuration
           rattanthread publish -base 7 -message "more map servers" examples/configuration
`
}

// SetFlags defines the flags of the command.
func (c *Publish) SetFlags(f *flag.FlagSet) {
	c.setFlag(f)
	f.BoolVar(&c.DryRun, "dry-run", false, "only show what would change")
	f.Uint64Var(&c.Base, "base", 0, "refuse unless this `revision` is in force")
	f.StringVar(&c.Message, "message", "", "`text` that tells others why")
	f.StringVar(&c.Publication, "publication", "", "`id` of an attempt to repeat")
}

// Execute runs the command.
func (c *Publish) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	set, err := loadArguments(f)
	if err != nil {
		return c.fail(err)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if err := c.publish(ctx, set); err != nil {
		return c.fail(err)
	}
	return subcommands.ExitSuccess
}

func (c *Publish) publish(ctx context.Context, set config.Set) error {
	publisher := publisher{environment: &c.Environment, client: c.connect(c.address()), publication: c.Publication, byID: true}
	current, err := publisher.read(ctx)
	if err != nil {
		return err
	}
	if c.Base != 0 && fleet.Revision(c.Base) != current.head.Revision {
		return publisher.overtaken(ctx, fleet.Revision(c.Base), current)
	}
	set = set.WithOperationalState(current.revised.Set)
	if err := config.Check(set).Err(); err != nil {
		return err
	}
	changes := config.Diff(current.revised.Set, set)
	c.printChanges(changes)
	if c.DryRun {
		c.printf("%d changes to revision %d; publish them with -base %d\n", len(changes), current.head.Revision, current.head.Revision)
		return nil
	}
	if len(changes) == 0 && c.Publication == "" && current.head.Revision > 0 {
		c.printf("nothing to publish: revision %d is the same\n", current.head.Revision)
		return nil
	}
	err = publisher.publish(ctx, current, set, c.Message)
	return publisher.conflict(current, err)
}

func (e *Environment) printChanges(changes []config.Change) {
	for _, change := range changes {
		e.printf("%s\n", change)
	}
}

// publisher publishes sets for one command.
type publisher struct {
	environment *Environment
	client      *registry.Client
	publication string
	// byID is set for a command that takes the id of an attempt to repeat.
	byID bool
}

// inForce is what a command read before its change.
type inForce struct {
	head    registry.Head
	revised config.PublishedSet
}

func (p *publisher) read(ctx context.Context) (inForce, error) {
	head, err := p.client.Head(ctx)
	if err != nil || head.Revision == 0 {
		return inForce{}, err
	}
	revised, err := p.client.FetchHead(ctx, head)
	return inForce{head, revised}, err
}

// publish puts a set in force after current and tells how it went.
func (p *publisher) publish(ctx context.Context, current inForce, set config.Set, message string) error {
	id := p.publication
	if id == "" {
		id = uuid.NewString()
	}
	revised, err := p.client.PublishDraft(ctx, current.head, registry.Draft{Set: set, Publication: id, Message: message})
	switch {
	case errors.Is(err, registry.ErrUnavailable):
		return errors.Wrapf(err, "it is unknown whether this was published; %s", p.repeat(id))
	case err != nil:
		return err
	}
	p.environment.printf("published revision %d\n", revised.Revision)
	p.prune(ctx, revised)
	return nil
}

// repeat tells how to repeat a command whose outcome is unknown. A command that
// changes what is in force finds its change there; files could meanwhile have
// been overtaken by others.
func (p *publisher) repeat(id string) string {
	if p.byID {
		return "repeat the command with -publication " + id
	}
	return "repeat the command"
}

// prune deletes the revisions that are too old for a rollback. What it can't
// delete now it finds again after the next publication.
func (p *publisher) prune(ctx context.Context, revised config.PublishedSet) {
	head := registry.Head{History: revised.History, Revision: revised.Revision}
	if _, err := p.client.Prune(ctx, head, keptRevisions); err != nil {
		p.environment.printf("old revisions are still there: %v\n", err)
	}
}

// overtaken is the error of a change that was made for a base which is no
// longer in force. It shows what was changed since.
func (p *publisher) overtaken(ctx context.Context, base fleet.Revision, current inForce) error {
	if current.head.Revision == 0 || base > current.head.Revision {
		return badInput("revision %d was never published: %d is in force", base, current.head.Revision)
	}
	before, err := p.client.Fetch(ctx, base)
	if err != nil {
		return errors.Wrapf(err, "revision %d is in force, not %d", current.head.Revision, base)
	}
	p.environment.printChanges(config.Diff(before.Set, current.revised.Set))
	return errors.Errorf("conflict: revision %d is in force, not %d; above is what changed since", current.head.Revision, base)
}

// conflict shows what another publication changed, and returns the error.
func (p *publisher) conflict(current inForce, err error) error {
	lost, ok := errors.Into[*registry.ConflictError](err)
	if !ok {
		return err
	}
	p.environment.printChanges(config.Diff(current.revised.Set, lost.Winner.Set))
	return errors.Wrap(err, "conflict: nothing was published; above is what changed meanwhile")
}
