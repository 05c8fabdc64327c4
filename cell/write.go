package cell

import (
	"context"
	stderrors "errors"
	"slices"
	"strings"
	"time"

	"github.com/currantthread/currantthread/infra"
	"github.com/currantthread/currantthread/internal/wait"
	"github.com/currantthread/currantthread/job"
	"github.com/currantthread/currantthread/ledger"
	"github.com/currantthread/currantthread/sched"
)

const (
	// maxChanges, maxStarts and maxDropped bound the changed assignment rows, the starts and the removed queue rows of
	// cancelled jobs in one transaction.
	maxChanges = 256
	maxStarts  = 256
	maxDropped = 256
)

// batch is a transaction together with the state changes that follow from its commit.
type batch struct {
	txn     infra.Txn
	sentAt  time.Time
	row     ledger.Owner
	changes []change
	starts  []*assignedTask
	drops   []*entry
	parks   []*entry
	plan    sched.Plan
	evicted []*assignedTask
	// planned is set if the planner made plan, which must then be committed or aborted.
	planned       bool
	domainVersion int64
	// applied is set once the transaction is known to be committed; the version of its rows still has to be read.
	applied bool
}

// change is the new state of one assignment row.
type change struct {
	task *assignedTask
	// row is the value to write, unless removed is set.
	row      ledger.Assignment
	removed  bool
	requeued *job.Task // task to queue for the next attempt; nil if it is done
	acks     int       // number of task.acks whose effect the change writes
}

func (b *batch) empty() bool { return len(b.txn.Writes) == 0 }

func (b *batch) require(key string, version int64) {
	b.txn.Conditions = append(b.txn.Conditions, infra.Condition{Key: key, Version: version})
}

func (b *batch) put(key string, value any) {
	b.txn.Writes = append(b.txn.Writes, infra.Write{Key: key, Value: ledger.Encode(value)})
}

func (b *batch) remove(key string) {
	b.txn.Writes = append(b.txn.Writes, infra.Write{Key: key, Delete: true})
}

// write commits pending changes, starts and renewals. It returns an error only if the ownership has ended.
func (o *owner) write(ctx context.Context, now time.Time) error {
	if now.Before(o.nextWrite()) {
		return nil
	}
	if o.unresolved != nil {
		return o.resolve(ctx)
	}
	b := &batch{}
	o.makePlan(b, now)
	o.addChanges(b)
	o.addDrops(b, now)
	o.addParks(b)
	if b.empty() && now.Before(o.renewalDue()) {
		// Throttling changes no row.
		o.planner.Commit(b.plan)
		o.throttle(b.plan)
		return nil
	}
	return o.commit(ctx, b)
}

// makePlan runs the planner, adds the planned starts to the transaction and marks the planned evictions.
func (o *owner) makePlan(b *batch, now time.Time) {
	if !o.planDue && now.Sub(o.lastPlan) < planInterval {
		return
	}
	state := o.cfg.Gate.State()
	limit := 0
	if state.StartsAllowed(now) {
		perSecond := o.cfg.Settings().Sched.ReturnStartsPerSec
		limit = o.pacer.Allowance(now, state.ReturnedAt, perSecond, maxStarts)
	}
	o.lastPlan = now
	b.plan = o.planner.Plan(now, limit)
	b.planned = true
	b.domainVersion = state.Version
	o.recordParked(b.plan.Parked)
	// A plan that reached the limit continues with the next transaction.
	o.planDue = limit > 0 && len(b.plan.Starts) == limit
	for _, start := range b.plan.Starts {
		o.addStart(b, start)
	}
	if len(b.starts) > 0 {
		b.require(ledger.DomainKey(o.cfg.Domain), state.Version)
		for _, jobID := range jobsOf(b.starts) {
			b.require(ledger.CancelKey(jobID), 0)
		}
	}
	for _, p := range b.plan.Preemptions {
		if a := o.tasks[p.Task]; p.Action == sched.ActionEvict && a != nil && a.ending == nil && a.stopReason == "" {
			a.stopReason = stopEvicted
			o.markDirty(a)
			b.evicted = append(b.evicted, a)
		}
	}
}

