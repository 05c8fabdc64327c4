package cell

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/currantthread/currantthread/drain"
	"github.com/currantthread/currantthread/infra"
	"github.com/currantthread/currantthread/internal/wait"
	"github.com/currantthread/currantthread/job"
	"github.com/currantthread/currantthread/ledger"
	"github.com/currantthread/currantthread/sched"
	"github.com/currantthread/currantthread/worker"
)

const (
	// maxStepInterval is the longest time between two steps of the apply loop.
	maxStepInterval = 250 * time.Millisecond
	// workersRefreshInterval is the time between reads of the VM list.
	workersRefreshInterval = time.Second
	// planInterval is the time after which the planner runs again without an event, so that it notices when its backoffs
	// end. Commit spacing and retries can delay it.
	planInterval     = 500 * time.Millisecond
	recoveryPageSize = 1000 // rows per scan
	// renewalsPerLease is the number of renewals of an idle owner within one lease term.
	renewalsPerLease = 4
	// retryInitial and retryMax bound the wait after a failed call to the table. retryMax is below maxReadGap and the
	// cell lease, so that after an outage the owner renews before a candidate considers its lease expired.
	retryInitial = 100 * time.Millisecond
	retryMax     = time.Second
)

// assignedTask is a task with an assignment row in the cell.
type assignedTask struct {
	row     ledger.Assignment
	version int64
	// checkpoint is the newest reported checkpoint; the row may hold an older one.
	checkpoint string
	// stopReason is set once a stop is requested; the row may not record it yet.
	stopReason string
	// ending is set once the attempt is confirmed to have ended. It is never cleared.
	ending *attemptEnd
	// acks are the reports that can be acknowledged once the row is written.
	acks  []*pendingAck
	dirty bool
}

func (a *assignedTask) ref() infra.AttemptRef {
	return infra.AttemptRef{Task: a.row.Task.ID, Attempt: a.row.Task.Attempt}
}

// attemptEnd is how an attempt ended.
type attemptEnd struct {
	end    sched.End
	reason string
}

// pendingAck is a report that is acknowledged once its effect is in the table.
type pendingAck struct {
	seq     int64
	durable bool
}

// workerState is the owner's state of a worker, apart from its lease.
type workerState struct {
	vm          infra.VM
	listed      bool
	attached    bool
	incarnation string
	capacity    job.Resources
	tasks       map[job.TaskID]*assignedTask
	// orphans are attempts that the worker runs but the ledger does not record. The worker gets no starts until all of
	// them are confirmed to have ended, because no resources are reserved for them.
	orphans   map[infra.AttemptRef]struct{}
	acks      []*pendingAck
	ready     bool
	inPlanner bool
}

// owner runs the cell during one ownership. Its fields belong to the goroutine of the apply loop unless noted otherwise.
type owner struct {
	cell       *Cell
	cfg        Config
	row        ledger.Owner
	version    int64 // of the ownership row
	writer     *ledger.Writer
	acquiredAt time.Time

	leases        *worker.LeaseManager
	planner       Planner
	plannerConfig sched.Config
	pacer         drain.Pacer
	tasks         map[job.TaskID]*assignedTask
	workers       map[string]*workerState
	dirty         []*assignedTask
	queue         *queue
	scans         chan scanPage

	// renewedAt is when the last successful renewal was sent. Any goroutine may read it.
	renewedAt atomic.Pointer[time.Time]
	// queueLow is set while the planner has fewer than queueLowWater queued tasks; the scanner reads it.
	queueLow           atomic.Bool
	lastCommit         time.Time
	lastPlan           time.Time
	workersRefreshedAt time.Time
	planDue            bool
	parked             map[job.TaskID]string
	retryAt            time.Time
	retry              *backoff.ExponentialBackOff
	unresolved         *batch

	stop func()
	wg   sync.WaitGroup
}

