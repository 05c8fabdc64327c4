package cell_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/currantthread/currantthread/infra"
)

// attempt is a fake worker's state of one attempt.
type attempt struct {
	ref              infra.AttemptRef
	state            infra.RunState
	run              *run // nil if it never ran
	startedAt        time.Time
	priorWork        time.Duration // work completed by earlier attempts
	totalWork        time.Duration // 0 runs until it is stopped
	checkpoint       string
	checkpointedWork time.Duration
	timer            *time.Timer
	// stopping is set while a stop command is in progress.
	stopping bool
}

// fakeWorker implements the worker protocol of docs/design.md §5: leases and permits count from when a poll was sent, lower
// epochs and repeated attempts are refused, exclusive tasks stop when the lease expires, and reports are repeated until
// they are acknowledged.
type fakeWorker struct {
	cluster   *cluster
	vm        infra.VM
	clockRate float64 // rate of its clock relative to true time, within the drift bound

	mu          sync.Mutex // guards the fields below
	alive       bool
	suspendedAt time.Time
	// dropPolls drops every poll, while attach requests still arrive.
	dropPolls   bool
	resumed     chan struct{} // closed while the worker is not suspended
	incarnation string
	restarts    int
	epochs      map[string]int64
	cell, owner string
	epoch       int64
	leaseUntil  time.Time
	permitUntil time.Time
	attempts    map[infra.AttemptRef]*attempt
	reports     []infra.Report
	seq         int64
	attachedCh  chan struct{}
	failAll     bool
	stop        context.CancelFunc
	rng         *rand.Rand
}

var errUnresponsive = errors.New("process does not respond")

// localDuration returns how long a duration granted by the owner lasts on the worker's clock.
func (f *fakeWorker) localDuration(ms int64) time.Duration {
	return time.Duration(float64(ms) * f.clockRate * float64(time.Millisecond))
}

func (f *fakeWorker) boot() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.restarts++
	f.alive = true
	f.incarnation = fmt.Sprintf("%s#%d", f.vm.ID, f.restarts)
	f.epochs = map[string]int64{}
	f.cell, f.owner, f.epoch = "", "", 0
	f.leaseUntil, f.permitUntil = time.Time{}, time.Time{}
	f.attempts = map[infra.AttemptRef]*attempt{}
	f.reports, f.seq = nil, 0
	f.resumed = make(chan struct{})
	close(f.resumed)
	ctx, stop := context.WithCancel(f.cluster.ctx)
	f.stop = stop
	incarnation := f.incarnation
	f.cluster.wg.Go(func() { f.poll(ctx, incarnation) })
	f.cluster.wg.Go(func() { f.watchLease(ctx, incarnation) })
}

// crash terminates the worker and everything that runs on it.
func (f *fakeWorker) crash() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.alive {
		return
	}
	f.alive = false
	f.stop()
	at := time.Now()
	if !f.suspendedAt.IsZero() {
		at = f.suspendedAt
		f.suspendedAt = time.Time{}
		close(f.resumed)
	}
	for _, a := range f.attempts {
		if a.state == infra.RunRunning {
			f.halt(a, at)
		}
	}
}

// setDropPolls sets whether every poll is dropped.
func (f *fakeWorker) setDropPolls(drop bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dropPolls = drop
}

func (f *fakeWorker) dropsPolls() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.dropPolls
}

// suspend halts the whole machine: nothing runs, and nothing is sent or received.
func (f *fakeWorker) suspend() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.alive || !f.suspendedAt.IsZero() {
		return
	}
	f.suspendedAt = time.Now()
	f.resumed = make(chan struct{})
	for _, a := range f.attempts {
		if a.state == infra.RunRunning && a.timer != nil {
			a.timer.Stop()
		}
	}
}

// resume ends a suspension. It checks the lease before any task continues, because tasks are suspended with the worker.
func (f *fakeWorker) resume() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.alive || f.suspendedAt.IsZero() {
		return
	}
	suspendedAt := f.suspendedAt
	f.suspendedAt = time.Time{}
	if time.Now().After(f.leaseUntil) {
		f.stopExclusive(suspendedAt)
	}
	for _, a := range f.attempts {
		if a.state == infra.RunRunning {
			a.startedAt = a.startedAt.Add(time.Since(suspendedAt))
			f.scheduleCompletion(a)
		}
	}
	close(f.resumed)
}

// lockWhenRunning waits until the worker is not suspended and locks mu. It returns false, without the lock, if the
// incarnation has terminated.
func (f *fakeWorker) lockWhenRunning(ctx context.Context, incarnation string) bool {
	for {
		f.mu.Lock()
		if !f.alive || f.incarnation != incarnation {
			f.mu.Unlock()
			return false
		}
		if f.suspendedAt.IsZero() {
			return true
		}
		resumed := f.resumed
		f.mu.Unlock()
		select {
		case <-resumed:
		case <-ctx.Done():
			return false
		}
	}
}

