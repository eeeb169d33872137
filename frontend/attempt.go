package frontend

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/rattanthread/rattanthread/backend"
	"github.com/rattanthread/rattanthread/request"
)

// attemptResult is the result of one attempt at one server: a failure or, if
// that is nil, a response.
type attemptResult struct {
	failure *failure
	status  int
	header  http.Header
	body    []byte          // complete if rest is nil
	rest    io.Reader       // the remainder of a response longer than MaxBufferBytes, or nil
	finish  func(err error) // records the end of the attempt
}

// failure describes an attempt without a usable response.
type failure struct {
	notRun bool // the server provably did not run the request
	reason request.Reason
}

// errorResponse returns the response to a request whose last attempt failed with f.
func (f failure) errorResponse(ctx context.Context) errorResponse {
	deadlineExceeded := errors.Is(ctx.Err(), context.DeadlineExceeded)
	switch {
	case f.notRun && deadlineExceeded:
		return refuse(http.StatusGatewayTimeout, request.ReasonDeadline)
	case f.notRun:
		return refuseTemporarily(f.reason, time.Second)
	case deadlineExceeded:
		return unknownOutcome(http.StatusGatewayTimeout, request.ReasonDeadline)
	case ctx.Err() != nil:
		return unknownOutcome(http.StatusBadGateway, ReasonCallerDisconnected)
	}
	return unknownOutcome(http.StatusBadGateway, f.reason)
}

// sendTo makes one attempt to run the request at server, and reports evidence about
// the server.
func (x *exchange) sendTo(ctx context.Context, server Server) attemptResult {
	h := x.handler
	if ctx.Err() != nil {
		return attemptResult{failure: &failure{notRun: true, reason: ReasonCallerDisconnected}}
	}
	h.counters().attempts.WithLabelValues(string(x.service.Name)).Inc()
	h.Picker.Start(server.Server)
	start := h.Now()
	attemptCtx, cancel := context.WithCancel(ctx)
	finish := func(err error) {
		cancel()
		latency := time.Duration(0)
		if err == nil {
			latency = h.Now().Sub(start)
			h.Observe(backend.Evidence{Server: server.Server, Kind: backend.EvidenceServed, Latency: latency})
		}
		h.Picker.Done(server.Server, latency)
	}
	result := x.roundTrip(attemptCtx, server)
	result.finish = finish
	if result.failure != nil {
		finish(errors.New(string(result.failure.reason)))
		x.observeFailure(ctx, server, result.failure.reason)
		return result
	}
	if result.rest == nil {
		finish(nil)
	}
	return result
}

func (x *exchange) observeFailure(ctx context.Context, server Server, reason request.Reason) {
	switch {
	case reason == ReasonServerShed:
		x.handler.Observe(backend.Evidence{Server: server.Server, Kind: backend.EvidenceShed})
	case ctx.Err() == nil:
		x.handler.Observe(backend.Evidence{Server: server.Server, Kind: backend.EvidenceConnectFailed})
	}
}

func (x *exchange) roundTrip(ctx context.Context, server Server) attemptResult {
	tracker := &sendTracker{}
	outReq := x.newServerRequest(httptrace.WithClientTrace(ctx, tracker.trace()), server)
	resp, err := x.handler.Transport.RoundTrip(outReq)
	if err != nil {
		if tracker.notSent(err) {
			return attemptResult{failure: &failure{notRun: true, reason: ReasonConnectFailed}}
		}
		return attemptResult{failure: &failure{reason: ReasonNoResponse}}
	}
	if !x.handler.matchesAttempt(resp, outReq, server.Address, tracker) {
		tracker.closeConn()
		_ = resp.Body.Close()
		return attemptResult{failure: &failure{reason: ReasonResponseMismatch}}
	}
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(HeaderOutcome) == string(request.Refused) {
		_ = resp.Body.Close()
		return attemptResult{failure: &failure{notRun: true, reason: ReasonServerShed}}
	}
	return x.readResponse(resp)
}

// matchesAttempt reports whether resp is the response to outReq. On a reused
// connection, a late duplicate of an earlier response looks like the next response.
// Therefore connections are reused only with servers that repeat HeaderAttempt in
// their responses.
func (h *Handler) matchesAttempt(resp *http.Response, outReq *http.Request, server netip.AddrPort, tracker *sendTracker) bool {
	switch resp.Header.Get(HeaderAttempt) {
	case outReq.Header.Get(HeaderAttempt):
		h.echoingServers.Store(server, true)
		return true
	case "":
		h.echoingServers.Delete(server)
		return !tracker.wasReused()
	}
	return false
}

