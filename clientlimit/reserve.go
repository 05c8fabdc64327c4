package clientlimit

import (
	"net"
	"slices"
	"time"
)

// endTimeout bounds the wait for closed connections to give back what they hold. Their goroutines only have to notice that they were closed.
const endTimeout = time.Second

// waiter is memory that a connection needs.
type waiter struct {
	conn  *Conn
	bytes int64
	// admits is set if the connection is new and needs a place among the open ones.
	admits bool
	// settled receives nil once the bytes are charged, or the reason why they are not.
	settled chan error
}

// charge adds bytes to what a connection holds, for which others may be closed. The error is ErrBudget if that is not enough, or net.ErrClosed
// if the connection was itself closed for another one.
func (l *Limiter) charge(c *Conn, bytes int64) error {
	if bytes <= 0 {
		return nil
	}
	return l.reserve(&waiter{conn: c, bytes: bytes})
}

// reserve charges what w needs, and waits for it if connections that were closed still hold it.
func (l *Limiter) reserve(w *waiter) error {
	now := time.Now()
	l.mu.Lock()
	if w.conn.ending || w.conn.gone {
		l.mu.Unlock()
		return net.ErrClosed
	}
	if len(l.waiters) == 0 && l.fits(w) {
		l.take(w)
		l.mu.Unlock()
		return nil
	}
	victims := l.victimsFor(w, now)
	begins := l.end(victims, now)
	bytes, conns := l.excess(w)
	refused := bytes > 0 || conns > 0
	if refused {
		begins = l.beginsPressure(true, now) || begins
	} else {
		w.settled = make(chan error, 1)
		w.conn.waiter = w
		l.waiters = append(l.waiters, w)
		l.grant()
	}
	l.mu.Unlock()
	l.closeAll(victims, begins)
	if refused {
		return ErrBudget
	}
	return l.await(w)
}

// await waits until w is settled.
func (l *Limiter) await(w *waiter) error {
	timer := time.NewTimer(endTimeout)
	defer timer.Stop()
	select {
	case err := <-w.settled:
		return err
	case <-timer.C:
	}
	l.mu.Lock()
	if w.conn.waiter == w {
		l.settle(w, ErrBudget)
	}
	l.mu.Unlock()
	return <-w.settled
}

// leastShare is the part of the budget that is left to connections whatever others hold of the pool. An owner that has taken over more jobs than
// fit must still respond to clients.
const leastShare = 4

// limit returns the bytes that all connections may hold: the budget, or less if others hold too much of the pool. The caller holds mu.
func (l *Limiter) limit() int64 {
	return min(l.budget.Bytes, max(l.held+l.Pool.Free(), l.budget.Bytes/leastShare))
}

// fits reports whether w can be charged now. The caller holds mu.
func (l *Limiter) fits(w *waiter) bool {
	return l.held+w.bytes <= l.limit() && (!w.admits || len(l.conns) < l.budget.Connections)
}

// excess returns by how much w exceeds the budget once all closed connections have given back what they hold and all that wait got what they
// need. The caller holds mu.
func (l *Limiter) excess(w *waiter) (bytes int64, conns int) {
	bytes = l.held - l.ending + w.bytes - l.limit()
	for _, other := range l.waiters {
		bytes += other.bytes
		if other.admits {
			conns++
		}
	}
	if !w.admits {
		return bytes, 0
	}
	return bytes, conns + len(l.conns) - l.endingConns + 1 - l.budget.Connections
}

// victimsFor selects the connections that must be closed for w. The caller holds mu.
func (l *Limiter) victimsFor(w *waiter, now time.Time) []*Conn {
	bytes, conns := l.excess(w)
	if bytes > 0 {
		bytes += l.limit() / spareShare
	}
	if conns > 0 {
		conns += l.budget.Connections / spareShare
	}
	return l.selectVictims(now, bytes, conns, w.conn)
}

// take charges w. The caller holds mu.
func (l *Limiter) take(w *waiter) {
	c := w.conn
	c.held += w.bytes
	l.held += w.bytes
	l.Pool.Add(w.bytes)
	if !w.admits {
		return
	}
	c.index = len(l.conns)
	l.conns = append(l.conns, c)
	if l.timer == nil {
		l.timer = time.AfterFunc(checkInterval, l.check)
	}
}

// grant charges what waits and fits, in order. The caller holds mu.
func (l *Limiter) grant() {
	for len(l.waiters) > 0 && l.fits(l.waiters[0]) {
		w := l.waiters[0]
		l.take(w)
		l.settle(w, nil)
	}
}

// settle ends the wait of w. The caller holds mu.
func (l *Limiter) settle(w *waiter, err error) {
	w.conn.waiter = nil
	i := slices.Index(l.waiters, w)
	l.waiters = slices.Delete(l.waiters, i, i+1)
	w.settled <- err
}
