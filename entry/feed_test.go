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
	"github.com/matryer/is"

	"github.com/rattanthread/rattanthread/entry"
	"github.com/rattanthread/rattanthread/platformstandin"
)

// TestFeedsAreBounded is the load of hosts that gather on one whose data is fresh, when
// the store turns their own sources away.
func TestFeedsAreBounded(t *testing.T) {
	is := is.New(t)
	weak, strong := entry.Limits{Cores: 0.192, LinkMegabits: 20}, entry.Limits{Cores: 0.8, LinkMegabits: 200}
	is.Equal(entry.FeedsAccepted(t.Context(), idle(), weak, 60), 16+8)
	is.Equal(entry.FeedsAccepted(t.Context(), idle(), strong, 60), 60)
	is.Equal(entry.FeedsAccepted(t.Context(), idle(), entry.Limits{}, 60), 16)
}

// lateUpdate is a message of a feed whose source was last confirmed 9 s ago.
func lateUpdate(t *testing.T) []byte {
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

// TestLateUpstreamIsKept feeds a host by one whose data is old, as that of all is while
// the store is slow. The host reads the store itself. It leaves when it can't.
func TestLateUpstreamIsKept(t *testing.T) {
	tests := []struct {
		name     string
		lost     bool
		minAsked int32
		maxAsked int32
	}{
		{"the store answers", false, 1, 1},
		{"the store is lost", true, 2, 10},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				site := largeSite()
				site.Evacuate("z")
				site.Return("z")
				for _, name := range []string{"front-a-7", "front-a-8", "front-a-9"} {
					site.Store.Put("rattanthread_hosts", name, map[string]any{"data_centre": "a", "address": "10.9.0." + name[8:] + ":80", "strength": 9})
				}
				message := lateUpdate(t)
				var asked atomic.Int32 // feeds
				network := idle()
				network.Store = site.Store.Transport("front-a-1")
				network.DialFeed = func(context.Context, netip.AddrPort) (*entry.Stream, error) {
					return &entry.Stream{
						Send: func(_ context.Context, message []byte) error {
							var hello map[string]any
							if err := cbor.Unmarshal(message, &hello); err != nil {
								return err
							}
							if hello["knows"] == nil { // else it tells that it knows
								asked.Add(1)
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
				stop, ended := run(t, &network)
				time.Sleep(3 * time.Second)
				if test.lost {
					site.Store.SetFaults(platformstandin.Faults{Outage: platformstandin.Busy})
				}
				time.Sleep(12 * time.Second)
				is.True(asked.Load() >= test.minAsked)
				is.True(asked.Load() <= test.maxAsked)
				stop()
				is.NoErr(<-ended)
			})
		})
	}
}

func TestAnnouncement(t *testing.T) {
	is := is.New(t)
	network := idle()
	is.True(errors.Is(entry.Announce(t.Context(), network), errLost))
	network.DialFeed = func(context.Context, netip.AddrPort) (*entry.Stream, error) {
		return &entry.Stream{Send: func(context.Context, []byte) error { return nil }, Close: func() {}}, nil
	}
	is.NoErr(entry.Announce(t.Context(), network))
}
