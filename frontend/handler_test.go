package frontend_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"github.com/rattanthread/rattanthread/backend"
	"github.com/rattanthread/rattanthread/config"
	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/frontend"
	"github.com/rattanthread/rattanthread/request"
)

// singleHostKeys serves the claims of a Handler with the request.KeyTracker of a
// single host.
type singleHostKeys struct {
	mu   sync.Mutex
	keys request.KeyTracker
}

func newSingleHostKeys() *singleHostKeys {
	k := &singleHostKeys{}
	start := time.Now().Add(-time.Minute)
	view := request.View{
		Self:        "a1",
		DataCentre:  "a",
		Hosts:       []fleet.Host{{ID: "a1", DataCentre: "a", Incarnation: 1}},
		DataCentres: []config.DataCentre{{Name: "a"}},
		Confirmed:   true,
	}
	k.keys.Install(start, view)
	for at := start; at.Before(time.Now().Add(time.Minute)); at = at.Add(500 * time.Millisecond) {
		k.keys.Tick(at)
	}
	return k
}

func (k *singleHostKeys) claim(_ context.Context, r request.ClaimRequest) (request.Verdict, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	_, e := k.keys.Claim(time.Now(), r)
	return e.Verdicts[0], nil
}

func (k *singleHostKeys) report(id request.AttemptID, r request.Result) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.keys.Report(time.Now(), id, r)
}

// fixture is a running Handler with its backend servers.
type fixture struct {
	*frontend.Handler
	url            string
	serverRequests atomic.Int64 // requests that reached a server
	registry       *prometheus.Registry
}

var limits = config.RequestLimits{Timeout: 2 * time.Second, MaxBodyBytes: 1000, RetryRatio: 1}

// newFixture starts a Handler that serves service "orders", at host "orders.test",
// with one backend server per element of handlers.
func newFixture(t testing.TB, handlers ...http.HandlerFunc) *fixture {
	f := &fixture{registry: prometheus.NewRegistry()}
	service := &frontend.Service{Name: "orders", Limits: limits}
	for i, h := range handlers {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			f.serverRequests.Add(1)
			h(w, r)
		}))
		t.Cleanup(server.Close)
		service.Servers = append(service.Servers, newServer(i, server.Listener.Addr().String()))
	}
	keys := newSingleHostKeys()
	f.Handler = &frontend.Handler{
		Snapshot: func() *frontend.Snapshot {
			return &frontend.Snapshot{Services: map[string]*frontend.Service{"orders.test": service}}
		},
		Claim:  keys.claim,
		Report: keys.report,
		Sleep:  func(context.Context, time.Duration) error { return nil },
		// Makes the picker select the first of equal servers, so that they are tried in order.
		IntN: func(n int) int { return n - 1 },
	}
	if err := f.Register(f.registry); err != nil {
		t.Fatal(err)
	}
	frontEnd := httptest.NewUnstartedServer(nil)
	frontEnd.Config = f.HTTPServer()
	frontEnd.Start()
	t.Cleanup(frontEnd.Close)
	f.url = frontEnd.URL
	return f
}

func newServer(i int, address string) frontend.Server {
	return frontend.Server{
		Candidate: backend.Candidate{Server: fleet.ServerID(fmt.Sprintf("s%d", i)), Weight: 100, Slots: 2},
		Address:   netip.MustParseAddrPort(address),
		Admission: backend.AdmitFreely,
	}
}

// reply is a response as received by the caller.
type reply struct {
	status                   int
	outcome, reason, earlier string
	header                   http.Header
	body                     string
	err                      error
}

func (f *fixture) call(ctx context.Context, method, body string, headers ...string) reply {
	return f.send(ctx, method, strings.NewReader(body), headers...)
}

func (f *fixture) send(ctx context.Context, method string, body io.Reader, headers ...string) reply {
	r, _ := http.NewRequestWithContext(ctx, method, f.url+"/cut?list=1", body)
	r.Host = "orders.test"
	for i := 0; i < len(headers); i += 2 {
		if headers[i] == "Host" {
			r.Host = headers[i+1]
		}
		r.Header.Add(headers[i], headers[i+1])
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	h := resp.Header
	return reply{resp.StatusCode, h.Get(frontend.HeaderOutcome), h.Get(frontend.HeaderReason), h.Get(frontend.HeaderEarlier), h, string(text), err}
}

func newKey() string { return uuid.Must(uuid.NewV7()).String() }

func keyAt(at time.Time) string {
	id := uuid.Must(uuid.NewV7())
	for i := range 6 {
		id[i] = byte(at.UnixMilli() >> (40 - 8*i))
	}
	return id.String()
}

func respondWith(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, text) }
}

// respondRaw writes text to the connection and closes it.
func respondRaw(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		c, _, _ := http.NewResponseController(w).Hijack()
		_, _ = io.WriteString(c, text)
		_ = c.Close()
	}
}

