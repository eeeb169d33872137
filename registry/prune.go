package registry

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/go-faster/errors"

	"github.com/rattanthread/rattanthread/fleet"
)

// revisionPrefix is the prefix of the names of all revisions.
const revisionPrefix = "configuration/revisions/"

// maxPrunedPerCall is the maximum number of objects that a call of Prune deletes.
const maxPrunedPerCall = 100

// Prune deletes the revisions that are keep or more behind the head, including those of
// earlier histories and those that were stored but never in force, and returns the number deleted. A call
// deletes at most 100. Deleted revisions can no longer be fetched or restored by a
// rollback.
func (c *Client) Prune(ctx context.Context, head Head, keep uint64) (int, error) {
	names, err := c.listNames(ctx, revisionPrefix)
	if err != nil {
		return 0, err
	}
	deleted := 0
	for _, name := range names {
		rev, ok := parseRevision(name[strings.LastIndexByte(name, '/')+1:])
		if !ok || uint64(rev)+keep > uint64(head.Revision) || deleted == maxPrunedPerCall {
			continue
		}
		_, _, err := c.do(ctx, apiCall{step: StepPrune, kind: CallWrite, method: http.MethodDelete, name: name, maxResponseBytes: MaxObjectBytes})
		if err != nil && !errors.Is(err, ErrNotFound) {
			return deleted, err
		}
		deleted++
	}
	return deleted, nil
}

// listNames returns the names of the objects with a prefix.
func (c *Client) listNames(ctx context.Context, prefix string) ([]string, error) {
	obj, _, err := c.do(ctx, apiCall{
		step:             StepPrune,
		kind:             CallRead,
		method:           http.MethodGet,
		query:            url.Values{"prefix": {prefix}, "values": {"false"}},
		maxResponseBytes: MaxListBytes,
	})
	if err != nil {
		return nil, err
	}
	var list List
	if err := json.Unmarshal(obj.value, &list); err != nil {
		return nil, c.newError(StepPrune, ErrUnavailable, errors.Wrap(err, "decode list"))
	}
	names := make([]string, len(list.Objects))
	for i, listed := range list.Objects {
		names[i] = listed.Name
	}
	return names, nil
}

func parseRevision(name string) (fleet.Revision, bool) {
	number, _, found := strings.Cut(name, "-")
	rev, err := strconv.ParseUint(number, 10, 64)
	return fleet.Revision(rev), found && err == nil
}
