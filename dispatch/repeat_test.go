package dispatch_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/currantthread/currantthread/internal/emulator"
	"github.com/currantthread/currantthread/workload"
)

// A start without a response was followed by a poll, a stop, a back-off and a start elsewhere, each of which could get no response either. With half
// of the commands unanswered, accepted tasks waited for seconds beside free runners (LOST on kioscos-reserva with applied_late).
func TestStartWithoutResponseIsRepeated(t *testing.T) {
	for name, fault := range map[string]emulator.CommandFault{"lost": emulator.CommandRequestLost, "response lost": emulator.CommandResponseLost,
		"late": emulator.CommandAppliedLate} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cl := newCluster(t, 1, fixedDuration(10*time.Second))
				c, stop := cl.startOwner("a", true)
				time.Sleep(time.Second)
				cl.fleet.SetCommandFaults("r0", emulator.CommandFaults{Start: fault})
				job := jobOf(1, tasks(1, 8000))
				cl.submit(c, job)
				time.Sleep(300 * time.Millisecond)
				cl.fleet.SetCommandFaults("r0", emulator.CommandFaults{})
				time.Sleep(time.Second)
				assert.Equal(t, cl.fleet.Running("r0"), 1)
				time.Sleep(10 * time.Second)
				assert.Equal(t, state(c, job), workload.StateCompleted)
				assert.Equal(t, cl.startsOf(job), 1)
				cl.assertNoOverlap()
				stop()
				<-c.Done()
			})
		})
	}
}

// A repeated start that the runner refuses, because the run has been executed and ended before, must not run the task again.
func TestRepeatedStartOfAnEndedRunRunsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 2, fixedDuration(200*time.Millisecond))
		c, stop := cl.startOwner("a", true)
		time.Sleep(time.Second)
		for _, id := range []string{"r0", "r1"} {
			cl.fleet.SetCommandFaults(id, emulator.CommandFaults{Start: emulator.CommandResponseLost})
		}
		job := jobOf(1, tasks(2, 8000))
		cl.submit(c, job)
		time.Sleep(settleTime)
		assert.Equal(t, state(c, job), workload.StateCompleted)
		assert.Equal(t, cl.startsOf(job), 2)
		stop()
		<-c.Done()
	})
}

// A start is not repeated to a runner that has begun to drain.
func TestStartIsNotRepeatedToADrainingRunner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 1, fixedDuration(10*time.Second))
		c, stop := cl.startOwner("a", true)
		time.Sleep(time.Second)
		cl.fleet.SetCommandFaults("r0", emulator.CommandFaults{Start: emulator.CommandRequestLost})
		job := jobOf(1, tasks(1, 8000))
		cl.submit(c, job)
		time.Sleep(100 * time.Millisecond)
		cl.setDraining(c, 0)
		cl.fleet.SetCommandFaults("r0", emulator.CommandFaults{})
		time.Sleep(settleTime)
		assert.Equal(t, cl.startsOf(job), 0)
		stop()
		<-c.Done()
	})
}