// newServerRequest returns the request to a server, built so that net/http does not
// resend it. If the body can be rewound, net/http resends requests with certain
// methods and requests with an Idempotency-Key in canonical spelling.
func (x *exchange) newServerRequest(ctx context.Context, server Server) *http.Request {
	outReq := &http.Request{
		Method:        x.r.Method,
		URL:           &url.URL{Scheme: "http", Host: server.Address.String(), Path: x.r.URL.Path, RawPath: x.r.URL.RawPath, RawQuery: x.r.URL.RawQuery},
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        forwardableHeaders(x.r.Header),
		Host:          x.r.Host,
		ContentLength: int64(len(x.body)),
		Body:          nonRewindableBody{bytes.NewReader(x.body)},
	}
	if len(x.body) == 0 && !usuallyLacksBody(outReq.Method) {
		// net/http would send an empty nonRewindableBody with chunked encoding.
		outReq.Body = http.NoBody
	}
	if x.hasKey {
		outReq.Header.Del(HeaderKey)
		outReq.Header[strings.ToLower(HeaderKey)] = []string{x.key.String()}
	}
	if outReq.Header.Get("User-Agent") == "" {
		// An empty value prevents net/http from adding its default.
		outReq.Header["User-Agent"] = []string{""}
	}
	outReq.Header.Set(HeaderAttempt, strconv.FormatUint(x.handler.lastAttempt.Add(1), 10))
	_, echoes := x.handler.echoingServers.Load(server.Address)
	outReq.Close = !echoes
	outReq.Header.Set(HeaderTimeout, formatTimeout(x.deadline.Sub(x.handler.Now())))
	return outReq.WithContext(ctx)
}

func usuallyLacksBody(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

// nonRewindableBody is a body that cannot be rewound.
type nonRewindableBody struct{ io.Reader }

// Close implements io.Closer.
func (nonRewindableBody) Close() error { return nil }

// readResponse reads the response up to MaxBufferBytes. A response that is delimited
// by the end of the connection is rejected, as truncation could not be detected.
func (x *exchange) readResponse(resp *http.Response) attemptResult {
	chunked := len(resp.TransferEncoding) > 0
	if resp.ContentLength < 0 && !chunked && x.r.Method != http.MethodHead {
		_ = resp.Body.Close()
		return attemptResult{failure: &failure{reason: ReasonResponseWithoutLength}}
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, x.handler.MaxBufferBytes+1))
	if err != nil {
		_ = resp.Body.Close()
		return attemptResult{failure: &failure{reason: ReasonResponseTruncated}}
	}
	result := attemptResult{status: resp.StatusCode, header: forwardableHeaders(resp.Header), body: body}
	if int64(len(body)) > x.handler.MaxBufferBytes {
		result.rest = resp.Body
		return result
	}
	_ = resp.Body.Close()
	return result
}

// writeResponse sends the response to the caller. If a streamed response is truncated,
// the connection to the caller is aborted, so that the caller detects it.
func (x *exchange) writeResponse(result attemptResult) request.Result {
	h := x.w.Header()
	for name, values := range result.header {
		h[name] = values
	}
	h.Set(HeaderOutcome, string(request.Answered))
	if result.rest == nil && len(result.body) > 0 {
		h.Set("Content-Length", strconv.Itoa(len(result.body)))
	}
	x.w.WriteHeader(result.status)
	_, writeErr := x.w.Write(result.body)
	if result.rest != nil {
		x.stream(result, writeErr)
	}
	x.handler.counters().recordOutcome(x.service.Name, request.Answered, "")
	stored := request.Answer{Status: result.status, ContentType: result.header.Get("Content-Type")}
	if result.rest == nil {
		stored.Body, stored.BodyKept = result.body, true
	}
	return request.Result{Outcome: request.Answered, Answer: stored}
}

// stream copies the rest of a long response, and aborts the connection to the caller
// if the response is incomplete. err is the error of writing its first part.
func (x *exchange) stream(result attemptResult, err error) {
	if err == nil {
		_, err = io.Copy(x.w, result.rest)
	}
	result.finish(err)
	if closer, ok := result.rest.(io.Closer); ok {
		_ = closer.Close()
	}
	if err == nil {
		return
	}
	x.handler.counters().recordOutcome(x.service.Name, request.Unknown, ReasonResponseTruncated)
	panic(http.ErrAbortHandler)
}
