package frontend

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/rattanthread/rattanthread/request"
)

// The headers of requests and responses between callers, entry hosts and backend
// servers.
const (
	// HeaderKey carries the idempotency key of a request.
	HeaderKey = "Idempotency-Key"
	// HeaderTimeout carries the time until the deadline in seconds, as a decimal number.
	HeaderTimeout = "Request-Timeout"
	// HeaderOutcome carries the request.Outcome. A backend server that did not run the
	// request sets it to "refused", with status 503.
	HeaderOutcome = "Request-Outcome"
	// HeaderReason carries the request.Reason of a refusal or an unknown outcome.
	HeaderReason = "Request-Reason"
	// HeaderEarlier carries, with a refusal, the request.EarlierAttempts with the same
	// key: "none" if no earlier attempt ran, else "unknown".
	HeaderEarlier = "Request-Earlier"
	// HeaderAttempt identifies one attempt at a backend server. Connections are reused
	// with servers that repeat it in their responses.
	HeaderAttempt = "Request-Attempt"
	// HeaderReplayed is "true" on a response that an earlier attempt got.
	HeaderReplayed = "Request-Replayed"
)

// hopHeaders are the hop-by-hop headers, which are not forwarded (RFC 9110, section
// 7.6.1). Expect is handled by the front end, which reads the body first.
var hopHeaders = []string{
	"Connection", "Expect", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// reservedHeaders are set only by the front end.
var reservedHeaders = []string{HeaderOutcome, HeaderReason, HeaderEarlier, HeaderReplayed, HeaderAttempt}

// forwardableHeaders returns a copy of h without hop-by-hop and reserved headers.
func forwardableHeaders(h http.Header) http.Header {
	forwarded := h.Clone()
	for _, line := range h.Values("Connection") {
		for name := range strings.SplitSeq(line, ",") {
			forwarded.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		forwarded.Del(name)
	}
	for _, name := range reservedHeaders {
		forwarded.Del(name)
	}
	return forwarded
}

// defaultTimeout is the maximum timeout of a service without a configured one.
const defaultTimeout = 10 * time.Second

// parseTimeout returns the timeout of the request: the value of HeaderTimeout, limited
// to the maximum of the service, or that maximum if the header is missing.
func parseTimeout(h http.Header, maximum time.Duration) (time.Duration, error) {
	if maximum <= 0 {
		maximum = defaultTimeout
	}
	values := h.Values(HeaderTimeout)
	if len(values) == 0 {
		return maximum, nil
	}
	seconds, err := strconv.ParseFloat(values[0], 64)
	if err != nil || len(values) > 1 || math.IsNaN(seconds) || math.IsInf(seconds, 0) {
		return 0, errors.New("Request-Timeout header is not a single number of seconds")
	}
	if seconds >= maximum.Seconds() {
		return maximum, nil
	}
	return time.Duration(seconds * float64(time.Second)), nil
}

func formatTimeout(d time.Duration) string {
	return strconv.FormatFloat(d.Seconds(), 'f', 3, 64)
}

// formatRetryAfter rounds d up to whole seconds (RFC 9110, section 10.2.3).
func formatRetryAfter(d time.Duration) string {
	return strconv.Itoa(int(math.Ceil(d.Seconds())))
}

// isIdempotent reports whether the method is idempotent (RFC 9110, section 9.2.2).
// It omits TRACE, which is not forwarded.
func isIdempotent(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}

// parseKey returns the idempotency key of a request, and whether it has one.
func parseKey(h http.Header) (request.Key, bool, error) {
	values := h.Values(HeaderKey)
	switch len(values) {
	case 0:
		return request.Key{}, false, nil
	case 1:
		key, err := request.ParseKey(values[0])
		return key, true, err
	}
	return request.Key{}, true, errors.New("Idempotency-Key header occurs more than once")
}
