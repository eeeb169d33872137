package frontend

import (
	"context"
	"crypto/sha256"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/rattanthread/rattanthread/backend"
	"github.com/rattanthread/rattanthread/fleet"
	"github.com/rattanthread/rattanthread/request"
)

// Handler is an http.Handler that serves the requests of callers. Snapshot must be
// set; the other fields have defaults. Without Claim, requests with a key are
// refused.
type Handler struct {
	Snapshot func() *Snapshot
	// Claim requests permission to run a request with a key, and waits for the
	// verdict. If ctx ends first, it abandons the claim and returns an error.
	Claim func(ctx context.Context, r request.ClaimRequest) (request.Verdict, error)
	// Report records the result of an attempt that got request.DecisionRun.
	Report func(id request.AttemptID, r request.Result)
	// Observe records evidence about backend servers.
	Observe func(e backend.Evidence)
	// Credit returns the credit that this host holds. If the field is nil, there is none.
	Credit  func() *backend.Credit
	Picker  backend.Picker
	Retries request.Retries
	// Admission limits the concurrent requests.
	Admission request.Admission
	// MaxBodyReads is the maximum number of request bodies read concurrently.
	MaxBodyReads int
	// MaxBufferBytes is the maximum size of a response that is buffered until it is
	// complete. Longer responses are streamed.
	MaxBufferBytes int64
	// MaxHeaderBytes is the maximum size of the headers of a request.
	MaxHeaderBytes int
	Transport      http.RoundTripper
	Now            func() time.Time
	Sleep          func(ctx context.Context, d time.Duration) error
	Random         func() float64  // in [0, 1); must be safe for concurrent use
	IntN           func(n int) int // in [0, n); must be safe for concurrent use

	metricsOnce sync.Once
	metrics     *metrics
	setupOnce   sync.Once
	bodyReads   atomic.Int64 // in progress
	budgets     sync.Map     // fleet.ServiceName to *request.Budget
	// echoingServers holds the addresses (netip.AddrPort) of the servers that repeat
	// HeaderAttempt in their responses.
	echoingServers sync.Map
	lastAttempt    atomic.Uint64 // the last value of HeaderAttempt
	drainer        drainer
}

// Defaults of Handler and config.RequestLimits.
const (
	DefaultMaxBodyReads   = 1024
	DefaultMaxBufferBytes = 1 << 20  // bytes
	DefaultMaxHeaderBytes = 32 << 10 // bytes
	DefaultMaxBodyBytes   = 1 << 20  // bytes
	// bodyTimeout is the maximum time to receive the body of a request.
	bodyTimeout = 5 * time.Second
)

func (h *Handler) setup() {
	h.setupOnce.Do(func() {
		setDefault(&h.Claim, claimNotConfigured)
		setDefault(&h.Report, func(request.AttemptID, request.Result) {})
		setDefault(&h.Observe, func(backend.Evidence) {})
		setDefault(&h.Now, time.Now)
		setDefault(&h.Sleep, sleep)
		setDefault(&h.Random, rand.Float64)
		setDefault(&h.IntN, rand.IntN)
		if h.Credit == nil {
			h.Credit = func() *backend.Credit { return &backend.Credit{} }
		}
		if h.Transport == nil {
			h.Transport = NewTransport()
		}
		h.MaxBodyReads = orDefault(h.MaxBodyReads, DefaultMaxBodyReads)
		h.MaxBufferBytes = orDefault(h.MaxBufferBytes, DefaultMaxBufferBytes)
		h.MaxHeaderBytes = orDefault(h.MaxHeaderBytes, DefaultMaxHeaderBytes)
	})
}

func setDefault[F func() time.Time | func(context.Context, time.Duration) error | func() float64 |
	func(int) int | func(context.Context, request.ClaimRequest) (request.Verdict, error) |
	func(request.AttemptID, request.Result) | func(backend.Evidence)](field *F, fallback F) {
	if *field == nil {
		*field = fallback
	}
}

func orDefault[T int | int64](value, fallback T) T {
	if value <= 0 {
		return fallback
	}
	return value
}

func claimNotConfigured(context.Context, request.ClaimRequest) (request.Verdict, error) {
	return request.Verdict{}, errors.New("idempotency keys are not configured")
}

