package entry_test

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/rattanthread/rattanthread/catalogue"
	"github.com/rattanthread/rattanthread/entry"
	"github.com/rattanthread/rattanthread/platformstandin"
)

// followedHost is a running host whose feeds are requested by a test.
type followedHost struct {
	*entry.Host
	accept func(context.Context, *entry.Stream)
	stop   context.CancelFunc
	ended  chan error
}

func startFollowedHost(t *testing.T, site *platformstandin.Site) *followedHost {
	t.Helper()
	settings, err := entry.LoadSettings(validFile)
	if err != nil {
		t.Fatal(err)
	}
	network := idleNetwork()
	network.Store = site.Store.Transport("front-a-1")
	serving := make(chan struct{})
	h := &followedHost{Host: &entry.Host{Settings: settings, Logger: hclog.NewNullLogger(), Network: &network}, ended: make(chan error, 1)}
	network.ServeFeed = func(ctx context.Context, accept func(context.Context, *entry.Stream)) error {
		h.accept = accept
		close(serving)
		<-ctx.Done()
		return nil
	}
	ctx, stop := context.WithCancel(context.Background())
	h.stop = stop
	go func() { h.ended <- h.Run(ctx) }()
	<-serving
	return h
}

// follow requests a feed with a hello. The returned function ends it, and returns for each source the
// records of the updates that were received, each with an asterisk if it holds all records.
func (h *followedHost) follow(t *testing.T, hello map[string]any) func() map[string]string {
	t.Helper()
	request, err := cbor.Marshal(hello)
	if err != nil {
		t.Fatal(err)
	}
	stream, client := newStreamPair(1, nil, nil)
	if err := client.Send(t.Context(), request); err != nil {
		t.Fatal(err)
	}
	received := make(map[string]string)
	var mu sync.Mutex
	stream.Send = func(_ context.Context, data []byte) error {
		var message struct {
			Updates []struct {
				Source  catalogue.Source  `cbor:"source"`
				Full    bool              `cbor:"whole"`
				Records []cbor.RawMessage `cbor:"records"`
			} `cbor:"answers"`
		}
		mu.Lock()
		defer mu.Unlock()
		if err := cbor.Unmarshal(data, &message); err != nil {
			return err
		}
		for _, update := range message.Updates {
			switch {
			case update.Full:
				received[update.Source.String()] += fmt.Sprintf(" *%d", len(update.Records))
			case len(update.Records) > 0:
				received[update.Source.String()] += fmt.Sprintf(" %d", len(update.Records))
			}
		}
		return nil
	}
	ended := make(chan struct{})
	go func() {
		h.accept(context.Background(), stream)
		close(ended)
	}()
	return func() map[string]string {
		stream.Close()
		<-ended
		mu.Lock()
		defer mu.Unlock()
		return received
	}
}

// hello returns the request of a host that has all sources up to a revision of epoch 1.
func hello(revision uint64, configured bool) map[string]any {
	version := catalogue.NewVersion(1, catalogue.Revision(revision))
	request := map[string]any{"host": "front-a-7", "versions": []catalogue.Version{version, version, version, version}}
	if configured {
		request["configured"] = true
	}
	return request
}

// TestFeedOfHostThatStarts requests feeds from a host before it has read its lists. It guards against
// lists for hosts that have them, and against hosts that never get one.
func TestFeedOfHostThatStarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		site := largeSite()
		site.Evacuate("z")
		site.EndEvacuation("z")
		revision := site.Store.Put("rattanthread_hosts", "front-a-9", map[string]any{"data_centre": "b", "address": "10.9.0.9:80", "strength": 9})
		site.Store.SetFaults(platformstandin.StoreFaults{Delay: 200 * time.Millisecond})
		h := startFollowedHost(t, site)
		knowsAll := h.follow(t, hello(revision, true))
		lacksOne := h.follow(t, hello(revision-1, true)) // the host front-a-9
		knowsNothing := h.follow(t, map[string]any{"host": "front-a-8"})
		time.Sleep(3 * time.Second)
		is.Equal(knowsAll()["servers"], "")
		is.Equal(lacksOne()["servers"], "")
		all := knowsNothing()
		is.Equal(all["configurations"], " *1")
		is.Equal(all["servers"], " *1099 600") // one can't be read; and the changes since the first page
		h.stop()
		is.NoErr(<-h.ended)
	})
}

// TestFeedOfRunningHost requests feeds from a host that has all lists, in a later version than the
// requesting host. Hosts of the earlier version do not say whether they have a configuration, and get it.
func TestFeedOfRunningHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		site := largeSite()
		site.Store.Put("rattanthread_hosts", "front-a-9", map[string]any{"data_centre": "b", "address": "10.9.0.9:80", "strength": 9})
		h := startFollowedHost(t, site)
		time.Sleep(3 * time.Second)
		revision := site.Store.Put("servers", "i-0fffff", platformstandin.TargetSpec("bench", "10.0.9.9:80", "a"))
		time.Sleep(12 * time.Second) // longer than each watch waits
		current, earlier := h.follow(t, hello(revision-1, true)), h.follow(t, hello(revision-1, false))
		time.Sleep(time.Second)
		is.Equal(current(), map[string]string{"servers": " 1", "evacuations": " *0"})
		is.Equal(earlier(), map[string]string{"servers": " 1", "evacuations": " *0", "configurations": " *1"})
		h.stop()
		is.NoErr(<-h.ended)
	})
}

// TestRequestOfUnconfiguredHost starts a host that can't read the configuration in the store. It guards
// against hosts that state a version of it as if they had it: others would not send theirs.
func TestRequestOfUnconfiguredHost(t *testing.T) {
	for _, readable := range []bool{true, false} {
		t.Run(fmt.Sprint("readable ", readable), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				site := largeSite()
				site.Store.Put("rattanthread_hosts", "front-a-9", map[string]any{"data_centre": "a", "address": "10.9.0.9:80", "strength": 9})
				if !readable {
					site.Store.PutRaw("config", "main", `{"version":"none"}`)
				}
				network := idleNetwork()
				network.Store = site.Store.Transport("front-a-1")
				requests := make(chan map[string]any, 100)
				network.DialFeed = func(context.Context, netip.AddrPort) (*entry.Stream, error) {
					return &entry.Stream{
						Send: func(_ context.Context, message []byte) error {
							var request map[string]any
							err := cbor.Unmarshal(message, &request)
							requests <- request
							return err
						},
						Receive: func(ctx context.Context) ([]byte, error) {
							<-ctx.Done()
							return nil, ctx.Err()
						},
						Close: func() {},
					}, nil
				}
				stop, ended := startHost(t, &network)
				time.Sleep(4 * time.Second)
				request := <-requests
				is.Equal(request["configured"] == true, readable)
				stop()
				is.NoErr(<-ended)
			})
		})
	}
}
