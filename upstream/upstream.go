// Package upstream implements the HTTP/1.1 client with which entry daemons send requests to upstreams. It has a
// connection pool for each upstream. It does not use http.Transport, which retries requests implicitly and does not
// report whether bytes of a failed request were sent.
package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/currantthread/currantthread/verdict"
)

// Headers of requests and responses that are specific to this system.
const (
	HeaderRequestID = "Currantthread-Request-Id"
	HeaderTimeout   = "Currantthread-Timeout-Ms"
	HeaderLoad      = "Currantthread-Load"
	HeaderRefused   = "Currantthread-Refused"
)

// Values of HeaderRefused. Both guarantee that the request did not run.
const (
	refusedBusy    = "busy"
	refusedLeaving = "leaving"
)

// Codes of failed exchanges.
const (
	// CodeConnectFailed means that no connection could be opened.
	CodeConnectFailed verdict.Code = "connect-failed"
	// CodeConnectionWait means that the request's deadline passed or its caller disconnected before it had a connection.
	CodeConnectionWait verdict.Code = "connection-wait"
	// CodeConnectionLost means that the connection failed before the complete header of the response arrived.
	CodeConnectionLost verdict.Code = "connection-lost"
	// CodeConnectionSilent means that no response arrived on a reused connection within a multiple of the usual latency.
	CodeConnectionSilent verdict.Code = "connection-silent"
	// CodeTimeout means that the deadline passed before the complete header of the response arrived.
	CodeTimeout verdict.Code = "upstream-timeout"
	// CodeCancelled means that the caller disconnected.
	CodeCancelled verdict.Code = "cancelled"
	// CodeCrossedResponse means that the response had the ID of another request.
	CodeCrossedResponse verdict.Code = "crossed-answer"
	// CodeMalformedResponse means that the response violated the protocol.
	CodeMalformedResponse verdict.Code = "malformed-answer"
	// CodeTruncatedResponse means that the body of the response was incomplete.
	CodeTruncatedResponse verdict.Code = "truncated-answer"
	// CodeRequestBody means that the body of the request could not be read completely.
	CodeRequestBody verdict.Code = "request-body"
	// CodeBusy means that the upstream refused the request because it was at capacity.
	CodeBusy verdict.Code = "upstream-busy"
	// CodeLeaving means that the upstream refused the request because it is about to shut down.
	CodeLeaving verdict.Code = "upstream-leaving"
)

// DialFunc opens a connection to addr.
type DialFunc func(ctx context.Context, addr string) (net.Conn, error)

// Event is an event of a connection, for metrics.
type Event string

// Events of connections.
const (
	EventDialed      Event = "dialed"
	EventDialFailed  Event = "dial_failed"
	EventReused      Event = "reused"
	EventReplaced    Event = "idle_replaced"
	EventFoundClosed Event = "idle_found_closed"
	EventLost        Event = "lost"
	EventSilent      Event = "silent"
	EventTimeout     Event = "timeout"
	EventCrossed     Event = "crossed"
	EventTruncated   Event = "truncated"
	EventMalformed   Event = "malformed"
	EventRetried     Event = "repeated"
)

// Config is the configuration of a Pool. Zero fields take defaults.
type Config struct {
	// MaxConns is the largest number of open connections, in use and idle. Default 1.
	MaxConns int
	// IdleCheck is the idle time after which a connection is not reused for non-idempotent requests. Default 2 s.
	IdleCheck time.Duration
	// IdleTimeout is the idle time after which a connection is closed. Default 30 s.
	IdleTimeout time.Duration
	// DialTimeout bounds the time to open a connection. Default 2 s.
	DialTimeout time.Duration
	// MayRetry is called before a request that may have run is retried on a new connection. It returns false to
	// prevent the retry. Nil allows all retries.
	MayRetry func() bool
	// OnEvent is called for each event; it must be safe for concurrent use. Nil ignores events.
	OnEvent func(Event)
	// OnBytes is called with the number of bytes sent or received; it must be safe for concurrent use. Nil ignores them.
	OnBytes func(n int)
}

const (
	defaultIdleCheck   = 2 * time.Second
	defaultIdleTimeout = 30 * time.Second
	defaultDialTimeout = 2 * time.Second
)

func (c Config) withDefaults() Config {
	c.MaxConns = max(c.MaxConns, 1)
	if c.IdleCheck <= 0 {
		c.IdleCheck = defaultIdleCheck
	}
	if c.IdleTimeout <= 0 {
		c.IdleTimeout = defaultIdleTimeout
	}
	if c.DialTimeout <= 0 {
		c.DialTimeout = defaultDialTimeout
	}
	if c.MayRetry == nil {
		c.MayRetry = func() bool { return true }
	}
	if c.OnEvent == nil {
		c.OnEvent = func(Event) {}
	}
	if c.OnBytes == nil {
		c.OnBytes = func(int) {}
	}
	return c
}

// Request is one request to an upstream.
type Request struct {
	// ID is sent in HeaderRequestID and compared with the ID in the response.
	ID     string
	Method string
	// URL contains the path and query; its host is not used.
	URL  *url.URL
	Host string
	// Header must not contain hop-by-hop headers. Do adds the headers of this system to it.
	Header http.Header
	// ContentLength is the length of the body; -1 means unknown.
	ContentLength int64
	// Body returns the body from its start, or an error if it cannot be read again. Nil means no body.
	Body func() (io.ReadCloser, error)
	// StopBody makes a blocked read of the body return. It is called if the exchange ends before the body does. Do and
	// the response's body wait for the read to return, so the body is not used after them. Nil if reads never block for
	// long.
	StopBody func()
	// Idempotent is set if the request may run more than once.
	Idempotent bool
}

// Response is a response whose complete header has arrived.
type Response struct {
	StatusCode int
	Header     http.Header
	// ContentLength is the length of the body; -1 means unknown.
	ContentLength int64
	// Body must be read to io.EOF or closed. Any other error of Read is a *verdict.Error and means that the response is
	// incomplete.
	Body io.ReadCloser
	// Trailer is filled once Body has returned io.EOF.
	Trailer http.Header
	// RequestIncomplete is set if the response arrived before the request's body was sent completely.
	RequestIncomplete bool
	// Load is the load that the upstream reported.
	Load Load
}

// Refusal is the cause of an error with CodeBusy or CodeLeaving.
type Refusal struct {
	Reason string
	// Load is the load that the upstream reported with the refusal.
	Load Load
}

// Error implements error.
func (r *Refusal) Error() string { return "the upstream refused the request: " + r.Reason }
