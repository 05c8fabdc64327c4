package sched

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/currantthread/currantthread/job"
)

// failOn places a task of the job on the worker and reports that it failed.
func failOn(t *testing.T, s *Scheduler, jobID, worker string) {
	t.Helper()
	task := batchTask(fmt.Sprintf("%s/%d", jobID, len(s.jobs.records)*100+len(s.tasks)), cpu(100))
	s.Restore(Allocation{Task: task, Worker: worker, Commitment: cpu(100)})
	assert.Assert(t, s.Release(task.ID, EndFailed))
}

func healthScheduler() *Scheduler {
	s := newScheduler(DefaultConfig())
	for i := range 4 {
		s.UpsertWorker(testWorker(fmt.Sprintf("w%d", i), cpu(1000)))
	}
	s.Plan(epoch, 0)
	return s
}

// A worker that fails every job must get no starts for a while, and single tasks on probation afterwards.
func TestBadWorkerGetsNoStartsDuringBackoff(t *testing.T) {
	s := healthScheduler()
	for _, jobID := range []string{"a", "b", "c"} {
		failOn(t, s, jobID, "w0")
	}
	assert.Equal(t, s.Stats().BadWorkers, 1)
	assert.Equal(t, s.Stats().BadJobs, 0)
	for i := range 50 {
		assert.NilError(t, s.Enqueue(batchTask(fmt.Sprintf("x/%d", i), cpu(100))))
	}
	for _, worker := range started(commitPlan(s, epoch)) {
		assert.Assert(t, worker != "w0")
	}
	for _, id := range []string{"w1", "w2", "w3"} {
		s.SetWorkerReady(id, false)
	}
	after := epoch.Add(s.cfg.BadWorkerBackoff)
	probes := started(commitPlan(s, after))
	assert.Equal(t, len(probes), 1, "a worker on probation runs one task at a time")
	for id, worker := range probes {
		assert.Equal(t, worker, "w0")
		assert.Equal(t, len(commitPlan(s, after.Add(time.Second)).Starts), 0)
		s.Release(id, EndStopped)
	}
	assert.Equal(t, len(commitPlan(s, after.Add(2*time.Second)).Starts), 1, "the end of the probe must wake parked tasks")
}

// Bad jobs must not mark workers as bad, and a bad worker must not mark jobs as bad.
func TestBadJobsAndBadWorkersAreKeptApart(t *testing.T) {
	t.Run("three bad jobs", func(t *testing.T) {
		s := healthScheduler()
		for i := range 3 {
			for _, jobID := range []string{"a", "b", "c"} {
				failOn(t, s, jobID, fmt.Sprintf("w%d", i))
			}
		}
		assert.Equal(t, s.Stats().BadJobs, 3)
		assert.Equal(t, s.Stats().BadWorkers, 0)
	})
	t.Run("one bad worker", func(t *testing.T) {
		s := healthScheduler()
		for _, jobID := range []string{"a", "b", "c", "d", "e"} {
			failOn(t, s, jobID, "w0")
		}
		failOn(t, s, "a", "w1")
		failOn(t, s, "a", "w2")
		assert.Equal(t, s.Stats().BadWorkers, 1)
		assert.Equal(t, s.Stats().BadJobs, 0, "failures on a bad worker do not count against a job")
	})
}

// A bad job must be parked without parking equal tasks of other jobs.
func TestBadJobIsParkedAlone(t *testing.T) {
	s := healthScheduler()
	assert.NilError(t, s.Enqueue(batchTask("a/7", cpu(100))))
	assert.NilError(t, s.Enqueue(batchTask("b/0", cpu(100))))
	for i := range 3 {
		failOn(t, s, "a", fmt.Sprintf("w%d", i))
	}
	p := commitPlan(s, epoch)
	assert.Equal(t, len(p.Starts), 1)
	assert.Equal(t, p.Starts[0].Task.ID, job.TaskID("b/0"))
	assert.Equal(t, p.Parked[0].Cause, CauseBadJob)
	assert.Assert(t, p.Parked[0].Permanent)
	s.ReleaseJob("a")
	assert.Equal(t, len(commitPlan(s, epoch).Starts), 1)
}

// A task that fails on every worker must be parked, even if completions of other tasks clear its job's record of
// failures.
func TestTaskThatFailsEverywhereIsParked(t *testing.T) {
	s := healthScheduler()
	task := batchTask("a/0", cpu(100))
	task.FailedOn = []string{"w0", "w1", "w2"}
	assert.NilError(t, s.Enqueue(task))
	s.Restore(Allocation{Task: batchTask("a/1", cpu(100)), Worker: "w0", Commitment: cpu(100)})
	s.Release("a/1", EndCompleted)
	p := commitPlan(s, epoch.Add(time.Minute))
	assert.Equal(t, len(p.Starts), 0)
	assert.Equal(t, len(p.Parked), 1)
	assert.Assert(t, p.Parked[0].Permanent)
	assert.Equal(t, len(commitPlan(s, epoch.Add(2*time.Minute)).Parked), 0, "a permanently parked task must not be reported again")
	s.ReleaseJob("a")
	assert.Equal(t, len(commitPlan(s, epoch.Add(3*time.Minute)).Starts), 1)
}
