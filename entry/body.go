package entry

import (
	"errors"
	"io"
	"net/http"
	"os"

	"github.com/currantthread/currantthread/clientlimit"
	"github.com/currantthread/currantthread/limit"
	"github.com/currantthread/currantthread/upstream"
	"github.com/currantthread/currantthread/verdict"
)

var (
	errBodyTooLarge      = errors.New("the request's body is larger than allowed")
	errBodyNotReplayable = errors.New("the request's body is too large to be sent again")
)

// callBody is the body of a caller's request. It buffers the beginning of the body up to a limit, so that the request
// can be retried. It is not safe for concurrent use.
type callBody struct {
	source io.Reader
	// length is the declared length in bytes; -1 means unknown.
	length int64
	// remaining is how many more bytes may be read before the body exceeds the size limit.
	remaining int64
	// kept holds the beginning of the body, at most keepLimit bytes.
	kept      []byte
	keepLimit int
	// overflow is set once bytes were read that are not kept, because of keepLimit or because callers hold too much.
	overflow bool
	// err is the final error of the source: io.EOF after the complete body.
	err error
	// charge charges the connection for bytes that are kept.
	charge func(bytes int64) error
	// digest receives all bytes read from the source; nil if no digest is needed.
	digest io.Writer
}

func newCallBody(r *http.Request, maxBytes, keepLimit int64) *callBody {
	b := &callBody{source: r.Body, length: r.ContentLength, remaining: maxBytes, keepLimit: int(keepLimit),
		charge: clientlimit.ConnOf(r.Context()).Charge}
	if r.ContentLength == 0 || r.Body == nil || r.Body == http.NoBody {
		b.length = 0
		b.err = io.EOF
	}
	return b
}

// complete reports whether all of the body is kept.
func (b *callBody) complete() bool { return errors.Is(b.err, io.EOF) && !b.overflow }

// replayable reports whether the body can be read from its start again.
func (b *callBody) replayable() bool {
	return !b.overflow && (b.err == nil || errors.Is(b.err, io.EOF))
}

// readAhead reads until the body ends or keepLimit is reached.
func (b *callBody) readAhead() error {
	for b.err == nil && len(b.kept) < b.keepLimit {
		buf := make([]byte, b.readAheadSize())
		n, _ := b.readSource(buf)
		if err := b.charge(int64(n)); err != nil {
			return verdict.Wrap(verdict.NotRun, limit.CodeOverloaded, err)
		}
		b.kept = append(b.kept, buf[:n]...)
	}
	if b.err == nil || errors.Is(b.err, io.EOF) {
		return nil
	}
	return bodyError(b.err, verdict.NotRun)
}

// readAheadChunk is the size of one read in bytes.
const readAheadChunk = 8 << 10

func (b *callBody) readAheadSize() int {
	size := min(b.keepLimit-len(b.kept), readAheadChunk)
	if b.length >= 0 {
		// Reading one byte more than the rest of the body detects its end.
		return int(min(int64(size), b.length-int64(len(b.kept))+1))
	}
	return size
}

func (b *callBody) readSource(buf []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.source.Read(buf)
	if int64(n) > b.remaining {
		n, err = int(b.remaining), errBodyTooLarge
	}
	b.remaining -= int64(n)
	if b.digest != nil {
		_, _ = b.digest.Write(buf[:n])
	}
	b.err = err
	return n, err
}

// drain reads the body to its end and discards it.
func (b *callBody) drain() error {
	buf := make([]byte, readAheadChunk)
	for b.err == nil {
		if n, _ := b.readSource(buf); n > 0 {
			b.overflow = true
		}
	}
	if errors.Is(b.err, io.EOF) {
		return nil
	}
	return bodyError(b.err, verdict.NotRun)
}

// open returns the body from its start.
func (b *callBody) open() (io.ReadCloser, error) {
	if b.overflow {
		return nil, errBodyNotReplayable
	}
	return &bodyReader{body: b}, nil
}

// sendLength returns the content length to send to the upstream; -1 means unknown.
func (b *callBody) sendLength() int64 {
	if b.complete() {
		return int64(len(b.kept))
	}
	return b.length
}

// bodyReader reads the kept beginning of a body and then the source.
type bodyReader struct {
	body *callBody
	pos  int
}

// Read implements io.Reader.
func (r *bodyReader) Read(buf []byte) (int, error) {
	b := r.body
	if r.pos < len(b.kept) {
		n := copy(buf, b.kept[r.pos:])
		r.pos += n
		return n, nil
	}
	n, err := b.readSource(buf)
	switch {
	case n == 0:
	case !b.overflow && len(b.kept)+n <= b.keepLimit && b.charge(int64(n)) == nil:
		b.kept = append(b.kept, buf[:n]...)
		r.pos += n
	default:
		b.overflow = true
	}
	return n, err
}

// Close implements io.Closer.
func (r *bodyReader) Close() error { return nil }

// bodyError returns err with the code for the reason why a caller's body could not be read.
func bodyError(err error, v verdict.Verdict) *verdict.Error {
	switch {
	case errors.Is(err, errBodyTooLarge):
		return verdict.Wrap(v, codeBodyTooLarge, err)
	case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, clientlimit.ErrBodyTimeout):
		return verdict.Wrap(v, codeBodyTimeout, err)
	default:
		return verdict.Wrap(v, upstream.CodeRequestBody, err)
	}
}
