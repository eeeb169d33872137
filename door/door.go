package door

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

// Door serves the requests of callers. Snapshot must be set; the other fields
// have defaults, but without Claim no request with a key is run.
type Door struct {
	Snapshot func() *Snapshot
	// Claim asks whether a request with a key may run, and waits for the
	// verdict. If ctx ends first it gives the claim up and returns an error.
	Claim func(ctx context.Context, r request.ClaimRequest) (request.Verdict, error)
	// Report tells how an attempt with a Run verdict ended.
	Report func(id request.AttemptID, r request.Result)
	// Observe gets evidence about backend servers.
	Observe func(e backend.Evidence)
	// Credit returns the credit that this host holds. Nil means none.
	Credit  func() *backend.Credit
	Picker  backend.Picker
	Retries request.Retries
	// Admission bounds the requests that run at once.
	Admission request.Admission
	// MaxReading bounds the request bodies that are being read at once.
	MaxReading int
	// MaxBuffer is the longest answer, in bytes, that is held back until it is whole.
	MaxBuffer int64
	// MaxHeaderBytes bounds the headers of a request.
	MaxHeaderBytes int
	Transport      http.RoundTripper
	Now            func() time.Time
	Sleep          func(ctx context.Context, d time.Duration) error
	Random         func() float64  // from [0, 1), safe for concurrent use
	IntN           func(n int) int // from [0, n), safe for concurrent use

	metricsOnce sync.Once
	metrics     *metrics
	setupOnce   sync.Once
	reading     atomic.Int64
	budgets     sync.Map // fleet.ServiceName to *request.Budget
	named       sync.Map // netip.AddrPort of servers that name attempts in answers
	attempts    atomic.Uint64
	drainer     drainer
}

// The defaults of a Door and of config.RequestLimits.
const (
	DefaultMaxReading     = 1024
	DefaultMaxBuffer      = 1 << 20  // bytes
	DefaultMaxHeaderBytes = 32 << 10 // bytes
	DefaultMaxBodyBytes   = 1 << 20  // bytes
	// bodyTimeout bounds how long a caller may take to send a body.
	bodyTimeout = 5 * time.Second
)

