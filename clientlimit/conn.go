package clientlimit

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

// Reasons of the metric of closed connections and refused requests.
const (
	reasonPressure   = "budget"         // closed because a budget was used up
	reasonMemory     = "refused"        // refused because nothing else could be closed
	reasonHeadBytes  = "header_bytes"   // head larger than allowed
	reasonHeadTime   = "header_timeout" // head took too long
	reasonEmptyLines = "empty_lines"
	reasonIdle       = "idle_timeout"
	reasonBodyBytes  = "body_bytes"
	reasonBodyTime   = "body_timeout"  // body made no progress
	reasonWriteTime  = "write_timeout" // response was not read
)

// reported replaces reasonBodyTime once the handler knows of it. net/http tries to read the rest of the body afterwards.
const reported = "reported"

const (
	// bufferedBytes is the size of net/http's read buffer, which may hold the start of the next request.
	bufferedBytes = 4 << 10
	// lingerTime and lingerBytes bound what is read and discarded after a refusal. Closing a connection with unread bytes resets it, and
	// the client could lose the response.
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 2 << 20
)

type phase int

const (
	waiting phase = iota // for the first byte of a request
	inHead
	serving   // net/http has parsed the head
	lingering // net/http has closed the connection, and what the client still sends is discarded
)

// Conn is a connection of a client.
type Conn struct {
	net.Conn
	limiter *Limiter

	// The mutex of limiter guards the fields below.
	index int
	held  int64
	phase phase
	// ending is set once the limiter has closed the connection. What it holds stays charged until net/http closes it too, because only then
	// the memory is free. gone is set once that has happened.
	ending, gone bool
	refused      bool // a refusal was sent
	// since is when the phase began, progress when the connection last made progress, and paused when its body was last not being read.
	since, progress, paused time.Time
	unmarked                int // bytes of a body since progress
	head                    headScan
	reused                  bool   // this is not the first request
	reading, writing        bool   // a body is being read, or a response written
	expired                 string // reason why reading was ended
	// waiter is what the connection needs while it waits for memory, and interrupt ends the wait of a request for its turn to be decoded.
	waiter    *waiter
	interrupt context.CancelFunc
}

// closable reports whether the connection may be closed for another one. Requests that are being served are not. The caller holds the mutex.
func (c *Conn) closable() bool {
	return !c.ending && (c.phase != serving || c.reading || c.writing || c.waiter != nil || c.interrupt != nil)
}

// weight is what the connection holds times how long it made no progress.
func (c *Conn) weight(now time.Time) float64 {
	return float64(c.held) * (now.Sub(c.progress) + time.Millisecond).Seconds()
}

// overdue returns why the connection must be closed now, or "". The caller holds the mutex.
func (c *Conn) overdue(now time.Time, limits Limits) string {
	switch {
	case c.ending:
		return ""
	case c.writing && now.Sub(c.progress) >= writeTimeout:
		return reasonWriteTime
	case c.phase == waiting && now.Sub(c.since) >= limits.IdleTimeout:
		return reasonIdle
	case c.phase == inHead && now.Sub(c.since) >= limits.HeaderTimeout:
		return reasonHeadTime
	case c.phase == serving && c.reading && now.Sub(c.progress) >= progressTimeout:
		return reasonBodyTime
	}
	return ""
}

// expire makes the pending read fail. The caller holds the mutex.
func (c *Conn) expire(reason string) {
	c.expired = reason
	_ = c.SetReadDeadline(time.Unix(1, 0)) // a closed connection is read no more
}

// Read implements net.Conn.
func (c *Conn) Read(buf []byte) (int, error) {
	// net/http reads single bytes only while it serves a request, to detect that the client has gone.
	body := len(buf) > 1 && c.beginBodyRead()
	n, err := c.Conn.Read(buf)
	if err != nil {
		return n, c.readError(err, body)
	}
	if refusal := c.received(buf[:n], body); refusal != nil {
		return 0, refusal
	}
	return n, nil
}

// beginBodyRead records that a body is being read, if the connection is past the head of a request.
func (c *Conn) beginBodyRead() bool {
	l := c.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.phase != serving {
		return false
	}
	// Time for which the body was not being read is not the client's.
	now := time.Now()
	c.progress = c.progress.Add(now.Sub(c.paused))
	c.reading = true
	return true
}

// received accounts for bytes. An error ends the connection after its refusal was written.
func (c *Conn) received(buf []byte, body bool) error {
	l := c.limiter
	now := time.Now()
	l.mu.Lock()
	if c.ending || c.gone {
		l.mu.Unlock()
		return net.ErrClosed
	}
	if c.phase == serving {
		if body {
			c.reading, c.paused = false, now
			if c.unmarked += len(buf); c.unmarked >= progressBytes {
				c.unmarked, c.progress = 0, now
			}
		}
		l.mu.Unlock()
		return nil
	}
	grown, status, reason := c.receivedHead(buf, now)
	l.mu.Unlock()
	if reason != "" {
		return c.refuse(status, reason)
	}
	err := l.charge(c, grown)
	if errors.Is(err, ErrBudget) {
		return c.refuse(http.StatusServiceUnavailable, reasonMemory)
	}
	return err
}