func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// exchange is the state of one request being served.
type exchange struct {
	handler   *Handler
	w         http.ResponseWriter
	r         *http.Request
	service   *Service
	key       request.Key
	hasKey    bool
	body      []byte
	deadline  time.Time
	attemptID request.AttemptID // of the claim
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.setup()
	x := &exchange{handler: h, w: w, r: r}
	if !h.drainer.beginRequest() {
		w.Header().Set("Connection", "close")
		x.respondError(refuseTemporarily(request.ReasonStopping, time.Second))
		return
	}
	defer h.drainer.endRequest()
	if e, ok := x.check(); !ok {
		x.respondError(e)
		return
	}
	if e, ok := x.readBody(); !ok {
		x.respondError(e)
		return
	}
	start := h.Now()
	reason, retryAfter, ok := h.Admission.Acquire(start, x.service.Name, x.service.Limits.MaxInFlight)
	if !ok {
		x.respondError(refuseTemporarily(reason, retryAfter))
		return
	}
	defer func() { h.Admission.Release(x.service.Name, h.Now().Sub(start)) }()
	ctx, cancel := context.WithDeadline(r.Context(), x.deadline)
	defer cancel()
	x.serve(ctx)
}

func (x *exchange) serviceName() fleet.ServiceName {
	if x.service == nil {
		return ""
	}
	return x.service.Name
}

// respondError sends and counts an error response.
func (x *exchange) respondError(e errorResponse) {
	x.handler.counters().recordOutcome(x.serviceName(), e.outcome, e.reason)
	e.write(x.w)
}

// check validates the request before its body is read.
func (x *exchange) check() (errorResponse, bool) {
	x.service = x.handler.Snapshot().serviceForHost(x.r.Host)
	switch {
	case x.service == nil:
		return refuse(http.StatusNotFound, ReasonUnknownService), false
	case headerBytes(x.r.Header) > x.handler.MaxHeaderBytes:
		return refuse(http.StatusRequestHeaderFieldsTooLarge, ReasonHeadersTooLarge), false
	case x.r.Method == http.MethodConnect || x.r.Method == http.MethodTrace || x.r.Header.Get("Upgrade") != "":
		return refuse(http.StatusNotImplemented, ReasonMethodNotSupported), false
	}
	remaining, err := parseTimeout(x.r.Header, x.service.Limits.Timeout)
	if err != nil {
		return refuse(http.StatusBadRequest, ReasonTimeoutInvalid), false
	}
	if remaining <= 0 {
		return refuse(http.StatusGatewayTimeout, request.ReasonDeadline), false
	}
	x.deadline = x.handler.Now().Add(remaining)
	x.key, x.hasKey, err = parseKey(x.r.Header)
	switch {
	case err != nil:
		return refuse(http.StatusBadRequest, ReasonKeyMalformed), false
	case !x.hasKey && !isIdempotent(x.r.Method):
		return refuse(http.StatusBadRequest, ReasonKeyMissing), false
	case x.r.ContentLength > x.maxBodyBytes():
		return refuse(http.StatusRequestEntityTooLarge, ReasonBodyTooLarge), false
	}
	return errorResponse{}, true
}

func (x *exchange) maxBodyBytes() int64 {
	return orDefault(x.service.Limits.MaxBodyBytes, DefaultMaxBodyBytes)
}

func headerBytes(h http.Header) int {
	total := 0
	for name, values := range h {
		for _, v := range values {
			total += len(name) + len(v)
		}
	}
	return total
}

// readBody reads the whole body before a server is selected, so that a caller that
// sends slowly or disconnects uses no server capacity.
func (x *exchange) readBody() (errorResponse, bool) {
	h := x.handler
	if h.bodyReads.Add(1) > int64(h.MaxBodyReads) {
		h.bodyReads.Add(-1)
		return refuseTemporarily(request.ReasonHostFull, time.Second), false
	}
	defer h.bodyReads.Add(-1)
	readDeadline := h.Now().Add(bodyTimeout)
	if x.deadline.Before(readDeadline) {
		readDeadline = x.deadline
	}
	controller := http.NewResponseController(x.w)
	_ = controller.SetReadDeadline(readDeadline)
	body, err := io.ReadAll(http.MaxBytesReader(x.w, x.r.Body, x.maxBodyBytes()))
	if err != nil {
		// Close the connection instead of reading the rest of the body.
		x.w.Header().Set("Connection", "close")
	} else {
		_ = controller.SetReadDeadline(time.Time{})
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return refuse(http.StatusRequestEntityTooLarge, ReasonBodyTooLarge), false
	case errors.Is(err, os.ErrDeadlineExceeded):
		return refuse(http.StatusRequestTimeout, ReasonBodySlow), false
	case err != nil:
		return refuse(http.StatusBadRequest, ReasonBodyTruncated), false
	}
	x.body = body
	return errorResponse{}, true
}

// bodyHash returns a hash of the method, the target and the body.
func (x *exchange) bodyHash() request.BodyHash {
	h := sha256.New()
	_, _ = io.WriteString(h, x.r.Method+" "+x.r.URL.RequestURI()+"\n")
	_, _ = h.Write(x.body)
	return request.BodyHash(h.Sum(nil)[:16])
}
