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

// attempt is what a fake worker knows of one attempt.
type attempt struct {
	ref     infra.AttemptRef
	state   infra.RunState
	run     *run // nil if it never ran
	begin   time.Time
	done    time.Duration // work at begin
	total   time.Duration // 0 runs until it is stopped
	saved   string
	savedAt time.Duration
	timer   *time.Timer
	// stopping is set while a stop command is being carried out.
	stopping bool
}

// fakeWorker follows docs/design.md §5: it counts leases and permits from when it sent a poll, refuses lower
// epochs and attempts that it has seen, stops exclusive tasks when its lease runs out, and repeats reports.
type fakeWorker struct {
	w    *world
	vm   infra.VM
	rate float64 // of its clock against true time, within the drift bound

	mu       sync.Mutex // guards the fields below
	alive    bool
	frozenAt time.Time
	// pollsCut loses every poll, while attaches still arrive.
	pollsCut    bool
	thawed      chan struct{} // closed while the worker is not frozen
	incarnation string
	restarts    int
	epochs      map[string]int64
	cell, owner string
	epoch       int64
	leaseUntil  time.Time
	permitUntil time.Time
	seen        map[infra.AttemptRef]*attempt
	reports     []infra.Report
	seq         int64
	attachedCh  chan struct{}
	failAll     bool
	stop        context.CancelFunc
	rng         *rand.Rand
}

var errNotRunning = errors.New("worker does not answer")

// term converts a duration that the owner granted into the worker's own count.
func (f *fakeWorker) term(ms int64) time.Duration {
	return time.Duration(float64(ms) * f.rate * float64(time.Millisecond))
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
	f.seen = map[infra.AttemptRef]*attempt{}
	f.reports, f.seq = nil, 0
	f.thawed = make(chan struct{})
	close(f.thawed)
	ctx, stop := context.WithCancel(f.w.ctx)
	f.stop = stop
	incarnation := f.incarnation
	f.w.wg.Go(func() { f.poll(ctx, incarnation) })
	f.w.wg.Go(func() { f.watchLease(ctx, incarnation) })
}

// crash ends everything that runs on the worker.
func (f *fakeWorker) crash() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.alive {
		return
	}
	f.alive = false
	f.stop()
	at := time.Now()
	if !f.frozenAt.IsZero() {
		at = f.frozenAt
		f.frozenAt = time.Time{}
		close(f.thawed)
	}
	for _, a := range f.seen {
		if a.state == infra.RunRunning {
			f.halt(a, at)
		}
	}
}

// cutPolls loses every poll from now on, or no more.
func (f *fakeWorker) cutPolls(cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pollsCut = cut
}

func (f *fakeWorker) losesPolls() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.pollsCut
}

// freeze halts the whole machine: nothing runs, nothing is sent or received.
func (f *fakeWorker) freeze() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.alive || !f.frozenAt.IsZero() {
		return
	}
	f.frozenAt = time.Now()
	f.thawed = make(chan struct{})
	for _, a := range f.seen {
		if a.state == infra.RunRunning && a.timer != nil {
			a.timer.Stop()
		}
	}
}

// thaw goes on. The lease is checked before any task goes on, because tasks are frozen together with the worker.
func (f *fakeWorker) thaw() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.alive || f.frozenAt.IsZero() {
		return
	}
	frozenAt := f.frozenAt
	f.frozenAt = time.Time{}
	if time.Now().After(f.leaseUntil) {
		f.lapse(frozenAt)
	}
	for _, a := range f.seen {
		if a.state == infra.RunRunning {
			a.begin = a.begin.Add(time.Since(frozenAt))
			f.schedule(a)
		}
	}
	close(f.thawed)
}

// awake waits until the worker is not frozen and locks it. It reports false if that incarnation is gone.
func (f *fakeWorker) awake(ctx context.Context, incarnation string) bool {
	for {
		f.mu.Lock()
		if !f.alive || f.incarnation != incarnation {
			f.mu.Unlock()
			return false
		}
		if f.frozenAt.IsZero() {
			return true
		}
		thawed := f.thawed
		f.mu.Unlock()
		select {
		case <-thawed:
		case <-ctx.Done():
			return false
		}
	}
}

