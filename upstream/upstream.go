// Package upstream holds the connections to one upstream and exchanges requests over them. It speaks HTTP/1.1 on its
// own connections, because http.Transport repeats requests on its own and hides whether bytes of a request have left.
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

// Header names that this system and its upstreams exchange.
const (
	HeaderRequestID = "Currantthread-Request-Id"
	HeaderTimeout   = "Currantthread-Timeout-Ms"
	HeaderLoad      = "Currantthread-Load"
	HeaderRefused   = "Currantthread-Refused"
)

// Values of HeaderRefused. Both promise that the request did not run.
const (
	refusedBusy    = "busy"
	refusedLeaving = "leaving"
)

// Reasons of a failed exchange.
const (
	// CodeConnectFailed means that no connection could be opened.
	CodeConnectFailed verdict.Code = "connect-failed"
	// CodeConnectionWait means that the request's time ran out before a connection was free.
	CodeConnectionWait verdict.Code = "connection-wait"
	// CodeConnectionLost means that the connection failed before the complete header of the answer.
	CodeConnectionLost verdict.Code = "connection-lost"
	// CodeConnectionSilent means that a reused connection gave no answer in the time that this upstream usually takes.
	CodeConnectionSilent verdict.Code = "connection-silent"
	// CodeTimeout means that the deadline passed before the complete header of the answer.
	CodeTimeout verdict.Code = "upstream-timeout"
	// CodeCancelled means that the caller left.
	CodeCancelled verdict.Code = "cancelled"
	// CodeCrossedAnswer means that the answer carried the ID of another request.
	CodeCrossedAnswer verdict.Code = "crossed-answer"
	// CodeMalformedAnswer means that the answer broke the protocol.
	CodeMalformedAnswer verdict.Code = "malformed-answer"
	// CodeTruncatedAnswer means that the answer's body ended early.
	CodeTruncatedAnswer verdict.Code = "truncated-answer"
	// CodeRequestBody means that the request's body could not be read to its end.
	CodeRequestBody verdict.Code = "request-body"
	// CodeBusy means that the upstream refused because it was full.
	CodeBusy verdict.Code = "upstream-busy"
	// CodeLeaving means that the upstream refused because it is about to go away.
	CodeLeaving verdict.Code = "upstream-leaving"
)

// DialFunc opens a connection to addr.
type DialFunc func(ctx context.Context, addr string) (net.Conn, error)

// Event is something that happened to a connection, for counters.
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
	EventRepeated    Event = "repeated"
)

// Config is the configuration of a Pool. Zero fields take defaults.
type Config struct {
	// MaxConns is the number of open connections, in use and idle together. Default 1.
	MaxConns int
	// IdleCheck is the idle time after which a connection carries no non-idempotent request. Default 2 s.
	IdleCheck time.Duration
	// IdleTimeout is the idle time after which a connection is closed. Default 30 s.
	IdleTimeout time.Duration
	// DialTimeout is the longest time to open a connection. Default 2 s.
	DialTimeout time.Duration
	// MayRepeat is asked before a request is repeated on a new connection after a reused one gave no answer. Nil allows
	// every repeat.
	MayRepeat func() bool
	// OnEvent is called for each event; it must be safe for concurrent use. Nil ignores events.
	OnEvent func(Event)
	// OnBytes is called with the bytes that went either way; it must be safe for concurrent use. Nil ignores them.
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
	if c.MayRepeat == nil {
		c.MayRepeat = func() bool { return true }
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
	// ID is sent in HeaderRequestID and compared with the answer's.
	ID     string
	Method string
	// URL holds the path and query; its host is not used.
	URL  *url.URL
	Host string
	// Header must not hold hop-by-hop headers. Do sets the headers of this system in it.
	Header http.Header
	// ContentLength is the length of the body; -1 means unknown.
	ContentLength int64
	// Body returns the body from its start, or an error if it cannot be read again. Nil means no body.
	Body func() (io.ReadCloser, error)
	// StopBody makes a blocked read of the body return. It is called when the exchange ends before the body; Do and the
	// answer's body wait for the read to return, so the body is not used after them. Nil if reads never block for long.
	StopBody func()
	// Idempotent allows the request to run more than once.
	Idempotent bool
}

// Response is an answer whose complete header has arrived.
type Response struct {
	StatusCode int
	Header     http.Header
	// ContentLength is the length of the body; -1 means unknown.
	ContentLength int64
	// Body must be read to io.EOF or closed. Any other error of Read is a *verdict.Error: the answer is incomplete.
	Body io.ReadCloser
	// Trailer is filled once Body has returned io.EOF.
	Trailer http.Header
	// RequestUnfinished is set if the answer came before the request's body was sent to its end.
	RequestUnfinished bool
	// Load is what the upstream reported.
	Load Load
}

// Refusal is the cause of an error with CodeBusy or CodeLeaving.
type Refusal struct {
	Reason string
	// Load is what the upstream reported with the refusal.
	Load Load
}

// Error implements error.
func (r *Refusal) Error() string { return "the upstream refused the request: " + r.Reason }
