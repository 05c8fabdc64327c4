package limit

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/currantthread/currantthread/verdict"
)

// Codes of refusals by an Admission.
const (
	// CodeOverloaded means that the queue is full, or that the expected wait exceeds the time to the deadline.
	CodeOverloaded verdict.Code = "overloaded"
	// CodeQueueTimeout means that the deadline passed, or the caller disconnected, while the request waited.
	CodeQueueTimeout verdict.Code = "queue-timeout"
)

// Admission is the concurrency limit and the queue of one service. It is safe for concurrent use.
type Admission struct {
	mu     sync.Mutex // guards queue and counts
	queue  *Queue
	counts Counts
}

// Counts holds totals since the start, and the current numbers of running and waiting requests.
type Counts struct {
	Admitted [classCount]int64
	Shed     [classCount]int64
	Expired  [classCount]int64
	Running  int
	Waiting  [classCount]int
}

// NewAdmission returns an Admission that admits concurrency requests at a time and lets queue requests wait.
func NewAdmission(concurrency, queue int) *Admission {
	return &Admission{queue: NewQueue(concurrency, queue)}
}

// SetLimit changes the limits. Running and waiting requests that exceed the new limits are kept.
func (a *Admission) SetLimit(concurrency, queue int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.queue.SetLimit(time.Now(), concurrency, queue)
}

// Acquire waits until the request may run. It returns a function that marks the end of the request and that may be
// called more than once. The error is a *verdict.Error with verdict NotRun; RetryAfter returns when a retry may be
// admitted.
func (a *Admission) Acquire(ctx context.Context, class Class) (release func(), err error) {
	if ctx.Err() != nil {
		return nil, a.refuse(class, CodeQueueTimeout, ctx.Err())
	}
	resolved := make(chan error, 1)
	ticket, granted, err := a.offer(ctx, class, resolved)
	if err != nil {
		return nil, a.refuse(class, CodeOverloaded, err)
	}
	if granted {
		return a.admit(class), nil
	}
	select {
	case err = <-resolved:
	case <-ctx.Done():
		err = a.abandon(ctx, ticket, resolved)
	}
	switch {
	case err == nil:
		return a.admit(class), nil
	case errors.Is(err, ErrExpired), ctx.Err() != nil:
		return nil, a.refuse(class, CodeQueueTimeout, err)
	default:
		return nil, a.refuse(class, CodeOverloaded, err)
	}
}

// Counts returns the totals and the current numbers of requests.
func (a *Admission) Counts() Counts {
	a.mu.Lock()
	defer a.mu.Unlock()
	counts := a.counts
	counts.Running = a.queue.Running()
	for class := range classCount {
		counts.Waiting[class] = a.queue.WaitingOf(class)
	}
	return counts
}

func (a *Admission) offer(ctx context.Context, class Class, resolved chan error) (t *Ticket, granted bool, err error) {
	deadline, _ := ctx.Deadline()
	a.mu.Lock()
	defer a.mu.Unlock()
	t, err = a.queue.Offer(time.Now(), class, deadline, func(err error) { resolved <- err })
	if err != nil {
		return nil, false, err
	}
	return t, t.Granted(), nil
}

// abandon ends the wait of a request. If the request was granted in the meantime, its slot is returned.
func (a *Admission) abandon(ctx context.Context, t *Ticket, resolved chan error) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.queue.Abandon(t) {
		return ctx.Err()
	}
	if err := <-resolved; err != nil {
		return err
	}
	a.queue.ReturnUnused(time.Now())
	return ctx.Err()
}

func (a *Admission) admit(class Class) func() {
	a.mu.Lock()
	a.counts.Admitted[class]++
	a.mu.Unlock()
	begin := time.Now()
	return sync.OnceFunc(func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		now := time.Now()
		a.queue.Done(now, now.Sub(begin))
	})
}

func (a *Admission) refuse(class Class, code verdict.Code, err error) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if code == CodeQueueTimeout {
		a.counts.Expired[class]++
	} else {
		a.counts.Shed[class]++
	}
	return verdict.Wrap(verdict.NotRun, code, err)
}

// RetryAfter returns the time after which a retry of a refused request may be admitted, or 0 if err holds none.
func RetryAfter(err error) time.Duration {
	var shed *ShedError
	if errors.As(err, &shed) {
		return shed.RetryAfter
	}
	return 0
}
