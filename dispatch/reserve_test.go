package dispatch_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/currantthread/currantthread/lookahead"
	"github.com/currantthread/currantthread/workload"
)

// Batch tasks used each piece of capacity that became free, so a larger urgent task at the head of the queue waited until there were no more of them.
func TestLargeTaskStartsAmongSmallOnes(t *testing.T) {
	const runners = 8
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, runners, staggered)
		c, stop := cl.startOwner("a", true)
		defer func() {
			stop()
			<-c.Done()
		}()
		time.Sleep(100 * time.Millisecond)
		small := tasks(runners*6*20, smallCPU)
		small.Estimated = 2 * time.Second
		batch := jobOf(1, small)
		batch.Policy.Priority = 2
		cl.submit(c, batch)
		time.Sleep(3 * time.Second)
		large := tasks(1, largeCPU)
		large.Estimated = time.Second
		cl.submit(c, jobOf(2, large))
		took := awaitWithinMinute(t, func() bool { return len(cl.largeStarts()) > 0 })
		bound := lookahead.ReserveWait + 3*time.Second
		assert.Assert(t, took < bound, "the large task waited %v, want at most %v", took, bound)
		time.Sleep(2 * time.Second)
		assert.Equal(t, state(c, jobOf(2)), workload.StateCompleted)
		// The runner is given back to small tasks.
		for _, info := range cl.infos {
			assert.Equal(t, cl.fleet.Running(info.ID), 6)
		}
	})
}
