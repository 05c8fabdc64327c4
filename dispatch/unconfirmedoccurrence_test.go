package dispatch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/currantthread/currantthread/internal/emulator"
	"github.com/currantthread/currantthread/runner"
	"github.com/currantthread/currantthread/workload"
)

// An owner that does not know yet which runners the cell has creates an occurrence that its predecessor may have started.
func TestOccurrenceOfThePreviousOwnerBeforeRunnersAreConfirmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := emulator.NewStore()
		fleet := emulator.NewFleet(func(workload.TaskID, int) (time.Duration, bool) { return 4 * time.Second, false })
		fleet.Add(largeRunner)
		job := scheduleDuringOutage(t, s, fleet, func() { fleet.SetFault(largeRunner.ID, emulator.RunnerUnreachable) })
		other := largeRunner
		other.ID, other.Addr = "r1", "r1"
		fleet.Add(other)
		cfg := testConfig("n2", s, fleet)
		cfg.Acquired = func(int64) {}
		previous, version, err := ReadOwner(t.Context(), s, cfg.Part)
		assert.NilError(t, err)
		second, err := Acquire(t.Context(), cfg, previous, version, nil)
		assert.NilError(t, err)
		ctx, stop := context.WithCancel(t.Context())
		go second.Run(ctx)
		defer func() {
			stop()
			<-second.Done()
		}()
		time.Sleep(500 * time.Millisecond)
		second.SetRunner(ctx, largeRunner, true)
		second.SetRunner(ctx, other, true)
		second.ConfirmRunners([]runner.Info{largeRunner, other})
		time.Sleep(30 * time.Second)
		assert.Equal(t, len(fleet.Overlaps()), 0)
		state, _ := second.State(job.ID)
		assert.Equal(t, state, workload.StateCompleted)
	})
}
