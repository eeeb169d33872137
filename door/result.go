package door

import (
	"net/http"
	"time"

	"github.com/rattanthread/rattanthread/request"
)

// The reasons that a Door gives, besides those of package request.
const (
	ReasonUnknownService  request.Reason = "unknown_service"
	ReasonMethod          request.Reason = "method_not_supported"
	ReasonKeyMissing      request.Reason = "key_missing"
	ReasonKeyMalformed    request.Reason = "key_malformed"
	ReasonTimeoutInvalid  request.Reason = "timeout_invalid"
	ReasonBodyTooLarge    request.Reason = "body_too_large"
	ReasonBodySlow        request.Reason = "body_slow"
	ReasonBodyCut         request.Reason = "body_cut"
	ReasonHeadersTooLarge request.Reason = "headers_too_large"
	ReasonNoServer        request.Reason = "no_server"
	ReasonShed            request.Reason = "server_shed"
	ReasonConnect         request.Reason = "connect_failed"
	ReasonAnswerCut       request.Reason = "answer_cut"
	ReasonAnswerEndless   request.Reason = "answer_without_length"
	ReasonNoAnswer        request.Reason = "no_answer"
	ReasonForeignAnswer   request.Reason = "foreign_answer"
	ReasonBodyNotKept     request.Reason = "body_not_kept"
	ReasonCallerLeft      request.Reason = "caller_left"
	ReasonClaimFailed     request.Reason = "claim_failed"
)

// ending is how a request ends without a server's answer.
type ending struct {
	status     int
	outcome    request.Outcome
	reason     request.Reason
	earlier    request.EarlierAttempts
	retryAfter time.Duration
}

func refuse(status int, reason request.Reason) ending {
	return ending{status: status, outcome: request.Refused, reason: reason}
}

func refuseForNow(reason request.Reason, retryAfter time.Duration) ending {
	e := refuse(http.StatusServiceUnavailable, reason)
	e.retryAfter = max(retryAfter, time.Second)
	return e
}

func unknown(status int, reason request.Reason) ending {
	return ending{status: status, outcome: request.Unknown, reason: reason}
}

// fromVerdict is the ending for a verdict that allows no run and has no answer.
func fromVerdict(v request.Verdict) ending {
	e := ending{
		status:     verdictStatus(v),
		outcome:    request.Refused,
		reason:     v.Reason,
		earlier:    v.Earlier,
		retryAfter: v.RetryAfter,
	}
	if v.Decision == request.DecisionUnknown {
		e.outcome = request.Unknown
	}
	return e
}

func verdictStatus(v request.Verdict) int {
	switch v.Reason {
	case request.ReasonKeyReused:
		return http.StatusUnprocessableEntity
	case request.ReasonKeyFromFuture, request.ReasonKeyExpired:
		return http.StatusBadRequest
	case request.ReasonInProgress:
		return http.StatusConflict
	case request.ReasonDeadline:
		return http.StatusGatewayTimeout
	}
	if v.Decision == request.DecisionUnknown {
		return http.StatusBadGateway
	}
	return http.StatusServiceUnavailable
}

// write tells the caller how the request ended.
func (e ending) write(w http.ResponseWriter) {
	h := w.Header()
	h.Set(HeaderOutcome, string(e.outcome))
	h.Set(HeaderReason, string(e.reason))
	if e.outcome == request.Refused {
		h.Set(HeaderEarlier, string(orUnknown(e.earlier)))
	}
	if e.retryAfter > 0 {
		h.Set("Retry-After", formatRetryAfter(e.retryAfter))
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(e.status)
	_, _ = w.Write([]byte(string(e.outcome) + ": " + string(e.reason) + "\n"))
}

func orUnknown(e request.EarlierAttempts) request.EarlierAttempts {
	if e == "" {
		return request.EarlierUnknown
	}
	return e
}
