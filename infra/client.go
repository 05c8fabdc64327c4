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
	// idleConnTimeout bounds how long an unused connection is kept. Devices on the path may lose the state of idle
	// connections, and a commit on such a connection ends with an unknown outcome.
	idleConnTimeout = 10 * time.Second
	// maxIdleConns bounds the unused connections to one server.
	maxIdleConns = 16
)

// client sends requests with one deadline each and tells whether a failed request may have reached the server.
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
	// once forbids the transport to send the request again by itself.
	once bool
	// extra is added to the client's timeout.
	extra time.Duration
	// etag, if set, asks for an answer only if it differs from the one with this entity tag.
	etag string
}

// answer is a complete answer.
type answer struct {
	status int
	body   []byte
	etag   string
}

// unsentError is a failure before the first byte of the request was handed to the network.
type unsentError struct{ err error }

func (e *unsentError) Error() string { return fmt.Sprintf("request was not sent: %v", e.err) }
func (e *unsentError) Unwrap() error { return e.err }

// do returns the complete answer to c. Its error is an *unsentError if surely no byte of the request was sent.
func (cl *client) do(ctx context.Context, c call) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, cl.timeout+c.extra)
	defer cancel()
	var sent sendRecord
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: sent.gotConn})
	req, err := cl.request(ctx, c)
	if err != nil {
		return answer{}, &unsentError{err}
	}
	result, err := cl.exchange(req)
	if err == nil {
		return result, nil
	}
	if sent.nothing() {
		return answer{}, &unsentError{err}
	}
	if ctx.Err() != nil {
		// The path may have lost the state of other unused connections as well.
		cl.transport.CloseIdleConnections()
	}
	return answer{}, err
}

func (cl *client) request(ctx context.Context, c call) (*http.Request, error) {
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
	if c.once {
		// Without GetBody the transport has no second copy of the body to send.
		req.GetBody = nil
	} else {
		// An empty value marks the request as repeatable for the transport and is not sent.
		req.Header["Idempotency-Key"] = []string{}
	}
	return req, nil
}

func (cl *client) exchange(req *http.Request) (answer, error) {
	res, err := cl.http.Do(req)
	if err != nil {
		return answer{}, err
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(res.Body, MaxMessageBytes+1))
	if err != nil {
		return answer{}, err
	}
	if len(body) > MaxMessageBytes {
		return answer{}, fmt.Errorf("answer exceeds %d bytes", MaxMessageBytes)
	}
	want := req.Header.Get(HeaderRequestID)
	if got := res.Header.Get(HeaderRequestID); got != "" && got != want {
		cl.transport.CloseIdleConnections()
		return answer{}, fmt.Errorf("answer to request %s arrived for request %s", got, want)
	}
	return answer{status: res.StatusCode, body: body, etag: res.Header.Get("ETag")}, nil
}

// post sends a JSON message.
func (cl *client) post(ctx context.Context, url string, message any, once bool, extra time.Duration) (answer, error) {
	body, err := json.Marshal(message)
	if err != nil {
		return answer{}, &unsentError{err}
	}
	return cl.do(ctx, call{method: http.MethodPost, url: url, body: body, once: once, extra: extra})
}

// errorBody returns the stated error of an answer. An answer without one has CodeUnknown.
func (a answer) errorBody() ErrorBody {
	var body ErrorBody
	if err := json.Unmarshal(a.body, &body); err != nil || body.Code == "" {
		return ErrorBody{Code: CodeUnknown, Message: fmt.Sprintf("status %d without a stated error", a.status)}
	}
	return body
}

// Error implements error.
func (b ErrorBody) Error() string { return fmt.Sprintf("%s: %s", b.Code, b.Message) }

// decode reads the message of a successful answer.
func decode[T any](a answer) (T, error) {
	var message T
	if a.status != http.StatusOK {
		return message, a.errorBody()
	}
	if err := json.Unmarshal(a.body, &message); err != nil {
		return message, fmt.Errorf("decode answer: %w", err)
	}
	return message, nil
}

// writeError types the error of a request that may change the server's state.
func writeError(err error) error {
	var unsent *unsentError
	var stated ErrorBody
	switch {
	case errors.As(err, &unsent):
		return &UnavailableError{Err: err}
	case errors.As(err, &stated) && (stated.Code == CodeRefused || stated.Code == CodeInvalid):
		return &UnavailableError{Err: err}
	default:
		return &UnknownOutcomeError{Err: err}
	}
}

func joinURL(baseURL, path string) string { return strings.TrimSuffix(baseURL, "/") + path }

// guardedConn records whether a request wrote to the connection and can forbid further writes.
type guardedConn struct {
	net.Conn
	mu      sync.Mutex // owned by the methods below
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

func (c *guardedConn) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.written = false
}

// seal forbids further writes and reports whether any was tried since begin.
func (c *guardedConn) seal() (written bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.written
}

// sendRecord tells whether a failed request may have been sent. The transport gets a connection once for each time that
// it sends the request.
type sendRecord struct {
	mu    sync.Mutex // owned by the methods below
	conns []net.Conn
}

func (r *sendRecord) gotConn(info httptrace.GotConnInfo) {
	if guarded, ok := info.Conn.(*guardedConn); ok {
		guarded.begin()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conns = append(r.conns, info.Conn)
}

// nothing reports that no byte of the failed request was sent, and makes sure that none will be: the transport's writer
// may still be about to write when the request's context ends.
func (r *sendRecord) nothing() bool {
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
