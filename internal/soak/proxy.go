package main

import (
	"context"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/currantthread/currantthread/store"
)

// direction is a direction of a link. Its values are bits, so that they can be combined.
type direction uint8

const (
	towardsServer direction = 1 << iota
	towardsClient
	bothDirections = towardsServer | towardsClient
)

func (d direction) String() string {
	return []string{"none", "requests", "responses", "both directions"}[d]
}

// link forwards TCP connections from one node to one other party. Like a network, it delivers data that it held back once
// the fault has ended, even if the sender has closed its connection since.
type link struct {
	from, to string
	addr     string
	target   string
	listener net.Listener

	mu       sync.Mutex // guards the fields below
	held     direction
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

func newLink(from, to, target string) (*link, error) {
	listener, err := net.Listen("tcp", loopback+":0")
	if err != nil {
		return nil, err
	}
	l := &link{from: from, to: to, addr: listener.Addr().String(), target: target, listener: listener,
		conns: map[*linkConn]bool{}, changed: make(chan struct{})}
	go l.serve()
	return l, nil
}

func (l *link) serve() {
	for {
		client, err := l.listener.Accept()
		if err != nil {
			return // the listener is closed
		}
		go l.forward(client)
	}
}

func (l *link) forward(client net.Conn) {
	l.mu.Lock()
	refusing := l.refusing
	l.mu.Unlock()
	server, err := net.Dial("tcp", l.target)
	if err != nil || refusing {
		abort(client)
		if err == nil {
			abort(server)
		}
		return
	}
	c := &linkConn{client: client, server: server}
	l.mu.Lock()
	l.conns[c] = true
	l.mu.Unlock()
	var group sync.WaitGroup
	group.Go(func() { l.pump(c, client, server, towardsServer) })
	group.Go(func() { l.pump(c, server, client, towardsClient) })
	group.Wait()
	_ = client.Close() // may have been aborted
	_ = server.Close()
	l.mu.Lock()
	delete(l.conns, c)
	l.mu.Unlock()
}

// pump copies data in one direction until the source ends or the connection is aborted.
func (l *link) pump(c *linkConn, source, destination net.Conn, d direction) {
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
func (l *link) await(c *linkConn, d direction) bool {
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

// update changes the link's faults.
func (l *link) update(change func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change()
	close(l.changed)
	l.changed = make(chan struct{})
}

// abortConns aborts all open connections. The caller holds mu.
func (l *link) abortConns() {
	for c := range l.conns {
		abort(c.client)
		abort(c.server)
		delete(l.conns, c)
	}
}

// silence makes all open connections silent; new ones work. The caller holds mu.
func (l *link) silence() {
	for c := range l.conns {
		c.silent = true
	}
}

func (l *link) close() {
	_ = l.listener.Close() // fails only if it is closed already
	l.update(l.abortConns)
}

// abort closes a connection so that its peer sees a reset.
func abort(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only on a closed connection
	}
	_ = conn.Close()
}

// network holds the links from each node to the store, the runners and the other nodes.
type network struct{ links []*link }

// between returns the links from one party to another; "" matches any.
func (n *network) between(from, to string) []*link {
	var links []*link
	for _, l := range n.links {
		if (from == "" || l.from == from) && (to == "" || l.to == to) {
			links = append(links, l)
		}
	}
	return links
}

func (n *network) close() {
	for _, l := range n.links {
		l.close()
	}
}

// storeView is the store as one node sees it: rows name the addresses of the node's links instead of the real ones.
type storeView struct {
	store.Store
	addrs *strings.Replacer
}

func (v *storeView) rewrite(page store.Page, err error) (store.Page, error) {
	rows := make([]store.Row, 0, len(page.Rows))
	for _, row := range page.Rows {
		row.Value = []byte(v.addrs.Replace(string(row.Value)))
		rows = append(rows, row)
	}
	page.Rows = rows
	return page, err
}

// Range implements store.Store.
func (v *storeView) Range(ctx context.Context, table, part, from, to string, limit int) (store.Page, error) {
	return v.rewrite(v.Store.Range(ctx, table, part, from, to, limit))
}

// Feed implements store.Store.
func (v *storeView) Feed(ctx context.Context, table string, after int64, wait time.Duration) (store.Page, error) {
	return v.rewrite(v.Store.Feed(ctx, table, after, wait))
}
