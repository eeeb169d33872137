package entry_test

import (
	"context"
	"net/netip"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"github.com/rattanthread/rattanthread/catalogue"
	"github.com/rattanthread/rattanthread/entry"
	"github.com/rattanthread/rattanthread/fleet"
)

var errLost = errors.New("no answer")

// identity is how an address answers one attempt of a probe.
type identity struct {
	after time.Duration // 0 for never
	id    fleet.ServerID
	err   error
}

func TestProbe(t *testing.T) {
	tests := []struct {
		name     string
		attempts []identity
		want     bool
	}{
		{"the server answers", []identity{{after: 8 * time.Millisecond, id: "i-01"}}, true},
		{"it accepts, and does not tell who it is", []identity{{after: 8 * time.Millisecond}}, true},
		{"one packet is lost", []identity{{}, {after: 8 * time.Millisecond, id: "i-01"}}, true},
		{"it is alive and too busy to answer", []identity{{after: 200 * time.Millisecond}, {after: 200 * time.Millisecond}}, true},
		{"nothing answers", []identity{{}, {}, {}}, false},
		{"its machine refuses", []identity{{after: time.Millisecond, err: syscall.ECONNREFUSED}, {after: time.Millisecond, err: syscall.ECONNREFUSED}}, false},
		{"it refuses once, as it starts", []identity{{after: time.Millisecond, err: syscall.ECONNREFUSED}, {after: time.Millisecond, id: "i-01"}}, true},
		{"the address has gone to another server", []identity{{after: 8 * time.Millisecond, id: "i-02"}}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				attempts := make(chan identity, 8)
				for _, a := range test.attempts {
					attempts <- a
				}
				close(attempts)
				network := entry.Network{Identify: func(ctx context.Context, _ netip.AddrPort, _ string) (fleet.ServerID, error) {
					a := <-attempts
					if a.after == 0 {
						<-ctx.Done()
						return "", errLost
					}
					select {
					case <-time.After(a.after):
						return a.id, a.err
					case <-ctx.Done():
						return a.id, a.err // accepted already
					}
				}}
				is.Equal(entry.Accepts(t.Context(), network, &catalogue.Server{ID: "i-01"}), test.want)
			})
		})
	}
}

// TestUnreachableServerCostsOneConnectionASecond probes a server that is silent
// for a while, as those of a data centre without power are.
func TestUnreachableServerCostsOneConnectionASecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		start := time.Now()
		var tries atomic.Int32
		network := idle()
		network.Identify = func(ctx context.Context, _ netip.AddrPort, _ string) (fleet.ServerID, error) {
			tries.Add(1)
			if time.Since(start) > 10*time.Second {
				return "i-01", nil
			}
			<-ctx.Done()
			return "", errLost
		}
		entry.Probe(t.Context(), network, catalogue.Answer{
			Source: catalogue.Servers, Whole: true, Version: 1,
			Records: []catalogue.Record{{Name: "i-01", Changed: 1, Server: &catalogue.Server{ID: "i-01", Service: "bench"}}},
		})
		is.True(tries.Load() <= 3+10)
		is.True(time.Since(start) < 13*time.Second)
	})
}
