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

// Publish is the command that puts configuration files in force.
type Publish struct {
	Environment
	platformFlag
	DryRun      bool
	Base        uint64
	Message     string
	Publication string
}

// Name returns the name of the subcommand.
func (*Publish) Name() string { return "publish" }

// Synopsis returns a one-line description of the command.
func (*Publish) Synopsis() string { return "put configuration files in force" }

// Usage returns the help text of the command.
func (*Publish) Usage() string {
	return `publish [-platform URL] [-dry-run] [-base REVISION] [-message TEXT] FILE|DIR...:
  Check the files as check does, show what they would change, and put them in
  force as the next revision. The files must hold the whole configuration:
  objects that they leave out are removed.

  A data centre without "state" and a server without "drain" in its file keep
  the value set by the commands out, in and drain.

  -dry-run shows the changes and the revision in force, and changes nothing.
  With -base the command fails if another revision is in force, and shows the
  changes since the given one. If the platform does not respond, the command
  prints how to repeat it; repeating never publishes twice.

  Example: rattanthread publish -dry-run examples/configuration
           rattanthread publish -base 7 -message "more map servers" examples/configuration
`
}

// SetFlags defines the command's flags.
func (c *Publish) SetFlags(f *flag.FlagSet) {
	c.setFlag(f)
	f.BoolVar(&c.DryRun, "dry-run", false, "show the changes without publishing them")
	f.Uint64Var(&c.Base, "base", 0, "fail unless this `revision` is in force")
	f.StringVar(&c.Message, "message", "", "`text` that explains the change")
	f.StringVar(&c.Publication, "publication", "", "`id` of an attempt to repeat")
}

// Execute runs the command.
func (c *Publish) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	set, err := loadArguments(f)
	if err != nil {
		return c.fail(err)
	}
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	if err := c.publish(ctx, set); err != nil {
		return c.fail(err)
	}
	return subcommands.ExitSuccess
}

func (c *Publish) publish(ctx context.Context, set config.Set) error {
	pub := publisher{environment: &c.Environment, client: c.connect(c.platformURL()), publication: c.Publication, acceptsID: true}
	current, err := pub.readSnapshot(ctx)
	if err != nil {
		return err
	}
	if c.Base != 0 && fleet.Revision(c.Base) != current.head.Revision {
		return pub.baseConflict(ctx, fleet.Revision(c.Base), current)
	}
	set = set.WithOperationalState(current.published.Set)
	if err := config.Check(set).Err(); err != nil {
		return err
	}
	changes := config.Diff(current.published.Set, set)
	c.printChanges(changes)
	if c.DryRun {
		c.printf("%d changes to revision %d; publish them with -base %d\n", len(changes), current.head.Revision, current.head.Revision)
		return nil
	}
	if len(changes) == 0 && c.Publication == "" && current.head.Revision > 0 {
		c.printf("nothing to publish: revision %d has the same objects\n", current.head.Revision)
		return nil
	}
	err = pub.publish(ctx, current, set, c.Message)
	return pub.reportConflict(current, err)
}

func (e *Environment) printChanges(changes []config.Change) {
	for _, change := range changes {
		e.printf("%s\n", change)
	}
}

// publisher reads and publishes configuration sets on behalf of a command.
type publisher struct {
	environment *Environment
	client      *registry.Client
	publication string
	// acceptsID is set if the command has a flag for the id of an attempt to repeat.
	acceptsID bool
}

// snapshot is the head and the revision in force, as a command read them before its
// change.
type snapshot struct {
	head      registry.Head
	published config.PublishedSet
}

func (p *publisher) readSnapshot(ctx context.Context) (snapshot, error) {
	head, err := p.client.Head(ctx)
	if err != nil || head.Revision == 0 {
		return snapshot{}, err
	}
	published, err := p.client.FetchHead(ctx, head)
	return snapshot{head, published}, err
}

// publish puts a set in force as the successor of current and prints the outcome.
func (p *publisher) publish(ctx context.Context, current snapshot, set config.Set, message string) error {
	id := p.publication
	if id == "" {
		id = uuid.NewString()
	}
	published, err := p.client.PublishDraft(ctx, current.head, registry.Draft{Set: set, Publication: id, Message: message})
	switch {
	case errors.Is(err, registry.ErrUnavailable):
		return errors.Wrapf(err, "the outcome of the publication is unknown; %s", p.retryHint(id))
	case err != nil:
		return err
	}
	p.environment.printf("published revision %d\n", published.Revision)
	p.prune(ctx, published)
	return nil
}

// retryHint returns how to repeat a command whose outcome is unknown. An edit finds
// its own change in force when it is repeated, but files need the id of the first
// attempt, because another publication may have followed it.
func (p *publisher) retryHint(id string) string {
	if p.acceptsID {
		return "repeat the command with -publication " + id
	}
	return "repeat the command"
}

// prune deletes the revisions that are too old for a rollback. Revisions that it
// fails to delete are deleted after a later publication.
func (p *publisher) prune(ctx context.Context, published config.PublishedSet) {
	head := registry.Head{History: published.History, Revision: published.Revision}
	if _, err := p.client.Prune(ctx, head, keptRevisions); err != nil {
		p.environment.printf("failed to delete old revisions: %v\n", err)
	}
}

// baseConflict returns the error for a change whose base is no longer in force. It
// prints the changes since the base.
func (p *publisher) baseConflict(ctx context.Context, base fleet.Revision, current snapshot) error {
	if current.head.Revision == 0 || base > current.head.Revision {
		return inputErrorf("revision %d was never published: %d is in force", base, current.head.Revision)
	}
	before, err := p.client.Fetch(ctx, base)
	if err != nil {
		return errors.Wrapf(err, "revision %d is in force, not %d", current.head.Revision, base)
	}
	p.environment.printChanges(config.Diff(before.Set, current.published.Set))
	return errors.Errorf("conflict: revision %d is in force, not %d; the changes since then are listed above", current.head.Revision, base)
}

// reportConflict prints the changes of the publication that err conflicts with, if
// any, and returns the error.
func (p *publisher) reportConflict(current snapshot, err error) error {
	conflict, ok := errors.Into[*registry.ConflictError](err)
	if !ok {
		return err
	}
	p.environment.printChanges(config.Diff(current.published.Set, conflict.Winner.Set))
	return errors.Wrap(err, "conflict: nothing was published; the conflicting changes are listed above")
}
