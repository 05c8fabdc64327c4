package cell

import (
	"maps"
	"reflect"
	"slices"
	"time"

	"github.com/currantthread/currantthread/drain"
	"github.com/currantthread/currantthread/infra"
	"github.com/currantthread/currantthread/job"
	"github.com/currantthread/currantthread/ledger"
	"github.com/currantthread/currantthread/sched"
	"github.com/currantthread/currantthread/worker"
)

// Reasons for a stop, as stored in assigned rows.
const (
	stopEvicted   = "evicted"
	stopCancelled = "cancelled"
)

// emptyBatch is how many tasks are told to stop in one turn while a failure domain is emptied.
const emptyBatch = 128

func (o *owner) handle(e worker.Event) {
	w := o.worker(e.Worker)
	if w.incarnation != e.Incarnation {
		o.newIncarnation(w, e.Incarnation)
	}
	switch {
	case e.Report != nil:
		o.handleReport(w, *e.Report)
	case e.Attached != nil:
		o.handleAttached(w, *e.Attached)
	default:
		for _, u := range e.Usage {
			o.planner.ReportUsage(e.Worker, u)
		}
		o.updateReady(w)
		o.planDue = true
	}
}

// newIncarnation ends every attempt that was assigned to another incarnation: a restarted worker runs none of them.
func (o *owner) newIncarnation(w *workerState, incarnation string) {
	w.incarnation = incarnation
	w.acks = nil
	clear(w.foreign)
	for _, a := range sortedTasks(w.tasks) {
		if a.row.Incarnation != incarnation {
			o.end(a, sched.EndLapsed, "worker restarted")
		}
	}
}

func (o *owner) handleReport(w *workerState, r infra.Report) {
	entry := &ack{seq: r.Seq}
	w.acks = append(w.acks, entry)
	a := o.tasks[r.Ref.Task]
	if a == nil || a.ref() != r.Ref || a.row.Worker != w.vm.ID || a.row.Incarnation != w.incarnation {
		// The ledger already holds another outcome of this attempt, so the report has no effect.
		entry.done = true
		o.handleForeign(w, r)
		o.settleAcks(w)
		return
	}
	if a.end != nil {
		if r.State == infra.RunCompleted && a.end.end == sched.EndLapsed && o.unresolved == nil {
			// The work was done before the lease lapsed, and nothing has been written about the lapse yet.
			a.end.end = sched.EndCompleted
		}
		a.acks = append(a.acks, entry)
		return
	}
	if r.Checkpoint != "" && r.Checkpoint != a.checkpoint {
		a.checkpoint = r.Checkpoint
		o.mark(a)
	}
	switch r.State {
	case infra.RunCompleted:
		o.end(a, sched.EndCompleted, "")
	case infra.RunFailed:
		o.end(a, sched.EndFailed, r.Error)
	case infra.RunStopped:
		o.end(a, sched.EndStopped, r.Error)
	}
	if !a.dirty {
		entry.done = true
		o.settleAcks(w)
		return
	}
	a.acks = append(a.acks, entry)
}

func (o *owner) handleForeign(w *workerState, r infra.Report) {
	if r.State.Ended() {
		delete(w.foreign, r.Ref)
	} else if _, known := w.foreign[r.Ref]; !known {
		o.stopForeign(w, r.Ref)
	}
	o.updateReady(w)
}

func (o *owner) stopForeign(w *workerState, ref infra.AttemptRef) {
	w.foreign[ref] = struct{}{}
	o.holder.Send(w.vm.ID, infra.Command{Kind: infra.CommandStop, Ref: ref})
}

// settleAcks acknowledges the reports up to the first whose effect is not in the table yet.
func (o *owner) settleAcks(w *workerState) {
	settled := 0
	for settled < len(w.acks) && w.acks[settled].done {
		settled++
	}
	if settled == 0 {
		return
	}
	o.holder.Ack(w.vm.ID, w.incarnation, w.acks[settled-1].seq)
	w.acks = slices.Delete(w.acks, 0, settled)
}

// handleAttached compares what the worker runs with the ledger. Reports of the same answer were handled before.
func (o *owner) handleAttached(w *workerState, resp infra.AttachResponse) {
	w.attached = true
	w.capacity = resp.Capacity
	running := map[infra.AttemptRef]bool{}
	for _, ref := range resp.Running {
		running[ref] = true
	}
	for _, a := range sortedTasks(w.tasks) {
		if a.end != nil {
			continue
		}
		isRunning := running[a.ref()]
		delete(running, a.ref())
		switch {
		case a.stop != "":
			o.sendStop(a)
		case !isRunning:
			// This incarnation has never seen the attempt, or it would run it or report its end.
			o.sendStart(a)
		}
	}
	clear(w.foreign)
	for _, ref := range resp.Running {
		if running[ref] {
			o.stopForeign(w, ref)
		}
	}
	o.upsert(w.vm.ID, w)
	o.updateReady(w)
}

