package registry_test

import (
	"context"
	"math"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/registry"
	"github.com/rattanthread/rattanthread/registrystandin"
)

// cancelAfterWrite cancels a context after a write to a path, which simulates a
// crash of the caller.
type cancelAfterWrite struct {
	next   http.RoundTripper
	cancel context.CancelFunc
	path   string
}

func (c cancelAfterWrite) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := c.next.RoundTrip(r)
	if r.Method == http.MethodPut && strings.Contains(r.URL.Path, c.path) {
		c.cancel()
	}
	return response, err
}

func TestWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var server registrystandin.Server
		client := newClient(&server)
		publish(t, client, "tp1", "publication-1")
		_, err := client.Head(t.Context())
		is.NoErr(err)

		before := server.Counts()
		start := time.Now()
		head, err := client.Watch(t.Context(), 1, 20*time.Second)
		is.NoErr(err)
		is.Equal(head.Revision, fleet.Revision(1)) // the wait ended without a change
		is.Equal(time.Since(start), 20*time.Second)
		is.Equal(server.Counts().Watches-before.Watches, uint64(1))
		is.Equal(server.Counts().Reads, before.Reads)

		var publishing sync.WaitGroup
		publishing.Go(func() {
			time.Sleep(3 * time.Second)
			publish(t, newClient(&server), "tp2", "publication-2")
		})
		defer publishing.Wait()
		start = time.Now()
		head, err = client.Watch(t.Context(), 1, 20*time.Second)
		is.NoErr(err)
		is.Equal(head.Revision, fleet.Revision(2))
		is.Equal(time.Since(start), 3*time.Second)
	})
}

// The number of calls for a publication must not depend on the size of the fleet.
func TestCallsOfAChange(t *testing.T) {
	is := is.New(t)
	var server registrystandin.Server
	publish(t, newClient(&server), "tp1", "publication-1")
	reader, publisher := newClient(&server), newClient(&server)
	_, err := reader.Head(t.Context())
	is.NoErr(err)
	publish(t, publisher, "tp2", "publication-2")
	is.Equal(publisher.Counts()[registry.CallRead], uint64(2))
	is.Equal(publisher.Counts()[registry.CallWrite], uint64(2))
	head, err := reader.Watch(t.Context(), 1, time.Minute)
	is.NoErr(err)
	_, err = reader.FetchHead(t.Context(), head)
	is.NoErr(err)
	is.Equal(reader.Counts()[registry.CallWatch], uint64(1))
	is.Equal(reader.Counts()[registry.CallRead], uint64(2)) // of the first head and of the revision
}

func TestWatchSeesRecreatedStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var server registrystandin.Server
		client := newClient(&server)
		publish(t, client, "tp1", "publication-1")
		publish(t, client, "tp2", "publication-2")
		_, err := client.Head(t.Context())
		is.NoErr(err)
		server.Reset()
		publish(t, newClient(&server), "tp3", "publication-3")
		head, err := client.Watch(t.Context(), 2, time.Second)
		is.NoErr(err)
		is.Equal(head.History, fleet.HistoryID("publication-3"))
	})
}

// A lost store or a lagging read must not make a host discard the revision in force,
// and lag must not turn a watch into a busy loop.
func TestWatchKeepsRevision(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var server registrystandin.Server
		client := newClient(&server)
		publish(t, client, "tp1", "publication-1")
		time.Sleep(time.Minute)
		publish(t, client, "tp2", "publication-2")
		server.SetFaults(registrystandin.Faults{Lag: 30 * time.Second})
		start := time.Now()
		head, err := client.Watch(t.Context(), 2, 10*time.Second)
		is.NoErr(err)
		is.True(head.Revision <= 2)
		is.Equal(time.Since(start), 10*time.Second) // no busy loop
	})
}

func TestHostsAreFencedByIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var server registrystandin.Server
		host := fleet.Host{ID: "a1", DataCentre: "tp1", Incarnation: 1, PeerAddress: netip.MustParseAddrPort("127.0.0.1:9")}
		old, replacement := newClient(&server), newClient(&server)
		is.NoErr(old.Register(t.Context(), host, 10*time.Second))
		is.NoErr(old.Register(t.Context(), host, 10*time.Second))
		is.Equal(server.Counts().Writes, uint64(2)) // a renewal takes one call

		next := host
		next.Incarnation = 2
		is.NoErr(replacement.Register(t.Context(), next, 10*time.Second))
		err := old.Register(t.Context(), host, 10*time.Second)
		is.True(errors.Is(err, registry.ErrConflict)) // a later incarnation has registered
		is.NoErr(old.Deregister(t.Context(), "a1"))
		hosts, err := old.Hosts(t.Context())
		is.NoErr(err)
		is.Equal(hosts, []fleet.Host{next})

		server.SetFaults(registrystandin.Faults{LoseAnswers: 1})
		is.True(errors.Is(replacement.Register(t.Context(), next, 10*time.Second), registry.ErrUnavailable))
		is.NoErr(replacement.Register(t.Context(), next, 10*time.Second))

		time.Sleep(11 * time.Second)
		hosts, err = old.Hosts(t.Context())
		is.NoErr(err)
		is.Equal(len(hosts), 0) // the lease expired
	})
}

func TestMalformedHostHidesNoOther(t *testing.T) {
	encode := func(value any) string {
		data, err := cbor.Marshal(value)
		if err != nil {
			t.Fatal(err)
		}
		return string(data)
	}
	host := func(key string, value any) string {
		return encode(map[string]any{"host": map[string]any{"id": "a2", key: value}})
	}
	tests := []struct{ name, value string }{
		{"no CBOR", "?"},
		{"nested too deeply", strings.Repeat("\x81", 100_000) + "\x00"},
		{"a host nested too deeply", "\xa1\x64host" + strings.Repeat("\x81", 100_000) + "\x00"},
		{"a number too large", host("strength", uint64(math.MaxUint64))},
		{"a port out of range", host("peer_address", "10.0.0.1:65536")},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var server registrystandin.Server
			client := newClient(&server)
			is.NoErr(client.Register(t.Context(), fleet.Host{ID: "a1"}, time.Minute))
			request, err := http.NewRequestWithContext(t.Context(), http.MethodPut, client.URL+"/v1/objects/hosts/a2", strings.NewReader(test.value))
			is.NoErr(err)
			response, err := client.HTTP.Do(request)
			is.NoErr(err)
			is.NoErr(response.Body.Close())
			hosts, err := client.Hosts(t.Context())
			is.NoErr(err)
			is.Equal(len(hosts), 1)
			is.Equal(client.Counts()[registry.CallMalformed], uint64(1))
		})
	}
}

func TestErrorsCarryStepAndPeer(t *testing.T) {
	tests := map[string]struct {
		faults registrystandin.Faults
		rate   float64
		kind   error
	}{
		"down":    {faults: registrystandin.Faults{Down: true}, kind: registry.ErrUnavailable},
		"slow":    {faults: registrystandin.Faults{Delay: time.Minute}, kind: registry.ErrUnavailable},
		"limited": {rate: 0.001, kind: registry.ErrUnavailable},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				server := registrystandin.Server{ReadsPerSecond: test.rate}
				client := newClient(&server)
				if test.rate > 0 {
					_, err := client.Head(t.Context())
					is.NoErr(err)
				}
				server.SetFaults(test.faults)
				_, err := client.Hosts(t.Context())
				is.True(errors.Is(err, test.kind))
				failure, ok := errors.Into[*registry.Error](err)
				is.True(ok)
				is.Equal(failure.Step, registry.StepHosts)
				is.Equal(failure.URL, client.URL)
				is.Equal(client.Counts()[registry.CallFailed], uint64(1))
				time.Sleep(2 * time.Minute)
			})
		})
	}
}

func TestAnswersAreBounded(t *testing.T) {
	is := is.New(t)
	client := &registry.Client{URL: "http://platform.test", HTTP: &http.Client{Transport: endlessBody{}}}
	_, err := client.Head(t.Context())
	is.True(errors.Is(err, registry.ErrUnavailable))
	is.True(strings.Contains(err.Error(), "longer than"))
}

// endlessBody is a transport whose response body never ends.
type endlessBody struct{}

func (endlessBody) RoundTrip(*http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: endlessBody{}}, nil
}

func (endlessBody) Read(p []byte) (int, error) { return len(p), nil }

func (endlessBody) Close() error { return nil }
