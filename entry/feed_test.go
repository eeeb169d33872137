package entry_test

import (
	"context"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/rattanthread/rattanthread/catalogue"
	"github.com/rattanthread/rattanthread/entry"
	"github.com/rattanthread/rattanthread/platformstandin"
)

// TestFeedsAreBounded guards against too many feeds on a host with fresh data, to which
// others turn when the store rejects the calls of their own upstreams.
func TestFeedsAreBounded(t *testing.T) {
	is := is.New(t)
	weak, strong := entry.Limits{Cores: 0.192, LinkMegabits: 20}, entry.Limits{Cores: 0.8, LinkMegabits: 200}
	is.Equal(entry.FeedsAccepted(t.Context(), idleNetwork(), weak, 60), 16+8)
	is.Equal(entry.FeedsAccepted(t.Context(), idleNetwork(), strong, 60), 60)
	is.Equal(entry.FeedsAccepted(t.Context(), idleNetwork(), entry.Limits{}, 60), 16)
}

// staleUpdate returns a feed message whose sources were last confirmed 9 s ago, except for
// the hosts.
func staleUpdate(t *testing.T) []byte {
	t.Helper()
	const sources = 4
	message, err := cbor.Marshal(map[string]any{
		"ages":  []time.Duration{9 * time.Second, 9 * time.Second, 9 * time.Second, 0},
		"known": []bool{true, true, true, true}, "versions": make([]uint64, sources),
	})
	if err != nil {
		t.Fatal(err)
	}
	return message
}

// TestLateUpstreamIsKept guards against hosts that change their upstream over and over while
// the data of all of them is stale because the store is slow. A host keeps a stale upstream
// and reads the store itself; it leaves the upstream only if the store fails too.
func TestLateUpstreamIsKept(t *testing.T) {
	tests := []struct {
		name        string
		storeBusy   bool
		minRequests int32
		maxRequests int32
	}{
		{"the store responds", false, 1, 1},
		{"the store is unavailable", true, 2, 10},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				site := largeSite()
				site.Evacuate("z")
				site.EndEvacuation("z")
				for _, name := range []string{"front-a-7", "front-a-8", "front-a-9"} {
					site.Store.Put("rattanthread_hosts", name, map[string]any{"data_centre": "a", "address": "10.9.0." + name[8:] + ":80", "strength": 9})
				}
				message := staleUpdate(t)
				var requests atomic.Int32 // for feeds
				network := idleNetwork()
				network.Store = site.Store.Transport("front-a-1")
				network.DialFeed = func(context.Context, netip.AddrPort) (*entry.Stream, error) {
					return &entry.Stream{
						Send: func(_ context.Context, message []byte) error {
							var hello map[string]any
							if err := cbor.Unmarshal(message, &hello); err != nil {
								return err
							}
							if hello["knows"] == nil { // not an announcement
								requests.Add(1)
							}
							return nil
						},
						Receive: func(_ context.Context) ([]byte, error) {
							time.Sleep(400 * time.Millisecond)
							return message, nil
						},
						Close: func() {},
					}, nil
				}
				stop, ended := startHost(t, &network)
				time.Sleep(3 * time.Second)
				if test.storeBusy {
					site.Store.SetFaults(platformstandin.StoreFaults{Outage: platformstandin.Unavailable})
				}
				time.Sleep(12 * time.Second)
				is.True(requests.Load() >= test.minRequests)
				is.True(requests.Load() <= test.maxRequests)
				stop()
				is.NoErr(<-ended)
			})
		})
	}
}

// TestDelayedFeedIsNotRecent lets each message of a feed be under way for some time. It guards
// against a host that relies on a state for too long, because its link to its upstream is slow or
// it was frozen while messages arrived.
func TestDelayedFeedIsNotRecent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const delay = 700 * time.Millisecond
		is := is.New(t)
		settings, err := entry.LoadSettings(validFile)
		is.NoErr(err)
		site := largeSite()
		revision := site.Store.Put("rattanthread_hosts", "front-a-9", map[string]any{"data_centre": "a", "address": "10.9.0.9:80", "strength": 9})
		version := catalogue.NewVersion(1, catalogue.Revision(revision+100))
		network := idleNetwork()
		network.Store = site.Store.Transport("front-a-1")
		network.DialFeed = func(context.Context, netip.AddrPort) (*entry.Stream, error) {
			requested := time.Now()
			return &entry.Stream{
				Send: func(context.Context, []byte) error { return nil },
				Receive: func(context.Context) ([]byte, error) {
					time.Sleep(400 * time.Millisecond)
					return cbor.Marshal(map[string]any{
						"known": []bool{true, true, true, true}, "versions": []catalogue.Version{version, version, version, version},
						"elapsed": max(1, time.Since(requested)-delay),
					})
				},
				Close: func() {},
			}, nil
		}
		host := entry.Host{Settings: settings, Logger: hclog.NewNullLogger(), Network: &network}
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- host.Run(ctx) }()
		time.Sleep(4 * time.Second)
		for range 100 {
			time.Sleep(30 * time.Millisecond)
			age := time.Since(entry.ConfirmedAt(&host, catalogue.Servers))
			is.True(age >= delay)
			is.True(age < settings.Bounds.Drain)
		}
		stop()
		is.NoErr(<-ended)
	})
}

