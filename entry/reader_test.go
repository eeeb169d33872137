package entry_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/rattanthread/rattanthread/catalogue"
	"github.com/rattanthread/rattanthread/entry"
	"github.com/rattanthread/rattanthread/platformstandin"
)

// failingPageStore fails the first calls for later pages of a list by a timeout.
type failingPageStore struct {
	store    http.RoundTripper
	failures int

	mu           sync.Mutex
	first, later int // calls for the first page, and for later ones
}

func (s *failingPageStore) RoundTrip(r *http.Request) (*http.Response, error) {
	query := r.URL.Query()
	if strings.HasSuffix(r.URL.Path, "/servers") && !query.Has("watch") {
		if s.count(query.Has("after")) {
			<-r.Context().Done()
			return nil, r.Context().Err()
		}
	}
	return s.store.RoundTrip(r)
}

// count counts a call and reports whether it should fail.
func (s *failingPageStore) count(later bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !later {
		s.first++
		return false
	}
	s.later++
	return s.later <= s.failures
}

// calls returns the number of calls for the first page and for later ones.
func (s *failingPageStore) calls() (first, later int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.first, s.later
}

// largeSite returns a site with three pages of servers in its store.
func largeSite() *platformstandin.Site {
	site := new(platformstandin.Site)
	site.Configure(1, nil)
	for i := range 1100 {
		site.Store.Put("servers", fmt.Sprintf("i-%06x", i), platformstandin.TargetSpec("bench", fmt.Sprintf("10.0.%d.%d:80", i/250, i%250), "a"))
	}
	return site
}

// TestLongListGoesOnWhereItFailed fails calls for later pages of the list of servers while a
// host starts. The host must become ready with the first page and request that page only once.
func TestLongListGoesOnWhereItFailed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		settings, err := entry.LoadSettings(validFile)
		is.NoErr(err)
		failing := &failingPageStore{store: largeSite().Store.Transport("front-a-1"), failures: 3}
		network := idleNetwork()
		network.Store = failing
		host := entry.Host{Settings: settings, Logger: hclog.NewNullLogger(), Network: &network}
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- host.Run(ctx) }()
		time.Sleep(300 * time.Millisecond)
		is.True(host.Ready())
		_, later := failing.calls()
		is.Equal(later, 1) // the second page is still pending
		time.Sleep(10 * time.Second)
		first, later := failing.calls()
		is.Equal(first, 1)
		is.Equal(later, failing.failures+2)
		stop()
		is.NoErr(<-ended)
	})
}

// hostListCounter counts the calls for the list of hosts.
type hostListCounter struct {
	store http.RoundTripper
	calls atomic.Int32
}

func (s *hostListCounter) RoundTrip(r *http.Request) (*http.Response, error) {
	if strings.HasSuffix(r.URL.Path, "/rattanthread_hosts") && r.Method == http.MethodGet {
		s.calls.Add(1)
	}
	return s.store.RoundTrip(r)
}

// TestHostsThatStartTogetherCostFewCalls bounds the load on the store when 300 hosts register
// within two seconds: each record is a change that all other hosts read.
func TestHostsThatStartTogetherCostFewCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		settings, err := entry.LoadSettings(validFile)
		is.NoErr(err)
		site := largeSite()
		counter := &hostListCounter{store: site.Store.Transport("front-a-1")}
		network := idleNetwork()
		network.Store = counter
		host := entry.Host{Settings: settings, Logger: hclog.NewNullLogger(), Network: &network}
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- host.Run(ctx) }()
		for i := range 300 {
			time.Sleep(7 * time.Millisecond)
			site.Store.Put("rattanthread_hosts", fmt.Sprintf("front-b-%d", i), map[string]any{
				"data_centre": "b", "address": fmt.Sprintf("10.9.%d.%d:80", i/250, i%250), "strength": 1,
			})
		}
		time.Sleep(5 * time.Second)
		is.True(counter.calls.Load() > 0)
		is.True(counter.calls.Load() <= 16) // one per 250 ms of the 2.1 s, and a few before and after
		stop()
		is.NoErr(<-ended)
	})
}

// delayedStore delays all responses on their way to the host.
type delayedStore struct {
	store http.RoundTripper
	delay time.Duration

	servedAt atomic.Int64 // of the latest response with servers, in Unix nanoseconds
}

func (s *delayedStore) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := s.store.RoundTrip(r)
	if strings.HasSuffix(r.URL.Path, "/servers") {
		s.servedAt.Store(time.Now().UnixNano())
	}
	time.Sleep(s.delay)
	return response, err
}

// TestDelayedResponseIsNotRecent delays the responses of the store. It guards against a host that
// takes a response for the state at its arrival: the host, and those that it feeds, would rely on
// it for too long.
func TestDelayedResponseIsNotRecent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		settings, err := entry.LoadSettings(validFile)
		is.NoErr(err)
		site := largeSite()
		delayed := &delayedStore{store: site.Store.Transport("front-a-1"), delay: 300 * time.Millisecond}
		network := idleNetwork()
		network.Store = delayed
		host := entry.Host{Settings: settings, Logger: hclog.NewNullLogger(), Network: &network}
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- host.Run(ctx) }()
		time.Sleep(3 * time.Second)
		is.True(host.Ready())
		for step := range 200 {
			time.Sleep(50 * time.Millisecond)
			if step%33 == 0 {
				site.Store.Delete("servers", fmt.Sprintf("i-%06x", step))
			}
			confirmedAt := entry.ConfirmedAt(&host, catalogue.Servers)
			is.True(!confirmedAt.After(time.Unix(0, delayed.servedAt.Load())))
			is.True(time.Since(confirmedAt) < settings.Bounds.Drain)
		}
		stop()
		is.NoErr(<-ended)
	})
}

// TestServersStayInUseAfterAnOutage removes records of servers while the store responds, and while
// it does not. It guards against load that concentrates on the servers that could renew their
// records in time: after an outage the others must stay in use for the grace period.
func TestServersStayInUseAfterAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		settings, err := entry.LoadSettings(validFile)
		is.NoErr(err)
		site := largeSite()
		network := idleNetwork()
		network.Store = site.Store.Transport("front-a-1")
		host := entry.Host{Settings: settings, Logger: hclog.NewNullLogger(), Network: &network}
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- host.Run(ctx) }()
		time.Sleep(5 * time.Second)
		all := entry.PoolSize(&host, "bench")
		site.Store.Delete("servers", "i-000001")
		time.Sleep(time.Second)
		is.Equal(entry.PoolSize(&host, "bench"), all-1)

		site.Store.SetFaults(platformstandin.StoreFaults{Outage: platformstandin.Unavailable})
		time.Sleep(4 * time.Second)
		site.Store.Delete("servers", "i-000002")
		site.Store.SetFaults(platformstandin.StoreFaults{})
		time.Sleep(1500 * time.Millisecond)
		is.Equal(entry.PoolSize(&host, "bench"), all-1)
		time.Sleep(3 * time.Second)
		is.Equal(entry.PoolSize(&host, "bench"), all-2)
		stop()
		is.NoErr(<-ended)
	})
}
