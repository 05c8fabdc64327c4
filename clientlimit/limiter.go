package clientlimit

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/semaphore"

	"github.com/currantthread/currantthread/internal/memory"
)

const (
	// checkInterval is the time between two checks of the connections' timeouts. A connection is closed at most so much late, never early.
	checkInterval = 250 * time.Millisecond
	// progressBytes must arrive within progressTimeout while a body is read, or the rest of the body; about 200 bytes a second.
	progressBytes   = 1 << 10
	progressTimeout = 5 * time.Second
	// writeTimeout is the time for writing writeChunk bytes of a response.
	writeTimeout = 10 * time.Second
	writeChunk   = 16 << 10
	// maxEmptyLines bounds the empty lines before a request; net/http accepts two after a POST request.
	maxEmptyLines = 8
	// spareShare is the part of a budget that is freed at once when it is used up, so that the connections are searched seldom.
	spareShare = 16
	// decodeBytes bounds the bodies that are decoded at once. Decoding allocates up to ten times the size of a body for a moment.
	decodeBytes = 512 << 10
	// calmTime is how long no connection was closed for a budget until the log says that this has ended.
	calmTime = 10 * time.Second
	// libraryHeaderBytes is net/http's own bound of a head, which the limiter's bound precedes.
	libraryHeaderBytes = 16 << 20
)

// Limiter bounds the connections of the listeners that it wraps. It is safe for concurrent use.
type Limiter struct {
	// Refusal returns the complete response for a request that is refused with a status before a handler sees it. It may be replaced before
	// the first connection is accepted.
	Refusal func(status int) []byte
	// Pool is memory that the limiter shares with others. It may be set before the first connection is accepted.
	Pool *memory.Pool

	log      *logrus.Entry
	closed   *prometheus.CounterVec
	decoding *semaphore.Weighted

	mu     sync.Mutex // guards the fields below and the state of all connections
	limits Limits
	budget Budget
	conns  []*Conn
	// held counts the bytes that all connections hold, and ending and endingConns those of connections that were closed but still hold them.
	held, ending int64
	endingConns  int
	waiters      []*waiter // in the order in which they get memory
	timer        *time.Timer
	// pressed is set while connections are closed for a budget, and pressedAt is when the last one was.
	pressed   bool
	pressedAt time.Time
}

// New returns a limiter with default limits that registers its metrics.
func New(registry prometheus.Registerer, namespace string, log *logrus.Entry) *Limiter {
	l := &Limiter{Refusal: refusal, log: log, limits: Limits{}.withDefaults(), budget: BudgetOf(0, 0), decoding: semaphore.NewWeighted(decodeBytes)}
	l.closed = prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Subsystem: "clients", Name: "closed_total",
		Help: "Requests refused and connections closed by a limit, by reason."}, []string{"reason"})
	gauge := func(name, help string, value func() float64) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Subsystem: "clients", Name: name, Help: help}, func() float64 {
			l.mu.Lock()
			defer l.mu.Unlock()
			return value()
		})
	}
	registry.MustRegister(l.closed,
		gauge("connections", "Open connections of clients.", func() float64 { return float64(len(l.conns)) }),
		gauge("held_bytes", "Memory charged to connections of clients.", func() float64 { return float64(l.held) }),
		gauge("budget_bytes", "Memory that connections of clients may hold.", func() float64 { return float64(l.budget.Bytes) }))
	return l
}

// SetLimits changes the limits of each connection, also of open ones.
func (l *Limiter) SetLimits(limits Limits) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limits = limits.withDefaults()
}

// SetBudget changes the budget of all connections. Connections that exceed a smaller one are closed.
func (l *Limiter) SetBudget(budget Budget) {
	now := time.Now()
	l.mu.Lock()
	l.budget = budget
	victims := l.selectVictims(now, l.held-l.ending-l.limit(), len(l.conns)-l.endingConns-budget.Connections, nil)
	begins := l.end(victims, now)
	l.grant()
	l.mu.Unlock()
	l.closeAll(victims, begins)
}

// Listener wraps a listener, whose connections Configure's server must serve.
func (l *Limiter) Listener(listener net.Listener) net.Listener {
	boundSocketBuffers(listener)
	return &limitedListener{Listener: listener, limiter: l}
}

// Configure prepares a server for the connections of Listener.
func (l *Limiter) Configure(server *http.Server) {
	server.MaxHeaderBytes = libraryHeaderBytes
	server.ConnState = ConnState
	server.ConnContext = ConnContext
}

// ConnContext stores a connection in the context of its requests. It is the hook of http.Server.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	if c, ok := conn.(*Conn); ok {
		return context.WithValue(ctx, connKey{}, c)
	}
	return ctx
}

type connKey struct{}

// ConnOf returns the connection of a request's context, or nil if no Limiter has accepted it. All methods for handlers can be called on nil.
func ConnOf(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

type limitedListener struct {
	net.Listener
	limiter *Limiter
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if conn := l.limiter.admit(accepted); conn != nil {
			return conn, nil
		}
	}
}

