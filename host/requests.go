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
	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/frontend"
	"github.com/rattanthread/rattanthread/request"
)

const (
	headerTimeout  = 5 * time.Second
	idleTimeout    = 60 * time.Second
	maxHeaderBytes = 32 << 10
)

// requestServer serves callers' requests and passes claims and verdicts between
// the request goroutines and the control loop.
type requestServer struct {
	host       *Host
	components *hostComponents
	handler    *frontend.Handler
	server     *http.Server
	snapshot   atomic.Pointer[frontend.Snapshot]

	mu      sync.Mutex
	waiting map[request.AttemptID]chan<- request.Verdict
}

func newRequestServer(host *Host, components *hostComponents) *requestServer {
	server := &requestServer{host: host, components: components, waiting: make(map[request.AttemptID]chan<- request.Verdict)}
	server.snapshot.Store(&frontend.Snapshot{})
	server.handler = &frontend.Handler{
		Snapshot:       server.snapshot.Load,
		Claim:          server.claim,
		Report:         server.reportResult,
		Observe:        components.loop.observe,
		Credit:         func() *backend.Credit { return components.loop.core.Load().Credit() },
		MaxHeaderBytes: maxHeaderBytes,
		Transport:      frontend.NewTransport(),
		Now:            host.Now,
		Random:         rand.Float64,
		IntN:           rand.IntN,
	}
	server.server = &http.Server{
		Handler:           server.handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	return server
}

func (s *requestServer) serve(ctx context.Context) error {
	return serveHTTP(ctx, s.server, s.components.sockets.request)
}

// drain refuses new requests and waits until the running ones finish.
func (s *requestServer) drain(ctx context.Context) error { return s.handler.Drain(ctx) }

// reportLoad passes a backend server's own count of requests in flight to the
// server picker.
func (s *requestServer) reportLoad(id fleet.ServerID, inFlight int, at time.Time) {
	s.handler.Picker.Report(id, inFlight, at)
}

// updateSnapshot publishes the services of a control snapshot to the handler.
func (s *requestServer) updateSnapshot(snapshot *control.Snapshot) {
	next := &frontend.Snapshot{Services: make(map[string]*frontend.Service)}
	byName := make(map[fleet.ServiceName]*frontend.Service)
	for _, service := range snapshot.Published.Set.Services {
		if service.Kind != config.KindRequest {
			continue
		}
		entry := &frontend.Service{Name: service.Name, Limits: service.Request}
		byName[service.Name] = entry
		next.Services[strings.ToLower(service.Host)] = entry
	}
	for _, server := range snapshot.Published.Set.Servers {
		entry, state := byName[server.Service], snapshot.Servers[server.Name]
		if entry == nil || state.Weight == 0 {
			continue
		}
		entry.Servers = append(entry.Servers, frontend.Server{
			Candidate: backend.Candidate{Server: server.Name, Weight: state.Weight, Slots: server.Slots},
			Address:   server.Address,
			Admission: state.Admission,
		})
	}
	s.snapshot.Store(next)
}

// claim submits a claim to the control loop and waits for the verdict.
func (s *requestServer) claim(ctx context.Context, claim request.ClaimRequest) (request.Verdict, error) {
	verdicts := make(chan request.Verdict, 1)
	attempts := make(chan request.AttemptID, 1)
	pending := &pendingClaim{ClaimRequested: control.ClaimRequested{Claim: claim}, attempts: attempts, verdicts: verdicts}
	if !s.components.loop.enqueue(ctx, pending) {
		return request.Verdict{}, errors.Wrapf(ctx.Err(), "claim %s", claim.Key)
	}
	select {
	case verdict := <-verdicts:
		return verdict, nil
	case <-ctx.Done():
		s.cancel(attempts)
		return request.Verdict{}, errors.Wrapf(ctx.Err(), "claim %s", claim.Key)
	}
}

// cancel cancels a claim once the control loop has assigned its attempt.
func (s *requestServer) cancel(attempts <-chan request.AttemptID) {
	go func() {
		var id request.AttemptID
		select {
		case id = <-attempts:
		case <-s.components.loop.hostDone:
			return
		}
		s.mu.Lock()
		delete(s.waiting, id)
		s.mu.Unlock()
		s.components.loop.enqueue(context.Background(), &control.ClaimCancelled{Attempt: id})
	}()
}

// reportResult reports the result of an attempt to the control loop. A lost result
// would leave the outcome of the key unknown, so it waits for space in the queue.
func (s *requestServer) reportResult(id request.AttemptID, r request.Result) {
	s.components.loop.enqueue(context.Background(), &control.ClaimEnded{Attempt: id, Result: r})
}

// pendingClaim is a claim with the channels on which its request waits.
type pendingClaim struct {
	control.ClaimRequested
	attempts chan<- request.AttemptID
	verdicts chan<- request.Verdict
}

// registerAttempt records the channel on which a request waits for the verdict on
// its attempt.
func (s *requestServer) registerAttempt(pending *pendingClaim, id request.AttemptID) {
	s.mu.Lock()
	s.waiting[id] = pending.verdicts
	s.mu.Unlock()
	pending.attempts <- id
}

// deliverVerdicts sends verdicts to the requests that wait for them.
func (s *requestServer) deliverVerdicts(verdicts []request.Verdict) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, v := range verdicts {
		if waiter, ok := s.waiting[v.Attempt]; ok {
			delete(s.waiting, v.Attempt)
			waiter <- v
		}
	}
}
