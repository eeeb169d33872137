// Package registry is the client of the platform's object API, where the
// published configuration and the list of entry hosts are kept.
//
// A configuration revision is one immutable object. Publishing it stores that
// object and then advances the head by a conditional update, so a revision is
// in force whole or not at all. Each publication has an id, by which a lost
// answer is resolved and a repeated publication is harmless.
//
// The API itself is described in docs/PLATFORM.md; package registrystandin
// serves it for tests and trials.
package registry

import (
	"cmp"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// DefaultTimeout bounds a call for which the client has no Timeout.
const DefaultTimeout = 2 * time.Second

// Sizes that bound what a client sends and reads.
const (
	MaxObjectBytes = 1 << 20
	MaxListBytes   = 8 << 20
)

// Client calls the platform. Its methods are safe for concurrent use. Only URL
// must be set.
type Client struct {
	// URL is the root of the API, such as "http://127.0.0.1:7000".
	URL string
	// HTTP sends the requests; nil means http.DefaultClient.
	HTTP *http.Client
	// Timeout bounds each call; a watch may last its wait longer. Zero means DefaultTimeout.
	Timeout time.Duration
	// Now tells the time of publications; nil means time.Now.
	Now func() time.Time

	counts   [len(countedCalls)]atomic.Uint64
	mu       sync.Mutex
	lastHead Head
	// hostVersions holds the versions of the host objects that this client wrote.
	hostVersions map[string]Version
}

// Call is a kind of call that is counted.
type Call string

// The counted calls.
const (
	CallRead   Call = "read"
	CallWatch  Call = "watch"
	CallWrite  Call = "write"
	CallFailed Call = "failed" // of any kind, with no usable answer
	// CallConflict counts writes that were refused because of another write.
	CallConflict Call = "conflict"
	// CallRetry counts calls that repeat a failed one; they count by kind, too.
	CallRetry Call = "retry"
	// CallMalformed counts host objects that could not be decoded.
	CallMalformed Call = "malformed"
)

var countedCalls = [...]Call{CallRead, CallWatch, CallWrite, CallFailed, CallConflict, CallRetry, CallMalformed}

// Counts returns how many calls of each kind the client has made. A waiting
// watch is one call.
func (c *Client) Counts() map[Call]uint64 {
	counts := make(map[Call]uint64, len(countedCalls))
	for i, call := range countedCalls {
		counts[call] = c.counts[i].Load()
	}
	return counts
}

func (c *Client) count(call Call) {
	for i, counted := range countedCalls {
		if counted == call {
			c.counts[i].Add(1)
		}
	}
}

func (c *Client) now() time.Time {
	if c.Now != nil {
		return c.Now()
	}
	return time.Now()
}

func (c *Client) client() *http.Client { return cmp.Or(c.HTTP, http.DefaultClient) }

func (c *Client) timeout() time.Duration { return cmp.Or(c.Timeout, DefaultTimeout) }