func newOwner(c *Cell, acquired *acquiredOwnership) *owner {
	o := &owner{
		cell: c, cfg: c.cfg, row: acquired.row, version: acquired.version, writer: acquired.writer, acquiredAt: acquired.committedAt,
		planner: c.cfg.NewPlanner(),
		tasks:   map[job.TaskID]*assignedTask{},
		workers: map[string]*workerState{},
		queue:   newQueue(),
		parked:  map[job.TaskID]string{},
		scans:   make(chan scanPage),
		retry:   backoff.NewExponentialBackOff(),
		stop:    func() {},
	}
	o.retry.InitialInterval = retryInitial
	o.retry.MaxInterval = retryMax
	o.renewedAt.Store(&acquired.sentAt)
	conf := c.cfg.Settings().Sched
	o.leases = worker.NewLeaseManager(worker.Config{
		Cell: c.cfg.Cell, Epoch: acquired.row.Epoch, OwnerURL: c.cfg.OwnerURL,
		Lease:       conf.WorkerLease.D(),
		GrantUntil:  func() time.Time { return o.renewedAt.Load().Add(c.cfg.Settings().Sched.OfflineLimit.D()) },
		PermitUntil: c.cfg.Gate.PermitUntil,
		Workers:     c.cfg.Workers, Rand: newRand(c.cfg.Rand), Logger: c.cfg.Logger,
	})
	return o
}

// run restores the cell's state from the ledger and runs the cell until ctx ends or the ownership is lost.
func (o *owner) run(ctx context.Context) error {
	if err := o.recoverAssignments(ctx); err != nil {
		return err
	}
	background, stop := context.WithCancel(ctx)
	o.stop = stop
	o.refreshWorkers(time.Now())
	o.wg.Go(func() { o.leases.Run(background) })
	o.wg.Go(func() { newScanner(o).run(background) })
	o.cell.setStartTracker(o.leases)
	o.cfg.SetPollServer(o.cfg.Cell, o.leases)
	o.cfg.Metrics.acquired(o.cfg.Cell)
	o.cfg.Logger.WithField("cell", o.cfg.Cell).WithField("epoch", o.row.Epoch).
		WithField("tasks", len(o.tasks)).Info("cell acquired")
	return o.loop(ctx)
}

// close stops all goroutines of this ownership. No lease is granted afterwards.
func (o *owner) close() {
	o.cfg.SetPollServer(o.cfg.Cell, nil)
	o.leases.Close()
	o.stop()
	o.wg.Wait()
}

func (o *owner) loop(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		gateChanged := o.cfg.Gate.Changed()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
		case <-o.leases.Wake():
		case <-gateChanged:
			o.planDue = true
		case page := <-o.scans:
			o.mergePage(page)
		}
		if err := o.step(ctx); err != nil {
			return err
		}
		timer.Reset(o.nextStepDelay(time.Now()))
	}
}

func (o *owner) step(ctx context.Context) error {
	now := time.Now()
	for _, e := range o.leases.Drain() {
		o.handleEvent(e)
	}
	for _, id := range o.leases.ExpiredLeases(now) {
		o.workerLeaseExpired(id)
	}
	if now.Sub(o.workersRefreshedAt) >= workersRefreshInterval {
		o.refreshWorkers(now)
	}
	o.drainDomain()
	err := o.write(ctx, now)
	o.queueLow.Store(o.queue.enqueued < queueLowWater)
	o.publishStatus()
	return err
}

func (o *owner) nextStepDelay(now time.Time) time.Duration {
	delay := maxStepInterval
	if len(o.dirty) > 0 || o.planDue || o.unresolved != nil {
		delay = min(delay, max(o.nextWrite().Sub(now), 0))
	}
	if renewal := o.renewalDue().Sub(now); renewal < delay && o.unresolved == nil {
		delay = max(renewal, o.nextWrite().Sub(now), 0)
	}
	return delay
}

// nextWrite returns the earliest time of the next transaction.
func (o *owner) nextWrite() time.Time {
	next := o.lastCommit.Add(o.cfg.Settings().Sched.CommitSpacing.D())
	if o.unresolved != nil || o.retryAt.After(next) {
		return o.retryAt
	}
	return next
}