// attach handles an owner's attach request.
func (f *fakeWorker) attach(ctx context.Context, req infra.AttachRequest) (infra.AttachResponse, error) {
	f.mu.Lock()
	incarnation := f.incarnation
	f.mu.Unlock()
	if !f.lockWhenRunning(ctx, incarnation) {
		return infra.AttachResponse{}, errUnresponsive
	}
	defer f.mu.Unlock()
	if req.Epoch < f.epochs[req.Cell] {
		return infra.AttachResponse{}, &infra.StaleEpochError{Cell: req.Cell, Got: req.Epoch, Want: f.epochs[req.Cell]}
	}
	f.epochs[req.Cell] = req.Epoch
	f.cell, f.owner, f.epoch = req.Cell, req.OwnerURL, req.Epoch
	f.checkLease()
	resp := infra.AttachResponse{
		Worker: f.vm.ID, Incarnation: f.incarnation, Capacity: f.vm.Capacity, Reports: slices.Clone(f.reports),
	}
	for _, a := range f.sortedAttempts() {
		if a.state == infra.RunRunning {
			resp.Running = append(resp.Running, a.ref)
		}
	}
	select {
	case f.attachedCh <- struct{}{}:
	default:
	}
	return resp, nil
}

func (f *fakeWorker) sortedAttempts() []*attempt {
	list := make([]*attempt, 0, len(f.attempts))
	for _, a := range f.attempts {
		list = append(list, a)
	}
	slices.SortFunc(list, func(a, b *attempt) int {
		if a.ref.Task != b.ref.Task {
			if a.ref.Task < b.ref.Task {
				return -1
			}
			return 1
		}
		return a.ref.Attempt - b.ref.Attempt
	})
	return list
}

// poll polls the latest owner until the incarnation ends.
func (f *fakeWorker) poll(ctx context.Context, incarnation string) {
	for ctx.Err() == nil {
		if !f.lockWhenRunning(ctx, incarnation) {
			return
		}
		owner, epoch := f.owner, f.epoch
		req := infra.PollRequest{
			Worker: f.vm.ID, Incarnation: f.incarnation, Cell: f.cell, Epoch: f.epoch,
			Reports: slices.Clone(f.reports), HoldMillis: 1000,
		}
		f.mu.Unlock()
		if owner == "" {
			if !f.awaitAttach(ctx, time.Minute) {
				return
			}
			continue
		}
		sent := time.Now()
		resp, err := send(ctx, f.cluster.net, f.vm.ID, owner, func(ctx context.Context) (infra.PollResponse, error) {
			if f.dropsPolls() {
				return infra.PollResponse{}, errNoResponse
			}
			return f.cluster.poll(ctx, owner, req)
		})
		if !f.lockWhenRunning(ctx, incarnation) {
			return
		}
		if err == nil && f.epoch == epoch {
			f.apply(sent, resp)
		}
		f.mu.Unlock()
		if err != nil && !f.awaitAttach(ctx, 200*time.Millisecond) {
			return
		}
	}
}

func (f *fakeWorker) awaitAttach(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-f.attachedCh:
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	return true
}

// apply handles the response to a poll sent at sent. The caller holds mu.
func (f *fakeWorker) apply(sent time.Time, resp infra.PollResponse) {
	f.checkLease()
	if until := sent.Add(f.localDuration(resp.LeaseMillis)); until.After(f.leaseUntil) {
		f.leaseUntil = until
	}
	f.permitUntil = sent.Add(f.localDuration(resp.StartPermitMillis))
	f.reports = slices.DeleteFunc(f.reports, func(r infra.Report) bool { return r.Seq <= resp.AckSeq })
	f.cluster.recordAcknowledged(f)
	for _, c := range resp.Commands {
		f.execute(c)
	}
}

func (f *fakeWorker) execute(c infra.Command) {
	a := f.attempts[c.Ref]
	switch c.Kind {
	case infra.CommandStart:
		now := time.Now()
		if a != nil || now.After(f.permitUntil) || now.After(f.leaseUntil) {
			return
		}
		f.start(c)
	case infra.CommandStop:
		switch {
		case a == nil:
			a = &attempt{ref: c.Ref, state: infra.RunStopped}
			f.attempts[c.Ref] = a
			f.report(a, "stopped before it began")
		case a.state == infra.RunRunning:
			f.stopAfterDelay(a, c.SaveCheckpoint)
		default:
			// The attempt has already ended. Its report is repeated in case a former owner acknowledged it.
			f.report(a, "")
		}
	case infra.CommandCheckpoint:
		if a != nil && a.state == infra.RunRunning {
			f.save(a)
			f.report(a, "")
		}
	}
}

