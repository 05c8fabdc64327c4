package upstream

import (
	"bufio"
	"errors"
	"net"
	"time"
)

const (
	// maxResponseHeader is the largest header of a response, in bytes.
	maxResponseHeader = 1 << 20
	readBufferSize    = 4 << 10
)

var errResponseHeaderTooLarge = errors.New("header of the answer is too large")

// conn is one connection. It is owned by the exchange that uses it, or by the pool while it is idle.
type conn struct {
	net.Conn
	pool   *Pool
	reader *bufio.Reader
	// idleSince is when the connection became idle; zero before its first use.
	idleSince time.Time
	// headerRemaining is the number of bytes that may still be read until the end of the header; negative means no
	// limit.
	headerRemaining int
	// readErr is the error of the last failed read from the network.
	readErr error
}

func newConn(p *Pool, netConn net.Conn) *conn {
	c := &conn{Conn: netConn, pool: p, headerRemaining: -1}
	c.reader = bufio.NewReaderSize(c, readBufferSize)
	return c
}

// Read implements net.Conn.
func (c *conn) Read(buf []byte) (int, error) {
	if c.headerRemaining == 0 {
		return 0, errResponseHeaderTooLarge
	}
	if c.headerRemaining > 0 && len(buf) > c.headerRemaining {
		buf = buf[:c.headerRemaining]
	}
	n, err := c.Conn.Read(buf)
	if c.headerRemaining > 0 {
		c.headerRemaining -= n
	}
	c.pool.cfg.OnBytes(n)
	if err != nil {
		c.readErr = err
	}
	return n, err
}

// reused reports whether an earlier exchange used the connection.
func (c *conn) reused() bool { return !c.idleSince.IsZero() }

// stillIdle reports whether the connection is open and no bytes have arrived on it since the last response.
func (c *conn) stillIdle() bool { return c.reader.Buffered() == 0 && socketIdle(c.Conn) }
