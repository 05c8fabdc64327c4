package cell_test

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/currantthread/currantthread/infra"
)

// netFaults are the faults of the fake network. The zero value delivers everything after oneWay.
type netFaults struct {
	// dropPercent is the share of requests and of answers that are lost.
	dropPercent int
	// latePercent is the share of requests and of answers that are delivered only after up to late; 0 means maxLate.
	latePercent int
	late        time.Duration
}

const (
	oneWay = time.Millisecond
	// maxLate is longer than a worker's lease, so that a late packet outlives everything it was sent under.
	maxLate = 15 * time.Second
	// callerTimeout is when a caller gives up. Its request may still be delivered.
	callerTimeout = 2500 * time.Millisecond
)

var errNoAnswer = errors.New("no answer")

// network delays, drops and reorders messages.
type network struct {
	ctx context.Context
	wg  sync.WaitGroup

	mu     sync.Mutex // guards the fields below
	rng    *rand.Rand
	faults netFaults
	cut    map[[2]string]bool
}

func (n *network) setFaults(f netFaults) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.faults = f
}

func (n *network) setCut(a, b string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[[2]string{a, b}] = cut
	n.cut[[2]string{b, a}] = cut
}

func (n *network) heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.faults = netFaults{}
	clear(n.cut)
}

// travel returns how long one message takes and whether it arrives.
func (n *network) travel(from, to string) (time.Duration, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	d := oneWay + time.Duration(n.rng.Int64N(int64(oneWay)))
	if n.cut[[2]string{from, to}] || n.rng.IntN(100) < n.faults.dropPercent {
		return 0, false
	}
	if n.rng.IntN(100) < n.faults.latePercent {
		d += time.Duration(n.rng.Int64N(int64(cmp.Or(n.faults.late, maxLate))))
	}
	return d, true
}

func (n *network) sleep(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-n.ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

type answer[T any] struct {
	value T
	err   error
}

// send calls handle at to on behalf of from. When ctx ends first, the request may still be handled later.
func send[T any](ctx context.Context, n *network, from, to string, handle func(context.Context) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, callerTimeout)
	defer cancel()
	answers := make(chan answer[T], 1)
	n.wg.Go(func() {
		d, ok := n.travel(from, to)
		if !ok || !n.sleep(d) {
			return
		}
		value, err := handle(n.ctx)
		d, ok = n.travel(to, from)
		if !ok || !n.sleep(d) {
			return
		}
		answers <- answer[T]{value, err}
	})
	select {
	case a := <-answers:
		return a.value, a.err
	case <-ctx.Done():
		var zero T
		return zero, &infra.UnknownOutcomeError{Err: errNoAnswer}
	}
}
