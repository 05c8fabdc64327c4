package entry

import (
	"errors"
	"io"
	"time"

	"github.com/currantthread/currantthread/internal/wait"
	"github.com/currantthread/currantthread/route"
	"github.com/currantthread/currantthread/upstream"
	"github.com/currantthread/currantthread/verdict"
)

// firstRetryWait is the upper end of the jitter before the first retry. It doubles with each retry.
const firstRetryWait = 5 * time.Millisecond

// exchange sends the request to an upstream, forwards the response and stores the outcome of the claim. held and digest
// are nil for requests without an idempotency key.
func (c *call) exchange(held *claim, digest *requestDigest) {
	resp, finish, err := c.sendWithRetries()
	if err != nil {
		c.finishClaim(held, err, nil, digest)
		c.refuse(err)
		return
	}
	kept, err := c.forwardResponse(resp, held != nil)
	finish(err)
	c.finishClaim(held, nil, kept, digest)
	if err != nil {
		c.abort()
	}
}

// finishClaim stores the outcome of a claimed request, or removes the claim if the request did not run. kept is nil if
// the response was incomplete or too large.
func (c *call) finishClaim(held *claim, err error, kept *keptResponse, digest *requestDigest) {
	if held == nil {
		return
	}
	fullDigest := ""
	if c.body.overflow && errors.Is(c.body.err, io.EOF) {
		fullDigest = digest.sum()
	}
	switch verdict.Of(err) {
	case verdict.NotRun:
		c.server.claims.remove(held)
	case verdict.MayHaveRun:
		c.server.claims.finish(held, claimUnknown, fullDigest, nil)
	default:
		c.server.claims.finish(held, claimDone, fullDigest, kept)
	}
}

// sendWithRetries returns a response and a function that must be called at the end of the response's body. The error is
// a *verdict.Error whose verdict covers all attempts.
func (c *call) sendWithRetries() (*upstream.Response, func(error), error) {
	var tried []*route.Endpoint
	worst := verdict.NotRun
	var last *verdict.Error
	for n := 0; ; n++ {
		e, err := c.pick(tried)
		if err != nil {
			if last == nil {
				last = asVerdict(err)
			}
			return nil, nil, verdict.Wrap(worst, last.Code, last.Err)
		}
		resp, finish, attemptErr := c.attempt(e)
		if attemptErr == nil {
			return resp, finish, nil
		}
		if attemptErr.Verdict != verdict.NotRun {
			worst = verdict.MayHaveRun
		}
		last = attemptErr
		if !c.mayRetry(n, attemptErr) {
			return nil, nil, verdict.Wrap(worst, last.Code, last.Err)
		}
		tried = append(tried, e)
		if !wait.For(c.ctx, c.server.jitter.below(firstRetryWait<<n)) {
			return nil, nil, verdict.Wrap(worst, last.Code, last.Err)
		}
	}
}

// pick chooses an endpoint that was not tried before, or any endpoint if all were tried.
func (c *call) pick(tried []*route.Endpoint) (*route.Endpoint, error) {
	e, err := c.pickWithinBudget(tried)
	if err != nil && len(tried) > 0 {
		e, err = c.pickWithinBudget(nil)
	}
	return e, err
}

// pickWithinBudget chooses an endpoint. It chooses one in another region only if the byte budget is not exhausted.
func (c *call) pickWithinBudget(tried []*route.Endpoint) (*route.Endpoint, error) {
	e, err := c.svc.endpoints.Pick(tried, c.conf.CrossRegion)
	if err != nil {
		return nil, verdict.Wrap(verdict.NotRun, codeNoUpstream, err)
	}
	// The connection charges the bytes that are sent and received; taking one byte checks whether the budget is
	// exhausted.
	if e.Region == c.server.cfg.Region || c.server.regionBudget.Allow(1) {
		return e, nil
	}
	if e, err = c.svc.endpoints.Pick(tried, false); err != nil {
		return nil, verdict.New(verdict.NotRun, codeRegionBudget, "only other regions have upstreams, and their byte budget is empty")
	}
	return e, nil
}

