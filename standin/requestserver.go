package standin

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rattanthread/rattanthread/fleet"
)

// Headers of requests and responses.
const (
	HeaderKey     = "Idempotency-Key"
	HeaderOutcome = "Request-Outcome"
	HeaderReason  = "Request-Reason"
	HeaderTimeout = "Request-Timeout" // seconds until the deadline, with decimals
	HeaderEarlier = "Request-Earlier" // "none" if no earlier attempt with the key ran
	HeaderServer  = "Server-Name"
	HeaderAttempt = "Request-Attempt" // identifies one attempt; servers repeat it
)

// Outcome is the outcome of a request as its caller observes it.
type Outcome string

// The outcomes of a request.
const (
	OutcomeAnswered Outcome = "answered"
	OutcomeRefused  Outcome = "refused" // not run
	OutcomeUnknown  Outcome = "unknown"
)

// RequestServer emulates a backend server of a request service. It runs Slots
// requests at once, queues QueueLimit more and refuses the rest. Its response
// repeats the request's id, and is padded to the size that the caller requested.
// RequestServer is safe for concurrent use.
type RequestServer struct {
	Name fleet.ServerID
	// Host is the HTTP host name of the server's service; requests for another
	// count as misdelivered.
	Host        string
	Slots       int           // requests that run at once; zero means 2
	QueueLimit  int           // requests that wait; zero means 4
	ServiceTime time.Duration // of one request at a warm server
	Warmup      Warmup
	Health      HealthEndpoint
	Ledger      *Ledger
	// Work performs a request of duration d; nil means to wait on a timer. It
	// returns early with the context's error.
	Work func(ctx context.Context, d time.Duration) error
	// Now is the clock; nil means time.Now.
	Now func() time.Time

	mu        sync.Mutex
	running   int
	queued    int
	freeSlots chan struct{} // holds a token for each free slot
	draining  bool
	late      lateCounter
	counts    RequestServerCounts
}

// RequestServerCounts holds the counters of a RequestServer.
type RequestServerCounts struct {
	Requests     uint64       `json:"requests"`
	Runs         uint64       `json:"runs"`
	Finished     uint64       `json:"finished"`
	Cancelled    uint64       `json:"cancelled"`
	Shed         uint64       `json:"shed"`
	RefusedDrain uint64       `json:"refused_drain"`
	Misdelivered uint64       `json:"misdelivered"`
	LateNewWork  uint64       `json:"late_new_work"`
	LatePackets  uint64       `json:"late_packets"`
	Warmup       WarmupCounts `json:"warmth"`
}

const (
	defaultSlots       = 2       // requests
	defaultQueueLimit  = 4       // requests
	maxResponsePadding = 1 << 20 // bytes
	maxRequestBody     = 1 << 20 // bytes
)

// ServeHTTP runs or refuses a request.
func (s *RequestServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(HeaderAttempt, r.Header.Get(HeaderAttempt))
	_, _ = io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, maxRequestBody))
	if reason := s.admit(r); reason != "" {
		writeRefusal(w, reason)
		return
	}
	ctx, cancel := withDeadline(r)
	defer cancel()
	r = r.WithContext(ctx)
	if !s.acquireSlot(ctx) {
		writeRefusal(w, "deadline")
		return
	}
	defer s.releaseSlot()
	duration, ok := s.startRun(r)
	if !ok {
		panic(http.ErrAbortHandler) // the server crashed: abort the connection
	}
	if err := s.work(ctx, duration); err != nil {
		s.updateCounts(func(c *RequestServerCounts) { c.Cancelled++ })
		http.Error(w, "cancelled while it ran", http.StatusGatewayTimeout)
		return
	}
	s.finishRun()
	s.writeResponse(w, r)
}

// SetDraining makes the server refuse new requests, or accept them again.
func (s *RequestServer) SetDraining(draining bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = draining
}

// ResetWarmup makes the server cold without reporting a restart.
func (s *RequestServer) ResetWarmup() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Warmup.Reset()
}

// SetNewWorkCutoff makes the server count requests after t as late new work; a zero t
// ends this.
func (s *RequestServer) SetNewWorkCutoff(t time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.late.newWorkCutoff = t
}

// SetPacketCutoff makes the server count requests after t as late packets, for a
// server whose data centre is out of service; a zero t ends this.
func (s *RequestServer) SetPacketCutoff(t time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.late.packetCutoff = t
}

