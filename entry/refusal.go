package entry

import (
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/currantthread/currantthread/clientlimit"
	"github.com/currantthread/currantthread/limit"
	"github.com/currantthread/currantthread/upstream"
	"github.com/currantthread/currantthread/verdict"
)

// Codes of refusals and failures, in addition to those of packages limit and upstream.
const (
	codeBadRequest        verdict.Code = "bad-request"
	codeUnknownPath       verdict.Code = "unknown-path"
	codeUnknownService    verdict.Code = "unknown-service"
	codeMethod            verdict.Code = "method-not-allowed"
	codeHeaderTooLarge    verdict.Code = "header-too-large"
	codeBodyTooLarge      verdict.Code = "body-too-large"
	codeBodyTimeout       verdict.Code = "body-timeout"
	codeNoUpstream        verdict.Code = "no-upstream"
	codeRegionBudget      verdict.Code = "region-budget"
	codeKeyReused         verdict.Code = "key-reused"
	codeKeyRunning        verdict.Code = "key-running"
	codeKeyUnknown        verdict.Code = "key-outcome-unknown"
	codeResponseNotKept   verdict.Code = "answer-not-kept"
	codeClaimsUnavailable verdict.Code = "claims-unavailable"
)

// statusClientClosed is recorded for callers that disconnected. It is never sent.
const statusClientClosed = 499

// minRetryAfter is the smallest Retry-After, and the one of refusals that specify none.
const minRetryAfter = time.Second

// refusalBody is the body of every response that this daemon generates itself.
type refusalBody struct {
	Verdict   string       `json:"verdict"`
	Code      verdict.Code `json:"code"`
	Message   string       `json:"message"`
	RequestID string       `json:"request_id"`
}

// statusOf returns the HTTP status for a failed request.
func statusOf(err *verdict.Error) int {
	switch err.Code {
	case codeBadRequest, upstream.CodeRequestBody:
		return http.StatusBadRequest
	case codeUnknownPath, codeUnknownService:
		return http.StatusNotFound
	case codeMethod:
		return http.StatusMethodNotAllowed
	case codeBodyTimeout:
		return http.StatusRequestTimeout
	case codeKeyRunning, codeKeyUnknown, codeResponseNotKept:
		return http.StatusConflict
	case codeBodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case codeKeyReused:
		return http.StatusUnprocessableEntity
	case codeHeaderTooLarge:
		return http.StatusRequestHeaderFieldsTooLarge
	case limit.CodeOverloaded:
		return http.StatusTooManyRequests
	case upstream.CodeCancelled:
		return statusClientClosed
	case upstream.CodeTimeout:
		return http.StatusGatewayTimeout
	}
	if err.Verdict == verdict.NotRun {
		return http.StatusServiceUnavailable
	}
	return http.StatusBadGateway
}

// retryAfter returns the value of Retry-After in seconds, or 0 for none. Only requests that did not run and may succeed
// later have one.
func retryAfter(err *verdict.Error, status int) int {
	if err.Verdict != verdict.NotRun || (status != http.StatusTooManyRequests && status != http.StatusServiceUnavailable) {
		return 0
	}
	wait := max(limit.RetryAfter(err), minRetryAfter)
	if errors.Is(err, clientlimit.ErrBudget) {
		wait = clientlimit.RetryAfter()
	}
	return int(math.Ceil(wait.Seconds()))
}

// writeRefusal sends an error response that this daemon generates.
func (s *Server) writeRefusal(w http.ResponseWriter, requestID string, err *verdict.Error) {
	status := statusOf(err)
	body, encodeErr := json.Marshal(refusalBody{
		Verdict: err.Verdict.String(), Code: err.Code, Message: err.Err.Error(), RequestID: requestID,
	})
	if encodeErr != nil {
		body = nil
	}
	header := w.Header()
	header.Set(echo.HeaderContentType, echo.MIMEApplicationJSON)
	header.Set(echo.HeaderContentLength, strconv.Itoa(len(body)))
	header.Set(verdict.Header, err.Verdict.String())
	header.Set(upstream.HeaderRequestID, requestID)
	if seconds := retryAfter(err, status); seconds > 0 {
		header.Set(echo.HeaderRetryAfter, strconv.Itoa(seconds))
	}
	s.setConnection(header)
	w.WriteHeader(status)
	// A write error means that the caller disconnected, which does not change the request's outcome.
	_, _ = w.Write(body)
}

// setConnection asks the caller to close its connection while the daemon is shutting down.
func (s *Server) setConnection(header http.Header) {
	if s.closing.Load() {
		header.Set(echo.HeaderConnection, "close")
	}
}

// refuseUnrouted sends an error response to requests that match no route.
func (s *Server) refuseUnrouted(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	refusal := verdict.New(verdict.NotRun, codeUnknownPath, "no such path; services are under /svc/<service>/")
	var httpErr *echo.HTTPError
	if errors.As(err, &httpErr) && httpErr.Code == http.StatusMethodNotAllowed {
		refusal = verdict.New(verdict.NotRun, codeMethod, "method %q is not supported", c.Request().Method)
	}
	markResponding(c.Request())
	s.metrics.refusals.WithLabelValues(unknownService, string(refusal.Code)).Inc()
	s.writeRefusal(c.Response().Writer, s.nextRequestID(), refusal)
}

// asVerdict returns err as a *verdict.Error. Other errors get the verdict MayHaveRun.
func asVerdict(err error) *verdict.Error {
	var target *verdict.Error
	if errors.As(err, &target) {
		return target
	}
	return verdict.Wrap(verdict.MayHaveRun, codeNoUpstream, err)
}
