package limit_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/currantthread/currantthread/limit"
	"github.com/currantthread/currantthread/verdict"
)

// Guards against more requests in flight than the limit, a waiting request that is never granted, and a refusal that
// does not say "not run".
func TestAcquireWaitsForPlace(t *testing.T) {
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