// admit adds a connection, for which others may be closed. It returns nil if it closed the new one, because all others are being served.
func (l *Limiter) admit(accepted net.Conn) *Conn {
	now := time.Now()
	c := &Conn{Conn: accepted, limiter: l, since: now, progress: now}
	if err := l.reserve(&waiter{conn: c, bytes: connCost, admits: true}); err != nil {
		l.closed.WithLabelValues(reasonMemory).Inc()
		_ = reset(accepted)
		return nil
	}
	return c
}

// selectVictims returns the connections that hold most for longest without progress, which hold at least the given number of bytes together
// and are at least the given number, or all that can be closed. Requests that are being served are left alone, and so is the newcomer. The
// caller holds mu.
func (l *Limiter) selectVictims(now time.Time, bytes int64, count int, newcomer *Conn) []*Conn {
	if bytes <= 0 && count <= 0 {
		return nil
	}
	type candidate struct {
		conn   *Conn
		weight float64
	}
	candidates := make([]candidate, 0, len(l.conns))
	for _, c := range l.conns {
		if c != newcomer && c.closable() {
			candidates = append(candidates, candidate{c, c.weight(now)})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		switch {
		case a.weight > b.weight:
			return -1
		case a.weight < b.weight:
			return 1
		}
		return 0
	})
	var victims []*Conn
	for _, candidate := range candidates {
		if bytes <= 0 && len(victims) >= count {
			break
		}
		bytes -= candidate.conn.held
		victims = append(victims, candidate.conn)
	}
	return victims
}

// end marks connections that the caller closes after releasing mu, and reports whether the log must say so. What they hold stays charged
// until net/http has closed them.
func (l *Limiter) end(conns []*Conn, now time.Time) (begins bool) {
	for _, c := range conns {
		l.endOne(c)
	}
	return l.beginsPressure(len(conns) > 0, now)
}

func (l *Limiter) endOne(c *Conn) {
	c.ending = true
	l.ending += c.held
	l.endingConns++
	if c.waiter != nil {
		l.settle(c.waiter, net.ErrClosed)
	}
	if c.interrupt != nil {
		c.interrupt()
	}
}

// removeOne gives back what a connection holds.
func (l *Limiter) removeOne(c *Conn) {
	if c.gone {
		return
	}
	if c.waiter != nil {
		l.settle(c.waiter, net.ErrClosed)
	}
	l.release(c, c.held)
	c.gone = true
	if c.ending {
		l.endingConns--
	}
	last := len(l.conns) - 1
	l.conns[c.index] = l.conns[last]
	l.conns[c.index].index = c.index
	l.conns[last] = nil
	l.conns = l.conns[:last]
	l.grant()
}

// release gives back bytes that a connection holds. The caller holds mu.
func (l *Limiter) release(c *Conn, bytes int64) {
	if c.gone || bytes <= 0 {
		return
	}
	c.held -= bytes
	l.held -= bytes
	l.Pool.Add(-bytes)
	if c.ending {
		l.ending -= bytes
	}
	l.grant()
}

// beginsPressure records that a budget is used up and reports whether that is new. The caller holds mu.
func (l *Limiter) beginsPressure(used bool, now time.Time) bool {
	if !used {
		return false
	}
	l.pressedAt = now
	begins := !l.pressed
	l.pressed = true
	return begins
}

// closeAll closes connections that were removed for a budget.
func (l *Limiter) closeAll(victims []*Conn, begins bool) {
	for _, c := range victims {
		_ = reset(c.Conn) // the connection is of no use any more
	}
	if len(victims) > 0 {
		l.closed.WithLabelValues(reasonPressure).Add(float64(len(victims)))
	}
	if begins {
		l.log.Warn("the budget of clients' connections is used up; those that hold most without progress are closed")
	}
}

// check ends connections that have reached a timeout.
func (l *Limiter) check() {
	now := time.Now()
	var stuck []*Conn
	l.mu.Lock()
	for _, c := range l.conns {
		if reason := c.overdue(now, l.limits); reason == reasonWriteTime {
			stuck = append(stuck, c)
		} else if reason != "" {
			c.expire(reason)
		}
	}
	for _, c := range stuck {
		l.endOne(c)
	}
	ends := l.pressed && now.Sub(l.pressedAt) >= calmTime
	if ends {
		l.pressed = false
	}
	if len(l.conns) > 0 || l.pressed {
		l.timer.Reset(checkInterval)
	} else {
		l.timer = nil
	}
	l.mu.Unlock()
	for _, c := range stuck {
		l.closed.WithLabelValues(reasonWriteTime).Inc()
		_ = reset(c.Conn) // the connection is of no use any more
	}
	if ends {
		l.log.Info("the budget of clients' connections suffices again")
	}
}

// reset closes a connection and discards what its socket still holds.
func reset(conn net.Conn) error {
	if tcp, ok := conn.(interface{ SetLinger(sec int) error }); ok {
		_ = tcp.SetLinger(0) // the connection is closed in either way
	}
	return conn.Close()
}
