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
	// turnInterval is the longest time between two turns of the apply loop.
	turnInterval = 250 * time.Millisecond
	// membersInterval is the time between looks at the VM list.
	membersInterval = time.Second
	// planInterval is the longest time between two plans while tasks wait, so that the planner's backoffs end in time.
	planInterval = 500 * time.Millisecond
	recoverPage  = 1000
	// renewalsPerLease is how often an idle owner renews its row within one lease term.
	renewalsPerLease = 4
	// retryInitial and retryMax bound the wait after a failed call to the table. retryMax is below watchGap and the
	// cell lease, so that an owner renews after an outage before a candidate concludes that it is gone.
	retryInitial = 100 * time.Millisecond
	retryMax     = time.Second
)

// assigned is a task whose row is in the cell.
type assigned struct {
	row     ledger.Assignment
	version int64
	// checkpoint is the newest one reported; it may be ahead of the row.
	checkpoint string
	// stop is why the attempt shall stop; it may be ahead of the row.
	stop string
	// end is set once the attempt has surely ended. It is never unset.
	end *ending
	// acks are the reports that are settled once the row is written.
	acks  []*ack
	dirty bool
}

func (a *assigned) ref() infra.AttemptRef {
	return infra.AttemptRef{Task: a.row.Task.ID, Attempt: a.row.Task.Attempt}
}

// ending is how an attempt ended.
type ending struct {
	end    sched.End
	reason string
}

// ack is a report that waits for its effect to be in the table.
type ack struct {
	seq  int64
	done bool
}

// workerState is what the owner knows of a worker besides its lease.
type workerState struct {
	vm          infra.VM
	listed      bool
	attached    bool
	incarnation string
	capacity    job.Resources
	tasks       map[job.TaskID]*assigned
	// foreign are attempts that the worker runs and the ledger does not know. The worker gets no starts until each is
	// confirmed gone, because nothing is set aside for them.
	foreign map[infra.AttemptRef]struct{}
	acks    []*ack
	ready   bool
	known   bool // to the planner
}

// owner runs one ownership of the cell. Its apply loop is one goroutine, which owns all fields without a note.
type owner struct {
	c       *Cell
	cfg     Config
	row     ledger.Owner
	version int64 // of the ownership row
	writer  *ledger.Writer
	takenAt time.Time

	holder        *worker.Holder
	planner       Planner
	plannerConfig sched.Config
	pacer         drain.Pacer
	tasks         map[job.TaskID]*assigned
	workers       map[string]*workerState
	dirty         []*assigned
	queue         *queue
	scans         chan scanPage

	// renewedAt is when the last successful renewal was sent, in Unix nanoseconds of the process clock; any goroutine
	// reads it through sinceRenewal.
	renewedAt atomic.Pointer[time.Time]
	// hasRoom is set while the planner has little to choose from; the scanner reads it.
	hasRoom    atomic.Bool
	lastCommit time.Time
	lastPlan   time.Time
	membersAt  time.Time
	planDue    bool
	parked     map[job.TaskID]string
	retryAt    time.Time
	retry      *backoff.ExponentialBackOff
	unresolved *batch

	stop func()
	wg   sync.WaitGroup
}

func newOwner(c *Cell, taken *ownership) *owner {
	o := &owner{
		c: c, cfg: c.cfg, row: taken.row, version: taken.version, writer: taken.writer, takenAt: taken.at,
		planner: c.cfg.NewPlanner(),
		tasks:   map[job.TaskID]*assigned{},
		workers: map[string]*workerState{},
		queue:   newQueue(),
		parked:  map[job.TaskID]string{},
		scans:   make(chan scanPage),
		retry:   backoff.NewExponentialBackOff(),
		stop:    func() {},
	}
	o.retry.InitialInterval = retryInitial
	o.retry.MaxInterval = retryMax
	o.renewedAt.Store(&taken.sentAt)
	conf := c.cfg.Settings().Sched
	o.holder = worker.NewHolder(worker.Config{
		Cell: c.cfg.Cell, Epoch: taken.row.Epoch, OwnerURL: c.cfg.OwnerURL,
		Lease:       conf.WorkerLease.D(),
		GrantUntil:  func() time.Time { return o.renewedAt.Load().Add(c.cfg.Settings().Sched.OfflineLimit.D()) },
		PermitUntil: c.cfg.Gate.PermitUntil,
		Workers:     c.cfg.Workers, Rand: newRand(c.cfg.Rand), Logger: c.cfg.Logger,
	})
	return o
}

// run recovers the cell from the ledger and owns it until ctx ends or another candidate took it.
func (o *owner) run(ctx context.Context) error {
	if err := o.recover(ctx); err != nil {
		return err
	}
	background, stop := context.WithCancel(ctx)
	o.stop = stop
	o.refreshMembers(time.Now())
	o.wg.Go(func() { o.holder.Run(background) })
	o.wg.Go(func() { newScanner(o).run(background) })
	o.c.setHolder(o.holder)
	o.cfg.Serve(o.cfg.Cell, o.holder)
	o.cfg.Metrics.taken(o.cfg.Cell)
	o.cfg.Logger.WithField("cell", o.cfg.Cell).WithField("epoch", o.row.Epoch).
		WithField("tasks", len(o.tasks)).Info("cell taken")
	return o.loop(ctx)
}