func shed(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(frontend.HeaderOutcome, "refused")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// closedAddress has no listener.
var closedAddress = func() string {
	l, _ := net.Listen("tcp", "127.0.0.1:0")
	defer l.Close()
	return l.Addr().String()
}()

func TestBadInputRunsNothing(t *testing.T) {
	long := strings.Repeat("x", 1001)
	key := newKey()
	cases := []struct {
		name, method, body string
		headers            []string
		status             int
		outcome, reason    string
	}{
		{"no key", "POST", "a", nil, 400, "refused", "key_missing"},
		{"key not a UUID", "POST", "a", []string{"Idempotency-Key", "abc"}, 400, "refused", "key_malformed"},
		{"version 4 UUID as key", "POST", "a", []string{"Idempotency-Key", uuid.NewString()}, 400, "refused", "key_malformed"},
		{"two keys", "POST", "a", []string{"Idempotency-Key", key, "Idempotency-Key", key}, 400, "refused", "key_malformed"},
		{"expired key", "POST", "a", []string{"Idempotency-Key", keyAt(time.Now().Add(-time.Hour))}, 400, "unknown", "key_expired"},
		{"key from the future", "POST", "a", []string{"Idempotency-Key", keyAt(time.Now().Add(time.Hour))}, 400, "refused", "key_from_future"},
		{"malformed key on an idempotent method", "PUT", "a", []string{"Idempotency-Key", "abc"}, 400, "refused", "key_malformed"},
		{"body too large", "PUT", long, nil, 413, "refused", "body_too_large"},
		{"negative timeout", "GET", "", []string{"Request-Timeout", "-1"}, 504, "refused", "deadline_exceeded"},
		{"zero timeout", "GET", "", []string{"Request-Timeout", "0"}, 504, "refused", "deadline_exceeded"},
		{"timeout not numeric", "GET", "", []string{"Request-Timeout", "soon"}, 400, "refused", "timeout_invalid"},
		{"timeout NaN", "GET", "", []string{"Request-Timeout", "NaN"}, 400, "refused", "timeout_invalid"},
		{"headers too large", "GET", "", []string{"X-Long", strings.Repeat("x", 40<<10)}, 431, "refused", "headers_too_large"},
		{"unknown host", "GET", "", []string{"Host", "else.test"}, 404, "refused", "unknown_service"},
		{"TRACE method", "TRACE", "", nil, 501, "refused", "method_not_supported"},
	}
	f := newFixture(t, respondWith("ok"))
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := f.call(t.Context(), c.method, c.body, c.headers...)
			is.NoErr(r.err)
			is.Equal(r.status, c.status)
			is.Equal(r.outcome, c.outcome)
			is.Equal(r.reason, c.reason)
			is.Equal(f.serverRequests.Load(), int64(0))
		})
	}
	t.Run("body too large without Content-Length", func(t *testing.T) {
		is := is.New(t)
		r := f.send(t.Context(), "PUT", io.MultiReader(strings.NewReader(long)))
		is.Equal(r.reason, "body_too_large")
		is.Equal(f.serverRequests.Load(), int64(0))
	})
	is := is.New(t)
	got, err := testutil.GatherAndCount(f.registry, "rattanthread_request_requests_total")
	is.NoErr(err)
	reasons := make(map[string]bool)
	for _, c := range cases {
		reasons[c.reason] = true
	}
	is.Equal(got, len(reasons)) // each reason is counted
}

func TestSlowSenderRunsNothing(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, respondWith("ok"))
	c, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
	is.NoErr(err)
	defer c.Close()
	_, _ = io.WriteString(c, "PUT / HTTP/1.1\r\nHost: orders.test\r\nRequest-Timeout: 0.1\r\nContent-Length: 9\r\n\r\nabc")
	text, _ := io.ReadAll(c)
	is.True(strings.HasPrefix(string(text), "HTTP/1.1 408 "))
	is.True(strings.Contains(string(text), "Request-Reason: body_slow"))
	is.Equal(f.serverRequests.Load(), int64(0))
}

func TestKeyRunsOnce(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, respondWith("order 7"))
	key := newKey()
	first := f.call(t.Context(), "POST", "strap iron", "Idempotency-Key", key)
	is.Equal(first.outcome, "answered")
	is.Equal(first.body, "order 7")
	again := f.call(t.Context(), "POST", "strap iron", "Idempotency-Key", key)
	is.Equal(again.body, "order 7")
	is.Equal(again.header.Get(frontend.HeaderReplayed), "true")
	other := f.call(t.Context(), "POST", "other", "Idempotency-Key", key)
	is.Equal(other.status, 422)
	is.Equal(other.reason, "key_reused")
	is.Equal(f.serverRequests.Load(), int64(1))
}

