package sched

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/currantthread/currantthread/job"
)

// A filter must reject exactly the workers that break its condition.
func TestFilters(t *testing.T) {
	plain := batchTask("j/0", job.Resources{CPUMilli: 1000, MemoryMiB: 1000})
	accelerated := batchTask("j/0", job.Resources{CPUMilli: 1000, MemoryMiB: 1000, Accelerators: 1})
	otherRegion, otherDomain := plain, plain
	otherRegion.Spec.Constraints = job.Constraints{Region: "slask"}
	otherDomain.Spec.Constraints = job.Constraints{Domain: "la-enea"}
	failed := plain
	failed.FailedOn = []string{"w1"}
	for _, c := range []struct {
		name   string
		task   job.Task
		size   job.Resources
		change func(*Scheduler, *worker)
		want   string
	}{
		{"fits", plain, cpu(1000), nil, ""},
		{"processor time", plain, job.Resources{CPUMilli: 999, MemoryMiB: 1000}, nil, sizeFilter{}.name()},
		{"processor time committed", plain, cpu(1500), func(_ *Scheduler, w *worker) { w.committed.CPUMilli = 501 }, "have too little free processor time"},
		{"memory committed", plain, cpu(1500), func(_ *Scheduler, w *worker) { w.committed.MemoryMiB = 501 }, "have too little free memory"},
		{"accelerators committed", accelerated, job.Resources{CPUMilli: 9000, MemoryMiB: 9000, Accelerators: 2},
			func(_ *Scheduler, w *worker) { w.committed.Accelerators = 2 }, "have too few free accelerators"},
		{"reserved for another", plain, cpu(1500), func(_ *Scheduler, w *worker) { w.reserved.CPUMilli = 501 }, "have too little free processor time"},
		{"not ready", plain, cpu(1000), func(_ *Scheduler, w *worker) { w.spec.Ready = false }, readyFilter{}.name()},
		{"other region", otherRegion, cpu(1000), nil, constraintFilter{}.name()},
		{"other domain", otherDomain, cpu(1000), nil, constraintFilter{}.name()},
		{"bad worker", plain, cpu(1000), func(_ *Scheduler, w *worker) { w.health.bad = true }, healthFilter{}.name()},
		{"failed there", failed, cpu(1000), nil, failedOnFilter{}.name()},
		{"static headroom", plain, cpu(10_000), func(s *Scheduler, w *worker) {
			s.cfg.StaticHeadroom, w.serviceReplicas, w.committed.CPUMilli = 0.5, 1, 4500
		}, headroomFilter{}.name()},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newScheduler(DefaultConfig())
			s.UpsertWorker(testWorker("w1", c.size))
			w := s.workers["w1"]
			if c.change != nil {
				c.change(s, w)
			}
			got := ""
			if f := s.rejectedBy(s.request(&entry{task: c.task}), w); f != nil {
				got = f.name()
			}
			assert.Equal(t, got, c.want)
		})
	}
}

// Replicas of a service must spread over racks, and batch work must pack onto few workers.
func TestScoresChooseWorkers(t *testing.T) {
	s := newScheduler(DefaultConfig())
	for id, rack := range map[string]string{"a1": "a", "a2": "a", "b1": "b", "c1": "c"} {
		w := testWorker(id, cpu(8000))
		w.Rack = rack
		s.UpsertWorker(w)
	}
	racks := map[string]int{}
	for i := range 3 {
		task := batchTask(string(job.MakeTaskID("svc", i)), cpu(500))
		task.Spec.Class, task.Spec.Service = job.ClassService, "kioscos"
		assert.NilError(t, s.Enqueue(task))
	}
	for _, worker := range started(commitPlan(s, epoch)) {
		racks[s.workers[worker].rack.name]++
	}
	assert.Equal(t, len(racks), 3, "%v", racks)
	q := s.request(&entry{task: job.Task{Spec: job.TaskSpec{Class: job.ClassService, Service: "kioscos"}}})
	s.spread("kioscos").add(s.workers["b1"].rack, 1)
	assert.Assert(t, spreadScore{s}.rate(q, s.workers["b1"]) < spreadScore{s}.rate(q, s.workers["c1"]))

	s = newScheduler(DefaultConfig())
	for _, id := range []string{"w1", "w2", "w3"} {
		s.UpsertWorker(testWorker(id, cpu(8000)))
	}
	used := map[string]bool{}
	for i := range 8 {
		assert.NilError(t, s.Enqueue(batchTask(string(job.MakeTaskID("b", i)), cpu(1000))))
		for _, worker := range started(commitPlan(s, epoch.Add(time.Duration(i)*time.Second))) {
			used[worker] = true
		}
	}
	assert.Equal(t, len(used), 1, "%v", used)
}