// mayRetry reports whether another attempt is allowed after err. n is the number of retries so far.
func (c *call) mayRetry(n int, err *verdict.Error) bool {
	switch err.Code {
	case upstream.CodeCancelled, upstream.CodeTimeout, upstream.CodeConnectionWait, upstream.CodeRequestBody,
		codeBodyTooLarge, codeBodyTimeout:
		return false
	}
	if n >= c.conf.MaxRetries || c.ctx.Err() != nil || !c.body.replayable() {
		return false
	}
	return (err.Verdict == verdict.NotRun || c.idempotent) && c.svc.retries.Withdraw()
}

// attempt exchanges the request with one endpoint. The returned function must be called with the error of the
// response's body, or nil.
func (c *call) attempt(e *route.Endpoint) (*upstream.Response, func(error), *verdict.Error) {
	c.endpoint = e
	pool := c.svc.pool(e)
	e.Begin()
	begin := time.Now()
	resp, err := pool.Do(c.ctx, c.upstreamRequest())
	latency := time.Since(begin)
	if err != nil {
		failure := c.callerBodyError(asVerdict(err))
		result := routeResult(failure, pool.Failed())
		result.Latency = latency
		e.End(result)
		c.server.metrics.attempts.WithLabelValues(c.svc.name, string(failure.Code)).Inc()
		return nil, nil, failure
	}
	finish := func(err error) {
		result := route.Result{Latency: latency, Load: routeLoad(resp.Load)}
		if err != nil || resp.StatusCode >= 500 {
			result.Outcome = route.OutcomeError
		}
		if errors.Is(err, errCallerDisconnected) {
			result.Outcome = route.OutcomeCancelled
		}
		e.End(result)
		c.server.metrics.attempts.WithLabelValues(c.svc.name, "answered").Inc()
	}
	return resp, finish, nil
}

func (c *call) upstreamRequest() *upstream.Request {
	req := &upstream.Request{
		ID:            c.id,
		Method:        c.request.Method,
		URL:           c.target,
		Host:          c.request.Host,
		Header:        c.request.Header,
		ContentLength: c.body.sendLength(),
		Body:          c.body.open,
		Idempotent:    c.idempotent,
	}
	if !c.body.complete() {
		req.StopBody = c.stopBody
	}
	return req
}

// callerBodyError replaces the code of errors that were caused by the caller's body.
func (c *call) callerBodyError(err *verdict.Error) *verdict.Error {
	if err.Code == upstream.CodeRequestBody {
		return bodyError(err.Err, err.Verdict)
	}
	return err
}

// routeResult returns the result of a failed attempt for the endpoint's statistics in package route. poolFailed is set
// if several connections in a row failed; a single lost or silent connection does not count against the endpoint.
func routeResult(err *verdict.Error, poolFailed bool) route.Result {
	var refusal *upstream.Refusal
	if errors.As(err, &refusal) {
		return route.Result{Outcome: route.OutcomeRefused, Load: routeLoad(refusal.Load), Leaving: err.Code == upstream.CodeLeaving}
	}
	switch err.Code {
	case upstream.CodeConnectFailed:
		return route.Result{Outcome: route.OutcomeConnFailed}
	case upstream.CodeCrossedResponse, upstream.CodeMalformedResponse:
		return route.Result{Outcome: route.OutcomeError}
	case upstream.CodeConnectionLost, upstream.CodeConnectionSilent:
		if poolFailed {
			return route.Result{Outcome: route.OutcomeConnFailed}
		}
	case upstream.CodeTimeout:
		if poolFailed {
			return route.Result{Outcome: route.OutcomeTimeout}
		}
	}
	return route.Result{Outcome: route.OutcomeCancelled}
}

func routeLoad(l upstream.Load) route.Load {
	return route.Load{InFlight: l.InFlight, Slots: l.Slots, Queue: l.Queue, Valid: l.Valid}
}
