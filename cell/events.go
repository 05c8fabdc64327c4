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

// Stop reasons as stored in the rows of assigned tasks.
const (
	stopEvicted   = "evicted"
	stopCancelled = "cancelled"
)

// maxDrainStops is the maximum number of stops requested in one step of the apply loop while the domain is drained.
const maxDrainStops = 128

func (o *owner) handleEvent(e worker.Event) {
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
		o.updateReadiness(w)
		o.planDue = true
	}
}

// newIncarnation ends every attempt that was assigned to an earlier incarnation, because a restarted worker runs none of
// them.
func (o *owner) newIncarnation(w *workerState, incarnation string) {
	w.incarnation = incarnation
	w.acks = nil
	clear(w.orphans)
	for _, a := range sortedTasks(w.tasks) {
		if a.row.Incarnation != incarnation {
			o.markEnded(a, sched.EndExpired, "worker restarted")
		}
	}
}

func (o *owner) handleReport(w *workerState, r infra.Report) {
	entry := &pendingAck{seq: r.Seq}
	w.acks = append(w.acks, entry)
	a := o.tasks[r.Ref.Task]
	if a == nil || a.ref() != r.Ref || a.row.Worker != w.vm.ID || a.row.Incarnation != w.incarnation {
		// The ledger does not assign this attempt to this incarnation of the worker, so the report has no effect.
		entry.durable = true
		o.handleOrphanReport(w, r)
		o.sendAcks(w)
		return
	}
	if a.ending != nil {
		if r.State == infra.RunCompleted && a.ending.end == sched.EndExpired && o.unresolved == nil {
			// The work was completed before the lease expired, and the expiry is not written yet.
			a.ending.end = sched.EndCompleted
		}
		a.acks = append(a.acks, entry)
		return
	}
	if r.Checkpoint != "" && r.Checkpoint != a.checkpoint {
		a.checkpoint = r.Checkpoint
		o.markDirty(a)
	}
	switch r.State {
	case infra.RunCompleted:
		o.markEnded(a, sched.EndCompleted, "")
	case infra.RunFailed:
		o.markEnded(a, sched.EndFailed, r.Error)
	case infra.RunStopped:
		o.markEnded(a, sched.EndStopped, r.Error)
	}
	if !a.dirty {
		entry.durable = true
		o.sendAcks(w)
		return
	}
	a.acks = append(a.acks, entry)
}

func (o *owner) handleOrphanReport(w *workerState, r infra.Report) {
	if r.State.Ended() {
		delete(w.orphans, r.Ref)
	} else if _, known := w.orphans[r.Ref]; !known {
		o.stopOrphan(w, r.Ref)
	}
	o.updateReadiness(w)
}

func (o *owner) stopOrphan(w *workerState, ref infra.AttemptRef) {
	w.orphans[ref] = struct{}{}
	o.leases.Send(w.vm.ID, infra.Command{Kind: infra.CommandStop, Ref: ref})
}

// sendAcks acknowledges the reports before the first one whose effect is not in the table yet.
func (o *owner) sendAcks(w *workerState) {
	durable := 0
	for durable < len(w.acks) && w.acks[durable].durable {
		durable++
	}
	if durable == 0 {
		return
	}
	o.leases.Ack(w.vm.ID, w.incarnation, w.acks[durable-1].seq)
	w.acks = slices.Delete(w.acks, 0, durable)
}

// handleAttached compares the attempts that the worker runs with the ledger. The reports of the same response have been
// handled already.
func (o *owner) handleAttached(w *workerState, resp infra.AttachResponse) {
	w.attached = true
	w.capacity = resp.Capacity
	running := map[infra.AttemptRef]bool{}
	for _, ref := range resp.Running {
		running[ref] = true
	}
	for _, a := range sortedTasks(w.tasks) {
		if a.ending != nil {
			continue
		}
		isRunning := running[a.ref()]
		delete(running, a.ref())
		switch {
		case a.stopReason != "":
			o.sendStop(a)
		case !isRunning:
			// This incarnation never received the start command, otherwise it would run the attempt or report its end.
			o.sendStart(a)
		}
	}
	clear(w.orphans)
	for _, ref := range resp.Running {
		if running[ref] {
			o.stopOrphan(w, ref)
		}
	}
	o.upsertWorker(w.vm.ID, w)
	o.updateReadiness(w)
}

func (o *owner) workerLeaseExpired(id string) {
	w := o.worker(id)
	w.attached = false
	for _, a := range sortedTasks(w.tasks) {
		o.markEnded(a, sched.EndExpired, "worker lease expired")
	}
	o.updateReadiness(w)
	o.cfg.Metrics.leaseExpired(o.cfg.Cell)
	o.cfg.Logger.WithField("cell", o.cfg.Cell).WithField("worker", id).WithField("tasks", len(w.tasks)).
		Warn("worker lease expired")
}

