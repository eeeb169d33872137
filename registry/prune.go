package registry

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/go-faster/errors"

	"github.com/rattanthread/rattanthread/fleet"
)

// maxPruned bounds the objects that one call of Prune deletes.
const maxPruned = 100

// Prune deletes the revisions that are keep or more behind the head, among them
// those that were stored but never came into force. It returns how many it
// deleted. Older revisions can no longer be fetched or rolled back to.
func (c *Client) Prune(ctx context.Context, head Head, keep uint64) (int, error) {
	prefix := fmt.Sprintf("configuration/revisions/%s/", head.History)
	names, err := c.names(ctx, prefix)
	if err != nil {
		return 0, err
	}
	deleted := 0
	for _, name := range names {
		rev, ok := revisionOf(strings.TrimPrefix(name, prefix))
		if !ok || uint64(rev)+keep > uint64(head.Revision) || deleted == maxPruned {
			continue
		}
		_, _, err := c.do(ctx, request{step: StepPrune, call: CallWrite, method: http.MethodDelete, name: name, maxRead: MaxObjectBytes})
		if err != nil && !errors.Is(err, ErrNotFound) {
			return deleted, err
		}
		deleted++
	}
	return deleted, nil
}

// names lists the names of the objects with a prefix.
func (c *Client) names(ctx context.Context, prefix string) ([]string, error) {
	o, _, err := c.do(ctx, request{
		step:    StepPrune,
		call:    CallRead,
		method:  http.MethodGet,
		query:   url.Values{"prefix": {prefix}, "values": {"false"}},
		maxRead: MaxListBytes,
	})
	if err != nil {
		return nil, err
	}
	var list List
	if err := json.Unmarshal(o.value, &list); err != nil {
		return nil, c.fail(StepPrune, ErrUnavailable, errors.Wrap(err, "decode list"))
	}
	names := make([]string, len(list.Objects))
	for i, listed := range list.Objects {
		names[i] = listed.Name
	}
	return names, nil
}

func revisionOf(name string) (fleet.Revision, bool) {
	number, _, found := strings.Cut(name, "-")
	rev, err := strconv.ParseUint(number, 10, 64)
	return fleet.Revision(rev), found && err == nil
}
