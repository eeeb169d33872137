package standin

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"
	mathrand "math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"github.com/rattanthread/rattanthread/fleet"
)

// RequestCaller sends requests to one service at a steady rate. A request that
// was refused or whose outcome is unknown is sent again, with the same
// idempotency key, through another entry host. RequestCaller is safe for
// concurrent use.
type RequestCaller struct {
	Service fleet.ServiceName
	Host    string // HTTP host name of the service
	// Address returns the entry host that takes the next connection.
	Address func() (netip.AddrPort, bool)
	Rate    float64 // first attempts a second
	// PostRatio is the part of the requests that are not idempotent.
	PostRatio   float64
	MaxInFlight int           // zero means 64
	MaxTries    int           // zero means 4
	Timeout     time.Duration // of one attempt
	Pause       time.Duration // between attempts
	AnswerSize  int           // bytes of padding in each answer
	Ledger      *Ledger       // of the servers, to check refusals against
	Seed        uint64
	// Keys is where idempotency keys take their random bits; nil means crypto/rand.
	Keys io.Reader

	mu      sync.Mutex
	random  *mathrand.Rand
	report  RequestReport
	seconds *Seconds
	refused []string // ids of requests of which each attempt was refused
	posted  []string // ids of requests that must run at most once
	latency *hdrhistogram.Histogram
}

// RequestReport is what a caller saw of its requests.
type RequestReport struct {
	Sent     uint64 `json:"sent"` // first attempts
	Skipped  uint64 `json:"skipped"`
	Attempts uint64 `json:"attempts"`
	Answered uint64 `json:"answered"` // requests, after their last attempt
	Refused  uint64 `json:"refused"`
	Unknown  uint64 `json:"unknown"`
	// NotConnected is the attempts that found no entry host to talk to.
	NotConnected uint64 `json:"not_connected"`
	// TimedOut is the attempts without an answer within Timeout.
	TimedOut uint64 `json:"timed_out"`
	// Cut is the attempts whose connection ended before the whole answer.
	Cut     uint64 `json:"cut"`
	Crossed uint64 `json:"crossed"` // answers to another request
	// RefusedButRun and RunTwice come from the servers' ledger.
	RefusedButRun uint64                    `json:"refused_but_run"`
	RunTwice      uint64                    `json:"run_twice"`
	Reasons       map[string]uint64         `json:"reasons"`
	PerServer     map[fleet.ServerID]uint64 `json:"per_server"`
	Cuts          []Cut                     `json:"cuts"`
}

// Cut is an attempt whose connection ended early.
type Cut struct {
	Host  netip.AddrPort `json:"host"`
	At    time.Time      `json:"at"`
	Error string         `json:"error"`
}

const (
	defaultMaxInFlight = 64 // requests
	defaultMaxTries    = 4
	maxCutsKept        = 100
)

// Run sends requests until the context ends, and then waits for the answers.
func (c *RequestCaller) Run(ctx context.Context) error {
	ticker := time.NewTicker(time.Duration(float64(time.Second) / c.Rate))
	defer ticker.Stop()
	limit := c.MaxInFlight
	if limit == 0 {
		limit = defaultMaxInFlight
	}
	slots := make(chan struct{}, limit)
	var group sync.WaitGroup
	defer group.Wait()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		select {
		case slots <- struct{}{}:
			group.Go(func() {
				c.Request(context.WithoutCancel(ctx))
				<-slots
			})
		default:
			c.count(func(r *RequestReport) { r.Skipped++ })
		}
	}
}

// Request makes one request, with retries, and returns its outcome.
func (c *RequestCaller) Request(ctx context.Context) Outcome {
	request := c.next()
	started := time.Now()
	tries := c.MaxTries
	if tries == 0 {
		tries = defaultMaxTries
	}
	allRefused := true
	outcome := OutcomeUnknown
	for try := range tries {
		if try > 0 {
			pause(ctx, c.Pause<<(try-1))
		}
		outcome = c.attempt(ctx, request)
		if outcome == OutcomeAnswered {
			allRefused = false
			break
		}
		allRefused = allRefused && outcome == OutcomeRefused
	}
	if outcome == OutcomeRefused && !allRefused {
		outcome = OutcomeUnknown // an earlier attempt may have run
	}
	c.finish(request, outcome, allRefused, time.Since(started))
	return outcome
}

// Report returns what the caller saw so far, checked against the ledger.
func (c *RequestCaller) Report() RequestReport {
	c.mu.Lock()
	defer c.mu.Unlock()
	report := c.report
	report.Cuts = append([]Cut(nil), report.Cuts...)
	report.Reasons = copyOf(report.Reasons)
	report.PerServer = copyOf(report.PerServer)
	if c.Ledger == nil {
		return report
	}
	for _, id := range c.refused {
		if len(c.Ledger.Runs(id)) > 0 {
			report.RefusedButRun++
		}
	}
	for _, id := range c.posted {
		if len(c.Ledger.Runs(id)) > 1 {
			report.RunTwice++
		}
	}
	return report
}

// Seconds returns the outcomes by second.
func (c *RequestCaller) Seconds() []Second {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.seconds == nil {
		return nil
	}
	return c.seconds.All()
}

// AddLatency adds the times of answered requests to total, in microseconds.
func (c *RequestCaller) AddLatency(total *hdrhistogram.Histogram) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.latency != nil {
		total.Merge(c.latency)
	}
}