// close stops everything that acts for the ownership. No lease is granted afterwards.
func (o *owner) close() {
	o.cfg.Serve(o.cfg.Cell, nil)
	o.holder.Close()
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
		case <-o.holder.Wake():
		case <-gateChanged:
			o.planDue = true
		case page := <-o.scans:
			o.integrate(page)
		}
		if err := o.turn(ctx); err != nil {
			return err
		}
		timer.Reset(o.untilNext(time.Now()))
	}
}

func (o *owner) turn(ctx context.Context) error {
	now := time.Now()
	for _, e := range o.holder.Drain() {
		o.handle(e)
	}
	for _, id := range o.holder.Lapsed(now) {
		o.workerLapsed(id)
	}
	if now.Sub(o.membersAt) >= membersInterval {
		o.refreshMembers(now)
	}
	o.emptyDomain()
	err := o.write(ctx, now)
	o.hasRoom.Store(o.queue.enqueued < lowWater)
	o.publish()
	return err
}

func (o *owner) untilNext(now time.Time) time.Duration {
	wait := turnInterval
	if len(o.dirty) > 0 || o.planDue || o.unresolved != nil {
		wait = min(wait, max(o.nextWrite().Sub(now), 0))
	}
	if renewal := o.renewalDue().Sub(now); renewal < wait && o.unresolved == nil {
		wait = max(renewal, o.nextWrite().Sub(now), 0)
	}
	return wait
}

// nextWrite is the earliest instant of the next transaction.
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

// recover reads the cell's rows. The previous owner's late writes fail on the ownership row, so the rows are final.
func (o *owner) recover(ctx context.Context) error {
	prefix := ledger.CellTaskPrefix(o.cfg.Cell)
	after := ""
	for {
		rows, err := o.scanPage(ctx, prefix, after)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err == nil {
			o.retry.Reset()
			for _, row := range rows {
				if err := o.restore(row); err != nil {
					return err
				}
			}
			if len(rows) < recoverPage {
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
	proven := worker.OfflineProof(o.takenAt, o.cfg.Settings().Sched.OfflineLimit.D(), o.cfg.Settings().Sched.WorkerLease.D())
	for id, w := range o.workers {
		if len(w.tasks) > 0 {
			o.holder.Expect(id, proven)
		}
	}
	return nil
}

func (o *owner) scanPage(ctx context.Context, prefix, after string) ([]infra.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return o.cfg.Table.Scan(ctx, prefix, after, recoverPage)
}

func (o *owner) restore(row infra.Row) error {
	assignment, err := ledger.Decode[ledger.Assignment](row.Key, row.Value)
	if err != nil {
		return err
	}
	a := &assigned{row: assignment, version: row.Version, checkpoint: assignment.Task.Checkpoint}
	if assignment.State == ledger.Stopping {
		a.stop = assignment.StopReason
	}
	o.add(a)
	o.upsert(assignment.Worker, o.worker(assignment.Worker))
	o.planner.Restore(sched.Allocation{Task: assignment.Task, Worker: assignment.Worker, Commitment: assignment.Commitment})
	if a.stop != "" {
		o.planner.Stopping(assignment.Task.ID)
	}
	return nil
}

func (o *owner) add(a *assigned) {
	o.tasks[a.row.Task.ID] = a
	o.worker(a.row.Worker).tasks[a.row.Task.ID] = a
}

func (o *owner) remove(a *assigned) {
	delete(o.tasks, a.row.Task.ID)
	delete(o.worker(a.row.Worker).tasks, a.row.Task.ID)
}

func (o *owner) worker(id string) *workerState {
	w := o.workers[id]
	if w == nil {
		w = &workerState{
			vm: infra.VM{ID: id}, tasks: map[job.TaskID]*assigned{}, foreign: map[infra.AttemptRef]struct{}{},
		}
		o.workers[id] = w
	}
	return w
}

func (o *owner) mark(a *assigned) {
	if !a.dirty {
		a.dirty = true
		o.dirty = append(o.dirty, a)
	}
}

func (o *owner) publish() {
	state := o.cfg.Gate.State()
	status := Status{
		Owned: true, Epoch: o.row.Epoch, Workers: len(o.workers), Running: len(o.tasks), Queued: o.queue.enqueued,
		DomainVersion: state.Version, StartsAllowed: state.StartsAllowed(time.Now()),
	}
	for id, reason := range o.parked {
		status.Parked = append(status.Parked, ParkedTask{Task: string(id), Reason: reason})
	}
	o.c.setStatus(status)
	o.cfg.Metrics.observe(o.cfg.Cell, status)
}
