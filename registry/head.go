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

// headName is the name of the head object, which identifies the revision in force.
const headName = "configuration/head"

// Head identifies the revision in force. The zero Head means that nothing has been
// published.
type Head struct {
	History     fleet.HistoryID `json:"history"`
	Revision    fleet.Revision  `json:"revision"`
	Publication string          `json:"publication"`
	Published   time.Time       `json:"published"`
	Message     string          `json:"message,omitempty"`
	// Epoch is the epoch of the store in which the revision was published.
	Epoch fleet.StoreEpoch `json:"epoch,omitempty"`
	// ReadEpoch is the epoch of the store from which the head was read.
	ReadEpoch fleet.StoreEpoch `json:"-"`
	// Version is the version of the head object, on which the next publication is
	// conditional.
	Version Version `json:"-"`
}

func headOf(r config.PublishedSet) Head {
	return Head{
		History:     r.History,
		Revision:    r.Revision,
		Publication: r.Publication,
		Published:   r.Published,
		Message:     r.Message,
		Epoch:       r.Epoch,
		ReadEpoch:   r.Epoch,
	}
}

// Head reads the head, which is zero if the store is empty. The result may lag
// behind the revision in force.
func (c *Client) Head(ctx context.Context) (Head, error) {
	return c.readHead(ctx, apiCall{step: StepHead, kind: CallRead})
}

// Watch waits up to wait for a revision later than after, and returns the head. It
// makes a second call unless the last head that the client read is that of revision
// after. If the returned head is not later than after, the wait ended or, if its
// History differs, the store was recreated.
func (c *Client) Watch(ctx context.Context, after fleet.Revision, wait time.Duration) (Head, error) {
	cached := c.cachedHead()
	if cached.Revision != after {
		head, err := c.Head(ctx)
		if err != nil || head.Revision > after || (cached.History != "" && head.History != cached.History) {
			return head, err
		}
		cached = head
	}
	head, err := c.readHead(ctx, apiCall{
		step:  StepWatch,
		kind:  CallWatch,
		query: url.Values{"after": {strconv.FormatUint(uint64(cached.Version), 10)}, "wait": {wait.String()}},
		wait:  wait,
	})
	switch {
	case err != nil:
		return Head{}, err
	case head.Revision != 0:
		return head, nil
	case head.Version != 0 && head.Version < cached.Version:
		// The version has decreased: the store was recreated, or this read lags.
		return c.Head(ctx)
	default:
		return cached, nil
	}
}

// readHead makes a call that reads the head. If a watch ends without a change, the
// returned head has a version but no revision.
func (c *Client) readHead(ctx context.Context, call apiCall) (Head, error) {
	call.method = http.MethodGet
	call.name = headName
	call.maxResponseBytes = MaxObjectBytes
	obj, status, err := c.do(ctx, call)
	switch {
	case errors.Is(err, ErrNotFound):
		return Head{ReadEpoch: obj.epoch}, nil
	case err != nil:
		return Head{}, err
	case status == http.StatusNoContent:
		return Head{Version: obj.version}, nil
	}
	var head Head
	if err := json.Unmarshal(obj.value, &head); err != nil {
		return Head{}, c.newError(call.step, ErrUnavailable, errors.Wrap(err, "decode head"))
	}
	head.Version, head.ReadEpoch = obj.version, obj.epoch
	c.cacheHead(head)
	return head, nil
}

func (c *Client) cachedHead() Head {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastHead
}

// cacheHead caches a head that has a higher version than the cached one or is from
// a recreated store, but none that was read before a restoration of the store.
func (c *Client) cacheHead(head Head) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if head.ReadEpoch < c.epoch {
		return
	}
	if head.History != c.lastHead.History || head.Version > c.lastHead.Version {
		c.lastHead = head
	}
}
