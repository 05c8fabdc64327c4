package infra

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"time"
)

const (
	// idleConnTimeout is how long an idle connection is kept. Network devices may drop the state of idle connections, and
	// a commit on such a connection ends with an unknown outcome.
	idleConnTimeout = 10 * time.Second
	// maxIdleConns is the maximum number of idle connections to one server.
	maxIdleConns = 16
)

// client sends each request with a deadline and reports whether a failed request may have reached the server.
type client struct {
	domain    string
	timeout   time.Duration
	transport *http.Transport
	http      *http.Client
}

func newClient(domain string, timeout time.Duration) *client {
	dialer := &net.Dialer{Timeout: timeout}
	transport := &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &guardedConn{Conn: conn}, nil
		},
		IdleConnTimeout:     idleConnTimeout,
		MaxIdleConnsPerHost: maxIdleConns,
		DisableCompression:  true,
	}
	return &client{
		domain:    domain,
		timeout:   timeout,
		transport: transport,
		http: &http.Client{
			Transport: transport,
			// A redirect would send a commit a second time.
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// call is one request.
type call struct {
	method string
	url    string
	body   []byte
	// noResend prevents the HTTP transport from resending the request on its own.
	noResend bool
	// extraTimeout is added to the client's timeout.
	extraTimeout time.Duration
	// etag, if set, makes the request conditional: the server sends a body only if its entity tag differs.
	etag string
}

// rawResponse is a complete HTTP response whose body is not decoded.
type rawResponse struct {
	status int
	body   []byte
	etag   string
}

// unsentError reports a failure before any byte of the request was written to the network.
type unsentError struct{ err error }

func (e *unsentError) Error() string { return fmt.Sprintf("request was not sent: %v", e.err) }
func (e *unsentError) Unwrap() error { return e.err }

// do sends c and returns the complete response. The error is an *unsentError if no byte of the request was sent or will be.
func (cl *client) do(ctx context.Context, c call) (rawResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, cl.timeout+c.extraTimeout)
	defer cancel()
	var sent sendRecord
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: sent.gotConn})
	req, err := cl.newRequest(ctx, c)
	if err != nil {
		return rawResponse{}, &unsentError{err}
	}
	result, err := cl.exchange(req)
	if err == nil {
		return result, nil
	}
	if sent.sealUnsent() {
		return rawResponse{}, &unsentError{err}
	}
	if ctx.Err() != nil {
		// The network may have dropped the state of other idle connections as well.
		cl.transport.CloseIdleConnections()
	}
	return rawResponse{}, err
}

func (cl *client) newRequest(ctx context.Context, c call) (*http.Request, error) {
	var body io.Reader
	if c.body != nil {
		body = bytes.NewReader(c.body)
	}
	req, err := http.NewRequestWithContext(ctx, c.method, c.url, body)
	if err != nil {
		return nil, err
	}
	req.Header.Set(HeaderDomain, cl.domain)
	req.Header.Set(HeaderRequestID, newRequestID())
	if c.body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	if c.etag != "" {
		req.Header.Set("If-None-Match", c.etag)
	}
	if c.noResend {
		// Without GetBody the transport cannot rewind the body and resend it.
		req.GetBody = nil
	} else {
		// An empty value marks the request as idempotent for the transport, and the header is not sent.
		req.Header["Idempotency-Key"] = []string{}
	}
	return req, nil
}

// exchange sends a request and reads the whole response. It rejects responses to another request.
func (cl *client) exchange(req *http.Request) (rawResponse, error) {
	res, err := cl.http.Do(req)
	if err != nil {
		return rawResponse{}, err
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(res.Body, MaxMessageBytes+1))
	if err != nil {
		return rawResponse{}, err
	}
	if len(body) > MaxMessageBytes {
		return rawResponse{}, fmt.Errorf("answer exceeds %d bytes", MaxMessageBytes)
	}
	want := req.Header.Get(HeaderRequestID)
	if got := res.Header.Get(HeaderRequestID); got != "" && got != want {
		cl.transport.CloseIdleConnections()
		return rawResponse{}, fmt.Errorf("answer to request %s arrived for request %s", got, want)
	}
	return rawResponse{status: res.StatusCode, body: body, etag: res.Header.Get("ETag")}, nil
}

// post sends message as JSON.
func (cl *client) post(ctx context.Context, url string, message any, noResend bool, extraTimeout time.Duration) (rawResponse, error) {
	body, err := json.Marshal(message)
	if err != nil {
		return rawResponse{}, &unsentError{err}
	}
	return cl.do(ctx, call{method: http.MethodPost, url: url, body: body, noResend: noResend, extraTimeout: extraTimeout})
}

// errorBody returns the error in the body of a response, or one with CodeUnknown if the body holds none.
func (r rawResponse) errorBody() ErrorBody {
	var body ErrorBody
	if err := json.Unmarshal(r.body, &body); err != nil || body.Code == "" {
		return ErrorBody{Code: CodeUnknown, Message: fmt.Sprintf("status %d without a stated error", r.status)}
	}
	return body
}

// Error implements error.
func (b ErrorBody) Error() string { return fmt.Sprintf("%s: %s", b.Code, b.Message) }

// decode decodes the body of a successful response. For any other status it returns the ErrorBody as the error.
func decode[T any](r rawResponse) (T, error) {
	var message T
	if r.status != http.StatusOK {
		return message, r.errorBody()
	}
	if err := json.Unmarshal(r.body, &message); err != nil {
		return message, fmt.Errorf("decode answer: %w", err)
	}
	return message, nil
}

// classifyWriteError wraps the error of a request that may change the server's state. The result is an *UnavailableError
// if the request had no effect for certain, and otherwise an *UnknownOutcomeError.
func classifyWriteError(err error) error {
	var unsent *unsentError
	var errBody ErrorBody
	switch {
	case errors.As(err, &unsent):
		return &UnavailableError{Err: err}
	case errors.As(err, &errBody) && (errBody.Code == CodeRefused || errBody.Code == CodeInvalid):
		return &UnavailableError{Err: err}
	default:
		return &UnknownOutcomeError{Err: err}
	}
}

func joinURL(baseURL, path string) string { return strings.TrimSuffix(baseURL, "/") + path }

// guardedConn records whether a request wrote to the connection and can block further writes.
type guardedConn struct {
	net.Conn
	mu      sync.Mutex // guards the fields below; only locked by the methods of guardedConn
	written bool
	sealed  bool
}

var errSealed = errors.New("request was given up before it was sent")

// Write implements net.Conn.
func (c *guardedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.written = true
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// resetWritten is called when a new request starts to use the connection.
func (c *guardedConn) resetWritten() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.written = false
}

// seal blocks further writes and reports whether any was attempted since resetWritten.
func (c *guardedConn) seal() (written bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.written
}

// sendRecord records the connections that a request used, to decide whether a failed request may have been sent. The
// transport gets a connection each time it sends the request.
type sendRecord struct {
	mu    sync.Mutex // guards the fields below; only locked by the methods of sendRecord
	conns []net.Conn
}

func (r *sendRecord) gotConn(info httptrace.GotConnInfo) {
	if guarded, ok := info.Conn.(*guardedConn); ok {
		guarded.resetWritten()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conns = append(r.conns, info.Conn)
}

// sealUnsent seals the connections of a failed request and reports whether no byte of the request was sent. Without the
// seal the transport's writer could still write after the request's context has ended.
func (r *sendRecord) sealUnsent() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	sent := false
	for _, conn := range r.conns {
		guarded, ok := conn.(*guardedConn)
		if !ok || guarded.seal() {
			sent = true
		}
	}
	return !sent
}
