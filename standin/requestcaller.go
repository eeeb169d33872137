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

// RequestCaller emulates a caller of a request service. It sends requests at a
// constant rate, and retries a request that was refused or whose outcome is
// unknown, with the same idempotency key, through the entry host that Address
// returns next. RequestCaller is safe for concurrent use.
type RequestCaller struct {
	Service fleet.ServiceName
	Host    string // HTTP host name of the service
	// Address returns the entry host for the next connection.
	Address func() (netip.AddrPort, bool)
	Rate    float64 // first attempts a second
	// PostRatio is the fraction of requests that are not idempotent.
	PostRatio    float64
	MaxInFlight  int           // zero means 64
	MaxAttempts  int           // zero means 4
	Timeout      time.Duration // of one attempt
	RetryDelay   time.Duration // before the first retry; doubles with each retry
	ResponseSize int           // bytes of padding in each response
	Ledger       *Ledger       // of the servers; nil skips the checks against it
	Seed         uint64
	// KeySource provides the random bits of idempotency keys; nil means crypto/rand.
	KeySource io.Reader

	mu         sync.Mutex
	random     *mathrand.Rand
	report     RequestReport
	outcomes   *OutcomeSeries
	refusedIDs []string // ids of requests whose attempts were all refused
	postIDs    []string // ids of requests that must run at most once
	latency    *hdrhistogram.Histogram
}

// RequestReport holds the counters of a RequestCaller.
type RequestReport struct {
	Sent     uint64 `json:"sent"`    // first attempts
	Skipped  uint64 `json:"skipped"` // not sent because of MaxInFlight
	Attempts uint64 `json:"attempts"`
	Answered uint64 `json:"answered"` // requests, after their last attempt
	Refused  uint64 `json:"refused"`
	Unknown  uint64 `json:"unknown"`
	// NotConnected is the number of attempts that could not connect to an entry host.
	NotConnected uint64 `json:"not_connected"`
	// TimedOut is the number of attempts without a response within Timeout.
	TimedOut uint64 `json:"timed_out"`
	// Disconnected is the number of attempts whose connection failed before the complete
	// response.
	Disconnected uint64 `json:"cut"`
	Mismatched   uint64 `json:"crossed"` // responses to another request
	// RefusedButRun and RunTwice are determined from the servers' ledger.
	RefusedButRun uint64                    `json:"refused_but_run"`
	RunTwice      uint64                    `json:"run_twice"`
	Reasons       map[string]uint64         `json:"reasons"`
	PerServer     map[fleet.ServerID]uint64 `json:"per_server"`
	Disconnects   []Disconnect              `json:"cuts"`
}

// Disconnect is an attempt whose connection failed before the complete response.
type Disconnect struct {
	Host  netip.AddrPort `json:"host"`
	At    time.Time      `json:"at"`
	Error string         `json:"error"`
}

const (
	defaultMaxInFlight = 64 // requests
	defaultMaxAttempts = 4
	maxDisconnects     = 100
)

// Run sends requests until ctx is done, and then waits for the outstanding responses.
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
				c.SendRequest(context.WithoutCancel(ctx))
				<-slots
			})
		default:
			c.updateReport(func(r *RequestReport) { r.Skipped++ })
		}
	}
}

// SendRequest sends one request, with retries, and returns its outcome.
func (c *RequestCaller) SendRequest(ctx context.Context) Outcome {
	request := c.newRequest()
	started := time.Now()
	attempts := c.MaxAttempts
	if attempts == 0 {
		attempts = defaultMaxAttempts
	}
	allRefused := true
	outcome := OutcomeUnknown
	for attempt := range attempts {
		if attempt > 0 {
			sleep(ctx, c.RetryDelay<<(attempt-1))
		}
		outcome = c.sendAttempt(ctx, request)
		if outcome == OutcomeAnswered {
			allRefused = false
			break
		}
		allRefused = allRefused && outcome == OutcomeRefused
	}
	if outcome == OutcomeRefused && !allRefused {
		outcome = OutcomeUnknown // an earlier attempt may have run
	}
	c.recordOutcome(request, outcome, allRefused, time.Since(started))
	return outcome
}

// Report returns the current counters, checked against the ledger.
func (c *RequestCaller) Report() RequestReport {
	c.mu.Lock()
	defer c.mu.Unlock()
	report := c.report
	report.Disconnects = append([]Disconnect(nil), report.Disconnects...)
	report.Reasons = copyMap(report.Reasons)
	report.PerServer = copyMap(report.PerServer)
	if c.Ledger == nil {
		return report
	}
	for _, id := range c.refusedIDs {
		if len(c.Ledger.Runs(id)) > 0 {
			report.RefusedButRun++
		}
	}
	for _, id := range c.postIDs {
		if len(c.Ledger.Runs(id)) > 1 {
			report.RunTwice++
		}
	}
	return report
}

// OutcomesBySecond returns the outcomes for each second.
func (c *RequestCaller) OutcomesBySecond() []OutcomeCounts {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.outcomes == nil {
		return nil
	}
	return c.outcomes.All()
}

// AddLatency adds the durations of answered requests to total, in microseconds.
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

