package frontend

import (
	"net/http"
	"time"

	"github.com/rattanthread/rattanthread/request"
)

// The reasons that a Handler reports, in addition to those of package request.
const (
	ReasonUnknownService        request.Reason = "unknown_service"
	ReasonMethodNotSupported    request.Reason = "method_not_supported"
	ReasonKeyMissing            request.Reason = "key_missing"
	ReasonKeyMalformed          request.Reason = "key_malformed"
	ReasonTimeoutInvalid        request.Reason = "timeout_invalid"
	ReasonBodyTooLarge          request.Reason = "body_too_large"
	ReasonBodySlow              request.Reason = "body_slow"
	ReasonBodyTruncated         request.Reason = "body_cut"
	ReasonHeadersTooLarge       request.Reason = "headers_too_large"
	ReasonNoServer              request.Reason = "no_server"
	ReasonServerShed            request.Reason = "server_shed"
	ReasonConnectFailed         request.Reason = "connect_failed"
	ReasonResponseTruncated     request.Reason = "answer_cut"
	ReasonResponseWithoutLength request.Reason = "answer_without_length"
	ReasonNoResponse            request.Reason = "no_answer"
	ReasonResponseMismatch      request.Reason = "foreign_answer"
	ReasonBodyNotKept           request.Reason = "body_not_kept"
	ReasonCallerDisconnected    request.Reason = "caller_left"
	ReasonClaimFailed           request.Reason = "claim_failed"
)

// errorResponse is a response that the front end itself generates.
type errorResponse struct {
	status     int
	outcome    request.Outcome
	reason     request.Reason
	earlier    request.EarlierAttempts
	retryAfter time.Duration
}

func refuse(status int, reason request.Reason) errorResponse {
	return errorResponse{status: status, outcome: request.Refused, reason: reason}
}

func refuseTemporarily(reason request.Reason, retryAfter time.Duration) errorResponse {
	e := refuse(http.StatusServiceUnavailable, reason)
	e.retryAfter = max(retryAfter, time.Second)
	return e
}

func unknownOutcome(status int, reason request.Reason) errorResponse {
	return errorResponse{status: status, outcome: request.Unknown, reason: reason}
}

// verdictError returns the response for a verdict that neither permits the request to
// run nor contains a stored response.
func verdictError(v request.Verdict) errorResponse {
	e := errorResponse{
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

// write sends the response to the caller.
func (e errorResponse) write(w http.ResponseWriter) {
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
