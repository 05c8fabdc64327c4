package entry

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"

	"github.com/labstack/echo/v4"

	"github.com/currantthread/currantthread/upstream"
	"github.com/currantthread/currantthread/verdict"
)

// errCallerGone means that the caller's connection failed while an answer was passed on.
var errCallerGone = errors.New("the caller is gone")

const copyBufferSize = 32 << 10

var copyBuffers = sync.Pool{New: func() any { return new([copyBufferSize]byte) }}

// answer passes an answer on. It returns the answer to keep for repeats if keep is set and it is complete and short.
// The error is nil after the complete answer was read; otherwise the caller's connection must be aborted, because the
// answer must not look complete.
func (c *call) answer(resp *upstream.Response, keep bool) (*keptAnswer, error) {
	defer func() { _ = resp.Body.Close() }()
	c.verdict = verdict.Ran
	c.status = resp.StatusCode
	header := c.answerHeader(resp.Header)
	if resp.StatusCode == http.StatusNoContent {
		header.Del(echo.HeaderContentLength)
	}
	if resp.RequestUnfinished {
		// The rest of the request is not read, so its connection cannot carry another one.
		header.Set(echo.HeaderConnection, "close")
	}
	copier := &answerCopier{call: c, flush: resp.ContentLength < 0}
	if keep {
		copier.kept = &bytes.Buffer{}
	}
	c.w.WriteHeader(resp.StatusCode)
	if err := copier.copy(resp.Body); err != nil {
		return nil, err
	}
	for name, values := range resp.Trailer {
		header[http.TrailerPrefix+name] = values
	}
	if copier.kept == nil {
		return nil, nil
	}
	return &keptAnswer{Status: resp.StatusCode, Header: keptHeader(resp.Header), Body: copier.kept.Bytes()}, nil
}

// bodyAllowed reports whether answers with a status may have a body.
func bodyAllowed(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}

// answerHeader copies the header of an upstream's answer to the caller.
func (c *call) answerHeader(from http.Header) http.Header {
	removeHopHeaders(from)
	header := c.w.Header()
	for name, values := range from {
		header[name] = values
	}
	delete(header, upstream.HeaderLoad)
	delete(header, upstream.HeaderRefused)
	if _, ok := header[echo.HeaderContentType]; !ok {
		// A nil value keeps net/http from guessing a type.
		header[echo.HeaderContentType] = nil
	}
	header.Set(verdict.Header, verdict.Ran.String())
	header.Set(upstream.HeaderRequestID, c.id)
	c.server.setConnection(header)
	if deadline, ok := c.ctx.Deadline(); ok {
		// A caller that stops reading must not hold the upstream's connection for ever.
		_ = c.rc.SetWriteDeadline(deadline.Add(answerGrace))
	}
	return header
}

// keptHeader returns the headers that repeats get. Ones that name this exchange are left out.
func keptHeader(from http.Header) http.Header {
	kept := from.Clone()
	for _, name := range []string{upstream.HeaderRequestID, upstream.HeaderLoad, upstream.HeaderTimeout, verdict.Header, "Date", echo.HeaderContentLength} {
		kept.Del(name)
	}
	return kept
}

// answerCopier copies the body of an answer to the caller.
type answerCopier struct {
	call *call
	// flush sends each piece at once, because the upstream may be streaming.
	flush bool
	// kept collects the body for repeats; nil if it is not wanted or too large.
	kept *bytes.Buffer
	// gone is set when the caller cannot be reached any more.
	gone bool
}

func (a *answerCopier) copy(body io.Reader) error {
	buf := copyBuffers.Get().(*[copyBufferSize]byte)
	defer copyBuffers.Put(buf)
	if a.flush {
		_ = a.call.rc.Flush()
	}
	for {
		n, err := body.Read(buf[:])
		if n > 0 {
			a.pass(buf[:n])
		}
		switch {
		case err == io.EOF && !a.gone:
			return nil
		case err == io.EOF:
			return a.endGone()
		case err != nil:
			return err
		case a.gone && a.call.idempotent:
			return errCallerGone
		}
	}
}

// endGone ends an answer whose caller left. It was read to the end, so it counts as complete for a claim.
func (a *answerCopier) endGone() error {
	a.call.status = statusClientClosed
	return nil
}

func (a *answerCopier) pass(piece []byte) {
	if a.kept != nil && a.kept.Len()+len(piece) > maxKeptAnswer {
		a.kept = nil
	}
	if a.kept != nil {
		a.kept.Write(piece)
	}
	if a.gone {
		return
	}
	if _, err := a.call.w.Write(piece); err != nil {
		a.gone = true
		return
	}
	if a.flush {
		a.gone = a.call.rc.Flush() != nil
	}
}

// writeKept answers a repeat with the answer of the first request.
func (c *call) writeKept(kept *keptAnswer) {
	c.verdict = verdict.Ran
	c.status = kept.Status
	header := c.answerHeader(kept.Header)
	if bodyAllowed(kept.Status) {
		header.Set(echo.HeaderContentLength, strconv.Itoa(len(kept.Body)))
	}
	c.w.WriteHeader(kept.Status)
	_, _ = c.w.Write(kept.Body)
}

// abort closes the caller's connection in a way that no client takes for the end of an answer.
func (c *call) abort() {
	c.status = 0
	// HTTP/1.0 ends bodies by closing, so only a reset shows that this one is incomplete.
	if conn, ok := c.r.Context().Value(callerConnKey{}).(*callerConn); ok && !c.r.ProtoAtLeast(1, 1) {
		conn.reset()
	}
	panic(http.ErrAbortHandler)
}

// callerConnKey is the context key of the caller's connection.
type callerConnKey struct{}
