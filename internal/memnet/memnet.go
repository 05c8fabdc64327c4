// Package memnet is an in-memory network for tests, which also works in the virtual time of a synctest bubble. Like TCP
// connections, its connections can be reset after any byte, stop delivering data without an error, or accept bytes that
// never arrive.
package memnet

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// ErrReset is the error that reads and writes return on both ends of a cut connection.
var ErrReset = errors.New("connection reset by peer")

// bufferSize is the number of bytes that a connection buffers in each direction before writes block.
const bufferSize = 64 << 10

// Network connects dialers and listeners by address.
type Network struct {
	mu        sync.Mutex // guards the fields below
	listeners map[string]*Listener
	onDial    func(addr string) (Faults, error)
	conns     []*Conn
}

// Faults are the faults of one connection. The zero value is a healthy connection.
type Faults struct {
	// CutUp and CutDown are the numbers of bytes from the dialer and to the dialer after which the connection is cut; 0
	// means never. Exactly that many bytes are delivered.
	CutUp, CutDown int64
	// AcceptBeyondCut makes the first write beyond the cut succeed, like a write into a socket's send buffer.
	AcceptBeyondCut bool
	// Silent makes the connection accept bytes in both directions without delivering any.
	Silent bool
}

// New returns a network without listeners.
func New() *Network { return &Network{listeners: map[string]*Listener{}} }

// OnDial sets a function that returns the faults of each new connection, or an error with which Dial fails. If it is nil,
// all connections are healthy.
func (n *Network) OnDial(f func(addr string) (Faults, error)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.onDial = f
}

// Listen opens a listener. It panics if the address is in use.
func (n *Network) Listen(addr string) *Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[addr] != nil {
		panic("address in use: " + addr)
	}
	l := &Listener{network: n, addr: addr, accept: make(chan net.Conn, 1024), done: make(chan struct{})}
	n.listeners[addr] = l
	return l
}

// Dial opens a connection to the listener of an address.
func (n *Network) Dial(ctx context.Context, addr string) (net.Conn, error) {
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	faults := Faults{}
	if n.onDial != nil {
		var err error
		if faults, err = n.onDial(addr); err != nil {
			return nil, err
		}
	}
	l := n.listeners[addr]
	if l == nil {
		return nil, fmt.Errorf("dial %s: connection refused", addr)
	}
	dialerEnd, listenerEnd := newConnPair(addr, faults)
	n.conns = append(n.conns, dialerEnd)
	l.accept <- listenerEnd
	return dialerEnd, nil
}

// Conns returns the dialers' ends of all connections, including closed ones, in the order in which they were opened.
func (n *Network) Conns() []*Conn {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]*Conn(nil), n.conns...)
}

// CutAll cuts every connection.
func (n *Network) CutAll() {
	for _, c := range n.Conns() {
		c.Cut()
	}
}

// Listener accepts connections to one address.
type Listener struct {
	network *Network
	addr    string
	accept  chan net.Conn
	done    chan struct{}
	once    sync.Once
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.accept:
		return conn, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.once.Do(func() {
		l.network.mu.Lock()
		delete(l.network.listeners, l.addr)
		l.network.mu.Unlock()
		close(l.done)
	})
	return nil
}

// Addr implements net.Listener.
func (l *Listener) Addr() net.Addr { return address(l.addr) }

type address string

// Network implements net.Addr.
func (a address) Network() string { return "mem" }

// String implements net.Addr.
func (a address) String() string { return string(a) }

// stream is one direction of a connection.
type stream struct {
	mu              sync.Mutex // guards the fields below
	changed         *sync.Cond
	buf             []byte
	total           int64 // bytes accepted for delivery
	cut             int64 // value of total at which the connection is cut; 0 means never
	acceptBeyondCut bool  // the first write beyond the cut succeeds
	silent          bool
	writerClosed    bool
	readerClosed    bool
	reset           bool
	readDeadline    time.Time
	writeDeadline   time.Time
}

func newStream(cut int64, faults Faults) *stream {
	s := &stream{cut: cut, acceptBeyondCut: faults.AcceptBeyondCut, silent: faults.Silent}
	s.changed = sync.NewCond(&s.mu)
	return s
}

func (s *stream) update(f func()) {
	s.mu.Lock()
	f()
	s.mu.Unlock()
	s.changed.Broadcast()
}

func expired(deadline time.Time) bool { return !deadline.IsZero() && !time.Now().Before(deadline) }

func (s *stream) read(buf []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		switch {
		case s.readerClosed:
			return 0, net.ErrClosed
		case expired(s.readDeadline):
			return 0, os.ErrDeadlineExceeded
		case len(s.buf) > 0:
			n := copy(buf, s.buf)
			s.buf = s.buf[n:]
			s.changed.Broadcast()
			return n, nil
		case s.reset:
			return 0, ErrReset
		case s.writerClosed && !s.silent:
			return 0, io.EOF
		case len(buf) == 0:
			return 0, nil
		}
		s.changed.Wait()
	}
}

