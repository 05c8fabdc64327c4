package emulator

import (
	"net"
	"sync"
	"time"
)

// Direction is a direction of a link. Its values are bits, so that they can be combined.
type Direction uint8

// Directions of a link.
const (
	TowardsServer Direction = 1 << iota
	TowardsClient
	BothDirections = TowardsServer | TowardsClient
)

// Link is a TCP proxy on the loopback interface with switches for the faults of a network. Like a network, it delivers data that
// it held back once the fault has ended, even if the sender has closed its connection since. It is safe for concurrent use.
type Link struct {
	// Addr is where the link listens.
	Addr     string
	target   string
	listener net.Listener

	mu       sync.Mutex // guards the fields below
	held     Direction
	delay    time.Duration
	refusing bool
	conns    map[*linkConn]bool
	changed  chan struct{} // closed and replaced when a fault begins or ends
}

// linkConn is one forwarded connection.
type linkConn struct {
	client, server net.Conn
	// silent connections forward nothing. The link's mu guards it.
	silent bool
}

// NewLink returns a link that forwards connections to an address until it is closed.
func NewLink(target string) (*Link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &Link{Addr: listener.Addr().String(), target: target, listener: listener, conns: map[*linkConn]bool{},
		changed: make(chan struct{})}
	go l.serve()
	return l, nil
}

// Close closes the link and its connections.
func (l *Link) Close() {
	_ = l.listener.Close() // fails only if it is closed already
	l.Hold(0)
	l.Abort()
}

// Hold holds back the data in some directions from now on; 0 delivers it again.
func (l *Link) Hold(d Direction) { l.update(func() { l.held = d }) }

// Delay delays each block of data from now on.
func (l *Link) Delay(d time.Duration) { l.update(func() { l.delay = d }) }

// Refuse sets whether new connections are aborted at once.
func (l *Link) Refuse(refusing bool) { l.update(func() { l.refusing = refusing }) }

// Silence lets all open connections forward nothing from now on; new ones work.
func (l *Link) Silence() {
	l.update(func() {
		for c := range l.conns {
			c.silent = true
		}
	})
}

// Abort aborts all open connections. While the link holds back data towards the clients, they see no reset but silence.
func (l *Link) Abort() {
	l.update(func() {
		for c := range l.conns {
			abort(c.server)
			c.silent = l.held&TowardsClient != 0
			if !c.silent {
				abort(c.client)
				delete(l.conns, c)
			}
		}
	})
}

func (l *Link) update(change func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change()
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *Link) serve() {
	for {
		client, err := l.listener.Accept()
		if err != nil {
			return // the listener is closed
		}
		go l.forward(client)
	}
}

func (l *Link) forward(client net.Conn) {
	server, err := net.Dial("tcp", l.target)
	if err != nil {
		abort(client)
		return
	}
	c := &linkConn{client: client, server: server}
	l.mu.Lock()
	refusing := l.refusing
	if !refusing {
		l.conns[c] = true
	}
	l.mu.Unlock()
	if refusing {
		abort(client)
		abort(server)
		return
	}
	var group sync.WaitGroup
	group.Go(func() { l.pump(c, client, server, TowardsServer) })
	group.Go(func() { l.pump(c, server, client, TowardsClient) })
	group.Wait()
	_ = client.Close() // may have been aborted
	_ = server.Close()
	l.mu.Lock()
	delete(l.conns, c)
	l.mu.Unlock()
}

// pump copies data in one direction until the source ends or the connection is aborted.
func (l *Link) pump(c *linkConn, source, destination net.Conn, d Direction) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := source.Read(buffer)
		if !l.await(c, d) {
			return
		}
		if n > 0 {
			if _, writeErr := destination.Write(buffer[:n]); writeErr != nil {
				return
			}
		}
		if err != nil {
			if tcp, ok := destination.(*net.TCPConn); ok {
				_ = tcp.CloseWrite() // fails if the connection was aborted
			}
			return
		}
	}
}

// await waits until the link lets data pass. It returns false if the connection has been aborted.
func (l *Link) await(c *linkConn, d Direction) bool {
	for {
		l.mu.Lock()
		open, held, delay, changed := l.conns[c], c.silent || l.held&d != 0, l.delay, l.changed
		l.mu.Unlock()
		switch {
		case !open:
			return false
		case !held:
			time.Sleep(delay)
			return true
		}
		<-changed
	}
}

// abort closes a connection so that its peer sees a reset.
func abort(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only on a closed connection
	}
	_ = conn.Close()
}
