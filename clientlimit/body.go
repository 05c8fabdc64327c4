package clientlimit

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"
)

var (
	// ErrBodyTimeout means that a body made no progress.
	ErrBodyTimeout = errors.New("the request's body made no progress")
	// ErrBodyTooLarge means that a body is larger than allowed.
	ErrBodyTooLarge = errors.New("the request's body is larger than allowed")
	// ErrBudget means that the memory for clients is used up.
	ErrBudget = errors.New("the memory for requests is used up")
)

const (
	// firstChunk and laterChunk are the sizes in which memory for a body is allocated, so that it grows with what has arrived.
	firstChunk = 4 << 10
	laterChunk = 16 << 10
	// chunkHint is the size of the first chunk of a body without a length.
	chunkHint = 1 << 10
)

// Body is a body that has arrived completely.
type Body struct {
	chunks [][]byte
	size   int
}

// Len returns the size of the body in bytes.
func (b *Body) Len() int { return b.size }

// Discard frees the body and gives back what ReadBody has charged to the connection. Its length remains.
func (b *Body) Discard(c *Conn) {
	for _, chunk := range b.chunks {
		c.Release(int64(cap(chunk)))
	}
	b.chunks = nil
}

// Bytes returns the body as one slice, which is allocated if the body is large.
func (b *Body) Bytes() []byte {
	switch len(b.chunks) {
	case 0:
		return nil
	case 1:
		return b.chunks[0]
	}
	joined := make([]byte, 0, b.size)
	for _, chunk := range b.chunks {
		joined = append(joined, chunk...)
	}
	return joined
}

// ReadBody reads the body of a request, which may have at most limit bytes, and charges it to the request's connection. The error is
// ErrBodyTooLarge, ErrBodyTimeout, ErrBudget or that of the connection.
func ReadBody(r *http.Request, limit int64) (*Body, error) {
	c := ConnOf(r.Context())
	if r.ContentLength > limit {
		c.count(reasonBodyBytes)
		return nil, ErrBodyTooLarge
	}
	body := &Body{}
	var chunk []byte
	for size := firstSize(r.ContentLength); ; {
		if len(chunk) == cap(chunk) {
			if err := c.Charge(int64(size)); err != nil {
				return nil, err
			}
			chunk = make([]byte, 0, size)
			body.chunks = append(body.chunks, chunk)
			size = laterChunk
		}
		n, err := r.Body.Read(chunk[len(chunk):cap(chunk)])
		chunk = chunk[:len(chunk)+n]
		body.chunks[len(body.chunks)-1] = chunk
		body.size += n
		switch {
		case int64(body.size) > limit:
			c.count(reasonBodyBytes)
			return nil, ErrBodyTooLarge
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return nil, err
		}
	}
}

// firstSize returns the size of the first chunk of a body with the given length; -1 means unknown.
func firstSize(length int64) int {
	if length < 0 {
		return chunkHint
	}
	return int(max(min(length, firstChunk), 1))
}

// Charge adds bytes to what the connection holds until its request ends. The error is ErrBudget, or net.ErrClosed if the connection was
// closed for another one.
func (c *Conn) Charge(bytes int64) error {
	if c == nil || bytes <= 0 {
		return nil
	}
	now := time.Now()
	l := c.limiter
	l.mu.Lock()
	if c.gone {
		l.mu.Unlock()
		return net.ErrClosed
	}
	victims, ok := l.charge(c, bytes, now)
	begins := l.beginsPressure(len(victims) > 0 || !ok, now)
	l.mu.Unlock()
	l.closeAll(victims, begins)
	if !ok {
		c.count(reasonMemory)
		return ErrBudget
	}
	return nil
}

// Release gives back bytes that Charge has added.
func (c *Conn) Release(bytes int64) {
	if c == nil {
		return
	}
	l := c.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	if !c.gone {
		c.held -= bytes
		l.held -= bytes
	}
}

// BeginDecode waits until a body of the given size may be decoded, and returns a function that ends it. While the request waits, its
// connection may be closed for another one. The error is that of ctx.
func (c *Conn) BeginDecode(ctx context.Context, bytes int) (end func(), err error) {
	if c == nil {
		return func() {}, nil
	}
	weight := int64(min(max(bytes, 1), decodeBytes))
	if c.limiter.decoding.TryAcquire(weight) {
		return func() { c.limiter.decoding.Release(weight) }, nil
	}
	c.setQueued(true)
	err = c.limiter.decoding.Acquire(ctx, weight)
	c.setQueued(false)
	if err != nil {
		c.count(reasonMemory)
		return nil, err
	}
	return func() { c.limiter.decoding.Release(weight) }, nil
}

func (c *Conn) setQueued(queued bool) {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	c.queued = queued
}

// count counts a refused request.
func (c *Conn) count(reason string) {
	if c != nil {
		c.limiter.closed.WithLabelValues(reason).Inc()
	}
}