// receivedHead records bytes of a head. It returns by how much they raise what the head costs, or why the request must be refused. The
// caller holds the mutex.
func (c *Conn) receivedHead(buf []byte, now time.Time) (grown int64, status int, reason string) {
	l := c.limiter
	bytes, lines := c.head.bytes, c.head.lines
	c.head.feed(buf)
	if c.phase == waiting && c.head.started() {
		c.phase, c.since, c.progress = inHead, now, now
	}
	limit := l.limits.HeaderBytes
	if c.reused {
		// The buffer of net/http may have held the start of the head, so bytes of the body may be counted.
		limit += bufferedBytes
	}
	switch {
	case c.head.bytes > limit:
		return 0, http.StatusRequestHeaderFieldsTooLarge, reasonHeadBytes
	case c.head.empty > maxEmptyLines:
		return 0, http.StatusBadRequest, reasonEmptyLines
	}
	return int64(c.head.bytes-bytes) + int64(c.head.lines-lines)*lineCost, 0, ""
}

// refuse responds to a request that no handler has seen, and returns the error with which net/http ends the connection. net/http holds the
// head until then, so the rest of the request is not discarded here but by Close.
func (c *Conn) refuse(status int, reason string) error {
	l := c.limiter
	l.closed.WithLabelValues(reason).Inc()
	_, err := c.Write(l.Refusal(status))
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok && err == nil {
		_ = half.CloseWrite() // the connection is closed soon
	}
	l.mu.Lock()
	c.refused = true
	l.mu.Unlock()
	return io.EOF
}

// refusal is the default response to a request that is refused.
func refusal(status int) []byte {
	body := fmt.Sprintf(`{"error":%q}`, http.StatusText(status))
	var retry string
	if status == http.StatusServiceUnavailable {
		retry = fmt.Sprintf("Retry-After: %d\r\n", int(RetryAfter().Seconds()))
	}
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\nConnection: close\r\n%s\r\n%s",
		status, http.StatusText(status), len(body), retry, body)
}

// maxRetryAfter is the longest RetryAfter.
const maxRetryAfter = 4 * time.Second

// RetryAfter returns when a client that was refused for a budget may return, in whole seconds. It is random, so that clients that were
// refused together don't return together.
func RetryAfter() time.Duration {
	return time.Second * time.Duration(1+rand.IntN(int(maxRetryAfter/time.Second)))
}

// linger discards what the client still sends, and closes the connection.
func (c *Conn) linger() {
	_ = c.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes) // ends with an error unless the client sends all of it
	_ = c.closeNow()
}

// readError returns the error for a failed read. It responds if a head took too long.
func (c *Conn) readError(err error, body bool) error {
	l := c.limiter
	l.mu.Lock()
	reason := c.expired
	if reason == reasonBodyTime {
		c.expired = reported
	}
	if body {
		c.reading, c.paused = false, time.Now()
	}
	l.mu.Unlock()
	switch reason {
	case "":
		return err
	case reasonHeadTime:
		return c.refuse(http.StatusRequestTimeout, reason)
	case reasonBodyTime:
		l.closed.WithLabelValues(reason).Inc()
		return ErrBodyTimeout
	case reported:
		return ErrBodyTimeout
	}
	l.closed.WithLabelValues(reason).Inc()
	return io.EOF
}

// Write implements net.Conn.
func (c *Conn) Write(buf []byte) (written int, err error) {
	defer c.setWriting(false)
	for err == nil && written < len(buf) {
		if c.setWriting(true) {
			// net/http responds to a request whose head it could not read.
			return written, net.ErrClosed
		}
		var n int
		n, err = c.Conn.Write(buf[written:min(len(buf), written+writeChunk)])
		written += n
	}
	return written, err
}

// setWriting reports whether a refusal was sent, after which nothing may follow.
func (c *Conn) setWriting(writing bool) (refused bool) {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	c.writing, c.progress = writing, time.Now()
	return c.refused
}

// Close implements net.Conn. net/http calls it once it holds nothing of the request any more.
func (c *Conn) Close() error {
	l := c.limiter
	l.mu.Lock()
	lingers := c.refused && c.phase != lingering && !c.ending && !c.gone
	if lingers {
		c.phase = lingering
		c.releaseRequest()
	}
	l.mu.Unlock()
	if lingers {
		go c.linger()
		return nil
	}
	return c.closeNow()
}

// closeNow closes the connection and gives back what it holds.
func (c *Conn) closeNow() error {
	c.limiter.mu.Lock()
	c.limiter.removeOne(c)
	c.limiter.mu.Unlock()
	return c.Conn.Close()
}

// releaseRequest gives back all but the cost of the connection itself. The caller holds the mutex.
func (c *Conn) releaseRequest() { c.limiter.release(c, c.held-connCost) }

// ConnState follows the requests of a connection. It is the hook of http.Server.
func ConnState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*Conn)
	if !ok || state != http.StateActive && state != http.StateIdle {
		return
	}
	now := time.Now()
	l := c.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.expired != "" && !c.ending && !c.gone {
		// The timeout was that of the former phase, and the request has been faster.
		c.expired = ""
		_ = c.SetReadDeadline(time.Time{}) // a closed connection is read no more
	}
	c.since, c.progress, c.paused, c.unmarked = now, now, now, 0
	if state == http.StateActive {
		c.phase = serving
		return
	}
	c.phase, c.head, c.reused = waiting, headScan{}, true
	c.releaseRequest()
}