// Starts must be divided between waiting teams in proportion to their weights.
func TestDominantResourceFairness(t *testing.T) {
	cfg := DefaultConfig()
	cfg.Teams = map[string]Team{"grades": {Weight: 2}}
	s := newScheduler(cfg)
	s.UpsertWorker(testWorker("w1", cpu(9000)))
	for i := range 20 {
		a, b := batchTask(string(job.MakeTaskID("a", i)), cpu(1000)), batchTask(string(job.MakeTaskID("b", i)), cpu(1000))
		a.Team, b.Team = "deposits", "grades"
		assert.NilError(t, s.Enqueue(a))
		assert.NilError(t, s.Enqueue(b))
	}
	count := map[string]int{}
	for _, a := range commitPlan(s, epoch).Starts {
		count[a.Task.Team]++
	}
	assert.DeepEqual(t, count, map[string]int{"deposits": 3, "grades": 6})
}

// Evictions must choose the tasks that lose the least work, and tasks at the limit of evictions only as a last resort.
func TestVictimsLoseLeastWork(t *testing.T) {
	s := newScheduler(DefaultConfig())
	s.UpsertWorker(testWorker("w1", cpu(4000)))
	s.Plan(epoch, 0)
	for i, age := range []time.Duration{time.Hour, time.Minute, time.Second, 30 * time.Second} {
		task := batchTask(string(job.MakeTaskID("b", i)), cpu(1000))
		if i == 2 {
			task.Evictions = s.cfg.MaxEvictions
		}
		s.Restore(Allocation{Task: task, Worker: "w1", Commitment: cpu(1000)})
		s.tasks[task.ID].checkpointAge, s.tasks[task.ID].usageAt = age, epoch
	}
	assert.NilError(t, s.Enqueue(urgentTask("u/0", cpu(1000))))
	p := commitPlan(s, epoch)
	assert.Equal(t, len(p.Preemptions), 1)
	assert.Equal(t, p.Preemptions[0].Task, job.TaskID("b/3"))
	assert.Equal(t, len(commitPlan(s, epoch.Add(5*time.Second)).Preemptions), 0, "no second eviction before the first can take effect")
	assert.NilError(t, s.Enqueue(urgentTask("u/1", cpu(3000))))
	p = commitPlan(s, epoch.Add(6*time.Second))
	assert.Equal(t, len(p.Preemptions), 3, "if nothing else fits, the limit of evictions does not apply")
}

// Urgent work must not evict tasks if throttling frees enough capacity. Commitments raised above the declared size are
// reduced first.
func TestUrgentThrottlesRaisedTasksFirst(t *testing.T) {
	s := newScheduler(DefaultConfig())
	s.UpsertWorker(testWorker("w1", cpu(4000)))
	for i := range 2 {
		task := batchTask(string(job.MakeTaskID("b", i)), job.Resources{CPUMilli: 1000, MemoryMiB: 1000})
		s.Restore(Allocation{Task: task, Worker: "w1", Commitment: job.Resources{CPUMilli: 2000, MemoryMiB: 1000}})
	}
	assert.NilError(t, s.Enqueue(urgentTask("u/0", cpu(1000))))
	p := commitPlan(s, epoch)
	assert.DeepEqual(t, started(p), map[job.TaskID]string{"u/0": "w1"})
	assert.Equal(t, len(p.Preemptions), 1)
	assert.Equal(t, p.Preemptions[0].Action, ActionThrottle)
	assert.Equal(t, p.Preemptions[0].CPUPercent, 100)
}
