package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/currantthread/currantthread/verdict"
)

const (
	// maxInformational is the largest number of response headers that are read until one is not informational (1xx).
	maxInformational = 5
	// maxRefusalBody is the largest body of a refusal, in bytes, that is read so that the connection can be reused.
	maxRefusalBody = 4 << 10
	// refusalBodyWait bounds the time to read that body.
	refusalBodyWait = 50 * time.Millisecond
)

var (
	errStopped    = errors.New("the exchange was stopped")
	errSwitching  = errors.New("the upstream switched protocols without being asked")
	errTooMany1xx = errors.New("too many informational answers")
)

// aLongTimeAgo is a deadline that makes blocked reads and writes return at once.
var aLongTimeAgo = time.Unix(1, 0)

// Do sends req and returns when the complete header of the response has arrived. ctx ends at the deadline or when the
// caller disconnects. Its cancellation does not stop a non-idempotent request of which bytes may have been sent. Errors
// are *verdict.Error.
//
// A request that fails on a reused connection is retried once on a new connection if it is idempotent or cannot have
// run. There are no other retries.
func (p *Pool) Do(ctx context.Context, req *Request) (*Response, error) {
	resp, first := p.attempt(ctx, req, false)
	if first == nil {
		return resp, nil
	}
	if !first.retryable || ctx.Err() != nil || (first.err.Verdict != verdict.NotRun && !p.cfg.MayRetry()) {
		return nil, first.err
	}
	p.cfg.OnEvent(EventRetried)
	resp, second := p.attempt(ctx, req, true)
	if second == nil {
		return resp, nil
	}
	if first.err.Verdict != verdict.NotRun && second.err.Verdict == verdict.NotRun {
		// Bytes were sent in the first attempt, so the request as a whole may have run.
		return nil, verdict.Wrap(verdict.MayHaveRun, second.err.Code, second.err.Err)
	}
	return nil, second.err
}

// failure is the result of a failed attempt.
type failure struct {
	err *verdict.Error
	// retryable is set if the request may be retried on a new connection to the same upstream.
	retryable bool
}

func (p *Pool) attempt(ctx context.Context, req *Request, onlyNew bool) (*Response, *failure) {
	body, err := openBody(req)
	if err != nil {
		return nil, &failure{err: verdict.Wrap(verdict.NotRun, CodeRequestBody, err)}
	}
	c, err := p.acquire(ctx, req.Idempotent, onlyNew)
	if err != nil {
		_ = body.Close()
		var verdictErr *verdict.Error
		if !errors.As(err, &verdictErr) {
			verdictErr = verdict.Wrap(verdict.NotRun, CodeConnectFailed, err)
		}
		return nil, &failure{err: verdictErr}
	}
	x := &exchange{pool: p, conn: c, req: req, body: body, written: make(chan struct{})}
	return x.run(ctx)
}

func openBody(req *Request) (io.ReadCloser, error) {
	if req.Body == nil || req.ContentLength == 0 {
		return http.NoBody, nil
	}
	return req.Body()
}

// exchange is one request and its response on one connection.
type exchange struct {
	pool         *Pool
	conn         *conn
	req          *Request
	body         io.ReadCloser
	deadline     time.Time
	stopWatching func() bool
	// silenceLimited is set while the read deadline is earlier than the deadline of the request.
	silenceLimited bool

	// sent counts the bytes that the connection accepted.
	sent atomic.Int64
	// bodyRead counts the bytes read from the request's body; bodyEnded is set at its end.
	bodyRead  atomic.Int64
	bodyEnded atomic.Bool
	// written is closed when nothing more will be written; writeErr and bodyErr are valid from then on.
	written  chan struct{}
	writeErr error
	bodyErr  error

	mu           sync.Mutex // guards the fields below
	writeStarted bool       // the first write of the request has begun
	stopped      bool       // nothing may be written or read any more
	released     bool       // the connection was returned to the pool
	cause        error      // cause of the context's end, if that stopped the exchange
}

