package limit_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/currantthread/currantthread/limit"
	"github.com/currantthread/currantthread/verdict"
)

// Acquire must wait for a free slot, and a refused request must have the verdict NotRun.
func TestAcquireWaitsForSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := limit.NewAdmission(1, 1)
		release, err := a.Acquire(t.Context(), limit.LatencyCritical)
		assert.NilError(t, err)
		time.AfterFunc(time.Second, release)

		ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
		defer cancel()
		_, err = a.Acquire(ctx, limit.Batch)
		assert.Equal(t, verdict.Of(err), verdict.NotRun)

		begin := time.Now()
		release, err = a.Acquire(t.Context(), limit.Batch)
		assert.NilError(t, err)
		assert.Equal(t, time.Since(begin), 500*time.Millisecond)
		release()
		release()
		assert.Equal(t, a.Counts().Running, 0)
	})
}

// A slot must not leak when it is granted at the instant at which the caller cancels.
func TestGrantAtDeadlineIsReturned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := limit.NewAdmission(1, 1)
		for range 200 {
			release, err := a.Acquire(t.Context(), limit.LatencyCritical)
			assert.NilError(t, err)
			ctx, cancel := context.WithCancel(t.Context())
			time.AfterFunc(time.Second, func() {
				cancel()
				release()
			})
			second, err := a.Acquire(ctx, limit.Batch)
			if err == nil {
				second()
			} else {
				assert.Equal(t, verdict.Of(err), verdict.NotRun)
			}
			synctest.Wait()
			assert.Equal(t, a.Counts().Running, 0)
		}
	})
}

// Refusals must be counted by class and reason, and must have the verdict NotRun.
func TestCountsAndCodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := limit.NewAdmission(1, 0)
		release, err := a.Acquire(t.Context(), limit.LatencyCritical)
		assert.NilError(t, err)
		defer release()
		_, err = a.Acquire(t.Context(), limit.Batch)
		var refusal *verdict.Error
		assert.Assert(t, errors.As(err, &refusal))
		assert.Equal(t, refusal.Code, limit.CodeOverloaded)
		assert.Equal(t, refusal.Verdict, verdict.NotRun)
		assert.Equal(t, limit.RetryAfter(err), time.Second)
		ended, cancel := context.WithCancel(t.Context())
		cancel()
		_, err = a.Acquire(ended, limit.LatencyCritical)
		assert.Assert(t, errors.As(err, &refusal))
		assert.Equal(t, refusal.Code, limit.CodeQueueTimeout)
		counts := a.Counts()
		assert.Equal(t, counts.Admitted[limit.LatencyCritical], int64(1))
		assert.Equal(t, counts.Shed[limit.Batch], int64(1))
		assert.Equal(t, counts.Expired[limit.LatencyCritical], int64(1))
	})
}
