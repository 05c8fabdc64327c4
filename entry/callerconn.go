package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/currantthread/currantthread/clientlimit"
	"github.com/currantthread/currantthread/limit"
	"github.com/currantthread/currantthread/upstream"
	"github.com/currantthread/currantthread/verdict"
)

// netHTTPRefusal is the end of the header of every response that net/http sends without calling a handler: for
// malformed requests, oversized headers and unknown transfer encodings.
var netHTTPRefusal = []byte("\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n")

// callerListener accepts callers' connections.
type callerListener struct {
	net.Listener
	server *Server
}

// CallerListener wraps a listener so that its connections are bounded, and requests that net/http rejects before calling a
// handler get an error response with a verdict, as all other refused requests do.
func (s *Server) CallerListener(listener net.Listener) net.Listener {
	return s.clients.Listener(&callerListener{Listener: listener, server: s})
}

// headerSlack is added to the limit of a header for clientlimit, which counts white space as it was sent. Handlers apply the
// limit itself.
const headerSlack = 4 << 10

// applyClientLimits passes the active settings to the limiter of callers' connections.
func (s *Server) applyClientLimits() {
	s.clients.SetLimits(clientlimit.Limits{HeaderBytes: int(s.cfg.Settings().Entry.MaxHeaderBytes) + headerSlack,
		HeaderTimeout: callerReadHeaderTimeout, IdleTimeout: callerIdleTimeout})
}

// callerConnOf returns the caller's connection that the limiter has wrapped.
func callerConnOf(conn net.Conn) (*callerConn, bool) {
	limited, ok := conn.(*clientlimit.Conn)
	if !ok {
		return nil, false
	}
	c, ok := limited.Conn.(*callerConn)
	return c, ok
}

// Accept implements net.Listener.
func (l *callerListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.server.applyClientLimits()
	return &callerConn{Conn: accepted, server: l.server}, nil
}

// SyscallConn implements syscall.Conn, with which clientlimit bounds the buffers of sockets.
func (l *callerListener) SyscallConn() (syscall.RawConn, error) {
	socket, ok := l.Listener.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return socket.SyscallConn()
}

// callerConn is one connection of a caller.
type callerConn struct {
	net.Conn
	server *Server
	// responding is set from the start of a handler until its response is sent, so that the body of a response is never
	// mistaken for an error response of net/http.
	responding atomic.Bool
	// scanner is used only by the goroutine that reads the connection; net/http runs one read at a time.
	scanner headerScanner
}

// Read implements net.Conn.
func (c *callerConn) Read(buf []byte) (int, error) {
	n, err := c.Conn.Read(buf)
	if !c.responding.Load() {
		c.scanner.feed(buf[:n])
	}
	return n, err
}

// Write implements net.Conn.
func (c *callerConn) Write(buf []byte) (int, error) {
	if c.responding.Load() || !bytes.HasPrefix(buf, []byte("HTTP/1.1 ")) {
		return c.Conn.Write(buf)
	}
	statusLine, _, ok := bytes.Cut(buf, netHTTPRefusal)
	if !ok || bytes.ContainsAny(statusLine, "\r\n") {
		return c.Conn.Write(buf)
	}
	status := string(statusLine[len("HTTP/1.1 "):])
	if _, err := c.Conn.Write(c.server.refusal(status)); err != nil {
		return 0, err
	}
	if strings.HasPrefix(status, strconv.Itoa(http.StatusRequestHeaderFieldsTooLarge)) {
		// The caller is probably still sending the header.
		c.linger()
	}
	return len(buf), nil
}

// lingerTime bounds how long a connection stays open for a caller that is still sending after its response is complete.
const lingerTime = 500 * time.Millisecond

// linger reads and discards what the caller still sends. Closing a connection with unread bytes resets it, and the
// caller could lose the response.
func (c *callerConn) linger() {
	_ = c.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.Copy(io.Discard, c.Conn)
	_ = c.SetReadDeadline(time.Unix(1, 0))
}

// SetLinger is that of a TCP connection, with which clientlimit discards what a closed connection still holds.
func (c *callerConn) SetLinger(sec int) error {
	if tcp, ok := c.Conn.(interface{ SetLinger(sec int) error }); ok {
		return tcp.SetLinger(sec)
	}
	return nil
}

// CloseWrite ends the sending side if the transport supports it.
func (c *callerConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// reset closes the connection with a TCP reset if the transport supports it, so that the caller gets an error instead
// of the end of the stream.
func (c *callerConn) reset() {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// refusal returns the complete response that replaces an error response of net/http with this status.
func (s *Server) refusal(status string) []byte {
	code, message, retry := codeBadRequest, "the request is malformed: "+status, ""
	number, err := strconv.Atoi(status[:min(len(status), len("000"))])
	if err != nil || number >= http.StatusInternalServerError && number != http.StatusServiceUnavailable {
		number = http.StatusBadRequest
	}
	switch number {
	case http.StatusRequestHeaderFieldsTooLarge:
		code = codeHeaderTooLarge
	case http.StatusRequestTimeout:
		message = "the header of the request took too long"
	case http.StatusServiceUnavailable:
		code, message = limit.CodeOverloaded, "the memory for requests is used up"
		retry = fmt.Sprintf("%s: %d\r\n", echo.HeaderRetryAfter, int(clientlimit.RetryAfter().Seconds()))
	}
	id := s.nextRequestID()
	s.metrics.refusals.WithLabelValues(unknownService, string(code)).Inc()
	body, err := json.Marshal(refusalBody{Verdict: verdict.NotRun.String(), Code: code, Message: message, RequestID: id})
	if err != nil {
		body = nil
	}
	header := fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\nConnection: close\r\n%s%s: %s\r\n%s: %s\r\n\r\n",
		number, http.StatusText(number), len(body), retry, verdict.Header, verdict.NotRun, upstream.HeaderRequestID, id)
	return append([]byte(header), body...)
}

// connContext stores the caller's connection in the context of its requests.
func connContext(ctx context.Context, conn net.Conn) context.Context {
	if c, ok := callerConnOf(conn); ok {
		ctx = context.WithValue(ctx, callerConnKey{}, c)
	}
	return clientlimit.ConnContext(ctx, conn)
}

// connState resets the per-request state of a connection that waits for the next request.
func connState(conn net.Conn, state http.ConnState) {
	if c, ok := callerConnOf(conn); ok && state == http.StateIdle {
		c.responding.Store(false)
		c.scanner = headerScanner{}
		c.server.applyClientLimits()
	}
	clientlimit.ConnState(conn, state)
}

// markResponding records that a handler is responding on the request's connection. It reports whether the request's
// header has both Content-Length and Transfer-Encoding.
func markResponding(r *http.Request) (conflicting bool) {
	c, ok := r.Context().Value(callerConnKey{}).(*callerConn)
	if !ok {
		return false
	}
	c.responding.Store(true)
	return c.scanner.conflicting()
}
