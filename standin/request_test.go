package standin_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rattanthread/rattanthread/standin"
)

func completeAtOnce(context.Context, time.Duration) error { return nil }

// newCaller serves handler in place of an entry host, and returns a caller of it.
func newCaller(t *testing.T, handler http.Handler, ledger *standin.Ledger) *standin.RequestCaller {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	address := netip.MustParseAddrPort(server.Listener.Addr().String())
	return &standin.RequestCaller{
		Service:      "orders",
		Host:         "orders.example",
		Address:      func() (netip.AddrPort, bool) { return address, true },
		PostRatio:    1,
		Timeout:      time.Minute,
		ResponseSize: 1000,
		MaxAttempts:  3,
		Ledger:       ledger,
	}
}

func TestRequestIsAnswered(t *testing.T) {
	is := is.New(t)
	ledger := &standin.Ledger{}
	server := &standin.RequestServer{Name: "orders-1", Host: "orders.example", Ledger: ledger, Work: completeAtOnce}
	caller := newCaller(t, server, ledger)
	for range 20 {
		is.Equal(caller.SendRequest(context.Background()), standin.OutcomeAnswered)
	}
	report := caller.Report()
	is.Equal(report.Answered, uint64(20))
	is.Equal(report.Attempts, uint64(20))
	is.Equal(report.RunTwice+report.RefusedButRun+report.Mismatched+report.Disconnected, uint64(0))
	is.Equal(report.PerServer["orders-1"], uint64(20))
	is.Equal(server.Counts().Finished, uint64(20))
}

// TestCallerNoticesFaultsOfAnEntryHost checks that a caller counts each fault of
// an entry host.
func TestCallerNoticesFaultsOfAnEntryHost(t *testing.T) {
	refuse := func(w http.ResponseWriter) {
		w.Header().Set(standin.HeaderOutcome, string(standin.OutcomeRefused))
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	tests := []struct {
		name    string
		handler func(server http.Handler) http.HandlerFunc
		want    standin.Outcome
		fault   func(standin.RequestReport) uint64
	}{
		{
			"refused but run",
			func(server http.Handler) http.HandlerFunc {
				return func(w http.ResponseWriter, r *http.Request) {
					server.ServeHTTP(httptest.NewRecorder(), r)
					refuse(w)
				}
			},
			standin.OutcomeRefused,
			func(r standin.RequestReport) uint64 { return r.RefusedButRun },
		},
		{
			"run in an earlier attempt but refused as never run",
			func(server http.Handler) http.HandlerFunc {
				ran := false
				return func(w http.ResponseWriter, r *http.Request) {
					if !ran {
						ran = true
						server.ServeHTTP(httptest.NewRecorder(), r)
						w.WriteHeader(http.StatusBadGateway)
						return
					}
					w.Header().Set(standin.HeaderEarlier, "none")
					refuse(w)
				}
			},
			standin.OutcomeUnknown,
			func(r standin.RequestReport) uint64 { return r.RefusedButRun },
		},
		{
			"run twice",
			func(server http.Handler) http.HandlerFunc {
				return func(w http.ResponseWriter, r *http.Request) {
					server.ServeHTTP(httptest.NewRecorder(), r)
					server.ServeHTTP(w, r)
				}
			},
			standin.OutcomeAnswered,
			func(r standin.RequestReport) uint64 { return r.RunTwice },
		},
		{
			"response to another request",
			func(server http.Handler) http.HandlerFunc {
				return func(w http.ResponseWriter, _ *http.Request) {
					server.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/?id=1&size=1000", nil))
				}
			},
			standin.OutcomeUnknown,
			func(r standin.RequestReport) uint64 { return r.Mismatched },
		},
		{
			"incomplete response",
			func(http.Handler) http.HandlerFunc {
				return func(w http.ResponseWriter, _ *http.Request) {
					w.Header().Set("Content-Length", "1000")
					_, _ = w.Write([]byte("part"))
					panic(http.ErrAbortHandler)
				}
			},
			standin.OutcomeUnknown,
			func(r standin.RequestReport) uint64 { return r.Disconnected },
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			ledger := &standin.Ledger{}
			server := &standin.RequestServer{Name: "orders-1", Ledger: ledger, Work: completeAtOnce}
			caller := newCaller(t, tt.handler(server), ledger)
			is.Equal(caller.SendRequest(context.Background()), tt.want)
			is.True(tt.fault(caller.Report()) > 0)
		})
	}
}

