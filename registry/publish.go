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

// The retry policy of calls without a usable response.
const (
	publishAttempts   = 8
	publishBackoff    = 100 * time.Millisecond
	maxPublishBackoff = 2 * time.Second
)

// maxEarlierPublications is the maximum number of earlier publications that a
// revision lists.
const maxEarlierPublications = 64

var publicationPattern = regexp.MustCompile(`^[a-z0-9-]{8,64}$`)

// Draft is a configuration set to be published.
type Draft struct {
	Set config.Set
	// Publication is the id of the publication: 8 to 64 characters of a-z, 0-9 and
	// '-', such as a UUID. To retry a publication whose outcome is unknown, use the
	// same id.
	Publication string
	// Message is the operator's description of the change.
	Message string
}

// Publish is like PublishDraft, without a message.
func (c *Client) Publish(ctx context.Context, base Head, set config.Set, publication string) (config.PublishedSet, error) {
	return c.PublishDraft(ctx, base, Draft{Set: set, Publication: publication})
}

// PublishDraft publishes a set if base is still the head, and returns the new
// revision. If an earlier attempt with the same id has published the set, it returns
// that revision. It returns a ConflictError if another publication preceded this
// one. After ErrUnavailable the outcome is unknown: retry with the same id.
//
// The set must have passed config.Check. A rollback publishes an older set as a new
// revision.
func (c *Client) PublishDraft(ctx context.Context, base Head, draft Draft) (config.PublishedSet, error) {
	if !publicationPattern.MatchString(draft.Publication) {
		return config.PublishedSet{}, c.newError(StepStore, ErrRefused, errors.Errorf("bad publication id %q", draft.Publication))
	}
	next, done, err := c.prepareRevision(ctx, base, draft)
	if errors.Is(err, errBaseLost) {
		return c.resolveConflict(ctx, base, next, 0)
	}
	if err != nil || done {
		return next, err
	}
	stored, err := c.storeRevision(ctx, next)
	if err != nil {
		return config.PublishedSet{}, err
	}
	if len(config.Diff(stored.Set, next.Set)) > 0 {
		return config.PublishedSet{}, c.newError(StepStore, ErrRefused, errors.New("publication id was already used for a different set"))
	}
	return c.advanceHead(ctx, base, stored)
}

// errBaseLost means that a restoration of the store may have lost the base of a publication.
var errBaseLost = errors.New("the store was restored from an older copy after the base was read")

// prepareRevision returns the revision to publish after base, or the published
// revision and true if base is or descends from this publication.
func (c *Client) prepareRevision(ctx context.Context, base Head, draft Draft) (config.PublishedSet, bool, error) {
	next := config.PublishedSet{
		History:     base.History,
		Revision:    base.Revision + 1,
		Published:   c.now().UTC(),
		Epoch:       base.ReadEpoch,
		Publication: draft.Publication,
		Message:     draft.Message,
	}
	if base.Revision == 0 {
		// The history is named after the first publication, so that a retry yields the
		// same name.
		next.History = fleet.HistoryID(draft.Publication)
		next.Set = draft.Set.Normalised().WithStateTimes(config.Set{}, next.Published)
		return next, false, nil
	}
	previous, err := retry(ctx, c, func() (config.PublishedSet, error) {
		previous, err := c.FetchHead(ctx, base)
		if errors.Is(err, ErrUnavailable) && base.ReadEpoch != 0 && base.ReadEpoch != c.currentEpoch() {
			return previous, errBaseLost
		}
		return previous, err
	})
	if err != nil {
		return next, false, err
	}
	if previous.Publication == draft.Publication {
		return previous, true, nil
	}
	for _, earlier := range previous.EarlierPublications {
		if earlier.Publication == draft.Publication {
			found, err := c.fetch(ctx, inHistory(earlier, previous.History))
			return found, err == nil, err
		}
	}
	if base.Epoch != 0 && base.Epoch < base.ReadEpoch {
		// Revisions after the base may be lost. Hosts that have them must not take this one
		// for one of them.
		next.History = fleet.HistoryID(draft.Publication)
	}
	next.Set = draft.Set.Normalised().WithStateTimes(previous.Set, next.Published)
	next.EarlierPublications = earlierPublications(previous, next.History)
	return next, false, nil
}