func (x *exchange) run(ctx context.Context) (*Response, *failure) {
	if ctx.Err() != nil {
		x.pool.release(x.conn, !x.conn.reused())
		_ = x.body.Close()
		return nil, &failure{err: verdict.Wrap(verdict.NotRun, contextCode(ctx), context.Cause(ctx))}
	}
	x.deadline, _ = ctx.Deadline()
	_ = x.conn.SetDeadline(x.deadline)
	x.stopWatching = context.AfterFunc(ctx, func() { x.cancel(context.Cause(ctx)) })
	begin := time.Now()
	if x.body == http.NoBody {
		x.send()
	} else {
		go x.send()
	}
	x.limitSilence(begin)
	httpResp, err := x.receive() //nolint:bodyclose // responseBody ends the exchange; the body has no other resource.
	if err != nil {
		return nil, x.fail(err)
	}
	x.endSilence()
	x.pool.recordResponse(time.Since(begin))
	return x.accept(httpResp)
}

func contextCode(ctx context.Context) verdict.Code {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return CodeTimeout
	}
	return CodeCancelled
}

// cancel stops the exchange when the context ends, unless bytes of a non-idempotent request may already have been sent.
func (x *exchange) cancel(cause error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.released || x.stopped || (x.writeStarted && !x.req.Idempotent) {
		return
	}
	x.stopped = true
	x.cause = cause
	_ = x.conn.SetDeadline(aLongTimeAgo)
}

// stop makes all further reads and writes of the exchange fail.
func (x *exchange) stop() {
	x.mu.Lock()
	x.stopped = true
	x.mu.Unlock()
	_ = x.conn.Close()
}

// setReadDeadline sets the read deadline unless the exchange was stopped.
func (x *exchange) setReadDeadline(t time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if !x.stopped {
		_ = x.conn.SetReadDeadline(t)
	}
}

// limitSilence shortens the wait for the response if the request can be retried when the connection is silent.
func (x *exchange) limitSilence(begin time.Time) {
	if !x.req.Idempotent || !x.conn.reused() || x.req.StopBody != nil || x.deadline.IsZero() {
		return
	}
	x.silenceLimited = true
	x.setReadDeadline(begin.Add(x.pool.silenceLimit(x.deadline.Sub(begin))))
}

func (x *exchange) endSilence() {
	if x.silenceLimited {
		x.silenceLimited = false
		x.setReadDeadline(x.deadline)
	}
}

// receive reads the header of the response.
func (x *exchange) receive() (*http.Response, error) {
	x.conn.headerRemaining = maxResponseHeader
	defer func() { x.conn.headerRemaining = -1 }()
	for range maxInformational {
		resp, err := http.ReadResponse(x.conn.reader, &http.Request{Method: x.req.Method})
		switch {
		case err != nil:
			return nil, err
		case resp.StatusCode == http.StatusSwitchingProtocols:
			return nil, errSwitching
		case resp.StatusCode >= http.StatusOK:
			return resp, nil
		}
	}
	return nil, errTooMany1xx
}

// accept checks the header of a response and returns the response with its body.
func (x *exchange) accept(httpResp *http.Response) (*Response, *failure) {
	if id := httpResp.Header.Get(HeaderRequestID); id != "" && id != x.req.ID {
		x.end(false)
		x.pool.countFailure()
		x.pool.cfg.OnEvent(EventCrossed)
		return nil, &failure{err: verdict.New(verdict.MayHaveRun, CodeCrossedResponse,
			"the answer belongs to request %q", id)}
	}
	load := ParseLoad(httpResp.Header.Get(HeaderLoad))
	if refused := httpResp.Header.Get(HeaderRefused); httpResp.StatusCode == http.StatusServiceUnavailable {
		switch refused {
		case refusedBusy:
			return nil, x.refuse(httpResp, CodeBusy, load)
		case refusedLeaving:
			return nil, x.refuse(httpResp, CodeLeaving, load)
		}
	}
	resp := &Response{
		StatusCode:        httpResp.StatusCode,
		Header:            httpResp.Header,
		ContentLength:     httpResp.ContentLength,
		RequestIncomplete: !x.requestWritten(),
		Load:              load,
	}
	if httpResp.Body == http.NoBody {
		x.end(!httpResp.Close)
		resp.Body = http.NoBody
		return resp, nil
	}
	resp.Body = &responseBody{exchange: x, inner: httpResp.Body, httpResp: httpResp, resp: resp}
	return resp, nil
}

