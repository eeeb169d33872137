// Package registry is a client of the platform's object API, which stores the
// published configuration and the list of entry hosts.
//
// A configuration revision is one immutable object. Publishing it stores that
// object and then advances the head by a conditional update, so a revision takes
// effect atomically. Each publication has an id, which makes it idempotent and
// resolves the outcome of a call whose response was lost.
//
// The API is described in docs/PLATFORM.md; package registrystandin serves it
// for tests and demonstrations.
package registry

import (
	"cmp"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rattanthread/rattanthread/fleet"
)

// DefaultTimeout is the timeout of calls by a client whose Timeout is zero.
const DefaultTimeout = 2 * time.Second

// Limits on the sizes of objects and lists.
const (
	MaxObjectBytes = 1 << 20
	MaxListBytes   = 8 << 20
)

// Client calls the platform. Its methods are safe for concurrent use. Only URL is
// required.
type Client struct {
	// URL is the root of the API, such as "http://127.0.0.1:7000".
	URL string
	// HTTP sends the requests. Nil means http.DefaultClient.
	HTTP *http.Client
	// Timeout bounds each call; that of a watch is extended by its wait. Zero means
	// DefaultTimeout.
	Timeout time.Duration
	// Now returns the time for publications. Nil means time.Now.
	Now func() time.Time

	counts   [len(countedCalls)]atomic.Uint64
	mu       sync.Mutex
	lastHead Head
	// epoch is the latest known epoch of the store.
	epoch fleet.StoreEpoch
	// hostVersions holds the versions of the host objects that this client wrote, by
	// object name.
	hostVersions map[string]Version
}

// Call is a kind of call that is counted.
type Call string

// The counted calls.
const (
	CallRead   Call = "read"
	CallWatch  Call = "watch"
	CallWrite  Call = "write"
	CallFailed Call = "failed" // calls of any kind without a usable response
	// CallConflict counts writes that were refused because the object had another
	// version.
	CallConflict Call = "conflict"
	// CallRetry counts retries of failed calls, which are also counted by kind.
	CallRetry Call = "retry"
	// CallMalformed counts host objects that could not be decoded.
	CallMalformed Call = "malformed"
)

var countedCalls = [...]Call{CallRead, CallWatch, CallWrite, CallFailed, CallConflict, CallRetry, CallMalformed}

// Counts returns the number of calls of each kind that the client has made. A
// watch counts as one call, however long it waits.
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

func (c *Client) httpClient() *http.Client { return cmp.Or(c.HTTP, http.DefaultClient) }

func (c *Client) timeout() time.Duration { return cmp.Or(c.Timeout, DefaultTimeout) }