// Counts returns the current counters.
func (s *RequestServer) Counts() RequestServerCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := s.counts
	counts.LateNewWork = s.late.newWork
	counts.LatePackets = s.late.packets
	counts.Warmup = s.Warmup.Counts()
	return counts
}

// Load returns the current load report.
func (s *RequestServer) Load() Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Load{
		Ready:    !s.draining,
		Draining: s.draining,
		Load:     min(1, ratio(s.running, s.slotCount())),
		InFlight: s.running,
		Queued:   s.queued,
		Slots:    s.slotCount(),
	}
}

// admit queues a request, or returns the reason why it is refused.
func (s *RequestServer) admit(r *http.Request) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Requests++
	s.late.record(s.now(), true)
	limit := s.QueueLimit
	if limit == 0 {
		limit = defaultQueueLimit
	}
	switch {
	case s.Host != "" && trimPort(r.Host) != s.Host:
		s.counts.Misdelivered++
		return "wrong_service"
	case s.draining:
		s.counts.RefusedDrain++
		return "draining"
	case s.running+s.queued >= s.slotCount()+limit:
		s.counts.Shed++
		return "overloaded"
	}
	s.queued++
	return ""
}

func (s *RequestServer) acquireSlot(ctx context.Context) bool {
	freeSlots := s.slotTokens()
	select {
	case <-freeSlots:
	case <-ctx.Done():
		s.mu.Lock()
		defer s.mu.Unlock()
		s.queued--
		s.counts.Cancelled++
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queued--
	s.running++
	return true
}

func (s *RequestServer) releaseSlot() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	s.freeSlots <- struct{}{}
}

func (s *RequestServer) slotTokens() chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.freeSlots == nil {
		s.freeSlots = make(chan struct{}, s.slotCount())
		for range s.slotCount() {
			s.freeSlots <- struct{}{}
		}
	}
	return s.freeSlots
}

// startRun records the start of a run and returns its duration. It returns false
// if the server crashes.
func (s *RequestServer) startRun(r *http.Request) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Runs++
	if s.Ledger != nil {
		s.Ledger.Record(requestID(r), s.Name)
	}
	duration := time.Duration(float64(s.ServiceTime) * s.Warmup.slowdown())
	return duration, s.Warmup.RecordArrival(s.now())
}

func (s *RequestServer) finishRun() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Finished++
	s.Warmup.RecordCompletion(s.now())
}

func (s *RequestServer) work(ctx context.Context, d time.Duration) error {
	if s.Work != nil {
		return s.Work(ctx, d)
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *RequestServer) writeResponse(w http.ResponseWriter, r *http.Request) {
	padding, _ := strconv.Atoi(r.URL.Query().Get("size"))
	padding = max(0, min(padding, maxResponsePadding))
	body := fmt.Sprintf("%s %s\n%s", s.Name, requestID(r), strings.Repeat(".", padding))
	w.Header().Set(HeaderServer, string(s.Name))
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = io.WriteString(w, body)
}

func (s *RequestServer) updateCounts(change func(*RequestServerCounts)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.counts)
}

func (s *RequestServer) slotCount() int {
	if s.Slots == 0 {
		return defaultSlots
	}
	return s.Slots
}

func (s *RequestServer) now() time.Time {
	if s.Now == nil {
		return time.Now()
	}
	return s.Now()
}

// withDeadline returns the request's context with the deadline that HeaderTimeout
// sets.
func withDeadline(r *http.Request) (context.Context, context.CancelFunc) {
	seconds, err := strconv.ParseFloat(r.Header.Get(HeaderTimeout), 64)
	if err != nil {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), time.Duration(seconds*float64(time.Second)))
}

// writeRefusal responds that the request was not run.
func writeRefusal(w http.ResponseWriter, reason string) {
	w.Header().Set(HeaderOutcome, string(OutcomeRefused))
	w.Header().Set(HeaderReason, reason)
	http.Error(w, reason, http.StatusServiceUnavailable)
}

// requestID returns the id of a request at servers and callers: its idempotency
// key, else the id in its query.
func requestID(r *http.Request) string {
	if key := r.Header.Get(HeaderKey); key != "" {
		return key
	}
	return r.URL.Query().Get("id")
}

func trimPort(hostPort string) string {
	host, _, found := strings.Cut(hostPort, ":")
	if !found {
		return hostPort
	}
	return host
}
