// Package wait provides waits that end early when a context is cancelled.
package wait

import (
	"context"
	"time"
)

// For waits for d and reports whether ctx is still active. It creates no timer if d is zero or less: a timer that is due when
// it is created crashes Go 1.26's race detector in a synctest bubble.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return ctx.Err() == nil
	}
}

// ForSignal waits for d, which must be above zero, or until signal delivers a value or is closed. It reports whether ctx is
// still active.
func ForSignal(ctx context.Context, d time.Duration, signal <-chan struct{}) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
	case <-signal:
	}
	return true
}
