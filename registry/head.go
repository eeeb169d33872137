package registry

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/rattanthread/rattanthread/config"
	"github.com/rattanthread/rattanthread/fleet"
)

// headName is the object that tells which revision is in force.
const headName = "configuration/head"

// Head tells which revision is in force. The zero Head means that nothing was
// published yet.
type Head struct {
	History     fleet.HistoryID `json:"history"`
	Revision    fleet.Revision  `json:"revision"`
	Publication string          `json:"publication"`
	Published   time.Time       `json:"published"`
	Message     string          `json:"message,omitempty"`
	// Version is that of the head object, on which the next publication depends.
	Version Version `json:"-"`
}

func headOf(r config.Revised) Head {
	return Head{
		History:     r.History,
		Revision:    r.Revision,
		Publication: r.Publication,
		Published:   r.Published,
		Message:     r.Message,
	}
}

// Head reads the head. An empty store gives the zero Head. The answer may lag
// behind what is in force.
func (c *Client) Head(ctx context.Context) (Head, error) {
	return c.readHead(ctx, request{step: StepHead, call: CallRead})
}

// Watch waits until the head is past the revision after, at most for wait, and
// returns the head. It is one call, and a second one when the client has not
// read that revision's head before. A head that is not past after means that
// the wait ended, or that the store was recreated if its History differs.
func (c *Client) Watch(ctx context.Context, after fleet.Revision, wait time.Duration) (Head, error) {
	known := c.knownHead()
	if known.Revision != after {
		head, err := c.Head(ctx)
		if err != nil || head.Revision > after || (known.History != "" && head.History != known.History) {
			return head, err
		}
		known = head
	}
	head, err := c.readHead(ctx, request{
		step:  StepWatch,
		call:  CallWatch,
		query: url.Values{"after": {strconv.FormatUint(uint64(known.Version), 10)}, "wait": {wait.String()}},
		wait:  wait,
	})
	switch {
	case err != nil:
		return Head{}, err
	case head.Revision != 0:
		return head, nil
	case head.Version != 0 && head.Version < known.Version:
		// The store's versions went back: it was recreated, or this answer lags.
		return c.Head(ctx)
	default:
		return known, nil
	}
}

// readHead returns a head without revision for a watch that ended without news.
func (c *Client) readHead(ctx context.Context, r request) (Head, error) {
	r.method = http.MethodGet
	r.name = headName
	r.maxRead = MaxObjectBytes
	o, status, err := c.do(ctx, r)
	switch {
	case errors.Is(err, ErrNotFound):
		return Head{}, nil
	case err != nil:
		return Head{}, err
	case status == http.StatusNoContent:
		return Head{Version: o.version}, nil
	}
	var head Head
	if err := json.Unmarshal(o.value, &head); err != nil {
		return Head{}, c.fail(r.step, ErrUnavailable, errors.Wrap(err, "decode head"))
	}
	head.Version = o.version
	c.remember(head)
	return head, nil
}

func (c *Client) knownHead() Head {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastHead
}

// remember keeps the head of the highest version, or of a recreated store.
func (c *Client) remember(head Head) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if head.History != c.lastHead.History || head.Version > c.lastHead.Version {
		c.lastHead = head
	}
}
