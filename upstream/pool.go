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

// latencyWindow is the inverse of the weight of a new sample in the pool's moving average of the latency.
const latencyWindow = 8

// Pool holds the connections to one upstream address. It is safe for concurrent use.
type Pool struct {
	addr string
	dial DialFunc
	cfg  Config

	mu      sync.Mutex // guards the fields below
	limit   int
	open    int     // number of connections in use, idle or being opened
	idle    []*conn // ordered by the time they became idle, newest last
	waiting list.List
	closed  bool
	// failed counts the connections that failed since the last response.
	failed int
	// latency is the moving average of the time until the header of a response arrives; 0 before the first response.
	latency time.Duration
}

// grant is passed to a waiting request: a connection, an error, or a slot to open a connection if both are nil.
type grant struct {
	conn *conn
	err  error
}

// NewPool returns a pool without connections.
func NewPool(addr string, dial DialFunc, cfg Config) *Pool {
	cfg = cfg.withDefaults()
	return &Pool{addr: addr, dial: dial, cfg: cfg, limit: cfg.MaxConns}
}

// SetMaxConns changes the connection limit. Connections in use above the limit are closed when they become idle.
func (p *Pool) SetMaxConns(limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = max(limit, 1)
	p.trimIdle(time.Now())
	for p.open < p.limit && p.waiting.Len() > 0 {
		p.open++
		p.grantFirst(grant{})
	}
}

// Failed reports whether several different connections failed in a row. A single silent connection does not indicate a
// failed upstream, because a device on the path may have lost the state of that connection only.
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

// Close closes idle connections and makes new and waiting requests fail. Requests in flight finish.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.dropIdle()
	for p.waiting.Len() > 0 {
		p.grantFirst(grant{err: errPoolClosed})
	}
}

// acquire returns a connection for exclusive use. Errors are *verdict.Error with NotRun.
func (p *Pool) acquire(ctx context.Context, idempotent, onlyNew bool) (*conn, error) {
	for {
		c, err := p.next(ctx)
		if err != nil {
			return nil, err
		}
		if c == nil {
			return p.dialConn(ctx)
		}
		switch {
		case !c.stillIdle():
			p.cfg.OnEvent(EventFoundClosed)
		case onlyNew, !idempotent && time.Since(c.idleSince) > p.cfg.IdleCheck:
			p.cfg.OnEvent(EventReplaced)
		default:
			p.cfg.OnEvent(EventReused)
			return c, nil
		}
		_ = c.Close()
		if onlyNew || !idempotent {
			return p.dialConn(ctx)
		}
		p.releaseSlot()
	}
}

// next returns an idle connection, or nil after reserving a slot in which the caller may open one. It waits for either
// if the limit is reached.
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
	element := p.waiting.PushBack(granted)
	p.mu.Unlock()
	select {
	case g := <-granted:
		if g.err != nil {
			return nil, verdict.Wrap(verdict.NotRun, CodeConnectFailed, g.err)
		}
		return g.conn, nil
	case <-ctx.Done():
		p.leaveQueue(element, granted)
		return nil, verdict.Wrap(verdict.NotRun, CodeConnectionWait, context.Cause(ctx))
	}
}

// leaveQueue removes a waiting request. If it was granted a connection or slot meanwhile, that goes to the next one.
func (p *Pool) leaveQueue(element *list.Element, granted chan grant) {
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
		p.waiting.Remove(element)
	}
}

// dialConn opens a connection in a slot that the caller has reserved.
func (p *Pool) dialConn(ctx context.Context) (*conn, error) {
	dialCtx, cancel := context.WithTimeout(ctx, p.cfg.DialTimeout)
	defer cancel()
	netConn, err := p.dial(dialCtx, p.addr)
	if err == nil {
		p.cfg.OnEvent(EventDialed)
		return newConn(p, netConn), nil
	}
	p.cfg.OnEvent(EventDialFailed)
	p.releaseSlot()
	if ctx.Err() != nil {
		return nil, verdict.Wrap(verdict.NotRun, CodeConnectionWait, err)
	}
	p.countFailure()
	return nil, verdict.Wrap(verdict.NotRun, CodeConnectFailed, err)
}

// release returns a connection to the pool after an exchange. reusable is false if the connection must be closed.
func (p *Pool) release(c *conn, reusable bool) {
	if !reusable {
		_ = c.Close()
		p.releaseSlot()
		return
	}
	_ = c.SetDeadline(time.Time{})
	c.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.putIdle(c)
}

// putIdle passes c to the first waiting request or adds it to the idle connections. The caller holds p.mu.
func (p *Pool) putIdle(c *conn) {
	switch {
	case p.closed, p.open > p.limit:
		_ = c.Close()
		p.freeSlot()
	case p.waiting.Len() > 0:
		p.grantFirst(grant{conn: c})
	default:
		p.idle = append(p.idle, c)
	}
}

func (p *Pool) releaseSlot() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.freeSlot()
}

// freeSlot passes a slot to the first waiting request or frees it. The caller holds p.mu.
func (p *Pool) freeSlot() {
	if p.waiting.Len() > 0 && p.open <= p.limit && !p.closed {
		p.grantFirst(grant{})
		return
	}
	p.open--
}

// grantFirst passes g to the first waiting request. The caller holds p.mu.
func (p *Pool) grantFirst(g grant) {
	granted := p.waiting.Remove(p.waiting.Front()).(chan grant)
	granted <- g
}

// trimIdle closes idle connections above the limit or past the idle timeout. The caller holds p.mu.
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

// countFailure counts a failed connection.
func (p *Pool) countFailure() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failed++
}

// countSilence counts a reused connection on which no response arrived. The other idle connections use the same network
// path, so they are closed as well.
func (p *Pool) countSilence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failed++
	p.dropIdle()
}

// recordResponse records a response whose header arrived after d.
func (p *Pool) recordResponse(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failed = 0
	if p.latency == 0 {
		p.latency = d
		return
	}
	p.latency += (d - p.latency) / latencyWindow
}

const (
	// silenceFactor is the multiple of the average latency after which a reused connection counts as silent.
	silenceFactor = 8
	// minSilence is the lower bound of that time, unless half the time until the deadline is shorter. It is longer than
	// short pauses of a fast upstream, such as a garbage collection.
	minSilence = 250 * time.Millisecond
)

// silenceLimit returns how long an idempotent request waits for a response on a reused connection before it is retried
// on a new one. remaining is the time until its deadline.
func (p *Pool) silenceLimit(remaining time.Duration) time.Duration {
	p.mu.Lock()
	latency := p.latency
	p.mu.Unlock()
	return min(max(latency*silenceFactor, minSilence), remaining/2)
}