func (d *Door) setup() {
	d.setupOnce.Do(func() {
		setDefault(&d.Claim, noClaim)
		setDefault(&d.Report, func(request.AttemptID, request.Result) {})
		setDefault(&d.Observe, func(backend.Evidence) {})
		setDefault(&d.Now, time.Now)
		setDefault(&d.Sleep, sleep)
		setDefault(&d.Random, rand.Float64)
		setDefault(&d.IntN, rand.IntN)
		if d.Credit == nil {
			d.Credit = func() *backend.Credit { return &backend.Credit{} }
		}
		if d.Transport == nil {
			d.Transport = NewTransport()
		}
		d.MaxReading = orDefault(d.MaxReading, DefaultMaxReading)
		d.MaxBuffer = orDefault(d.MaxBuffer, DefaultMaxBuffer)
		d.MaxHeaderBytes = orDefault(d.MaxHeaderBytes, DefaultMaxHeaderBytes)
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

func noClaim(context.Context, request.ClaimRequest) (request.Verdict, error) {
	return request.Verdict{}, errors.New("claim: keys are not set up")
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

// exchange is one request on its way through the door.
type exchange struct {
	door     *Door
	w        http.ResponseWriter
	r        *http.Request
	service  *Service
	key      request.Key
	keyed    bool
	body     []byte
	deadline time.Time
	attempt  request.AttemptID
}

// ServeHTTP implements http.Handler.
func (d *Door) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.setup()
	x := &exchange{door: d, w: w, r: r}
	if !d.drainer.enter() {
		w.Header().Set("Connection", "close")
		x.end(refuseForNow(request.ReasonStopping, time.Second))
		return
	}
	defer d.drainer.leave()
	if e, ok := x.check(); !ok {
		x.end(e)
		return
	}
	if e, ok := x.readBody(); !ok {
		x.end(e)
		return
	}
	start := d.Now()
	reason, retryAfter, ok := d.Admission.Acquire(start, x.service.Name, x.service.Limits.MaxInFlight)
	if !ok {
		x.end(refuseForNow(reason, retryAfter))
		return
	}
	defer func() { d.Admission.Release(x.service.Name, d.Now().Sub(start)) }()
	ctx, cancel := context.WithDeadline(r.Context(), x.deadline)
	defer cancel()
	x.serve(ctx)
}

func (x *exchange) name() fleet.ServiceName {
	if x.service == nil {
		return ""
	}
	return x.service.Name
}

// end answers without a server's answer.
func (x *exchange) end(e ending) {
	x.door.counters().ended(x.name(), e.outcome, e.reason)
	e.write(x.w)
}

// check refuses what cannot be run, before any of the body is read.
func (x *exchange) check() (ending, bool) {
	x.service = x.door.Snapshot().service(x.r.Host)
	switch {
	case x.service == nil:
		return refuse(http.StatusNotFound, ReasonUnknownService), false
	case headerBytes(x.r.Header) > x.door.MaxHeaderBytes:
		return refuse(http.StatusRequestHeaderFieldsTooLarge, ReasonHeadersTooLarge), false
	case x.r.Method == http.MethodConnect || x.r.Method == http.MethodTrace || x.r.Header.Get("Upgrade") != "":
		return refuse(http.StatusNotImplemented, ReasonMethod), false
	}
	left, err := timeout(x.r.Header, x.service.Limits.Timeout)
	if err != nil {
		return refuse(http.StatusBadRequest, ReasonTimeoutInvalid), false
	}
	if left <= 0 {
		return refuse(http.StatusGatewayTimeout, request.ReasonDeadline), false
	}
	x.deadline = x.door.Now().Add(left)
	x.key, x.keyed, err = parseKey(x.r.Header)
	switch {
	case err != nil:
		return refuse(http.StatusBadRequest, ReasonKeyMalformed), false
	case !x.keyed && !isIdempotent(x.r.Method):
		return refuse(http.StatusBadRequest, ReasonKeyMissing), false
	case x.r.ContentLength > x.maxBody():
		return refuse(http.StatusRequestEntityTooLarge, ReasonBodyTooLarge), false
	}
	return ending{}, true
}

func (x *exchange) maxBody() int64 {
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

// readBody reads the whole body, so that a caller which sends slowly or breaks
// off costs no server anything.
func (x *exchange) readBody() (ending, bool) {
	d := x.door
	if d.reading.Add(1) > int64(d.MaxReading) {
		d.reading.Add(-1)
		return refuseForNow(request.ReasonHostFull, time.Second), false
	}
	defer d.reading.Add(-1)
	limit := d.Now().Add(bodyTimeout)
	if x.deadline.Before(limit) {
		limit = x.deadline
	}
	control := http.NewResponseController(x.w)
	_ = control.SetReadDeadline(limit)
	body, err := io.ReadAll(http.MaxBytesReader(x.w, x.r.Body, x.maxBody()))
	if err != nil {
		// The rest of the body is not waited for.
		x.w.Header().Set("Connection", "close")
	} else {
		_ = control.SetReadDeadline(time.Time{})
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return refuse(http.StatusRequestEntityTooLarge, ReasonBodyTooLarge), false
	case errors.Is(err, os.ErrDeadlineExceeded):
		return refuse(http.StatusRequestTimeout, ReasonBodySlow), false
	case err != nil:
		return refuse(http.StatusBadRequest, ReasonBodyCut), false
	}
	x.body = body
	return ending{}, true
}

// bodyHash identifies the method, the target and the body.
func (x *exchange) bodyHash() request.BodyHash {
	h := sha256.New()
	_, _ = io.WriteString(h, x.r.Method+" "+x.r.URL.RequestURI()+"\n")
	_, _ = h.Write(x.body)
	return request.BodyHash(h.Sum(nil)[:16])
}