func TestUnknownThenRefusedIsUnknown(t *testing.T) {
	is := is.New(t)
	var attempts atomic.Int32
	ledger := &standin.Ledger{}
	server := &standin.RequestServer{Name: "orders-1", Ledger: ledger, Work: completeAtOnce}
	caller := newCaller(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if attempts.Add(1) == 1 {
			server.ServeHTTP(httptest.NewRecorder(), r)
			w.Header().Set(standin.HeaderOutcome, string(standin.OutcomeUnknown))
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		w.Header().Set(standin.HeaderOutcome, string(standin.OutcomeRefused))
		w.WriteHeader(http.StatusServiceUnavailable)
	}), ledger)
	is.Equal(caller.SendRequest(context.Background()), standin.OutcomeUnknown)
	is.Equal(caller.Report().RefusedButRun, uint64(0))
	is.Equal(attempts.Load(), int32(3))
	is.Equal(caller.OutcomesBySecond()[0].Unknown, uint64(1))
}

func TestRequestServerRefusals(t *testing.T) {
	is := is.New(t)
	entered := make(chan struct{})
	release := make(chan struct{})
	server := &standin.RequestServer{
		Name:       "orders-1",
		Host:       "orders.example",
		Slots:      1,
		QueueLimit: 1,
		Work: func(ctx context.Context, _ time.Duration) error {
			entered <- struct{}{}
			select {
			case <-release:
				return nil
			case <-ctx.Done():
				return ctx.Err()
			}
		},
	}
	get := func(ctx context.Context, host string) *httptest.ResponseRecorder {
		r := httptest.NewRequest(http.MethodGet, "/?id=1", nil).WithContext(ctx)
		r.Host = host
		w := httptest.NewRecorder()
		server.ServeHTTP(w, r)
		return w
	}
	ctx, cancel := context.WithCancel(context.Background())
	firstResponse := make(chan *httptest.ResponseRecorder)
	go func() { firstResponse <- get(context.Background(), "orders.example") }()
	<-entered
	cancelled := make(chan struct{})
	go func() {
		get(ctx, "orders.example")
		close(cancelled)
	}()
	for server.Load().Queued == 0 { // until the second request is queued
		runtime.Gosched()
	}
	w := get(context.Background(), "orders.example")
	is.Equal(w.Header().Get(standin.HeaderReason), "overloaded")
	is.Equal(w.Header().Get(standin.HeaderOutcome), "refused")
	cancel()
	<-cancelled
	close(release)
	is.Equal((<-firstResponse).Code, http.StatusOK)

	server.SetDraining(true)
	is.Equal(get(context.Background(), "orders.example:80").Header().Get(standin.HeaderReason), "draining")
	is.Equal(get(context.Background(), "maps.example").Header().Get(standin.HeaderReason), "wrong_service")
	counts := server.Counts()
	is.Equal(counts.Runs, uint64(1))
	is.Equal(counts.Cancelled, uint64(1))
	is.Equal(counts.Misdelivered, uint64(1))
}

func TestRequestServerKeepsDeadlines(t *testing.T) {
	is := is.New(t)
	server := &standin.RequestServer{Name: "orders-1", Work: func(ctx context.Context, _ time.Duration) error {
		<-ctx.Done()
		return ctx.Err()
	}}
	r := httptest.NewRequest(http.MethodGet, "/?id=1", nil)
	r.Header.Set(standin.HeaderTimeout, "0.001")
	w := httptest.NewRecorder()
	server.ServeHTTP(w, r)
	is.Equal(w.Code, http.StatusGatewayTimeout)
	is.Equal(w.Header().Get(standin.HeaderOutcome), "") // it had started to run
	is.Equal(server.Counts().Cancelled, uint64(1))
}

func TestHealthLagsAndMisleads(t *testing.T) {
	is := is.New(t)
	endpoint := &standin.HealthEndpoint{Lag: time.Second}
	is.Equal(endpoint.Report(start, standin.Load{Load: 0.1}).Load, 0.1)
	is.Equal(endpoint.Report(start.Add(time.Second/2), standin.Load{Load: 0.9}).Load, 0.1)
	is.Equal(endpoint.Report(start.Add(time.Second), standin.Load{Load: 0.9}).Load, 0.9)
	endpoint.Distort = func(l standin.Load) standin.Load {
		l.Load = 0
		return l
	}
	w := httptest.NewRecorder()
	endpoint.Handler(func() standin.Load { return standin.Load{} }).ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/", nil))
	is.Equal(w.Code, http.StatusServiceUnavailable) // not ready
	is.True(strings.Contains(w.Body.String(), `"load":0,`))
}
