package registry

import (
	"context"
	"fmt"
	"net/http"

	"github.com/go-faster/errors"

	"github.com/rattanthread/rattanthread/config"
	"github.com/rattanthread/rattanthread/fleet"
)

// Fetch reads a revision, which may be an older one than the head.
func (c *Client) Fetch(ctx context.Context, rev fleet.Revision) (config.Revised, error) {
	head := c.knownHead()
	if head.Revision < rev || rev == 0 {
		fresh, err := c.Head(ctx)
		if err != nil {
			return config.Revised{}, err
		}
		head = fresh
	}
	if rev == 0 || rev > head.Revision {
		return config.Revised{}, c.fail(StepFetch, ErrNotFound, errors.Errorf("revision %d of %d", rev, head.Revision))
	}
	return c.walk(ctx, head, func(e config.Earlier) bool { return e.Revision == rev })
}

// FetchHead reads the revision that a head names, in one call.
func (c *Client) FetchHead(ctx context.Context, head Head) (config.Revised, error) {
	if head.Revision == 0 {
		return config.Revised{}, c.fail(StepFetch, ErrNotFound, errors.New("nothing is published"))
	}
	revised, err := c.fetch(ctx, head.History, config.Earlier{Revision: head.Revision, Publication: head.Publication})
	if errors.Is(err, ErrNotFound) {
		// The head is written after the revision, so the read of the latter lags.
		return config.Revised{}, c.fail(StepFetch, ErrUnavailable, errors.Errorf("revision %d is not visible yet", head.Revision))
	}
	return revised, err
}

// walk finds a publication that led to head. Each revision lists a number of
// earlier ones, so it needs few calls.
func (c *Client) walk(ctx context.Context, head Head, match func(config.Earlier) bool) (config.Revised, error) {
	at := config.Earlier{Revision: head.Revision, Publication: head.Publication}
	for {
		revised, err := c.fetch(ctx, head.History, at)
		if err != nil || match(at) {
			return revised, err
		}
		for _, earlier := range revised.Earlier {
			at = earlier
			if match(earlier) {
				break
			}
		}
		if at.Revision >= revised.Revision {
			return config.Revised{}, c.fail(StepFetch, ErrNotFound, errors.New("not among the publications"))
		}
	}
}

func (c *Client) fetch(ctx context.Context, history fleet.HistoryID, which config.Earlier) (config.Revised, error) {
	o, _, err := c.do(ctx, request{
		step:    StepFetch,
		call:    CallRead,
		method:  http.MethodGet,
		name:    revisionName(history, which),
		maxRead: MaxObjectBytes,
	})
	if err != nil {
		return config.Revised{}, err
	}
	revised, err := config.DecodeRevised(o.value)
	if err != nil {
		return config.Revised{}, c.fail(StepFetch, ErrUnavailable, err)
	}
	return revised, nil
}

// revisionName has the publication in it, so that two publishers of the same
// revision number don't meet before the head decides between them.
func revisionName(history fleet.HistoryID, which config.Earlier) string {
	return fmt.Sprintf("configuration/revisions/%s/%d-%s", history, which.Revision, which.Publication)
}