func (o *owner) markEnded(a *assignedTask, end sched.End, reason string) {
	if a.ending != nil {
		return
	}
	a.ending = &attemptEnd{end: end, reason: reason}
	o.markDirty(a)
}

func (o *owner) sendStart(a *assignedTask) {
	o.leases.Send(a.row.Worker, infra.Command{
		Kind: infra.CommandStart, Ref: a.ref(), Spec: a.row.Task.Spec, Checkpoint: a.row.Task.Checkpoint,
	})
}

func (o *owner) sendStop(a *assignedTask) {
	o.leases.Send(a.row.Worker, infra.Command{
		Kind: infra.CommandStop, Ref: a.ref(), SaveCheckpoint: a.row.Task.Spec.Class.Exclusive() && a.stopReason != stopCancelled,
	})
}

// requestStop marks the attempt as stopping. The stop command is sent once the ledger records it.
func (o *owner) requestStop(a *assignedTask, reason string) {
	if a.ending != nil || a.stopReason == stopCancelled || a.stopReason != "" && reason != stopCancelled {
		return
	}
	if a.stopReason == "" {
		o.planner.MarkStopping(a.row.Task.ID)
	}
	a.stopReason = reason
	o.markDirty(a)
}

// drainDomain requests stops of running tasks while the failure domain is out.
func (o *owner) drainDomain() {
	if !o.cfg.Gate.State().Out {
		return
	}
	var running []drain.Running
	for id, a := range o.tasks {
		if a.ending == nil && a.stopReason == "" {
			running = append(running, drain.Running{ID: id, Class: a.row.Task.Spec.Class})
		}
	}
	for _, id := range drain.SelectStops(running, maxDrainStops) {
		o.requestStop(o.tasks[id], drain.StopReason)
	}
}

// refreshWorkers applies the VM list. The list may be stale: a worker that is no longer listed keeps its tasks until
// its lease expires.
func (o *owner) refreshWorkers(now time.Time) {
	o.workersRefreshedAt = now
	o.applySettings()
	workers, ok := o.cfg.CellWorkers()
	if !ok {
		return
	}
	for _, w := range o.workers {
		w.listed = false
	}
	for _, vm := range workers {
		w := o.worker(vm.ID)
		w.vm, w.listed = vm, true
		o.leases.AddWorker(vm.ID, vm.Addr)
	}
	for _, id := range slices.Sorted(maps.Keys(o.workers)) {
		w := o.workers[id]
		if !w.listed && len(w.tasks) == 0 && o.leases.Forget(id) {
			o.planner.RemoveWorker(id)
			delete(o.workers, id)
			continue
		}
		o.updateReadiness(w)
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

func (o *owner) upsertWorker(id string, w *workerState) {
	capacity := w.capacity
	if capacity.IsZero() {
		capacity = w.vm.Capacity
	}
	w.inPlanner = true
	o.planner.UpsertWorker(sched.Worker{
		ID: id, Region: o.cfg.Region, Domain: o.cfg.Domain, Rack: w.vm.Rack, Capacity: capacity, Ready: w.ready,
	})
}

func (o *owner) updateReadiness(w *workerState) {
	status := o.leases.Status(w.vm.ID)
	ready := w.attached && w.listed && w.vm.State != infra.VMLeaving && len(w.orphans) == 0 &&
		status.Attached && !status.Silent && status.Incarnation == w.incarnation
	if ready == w.ready || !w.inPlanner {
		return
	}
	w.ready = ready
	o.planner.SetWorkerReady(w.vm.ID, ready)
	o.planDue = true
}

func sortedTasks(tasks map[job.TaskID]*assignedTask) []*assignedTask {
	out := make([]*assignedTask, 0, len(tasks))
	for _, id := range slices.Sorted(maps.Keys(tasks)) {
		out = append(out, tasks[id])
	}
	return out
}

// outcome returns the final outcome of a task whose attempt has ended, or the task to queue for its next attempt.
func (a *assignedTask) outcome() (done *ledger.Done, next *job.Task) {
	task := a.row.Task
	switch {
	case a.ending.end == sched.EndCompleted && task.Spec.Class == job.ClassBatch:
		return &ledger.Done{Outcome: ledger.OutcomeCompleted, Attempt: task.Attempt, Worker: a.row.Worker}, nil
	case a.stopReason == stopCancelled:
		return &ledger.Done{Outcome: ledger.OutcomeCancelled, Attempt: task.Attempt, Worker: a.row.Worker}, nil
	}
	task.Attempt++
	task.Checkpoint = a.checkpoint
	if a.stopReason == stopEvicted {
		task.Evictions++
	}
	if a.ending.end == sched.EndFailed && !slices.Contains(task.FailedOn, a.row.Worker) {
		task.FailedOn = append(slices.Clone(task.FailedOn), a.row.Worker)
	}
	return nil, &task
}