func TestLongAnswerIsNotReplayed(t *testing.T) {
	is := is.New(t)
	text := strings.Repeat("x", request.DefaultMaxReplayBodyBytes+1)
	f := newFixture(t, respondWith(text))
	key := newKey()
	is.Equal(f.call(t.Context(), "POST", "a", "Idempotency-Key", key).body, text)
	again := f.call(t.Context(), "POST", "a", "Idempotency-Key", key)
	is.Equal(again.status, http.StatusGone)
	is.Equal(again.outcome, "answered")
	is.Equal(again.reason, "body_not_kept")
	is.Equal(f.serverRequests.Load(), int64(1))
}

// TestFailures covers failures of a server: whether the request is retried, and which
// outcome the caller receives. The second server always responds.
func TestFailures(t *testing.T) {
	truncated := "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort"
	cases := []struct {
		name            string
		first           http.HandlerFunc // nil refuses connections
		outcomeKeyed    string
		reasonKeyed     string
		outcomeUnkeyed  string
		servedByAnother bool
	}{
		{"connection refused", nil, "answered", "", "answered", true},
		{"server sheds", shed, "answered", "", "answered", true},
		{"server responds with 503", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(503) }, "answered", "", "answered", false},
		{"truncated response", respondRaw(truncated), "unknown", "answer_cut", "answered", true},
		{"truncated chunk", respondRaw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nsho"), "unknown", "answer_cut", "answered", true},
		{"response without length", respondRaw("HTTP/1.1 200 OK\r\n\r\nshort"), "unknown", "answer_without_length", "answered", true},
		{"no response", respondRaw(""), "unknown", "no_answer", "answered", true},
		{"response not HTTP", respondRaw("nonsense\r\n\r\n"), "unknown", "no_answer", "answered", true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			first := c.first
			if first == nil {
				first = respondWith("never reached")
			}
			f := newFixture(t, first, respondWith("whole"))
			if c.first == nil {
				f.Snapshot().Services["orders.test"].Servers[0].Address = netip.MustParseAddrPort(closedAddress)
			}
			keyed := f.call(t.Context(), "POST", "a", "Idempotency-Key", newKey())
			is.Equal(keyed.outcome, c.outcomeKeyed)
			is.Equal(keyed.reason, c.reasonKeyed)
			unkeyed := f.call(t.Context(), "GET", "")
			is.Equal(unkeyed.outcome, c.outcomeUnkeyed)
			is.Equal(unkeyed.body == "whole", c.servedByAnother)
		})
	}
}

// TestReusedConnection closes a reused connection after the server has read a further
// request with a key from it. By default, net/http resends such a request.
func TestReusedConnection(t *testing.T) {
	is := is.New(t)
	var served atomic.Int64
	f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		if served.Add(1) > 2 {
			respondRaw("")(w, r)
		}
		w.Header().Set(frontend.HeaderAttempt, r.Header.Get(frontend.HeaderAttempt)) // so that connections are reused
	})
	is.Equal(f.call(t.Context(), "POST", "", "Idempotency-Key", newKey()).outcome, "answered")
	is.Equal(f.call(t.Context(), "POST", "", "Idempotency-Key", newKey()).outcome, "answered")
	is.Equal(f.call(t.Context(), "POST", "", "Idempotency-Key", newKey()).outcome, "unknown")
	is.Equal(f.serverRequests.Load(), int64(3))
}

// newDuplicatingServer starts a backend server that sends a duplicate of each response
// when it has received the next request on the connection, and returns its address.
// If echo is set, its responses repeat HeaderAttempt.
func newDuplicatingServer(t *testing.T, echo bool) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serveDuplicates(conn, echo)
		}
	}()
	return netip.MustParseAddrPort(listener.Addr().String())
}

func serveDuplicates(conn net.Conn, echo bool) {
	defer func() { _ = conn.Close() }()
	reader, last := bufio.NewReader(conn), ""
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, last)
		body := "for " + r.Header.Get("Order")
		last = fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n", len(body))
		if echo {
			last += frontend.HeaderAttempt + ": " + r.Header.Get(frontend.HeaderAttempt) + "\r\n"
		}
		last += "\r\n" + body
		_, _ = io.WriteString(conn, last)
	}
}

// TestLateCopyOfAnAnswer checks that a late duplicate of a response is never returned
// as the response to the next request on the connection.
func TestLateCopyOfAnAnswer(t *testing.T) {
	for _, echo := range []bool{true, false} {
		t.Run(fmt.Sprintf("echo=%t", echo), func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, respondWith("never reached"))
			f.Snapshot().Services["orders.test"].Servers[0].Address = newDuplicatingServer(t, echo)
			answered := 0
			for i := range 10 {
				order := fmt.Sprint(i)
				r := f.call(t.Context(), "POST", "", "Idempotency-Key", newKey(), "Order", order)
				if r.outcome == "answered" {
					is.Equal(r.body, "for "+order)
					answered++
					continue
				}
				is.Equal(r.outcome, "unknown")
				is.Equal(r.reason, "foreign_answer")
			}
			is.True(answered >= 5)
		})
	}
}

