package dispatch_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/currantthread/currantthread/internal/emulator"
)

// A start without a response may reach the process that starts next under the runner's ID, and this owner's token does not keep it from
// running. The task must not start elsewhere because the first process has left.
func TestOpenStartOnRunnerThatLeftIsAwaited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 2, fixedDuration(time.Hour))
		c, stop := cl.startOwner("a", true)
		c.SetRunner(t.Context(), cl.infos[1], false)
		time.Sleep(500 * time.Millisecond)
		cl.fleet.SetCommandFaults("r0", emulator.CommandFaults{Start: emulator.CommandRequestLost, Stop: emulator.CommandRequestLost})
		cl.submit(c, jobOf(1, tasks(1, 8000)))
		time.Sleep(1500 * time.Millisecond)
		cl.fleet.Crash("r0")
		c.SetRunner(t.Context(), cl.infos[0], false)
		c.SetRunner(t.Context(), cl.infos[1], true)
		c.RunnerLeft("r0", cl.infos[0].Born)
		time.Sleep(2 * time.Second)
		assert.Equal(t, cl.fleet.Running("r1"), 0)
		time.Sleep(6 * time.Second)
		assert.Equal(t, cl.fleet.Running("r1"), 1)
		stop()
		<-c.Done()
	})
}

// A runner's process that has left says nothing about the next one under its ID, whose runs must not be given up.
func TestRunsOfNextProcessAreKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 2, fixedDuration(time.Hour))
		c, stop := cl.startOwner("a", true)
		born := cl.infos[0].Born
		cl.fleet.Restart("r0")
		info, _ := cl.fleet.Info("r0")
		c.SetRunner(t.Context(), info, true)
		time.Sleep(3 * time.Second)
		cl.submit(c, jobOf(1, tasks(12, 8000)))
		time.Sleep(time.Second)
		running := cl.fleet.Running("r0")
		assert.Assert(t, running > 0)
		c.RunnerLeft("r0", born)
		time.Sleep(3 * time.Second)
		assert.Equal(t, cl.fleet.Running("r0"), running)
		cl.assertNoOverlap()
		stop()
		<-c.Done()
	})
}
