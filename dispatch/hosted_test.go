package dispatch_test

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/currantthread/currantthread/internal/emulator"
	"github.com/currantthread/currantthread/runner"
	"github.com/currantthread/currantthread/workload"
)

// A host never returned a task. If it lost the task's runner and had no other place, the task waited there for good, beside free
// capacity in the cell that accepted the job.
func TestTaskLeavesHostWithoutPlace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, fixedDuration(emulator.Endless), 2, 2)
		go d.reportLoads()
		first, _ := d.own("c0", "a", d.store, d.fleet)
		second, _ := d.own("c1", "b", d.store, d.fleet)
		time.Sleep(3 * time.Second)
		job, other := jobOf(1, longRunning(2, 56000)), jobOf(2, longRunning(1, 56000))
		d.submit(first, job)
		d.submit(second, other)
		time.Sleep(time.Second)
		d.fleet.Crash("c0-r1")
		time.Sleep(lease + 500*time.Millisecond + taskResumeBound)
		assert.Equal(t, d.runningIn("c1", job), 1)
		// The host loses the runner of the task for good, and the origin gets a new one.
		for _, info := range d.runners["c1"] {
			if !slices.Contains(d.fleet.Runs()[workload.TaskID{Job: other.ID}], info.ID) {
				d.fleet.Crash(info.ID)
			}
		}
		added := runner.Info{ID: "c0-r9", Service: "kioscos", Addr: "c0-r9", Domain: "chipre", Born: 1,
			Capacity: workload.Resources{CPU: 64000, MemoryMB: 256000}}
		d.fleet.Add(added)
		first.SetRunner(t.Context(), added, true)
		took := awaitWithinMinute(t, func() bool { return d.fleet.Running("c0-r9") == 1 })
		assert.Assert(t, took < 15*time.Second, "the task started again after %v", took)
		d.assertNoOverlap()
	})
}