// attach answers an owner.
func (f *fakeWorker) attach(ctx context.Context, req infra.AttachRequest) (infra.AttachResponse, error) {
	f.mu.Lock()
	incarnation := f.incarnation
	f.mu.Unlock()
	if !f.awake(ctx, incarnation) {
		return infra.AttachResponse{}, errNotRunning
	}
	defer f.mu.Unlock()
	if req.Epoch < f.epochs[req.Cell] {
		return infra.AttachResponse{}, &infra.StaleEpochError{Cell: req.Cell, Got: req.Epoch, Want: f.epochs[req.Cell]}
	}
	f.epochs[req.Cell] = req.Epoch
	f.cell, f.owner, f.epoch = req.Cell, req.OwnerURL, req.Epoch
	f.expire()
	resp := infra.AttachResponse{
		Worker: f.vm.ID, Incarnation: f.incarnation, Capacity: f.vm.Capacity, Reports: slices.Clone(f.reports),
	}
	for _, a := range f.ordered() {
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

func (f *fakeWorker) ordered() []*attempt {
	list := make([]*attempt, 0, len(f.seen))
	for _, a := range f.seen {
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

// poll polls the newest owner until the incarnation ends.
func (f *fakeWorker) poll(ctx context.Context, incarnation string) {
	for ctx.Err() == nil {
		if !f.awake(ctx, incarnation) {
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
		resp, err := send(ctx, f.w.net, f.vm.ID, owner, func(ctx context.Context) (infra.PollResponse, error) {
			if f.losesPolls() {
				return infra.PollResponse{}, errNoAnswer
			}
			return f.w.poll(ctx, owner, req)
		})
		if !f.awake(ctx, incarnation) {
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

// apply handles an answer to a poll sent at sent. The caller holds mu.
func (f *fakeWorker) apply(sent time.Time, resp infra.PollResponse) {
	f.expire()
	if until := sent.Add(f.term(resp.LeaseMillis)); until.After(f.leaseUntil) {
		f.leaseUntil = until
	}
	f.permitUntil = sent.Add(f.term(resp.StartPermitMillis))
	f.reports = slices.DeleteFunc(f.reports, func(r infra.Report) bool { return r.Seq <= resp.AckSeq })
	f.w.acknowledged(f)
	for _, c := range resp.Commands {
		f.command(c)
	}
}

func (f *fakeWorker) command(c infra.Command) {
	a := f.seen[c.Ref]
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
			f.seen[c.Ref] = a
			f.report(a, "stopped before it began")
		case a.state == infra.RunRunning:
			f.stopSlowly(a, c.SaveCheckpoint)
		default:
			// The attempt has ended before; its report is repeated in case it was acknowledged by an owner that is gone.
			f.report(a, "")
		}
	case infra.CommandCheckpoint:
		if a != nil && a.state == infra.RunRunning {
			f.save(a)
			f.report(a, "")
		}
	}
}

// defaultStopTime is how long an attempt goes on after a stop command, to store its checkpoint.
const defaultStopTime = 300 * time.Millisecond

func (f *fakeWorker) stopSlowly(a *attempt, save bool) {
	if a.stopping {
		return
	}
	a.stopping = true
	incarnation := f.incarnation
	time.AfterFunc(f.w.stopTime, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		a.stopping = false
		if !f.alive || f.incarnation != incarnation || !f.frozenAt.IsZero() || a.state != infra.RunRunning {
			return
		}
		if save {
			f.save(a)
		}
		f.finish(a, infra.RunStopped, time.Now())
	})
}

func (f *fakeWorker) start(c infra.Command) {
	a := &attempt{ref: c.Ref, state: infra.RunRunning, begin: time.Now(), saved: c.Checkpoint}
	a.done = f.w.workOf(c.Checkpoint)
	a.savedAt = a.done
	a.total, _ = time.ParseDuration(c.Spec.Payload)
	a.run = &run{
		ref: c.Ref, worker: f.vm.ID, domain: f.vm.Domain, incarnation: f.incarnation, class: c.Spec.Class,
		resources: c.Spec.Resources, checkpoint: c.Checkpoint, start: a.begin,
	}
	f.seen[c.Ref] = a
	f.w.history.began(a.run)
	if f.failAll {
		f.finish(a, infra.RunFailed, a.begin)
		return
	}
	f.report(a, "")
	f.schedule(a)
}

// schedule plans the end of an attempt.
func (f *fakeWorker) schedule(a *attempt) {
	if a.total == 0 {
		return
	}
	incarnation := f.incarnation
	a.timer = time.AfterFunc(a.total-a.done-time.Since(a.begin), func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.alive && f.incarnation == incarnation && f.frozenAt.IsZero() && a.state == infra.RunRunning {
			f.finish(a, infra.RunCompleted, time.Now())
		}
	})
}

func (f *fakeWorker) work(a *attempt) time.Duration { return a.done + time.Since(a.begin) }

func (f *fakeWorker) save(a *attempt) {
	a.savedAt = f.work(a)
	a.saved = string(a.ref.Task) + "@" + strconv.Itoa(a.ref.Attempt) + "@" + strconv.FormatInt(int64(a.savedAt), 10)
	f.w.save(a.saved, a.savedAt)
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
	f.w.history.stopped(a.run, at)
}

func (f *fakeWorker) report(a *attempt, message string) {
	f.seq++
	f.reports = append(f.reports, infra.Report{
		Seq: f.seq, Ref: a.ref, State: a.state, Checkpoint: a.saved, Error: message,
	})
}

// watchLease stops exclusive tasks when the lease runs out.
func (f *fakeWorker) watchLease(ctx context.Context, incarnation string) {
	for {
		if !f.awake(ctx, incarnation) {
			return
		}
		f.expire()
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

func (f *fakeWorker) expire() {
	if now := time.Now(); now.After(f.leaseUntil) {
		f.lapse(now)
	}
}

// lapse stops exclusive tasks; service replicas go on.
func (f *fakeWorker) lapse(at time.Time) {
	for _, a := range f.ordered() {
		if a.state == infra.RunRunning && a.run.class.Exclusive() {
			f.finish(a, infra.RunStopped, at)
		}
	}
}

func (f *fakeWorker) running() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, a := range f.seen {
		if a.state == infra.RunRunning {
			n++
		}
	}
	return n
}
