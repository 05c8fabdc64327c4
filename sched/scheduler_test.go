package sched

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/currantthread/currantthread/interference"
	"github.com/currantthread/currantthread/job"
)

var epoch = time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)

func newScheduler(cfg Config) *Scheduler {
	return New(cfg, interference.New(interference.DefaultConfig()))
}

func cpu(milli int64) job.Resources { return job.Resources{CPUMilli: milli, MemoryMiB: milli} }

func testWorker(id string, size job.Resources) Worker {
	return Worker{ID: id, Region: "caldas-centro", Domain: "chipre", Rack: "r1", Capacity: size, Ready: true}
}

func batchTask(id string, size job.Resources) job.Task {
	return job.Task{
		ID: job.TaskID(id), Team: "payments", Attempt: 1,
		Spec: job.TaskSpec{Class: job.ClassBatch, Priority: job.PriorityBatch, Resources: size},
	}
}

func urgentTask(id string, size job.Resources) job.Task {
	t := batchTask(id, size)
	t.Spec.Priority = job.PriorityUrgent
	return t
}

func commitPlan(s *Scheduler, now time.Time) Plan {
	p := s.Plan(now, 1000)
	s.Commit(p)
	return p
}

func started(p Plan) map[job.TaskID]string {
	m := map[job.TaskID]string{}
	for _, a := range p.Starts {
		m[a.Task.ID] = a.Worker
	}
	return m
}

// A parked task must not block smaller ones, and must start when a release frees enough capacity.
func TestParkedTaskDoesNotBlockAndStartsAfterRelease(t *testing.T) {
	s := newScheduler(DefaultConfig())
	s.UpsertWorker(testWorker("w1", cpu(4000)))
	assert.NilError(t, s.Enqueue(batchTask("big/0", cpu(3000))))
	commitPlan(s, epoch)
	assert.NilError(t, s.Enqueue(batchTask("big/1", cpu(3000))))
	assert.NilError(t, s.Enqueue(batchTask("small/0", cpu(1000))))
	p := commitPlan(s, epoch)
	assert.DeepEqual(t, started(p), map[job.TaskID]string{"small/0": "w1"})
	assert.Equal(t, len(p.Parked), 1)
	assert.Equal(t, p.Parked[0].Cause, CauseCapacity)
	assert.Assert(t, strings.Contains(p.Parked[0].Reason, "too little free processor time"), p.Parked[0].Reason)

	assert.Equal(t, len(commitPlan(s, epoch.Add(time.Second)).Starts), 0)
	s.Release("big/0", EndCompleted)
	assert.DeepEqual(t, started(commitPlan(s, epoch.Add(2*time.Second))), map[job.TaskID]string{"big/1": "w1"})
}

// A start must not be planned twice while its transaction is in flight, and an abort must return the task to its queue
// position.
func TestAbortReturnsTaskToQueuePosition(t *testing.T) {
	s := newScheduler(DefaultConfig())
	s.UpsertWorker(testWorker("w1", cpu(1000)))
	for i := range 3 {
		assert.NilError(t, s.Enqueue(batchTask(fmt.Sprintf("j/%d", i), cpu(1000))))
	}
	p := s.Plan(epoch, 10)
	assert.DeepEqual(t, started(p), map[job.TaskID]string{"j/0": "w1"})
	assert.Equal(t, len(s.Plan(epoch, 10).Starts), 0)
	s.Abort(p)
	assert.DeepEqual(t, started(s.Plan(epoch, 10)), map[job.TaskID]string{"j/0": "w1"})
}

// Urgent work must evict batch work, and queued batch work must not use the capacity freed for it.
func TestUrgentEvictsBatch(t *testing.T) {
	s := newScheduler(DefaultConfig())
	s.UpsertWorker(testWorker("w1", cpu(4000)))
	for i := range 4 {
		assert.NilError(t, s.Enqueue(batchTask(fmt.Sprintf("b/%d", i), cpu(1000))))
	}
	commitPlan(s, epoch)
	assert.NilError(t, s.Enqueue(urgentTask("u/0", cpu(2000))))
	assert.NilError(t, s.Enqueue(batchTask("waiting/0", cpu(1000))))
	p := commitPlan(s, epoch.Add(time.Second))
	assert.Equal(t, len(p.Preemptions), 2)
	for _, v := range p.Preemptions {
		assert.Equal(t, v.Action, ActionEvict)
		s.MarkStopping(v.Task)
	}
	s.Release(p.Preemptions[0].Task, EndStopped)
	assert.Equal(t, len(commitPlan(s, epoch.Add(2*time.Second)).Starts), 0)
	s.Release(p.Preemptions[1].Task, EndStopped)
	assert.DeepEqual(t, started(commitPlan(s, epoch.Add(2*time.Second))), map[job.TaskID]string{"u/0": "w1"})
}
