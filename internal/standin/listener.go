package standin

import (
	"net"
	"sync"
	"time"
)

// Listener tracks its open connections, so that faults can reset or silence them.
type Listener struct {
	net.Listener
	// limit bounds open connections; 0 means none. A connection above it is reset.
	limit int

	mu      sync.Mutex // guards the fields below
	conns   map[*trackedConn]struct{}
	refused int64
}

// NewListener wraps inner. A limit of 0 means no limit on open connections.
func NewListener(inner net.Listener, limit int) *Listener {
	return &Listener{Listener: inner, limit: limit, conns: map[*trackedConn]struct{}{}}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if tracked := l.track(conn); tracked != nil {
			return tracked, nil
		}
		reset(conn)
	}
}

func (l *Listener) track(conn net.Conn) *trackedConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.limit > 0 && len(l.conns) >= l.limit {
		l.refused++
		return nil
	}
	tracked := &trackedConn{Conn: conn, listener: l}
	l.conns[tracked] = struct{}{}
	return tracked
}

// Silence makes every open connection drop everything that it receives and sends from now on. New connections work. This
// simulates a device on the path that has lost its connection state.
func (l *Listener) Silence() {
	for _, conn := range l.openConns() {
		conn.silence()
	}
}

// Kill stops listening and resets every open connection, like a crash of the process.
func (l *Listener) Kill() {
	_ = l.Close()
	for _, conn := range l.openConns() {
		reset(conn.Conn)
	}
}

// Refused counts the connections that were reset because of the limit.
func (l *Listener) Refused() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.refused
}

func (l *Listener) openConns() []*trackedConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	conns := make([]*trackedConn, 0, len(l.conns))
	for conn := range l.conns {
		conns = append(conns, conn)
	}
	return conns
}

func (l *Listener) untrack(conn *trackedConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, conn)
}

func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		// A linger time of 0 makes Close send a reset.
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// trackedConn is one connection of a Listener.
type trackedConn struct {
	net.Conn
	listener *Listener

	mu     sync.Mutex // guards the fields below
	silent bool
}

func (c *trackedConn) silence() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent = true
}

func (c *trackedConn) isSilent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silent
}

// Read implements net.Conn. Bytes that arrive on a silent connection are dropped.
func (c *trackedConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.isSilent() {
			return n, err
		}
	}
}

// Write implements net.Conn. Bytes sent on a silent connection are dropped.
func (c *trackedConn) Write(p []byte) (int, error) {
	if c.isSilent() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// silentCloseDelay is how long the close of a silent connection is hidden from its peer. It is longer than any deadline in
// use; the connection does not outlive the process.
const silentCloseDelay = 5 * time.Minute

// Close implements net.Conn. The close of a silent connection is hidden from the peer for silentCloseDelay.
func (c *trackedConn) Close() error {
	c.listener.untrack(c)
	if !c.isSilent() {
		return c.Conn.Close()
	}
	time.AfterFunc(silentCloseDelay, func() { _ = c.Conn.Close() })
	return nil
}
