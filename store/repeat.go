package store

import (
	"context"
	"sync/atomic"
	"time"
)

// Repeater repeats a call that gets no response, at most once and without waiting for the first one, so that a connection that
// delivers nothing more costs less than the timeout of a call. It is safe for concurrent use.
type Repeater struct {
	// Delay is the shortest time after which a call is repeated.
	Delay time.Duration
	// took is the time of the last successful call, a time.Duration. While the store is slow, calls are repeated later.
	took atomic.Int64
}

// Repeat returns the first successful result of call, or the error of the last attempt that failed. It cancels the other
// attempt, which may have been executed, or may still be. wait is how long the store may hold the call open.
func Repeat[T any](ctx context.Context, r *Repeater, wait time.Duration, call func(ctx context.Context) (T, error)) (T, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type result struct {
		value T
		err   error
	}
	results := make(chan result, 2)
	attempt := func() {
		started := time.Now()
		value, err := call(ctx)
		if err == nil {
			r.took.Store(int64(max(time.Since(started)-wait, 0)))
		}
		results <- result{value, err}
	}
	go attempt()
	running := 1
	repeat := time.NewTimer(wait + max(r.Delay, 2*time.Duration(r.took.Load())))
	defer repeat.Stop()
	for {
		select {
		case res := <-results:
			running--
			if res.err == nil || running == 0 {
				return res.value, res.err
			}
		case <-repeat.C:
			running++
			go attempt()
		}
	}
}

// RepeatedReads is a store whose reads are repeated if they get no response.
type RepeatedReads struct {
	Store
	Repeater *Repeater
}

// Range implements Store.
func (s *RepeatedReads) Range(ctx context.Context, table, part, from, to string, limit int) (Page, error) {
	return Repeat(ctx, s.Repeater, 0, func(ctx context.Context) (Page, error) {
		return s.Store.Range(ctx, table, part, from, to, limit)
	})
}

// Feed implements Store.
func (s *RepeatedReads) Feed(ctx context.Context, table string, after int64, wait time.Duration) (Page, error) {
	return Repeat(ctx, s.Repeater, wait, func(ctx context.Context) (Page, error) {
		return s.Store.Feed(ctx, table, after, wait)
	})
}