func (x *exchange) refuse(httpResp *http.Response, code verdict.Code, load Load) *failure {
	reusable := !httpResp.Close && httpResp.ContentLength >= 0 && httpResp.ContentLength <= maxRefusalBody
	if reusable {
		x.setReadDeadline(time.Now().Add(refusalBodyWait))
		_, err := io.Copy(io.Discard, httpResp.Body)
		reusable = err == nil
	}
	x.end(reusable)
	reason := httpResp.Header.Get(HeaderRefused)
	return &failure{err: verdict.Wrap(verdict.NotRun, code, &Refusal{Reason: reason, Load: load})}
}

// requestWritten reports whether the request was sent completely. If the whole body was read, it waits for the writer,
// because the upstream may respond before the writer has returned.
func (x *exchange) requestWritten() bool {
	length := x.req.ContentLength
	if x.bodyEnded.Load() || (length >= 0 && x.bodyRead.Load() >= length) {
		<-x.written
	}
	select {
	case <-x.written:
		return x.writeErr == nil
	default:
		return false
	}
}

// end returns the connection to the pool after a response. reusable is false if the connection must be closed.
func (x *exchange) end(reusable bool) {
	complete := x.requestWritten()
	x.stopWatching()
	x.mu.Lock()
	reusable = reusable && complete && !x.stopped && x.conn.reader.Buffered() == 0
	x.released = true
	x.mu.Unlock()
	if !complete {
		x.stopWriter()
	}
	x.pool.release(x.conn, reusable)
}

// stopWriter makes the writer of the request return and waits for it.
func (x *exchange) stopWriter() {
	x.stop()
	select {
	case <-x.written:
		return
	default:
	}
	if x.req.StopBody != nil {
		x.req.StopBody()
	}
	<-x.written
}

// fail ends an exchange that did not receive a complete response header.
func (x *exchange) fail(err error) *failure {
	timedOut := errors.Is(err, os.ErrDeadlineExceeded)
	x.stopWriter()
	x.stopWatching()
	x.mu.Lock()
	x.released = true
	cause := x.cause
	x.mu.Unlock()
	x.pool.release(x.conn, false)
	expired := errors.Is(cause, context.DeadlineExceeded) ||
		(!x.deadline.IsZero() && !time.Now().Before(x.deadline))
	v := verdict.MayHaveRun
	if x.sent.Load() == 0 {
		v = verdict.NotRun
	}
	code, event := CodeConnectionLost, EventLost
	switch {
	case x.bodyErr != nil:
		return &failure{err: verdict.Wrap(v, CodeRequestBody, x.bodyErr)}
	case cause != nil && !expired:
		return &failure{err: verdict.Wrap(v, CodeCancelled, cause)}
	case timedOut && x.silenceLimited && !expired:
		code, event = CodeConnectionSilent, EventSilent
		x.pool.countSilence()
	case timedOut || (cause != nil && expired):
		code, event = CodeTimeout, EventTimeout
		x.pool.countFailure()
	case x.conn.readErr == nil:
		// No read from the network failed, so the response violates the protocol.
		code, event = CodeMalformedResponse, EventMalformed
		x.pool.countFailure()
	default:
		x.pool.countFailure()
	}
	x.pool.cfg.OnEvent(event)
	retryable := x.conn.reused() && (x.req.Idempotent || v == verdict.NotRun) &&
		(code == CodeConnectionLost || code == CodeConnectionSilent)
	return &failure{err: verdict.Wrap(v, code, err), retryable: retryable}
}

