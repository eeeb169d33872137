package entry_test

import (
	"context"
	"net/netip"
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