func (o *owner) renewalDue() time.Time {
	return o.renewedAt.Load().Add(o.cfg.Settings().Sched.CellLease.D() / renewalsPerLease)
}

// recoverAssignments reads the cell's assignment rows. They no longer change, because late writes of the previous owner fail
// on their condition on the ownership row.
func (o *owner) recoverAssignments(ctx context.Context) error {
	prefix := ledger.CellTaskPrefix(o.cfg.Cell)
	after := ""
	for {
		rows, err := o.readRecoveryPage(ctx, prefix, after)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err == nil {
			o.retry.Reset()
			for _, row := range rows {
				if err := o.restoreTask(row); err != nil {
					return err
				}
			}
			if len(rows) < recoveryPageSize {
				break
			}
			after = rows[len(rows)-1].Key
		} else if !wait.For(ctx, o.retry.NextBackOff()) {
			return ctx.Err()
		}
		if !time.Now().Before(o.renewalDue()) {
			if err := o.commit(ctx, &batch{}); err != nil {
				return err
			}
		}
	}
	leasesExpiredBy := worker.OfflineLeaseExpiry(o.acquiredAt, o.cfg.Settings().Sched.OfflineLimit.D(), o.cfg.Settings().Sched.WorkerLease.D())
	for id, w := range o.workers {
		if len(w.tasks) > 0 {
			o.leases.TrackEarlierLease(id, leasesExpiredBy)
		}
	}
	return nil
}

func (o *owner) readRecoveryPage(ctx context.Context, prefix, after string) ([]infra.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, tableCallTimeout)
	defer cancel()
	return o.cfg.Table.Scan(ctx, prefix, after, recoveryPageSize)
}

func (o *owner) restoreTask(row infra.Row) error {
	assignment, err := ledger.Decode[ledger.Assignment](row.Key, row.Value)
	if err != nil {
		return err
	}
	a := &assignedTask{row: assignment, version: row.Version, checkpoint: assignment.Task.Checkpoint}
	if assignment.State == ledger.Stopping {
		a.stopReason = assignment.StopReason
	}
	o.addTask(a)
	o.upsertWorker(assignment.Worker, o.worker(assignment.Worker))
	o.planner.Restore(sched.Allocation{Task: assignment.Task, Worker: assignment.Worker, Commitment: assignment.Commitment})
	if a.stopReason != "" {
		o.planner.MarkStopping(assignment.Task.ID)
	}
	return nil
}

func (o *owner) addTask(a *assignedTask) {
	o.tasks[a.row.Task.ID] = a
	o.worker(a.row.Worker).tasks[a.row.Task.ID] = a
}

func (o *owner) removeTask(a *assignedTask) {
	delete(o.tasks, a.row.Task.ID)
	delete(o.worker(a.row.Worker).tasks, a.row.Task.ID)
}

func (o *owner) worker(id string) *workerState {
	w := o.workers[id]
	if w == nil {
		w = &workerState{
			vm: infra.VM{ID: id}, tasks: map[job.TaskID]*assignedTask{}, orphans: map[infra.AttemptRef]struct{}{},
		}
		o.workers[id] = w
	}
	return w
}

func (o *owner) markDirty(a *assignedTask) {
	if !a.dirty {
		a.dirty = true
		o.dirty = append(o.dirty, a)
	}
}

func (o *owner) publishStatus() {
	state := o.cfg.Gate.State()
	status := Status{
		Owned: true, Epoch: o.row.Epoch, Workers: len(o.workers), Running: len(o.tasks), Queued: o.queue.enqueued,
		DomainVersion: state.Version, StartsAllowed: state.StartsAllowed(time.Now()),
	}
	for id, reason := range o.parked {
		status.Parked = append(status.Parked, ParkedTask{Task: string(id), Reason: reason})
	}
	o.cell.setStatus(status)
	o.cfg.Metrics.setGauges(o.cfg.Cell, status)
}
