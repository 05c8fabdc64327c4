// Package memnet is an in-memory network for tests. Its connections work in virtual time and can be cut after any byte,
// go silent, or accept bytes that never arrive, as TCP connections do. Only tests use it.
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

// ErrReset is what both ends of a cut connection see.
var ErrReset = errors.New("connection reset by peer")

// bufferSize is how many bytes a connection holds in each direction before writes block.
const bufferSize = 64 << 10

// Network connects dialers and listeners by address.
type Network struct {
	mu        sync.Mutex // owner: Network; guards the fields below
	listeners map[string]*Listener
	onDial    func(addr string) (Faults, error)
	conns     []*Conn
}

// Faults are what happens to one connection. The zero value is a healthy connection.
type Faults struct {
	// CutUp and CutDown cut the connection after so many bytes from the dialer and to it; 0 means never. A cut after n
	// bytes lets exactly n bytes through.
	CutUp, CutDown int64
	// AcceptBeyondCut makes writes beyond a cut look successful, as bytes in a socket's buffer do.
	AcceptBeyondCut bool
	// Silent makes the connection accept bytes in both directions and deliver none.
	Silent bool
}

// New returns a network without listeners.
func New() *Network { return &Network{listeners: map[string]*Listener{}} }

// OnDial sets the function that decides about each new connection; nil lets all be healthy.
func (n *Network) OnDial(f func(addr string) (Faults, error)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.onDial = f
}

// Listen opens a listener. The address must be free.
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

// Dial opens a connection to a listener.
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
	near, far := pair(addr, faults)
	n.conns = append(n.conns, near)
	l.accept <- far
	return near, nil
}

// Conns returns the dialers' ends of all connections so far, in the order of their opening.
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

// Listener accepts connections of one address.
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
	mu      sync.Mutex // owner: stream; guards the fields below
	changed *sync.Cond
	buf     []byte
	total   int64 // bytes let through
	cut     int64 // 0 means never
	beyond  bool  // accept bytes beyond the cut
	silent  bool
	ended   bool // the writer closed
	closed  bool // the reader closed
	reset   bool
	readBy  time.Time
	writeBy time.Time
}

func newStream(cut int64, faults Faults) *stream {
	s := &stream{cut: cut, beyond: faults.AcceptBeyondCut, silent: faults.Silent}
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
		case s.closed:
			return 0, net.ErrClosed
		case expired(s.readBy):
			return 0, os.ErrDeadlineExceeded
		case len(s.buf) > 0:
			n := copy(buf, s.buf)
			s.buf = s.buf[n:]
			s.changed.Broadcast()
			return n, nil
		case s.reset:
			return 0, ErrReset
		case s.ended && !s.silent:
			return 0, io.EOF
		case len(buf) == 0:
			return 0, nil
		}
		s.changed.Wait()
	}
}

// write returns ErrReset with cutNow set if this write reached the cut.
func (s *stream) write(buf []byte) (n int, cutNow bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(buf) > 0 {
		switch {
		case s.ended:
			return n, cutNow, net.ErrClosed
		case expired(s.writeBy):
			return n, cutNow, os.ErrDeadlineExceeded
		case s.reset, s.closed:
			return n, cutNow, ErrReset
		case s.silent:
			return n + len(buf), cutNow, nil
		}
		room := int64(bufferSize - len(s.buf))
		if s.cut > 0 {
			room = min(room, s.cut-s.total)
		}
		if s.cut > 0 && s.total == s.cut {
			s.reset = true
			s.changed.Broadcast()
			if s.beyond {
				return n + len(buf), true, nil
			}
			return n, true, ErrReset
		}
		if room == 0 {
			s.changed.Wait()
			continue
		}
		k := int(min(room, int64(len(buf))))
		s.buf = append(s.buf, buf[:k]...)
		s.total += int64(k)
		n += k
		buf = buf[k:]
		s.changed.Broadcast()
	}
	return n, cutNow, nil
}

// Conn is one end of a connection.
type Conn struct {
	in, out *stream
	addr    address
	mu      sync.Mutex // owner: Conn; guards the fields below
	timers  [2]*time.Timer
	abrupt  bool // Close cuts the connection
}

func pair(addr string, faults Faults) (near, far *Conn) {
	up, down := newStream(faults.CutUp, faults), newStream(faults.CutDown, faults)
	return &Conn{in: down, out: up, addr: address(addr)}, &Conn{in: up, out: down, addr: address(addr)}
}

// Read implements net.Conn.
func (c *Conn) Read(buf []byte) (int, error) { return c.in.read(buf) }

// Write implements net.Conn.
func (c *Conn) Write(buf []byte) (int, error) {
	n, cutNow, err := c.out.write(buf)
	if cutNow {
		c.in.update(func() { c.in.reset = true })
	}
	return n, err
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.mu.Lock()
	abrupt := c.abrupt
	c.mu.Unlock()
	if abrupt {
		c.Cut()
	}
	c.in.update(func() { c.in.closed = true })
	c.out.update(func() { c.out.ended = true })
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, timer := range c.timers {
		if timer != nil {
			timer.Stop()
		}
	}
	return nil
}

// SetLinger makes Close cut the connection if sec is 0, as on TCP connections.
func (c *Conn) SetLinger(sec int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.abrupt = sec == 0
	return nil
}

// Cut resets the connection for both ends. Bytes under way are lost.
func (c *Conn) Cut() {
	for _, s := range []*stream{c.in, c.out} {
		s.update(func() { s.reset, s.buf = true, nil })
	}
}

// Silence makes the connection deliver nothing from now on, without an error to either end.
func (c *Conn) Silence() {
	for _, s := range []*stream{c.in, c.out} {
		s.update(func() { s.silent, s.buf = true, nil })
	}
}

// Sent returns how many bytes this end sent that were let through.
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
	c.in.update(func() { c.in.readBy = t })
	c.arm(0, c.in, t)
	return nil
}

// SetWriteDeadline implements net.Conn.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	c.out.update(func() { c.out.writeBy = t })
	c.arm(1, c.out, t)
	return nil
}

// arm wakes blocked calls at the deadline.
func (c *Conn) arm(i int, s *stream, t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.timers[i] != nil {
		c.timers[i].Stop()
		c.timers[i] = nil
	}
	// A deadline in the past has woken them already. It needs no timer, and must not have one: a timer of a synctest
	// bubble that is due at once runs in the goroutine that makes it, which crashes the race detector (Go 1.26).
	if left := time.Until(t); !t.IsZero() && left > 0 {
		c.timers[i] = time.AfterFunc(left, s.changed.Broadcast)
	}
}
