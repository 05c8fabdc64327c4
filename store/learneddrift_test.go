package store_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/currantthread/currantthread/internal/emulator"
	"github.com/currantthread/currantthread/store"
)

// The clock of another process may run slower or faster. Its marks must date a version neither too early nor bound it too closely.
func TestMarksOfAProcessWithAnotherClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const age, drift = 10 * time.Second, 200 * time.Millisecond
		c := store.NewVersionClock(emulator.NewStore(), notSuspended)
		time.Sleep(time.Minute)
		now := time.Now()
		assert.NilError(t, c.Learn(func() (store.Marks, error) {
			return store.Marks{Sent: []store.Mark{{Version: 4, Age: age}}, Received: []store.Mark{{Version: 7, Age: age}}}, nil
		}))
		before, known := c.GivenOutBefore(7)
		assert.Assert(t, known)
		assert.Assert(t, now.Sub(before) <= age-drift, "%v", now.Sub(before))
		since, known := c.Since(5)
		assert.Assert(t, known)
		assert.Assert(t, since >= age+drift, "%v", since)
	})
}
