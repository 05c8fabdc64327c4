package upstream

import (
	"bufio"
	"errors"
	"net"
	"time"
)

const (
	// maxAnswerHeader is the largest header of an answer, in bytes.
	maxAnswerHeader = 1 << 20
	readBufferSize  = 4 << 10
)

var errAnswerHeaderTooLarge = errors.New("header of the answer is too large")

// conn is one connection. Its owner is the exchange that uses it, or the pool while it is idle.
type conn struct {
	net.Conn
	pool   *Pool
	reader *bufio.Reader
	// idleSince is when the connection became idle; zero before its first use.
	idleSince time.Time
	// headerLeft is the number of bytes that may still be read before the end of the header; negative means no limit.
	headerLeft int
	// readErr is the error of the last failed read from the network.
	readErr error
}

func newConn(p *Pool, netConn net.Conn) *conn {
	c := &conn{Conn: netConn, pool: p, headerLeft: -1}
	c.reader = bufio.NewReaderSize(c, readBufferSize)
	return c
}

// Read implements net.Conn.
func (c *conn) Read(buf []byte) (int, error) {
	if c.headerLeft == 0 {
		return 0, errAnswerHeaderTooLarge
	}
	if c.headerLeft > 0 && len(buf) > c.headerLeft {
		buf = buf[:c.headerLeft]
	}
	n, err := c.Conn.Read(buf)
	if c.headerLeft > 0 {
		c.headerLeft -= n
	}
	c.pool.cfg.OnBytes(n)
	if err != nil {
		c.readErr = err
	}
	return n, err
}

// reused reports whether an earlier exchange used the connection.
func (c *conn) reused() bool { return !c.idleSince.IsZero() }

// quiet reports whether the connection is open and nothing has arrived on it since the last answer.
func (c *conn) quiet() bool { return c.reader.Buffered() == 0 && socketQuiet(c.Conn) }
