package upstream

import (
	"container/list"
	"context"
	"errors"
	"sync"
	"time"

	"github.com/currantthread/currantthread/verdict"
)

var errPoolClosed = errors.New("pool is closed")

// failedConnsLimit is the number of different connections that must fail in a row before the upstream counts as failed.
const failedConnsLimit = 2

// latencyShare is the inverse of the weight of a new sample in the pool's average latency.
const latencyShare = 8

// Pool holds the connections to one upstream address. It is safe for concurrent use.
type Pool struct {
	addr string
	dial DialFunc
	cfg  Config

	mu     sync.Mutex // owner: Pool; guards the fields below
	limit  int
	open   int     // connections in use, idle and being opened
	idle   []*conn // ordered by the time they became idle, newest last
	wait   list.List
	closed bool
	// failed counts the connections that failed since the last answer.
	failed int
	// latency is the moving average of the time to the header of an answer; 0 before the first.
	latency time.Duration
}

// grant is what a waiting request gets: a connection, or leave to open one if conn is nil.
type grant struct {
	conn *conn
	err  error
}

// NewPool returns a pool without connections.
func NewPool(addr string, dial DialFunc, cfg Config) *Pool {
	cfg = cfg.withDefaults()
	return &Pool{addr: addr, dial: dial, cfg: cfg, limit: cfg.MaxConns}
}

// SetMaxConns changes the connection limit. Connections in use beyond it are closed when they become idle.
func (p *Pool) SetMaxConns(limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = max(limit, 1)
	p.trimIdle(time.Now())
	for p.open < p.limit && p.wait.Len() > 0 {
		p.open++
		p.grantFirst(grant{})
	}
}

// Failed reports whether several different connections in a row failed. One silent connection is no sign of a failed
// upstream, because a device on the path may have lost the state of that connection only.
func (p *Pool) Failed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.failed >= failedConnsLimit
}

// Open returns the number of open connections.
func (p *Pool) Open() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// Trim closes connections that have been idle for the idle timeout.
func (p *Pool) Trim() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.trimIdle(time.Now())
}

// Close closes idle connections and refuses new requests. Requests in flight finish.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.dropIdle()
	for p.wait.Len() > 0 {
		p.grantFirst(grant{err: errPoolClosed})
	}
}

// acquire returns a connection that is not in use by anybody else. Errors are *verdict.Error with NotRun.
func (p *Pool) acquire(ctx context.Context, idempotent, onlyNew bool) (*conn, error) {
	for {
		c, err := p.next(ctx)
		if err != nil {
			return nil, err
		}
		if c == nil {
			return p.open1(ctx)
		}
		switch {
		case !c.quiet():
			p.cfg.OnEvent(EventFoundClosed)
		case onlyNew, !idempotent && time.Since(c.idleSince) > p.cfg.IdleCheck:
			p.cfg.OnEvent(EventReplaced)
		default:
			p.cfg.OnEvent(EventReused)
			return c, nil
		}
		_ = c.Close()
		if onlyNew || !idempotent {
			return p.open1(ctx)
		}
		p.giveUpSlot()
	}
}

// next returns an idle connection, or nil with a slot in which the caller may open one.
func (p *Pool) next(ctx context.Context) (*conn, error) {
	p.mu.Lock()
	p.trimIdle(time.Now())
	switch {
	case p.closed:
		p.mu.Unlock()
		return nil, verdict.Wrap(verdict.NotRun, CodeConnectFailed, errPoolClosed)
	case len(p.idle) > 0:
		c := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		p.mu.Unlock()
		return c, nil
	case p.open < p.limit:
		p.open++
		p.mu.Unlock()
		return nil, nil
	}
	granted := make(chan grant, 1)
	place := p.wait.PushBack(granted)
	p.mu.Unlock()
	select {
	case g := <-granted:
		if g.err != nil {
			return nil, verdict.Wrap(verdict.NotRun, CodeConnectFailed, g.err)
		}
		return g.conn, nil
	case <-ctx.Done():
		p.leaveQueue(place, granted)
		return nil, verdict.Wrap(verdict.NotRun, CodeConnectionWait, context.Cause(ctx))
	}
}