// TestGraceIsForwarded guards against flows that are reset although their servers live: hosts
// behind one that has seen an outage of the store must keep the servers without records as long.
func TestGraceIsForwarded(t *testing.T) {
	is := is.New(t)
	server := catalogue.Server{ID: "i-01", Service: "bench", Address: netip.MustParseAddrPort("10.0.0.1:80"), DataCentre: "a", Tag: 1, Changed: 1}
	forwarded := entry.ForwardedUpdates(t.Context(), idleNetwork(),
		catalogue.Update{Source: catalogue.Servers, Full: true, Version: 1, Records: []catalogue.Record{{Name: "i-01", Changed: 1, Server: &server}}},
		catalogue.Update{Source: catalogue.Servers, Version: 2, Grace: catalogue.RecoveryGrace},
		catalogue.Update{Source: catalogue.Servers, Version: 3, Records: []catalogue.Record{{Name: "i-01", Changed: 3, Removed: true}}},
	)
	is.Equal(len(forwarded), 3)
	is.Equal(forwarded[0].Grace, time.Duration(0))
	is.True(forwarded[2].Grace > 0 && forwarded[2].Grace <= catalogue.RecoveryGrace)
}

// TestSeedIsLeft guards against hosts that follow each other: a host that got its catalogue from a
// seed, which does not rank before it, must leave it when the store responds.
func TestSeedIsLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		settings, err := entry.LoadSettings(validFile)
		is.NoErr(err)
		site := largeSite()
		site.Store.SetFaults(platformstandin.StoreFaults{Outage: platformstandin.Unavailable})
		version := catalogue.NewVersion(1, 2)
		server := catalogue.Server{ID: "i-01", Service: "bench", Address: netip.MustParseAddrPort("10.0.0.1:80"), DataCentre: "a", Tag: 1, Changed: version}
		first, err := entry.EncodeUpdate(
			catalogue.Update{Source: catalogue.Configurations, Full: true, Version: version, Records: []catalogue.Record{{Name: "main", Changed: version, Configuration: &catalogue.Configuration{Number: 1}}}},
			catalogue.Update{Source: catalogue.Evacuations, Full: true, Version: version},
			catalogue.Update{Source: catalogue.Servers, Full: true, Version: version, Records: []catalogue.Record{{Name: "i-01", Changed: version, Server: &server}}},
		)
		is.NoErr(err)
		var open, requests atomic.Int32 // feeds
		network := idleNetwork()
		network.Store = site.Store.Transport("front-a-1")
		network.DialFeed = func(context.Context, netip.AddrPort) (*entry.Stream, error) {
			open.Add(1)
			return &entry.Stream{
				Send: func(_ context.Context, message []byte) error {
					var hello map[string]any
					if err := cbor.Unmarshal(message, &hello); err != nil {
						return err
					}
					if hello["knows"] == nil { // not an announcement
						requests.Add(1)
					}
					return nil
				},
				Receive: func(context.Context) ([]byte, error) {
					time.Sleep(400 * time.Millisecond)
					return first, nil
				},
				Close: func() { open.Add(-1) },
			}, nil
		}
		host := entry.Host{Settings: settings, Logger: hclog.NewNullLogger(), Network: &network}
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- host.Run(ctx) }()
		time.Sleep(6 * time.Second)
		is.True(host.Ready()) // with the catalogue of a seed
		is.Equal(open.Load(), int32(1))
		site.Store.SetFaults(platformstandin.StoreFaults{})
		time.Sleep(4 * time.Second)
		is.Equal(open.Load(), int32(0))
		followed := requests.Load()
		time.Sleep(10 * time.Second)
		is.Equal(requests.Load(), followed) // reads the store by itself
		stop()
		is.NoErr(<-ended)
	})
}

func TestAnnouncement(t *testing.T) {
	is := is.New(t)
	network := idleNetwork()
	is.True(errors.Is(entry.Announce(t.Context(), network), errNoResponse))
	network.DialFeed = func(context.Context, netip.AddrPort) (*entry.Stream, error) {
		return &entry.Stream{Send: func(context.Context, []byte) error { return nil }, Close: func() {}}, nil
	}
	is.NoErr(entry.Announce(t.Context(), network))
}
