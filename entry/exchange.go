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

// exchange sends the request, passes the answer on and stores the outcome of its claim. held and digest are nil for
// requests without a key.
func (c *call) exchange(held *claim, digest *requestDigest) {
	resp, finish, err := c.sendWithRetries()
	if err != nil {
		c.settleClaim(held, err, nil, digest)
		c.refuse(err)
		return
	}
	kept, err := c.answer(resp, held != nil)
	finish(err)
	c.settleClaim(held, nil, kept, digest)
	if err != nil {
		c.abort()
	}
}

// settleClaim stores the outcome of a claimed request. kept is nil if the answer was incomplete or too large.
func (c *call) settleClaim(held *claim, err error, kept *keptAnswer, digest *requestDigest) {
	if held == nil {
		return
	}
	full := ""
	if c.body.overflow && errors.Is(c.body.err, io.EOF) {
		full = digest.sum()
	}
	switch verdict.Of(err) {
	case verdict.NotRun:
		c.server.claims.remove(held)
	case verdict.MayHaveRun:
		c.server.claims.finish(held, claimUnknown, full, nil)
	default:
		c.server.claims.finish(held, claimDone, full, kept)
	}
}

// sendWithRetries returns an answer and the function that notes the end of its body. The error is a *verdict.Error whose
// verdict covers all tries.
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
		resp, finish, tryErr := c.try(e)
		if tryErr == nil {
			return resp, finish, nil
		}
		if tryErr.Verdict != verdict.NotRun {
			worst = verdict.MayHaveRun
		}
		last = tryErr
		if !c.mayRetry(n, tryErr) {
			return nil, nil, verdict.Wrap(worst, last.Code, last.Err)
		}
		tried = append(tried, e)
		if !wait.For(c.ctx, c.server.jitter.upTo(firstRetryWait<<n)) {
			return nil, nil, verdict.Wrap(worst, last.Code, last.Err)
		}
	}
}

// pick chooses an endpoint. When all were tried, one of them is chosen again.
func (c *call) pick(tried []*route.Endpoint) (*route.Endpoint, error) {
	e, err := c.pickAffordable(tried)
	if err != nil && len(tried) > 0 {
		e, err = c.pickAffordable(nil)
	}
	return e, err
}

// pickAffordable chooses an endpoint of another region only if the byte budget allows it.
func (c *call) pickAffordable(tried []*route.Endpoint) (*route.Endpoint, error) {
	e, err := c.svc.endpoints.Pick(tried, c.conf.CrossRegion)
	if err != nil {
		return nil, verdict.Wrap(verdict.NotRun, codeNoUpstream, err)
	}
	// The connection charges the bytes themselves; one byte asks whether anything is left.
	if e.Region == c.server.cfg.Region || c.server.bytes.Take(1) {
		return e, nil
	}
	if e, err = c.svc.endpoints.Pick(tried, false); err != nil {
		return nil, verdict.New(verdict.NotRun, codeRegionBudget, "only other regions have upstreams, and their byte budget is empty")
	}
	return e, nil
}

// mayRetry reports whether another try may follow the n-th retry that failed with err.
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

// try exchanges the request with one endpoint. The function it returns must be called with the error of the answer's
// body, or nil.
func (c *call) try(e *route.Endpoint) (*upstream.Response, func(error), *verdict.Error) {
	c.endpoint = e
	pool := c.svc.pool(e)
	e.Begin()
	begin := time.Now()
	resp, err := pool.Do(c.ctx, c.upstreamRequest())
	latency := time.Since(begin)
	if err != nil {
		failure := c.callerFault(asVerdict(err))
		result := resultOf(failure, pool.Failed())
		result.Latency = latency
		e.End(result)
		c.server.metrics.tries.WithLabelValues(c.svc.name, string(failure.Code)).Inc()
		return nil, nil, failure
	}
	finish := func(err error) {
		result := route.Result{Latency: latency, Load: routeLoad(resp.Load)}
		if err != nil || resp.StatusCode >= 500 {
			result.Outcome = route.OutcomeError
		}
		if errors.Is(err, errCallerGone) {
			result.Outcome = route.OutcomeCancelled
		}
		e.End(result)
		c.server.metrics.tries.WithLabelValues(c.svc.name, "answered").Inc()
	}
	return resp, finish, nil
}

func (c *call) upstreamRequest() *upstream.Request {
	req := &upstream.Request{
		ID:            c.id,
		Method:        c.r.Method,
		URL:           c.target,
		Host:          c.r.Host,
		Header:        c.r.Header,
		ContentLength: c.body.sendLength(),
		Body:          c.body.open,
		Idempotent:    c.idempotent,
	}
	if !c.body.complete() {
		req.StopBody = c.stopBody
	}
	return req
}

// callerFault gives errors of the caller's body their own codes.
func (c *call) callerFault(err *verdict.Error) *verdict.Error {
	if err.Code == upstream.CodeRequestBody {
		return bodyError(err.Err, err.Verdict)
	}
	return err
}

// resultOf tells package route what a failed try says about its endpoint. poolFailed is set if several connections in a
// row failed; a single lost or silent connection says nothing about the endpoint.
func resultOf(err *verdict.Error, poolFailed bool) route.Result {
	var refusal *upstream.Refusal
	if errors.As(err, &refusal) {
		return route.Result{Outcome: route.OutcomeRefused, Load: routeLoad(refusal.Load), Leaving: err.Code == upstream.CodeLeaving}
	}
	switch err.Code {
	case upstream.CodeConnectFailed:
		return route.Result{Outcome: route.OutcomeConnFailed}
	case upstream.CodeCrossedAnswer, upstream.CodeMalformedAnswer:
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