func (o *owner) workerLapsed(id string) {
	w := o.worker(id)
	w.attached = false
	for _, a := range sortedTasks(w.tasks) {
		o.end(a, sched.EndLapsed, "lease of the worker lapsed")
	}
	o.updateReady(w)
	o.cfg.Metrics.lapsed(o.cfg.Cell)
	o.cfg.Logger.WithField("cell", o.cfg.Cell).WithField("worker", id).WithField("tasks", len(w.tasks)).
		Warn("lease of the worker lapsed")
}

func (o *owner) end(a *assigned, end sched.End, reason string) {
	if a.end != nil {
		return
	}
	a.end = &ending{end: end, reason: reason}
	o.mark(a)
}

func (o *owner) sendStart(a *assigned) {
	o.holder.Send(a.row.Worker, infra.Command{
		Kind: infra.CommandStart, Ref: a.ref(), Spec: a.row.Task.Spec, Checkpoint: a.row.Task.Checkpoint,
	})
}

func (o *owner) sendStop(a *assigned) {
	o.holder.Send(a.row.Worker, infra.Command{
		Kind: infra.CommandStop, Ref: a.ref(), SaveCheckpoint: a.row.Task.Spec.Class.Exclusive() && a.stop != stopCancelled,
	})
}

// requestStop makes the attempt stop once the ledger says so.
func (o *owner) requestStop(a *assigned, reason string) {
	if a.end != nil || a.stop == stopCancelled || a.stop != "" && reason != stopCancelled {
		return
	}
	if a.stop == "" {
		o.planner.Stopping(a.row.Task.ID)
	}
	a.stop = reason
	o.mark(a)
}

// emptyDomain stops tasks while the failure domain is out.
func (o *owner) emptyDomain() {
	if !o.cfg.Gate.State().Out {
		return
	}
	var running []drain.Running
	for id, a := range o.tasks {
		if a.end == nil && a.stop == "" {
			running = append(running, drain.Running{ID: id, Class: a.row.Task.Spec.Class})
		}
	}
	for _, id := range drain.Empty(running, emptyBatch) {
		o.requestStop(o.tasks[id], drain.Reason)
	}
}

// refreshMembers follows the VM list, which is a hint: a worker that left it keeps its tasks until its lease lapsed.
func (o *owner) refreshMembers(now time.Time) {
	o.membersAt = now
	o.applySettings()
	members, ok := o.cfg.Members()
	if !ok {
		return
	}
	for _, w := range o.workers {
		w.listed = false
	}
	for _, vm := range members {
		w := o.worker(vm.ID)
		w.vm, w.listed = vm, true
		o.holder.AddWorker(vm.ID, vm.Addr)
	}
	for _, id := range slices.Sorted(maps.Keys(o.workers)) {
		w := o.workers[id]
		if !w.listed && len(w.tasks) == 0 && o.holder.Forget(id) {
			o.planner.RemoveWorker(id)
			delete(o.workers, id)
			continue
		}
		o.updateReady(w)
	}
}

// applySettings passes changed settings to the planner.
func (o *owner) applySettings() {
	if cfg := PlannerConfig(o.cfg.Settings()); !reflect.DeepEqual(cfg, o.plannerConfig) {
		o.plannerConfig = cfg
		o.planner.SetConfig(cfg)
		o.planDue = true
	}
}

func (o *owner) upsert(id string, w *workerState) {
	capacity := w.capacity
	if capacity.IsZero() {
		capacity = w.vm.Capacity
	}
	w.known = true
	o.planner.UpsertWorker(sched.Worker{
		ID: id, Region: o.cfg.Region, Domain: o.cfg.Domain, Rack: w.vm.Rack, Capacity: capacity, Ready: w.ready,
	})
}

func (o *owner) updateReady(w *workerState) {
	status := o.holder.Status(w.vm.ID)
	ready := w.attached && w.listed && w.vm.State != infra.VMLeaving && len(w.foreign) == 0 &&
		status.Attached && !status.Silent && status.Incarnation == w.incarnation
	if ready == w.ready || !w.known {
		return
	}
	w.ready = ready
	o.planner.SetWorkerReady(w.vm.ID, ready)
	o.planDue = true
}

func sortedTasks(tasks map[job.TaskID]*assigned) []*assigned {
	out := make([]*assigned, 0, len(tasks))
	for _, id := range slices.Sorted(maps.Keys(tasks)) {
		out = append(out, tasks[id])
	}
	return out
}

// outcome decides what becomes of a task whose attempt has ended: it is done, or queued again for its next attempt.
func (a *assigned) outcome() (done *ledger.Done, next *job.Task) {
	task := a.row.Task
	switch {
	case a.end.end == sched.EndCompleted && task.Spec.Class == job.ClassBatch:
		return &ledger.Done{Outcome: ledger.OutcomeCompleted, Attempt: task.Attempt, Worker: a.row.Worker}, nil
	case a.stop == stopCancelled:
		return &ledger.Done{Outcome: ledger.OutcomeCancelled, Attempt: task.Attempt, Worker: a.row.Worker}, nil
	}
	task.Attempt++
	task.Checkpoint = a.checkpoint
	if a.stop == stopEvicted {
		task.Evictions++
	}
	if a.end.end == sched.EndFailed && !slices.Contains(task.FailedOn, a.row.Worker) {
		task.FailedOn = append(slices.Clone(task.FailedOn), a.row.Worker)
	}
	return nil, &task
}
