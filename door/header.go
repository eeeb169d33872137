package door

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/rattanthread/rattanthread/request"
)

// The headers between callers, entry hosts and backend servers.
const (
	// HeaderKey carries the idempotency key of a request.
	HeaderKey = "Idempotency-Key"
	// HeaderTimeout carries the seconds until the deadline, with decimals.
	HeaderTimeout = "Request-Timeout"
	// HeaderOutcome carries the request.Outcome. A backend server sets it to
	// "refused", with status 503, if it did not run the request.
	HeaderOutcome = "Request-Outcome"
	// HeaderReason carries the request.Reason of a refusal or an unknown outcome.
	HeaderReason = "Request-Reason"
	// HeaderEarlier carries, with a refusal, what is known of earlier attempts
	// with the same key: "none" if no earlier attempt ran, else "unknown".
	HeaderEarlier = "Request-Earlier"
	// HeaderAttempt names one attempt at a backend server. A server that repeats it in
	// its answer has its connections kept.
	HeaderAttempt = "Request-Attempt"
	// HeaderReplayed is "true" on an answer that an earlier attempt got.
	HeaderReplayed = "Request-Replayed"
)

// hopHeaders belong to one connection and are not passed on (RFC 9110, 7.6.1).
// Expect is met by the door itself, which reads the body first.
var hopHeaders = []string{
	"Connection", "Expect", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// ownHeaders are set by the door alone.
var ownHeaders = []string{HeaderOutcome, HeaderReason, HeaderEarlier, HeaderReplayed, HeaderAttempt}

// passHeaders returns a copy of h without the headers of one connection.
func passHeaders(h http.Header) http.Header {
	passed := h.Clone()
	for _, line := range h.Values("Connection") {
		for name := range strings.SplitSeq(line, ",") {
			passed.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		passed.Del(name)
	}
	for _, name := range ownHeaders {
		passed.Del(name)
	}
	return passed
}

// defaultTimeout is the longest deadline of a service that sets none.
const defaultTimeout = 10 * time.Second

// timeout returns how long the request may take: what the caller allows, at
// most the longest deadline of the service.
func timeout(h http.Header, longest time.Duration) (time.Duration, error) {
	if longest <= 0 {
		longest = defaultTimeout
	}
	values := h.Values(HeaderTimeout)
	if len(values) == 0 {
		return longest, nil
	}
	seconds, err := strconv.ParseFloat(values[0], 64)
	if err != nil || len(values) > 1 || math.IsNaN(seconds) || math.IsInf(seconds, 0) {
		return 0, errors.New("timeout: not one number of seconds")
	}
	if seconds >= longest.Seconds() {
		return longest, nil
	}
	return time.Duration(seconds * float64(time.Second)), nil
}

func formatTimeout(d time.Duration) string {
	return strconv.FormatFloat(d.Seconds(), 'f', 3, 64)
}

// formatRetryAfter rounds up to whole seconds (RFC 9110, 10.2.3).
func formatRetryAfter(d time.Duration) string {
	return strconv.Itoa(int(math.Ceil(d.Seconds())))
}

// isIdempotent follows RFC 9110, 9.2.2, for the methods that the door passes on.
func isIdempotent(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}

// parseKey returns the key of a request, and whether there is one.
func parseKey(h http.Header) (request.Key, bool, error) {
	values := h.Values(HeaderKey)
	switch len(values) {
	case 0:
		return request.Key{}, false, nil
	case 1:
		key, err := request.ParseKey(values[0])
		return key, true, err
	}
	return request.Key{}, true, errors.New("key: more than one")
}