func (c *RequestCaller) newRequest() request {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.initialize()
	c.report.Sent++
	request := request{id: c.newID(), method: http.MethodGet}
	if c.random.Float64() < c.PostRatio {
		request.method = http.MethodPost
		c.postIDs = append(c.postIDs, request.id)
	}
	return request
}

func (c *RequestCaller) initialize() {
	if c.random != nil {
		return
	}
	c.random = mathrand.New(mathrand.NewPCG(c.Seed, 2))
	c.outcomes = &OutcomeSeries{}
	c.latency = NewLatencyHistogram()
	c.report.Reasons = make(map[string]uint64)
	c.report.PerServer = make(map[fleet.ServerID]uint64)
}

func (c *RequestCaller) newID() string {
	source := c.KeySource
	if source == nil {
		source = rand.Reader
	}
	return uuid.Must(uuid.NewV7FromReader(source)).String()
}

// sendAttempt sends a request once, on its own connection.
func (c *RequestCaller) sendAttempt(ctx context.Context, request request) Outcome {
	c.updateReport(func(r *RequestReport) { r.Attempts++ })
	address, ok := c.Address()
	if !ok {
		c.updateReport(func(r *RequestReport) { r.NotConnected++ })
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
	response, err := transport.RoundTrip(c.newHTTPRequest(ctx, request))
	if err != nil && !connected.Load() {
		c.updateReport(func(r *RequestReport) { r.NotConnected++ })
		return OutcomeRefused
	}
	if err != nil {
		return c.recordFailure(address, err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, 2*maxResponsePadding))
	if err != nil {
		return c.recordFailure(address, err)
	}
	return c.classifyResponse(request, response, string(body))
}

func (c *RequestCaller) newHTTPRequest(ctx context.Context, request request) *http.Request {
	url := fmt.Sprintf("http://%s/work?id=%s&size=%d", c.Host, request.id, c.ResponseSize)
	var body io.Reader
	if request.method == http.MethodPost {
		body = strings.NewReader("work " + request.id)
	}
	r, err := http.NewRequestWithContext(ctx, request.method, url, body)
	if err != nil {
		panic(err) // unreachable: the URL consists of valid parts
	}
	if request.method == http.MethodPost {
		r.Header.Set(HeaderKey, request.id)
	}
	r.Header.Set(HeaderTimeout, strconv.FormatFloat(c.Timeout.Seconds(), 'f', 3, 64))
	return r
}

// classifyResponse returns the outcome of an attempt from its complete response.
func (c *RequestCaller) classifyResponse(request request, response *http.Response, body string) Outcome {
	outcome := Outcome(response.Header.Get(HeaderOutcome))
	if response.StatusCode != http.StatusOK {
		reason := response.Header.Get(HeaderReason)
		c.updateReport(func(r *RequestReport) { r.Reasons[string(outcome)+"/"+reason]++ })
		if outcome != OutcomeRefused {
			return OutcomeUnknown
		}
		c.checkEarlierAttempts(request, response)
		return OutcomeRefused
	}
	first, rest, _ := strings.Cut(body, "\n")
	server, id, _ := strings.Cut(first, " ")
	if id != request.id || len(rest) != c.ResponseSize {
		c.updateReport(func(r *RequestReport) { r.Mismatched++ })
		return OutcomeUnknown
	}
	c.updateReport(func(r *RequestReport) { r.PerServer[fleet.ServerID(server)]++ })
	return OutcomeAnswered
}

// checkEarlierAttempts checks against the ledger that no earlier attempt ran if a
// refusal says so.
func (c *RequestCaller) checkEarlierAttempts(request request, response *http.Response) {
	if c.Ledger == nil || response.Header.Get(HeaderEarlier) != "none" {
		return
	}
	if len(c.Ledger.Runs(request.id)) > 0 {
		c.updateReport(func(r *RequestReport) { r.RefusedButRun++ })
	}
}

func (c *RequestCaller) recordFailure(host netip.AddrPort, err error) Outcome {
	if errors.Is(err, context.DeadlineExceeded) {
		c.updateReport(func(r *RequestReport) { r.TimedOut++ })
		return OutcomeUnknown
	}
	c.updateReport(func(r *RequestReport) {
		r.Disconnected++
		if len(r.Disconnects) < maxDisconnects {
			r.Disconnects = append(r.Disconnects, Disconnect{Host: host, At: time.Now(), Error: err.Error()})
		}
	})
	return OutcomeUnknown
}

func (c *RequestCaller) recordOutcome(request request, outcome Outcome, allRefused bool, duration time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes.Add(time.Now(), outcome)
	switch outcome {
	case OutcomeAnswered:
		c.report.Answered++
		_ = c.latency.RecordValue(duration.Microseconds())
	case OutcomeRefused:
		c.report.Refused++
	default:
		c.report.Unknown++
	}
	if allRefused {
		c.refusedIDs = append(c.refusedIDs, request.id)
	}
}

func (c *RequestCaller) updateReport(change func(*RequestReport)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.initialize()
	change(&c.report)
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func copyMap[K comparable, V any](m map[K]V) map[K]V {
	copied := make(map[K]V, len(m))
	for key, value := range m {
		copied[key] = value
	}
	return copied
}
