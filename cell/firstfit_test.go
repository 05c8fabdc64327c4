package cell_test

import (
	"slices"
	"strings"
	"time"

	"github.com/currantthread/currantthread/cell"
	"github.com/currantthread/currantthread/infra"
	"github.com/currantthread/currantthread/job"
	"github.com/currantthread/currantthread/sched"
)

// firstFit is a planner that picks the first worker with enough free capacity. It evicts batch tasks for urgent ones.
type firstFit struct {
	workers  map[string]*sched.Worker
	used     map[string]job.Resources
	placed   map[job.TaskID]sched.Allocation
	stopping map[job.TaskID]bool
	queue    []job.Task
}

func newFirstFit() cell.Planner {
	return &firstFit{
		workers: map[string]*sched.Worker{}, used: map[string]job.Resources{},
		placed: map[job.TaskID]sched.Allocation{}, stopping: map[job.TaskID]bool{},
	}
}

func (f *firstFit) UpsertWorker(w sched.Worker) { f.workers[w.ID] = &w }
func (f *firstFit) RemoveWorker(id string)      { delete(f.workers, id) }
func (f *firstFit) SetWorkerReady(id string, ready bool) {
	f.workers[id].Ready = ready
}

func (f *firstFit) SetConfig(sched.Config) {}

func (f *firstFit) Enqueue(t job.Task) error {
	if _, ok := f.placed[t.ID]; ok {
		panic("task " + string(t.ID) + " is queued while it is placed")
	}
	f.queue = append(f.queue, t)
	return nil
}

func (f *firstFit) Dequeue(id job.TaskID) bool {
	before := len(f.queue)
	f.queue = slices.DeleteFunc(f.queue, func(t job.Task) bool { return t.ID == id })
	return len(f.queue) < before
}

func (f *firstFit) Restore(a sched.Allocation) { f.place(a) }

func (f *firstFit) place(a sched.Allocation) {
	f.placed[a.Task.ID] = a
	f.used[a.Worker] = f.used[a.Worker].Add(a.Commitment)
}

func (f *firstFit) Plan(_ time.Time, limit int) sched.Plan {
	slices.SortStableFunc(f.queue, func(a, b job.Task) int {
		if a.Spec.Priority != b.Spec.Priority {
			return int(a.Spec.Priority - b.Spec.Priority)
		}
		return strings.Compare(string(a.ID), string(b.ID))
	})
	var plan sched.Plan
	var unplaced []job.Task
	for _, t := range f.queue {
		worker := f.findWorker(t)
		if worker == "" || len(plan.Starts) == limit {
			unplaced = append(unplaced, t)
			f.evict(t, &plan)
			continue
		}
		a := sched.Allocation{Task: t, Worker: worker, Commitment: t.Spec.Resources}
		f.place(a)
		plan.Starts = append(plan.Starts, a)
	}
	f.queue = unplaced
	return plan
}

func (f *firstFit) findWorker(t job.Task) string {
	for _, id := range sortedKeys(f.workers) {
		w := f.workers[id]
		if w.Ready && f.used[id].Add(t.Spec.Resources).Fits(w.Capacity) {
			return id
		}
	}
	return ""
}

func (f *firstFit) evict(t job.Task, plan *sched.Plan) {
	if t.Spec.Priority != job.PriorityUrgent || len(plan.Preemptions) > 0 || len(f.stopping) > 0 {
		return
	}
	for _, id := range sortedKeys(f.placed) {
		a := f.placed[id]
		if a.Task.Spec.Class == job.ClassBatch && a.Task.Spec.Priority > job.PriorityUrgent && f.workers[a.Worker].Ready {
			plan.Preemptions = append(plan.Preemptions, sched.Preemption{
				Task: id, Worker: a.Worker, Action: sched.ActionEvict, Beneficiary: t.ID,
			})
			return
		}
	}
}

func (f *firstFit) Commit(sched.Plan) {}

func (f *firstFit) Abort(p sched.Plan) {
	for _, a := range p.Starts {
		f.AbortStart(a.Task.ID)
	}
}

func (f *firstFit) AbortStart(id job.TaskID) {
	a := f.placed[id]
	f.release(id)
	f.queue = append(f.queue, a.Task)
}

func (f *firstFit) MarkStopping(id job.TaskID) { f.stopping[id] = true }

func (f *firstFit) Release(id job.TaskID, _ sched.End) bool {
	_, held := f.placed[id]
	f.release(id)
	return held
}

func (f *firstFit) release(id job.TaskID) {
	a := f.placed[id]
	f.used[a.Worker] = f.used[a.Worker].Sub(a.Commitment)
	delete(f.placed, id)
	delete(f.stopping, id)
}

func (f *firstFit) ReportUsage(string, infra.Usage) {}

func sortedKeys[K ~string, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
