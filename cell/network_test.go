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

// netFaults are the faults of the fake network. The zero value delivers everything with the normal latency.
type netFaults struct {
	// dropPercent is the percentage of requests and of responses that are lost.
	dropPercent int
	// latePercent is the percentage of requests and of responses with an extra delay of up to late; late 0 means maxLate.
	latePercent int
	late        time.Duration
}

const (
	oneWayDelay = time.Millisecond
	// maxLate is longer than a worker's lease, so that a late message can arrive after the lease has expired.
	maxLate = 15 * time.Second
	// callerTimeout is the timeout of a call. The request may still be delivered afterwards.
	callerTimeout = 2500 * time.Millisecond
)

var errNoResponse = errors.New("no response")

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

// drawDelivery draws the latency of one message and whether it arrives.
func (n *network) drawDelivery(from, to string) (time.Duration, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	d := oneWayDelay + time.Duration(n.rng.Int64N(int64(oneWayDelay)))
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

type response[T any] struct {
	value T
	err   error
}

// send delivers a request from one address to another, calls handle there and returns the response. If ctx ends first, the
// request may still be handled later.
func send[T any](ctx context.Context, n *network, from, to string, handle func(context.Context) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, callerTimeout)
	defer cancel()
	responses := make(chan response[T], 1)
	n.wg.Go(func() {
		d, ok := n.drawDelivery(from, to)
		if !ok || !n.sleep(d) {
			return
		}
		value, err := handle(n.ctx)
		d, ok = n.drawDelivery(to, from)
		if !ok || !n.sleep(d) {
			return
		}
		responses <- response[T]{value, err}
	})
	select {
	case resp := <-responses:
		return resp.value, resp.err
	case <-ctx.Done():
		var zero T
		return zero, &infra.UnknownOutcomeError{Err: errNoResponse}
	}
}
