package door

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

// answer is what one try at one server gave.
type answer struct {
	failure *failure
	status  int
	header  http.Header
	body    []byte    // whole, or the first MaxBuffer bytes
	rest    io.Reader // what follows body, or nil
	finish  func(err error)
}

// failure is a try without an answer.
type failure struct {
	notRun bool
	reason request.Reason
}

// ending tells how a request ends with this failure.
func (f failure) ending(ctx context.Context) ending {
	late := errors.Is(ctx.Err(), context.DeadlineExceeded)
	switch {
	case f.notRun && late:
		return refuse(http.StatusGatewayTimeout, request.ReasonDeadline)
	case f.notRun:
		return refuseForNow(f.reason, time.Second)
	case late:
		return unknown(http.StatusGatewayTimeout, request.ReasonDeadline)
	case ctx.Err() != nil:
		return unknown(http.StatusBadGateway, ReasonCallerLeft)
	}
	return unknown(http.StatusBadGateway, f.reason)
}

// try sends the request to one server.
func (x *exchange) try(ctx context.Context, s Server) answer {
	d := x.door
	if ctx.Err() != nil {
		return answer{failure: &failure{notRun: true, reason: ReasonCallerLeft}}
	}
	d.counters().tries.WithLabelValues(string(x.service.Name)).Inc()
	d.Picker.Start(s.Server)
	start := d.Now()
	tryCtx, cancel := context.WithCancel(ctx)
	finish := func(err error) {
		cancel()
		took := time.Duration(0)
		if err == nil {
			took = d.Now().Sub(start)
			d.Observe(backend.Evidence{Server: s.Server, Kind: backend.EvidenceServed, Latency: took})
		}
		d.Picker.Done(s.Server, took)
	}
	a := x.roundTrip(tryCtx, s)
	a.finish = finish
	if a.failure != nil {
		finish(errors.New(string(a.failure.reason)))
		x.observeFailure(ctx, s, a.failure.reason)
		return a
	}
	if a.rest == nil {
		finish(nil)
	}
	return a
}

func (x *exchange) observeFailure(ctx context.Context, s Server, reason request.Reason) {
	switch {
	case reason == ReasonShed:
		x.door.Observe(backend.Evidence{Server: s.Server, Kind: backend.EvidenceShed})
	case ctx.Err() == nil:
		x.door.Observe(backend.Evidence{Server: s.Server, Kind: backend.EvidenceConnectFailed})
	}
}

func (x *exchange) roundTrip(ctx context.Context, s Server) answer {
	proof := &sendProof{}
	out := x.outgoing(httptrace.WithClientTrace(ctx, proof.trace()), s)
	resp, err := x.door.Transport.RoundTrip(out)
	if err != nil {
		if proof.notSent(err) {
			return answer{failure: &failure{notRun: true, reason: ReasonConnect}}
		}
		return answer{failure: &failure{reason: ReasonNoAnswer}}
	}
	if !x.door.belongs(resp, out, s.Address, proof) {
		proof.drop()
		_ = resp.Body.Close()
		return answer{failure: &failure{reason: ReasonForeignAnswer}}
	}
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(HeaderOutcome) == string(request.Refused) {
		_ = resp.Body.Close()
		return answer{failure: &failure{notRun: true, reason: ReasonShed}}
	}
	return x.readAnswer(resp)
}

// belongs reports whether an answer is that to the request. On a kept connection a
// late copy of an earlier answer looks like the next one, so only servers that name
// the attempt in their answers have connections kept.
func (d *Door) belongs(resp *http.Response, out *http.Request, server netip.AddrPort, proof *sendProof) bool {
	switch resp.Header.Get(HeaderAttempt) {
	case out.Header.Get(HeaderAttempt):
		d.named.Store(server, true)
		return true
	case "":
		d.named.Delete(server)
		return !proof.wasReused()
	}
	return false
}