func (o *owner) recordParked(parked []sched.Parked) {
	for _, p := range parked {
		o.parked[p.Task] = p.Reason
	}
	for id := range o.parked {
		if e := o.queue.entries[id]; e == nil || !e.enqueued {
			delete(o.parked, id)
		}
	}
}

func (o *owner) addStart(b *batch, start sched.Allocation) {
	e := o.queue.entries[start.Task.ID]
	w := o.worker(start.Worker)
	a := &assignedTask{
		row: ledger.Assignment{
			Task: start.Task, Worker: start.Worker, Incarnation: w.incarnation, State: ledger.Assigned,
			Commitment: start.Commitment,
		},
		checkpoint: start.Task.Checkpoint,
	}
	key := ledger.CellTaskKey(o.cfg.Cell, start.Task.ID)
	b.require(e.key, e.version)
	b.require(key, 0)
	b.remove(e.key)
	b.put(key, a.row)
	b.starts = append(b.starts, a)
}

func jobsOf(starts []*assignedTask) []string {
	var jobs []string
	for _, a := range starts {
		jobs = append(jobs, a.row.Task.ID.Job())
	}
	slices.Sort(jobs)
	return slices.Compact(jobs)
}

func (o *owner) addChanges(b *batch) {
	for _, a := range o.dirty[:min(len(o.dirty), maxChanges)] {
		key := ledger.CellTaskKey(o.cfg.Cell, a.row.Task.ID)
		b.require(key, a.version)
		c := change{task: a, row: a.row, acks: len(a.acks)}
		if a.ending != nil {
			c.removed = true
			b.remove(key)
			var done *ledger.Done
			if done, c.requeued = a.outcome(); done != nil {
				b.put(ledger.DoneKey(a.row.Task.ID), done)
			} else {
				queueKey := ledger.QueueKeyOf(*c.requeued)
				b.require(queueKey, 0)
				b.put(queueKey, c.requeued)
			}
		} else {
			c.row.Task.Checkpoint = a.checkpoint
			if a.stopReason != "" {
				c.row.State, c.row.StopReason = ledger.Stopping, a.stopReason
			}
			b.put(key, c.row)
		}
		b.changes = append(b.changes, c)
	}
}

// addDrops removes queued tasks of cancelled jobs and records them as cancelled.
func (o *owner) addDrops(b *batch, now time.Time) {
	for _, e := range o.queue.cancelled(now, maxDropped) {
		b.require(e.key, e.version)
		b.remove(e.key)
		b.put(ledger.DoneKey(e.task.ID), ledger.Done{Outcome: ledger.OutcomeCancelled, Attempt: e.task.Attempt - 1})
		b.drops = append(b.drops, e)
	}
}

// addParks stores the parking reason in the rows of tasks that cannot be placed without an operator.
func (o *owner) addParks(b *batch) {
	for _, p := range b.plan.Parked {
		if !p.Permanent {
			continue
		}
		for _, e := range o.queue.ofJob(p.Task.Job()) {
			if e.parkPending || e.task.Parked != "" || e.cancelled {
				continue
			}
			e.parkPending = true
			task := e.task
			task.Parked = p.Reason
			b.require(e.key, e.version)
			b.put(e.key, task)
			b.parks = append(b.parks, e)
		}
	}
}

// commit writes b together with a renewal of the ownership row.
func (o *owner) commit(ctx context.Context, b *batch) error {
	b.row = o.row
	b.row.Renewal++
	key := ledger.CellOwnerKey(o.cfg.Cell)
	b.require(key, o.version)
	b.put(key, b.row)
	b.sentAt = time.Now()
	o.lastCommit = b.sentAt
	// A commit in flight completes even if ctx ends, so that a handover starts from a known state.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), tableCallTimeout)
	defer cancel()
	version, err := o.writer.Commit(ctx, b.txn)
	o.cfg.Metrics.committed(o.cfg.Cell, err)
	var conflict *infra.ConflictError
	switch {
	case err == nil:
		o.applyCommitted(b, version)
		return nil
	case stderrors.As(err, &conflict):
		o.rollBack(b)
		return o.handleConflict(conflict)
	case infra.IsUnknownOutcome(err):
		o.unresolved = b
		o.backOff()
		return nil
	default:
		o.rollBack(b)
		o.backOff()
		return nil
	}
}