// defaultStopTime is how long an attempt takes to stop, including the write of its checkpoint.
const defaultStopTime = 300 * time.Millisecond

func (f *fakeWorker) stopAfterDelay(a *attempt, save bool) {
	if a.stopping {
		return
	}
	a.stopping = true
	incarnation := f.incarnation
	time.AfterFunc(f.cluster.stopTime, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		a.stopping = false
		if !f.alive || f.incarnation != incarnation || !f.suspendedAt.IsZero() || a.state != infra.RunRunning {
			return
		}
		if save {
			f.save(a)
		}
		f.finish(a, infra.RunStopped, time.Now())
	})
}

func (f *fakeWorker) start(c infra.Command) {
	a := &attempt{ref: c.Ref, state: infra.RunRunning, startedAt: time.Now(), checkpoint: c.Checkpoint}
	a.priorWork = f.cluster.workOf(c.Checkpoint)
	a.checkpointedWork = a.priorWork
	a.totalWork, _ = time.ParseDuration(c.Spec.Payload)
	a.run = &run{
		ref: c.Ref, worker: f.vm.ID, domain: f.vm.Domain, incarnation: f.incarnation, class: c.Spec.Class,
		resources: c.Spec.Resources, checkpoint: c.Checkpoint, start: a.startedAt,
	}
	f.attempts[c.Ref] = a
	f.cluster.history.recordStart(a.run)
	if f.failAll {
		f.finish(a, infra.RunFailed, a.startedAt)
		return
	}
	f.report(a, "")
	f.scheduleCompletion(a)
}

// scheduleCompletion starts the timer that completes an attempt.
func (f *fakeWorker) scheduleCompletion(a *attempt) {
	if a.totalWork == 0 {
		return
	}
	incarnation := f.incarnation
	a.timer = time.AfterFunc(a.totalWork-a.priorWork-time.Since(a.startedAt), func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.alive && f.incarnation == incarnation && f.suspendedAt.IsZero() && a.state == infra.RunRunning {
			f.finish(a, infra.RunCompleted, time.Now())
		}
	})
}

func (f *fakeWorker) workDone(a *attempt) time.Duration { return a.priorWork + time.Since(a.startedAt) }

func (f *fakeWorker) save(a *attempt) {
	a.checkpointedWork = f.workDone(a)
	a.checkpoint = string(a.ref.Task) + "@" + strconv.Itoa(a.ref.Attempt) + "@" + strconv.FormatInt(int64(a.checkpointedWork), 10)
	f.cluster.save(a.checkpoint, a.checkpointedWork)
}

func (f *fakeWorker) finish(a *attempt, state infra.RunState, at time.Time) {
	f.halt(a, at)
	a.state = state
	f.report(a, "")
}

func (f *fakeWorker) halt(a *attempt, at time.Time) {
	if a.timer != nil {
		a.timer.Stop()
	}
	a.state = infra.RunStopped
	f.cluster.history.recordStop(a.run, at)
}

func (f *fakeWorker) report(a *attempt, message string) {
	f.seq++
	f.reports = append(f.reports, infra.Report{
		Seq: f.seq, Ref: a.ref, State: a.state, Checkpoint: a.checkpoint, Error: message,
	})
}

// watchLease stops exclusive tasks when the lease expires.
func (f *fakeWorker) watchLease(ctx context.Context, incarnation string) {
	for {
		if !f.lockWhenRunning(ctx, incarnation) {
			return
		}
		f.checkLease()
		wait := time.Until(f.leaseUntil)
		f.mu.Unlock()
		if wait <= 0 {
			wait = 100 * time.Millisecond
		}
		timer := time.NewTimer(min(wait, time.Second) + time.Nanosecond)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return
		}
	}
}

func (f *fakeWorker) checkLease() {
	if now := time.Now(); now.After(f.leaseUntil) {
		f.stopExclusive(now)
	}
}

// stopExclusive stops exclusive tasks after the lease has expired; service replicas continue.
func (f *fakeWorker) stopExclusive(at time.Time) {
	for _, a := range f.sortedAttempts() {
		if a.state == infra.RunRunning && a.run.class.Exclusive() {
			f.finish(a, infra.RunStopped, at)
		}
	}
}

func (f *fakeWorker) running() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, a := range f.attempts {
		if a.state == infra.RunRunning {
			n++
		}
	}
	return n
}
