package entry_test

import (
	"bytes"
	"context"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/rattanthread/rattanthread/catalogue"
	"github.com/rattanthread/rattanthread/entry"
	"github.com/rattanthread/rattanthread/fleet"
)

// idleNetwork returns a network without packets, store and other hosts.
func idleNetwork() entry.Network {
	closed := make(chan struct{})
	wait := func(ctx context.Context, _ http.Handler) error {
		<-ctx.Done()
		return nil
	}
	return entry.Network{
		Receive: func([]byte) (int, error) {
			<-closed
			return 0, errNoResponse
		},
		Send: func([]byte, netip.AddrPort) error { return nil },
		Identify: func(ctx context.Context, _ netip.AddrPort, _ string, _ func()) (fleet.ServerID, error) {
			<-ctx.Done()
			return "", ctx.Err()
		},
		Serve:        wait,
		ServeMetrics: wait,
		ServeFeed: func(ctx context.Context, _ func(context.Context, *entry.Stream)) error {
			<-ctx.Done()
			return nil
		},
		DialFeed: func(context.Context, netip.AddrPort) (*entry.Stream, error) { return nil, errNoResponse },
		Store:    unreachableStore{},
		Now:      time.Now,
		Close:    func() { close(closed) },
	}
}

// startHost starts a host on a network. The host runs until stop is called; ended receives
// the result of Run.
func startHost(t *testing.T, network *entry.Network) (stop context.CancelFunc, ended <-chan error) {
	t.Helper()
	settings, err := entry.LoadSettings(validFile)
	if err != nil {
		t.Fatal(err)
	}
	host := entry.Host{Settings: settings, Logger: hclog.NewNullLogger(), Network: network}
	ctx, stop := context.WithCancel(t.Context())
	result := make(chan error, 1)
	go func() { result <- host.Run(ctx) }()
	return stop, result
}

type unreachableStore struct{}

func (unreachableStore) RoundTrip(*http.Request) (*http.Response, error) { return nil, errNoResponse }

// TestFailedPartIsStartedAgain checks that a component that fails and another one that panics
// are restarted.
func TestFailedPartIsStartedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var metrics, readiness atomic.Int32
		network := idleNetwork()
		network.ServeMetrics = func(ctx context.Context, _ http.Handler) error {
			if metrics.Add(1) == 1 {
				return errors.New("broken")
			}
			<-ctx.Done()
			return nil
		}
		network.Serve = func(ctx context.Context, _ http.Handler) error {
			if readiness.Add(1) == 1 {
				panic("broken")
			}
			<-ctx.Done()
			return nil
		}
		stop, ended := startHost(t, &network)
		time.Sleep(10 * time.Second)
		is.Equal(metrics.Load(), int32(2))
		is.Equal(readiness.Load(), int32(2))
		is.Equal(len(ended), 0) // the host keeps running
		stop()
		is.NoErr(<-ended)
	})
}

func TestHostThatLeftAFeedIsForgotten(t *testing.T) {
	is := is.New(t)
	update := catalogue.Update{Source: catalogue.Evacuations, Full: true, Version: 3}
	is.Equal(entry.UpdatesAfterUnsubscribe(t.Context(), idleNetwork(), update), 0)
}

func TestUnreadableConfigurationAtTheStart(t *testing.T) {
	is := is.New(t)
	bad := catalogue.Record{Name: "main", Changed: 3, Fault: "route r1: bad address"}
	update := catalogue.Update{Source: catalogue.Configurations, Full: true, Version: 3, Records: []catalogue.Record{bad}}
	is.True(entry.ApplyFirst(t.Context(), idleNetwork(), update))
}

func TestFailedSendIsCounted(t *testing.T) {
	is := is.New(t)
	network := idleNetwork()
	is.Equal(entry.SendFailures(network, hclog.NewNullLogger()), 0.0)
	network.Send = func([]byte, netip.AddrPort) error { return errNoResponse }
	var log bytes.Buffer
	is.Equal(entry.SendFailures(network, hclog.New(&hclog.LoggerOptions{Output: &log})), 1.0)
	is.True(strings.Contains(log.String(), "send_failed"))
}