// outgoing builds the request to a server, so that net/http does not send it
// twice on its own. It would do so for some methods, and for requests with an
// Idempotency-Key in canonical spelling, if it can rewind the body.
func (x *exchange) outgoing(ctx context.Context, s Server) *http.Request {
	out := &http.Request{
		Method:        x.r.Method,
		URL:           &url.URL{Scheme: "http", Host: s.Address.String(), Path: x.r.URL.Path, RawPath: x.r.URL.RawPath, RawQuery: x.r.URL.RawQuery},
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        passHeaders(x.r.Header),
		Host:          x.r.Host,
		ContentLength: int64(len(x.body)),
		Body:          onceBody{bytes.NewReader(x.body)},
	}
	if len(x.body) == 0 && !lacksBody(out.Method) {
		// An empty onceBody would be sent in chunks.
		out.Body = http.NoBody
	}
	if x.keyed {
		out.Header.Del(HeaderKey)
		out.Header[strings.ToLower(HeaderKey)] = []string{x.key.String()}
	}
	if out.Header.Get("User-Agent") == "" {
		// An empty value keeps net/http from adding its own.
		out.Header["User-Agent"] = []string{""}
	}
	out.Header.Set(HeaderAttempt, strconv.FormatUint(x.door.attempts.Add(1), 10))
	_, named := x.door.named.Load(s.Address)
	out.Close = !named
	out.Header.Set(HeaderTimeout, formatTimeout(x.deadline.Sub(x.door.Now())))
	return out.WithContext(ctx)
}

func lacksBody(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

// onceBody is a body that cannot be rewound.
type onceBody struct{ io.Reader }

// Close implements io.Closer.
func (onceBody) Close() error { return nil }

// readAnswer reads the answer up to MaxBuffer. An answer that ends with the
// connection cannot be told from a cut one, and is not taken.
func (x *exchange) readAnswer(resp *http.Response) answer {
	chunked := len(resp.TransferEncoding) > 0
	if resp.ContentLength < 0 && !chunked && x.r.Method != http.MethodHead {
		_ = resp.Body.Close()
		return answer{failure: &failure{reason: ReasonAnswerEndless}}
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, x.door.MaxBuffer+1))
	if err != nil {
		_ = resp.Body.Close()
		return answer{failure: &failure{reason: ReasonAnswerCut}}
	}
	a := answer{status: resp.StatusCode, header: passHeaders(resp.Header), body: body}
	if int64(len(body)) > x.door.MaxBuffer {
		a.rest = resp.Body
		return a
	}
	_ = resp.Body.Close()
	return a
}

// deliver gives the answer to the caller. A server that breaks off a long
// answer makes the door break off, too, so that the caller notices.
func (x *exchange) deliver(a answer) request.Result {
	h := x.w.Header()
	for name, values := range a.header {
		h[name] = values
	}
	h.Set(HeaderOutcome, string(request.Answered))
	if a.rest == nil && len(a.body) > 0 {
		h.Set("Content-Length", strconv.Itoa(len(a.body)))
	}
	x.w.WriteHeader(a.status)
	_, writeErr := x.w.Write(a.body)
	if a.rest != nil {
		x.stream(a, writeErr)
	}
	x.door.counters().ended(x.service.Name, request.Answered, "")
	kept := request.Answer{Status: a.status, ContentType: a.header.Get("Content-Type")}
	if a.rest == nil {
		kept.Body, kept.BodyKept = a.body, true
	}
	return request.Result{Outcome: request.Answered, Answer: kept}
}

// stream passes on the rest of a long answer, and aborts the connection to the
// caller if it does not come whole.
func (x *exchange) stream(a answer, err error) {
	if err == nil {
		_, err = io.Copy(x.w, a.rest)
	}
	a.finish(err)
	if closer, ok := a.rest.(io.Closer); ok {
		_ = closer.Close()
	}
	if err == nil {
		return
	}
	x.door.counters().ended(x.service.Name, request.Unknown, ReasonAnswerCut)
	panic(http.ErrAbortHandler)
}