func (o *owner) backOff() { o.retryAt = time.Now().Add(o.retry.NextBackOff()) }

// resolve determines the outcome of the last transaction.
func (o *owner) resolve(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), tableCallTimeout)
	defer cancel()
	b := o.unresolved
	if !b.applied {
		applied, err := o.writer.Resolve(ctx)
		switch {
		case isUnavailable(err) || infra.IsUnknownOutcome(err):
			o.backOff()
			return nil
		case err != nil:
			o.rollBack(b)
			return errInconsistent
		case !applied:
			o.unresolved = nil
			o.rollBack(b)
			return nil
		}
		b.applied = true
	}
	row, owner, err := o.cell.readOwner(ctx)
	if err != nil {
		o.backOff()
		return nil
	}
	if owner != b.row {
		return errOwnershipLost
	}
	o.unresolved = nil
	o.applyCommitted(b, row.Version)
	return nil
}

// handleConflict reacts to each failed condition. A queue entry whose row changed is dropped; the next scan reads it
// again.
func (o *owner) handleConflict(conflict *infra.ConflictError) error {
	o.planDue = true
	for _, key := range conflict.Keys {
		switch {
		case key == ledger.CellOwnerKey(o.cfg.Cell):
			return errOwnershipLost
		case key == ledger.DomainKey(o.cfg.Domain):
			o.cfg.Gate.Refresh()
		case strings.HasPrefix(key, ledger.CancelPrefix):
			o.cancelJob(strings.TrimPrefix(key, ledger.CancelPrefix))
		case strings.HasPrefix(key, ledger.CellTaskPrefix(o.cfg.Cell)):
			return errInconsistent
		default:
			o.dropEntry(o.queue.keys[key])
		}
	}
	return nil
}

// rollBack undoes the tentative plan of a transaction that was not applied. Changes of assignment rows stay pending.
func (o *owner) rollBack(b *batch) {
	if b.planned {
		o.planner.Abort(b.plan)
		o.planDue = true
	}
	for _, a := range b.evicted {
		if a.stopReason == stopEvicted {
			a.stopReason = ""
		}
	}
	for _, e := range b.parks {
		e.parkPending = false
	}
}

// applyCommitted updates the state in memory after a commit and sends the commands that follow from it.
func (o *owner) applyCommitted(b *batch, version int64) {
	o.retry.Reset()
	o.retryAt = time.Time{}
	o.row, o.version = b.row, version
	o.renewedAt.Store(&b.sentAt)
	if len(b.starts) > 0 {
		o.cfg.Gate.Confirm(b.sentAt, b.domainVersion)
		o.pacer.RecordStarts(time.Now(), len(b.starts))
	}
	if b.planned {
		o.planner.Commit(b.plan)
	}
	for _, a := range b.evicted {
		o.planner.MarkStopping(a.row.Task.ID)
	}
	for _, c := range b.changes {
		o.applyChange(c, version)
	}
	o.dirty = slices.DeleteFunc(o.dirty, func(a *assignedTask) bool { return !a.dirty })
	for _, e := range b.drops {
		o.dropEntry(e)
	}
	for _, e := range b.parks {
		o.dropEntry(e)
	}
	for _, a := range b.starts {
		o.applyStart(a, version)
	}
	o.throttle(b.plan)
	o.cfg.Metrics.started(o.cfg.Cell, len(b.starts))
}

