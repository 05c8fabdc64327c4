package clientlimit

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
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
	if err := body.read(c, r, limit); err != nil {
		body.Discard(c)
		return nil, err
	}
	return body, nil
}

func (b *Body) read(c *Conn, r *http.Request, limit int64) error {
	var chunk []byte
	for size := firstSize(r.ContentLength); ; {
		if len(chunk) == cap(chunk) {
			if err := c.Charge(int64(size)); err != nil {
				return err
			}
			chunk = make([]byte, 0, size)
			b.chunks = append(b.chunks, chunk)
			size = laterChunk
		}
		n, err := r.Body.Read(chunk[len(chunk):cap(chunk)])
		chunk = chunk[:len(chunk)+n]
		b.chunks[len(b.chunks)-1] = chunk
		b.size += n
		switch {
		case int64(b.size) > limit:
			c.count(reasonBodyBytes)
			return ErrBodyTooLarge
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
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

// Charge adds bytes to what the connection holds until its request ends. It may wait until connections that were closed for it have given
// back what they hold. The error is ErrBudget, or net.ErrClosed if the connection was closed for another one.
func (c *Conn) Charge(bytes int64) error {
	if c == nil {
		return nil
	}
	err := c.limiter.charge(c, bytes)
	if errors.Is(err, ErrBudget) {
		c.count(reasonMemory)
	}
	return err
}

// Release gives back bytes that Charge has added.
func (c *Conn) Release(bytes int64) {
	if c == nil {
		return
	}
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	c.limiter.release(c, bytes)
}

// BeginDecode waits until a body of the given size may be decoded, and returns a function that ends it. While the request waits, its
// connection may be closed for another one; the error is then net.ErrClosed, and otherwise that of ctx.
func (c *Conn) BeginDecode(ctx context.Context, bytes int) (end func(), err error) {
	if c == nil {
		return func() {}, nil
	}
	weight := int64(min(max(bytes, 1), decodeBytes))
	end = func() { c.limiter.decoding.Release(weight) }
	if c.limiter.decoding.TryAcquire(weight) {
		return end, nil
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if c.setInterrupt(cancel) {
		return nil, net.ErrClosed
	}
	err = c.limiter.decoding.Acquire(ctx, weight)
	closed := c.setInterrupt(nil)
	switch {
	case err == nil && closed:
		end()
		return nil, net.ErrClosed
	case closed:
		return nil, net.ErrClosed
	case err != nil:
		c.count(reasonMemory)
		return nil, err
	}
	return end, nil
}

// setInterrupt sets the function that ends the wait of a request, and reports whether the connection was closed for another one.
func (c *Conn) setInterrupt(interrupt context.CancelFunc) (closed bool) {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	c.interrupt = interrupt
	return c.ending || c.gone
}

// count counts a refused request.
func (c *Conn) count(reason string) {
	if c != nil {
		c.limiter.closed.WithLabelValues(reason).Inc()
	}
}
