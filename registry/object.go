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
)

// Version orders the writes of one object. It rises with every write and is the
// object's ETag. Zero stands for an object that doesn't exist.
type Version uint64

// object is a value with its version.
type object struct {
	value   []byte
	version Version
}

// request is one call of the object API.
type request struct {
	step   Step
	call   Call
	method string
	name   string
	query  url.Values
	value  []byte
	// onlyAt is the version that the object must have for a write to be
	// applied; nil means any version.
	onlyAt *Version
	// wait is how long the platform may hold the answer back.
	wait    time.Duration
	maxRead int64
}

// do makes one call. It doesn't repeat: callers know what may be repeated.
func (c *Client) do(ctx context.Context, r request) (object, int, error) {
	c.count(r.call)
	ctx, cancel := context.WithTimeout(ctx, c.timeout()+r.wait)
	defer cancel()
	req, err := c.newRequest(ctx, r)
	if err != nil {
		return object{}, 0, c.fail(r.step, ErrRefused, err)
	}
	response, err := c.client().Do(req)
	if err != nil {
		c.count(CallFailed)
		return object{}, 0, c.fail(r.step, ErrUnavailable, err)
	}
	defer response.Body.Close()
	value, err := readAll(response.Body, r.maxRead)
	if err != nil {
		c.count(CallFailed)
		return object{}, 0, c.fail(r.step, ErrUnavailable, err)
	}
	o := object{value: value, version: parseETag(response.Header.Get("ETag"))}
	if kind := kindOf(response.StatusCode); kind != nil {
		return o, response.StatusCode, c.statusError(r.step, kind, response, o)
	}
	return o, response.StatusCode, nil
}

func (c *Client) newRequest(ctx context.Context, r request) (*http.Request, error) {
	if len(r.value) > MaxObjectBytes {
		return nil, errors.Errorf("object of %d bytes is larger than %d", len(r.value), MaxObjectBytes)
	}
	target := strings.TrimSuffix(c.URL, "/") + "/v1/objects"
	if r.name != "" {
		target += "/" + r.name
	}
	if len(r.query) > 0 {
		target += "?" + r.query.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, r.method, target, bytes.NewReader(r.value))
	if err != nil {
		return nil, errors.Wrap(err, "make request")
	}
	switch {
	case r.onlyAt == nil:
	case *r.onlyAt == 0:
		req.Header.Set("If-None-Match", "*")
	default:
		req.Header.Set("If-Match", formatETag(*r.onlyAt))
	}
	return req, nil
}

func (c *Client) fail(step Step, kind, err error) *Error {
	return &Error{Step: step, Peer: c.URL, Kind: kind, Err: err}
}

func (c *Client) statusError(step Step, kind error, response *http.Response, o object) *Error {
	switch kind {
	case ErrUnavailable:
		c.count(CallFailed)
	case ErrConflict:
		c.count(CallConflict)
	}
	text := strings.TrimSpace(string(o.value[:min(len(o.value), 200)]))
	e := c.fail(step, kind, errors.Errorf("%s: %s", response.Status, text))
	e.current = o.version
	return e
}

// kindOf returns the kind of error that a status stands for, or nil.
func kindOf(status int) error {
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
		return nil, errors.Wrap(err, "read answer")
	}
	if int64(len(data)) > limit {
		return nil, errors.Errorf("answer is longer than %d bytes", limit)
	}
	return data, nil
}

func formatETag(v Version) string { return `"` + strconv.FormatUint(uint64(v), 10) + `"` }

func parseETag(tag string) Version {
	v, err := strconv.ParseUint(strings.Trim(tag, `"`), 10, 64)
	if err != nil {
		return 0
	}
	return Version(v)
}
