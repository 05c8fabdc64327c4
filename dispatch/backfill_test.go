package dispatch_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/currantthread/currantthread/dispatch"
	"github.com/currantthread/currantthread/workload"
)

const (
	smallCPU, largeCPU = 10_000, 30_000
	// smallTasks keep two runners of 64 cores busy for 40 s and longer.
	smallTasks = 2 * 6 * 20
	// startsWithin is the bound of the wait of a large task: holdWaitBound, and the longest time of a small one.
	startsWithin = time.Second + 3*time.Second
)

// staggered returns work in which no two small tasks that run together end together.
func staggered(task workload.TaskID, _ int) (time.Duration, bool) {
	if task.Job == jobOf(2).ID {
		return time.Second, false
	}
	return 2*time.Second + time.Duration(task.Index*37%60)*13*time.Millisecond, false
}

// startCrowded returns a cell with a late job of small best-effort tasks that fill its runners, and one of a large task, both submitted.
func (cl *cluster) startCrowded() *dispatch.Cell {
	cl.t.Helper()
	cl.addUnreachableRunners(10)
	c, stop := cl.startOwner("a", true)
	cl.t.Cleanup(stop)
	time.Sleep(100 * time.Millisecond)
	for i, step := range []workload.Step{tasks(smallTasks, smallCPU), tasks(1, largeCPU)} {
		step.BestEffort, step.Estimated = true, 2*time.Second
		job := jobOf(i+1, step)
		job.AcceptedAt = time.Now().Add(-time.Hour)
		cl.submit(c, job)
		time.Sleep(200 * time.Millisecond)
	}
	return c
}

// largeStarts returns the runners on which the large task started.
func (cl *cluster) largeStarts() []string {
	var runners []string
	for _, start := range cl.fleet.Starts() {
		if start.Task.Job == jobOf(2).ID {
			runners = append(runners, start.Runner)
		}
	}
	return runners
}

// Small best-effort tasks used each piece of processor time that became free, so a large one at the head of the queue waited until there were no
// more of them (kioscos-reserva, review/4/day.toml --seed 303: LOST).
func TestLargeBestEffortTaskStartsAmongSmallOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 2, staggered)
		c := cl.startCrowded()
		took := awaitWithinMinute(t, func() bool { return len(cl.largeStarts()) > 0 })
		assert.Assert(t, took < startsWithin, "the large task waited %v, want at most %v", took, startsWithin)
		time.Sleep(2 * time.Second)
		assert.Equal(t, state(c, jobOf(2)), workload.StateCompleted)
		// The runner is given back to small tasks.
		for _, info := range cl.infos[:2] {
			assert.Equal(t, cl.fleet.Running(info.ID), 6)
		}
	})
}
