package sched

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/currantthread/currantthread/infra"
	"github.com/currantthread/currantthread/job"
)

// modelState is the state of a task in the test's model of the scheduler.
type modelState int

const (
	modelQueued modelState = iota
	modelPlanned
	modelRunning
	modelStopping
)

type modelTask struct {
	task   job.Task
	state  modelState
	worker string
	// cancelled tasks are not queued again.
	cancelled bool
}

// machine drives a Scheduler with random calls and maintains a model of its state, which Check compares with it.
type machine struct {
	s       *Scheduler
	now     time.Time
	tasks   map[job.TaskID]*modelTask
	plans   []Plan
	quota   map[string]job.Resources
	jobs    int
	workers map[string]Worker
}

var machineTeams = []string{"payments", "deposits", "grades"}

func newMachine(t *rapid.T) *machine {
	cfg := DefaultConfig()
	cfg.DisableInterference = rapid.Bool().Draw(t, "no interference")
	if rapid.Bool().Draw(t, "headroom") {
		cfg.StaticHeadroom = 0.3
	}
	m := &machine{
		s: newScheduler(cfg), now: epoch, tasks: map[job.TaskID]*modelTask{},
		quota: map[string]job.Resources{}, workers: map[string]Worker{},
	}
	for i := range rapid.IntRange(1, 6).Draw(t, "workers") {
		w := testWorker(fmt.Sprintf("w%d", i), job.Resources{CPUMilli: 8000, MemoryMiB: 16000, Accelerators: int64(i % 2 * 2)})
		w.Rack = fmt.Sprintf("r%d", i%3)
		m.workers[w.ID] = w
		m.s.UpsertWorker(w)
	}
	return m
}