// send writes the request. It runs in the goroutine of run if there is no body, and in a separate one otherwise.
func (x *exchange) send() {
	defer close(x.written)
	out := newSender(x)
	x.writeErr = x.httpRequest(out).Write(out)
	if x.writeErr == nil {
		x.writeErr = out.Flush()
	}
	out.free()
	if x.writeErr == nil || out.err != nil {
		// If the connection fails while the request is written, an early response may still be readable.
		return
	}
	if x.bodyErr == nil {
		x.bodyErr = x.writeErr
	}
	x.stop()
}

func (x *exchange) httpRequest(out *sender) *http.Request {
	header := x.req.Header
	if header == nil {
		header = http.Header{}
	}
	header.Set(HeaderRequestID, x.req.ID)
	if !x.deadline.IsZero() {
		left := max(time.Until(x.deadline).Milliseconds(), 1)
		header.Set(HeaderTimeout, strconv.FormatInt(left, 10))
	}
	if _, ok := header["User-Agent"]; !ok {
		// An empty value keeps net/http from adding its default.
		header["User-Agent"] = []string{""}
	}
	req := &http.Request{Method: x.req.Method, URL: x.req.URL, Host: x.req.Host, Header: header}
	if x.body != http.NoBody {
		req.Body = &requestBody{exchange: x, sender: out}
		req.ContentLength = x.req.ContentLength
	}
	return req
}

// write writes bytes of the request to the connection and counts them.
func (x *exchange) write(buf []byte) (int, error) {
	x.mu.Lock()
	if x.stopped {
		x.mu.Unlock()
		return 0, errStopped
	}
	x.writeStarted = true
	x.mu.Unlock()
	n, err := x.conn.Write(buf)
	x.sent.Add(int64(n))
	x.pool.cfg.OnBytes(n)
	return n, err
}

// requestBody reads the request's body for the writer.
type requestBody struct {
	exchange *exchange
	sender   *sender
}

// Read implements io.Reader. Before a read that may block it flushes the bytes written so far.
func (b *requestBody) Read(buf []byte) (int, error) {
	x := b.exchange
	if x.req.StopBody != nil {
		if err := b.sender.Flush(); err != nil {
			return 0, err
		}
	}
	n, err := x.body.Read(buf)
	x.bodyRead.Add(int64(n))
	switch {
	case err == io.EOF:
		x.bodyEnded.Store(true)
	case err != nil:
		// net/http wraps the error in a type that doesn't unwrap.
		x.bodyErr = err
	}
	return n, err
}

// Close implements io.Closer.
func (b *requestBody) Close() error { return b.exchange.body.Close() }

// responseBody is the body of a response.
type responseBody struct {
	exchange *exchange
	inner    io.Reader
	httpResp *http.Response
	resp     *Response
	// err is the error that further reads return; nil while the body is open.
	err error
}

// Read implements io.Reader.
func (b *responseBody) Read(buf []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.inner.Read(buf)
	if err == nil {
		return n, nil
	}
	if err == io.EOF {
		b.resp.Trailer = b.httpResp.Trailer
		b.err = io.EOF
		b.exchange.end(!b.httpResp.Close)
	} else {
		b.err = verdict.Wrap(verdict.Ran, CodeTruncatedResponse, fmt.Errorf("answer is incomplete: %w", err))
		b.exchange.pool.cfg.OnEvent(EventTruncated)
		b.exchange.end(false)
	}
	return n, b.err
}

// Close implements io.Closer. If the response was not read to its end, the connection is closed.
func (b *responseBody) Close() error {
	if b.err == nil {
		b.err = errStopped
		b.exchange.end(false)
	}
	return nil
}