// leaveQueue removes a waiting request, and passes on what it may have been granted meanwhile.
func (p *Pool) leaveQueue(place *list.Element, granted chan grant) {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case g := <-granted:
		switch {
		case g.err != nil:
		case g.conn == nil:
			p.freeSlot()
		default:
			p.putIdle(g.conn)
		}
	default:
		p.wait.Remove(place)
	}
}

// open1 opens a connection in a slot that the caller holds.
func (p *Pool) open1(ctx context.Context) (*conn, error) {
	dialCtx, cancel := context.WithTimeout(ctx, p.cfg.DialTimeout)
	defer cancel()
	netConn, err := p.dial(dialCtx, p.addr)
	if err == nil {
		p.cfg.OnEvent(EventDialed)
		return newConn(p, netConn), nil
	}
	p.cfg.OnEvent(EventDialFailed)
	p.giveUpSlot()
	if ctx.Err() != nil {
		return nil, verdict.Wrap(verdict.NotRun, CodeConnectionWait, err)
	}
	p.countFailure()
	return nil, verdict.Wrap(verdict.NotRun, CodeConnectFailed, err)
}

// release takes back a connection after a complete exchange. reusable is false if the connection must not carry
// another request.
func (p *Pool) release(c *conn, reusable bool) {
	if !reusable {
		_ = c.Close()
		p.giveUpSlot()
		return
	}
	_ = c.SetDeadline(time.Time{})
	c.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.putIdle(c)
}

// putIdle hands c to the first waiting request or keeps it. The caller holds p.mu.
func (p *Pool) putIdle(c *conn) {
	switch {
	case p.closed, p.open > p.limit:
		_ = c.Close()
		p.freeSlot()
	case p.wait.Len() > 0:
		p.grantFirst(grant{conn: c})
	default:
		p.idle = append(p.idle, c)
	}
}

func (p *Pool) giveUpSlot() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.freeSlot()
}

// freeSlot passes a slot on to the first waiting request. The caller holds p.mu.
func (p *Pool) freeSlot() {
	if p.wait.Len() > 0 && p.open <= p.limit && !p.closed {
		p.grantFirst(grant{})
		return
	}
	p.open--
}

// grantFirst serves the first waiting request. The caller holds p.mu.
func (p *Pool) grantFirst(g grant) {
	granted := p.wait.Remove(p.wait.Front()).(chan grant)
	granted <- g
}

// trimIdle closes connections beyond the limit or the idle timeout. The caller holds p.mu.
func (p *Pool) trimIdle(now time.Time) {
	for len(p.idle) > 0 && (p.open > p.limit || now.Sub(p.idle[0].idleSince) > p.cfg.IdleTimeout) {
		_ = p.idle[0].Close()
		p.idle = p.idle[1:]
		p.open--
	}
}

// dropIdle closes all idle connections. The caller holds p.mu.
func (p *Pool) dropIdle() {
	for _, c := range p.idle {
		_ = c.Close()
		p.open--
	}
	p.idle = nil
}

// countFailure records that one more connection failed.
func (p *Pool) countFailure() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failed++
}

// countSilence records that a reused connection gave no answer. Other idle connections crossed the same path before, so
// they are replaced as well.
func (p *Pool) countSilence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failed++
	p.dropIdle()
}

// countAnswer records an answer that took d to its header.
func (p *Pool) countAnswer(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failed = 0
	if p.latency == 0 {
		p.latency = d
		return
	}
	p.latency += (d - p.latency) / latencyShare
}

const (
	// silenceFactor is how many times the average latency a reused connection may take before it counts as silent.
	silenceFactor = 8
	// minSilence keeps short pauses of a fast upstream, such as a garbage collection, from looking like silence.
	minSilence = 250 * time.Millisecond
)

// silenceLimit returns how long an idempotent request waits for an answer on a reused connection before it is repeated
// on a new one. remaining is the time to its deadline.
func (p *Pool) silenceLimit(remaining time.Duration) time.Duration {
	p.mu.Lock()
	latency := p.latency
	p.mu.Unlock()
	return min(max(latency*silenceFactor, minSilence), remaining/2)
}
