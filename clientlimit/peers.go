package clientlimit

import (
	"container/list"
	"net"
	"net/http"
	"sync"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/currantthread/currantthread/internal/memory"
)

// PeerLimiter bounds what other nodes hold: their open connections and the bytes of their requests. Nodes follow the protocol, but
// hand on what their clients send, and they have far more memory and connections together than one VM. Unlike a Limiter it does not
// follow reads and writes. It is safe for concurrent use.
type PeerLimiter struct {
	// Pool is memory that the limiter shares with others. It may be set before the first request.
	Pool   *memory.Pool
	closed *prometheus.CounterVec

	mu     sync.Mutex // guards the fields below
	budget Budget
	held   int64
	// open holds the open connections, each with its element of idle, or nil while it is in use.
	open map[net.Conn]*list.Element
	idle *list.List // connections without a request, the one that has been idle for longest first
}

// NewPeerLimiter returns a limiter with the default budget that registers its metrics.
func NewPeerLimiter(registry prometheus.Registerer, namespace string) *PeerLimiter {
	l := &PeerLimiter{budget: PeerBudgetOf(0, 0), open: map[net.Conn]*list.Element{}, idle: list.New()}
	l.closed = prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Subsystem: "peers", Name: "closed_total",
		Help: "Requests of other nodes refused and their connections closed by a limit, by reason."}, []string{"reason"})
	registry.MustRegister(l.closed, prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Subsystem: "peers", Name: "connections",
		Help: "Open connections of other nodes."}, func() float64 {
		l.mu.Lock()
		defer l.mu.Unlock()
		return float64(len(l.open))
	}))
	return l
}

// SetBudget changes the budget of all peers. It applies to what they send afterwards.
func (l *PeerLimiter) SetBudget(budget Budget) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.budget = budget
}

// Listener wraps a listener. ConnState must be the hook of the server of its connections.
func (l *PeerLimiter) Listener(listener net.Listener) net.Listener {
	return &peerListener{Listener: listener, limiter: l}
}

type peerListener struct {
	net.Listener
	limiter *PeerLimiter
}

// Accept implements net.Listener.
func (l *peerListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.limiter.admit(conn) {
			return conn, nil
		}
	}
}

// admit adds a connection, for which the one that has been idle for longest may be closed. If none is idle, the new one is closed.
func (l *PeerLimiter) admit(conn net.Conn) bool {
	l.mu.Lock()
	var victim net.Conn
	full := len(l.open) >= l.budget.Connections
	if front := l.idle.Front(); full && front != nil {
		victim = front.Value.(net.Conn)
		l.remove(victim)
	}
	admitted := !full || victim != nil
	if admitted {
		l.open[conn] = nil
	}
	l.mu.Unlock()
	switch {
	case victim != nil:
		l.closed.WithLabelValues(reasonPressure).Inc()
		_ = victim.Close() // the connection is of no use any more
	case !admitted:
		l.closed.WithLabelValues(reasonMemory).Inc()
		_ = reset(conn)
	}
	return admitted
}

// remove forgets a connection. The caller holds mu.
func (l *PeerLimiter) remove(conn net.Conn) {
	if element := l.open[conn]; element != nil {
		l.idle.Remove(element)
	}
	delete(l.open, conn)
}

// ConnState follows the requests of a connection. It is the hook of http.Server.
func (l *PeerLimiter) ConnState(conn net.Conn, state http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	element, open := l.open[conn]
	if !open {
		return
	}
	switch state {
	case http.StateActive:
		if element != nil {
			l.idle.Remove(element)
		}
		l.open[conn] = nil
	case http.StateIdle:
		if element == nil {
			l.open[conn] = l.idle.PushBack(conn)
		}
	case http.StateClosed, http.StateHijacked:
		l.remove(conn)
	}
}

// Charge adds bytes to what requests of peers hold, and returns a function that gives them back. The error is ErrBudget.
func (l *PeerLimiter) Charge(bytes int64) (release func(), err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.held+bytes > l.budget.Bytes || bytes > l.Pool.Free() {
		l.closed.WithLabelValues(reasonMemory).Inc()
		return nil, ErrBudget
	}
	l.add(bytes)
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.add(-bytes)
	}, nil
}

// add changes what is held. The caller holds mu.
func (l *PeerLimiter) add(bytes int64) {
	l.held += bytes
	l.Pool.Add(bytes)
}
