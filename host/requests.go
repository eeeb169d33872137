package host

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/rattanthread/rattanthread/backend"
	"github.com/rattanthread/rattanthread/config"
	"github.com/rattanthread/rattanthread/control"
	"github.com/rattanthread/rattanthread/door"
	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/request"
)

const (
	headerTimeout  = 5 * time.Second
	idleTimeout    = 60 * time.Second
	maxHeaderBytes = 32 << 10
)

// requestDoor serves the requests of callers and carries claims between the
// request goroutines and the control state.
type requestDoor struct {
	host     *Host
	parts    *parts
	door     *door.Handler
	server   *http.Server
	snapshot atomic.Pointer[door.Snapshot]

	mu      sync.Mutex
	waiting map[request.AttemptID]chan<- request.Verdict
}

func newRequestDoor(h *Host, p *parts) *requestDoor {
	d := &requestDoor{host: h, parts: p, waiting: make(map[request.AttemptID]chan<- request.Verdict)}
	d.snapshot.Store(&door.Snapshot{})
	d.door = &door.Handler{
		Snapshot:       d.snapshot.Load,
		Claim:          d.claim,
		Report:         d.reportResult,
		Observe:        p.loop.observe,
		Credit:         func() *backend.Credit { return p.loop.core.Load().Credit() },
		MaxHeaderBytes: maxHeaderBytes,
		Transport:      door.NewTransport(),
		Now:            h.Now,
		Random:         rand.Float64,
		IntN:           rand.IntN,
	}
	d.server = &http.Server{
		Handler:           d.door,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	return d
}

func (d *requestDoor) serve(ctx context.Context) error {
	return serveHTTP(ctx, d.server, d.parts.sockets.request)
}

// drain refuses new requests and waits for the running ones.
func (d *requestDoor) drain(ctx context.Context) error { return d.door.Drain(ctx) }

// report gives a backend server's own count of running requests to the choice
// of servers.
func (d *requestDoor) report(id fleet.ServerID, inFlight int, at time.Time) {
	d.door.Picker.Report(id, inFlight, at)
}

// install makes the services of a control snapshot known to the door.
func (d *requestDoor) install(s *control.Snapshot) {
	next := &door.Snapshot{Services: make(map[string]*door.Service)}
	byName := make(map[fleet.ServiceName]*door.Service)
	for _, service := range s.Revised.Set.Services {
		if service.Kind != config.KindRequest {
			continue
		}
		entry := &door.Service{Name: service.Name, Limits: service.Request}
		byName[service.Name] = entry
		next.Services[strings.ToLower(service.Host)] = entry
	}
	for _, server := range s.Revised.Set.Servers {
		entry, state := byName[server.Service], s.Servers[server.Name]
		if entry == nil || state.Weight == 0 {
			continue
		}
		entry.Servers = append(entry.Servers, door.Server{
			Candidate: backend.Candidate{Server: server.Name, Weight: state.Weight, Slots: server.Slots},
			Address:   server.Address,
			Admission: state.Admission,
		})
	}
	d.snapshot.Store(next)
}

// claim asks the control state whether a request may run.
func (d *requestDoor) claim(ctx context.Context, r request.ClaimRequest) (request.Verdict, error) {
	verdicts := make(chan request.Verdict, 1)
	attempts := make(chan request.AttemptID, 1)
	ask := &claimAsk{ClaimRequested: control.ClaimRequested{Claim: r}, attempts: attempts, verdicts: verdicts}
	if !d.parts.loop.offer(ctx, ask) {
		return request.Verdict{}, errors.Wrapf(ctx.Err(), "claim %s", r.Key)
	}
	select {
	case verdict := <-verdicts:
		return verdict, nil
	case <-ctx.Done():
		d.cancel(attempts)
		return request.Verdict{}, errors.Wrapf(ctx.Err(), "claim %s", r.Key)
	}
}

// cancel gives up a claim once the control state has named its attempt.
func (d *requestDoor) cancel(attempts <-chan request.AttemptID) {
	go func() {
		var id request.AttemptID
		select {
		case id = <-attempts:
		case <-d.parts.loop.ended:
			return
		}
		d.mu.Lock()
		delete(d.waiting, id)
		d.mu.Unlock()
		d.parts.loop.offer(context.Background(), &control.ClaimCancelled{Attempt: id})
	}()
}

// reportResult tells the control state how an attempt ended. Losing it would
// leave the key unknown, so it waits for room in the queue.
func (d *requestDoor) reportResult(id request.AttemptID, r request.Result) {
	d.parts.loop.offer(context.Background(), &control.ClaimEnded{Attempt: id, Result: r})
}

// claimAsk is a claim with the channels that its request waits on.
type claimAsk struct {
	control.ClaimRequested
	attempts chan<- request.AttemptID
	verdicts chan<- request.Verdict
}

// claimed notes which request waits for the attempt.
func (d *requestDoor) claimed(ask *claimAsk, id request.AttemptID) {
	d.mu.Lock()
	d.waiting[id] = ask.verdicts
	d.mu.Unlock()
	ask.attempts <- id
}

// answer gives verdicts to the requests that wait for them.
func (d *requestDoor) answer(verdicts []request.Verdict) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, v := range verdicts {
		if waiting, ok := d.waiting[v.Attempt]; ok {
			delete(d.waiting, v.Attempt)
			waiting <- v
		}
	}
}
