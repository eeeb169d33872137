package registry

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/rattanthread/rattanthread/fleet"
)

// Version is the version of an object. It increases with every write and is the
// object's ETag. Zero means that the object does not exist.
type Version uint64

// object is the value of a stored object with its version.
type object struct {
	value   []byte
	version Version
	// epoch is the epoch of the store that returned the object.
	epoch fleet.StoreEpoch
}

// epochHeader is the response header with the store's epoch.
const epochHeader = "Store-Era"

// apiCall describes one call of the object API.
type apiCall struct {
	step   Step
	kind   Call
	method string
	name   string
	query  url.Values
	value  []byte
	// ifVersion is the version that the object must have for a write to be
	// applied. Nil means any version.
	ifVersion *Version
	// wait is how long the platform may delay the response.
	wait             time.Duration
	maxResponseBytes int64
}

// do makes one call and returns the object and the HTTP status. It does not retry,
// since only its callers know which calls are safe to retry.
func (c *Client) do(ctx context.Context, call apiCall) (object, int, error) {
	c.count(call.kind)
	ctx, cancel := context.WithTimeout(ctx, c.timeout()+call.wait)
	defer cancel()
	req, err := c.newRequest(ctx, call)
	if err != nil {
		return object{}, 0, c.newError(call.step, ErrRefused, err)
	}
	response, err := c.httpClient().Do(req)
	if err != nil {
		c.count(CallFailed)
		return object{}, 0, c.newError(call.step, ErrUnavailable, err)
	}
	defer response.Body.Close()
	value, err := readAll(response.Body, call.maxResponseBytes)
	if err != nil {
		c.count(CallFailed)
		return object{}, 0, c.newError(call.step, ErrUnavailable, err)
	}
	epoch, err := parseEpoch(response.Header.Get(epochHeader))
	if err != nil {
		c.count(CallFailed)
		return object{}, 0, c.newError(call.step, ErrUnavailable, err)
	}
	c.observeEpoch(epoch)
	obj := object{value: value, version: parseETag(response.Header.Get("ETag")), epoch: epoch}
	if kind := errorKind(response.StatusCode); kind != nil {
		return obj, response.StatusCode, c.statusError(call.step, kind, response, obj)
	}
	return obj, response.StatusCode, nil
}

func (c *Client) newRequest(ctx context.Context, call apiCall) (*http.Request, error) {
	if len(call.value) > MaxObjectBytes {
		return nil, errors.Errorf("object of %d bytes is larger than %d", len(call.value), MaxObjectBytes)
	}
	target := strings.TrimSuffix(c.URL, "/") + "/v1/objects"
	if call.name != "" {
		target += "/" + call.name
	}
	if len(call.query) > 0 {
		target += "?" + call.query.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, call.method, target, bytes.NewReader(call.value))
	if err != nil {
		return nil, errors.Wrap(err, "create request")
	}
	switch {
	case call.ifVersion == nil:
	case *call.ifVersion == 0:
		req.Header.Set("If-None-Match", "*")
	default:
		req.Header.Set("If-Match", formatETag(*call.ifVersion))
	}
	return req, nil
}

func (c *Client) newError(step Step, kind, err error) *Error {
	return &Error{Step: step, URL: c.URL, Kind: kind, Err: err}
}

func (c *Client) statusError(step Step, kind error, response *http.Response, obj object) *Error {
	switch kind {
	case ErrUnavailable:
		c.count(CallFailed)
	case ErrConflict:
		c.count(CallConflict)
	}
	text := strings.TrimSpace(string(obj.value[:min(len(obj.value), 200)]))
	e := c.newError(step, kind, errors.Errorf("%s: %s", response.Status, text))
	e.current = obj.version
	return e
}

// errorKind returns the kind of error for an HTTP status, or nil.
func errorKind(status int) error {
	switch {
	case status >= 200 && status < 300:
		return nil
	case status == http.StatusNotFound:
		return ErrNotFound
	case status == http.StatusPreconditionFailed:
		return ErrConflict
	case status == http.StatusTooManyRequests || status >= 500:
		return ErrUnavailable
	default:
		return ErrRefused
	}
}

func readAll(r io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, errors.Wrap(err, "read response")
	}
	if int64(len(data)) > limit {
		return nil, errors.Errorf("response is longer than %d bytes", limit)
	}
	return data, nil
}

// parseEpoch returns the epoch in a header, or zero if the platform does not send it.
func parseEpoch(header string) (fleet.StoreEpoch, error) {
	if header == "" {
		return 0, nil
	}
	epoch, err := strconv.ParseUint(header, 10, 16)
	if err != nil {
		return 0, errors.Wrap(err, "parse header "+epochHeader)
	}
	return fleet.StoreEpoch(epoch), nil
}

// observeEpoch discards the versions that were read before the store was restored, since the
// store assigns them again.
func (c *Client) observeEpoch(epoch fleet.StoreEpoch) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if epoch > c.epoch {
		c.epoch, c.lastHead, c.hostVersions = epoch, Head{}, nil
	}
}

// currentEpoch returns the latest known epoch of the store.
func (c *Client) currentEpoch() fleet.StoreEpoch {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.epoch
}

func formatETag(v Version) string { return `"` + strconv.FormatUint(uint64(v), 10) + `"` }

func parseETag(tag string) Version {
	v, err := strconv.ParseUint(strings.Trim(tag, `"`), 10, 64)
	if err != nil {
		return 0
	}
	return Version(v)
}