// earlierPublications returns the publications before the next one, which is in a history.
func earlierPublications(previous config.PublishedSet, history fleet.HistoryID) []config.PublicationRef {
	earlier := []config.PublicationRef{{Revision: previous.Revision, Publication: previous.Publication, History: previous.History}}
	for _, ref := range previous.EarlierPublications {
		earlier = append(earlier, inHistory(ref, previous.History))
	}
	earlier = earlier[:min(len(earlier), maxEarlierPublications)]
	for i := range earlier {
		if earlier[i].History == history {
			earlier[i].History = ""
		}
	}
	return earlier
}

// storeRevision creates the object of a revision and returns the stored revision,
// which is that of an earlier attempt if the object already exists.
func (c *Client) storeRevision(ctx context.Context, next config.PublishedSet) (config.PublishedSet, error) {
	value, err := next.Encode()
	if err != nil {
		return config.PublishedSet{}, c.newError(StepStore, ErrRefused, err)
	}
	ref := config.PublicationRef{Revision: next.Revision, Publication: next.Publication, History: next.History}
	_, err = c.putWithRetry(ctx, apiCall{
		step:  StepStore,
		name:  revisionName(ref),
		value: value,
	}, 0)
	if errors.Is(err, ErrConflict) {
		head := headOf(next)
		return retry(ctx, c, func() (config.PublishedSet, error) { return c.FetchHead(ctx, head) })
	}
	return next, err
}

// advanceHead moves the head from base to the stored revision.
func (c *Client) advanceHead(ctx context.Context, base Head, stored config.PublishedSet) (config.PublishedSet, error) {
	if base.ReadEpoch != 0 && base.ReadEpoch != c.currentEpoch() {
		// The restored store may have assigned the version of the base to another head.
		return c.resolveConflict(ctx, base, stored, 0)
	}
	head := headOf(stored)
	value, err := json.Marshal(head)
	if err != nil {
		return config.PublishedSet{}, c.newError(StepAdvance, ErrRefused, errors.Wrap(err, "encode head"))
	}
	version, err := c.putWithRetry(ctx, apiCall{step: StepAdvance, name: headName, value: value}, base.Version)
	if err == nil {
		head.Version = version
		c.cacheHead(head)
		return stored, nil
	}
	var conflict *Error
	if errors.Is(err, ErrConflict) && errors.As(err, &conflict) {
		return c.resolveConflict(ctx, base, stored, conflict.current)
	}
	return config.PublishedSet{}, err
}

// resolveConflict determines whether the head was moved by this publication, whose
// response was lost, or by another one.
func (c *Client) resolveConflict(ctx context.Context, base Head, stored config.PublishedSet, current Version) (config.PublishedSet, error) {
	head, err := c.readHeadSince(ctx, current)
	if err != nil {
		return config.PublishedSet{}, err
	}
	winner, err := retry(ctx, c, func() (config.PublishedSet, error) { return c.FetchHead(ctx, head) })
	if err != nil {
		return config.PublishedSet{}, err
	}
	if winner.History == stored.History && winner.Revision >= stored.Revision {
		published, err := c.findRevision(ctx, head, func(e config.PublicationRef) bool { return e.Revision == stored.Revision })
		if err != nil {
			return config.PublishedSet{}, err
		}
		if published.Publication == stored.Publication {
			return published, nil
		}
	}
	return config.PublishedSet{}, &ConflictError{Base: base, Head: head, Winner: winner}
}

// readHeadSince reads the head, with retries, until the result is at least as new as
// version.
func (c *Client) readHeadSince(ctx context.Context, version Version) (Head, error) {
	return retry(ctx, c, func() (Head, error) {
		head, err := c.Head(ctx)
		if err == nil && (head.Version < version || head.Revision == 0) {
			err = c.newError(StepHead, ErrUnavailable, errors.Errorf("head is older than version %d", version))
		}
		return head, err
	})
}

// putWithRetry writes an object if it has the given version. It retries writes
// without a response, which is safe since the version makes them idempotent.
func (c *Client) putWithRetry(ctx context.Context, call apiCall, ifVersion Version) (Version, error) {
	call.kind = CallWrite
	call.method = http.MethodPut
	call.ifVersion = &ifVersion
	call.maxResponseBytes = MaxObjectBytes
	return retry(ctx, c, func() (Version, error) {
		obj, _, err := c.do(ctx, call)
		return obj.version, err
	})
}

// retry calls do with exponential backoff until the error is not ErrUnavailable, up
// to publishAttempts times.
func retry[T any](ctx context.Context, c *Client, do func() (T, error)) (T, error) {
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
