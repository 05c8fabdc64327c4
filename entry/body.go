package entry

import (
	"errors"
	"io"
	"net/http"
	"os"

	"github.com/currantthread/currantthread/upstream"
	"github.com/currantthread/currantthread/verdict"
)

var (
	errBodyTooLarge = errors.New("the request's body is larger than allowed")
	errBodyUsed     = errors.New("the request's body is too large to be sent again")
)

// callBody is the body of a caller's request. It keeps what was read up to a limit, so that the request can be sent
// again. It is used by one goroutine at a time.
type callBody struct {
	source io.Reader
	// length is the declared length; -1 means unknown.
	length int64
	// left is how many more bytes may be read before the body counts as too large.
	left int64
	// kept holds the beginning of the body, at most keepLimit bytes.
	kept      []byte
	keepLimit int
	// overflow is set once more was read than is kept.
	overflow bool
	// err ends the source: io.EOF after the complete body.
	err error
	// digest takes all bytes from the source; nil if nobody needs it.
	digest io.Writer
}

func newCallBody(r *http.Request, maxBytes, keepLimit int64) *callBody {
	b := &callBody{source: r.Body, length: r.ContentLength, left: maxBytes, keepLimit: int(keepLimit)}
	if r.ContentLength == 0 || r.Body == nil || r.Body == http.NoBody {
		b.length = 0
		b.err = io.EOF
	}
	return b
}

// complete reports whether all of the body is kept.
func (b *callBody) complete() bool { return errors.Is(b.err, io.EOF) && !b.overflow }

// replayable reports whether the body can be read from its start.
func (b *callBody) replayable() bool {
	return !b.overflow && (b.err == nil || errors.Is(b.err, io.EOF))
}

// readAhead reads until the body ends or nothing more would be kept.
func (b *callBody) readAhead() error {
	for b.err == nil && len(b.kept) < b.keepLimit {
		buf := make([]byte, b.aheadSize())
		n, _ := b.readSource(buf)
		b.kept = append(b.kept, buf[:n]...)
	}
	if b.err == nil || errors.Is(b.err, io.EOF) {
		return nil
	}
	return bodyError(b.err, verdict.NotRun)
}

const aheadChunk = 8 << 10

func (b *callBody) aheadSize() int {
	size := b.keepLimit - len(b.kept)
	if b.length >= 0 {
		// One byte more than what is left makes the read see the end of the body.
		return int(min(int64(size), b.length-int64(len(b.kept))+1))
	}
	return min(size, aheadChunk)
}

func (b *callBody) readSource(buf []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.source.Read(buf)
	if int64(n) > b.left {
		n, err = int(b.left), errBodyTooLarge
	}
	b.left -= int64(n)
	if b.digest != nil {
		_, _ = b.digest.Write(buf[:n])
	}
	b.err = err
	return n, err
}

// drain reads the body to its end without keeping more of it.
func (b *callBody) drain() error {
	buf := make([]byte, aheadChunk)
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
		return nil, errBodyUsed
	}
	return &bodyReader{body: b}, nil
}

// sendLength returns the length for the upstream; -1 means unknown.
func (b *callBody) sendLength() int64 {
	if b.complete() {
		return int64(len(b.kept))
	}
	return b.length
}

// bodyReader reads what is kept and then the source.
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
	case !b.overflow && len(b.kept)+n <= b.keepLimit:
		b.kept = append(b.kept, buf[:n]...)
		r.pos += n
	default:
		b.overflow = true
	}
	return n, err
}

// Close implements io.Closer.
func (r *bodyReader) Close() error { return nil }

// bodyError names the reason why a caller's body could not be read.
func bodyError(err error, v verdict.Verdict) *verdict.Error {
	switch {
	case errors.Is(err, errBodyTooLarge):
		return verdict.Wrap(v, codeBodyTooLarge, err)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return verdict.Wrap(v, codeBodyTimeout, err)
	default:
		return verdict.Wrap(v, upstream.CodeRequestBody, err)
	}
}
