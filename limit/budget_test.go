package limit_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/currantthread/currantthread/limit"
)

// Retries must stay within the percentage of requests plus the floor; more would turn a fault into an overload.
func TestRetryBudgetBounds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := limit.NewRetryBudget(10, 3)
		retries := 0
		for range 10_000 {
			b.Deposit()
			if b.Withdraw() {
				retries++
			}
			time.Sleep(time.Millisecond)
		}
		// 10 seconds: 10% of 10,000 requests, 3 a second, and the burst of the floor.
		assert.Assert(t, retries <= 1000+30+3, "%d retries", retries)
		assert.Assert(t, retries >= 1000+30-3, "%d retries", retries)
	})
}

// The budget must keep its long-term rate even if single requests are larger than the bucket, and must let these
// requests through eventually.
func TestByteBudgetHoldsRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const bytesPerSecond = 1000
		b := limit.NewByteBudget(bytesPerSecond)
		sent := int64(0)
		for i := range 600 {
			if b.Allow(2500) {
				sent += 2500
			}
			if i >= 300 && b.Allow(100) {
				sent += 100
			}
			time.Sleep(100 * time.Millisecond)
		}
		assert.Assert(t, sent <= 60*bytesPerSecond+2500, "%d bytes in 60 s", sent)
		assert.Assert(t, sent >= 50*bytesPerSecond, "%d bytes in 60 s", sent)
	})
}