func (m *machine) pick(t *rapid.T, states ...modelState) *modelTask {
	var ids []job.TaskID
	for id, x := range m.tasks {
		if slices.Contains(states, x.state) {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		t.Skip("no such task")
	}
	slices.Sort(ids)
	return m.tasks[rapid.SampledFrom(ids).Draw(t, "task")]
}

func (m *machine) Enqueue(t *rapid.T) {
	m.jobs++
	spec := job.TaskSpec{
		Class:    rapid.SampledFrom([]job.Class{job.ClassBatch, job.ClassBatch, job.ClassStanding, job.ClassService}).Draw(t, "class"),
		Priority: rapid.SampledFrom([]job.Priority{job.PriorityUrgent, job.PriorityBatch, job.PriorityBatch, job.PriorityLowest}).Draw(t, "priority"),
		Resources: job.Resources{
			CPUMilli:     rapid.SampledFrom([]int64{0, 100, 1000, 3000, 8000, 9000}).Draw(t, "cpu"),
			MemoryMiB:    rapid.SampledFrom([]int64{1, 500, 4000, 16000}).Draw(t, "memory"),
			Accelerators: rapid.SampledFrom([]int64{0, 0, 0, 1, 2}).Draw(t, "accelerators"),
		},
		Kind: rapid.SampledFrom([]string{"", "settlement", "reconcile"}).Draw(t, "kind"),
	}
	if spec.Class == job.ClassService {
		spec.Service = "kioscos"
	}
	team := rapid.SampledFrom(machineTeams).Draw(t, "team")
	for i := range rapid.IntRange(1, 4).Draw(t, "tasks") {
		x := job.Task{ID: job.MakeTaskID(fmt.Sprintf("j%d", m.jobs), i), Team: team, Spec: spec, Attempt: 1}
		m.tasks[x.ID] = &modelTask{task: x}
		m.enqueue(t, x)
	}
}

func (m *machine) enqueue(t *rapid.T, x job.Task) {
	if err := m.s.Enqueue(x); err != nil {
		t.Fatalf("enqueue %s: %v", x.ID, err)
	}
	m.tasks[x.ID].task, m.tasks[x.ID].state, m.tasks[x.ID].worker = x, modelQueued, ""
}

// EnqueueAgain enqueues a task that holds resources, as a delayed scan of the queues may do.
func (m *machine) EnqueueAgain(t *rapid.T) {
	x := m.pick(t, modelPlanned, modelRunning, modelStopping)
	if m.s.Enqueue(x.task) == nil {
		t.Fatalf("task %s was queued although it holds resources on %s", x.task.ID, x.worker)
	}
}

func (m *machine) Plan(t *rapid.T) {
	limit := rapid.SampledFrom([]int{1, 3, 1000}).Draw(t, "limit")
	p := m.s.Plan(m.now, limit)
	if len(p.Starts) > limit {
		t.Fatalf("%d starts planned, limit %d", len(p.Starts), limit)
	}
	for _, a := range p.Starts {
		x := m.tasks[a.Task.ID]
		if x == nil || x.state != modelQueued {
			t.Fatalf("start of task %s, which is not queued: %+v", a.Task.ID, x)
		}
		if !a.Task.Spec.Resources.Fits(a.Commitment) {
			t.Fatalf("commitment %v of task %s is below its declared size %v", a.Commitment, a.Task.ID, a.Task.Spec.Resources)
		}
		if w, ok := m.workers[a.Worker]; !ok || !w.Ready {
			t.Fatalf("start of task %s on worker %s, which is not ready", a.Task.ID, a.Worker)
		}
		x.state, x.worker = modelPlanned, a.Worker
	}
	m.checkVictims(t, p)
	if len(p.Starts) < limit {
		m.checkNothingStartable(t)
	}
	m.checkQuota(t, p)
	if !p.Empty() {
		m.plans = append(m.plans, p)
	}
}

func (m *machine) checkVictims(t *rapid.T, p Plan) {
	for _, v := range p.Preemptions {
		x := m.tasks[v.Task]
		if x == nil || x.state != modelRunning || x.task.Spec.Class == job.ClassService {
			t.Fatalf("preemption %+v of %+v", v, x)
		}
		if x.task.Spec.Priority < job.PriorityBatch {
			t.Fatalf("urgent task %s was preempted", v.Task)
		}
	}
}

// checkNothingStartable compares the queue with a search of all workers: no task that could start may wait. It covers
// the index of free resources, the waking of parked tasks, and blocking by other tasks.
func (m *machine) checkNothingStartable(t *rapid.T) {
	for id, e := range m.s.queued {
		if e.group == nil || e.group.cause == CauseInterference {
			continue
		}
		if !e.group.isParked {
			t.Fatalf("task %s is neither started nor parked", id)
		}
		if cause, _ := m.s.blockingCause(e.group, e); cause != "" {
			continue
		}
		q := m.s.request(e)
		q.need = q.spec.Resources
		for _, w := range m.s.workerList {
			if m.s.rejectedBy(q, w) == nil {
				t.Fatalf("task %s is parked (%s: %s) but could start on %s", id, e.group.cause, e.group.reason, w.spec.ID)
			}
		}
	}
}

func (m *machine) checkQuota(t *rapid.T, p Plan) {
	for _, a := range p.Starts {
		quota := m.quota[a.Task.Team]
		var used job.Resources
		for _, x := range m.tasks {
			if x.task.Team == a.Task.Team && x.state != modelQueued {
				used = used.Add(x.task.Spec.Resources)
			}
		}
		if axis := exceededAxis(used, quota); axis != "" {
			t.Fatalf("team %s uses %v beyond its quota %v of %s after a start", a.Task.Team, used, quota, axis)
		}
	}
}

// removePlan removes a random plan from those in flight.
func (m *machine) removePlan(t *rapid.T) Plan {
	if len(m.plans) == 0 {
		t.Skip("no plan")
	}
	i := rapid.IntRange(0, len(m.plans)-1).Draw(t, "plan")
	p := m.plans[i]
	m.plans = slices.Delete(m.plans, i, i+1)
	return p
}

func (m *machine) Commit(t *rapid.T) {
	p := m.removePlan(t)
	m.s.Commit(p)
	for _, a := range p.Starts {
		if x := m.tasks[a.Task.ID]; x.state == modelPlanned {
			x.state = modelRunning
		}
	}
	for _, v := range p.Preemptions {
		if x := m.tasks[v.Task]; v.Action == ActionEvict && x != nil && x.state == modelRunning {
			x.state = modelStopping
			m.s.MarkStopping(v.Task)
		}
	}
}

func (m *machine) Abort(t *rapid.T) {
	p := m.removePlan(t)
	m.s.Abort(p)
	for _, a := range p.Starts {
		x := m.tasks[a.Task.ID]
		x.state, x.worker = modelQueued, ""
		if x.cancelled {
			delete(m.tasks, a.Task.ID)
		}
	}
}

func (m *machine) release(t *rapid.T, x *modelTask, end End) {
	if !m.s.Release(x.task.ID, end) {
		t.Fatalf("task %s held no resources", x.task.ID)
	}
	if end == EndCompleted || x.cancelled {
		delete(m.tasks, x.task.ID)
		return
	}
	next := x.task
	next.Attempt++
	if end == EndStopped {
		next.Evictions++
	}
	if end == EndFailed && !slices.Contains(next.FailedOn, x.worker) {
		next.FailedOn = append(slices.Clone(next.FailedOn), x.worker)
	}
	m.enqueue(t, next)
}

// ReleasePlanned reports the end of an attempt whose start is not in the ledger yet, as a stale report may do.
func (m *machine) ReleasePlanned(t *rapid.T) {
	if x := m.pick(t, modelPlanned); m.s.Release(x.task.ID, EndCompleted) {
		t.Fatalf("planned task %s was released", x.task.ID)
	}
}

func (m *machine) Complete(t *rapid.T) {
	m.release(t, m.pick(t, modelRunning, modelStopping), EndCompleted)
}

func (m *machine) Fail(t *rapid.T) {
	m.release(t, m.pick(t, modelRunning), EndFailed)
}

// WorkerFailsAll fails all tasks that run on one worker.
func (m *machine) WorkerFailsAll(t *rapid.T) {
	id := m.anyWorker(t)
	for _, x := range m.tasksOn(id, modelRunning) {
		m.release(t, x, EndFailed)
	}
}

// PlanAndCommit combines calls, which makes states that need many steps more likely.
func (m *machine) PlanAndCommit(t *rapid.T) {
	m.Plan(t)
	for len(m.plans) > 0 {
		m.Commit(t)
	}
}

func (m *machine) Stopped(t *rapid.T) {
	m.release(t, m.pick(t, modelStopping), EndStopped)
}

func (m *machine) Cancel(t *rapid.T) {
	jobID := m.pick(t, modelQueued, modelPlanned, modelRunning, modelStopping).task.ID.Job()
	m.s.DequeueJob(jobID)
	for id, x := range m.tasks {
		if id.Job() != jobID {
			continue
		}
		x.cancelled = true
		switch x.state {
		case modelQueued:
			delete(m.tasks, id)
		case modelPlanned:
			m.s.Dequeue(id)
		case modelRunning:
			m.s.MarkStopping(id)
			x.state = modelStopping
		}
	}
}

func (m *machine) WorkerLost(t *rapid.T) {
	id := m.anyWorker(t)
	m.s.RemoveWorker(id)
	delete(m.workers, id)
	if rapid.Bool().Draw(t, "lease lapsed") {
		m.expireLease(t, id)
	}
}

func (m *machine) expireLease(t *rapid.T, worker string) {
	for _, x := range m.tasksOn(worker, modelRunning, modelStopping) {
		m.release(t, x, EndExpired)
	}
}

// tasksOn lists the tasks of a worker in one of the states, in the order of their IDs.
func (m *machine) tasksOn(worker string, states ...modelState) []*modelTask {
	var list []*modelTask
	for _, x := range m.tasks {
		if x.worker == worker && slices.Contains(states, x.state) {
			list = append(list, x)
		}
	}
	slices.SortFunc(list, func(a, b *modelTask) int { return strings.Compare(string(a.task.ID), string(b.task.ID)) })
	return list
}

func (m *machine) anyWorker(t *rapid.T) string {
	var ids []string
	for id := range m.workers {
		ids = append(ids, id)
	}
	if len(ids) == 0 {
		t.Skip("no worker")
	}
	slices.Sort(ids)
	return rapid.SampledFrom(ids).Draw(t, "worker")
}

func (m *machine) WorkerBack(t *rapid.T) {
	i := rapid.IntRange(0, 7).Draw(t, "worker")
	w := testWorker(fmt.Sprintf("w%d", i), job.Resources{CPUMilli: 8000, MemoryMiB: 16000, Accelerators: int64(i % 2 * 2)})
	w.Rack = fmt.Sprintf("r%d", i%3)
	m.workers[w.ID] = w
	m.s.UpsertWorker(w)
}

func (m *machine) WorkerReady(t *rapid.T) {
	id := m.anyWorker(t)
	w := m.workers[id]
	w.Ready = !w.Ready
	m.workers[id] = w
	m.s.SetWorkerReady(id, w.Ready)
}

func (m *machine) Quota(t *rapid.T) {
	team := rapid.SampledFrom(machineTeams).Draw(t, "team")
	quota := job.Resources{
		CPUMilli:  rapid.SampledFrom([]int64{0, 2000, 10000}).Draw(t, "cpu quota"),
		MemoryMiB: rapid.SampledFrom([]int64{0, 0, 8000}).Draw(t, "memory quota"),
	}
	m.quota[team] = quota
	m.s.SetTeam(team, Team{Quota: quota, Weight: rapid.IntRange(1, 3).Draw(t, "weight")})
}

func (m *machine) Usage(t *rapid.T) {
	x := m.pick(t, modelRunning)
	for range rapid.IntRange(1, 8).Draw(t, "reports") {
		m.s.ReportUsage(x.worker, infra.Usage{
			Ref: infra.AttemptRef{Task: x.task.ID, Attempt: x.task.Attempt},
			Used: job.Resources{
				CPUMilli:  rapid.Int64Range(0, 40_000).Draw(t, "used cpu"),
				MemoryMiB: rapid.Int64Range(0, 60_000).Draw(t, "used memory"),
			},
			AgeMillis:           rapid.Int64Range(0, 20_000).Draw(t, "age"),
			SlowdownPermille:    rapid.Int64Range(0, 9000).Draw(t, "slowdown"),
			CheckpointAgeMillis: rapid.Int64Range(0, 100_000).Draw(t, "checkpoint age"),
		})
	}
}

// Takeover builds a new scheduler from the contents of the ledger, as a new owner of the cell does. For each start of a
// plan in flight, it draws whether the start was written.
func (m *machine) Takeover(t *rapid.T) {
	old := m.s
	m.s = newScheduler(old.cfg)
	m.s.Advance(m.now)
	for team, quota := range m.quota {
		m.s.SetTeam(team, Team{Quota: quota})
	}
	workersFirst := rapid.Bool().Draw(t, "workers first")
	if workersFirst {
		m.attachAll()
	}
	m.plans = nil
	var ids []job.TaskID
	for id := range m.tasks {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		m.restoreTask(t, m.tasks[id], old.tasks[id])
	}
	if !workersFirst {
		m.attachAll()
	}
}

func (m *machine) attachAll() {
	for _, id := range slices.Sorted(maps.Keys(m.workers)) {
		m.s.UpsertWorker(m.workers[id])
	}
}

func (m *machine) restoreTask(t *rapid.T, x *modelTask, old *placedTask) {
	if x.state == modelPlanned {
		x.state = rapid.SampledFrom([]modelState{modelQueued, modelRunning}).Draw(t, "plan in flight")
	}
	if x.state == modelQueued {
		if x.cancelled {
			delete(m.tasks, x.task.ID)
			return
		}
		m.enqueue(t, x.task)
		return
	}
	m.s.Restore(Allocation{Task: x.task, Worker: x.worker, Commitment: old.commitment})
	if x.state == modelStopping {
		m.s.MarkStopping(x.task.ID)
	}
}

func (m *machine) Time(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.SampledFrom([]int{1, 500, 5_000, 20_000, 70_000}).Draw(t, "ms")) * time.Millisecond)
}

