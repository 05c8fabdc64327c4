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

// errCallerDisconnected means that the caller's connection failed while a response was forwarded to it.
var errCallerDisconnected = errors.New("the caller closed its connection")

const copyBufferSize = 32 << 10 // bytes

var copyBuffers = sync.Pool{New: func() any { return new([copyBufferSize]byte) }}

// forwardResponse copies an upstream's response to the caller. If keep is set and the response is complete and short
// enough, it returns the response to store for repeated requests. If it returns an error, the caller's connection must
// be aborted, because an incomplete response must not look complete.
func (c *call) forwardResponse(resp *upstream.Response, keep bool) (*keptResponse, error) {
	defer func() { _ = resp.Body.Close() }()
	c.verdict = verdict.Ran
	c.status = resp.StatusCode
	header := c.responseHeader(resp.Header)
	if resp.StatusCode == http.StatusNoContent {
		header.Del(echo.HeaderContentLength)
	}
	if resp.RequestIncomplete {
		// The rest of the request body is not read, so the connection can't be reused.
		header.Set(echo.HeaderConnection, "close")
	}
	copier := &responseCopier{call: c, flush: resp.ContentLength < 0}
	if keep {
		copier.kept = &bytes.Buffer{}
	}
	c.writer.WriteHeader(resp.StatusCode)
	if err := copier.copy(resp.Body); err != nil {
		return nil, err
	}
	for name, values := range resp.Trailer {
		header[http.TrailerPrefix+name] = values
	}
	if copier.kept == nil {
		return nil, nil
	}
	return &keptResponse{Status: resp.StatusCode, Header: keptHeader(resp.Header), Body: copier.kept.Bytes()}, nil
}

// bodyAllowed reports whether a response with this status may have a body.
func bodyAllowed(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}

// responseHeader copies the header of an upstream's response to the caller's response and adds this system's headers.
func (c *call) responseHeader(from http.Header) http.Header {
	removeHopHeaders(from)
	header := c.writer.Header()
	for name, values := range from {
		header[name] = values
	}
	delete(header, upstream.HeaderLoad)
	delete(header, upstream.HeaderRefused)
	if _, ok := header[echo.HeaderContentType]; !ok {
		// A nil value keeps net/http from detecting a content type.
		header[echo.HeaderContentType] = nil
	}
	header.Set(verdict.Header, verdict.Ran.String())
	header.Set(upstream.HeaderRequestID, c.id)
	c.server.setConnection(header)
	if deadline, ok := c.ctx.Deadline(); ok {
		// A caller that stops reading must not block the upstream connection forever.
		_ = c.controller.SetWriteDeadline(deadline.Add(responseGrace))
	}
	return header
}

// keptHeader returns the headers to store for repeated requests, without those specific to this exchange.
func keptHeader(from http.Header) http.Header {
	kept := from.Clone()
	for _, name := range []string{upstream.HeaderRequestID, upstream.HeaderLoad, upstream.HeaderTimeout, verdict.Header, "Date", echo.HeaderContentLength} {
		kept.Del(name)
	}
	return kept
}

// responseCopier copies the body of a response to the caller.
type responseCopier struct {
	call *call
	// flush is set if each chunk must be sent at once because the upstream may be streaming.
	flush bool
	// kept buffers the body for repeated requests; nil if the body is not kept or is too large.
	kept *bytes.Buffer
	// disconnected is set after a write to the caller has failed.
	disconnected bool
}

func (r *responseCopier) copy(body io.Reader) error {
	buf := copyBuffers.Get().(*[copyBufferSize]byte)
	defer copyBuffers.Put(buf)
	if r.flush {
		_ = r.call.controller.Flush()
	}
	for {
		n, err := body.Read(buf[:])
		if n > 0 {
			r.forward(buf[:n])
		}
		switch {
		case err == io.EOF && !r.disconnected:
			return nil
		case err == io.EOF:
			return r.endDisconnected()
		case err != nil:
			return err
		case r.disconnected && r.call.idempotent:
			return errCallerDisconnected
		}
	}
}

// endDisconnected finishes a response that was read to the end after its caller disconnected. The response is complete,
// so it is stored with the claim.
func (r *responseCopier) endDisconnected() error {
	r.call.status = statusClientClosed
	return nil
}

func (r *responseCopier) forward(piece []byte) {
	if r.kept != nil && r.kept.Len()+len(piece) > maxKeptResponse {
		r.kept = nil
	}
	if r.kept != nil {
		r.kept.Write(piece)
	}
	if r.disconnected {
		return
	}
	if _, err := r.call.writer.Write(piece); err != nil {
		r.disconnected = true
		return
	}
	if r.flush {
		r.disconnected = r.call.controller.Flush() != nil
	}
}

// writeKept sends the stored response of the first request to the caller of a repeated request.
func (c *call) writeKept(kept *keptResponse) {
	c.verdict = verdict.Ran
	c.status = kept.Status
	header := c.responseHeader(kept.Header)
	if bodyAllowed(kept.Status) {
		header.Set(echo.HeaderContentLength, strconv.Itoa(len(kept.Body)))
	}
	c.writer.WriteHeader(kept.Status)
	_, _ = c.writer.Write(kept.Body)
}

// abort closes the caller's connection so that no client mistakes the incomplete response for a complete one.
func (c *call) abort() {
	c.status = 0
	// In HTTP/1.0 closing the connection ends the body, so only a reset shows that the body is incomplete.
	if conn, ok := c.request.Context().Value(callerConnKey{}).(*callerConn); ok && !c.request.ProtoAtLeast(1, 1) {
		conn.reset()
	}
	panic(http.ErrAbortHandler)
}

// callerConnKey is the context key of the caller's connection.
type callerConnKey struct{}
