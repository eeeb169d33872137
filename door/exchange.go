package door

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/rattanthread/rattanthread/backend"
	"github.com/rattanthread/rattanthread/request"
)

// serve claims the key, if there is one, and runs the request.
func (x *exchange) serve(ctx context.Context) {
	if !x.keyed {
		x.run(ctx)
		return
	}
	v, err := x.door.Claim(ctx, request.ClaimRequest{
		Key:      x.key,
		Service:  x.service.Name,
		Body:     x.bodyHash(),
		Deadline: x.deadline,
	})
	if err != nil {
		x.end(x.claimFailed(err))
		return
	}
	switch v.Decision {
	case request.DecisionRun:
		x.attempt = v.Attempt
		x.runClaimed(ctx, v)
	case request.DecisionReplay:
		x.replay(v.Answer)
	default:
		x.end(fromVerdict(v))
	}
}

func (x *exchange) claimFailed(err error) ending {
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		return refuse(http.StatusGatewayTimeout, request.ReasonDeadline)
	case errors.Is(err, context.Canceled):
		return refuse(http.StatusServiceUnavailable, ReasonCallerLeft)
	}
	return refuseForNow(ReasonClaimFailed, time.Second)
}

// runClaimed runs the request unless the verdict is too old by now, as it can
// be when this process was paused.
func (x *exchange) runClaimed(ctx context.Context, v request.Verdict) {
	ended := false
	defer func() {
		if !ended {
			x.report(request.Result{Outcome: request.Unknown, Reason: ReasonAnswerCut})
		}
	}()
	if !x.door.Now().Before(v.ValidUntil) {
		e := refuseForNow(request.ReasonVerdictLate, time.Second)
		e.earlier = request.EarlierNone
		x.report(request.Result{Outcome: request.Refused, Reason: e.reason})
		ended = true
		x.end(e)
		return
	}
	result := x.run(ctx)
	ended = true
	x.report(result)
}

func (x *exchange) report(r request.Result) {
	x.door.Report(x.attempt, r)
}

// replay gives the answer that an earlier attempt got. Without the body it is
// no whole answer, and the status says so.
func (x *exchange) replay(a request.Answer) {
	h := x.w.Header()
	h.Set(HeaderOutcome, string(request.Answered))
	h.Set(HeaderReplayed, "true")
	if !a.BodyKept {
		x.door.counters().ended(x.service.Name, request.Answered, ReasonBodyNotKept)
		h.Set(HeaderReason, string(ReasonBodyNotKept))
		h.Set("Request-Status", strconv.Itoa(a.Status))
		x.w.WriteHeader(http.StatusGone)
		return
	}
	x.door.counters().ended(x.service.Name, request.Answered, "replayed")
	if a.ContentType != "" {
		h.Set("Content-Type", a.ContentType)
	}
	x.w.WriteHeader(a.Status)
	_, _ = x.w.Write(a.Body)
}

// run tries servers until one answers or no further try is allowed, and tells
// the caller. It returns how the request ended.
func (x *exchange) run(ctx context.Context) request.Result {
	budget := x.budget()
	budget.Deposit()
	var tried []backend.Candidate
	mayHaveRun := false
	for try := 1; ; try++ {
		server, ok := x.pick(tried)
		if !ok {
			return x.fail(failure{notRun: !mayHaveRun, reason: ReasonNoServer}.ending(ctx))
		}
		tried = append(tried, server.Candidate)
		a := x.try(ctx, server)
		if a.failure == nil {
			return x.deliver(a)
		}
		f := *a.failure
		mayHaveRun = mayHaveRun || !f.notRun
		delay, reason, again := x.door.Retries.Next(x.door.Now(), request.Failure{
			Attempts:   try,
			NotRun:     f.notRun,
			Idempotent: !x.keyed && isIdempotent(x.r.Method),
			Deadline:   x.deadline,
		}, budget, x.door.Random())
		if again {
			again = x.door.Sleep(ctx, delay) == nil
		}
		if !again {
			x.door.counters().stopped.WithLabelValues(string(x.service.Name), string(reason)).Inc()
			f.notRun = !mayHaveRun
			return x.fail(f.ending(ctx))
		}
		x.door.counters().retries.WithLabelValues(string(x.service.Name), string(reason)).Inc()
	}
}

// fail tells the caller that there is no answer.
func (x *exchange) fail(e ending) request.Result {
	if e.outcome == request.Refused && x.keyed {
		// The owner let this attempt run, so none before it ran.
		e.earlier = request.EarlierNone
	}
	x.end(e)
	return request.Result{Outcome: e.outcome, Reason: e.reason}
}

func (x *exchange) budget() *request.Budget {
	if b, ok := x.door.budgets.Load(x.service.Name); ok {
		return b.(*request.Budget)
	}
	b, _ := x.door.budgets.LoadOrStore(x.service.Name, &request.Budget{Ratio: x.service.Limits.RetryRatio})
	return b.(*request.Budget)
}

// pick chooses a server that may get work, if possible one not tried yet. A
// server that is admitted by credit costs one unit.
func (x *exchange) pick(tried []backend.Candidate) (Server, bool) {
	servers := x.untried(tried)
	candidates := make([]backend.Candidate, 0, len(servers))
	for _, s := range servers {
		candidates = append(candidates, s.Candidate)
	}
	now := x.door.Now()
	credit := x.door.Credit()
	take := credit.Take // the first choice counts as demand, others do not
	for len(candidates) > 0 {
		i := x.door.Picker.Pick(now, candidates, x.door.IntN)
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

// untried returns the servers that admit work and were not tried, or all that
// admit work if every one was tried.
func (x *exchange) untried(tried []backend.Candidate) []Server {
	var fresh, all []Server
	for _, s := range x.service.Servers {
		if s.Admission == backend.AdmitNone {
			continue
		}
		all = append(all, s)
		if !contains(tried, s) {
			fresh = append(fresh, s)
		}
	}
	if len(fresh) == 0 {
		return all
	}
	return fresh
}

func contains(tried []backend.Candidate, s Server) bool {
	for _, t := range tried {
		if t.Server == s.Server {
			return true
		}
	}
	return false
}
