package dispatch_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/currantthread/currantthread/internal/emulator"
	"github.com/currantthread/currantthread/internal/wait"
)

// awaitUntil waits until a condition holds, at most for the given time, and returns how long it took.
func awaitUntil(t *testing.T, atMost time.Duration, holds func() bool) time.Duration {
	t.Helper()
	began := time.Now()
	for !holds() && time.Since(began) < atMost {
		wait.For(t.Context(), 20*time.Millisecond)
	}
	return time.Since(began)
}

// restartsWithin is the longest time until the lease of a runner that is gone has expired and its tasks have started again.
const restartsWithin = lease*103/100 + 250*time.Millisecond + time.Second

// While responses are lost, polls that should have reported an end are given up and repeated. The polls of a runner that was gone
// went on extending the lease that its owner waits for as long as other runners lost responses, so its tasks never started again.
func TestRepeatedPollsOfLostRunnerExtendNoLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 5, fixedDuration(20*time.Second))
		c, stop := cl.startOwner("a", true)
		time.Sleep(100 * time.Millisecond)
		lost, rest := cl.infos[0], cl.infos[1:]
		for _, info := range rest {
			info.Draining = true
			c.SetRunner(t.Context(), info, true)
		}
		cl.submit(c, jobOf(1, tasks(2, 4000)))
		time.Sleep(200 * time.Millisecond)
		assert.Equal(t, cl.fleet.Running(lost.ID), 2)
		for _, info := range rest {
			c.SetRunner(t.Context(), info, true)
		}
		// The tasks are overdue when their runner is lost, and responses of others are being lost.
		for _, info := range rest[1:] {
			cl.fleet.SetFault(info.ID, emulator.RunnerUnreachable)
		}
		time.Sleep(5 * time.Second)
		cl.fleet.SetFault(lost.ID, emulator.RunnerUnreachable)
		took := awaitUntil(t, time.Minute, func() bool { return cl.fleet.Running(rest[0].ID) == 2 })
		assert.Assert(t, took < restartsWithin, "the tasks of the lost runner started again after %v, want at most %v", took, restartsWithin)
		cl.assertNoOverlap()
		stop()
		<-c.Done()
	})
}