// write sets reachedCut if this write is the first one beyond the cut. It then returns ErrReset, unless acceptBeyondCut
// is set.
func (s *stream) write(buf []byte) (n int, reachedCut bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(buf) > 0 {
		switch {
		case s.writerClosed:
			return n, reachedCut, net.ErrClosed
		case expired(s.writeDeadline):
			return n, reachedCut, os.ErrDeadlineExceeded
		case s.reset, s.readerClosed:
			return n, reachedCut, ErrReset
		case s.silent:
			return n + len(buf), reachedCut, nil
		}
		free := int64(bufferSize - len(s.buf))
		if s.cut > 0 {
			free = min(free, s.cut-s.total)
		}
		if s.cut > 0 && s.total == s.cut {
			s.reset = true
			s.changed.Broadcast()
			if s.acceptBeyondCut {
				return n + len(buf), true, nil
			}
			return n, true, ErrReset
		}
		if free == 0 {
			s.changed.Wait()
			continue
		}
		count := int(min(free, int64(len(buf))))
		s.buf = append(s.buf, buf[:count]...)
		s.total += int64(count)
		n += count
		buf = buf[count:]
		s.changed.Broadcast()
	}
	return n, reachedCut, nil
}

// Conn is one end of a connection.
type Conn struct {
	in, out      *stream
	addr         address
	mu           sync.Mutex // guards the fields below
	timers       [2]*time.Timer
	resetOnClose bool // Close resets the connection
}

func newConnPair(addr string, faults Faults) (dialerEnd, listenerEnd *Conn) {
	up, down := newStream(faults.CutUp, faults), newStream(faults.CutDown, faults)
	return &Conn{in: down, out: up, addr: address(addr)}, &Conn{in: up, out: down, addr: address(addr)}
}

// Read implements net.Conn.
func (c *Conn) Read(buf []byte) (int, error) { return c.in.read(buf) }

// Write implements net.Conn.
func (c *Conn) Write(buf []byte) (int, error) {
	n, reachedCut, err := c.out.write(buf)
	if reachedCut {
		c.in.update(func() { c.in.reset = true })
	}
	return n, err
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.mu.Lock()
	resetOnClose := c.resetOnClose
	c.mu.Unlock()
	if resetOnClose {
		c.Cut()
	}
	c.in.update(func() { c.in.readerClosed = true })
	c.out.update(func() { c.out.writerClosed = true })
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, timer := range c.timers {
		if timer != nil {
			timer.Stop()
		}
	}
	return nil
}

// SetLinger makes Close reset the connection if sec is 0, as on TCP connections.
func (c *Conn) SetLinger(sec int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.resetOnClose = sec == 0
	return nil
}

// Cut resets the connection for both ends. Bytes that have not been read are lost.
func (c *Conn) Cut() {
	for _, s := range []*stream{c.in, c.out} {
		s.update(func() { s.reset, s.buf = true, nil })
	}
}

// Silence makes the connection accept further bytes without delivering any, and without an error at either end. Bytes that
// have not been read are lost.
func (c *Conn) Silence() {
	for _, s := range []*stream{c.in, c.out} {
		s.update(func() { s.silent, s.buf = true, nil })
	}
}

// Sent returns the number of bytes sent by this end that were accepted for delivery.
func (c *Conn) Sent() int64 {
	c.out.mu.Lock()
	defer c.out.mu.Unlock()
	return c.out.total
}

// LocalAddr implements net.Conn.
func (c *Conn) LocalAddr() net.Addr { return c.addr }

// RemoteAddr implements net.Conn.
func (c *Conn) RemoteAddr() net.Addr { return c.addr }

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	_ = c.SetReadDeadline(t)
	return c.SetWriteDeadline(t)
}

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.in.update(func() { c.in.readDeadline = t })
	c.setTimer(0, c.in, t)
	return nil
}

// SetWriteDeadline implements net.Conn.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	c.out.update(func() { c.out.writeDeadline = t })
	c.setTimer(1, c.out, t)
	return nil
}

// setTimer makes a timer wake blocked calls at the deadline.
func (c *Conn) setTimer(i int, s *stream, t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.timers[i] != nil {
		c.timers[i].Stop()
		c.timers[i] = nil
	}
	// A deadline in the past needs no timer, because setting it has already woken the calls. It must not have one either: a
	// timer of a synctest bubble that is due at once runs in the goroutine that creates it, which crashes the race detector
	// (Go 1.26).
	if wait := time.Until(t); !t.IsZero() && wait > 0 {
		c.timers[i] = time.AfterFunc(wait, s.changed.Broadcast)
	}
}
