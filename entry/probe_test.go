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
	"github.com/rattanthread/rattanthread/placement"
)

var errLost = errors.New("no answer")

// identity is how an address answers one attempt of a probe.
type identity struct {
	after time.Duration // 0 for never
	id    fleet.ServerID
	err   error
}

var (
	probedServer = &catalogue.Server{ID: "i-01", Address: netip.MustParseAddrPort("10.0.0.1:80")}
	witness      = &catalogue.Server{ID: "i-09", Address: netip.MustParseAddrPort("10.0.0.9:80")}
)

// answering returns a network in which addresses answer attempts in turn.
func answering(attempts map[netip.AddrPort][]identity) entry.Network {
	queues := make(map[netip.AddrPort]chan identity)
	for address, answers := range attempts {
		queue := make(chan identity, len(answers))
		for _, a := range answers {
			queue <- a
		}
		close(queue)
		queues[address] = queue
	}
	return entry.Network{Identify: func(ctx context.Context, to netip.AddrPort, _ string) (fleet.ServerID, error) {
		a := <-queues[to]
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
}

func TestProbe(t *testing.T) {
	refused := identity{after: time.Millisecond, err: syscall.ECONNREFUSED}
	tests := []struct {
		name     string
		attempts []identity
		want     placement.Evidence
	}{
		{"the server answers", []identity{{after: 8 * time.Millisecond, id: "i-01"}}, placement.Accepted},
		{"it accepts, and does not tell who it is", []identity{{after: 8 * time.Millisecond}}, placement.Accepted},
		{"one packet is lost", []identity{{}, {after: 8 * time.Millisecond, id: "i-01"}}, placement.Accepted},
		{"it is alive and too busy to answer", []identity{{after: 200 * time.Millisecond}, {after: 200 * time.Millisecond}}, placement.Accepted},
		{"nothing answers", []identity{{}, {}, {}}, placement.Silent},
		{"its machine refuses", []identity{refused, refused}, placement.Refused},
		{"it refuses once, as it starts", []identity{refused, {after: time.Millisecond, id: "i-01"}}, placement.Accepted},
		{"the address has gone to another server", []identity{{after: 8 * time.Millisecond, id: "i-02"}}, placement.Refused},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				network := answering(map[netip.AddrPort][]identity{
					probedServer.Address: test.attempts, witness.Address: {{after: 8 * time.Millisecond, id: "i-09"}},
				})
				is.Equal(entry.Ask(t.Context(), network, probedServer, witness), test.want)
			})
		})
	}
}

// TestProbeWithoutWitness probes a server from a host that may be held up itself.
func TestProbeWithoutWitness(t *testing.T) {
	tests := []struct {
		name      string
		witnesses []*catalogue.Server
		answers   []identity
		want      placement.Evidence
	}{
		{"there is none", nil, nil, placement.Unclear},
		{"it does not answer either", []*catalogue.Server{witness}, []identity{{}}, placement.Unclear},
		{"it accepts late", []*catalogue.Server{witness}, []identity{{after: 220 * time.Millisecond}}, placement.Silent},
		{"it refuses", []*catalogue.Server{witness}, []identity{{after: time.Millisecond, err: syscall.ECONNREFUSED}}, placement.Silent},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				network := answering(map[netip.AddrPort][]identity{probedServer.Address: {{}, {}, {}}, witness.Address: test.answers})
				is.Equal(entry.Ask(t.Context(), network, probedServer, test.witnesses...), test.want)
			})
		})
	}
}

// TestUnreachableServerCostsOneConnectionASecond probes a server that is silent
// for a while, as those of a data centre without power are, and one of which a host
// that is cut off itself knows nothing.
func TestUnreachableServerCostsOneConnectionASecond(t *testing.T) {
	tests := []struct {
		name      string
		witness   bool
		maxTries  int32
		longestIn time.Duration
	}{
		{"others answer", true, 3 + 10, 13 * time.Second},
		{"the host is cut off", false, 3 * (2 + 10), 13 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				start := time.Now()
				var tries atomic.Int32
				network := idle()
				network.Identify = func(ctx context.Context, to netip.AddrPort, _ string) (fleet.ServerID, error) {
					if to == witness.Address && test.witness {
						return witness.ID, nil
					}
					if to == probedServer.Address {
						tries.Add(1)
						if time.Since(start) > 10*time.Second {
							return probedServer.ID, nil
						}
					}
					<-ctx.Done()
					return "", errLost
				}
				entry.Probe(t.Context(), network, serversAnswer("i-01", "i-09"))
				is.True(tries.Load() <= test.maxTries)
				is.True(time.Since(start) < test.longestIn)
			})
		})
	}
}

// serversAnswer is the store's answer with servers, each at the address of its number.
func serversAnswer(ids ...fleet.ServerID) catalogue.Update {
	a := catalogue.Update{Source: catalogue.Servers, Full: true, Version: 1}
	for _, id := range ids {
		server := &catalogue.Server{ID: id, Service: "bench", Address: netip.MustParseAddrPort("10.0.0." + string(id[3:]) + ":80")}
		a.Records = append(a.Records, catalogue.Record{Name: string(id), Changed: 1, Server: server})
	}
	return a
}