// Check compares the scheduler's state with the model after every call.
func (m *machine) Check(t *rapid.T) {
	committed, declared := map[string]job.Resources{}, map[string]job.Resources{}
	for id, x := range m.tasks {
		_, queued := m.s.queued[id]
		r, placed := m.s.tasks[id]
		if queued == placed || queued != (x.state == modelQueued) {
			t.Fatalf("task %s: queued %v, placed %v, expected %+v", id, queued, placed, x)
		}
		if placed {
			committed[x.worker] = committed[x.worker].Add(r.commitment)
			declared[x.worker] = declared[x.worker].Add(x.task.Spec.Resources)
		}
	}
	if n := len(m.s.queued) + len(m.s.tasks); n != len(m.tasks) {
		t.Fatalf("the scheduler holds %d tasks, expected %d", n, len(m.tasks))
	}
	for _, w := range m.s.workerList {
		if !w.present && w.spec.Capacity.IsZero() {
			// Appears only in restored allocations; its capacity is unknown until it attaches.
			continue
		}
		if w.committed != committed[w.spec.ID] || !committed[w.spec.ID].Fits(w.spec.Capacity) {
			t.Fatalf("worker %s: committed %v, sum of tasks %v, capacity %v",
				w.spec.ID, w.committed, committed[w.spec.ID], w.spec.Capacity)
		}
		if !declared[w.spec.ID].Fits(w.spec.Capacity) {
			t.Fatalf("worker %s: declared sizes %v exceed capacity %v", w.spec.ID, declared[w.spec.ID], w.spec.Capacity)
		}
		if !w.reserved.Valid() {
			t.Fatalf("worker %s: reserved %v", w.spec.ID, w.reserved)
		}
	}
}

// No order of calls may commit more than a worker's capacity (G1), place a task twice (G2), lose a task (G3), let a
// parked task block others or stay parked when it could start, or exceed a quota.
func TestSchedulerMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t)
		t.Repeat(map[string]func(*rapid.T){
			"": m.Check, "enqueue": m.Enqueue, "enqueue more": m.Enqueue, "enqueue again": m.EnqueueAgain, "plan": m.Plan, "plan and commit": m.PlanAndCommit,
			"plan and commit again": m.PlanAndCommit, "worker fails all": m.WorkerFailsAll, "usage again": m.Usage,
			"commit": m.Commit, "abort": m.Abort, "complete": m.Complete, "fail": m.Fail, "stopped": m.Stopped,
			"cancel": m.Cancel, "worker lost": m.WorkerLost, "worker back": m.WorkerBack,
			"worker ready": m.WorkerReady, "quota": m.Quota, "takeover": m.Takeover, "release planned": m.ReleasePlanned,
			"usage": m.Usage, "time": m.Time,
		})
	})
}