type request struct {
	id     string
	method string
}

func (c *RequestCaller) next() request {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.prepare()
	c.report.Sent++
	request := request{id: c.newID(), method: http.MethodGet}
	if c.random.Float64() < c.PostRatio {
		request.method = http.MethodPost
		c.posted = append(c.posted, request.id)
	}
	return request
}

func (c *RequestCaller) prepare() {
	if c.random != nil {
		return
	}
	c.random = mathrand.New(mathrand.NewPCG(c.Seed, 2))
	c.seconds = &Seconds{}
	c.latency = NewLatency()
	c.report.Reasons = make(map[string]uint64)
	c.report.PerServer = make(map[fleet.ServerID]uint64)
}

func (c *RequestCaller) newID() string {
	source := c.Keys
	if source == nil {
		source = rand.Reader
	}
	return uuid.Must(uuid.NewV7FromReader(source)).String()
}

// attempt sends a request once, on a connection of its own.
func (c *RequestCaller) attempt(ctx context.Context, request request) Outcome {
	c.count(func(r *RequestReport) { r.Attempts++ })
	address, ok := c.Address()
	if !ok {
		c.count(func(r *RequestReport) { r.NotConnected++ })
		return OutcomeRefused
	}
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	var connected atomic.Bool
	transport := &http.Transport{
		DisableKeepAlives: true,
		DialContext: func(ctx context.Context, network, _ string) (net.Conn, error) {
			var dialer net.Dialer
			conn, err := dialer.DialContext(ctx, network, address.String())
			connected.Store(err == nil)
			return conn, err
		},
	}
	response, err := transport.RoundTrip(c.build(ctx, request))
	if err != nil && !connected.Load() {
		c.count(func(r *RequestReport) { r.NotConnected++ })
		return OutcomeRefused
	}
	if err != nil {
		return c.cut(address, err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, 2*maxAnswerPadding))
	if err != nil {
		return c.cut(address, err)
	}
	return c.judge(request, response, string(body))
}

func (c *RequestCaller) build(ctx context.Context, request request) *http.Request {
	url := fmt.Sprintf("http://%s/work?id=%s&size=%d", c.Host, request.id, c.AnswerSize)
	var body io.Reader
	if request.method == http.MethodPost {
		body = strings.NewReader("work " + request.id)
	}
	r, err := http.NewRequestWithContext(ctx, request.method, url, body)
	if err != nil {
		panic(err) // the URL is made of valid parts
	}
	if request.method == http.MethodPost {
		r.Header.Set(HeaderKey, request.id)
	}
	r.Header.Set(HeaderTimeout, strconv.FormatFloat(c.Timeout.Seconds(), 'f', 3, 64))
	return r
}

// judge tells the outcome of an attempt by its whole answer.
func (c *RequestCaller) judge(request request, response *http.Response, body string) Outcome {
	outcome := Outcome(response.Header.Get(HeaderOutcome))
	if response.StatusCode != http.StatusOK {
		reason := response.Header.Get(HeaderReason)
		c.count(func(r *RequestReport) { r.Reasons[string(outcome)+"/"+reason]++ })
		if outcome != OutcomeRefused {
			return OutcomeUnknown
		}
		c.checkEarlier(request, response)
		return OutcomeRefused
	}
	first, rest, _ := strings.Cut(body, "\n")
	server, id, _ := strings.Cut(first, " ")
	if id != request.id || len(rest) != c.AnswerSize {
		c.count(func(r *RequestReport) { r.Crossed++ })
		return OutcomeUnknown
	}
	c.count(func(r *RequestReport) { r.PerServer[fleet.ServerID(server)]++ })
	return OutcomeAnswered
}

// checkEarlier compares what a refusal says of earlier attempts with the ledger.
func (c *RequestCaller) checkEarlier(request request, response *http.Response) {
	if c.Ledger == nil || response.Header.Get(HeaderEarlier) != "none" {
		return
	}
	if len(c.Ledger.Runs(request.id)) > 0 {
		c.count(func(r *RequestReport) { r.RefusedButRun++ })
	}
}

func (c *RequestCaller) cut(host netip.AddrPort, err error) Outcome {
	if errors.Is(err, context.DeadlineExceeded) {
		c.count(func(r *RequestReport) { r.TimedOut++ })
		return OutcomeUnknown
	}
	c.count(func(r *RequestReport) {
		r.Cut++
		if len(r.Cuts) < maxCutsKept {
			r.Cuts = append(r.Cuts, Cut{Host: host, At: time.Now(), Error: err.Error()})
		}
	})
	return OutcomeUnknown
}

func (c *RequestCaller) finish(request request, outcome Outcome, allRefused bool, took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seconds.Add(time.Now(), outcome)
	switch outcome {
	case OutcomeAnswered:
		c.report.Answered++
		_ = c.latency.RecordValue(took.Microseconds())
	case OutcomeRefused:
		c.report.Refused++
	default:
		c.report.Unknown++
	}
	if allRefused {
		c.refused = append(c.refused, request.id)
	}
}

func (c *RequestCaller) count(change func(*RequestReport)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.prepare()
	change(&c.report)
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func copyOf[K comparable, V any](m map[K]V) map[K]V {
	copied := make(map[K]V, len(m))
	for key, value := range m {
		copied[key] = value
	}
	return copied
}
