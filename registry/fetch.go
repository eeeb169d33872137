package registry

import (
	"context"
	"fmt"
	"net/http"

	"github.com/go-faster/errors"

	"github.com/rattanthread/rattanthread/config"
	"github.com/rattanthread/rattanthread/fleet"
)

// Fetch reads a revision, which may be older than the head.
func (c *Client) Fetch(ctx context.Context, rev fleet.Revision) (config.PublishedSet, error) {
	head := c.cachedHead()
	if head.Revision < rev || rev == 0 {
		fresh, err := c.Head(ctx)
		if err != nil {
			return config.PublishedSet{}, err
		}
		head = fresh
	}
	if rev == 0 || rev > head.Revision {
		return config.PublishedSet{}, c.newError(StepFetch, ErrNotFound, errors.Errorf("revision %d is not published; the head is revision %d", rev, head.Revision))
	}
	return c.findRevision(ctx, head, func(e config.PublicationRef) bool { return e.Revision == rev })
}

// FetchHead reads the revision that head refers to, in one call.
func (c *Client) FetchHead(ctx context.Context, head Head) (config.PublishedSet, error) {
	if head.Revision == 0 {
		return config.PublishedSet{}, c.newError(StepFetch, ErrNotFound, errors.New("no revision is published"))
	}
	published, err := c.fetch(ctx, config.PublicationRef{Revision: head.Revision, Publication: head.Publication, History: head.History})
	if errors.Is(err, ErrNotFound) {
		// The revision is written before the head, so a read that misses it lags.
		return config.PublishedSet{}, c.newError(StepFetch, ErrUnavailable, errors.Errorf("revision %d is not visible yet", head.Revision))
	}
	return published, err
}

// findRevision returns the first matching revision in the history of head, from the
// latest to the earliest. It needs few calls, since each revision lists up to
// maxEarlierPublications earlier ones.
func (c *Client) findRevision(ctx context.Context, head Head, match func(config.PublicationRef) bool) (config.PublishedSet, error) {
	ref := config.PublicationRef{Revision: head.Revision, Publication: head.Publication, History: head.History}
	for {
		published, err := c.fetch(ctx, ref)
		if err != nil || match(ref) {
			return published, err
		}
		for _, earlier := range published.EarlierPublications {
			ref = inHistory(earlier, published.History)
			if match(earlier) {
				break
			}
		}
		if ref.Revision >= published.Revision {
			return config.PublishedSet{}, c.newError(StepFetch, ErrNotFound, errors.New("revision is not in the history of the head"))
		}
	}
}

// inHistory returns a publication that a set of a history lists, with its own history.
func inHistory(ref config.PublicationRef, history fleet.HistoryID) config.PublicationRef {
	if ref.History == "" {
		ref.History = history
	}
	return ref
}

func (c *Client) fetch(ctx context.Context, ref config.PublicationRef) (config.PublishedSet, error) {
	obj, _, err := c.do(ctx, apiCall{
		step:             StepFetch,
		kind:             CallRead,
		method:           http.MethodGet,
		name:             revisionName(ref),
		maxResponseBytes: MaxObjectBytes,
	})
	if err != nil {
		return config.PublishedSet{}, err
	}
	published, err := config.DecodePublishedSet(obj.value)
	if err != nil {
		return config.PublishedSet{}, c.newError(StepFetch, ErrUnavailable, err)
	}
	return published, nil
}

// revisionName returns the object name of a revision. It includes the publication,
// so that concurrent publishers of the same revision number write different objects
// and only the update of the head decides between them.
func revisionName(ref config.PublicationRef) string {
	return fmt.Sprintf("configuration/revisions/%s/%d-%s", ref.History, ref.Revision, ref.Publication)
}
