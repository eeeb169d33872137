package frontend

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/rattanthread/rattanthread/backend"
	"github.com/rattanthread/rattanthread/request"
)

// serve claims the key, if any, and runs the request.
func (x *exchange) serve(ctx context.Context) {
	if !x.hasKey {
		x.run(ctx)
		return
	}
	verdict, err := x.handler.Claim(ctx, request.ClaimRequest{
		Key:      x.key,
		Service:  x.service.Name,
		Body:     x.bodyHash(),
		Deadline: x.deadline,
	})
	if err != nil {
		x.respondError(x.claimError(err))
		return
	}
	switch verdict.Decision {
	case request.DecisionRun:
		x.attemptID = verdict.Attempt
		x.runClaimed(ctx, verdict)
	case request.DecisionReplay:
		x.replay(verdict.Answer)
	default:
		x.respondError(verdictError(verdict))
	}
}

func (x *exchange) claimError(err error) errorResponse {
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		return refuse(http.StatusGatewayTimeout, request.ReasonDeadline)
	case errors.Is(err, context.Canceled):
		return refuse(http.StatusServiceUnavailable, ReasonCallerDisconnected)
	}
	return refuseTemporarily(ReasonClaimFailed, time.Second)
}

// runClaimed runs the request unless the verdict has expired, which can happen if
// the process was paused.
func (x *exchange) runClaimed(ctx context.Context, verdict request.Verdict) {
	reported := false
	defer func() {
		if !reported { // run panicked, as stream does if the response is incomplete
			x.report(request.Result{Outcome: request.Unknown, Reason: ReasonResponseTruncated})
		}
	}()
	if !x.handler.Now().Before(verdict.ValidUntil) {
		e := refuseTemporarily(request.ReasonVerdictLate, time.Second)
		e.earlier = request.EarlierNone
		x.report(request.Result{Outcome: request.Refused, Reason: e.reason})
		reported = true
		x.respondError(e)
		return
	}
	result := x.run(ctx)
	reported = true
	x.report(result)
}

func (x *exchange) report(r request.Result) {
	x.handler.Report(x.attemptID, r)
}

// replay sends the response that an earlier attempt got. If its body was not stored,
// the status is 410 and Request-Status carries the original one.
func (x *exchange) replay(stored request.Answer) {
	h := x.w.Header()
	h.Set(HeaderOutcome, string(request.Answered))
	h.Set(HeaderReplayed, "true")
	if !stored.BodyKept {
		x.handler.counters().recordOutcome(x.service.Name, request.Answered, ReasonBodyNotKept)
		h.Set(HeaderReason, string(ReasonBodyNotKept))
		h.Set("Request-Status", strconv.Itoa(stored.Status))
		x.w.WriteHeader(http.StatusGone)
		return
	}
	x.handler.counters().recordOutcome(x.service.Name, request.Answered, "replayed")
	if stored.ContentType != "" {
		h.Set("Content-Type", stored.ContentType)
	}
	x.w.WriteHeader(stored.Status)
	_, _ = x.w.Write(stored.Body)
}

// run sends the request to servers until one responds or no further attempt is
// allowed, responds to the caller, and returns the result.
func (x *exchange) run(ctx context.Context) request.Result {
	budget := x.retryBudget()
	budget.Deposit()
	var tried []backend.Candidate
	mayHaveRun := false
	for attempt := 1; ; attempt++ {
		server, ok := x.pickServer(tried)
		if !ok {
			return x.failRequest(failure{notRun: !mayHaveRun, reason: ReasonNoServer}.errorResponse(ctx))
		}
		tried = append(tried, server.Candidate)
		result := x.sendTo(ctx, server)
		if result.failure == nil {
			return x.writeResponse(result)
		}
		f := *result.failure
		mayHaveRun = mayHaveRun || !f.notRun
		delay, reason, retry := x.handler.Retries.Next(x.handler.Now(), request.Failure{
			Attempts:   attempt,
			NotRun:     f.notRun,
			Idempotent: !x.hasKey && isIdempotent(x.r.Method),
			Deadline:   x.deadline,
		}, budget, x.handler.Random())
		if retry {
			retry = x.handler.Sleep(ctx, delay) == nil
		}
		if !retry {
			x.handler.counters().stoppedRetries.WithLabelValues(string(x.service.Name), string(reason)).Inc()
			f.notRun = !mayHaveRun
			return x.failRequest(f.errorResponse(ctx))
		}
		x.handler.counters().retries.WithLabelValues(string(x.service.Name), string(reason)).Inc()
	}
}

// failRequest responds with e and returns the result of the request.
func (x *exchange) failRequest(e errorResponse) request.Result {
	if e.outcome == request.Refused && x.hasKey {
		// The owner permits an attempt only if no earlier attempt ran.
		e.earlier = request.EarlierNone
	}
	x.respondError(e)
	return request.Result{Outcome: e.outcome, Reason: e.reason}
}

func (x *exchange) retryBudget() *request.Budget {
	if b, ok := x.handler.budgets.Load(x.service.Name); ok {
		return b.(*request.Budget)
	}
	b, _ := x.handler.budgets.LoadOrStore(x.service.Name, &request.Budget{Ratio: x.service.Limits.RetryRatio})
	return b.(*request.Budget)
}

// pickServer selects a server that accepts work, preferably one not tried yet.
// Selecting a server that is admitted by credit consumes one unit of credit.
func (x *exchange) pickServer(tried []backend.Candidate) (Server, bool) {
	servers := x.untriedServers(tried)
	candidates := make([]backend.Candidate, 0, len(servers))
	for _, s := range servers {
		candidates = append(candidates, s.Candidate)
	}
	now := x.handler.Now()
	credit := x.handler.Credit()
	take := credit.Take // only the first choice counts as demand
	for len(candidates) > 0 {
		i := x.handler.Picker.Pick(now, candidates, x.handler.IntN)
		if i < 0 {
			break
		}
		if servers[i].Admission == backend.AdmitFreely || take(now, servers[i].Server) {
			return servers[i], true
		}
		take = credit.TakeFallback
		servers = append(servers[:i], servers[i+1:]...)
		candidates = append(candidates[:i], candidates[i+1:]...)
	}
	return Server{}, false
}

// untriedServers returns the servers that accept work and were not tried yet, or all
// servers that accept work if each was tried.
func (x *exchange) untriedServers(tried []backend.Candidate) []Server {
	var untried, all []Server
	for _, s := range x.service.Servers {
		if s.Admission == backend.AdmitNone {
			continue
		}
		all = append(all, s)
		if !contains(tried, s) {
			untried = append(untried, s)
		}
	}
	if len(untried) == 0 {
		return all
	}
	return untried
}

func contains(tried []backend.Candidate, s Server) bool {
	for _, t := range tried {
		if t.Server == s.Server {
			return true
		}
	}
	return false
}