// TestRefusalAfterAnUnknownTry checks that the outcome is unknown if the last attempt
// was refused, but an earlier one may have run.
func TestRefusalAfterAnUnknownTry(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, respondRaw(""), shed)
	r := f.call(t.Context(), "GET", "")
	is.Equal(r.outcome, "unknown")
	is.Equal(f.serverRequests.Load(), int64(2))
}

func TestLongAnswerCutAbortsConnection(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, respondRaw("HTTP/1.1 200 OK\r\nContent-Length: 5000\r\n\r\n"+strings.Repeat("x", 4000)))
	f.MaxBufferBytes = 1000
	key := newKey()
	r := f.call(t.Context(), "POST", "a", "Idempotency-Key", key)
	is.True(r.err != nil) // the caller detects the truncation
	r = f.call(t.Context(), "POST", "a", "Idempotency-Key", key)
	is.Equal(r.outcome, "unknown")
	is.Equal(f.serverRequests.Load(), int64(1))
}

func TestCancellationReachesServer(t *testing.T) {
	is := is.New(t)
	started, cancelled := make(chan struct{}), make(chan struct{})
	f := newFixture(t, func(_ http.ResponseWriter, r *http.Request) {
		close(started)
		<-r.Context().Done()
		close(cancelled)
	})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-started
		cancel()
	}()
	is.True(f.call(ctx, "POST", "", "Idempotency-Key", newKey()).err != nil)
	<-cancelled
}

func TestDeadlineIsPassedOnAndKept(t *testing.T) {
	is := is.New(t)
	passed := make(chan string, 1)
	f := newFixture(t, func(_ http.ResponseWriter, r *http.Request) {
		passed <- r.Header.Get(frontend.HeaderTimeout)
		<-r.Context().Done()
	})
	r := f.call(t.Context(), "POST", "", "Idempotency-Key", newKey(), "Request-Timeout", "0.1")
	is.Equal(r.status, 504)
	is.Equal(r.outcome, "unknown")
	is.True(<-passed <= "0.100")
}

func TestLateVerdictIsNotUsed(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, respondWith("ok"))
	var reported request.Result
	f.Claim = func(context.Context, request.ClaimRequest) (request.Verdict, error) {
		return request.Verdict{Decision: request.DecisionRun, ValidUntil: time.Now().Add(-time.Second)}, nil
	}
	f.Report = func(_ request.AttemptID, r request.Result) { reported = r }
	r := f.call(t.Context(), "POST", "", "Idempotency-Key", newKey())
	is.Equal(r.reason, "verdict_late")
	is.Equal(r.earlier, "none")
	is.Equal(reported.Outcome, request.Refused)
	is.Equal(f.serverRequests.Load(), int64(0))
}

func TestColdServerGetsNoWorkWithoutCredit(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, respondWith("ok"))
	f.Snapshot().Services["orders.test"].Servers[0].Admission = backend.AdmitByCredit
	r := f.call(t.Context(), "GET", "")
	is.Equal(r.reason, "no_server")
	is.Equal(r.header.Get("Retry-After"), "1")
	is.Equal(f.serverRequests.Load(), int64(0))
}

func TestDrainCutsNoRequest(t *testing.T) {
	is := is.New(t)
	started, release := make(chan struct{}), make(chan struct{})
	f := newFixture(t, func(w http.ResponseWriter, _ *http.Request) {
		close(started)
		<-release
		_, _ = io.WriteString(w, "done")
	})
	running := make(chan reply)
	go func() { running <- f.call(t.Context(), "GET", "") }()
	<-started
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	is.True(f.Drain(cancelled) != nil) // still running
	r := f.call(t.Context(), "GET", "")
	is.Equal(r.status, 503)
	is.Equal(r.reason, "stopping")
	close(release)
	is.NoErr(f.Drain(t.Context()))
	is.Equal((<-running).body, "done")
}

// TestNoRetryStorm checks that retries stay within the budget while all servers shed
// every request.
func TestNoRetryStorm(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, shed, shed, shed)
	f.Snapshot().Services["orders.test"].Limits.RetryRatio = 0
	const requests = 500
	for range requests {
		r := f.call(t.Context(), "GET", "")
		is.Equal(r.outcome, "refused")
		is.Equal(r.reason, "server_shed")
	}
	amplification := float64(f.serverRequests.Load()) / requests
	t.Logf("amplification %.3f", amplification)
	is.True(amplification <= 1.1)
}
