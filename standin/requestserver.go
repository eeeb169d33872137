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

// Headers of requests and answers.
const (
	HeaderKey     = "Idempotency-Key"
	HeaderOutcome = "Request-Outcome"
	HeaderReason  = "Request-Reason"
	HeaderTimeout = "Request-Timeout" // seconds until the deadline, with decimals
	HeaderEarlier = "Request-Earlier" // "none" if no earlier attempt with the key ran
	HeaderServer  = "Server-Name"
	HeaderAttempt = "Request-Attempt" // names one attempt; servers repeat it
)

// Outcome is what a caller is told about its request.
type Outcome string

// The outcomes of a request.
const (
	OutcomeAnswered Outcome = "answered"
	OutcomeRefused  Outcome = "refused" // and not run
	OutcomeUnknown  Outcome = "unknown"
)

// RequestServer is a backend server of a request service. It runs Slots
// requests at once, queues a few more and refuses the rest. Its answer repeats
// the request's id, and is padded to the size that the caller asked for.
// RequestServer is safe for concurrent use.
type RequestServer struct {
	Name fleet.ServerID
	// Host is the HTTP host name of the server's service; a request for
	// another is a misdelivery.
	Host        string
	Slots       int           // requests that run at once; zero means 2
	QueueLimit  int           // requests that wait; zero means 4
	ServiceTime time.Duration // of one request at a warm server
	Warmth      Warmth
	Health      Health
	Ledger      *Ledger
	// Work takes the time of one request; nil means a timer. It returns early
	// with the context's error.
	Work func(ctx context.Context, d time.Duration) error
	// Now is the clock; nil means time.Now.
	Now func() time.Time

	mu       sync.Mutex
	running  int
	waiting  int
	free     chan struct{} // a token for each free slot
	draining bool
	presence presence
	counts   RequestServerCounts
}

// RequestServerCounts are what a request server saw.
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
	Warmth       WarmthCounts `json:"warmth"`
}

const (
	defaultSlots      = 2 // requests
	defaultQueueLimit = 4 // requests
	maxAnswerPadding  = 1 << 20
	maxRequestBody    = 1 << 20 // bytes
)

// ServeHTTP runs a request, or refuses it.
func (s *RequestServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(HeaderAttempt, r.Header.Get(HeaderAttempt))
	_, _ = io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, maxRequestBody))
	if reason := s.admit(r); reason != "" {
		refuse(w, reason)
		return
	}
	ctx, cancel := withDeadline(r)
	defer cancel()
	r = r.WithContext(ctx)
	if !s.acquire(ctx) {
		refuse(w, "deadline")
		return
	}
	defer s.release()
	duration, ok := s.begin(r)
	if !ok {
		panic(http.ErrAbortHandler) // the server fell over: the connection is cut
	}
	if err := s.work(ctx, duration); err != nil {
		s.count(func(c *RequestServerCounts) { c.Cancelled++ })
		http.Error(w, "cancelled while it ran", http.StatusGatewayTimeout)
		return
	}
	s.finish()
	s.answer(w, r)
}

// Drain makes the server refuse new requests, or take them again.
func (s *RequestServer) Drain(drain bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = drain
}

// TurnCold makes the server cold without a sign of it.
func (s *RequestServer) TurnCold() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Warmth.Cold()
}

// NoNewWorkAfter counts requests that come later than t; zero ends that.
func (s *RequestServer) NoNewWorkAfter(t time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.presence.noNewAfter = t
}

// NoPacketsAfter counts requests that come later than t at a server of a data
// centre which is out; zero ends that.
func (s *RequestServer) NoPacketsAfter(t time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.presence.noneAfter = t
}

// Counts returns what the server saw so far.
func (s *RequestServer) Counts() RequestServerCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := s.counts
	counts.LateNewWork = s.presence.lateNewWork
	counts.LatePackets = s.presence.latePackets
	counts.Warmth = s.Warmth.Counts()
	return counts
}

// Load returns what the server says of itself now.
func (s *RequestServer) Load() Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Load{
		Ready:    !s.draining,
		Draining: s.draining,
		Load:     min(1, ratio(s.running, s.slots())),
		InFlight: s.running,
		Queued:   s.waiting,
		Slots:    s.slots(),
	}
}

// admit returns why a request is refused, or "".
func (s *RequestServer) admit(r *http.Request) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Requests++
	s.presence.arrive(s.now(), true)
	limit := s.QueueLimit
	if limit == 0 {
		limit = defaultQueueLimit
	}
	switch {
	case s.Host != "" && hostName(r.Host) != s.Host:
		s.counts.Misdelivered++
		return "wrong_service"
	case s.draining:
		s.counts.RefusedDrain++
		return "draining"
	case s.running+s.waiting >= s.slots()+limit:
		s.counts.Shed++
		return "overloaded"
	}
	s.waiting++
	return ""
}

func (s *RequestServer) acquire(ctx context.Context) bool {
	free := s.slotTokens()
	select {
	case <-free:
	case <-ctx.Done():
		s.mu.Lock()
		defer s.mu.Unlock()
		s.waiting--
		s.counts.Cancelled++
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting--
	s.running++
	return true
}

func (s *RequestServer) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	s.free <- struct{}{}
}

func (s *RequestServer) slotTokens() chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.free == nil {
		s.free = make(chan struct{}, s.slots())
		for range s.slots() {
			s.free <- struct{}{}
		}
	}
	return s.free
}

// begin notes the run and returns how long it takes. It is false when the
// server falls over.
func (s *RequestServer) begin(r *http.Request) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Runs++
	if s.Ledger != nil {
		s.Ledger.Run(requestID(r), s.Name)
	}
	duration := time.Duration(float64(s.ServiceTime) * s.Warmth.slowdown())
	return duration, s.Warmth.Arrive(s.now())
}

func (s *RequestServer) finish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Finished++
	s.Warmth.Serve(s.now())
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

func (s *RequestServer) answer(w http.ResponseWriter, r *http.Request) {
	padding, _ := strconv.Atoi(r.URL.Query().Get("size"))
	padding = max(0, min(padding, maxAnswerPadding))
	body := fmt.Sprintf("%s %s\n%s", s.Name, requestID(r), strings.Repeat(".", padding))
	w.Header().Set(HeaderServer, string(s.Name))
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = io.WriteString(w, body)
}

func (s *RequestServer) count(change func(*RequestServerCounts)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.counts)
}

func (s *RequestServer) slots() int {
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

// withDeadline returns the request's context, which ends with the deadline that
// its header sets.
func withDeadline(r *http.Request) (context.Context, context.CancelFunc) {
	seconds, err := strconv.ParseFloat(r.Header.Get(HeaderTimeout), 64)
	if err != nil {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), time.Duration(seconds*float64(time.Second)))
}

// refuse tells that the request was not run.
func refuse(w http.ResponseWriter, reason string) {
	w.Header().Set(HeaderOutcome, string(OutcomeRefused))
	w.Header().Set(HeaderReason, reason)
	http.Error(w, reason, http.StatusServiceUnavailable)
}

// requestID identifies a request at servers and callers: its idempotency key,
// else the id in its query.
func requestID(r *http.Request) string {
	if key := r.Header.Get(HeaderKey); key != "" {
		return key
	}
	return r.URL.Query().Get("id")
}

func hostName(hostPort string) string {
	host, _, found := strings.Cut(hostPort, ":")
	if !found {
		return hostPort
	}
	return host
}