func (o *owner) applyStart(a *assignedTask, version int64) {
	a.version = version
	if e := o.queue.entries[a.row.Task.ID]; e != nil {
		o.queue.drop(e)
	}
	o.addTask(a)
	if w := o.worker(a.row.Worker); w.incarnation != a.row.Incarnation || !w.attached {
		// The worker restarted or its lease expired while the transaction was in flight.
		o.markEnded(a, sched.EndExpired, "worker restarted or its lease expired")
		return
	}
	if o.queue.cancelledJobs[a.row.Task.ID.Job()] {
		// The cancellation was read while the outcome of the transaction was unknown.
		o.requestStop(a, stopCancelled)
		return
	}
	o.sendStart(a)
}

func (o *owner) applyChange(c change, version int64) {
	a := c.task
	a.version, a.row = version, c.row
	w := o.worker(a.row.Worker)
	for _, entry := range a.acks[:c.acks] {
		entry.durable = true
	}
	a.acks = slices.Delete(a.acks, 0, c.acks)
	if !c.removed {
		// The next transaction writes what was reported while this one was in flight.
		a.dirty = a.ending != nil || a.checkpoint != a.row.Task.Checkpoint || a.stopReason != a.row.StopReason
		if a.stopReason != "" && a.ending == nil {
			o.sendStop(a)
		}
		o.sendAcks(w)
		return
	}
	a.dirty = false
	for _, entry := range a.acks {
		entry.durable = true
	}
	o.removeTask(a)
	o.planner.Release(a.row.Task.ID, a.ending.end)
	o.planDue = true
	o.sendAcks(w)
	o.cfg.Metrics.ended(o.cfg.Cell, a)
	if c.requeued != nil {
		o.requeue(*c.requeued, version)
	}
}

// throttle sends the CPU limits of the plan. They are not stored, because a lost limit costs speed but no guarantee.
func (o *owner) throttle(plan sched.Plan) {
	for _, p := range plan.Preemptions {
		a := o.tasks[p.Task]
		if a == nil || a.ending != nil || p.Action == sched.ActionEvict {
			continue
		}
		percent := p.CPUPercent
		if percent == 0 {
			percent = 100
		}
		o.leases.Send(p.Worker, infra.Command{Kind: infra.CommandThrottle, Ref: a.ref(), CPUPercent: percent})
	}
}

// handover hands the cell over to successor, or releases it if there is none. The lease manager is closed already, so no
// lease is granted meanwhile.
func (o *owner) handover(ctx context.Context, successor func() (Successor, bool), announce Announcer) {
	ctx, cancel := context.WithTimeout(ctx, tableCallTimeout)
	defer cancel()
	for o.unresolved != nil {
		if err := o.resolve(ctx); err != nil || ctx.Err() != nil {
			return
		}
		if o.unresolved != nil && !wait.For(ctx, retryInitial) {
			return
		}
	}
	to, ok := successor()
	row := ledger.Owner{Holder: to.VM, Addr: to.Addr, Epoch: o.row.Epoch + 1, Released: true}
	key := ledger.CellOwnerKey(o.cfg.Cell)
	for {
		_, err := o.writer.Commit(ctx, infra.Txn{
			Conditions: []infra.Condition{{Key: key, Version: o.version}},
			Writes:     []infra.Write{{Key: key, Value: ledger.Encode(row)}},
		})
		if err == nil {
			break
		}
		if !isUnavailable(err) || !wait.For(ctx, retryInitial) {
			// A peer takes the cell over once the ownership row has been unchanged for a lease term.
			o.cfg.Logger.WithField("cell", o.cfg.Cell).WithError(err).Warn("cell handover failed; a peer takes over when the cell lease expires")
			return
		}
	}
	o.cfg.Logger.WithField("cell", o.cfg.Cell).WithField("successor", to.VM).Info("cell ownership released")
	if !ok {
		return
	}
	if err := announce(ctx, to, o.cfg.Cell, row.Epoch); err != nil {
		o.cfg.Logger.WithField("cell", o.cfg.Cell).WithError(err).Info("could not notify the successor of the handover")
	}
}
