package registry

import (
	"context"
	"encoding/json"
	"net/http"
	"regexp"
	"time"

	"github.com/go-faster/errors"

	"github.com/rattanthread/rattanthread/config"
	"github.com/rattanthread/rattanthread/fleet"
)

// How a publisher repeats a call that got no answer.
const (
	publishAttempts   = 8
	publishBackoff    = 100 * time.Millisecond
	maxPublishBackoff = 2 * time.Second
)

// maxEarlier bounds the earlier publications that a revision lists.
const maxEarlier = 64

var publicationPattern = regexp.MustCompile(`^[a-z0-9-]{8,64}$`)

// Draft is a set to be published.
type Draft struct {
	Set config.Set
	// Publication identifies the attempt: 8 to 64 of a-z, 0-9 and '-', such as a
	// UUID. To repeat a publication whose outcome is unknown, use the same id.
	Publication string
	// Message is what the operator says about the change.
	Message string
}

// Publish puts a set in force after base. It is the short form of PublishDraft.
func (c *Client) Publish(ctx context.Context, base Head, set config.Set, publication string) (config.Revised, error) {
	return c.PublishDraft(ctx, base, Draft{Set: set, Publication: publication})
}

// PublishDraft puts a set in force, if base is still the head. It returns the
// revision, also when an earlier attempt with the same id had published it. It
// returns a ConflictError if another publication came first. After
// ErrUnavailable the outcome is unknown: repeat with the same id.
//
// The set must have passed config.Check. A rollback is a publication of an
// older set, and a new revision.
func (c *Client) PublishDraft(ctx context.Context, base Head, draft Draft) (config.Revised, error) {
	if !publicationPattern.MatchString(draft.Publication) {
		return config.Revised{}, c.fail(StepStore, ErrRefused, errors.Errorf("bad publication id %q", draft.Publication))
	}
	revised, done, err := c.prepare(ctx, base, draft)
	if err != nil || done {
		return revised, err
	}
	stored, err := c.store(ctx, revised)
	if err != nil {
		return config.Revised{}, err
	}
	if len(config.Diff(stored.Set, revised.Set)) > 0 {
		return config.Revised{}, c.fail(StepStore, ErrRefused, errors.New("the publication id was used for another set"))
	}
	return c.advance(ctx, base, stored)
}

// prepare makes the revision that follows base. It is done if base already is,
// or follows, this publication.
func (c *Client) prepare(ctx context.Context, base Head, draft Draft) (config.Revised, bool, error) {
	revised := config.Revised{
		History:     base.History,
		Revision:    base.Revision + 1,
		Published:   c.now().UTC(),
		Publication: draft.Publication,
		Message:     draft.Message,
	}
	if base.Revision == 0 {
		// The first publication names the history, so that its repetition does too.
		revised.History = fleet.HistoryID(draft.Publication)
		revised.Set = draft.Set.Normalised().Stamped(config.Set{}, revised.Published)
		return revised, false, nil
	}
	before, err := repeat(ctx, c, func() (config.Revised, error) { return c.FetchHead(ctx, base) })
	if err != nil {
		return config.Revised{}, false, err
	}
	if before.Publication == draft.Publication {
		return before, true, nil
	}
	for _, earlier := range before.Earlier {
		if earlier.Publication == draft.Publication {
			found, err := c.fetch(ctx, base.History, earlier)
			return found, err == nil, err
		}
	}
	revised.Set = draft.Set.Normalised().Stamped(before.Set, revised.Published)
	revised.Earlier = earlierOf(before)
	return revised, false, nil
}

func earlierOf(before config.Revised) []config.Earlier {
	latest := config.Earlier{Revision: before.Revision, Publication: before.Publication}
	earlier := append([]config.Earlier{latest}, before.Earlier...)
	return earlier[:min(len(earlier), maxEarlier)]
}

// store creates the revision's object. If it exists already, an earlier attempt
// stored it, and that one counts.
func (c *Client) store(ctx context.Context, revised config.Revised) (config.Revised, error) {
	value, err := revised.Encode()
	if err != nil {
		return config.Revised{}, c.fail(StepStore, ErrRefused, err)
	}
	which := config.Earlier{Revision: revised.Revision, Publication: revised.Publication}
	_, err = c.putRepeatedly(ctx, request{
		step:  StepStore,
		name:  revisionName(revised.History, which),
		value: value,
	}, 0)
	if errors.Is(err, ErrConflict) {
		head := headOf(revised)
		return repeat(ctx, c, func() (config.Revised, error) { return c.FetchHead(ctx, head) })
	}
	return revised, err
}

// advance moves the head from base to the stored revision.
func (c *Client) advance(ctx context.Context, base Head, stored config.Revised) (config.Revised, error) {
	head := headOf(stored)
	value, err := json.Marshal(head)
	if err != nil {
		return config.Revised{}, c.fail(StepAdvance, ErrRefused, errors.Wrap(err, "encode head"))
	}
	version, err := c.putRepeatedly(ctx, request{step: StepAdvance, name: headName, value: value}, base.Version)
	if err == nil {
		head.Version = version
		c.remember(head)
		return stored, nil
	}
	var conflict *Error
	if errors.Is(err, ErrConflict) && errors.As(err, &conflict) {
		return c.resolve(ctx, base, stored, conflict.current)
	}
	return config.Revised{}, err
}

// resolve finds out who moved the head: this publication, whose answer was
// lost, or another one.
func (c *Client) resolve(ctx context.Context, base Head, stored config.Revised, current Version) (config.Revised, error) {
	head, err := c.headAt(ctx, current)
	if err != nil {
		return config.Revised{}, err
	}
	winner, err := repeat(ctx, c, func() (config.Revised, error) { return c.FetchHead(ctx, head) })
	if err != nil {
		return config.Revised{}, err
	}
	if winner.History == stored.History && winner.Revision >= stored.Revision {
		own, err := c.walk(ctx, head, func(e config.Earlier) bool { return e.Revision == stored.Revision })
		if err != nil {
			return config.Revised{}, err
		}
		if own.Publication == stored.Publication {
			return own, nil
		}
	}
	return config.Revised{}, &ConflictError{Base: base, Head: head, Winner: winner}
}

// headAt reads the head until the answer is no older than the version.
func (c *Client) headAt(ctx context.Context, version Version) (Head, error) {
	return repeat(ctx, c, func() (Head, error) {
		head, err := c.Head(ctx)
		if err == nil && (head.Version < version || head.Revision == 0) {
			err = c.fail(StepHead, ErrUnavailable, errors.Errorf("no read as new as version %d", version))
		}
		return head, err
	})
}

// putRepeatedly writes an object if it has the given version. It repeats a
// write without answer, which the version makes harmless.
func (c *Client) putRepeatedly(ctx context.Context, r request, onlyAt Version) (Version, error) {
	r.call = CallWrite
	r.method = http.MethodPut
	r.onlyAt = &onlyAt
	r.maxRead = MaxObjectBytes
	return repeat(ctx, c, func() (Version, error) {
		o, _, err := c.do(ctx, r)
		return o.version, err
	})
}

// repeat calls do until it gets an answer, a bounded number of times.
func repeat[T any](ctx context.Context, c *Client, do func() (T, error)) (T, error) {
	for attempt := 0; ; attempt++ {
		value, err := do()
		if !errors.Is(err, ErrUnavailable) || attempt+1 == publishAttempts {
			return value, err
		}
		if sleep(ctx, min(publishBackoff<<attempt, maxPublishBackoff)) != nil {
			return value, err
		}
		c.count(CallRetry)
	}
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
