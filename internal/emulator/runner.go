package emulator

import (
	"context"
	"errors"
	"sort"
	"sync"
	"time"

	"github.com/currantthread/currantthread/runner"
	"github.com/currantthread/currantthread/workload"
)

// RunnerFault is a way in which a runner misbehaves.
type RunnerFault uint8

// Faults of a runner.
const (
	// RunnerWorks is no fault.
	RunnerWorks RunnerFault = iota
	// RunnerUnreachable keeps running but cannot be reached.
	RunnerUnreachable
	// RunnerLosesResponses executes commands and never responds to starts.
	RunnerLosesResponses
	// RunnerAppliesLate executes starts after LateDelay and never responds to them.
	RunnerAppliesLate
	// RunnerFails fails every task that it starts.
	RunnerFails
	// RunnerHangs starts tasks that make no progress and don't end.
	RunnerHangs
)

// errNoRunnerResponse is returned for a command that got no response.
var errNoRunnerResponse = errors.New("order has no answer")

// commandTimeout is the time after which a command without a response fails.
const commandTimeout = 700 * time.Millisecond

// Work returns the run time of a task and whether it fails at its end. Long-running tasks never end by themselves.
type Work func(task workload.TaskID, run int) (duration time.Duration, fails bool)

// StartRecord is a start that a runner executed.
type StartRecord struct {
	At     time.Time
	Runner string
	Task   workload.TaskID
	Run    int
	Token  int64
}

// Fleet is a set of emulated runners. It implements runner.Client and is safe for concurrent use.
type Fleet struct {
	// Work determines the duration and the outcome of each run.
	Work Work
	// StopTime is how long a stop takes.
	StopTime time.Duration
	// GangSize returns the number of members of a task's gang, or 0 if the task is not part of a gang. It may be nil.
	GangSize func(task workload.TaskID) int

	mu      sync.Mutex // guards the fields below and the state of all runners
	runners map[string]*simRunner
	starts  []StartRecord
	done    map[workload.TaskID]int
	// overlaps are tasks that ran in two places at once.
	overlaps []workload.TaskID
	ends     []*EndRecord
	// gangs are the runners of the members of each gang's run.
	gangs map[gangKey]map[workload.TaskID]*simRunner
}

type simRunner struct {
	info    runner.Info
	fault   RunnerFault
	alive   bool
	booted  time.Time
	token   int64
	lease   time.Time
	running map[runKey]*simRun
	// highestRun is the highest run that ended or was stopped, for each task.
	highestRun map[workload.TaskID]int
	ends       []runner.Ended
	nextNumber int64
	// endRecords are the records of the ends that are not acknowledged, by number.
	endRecords map[int64]*EndRecord
	// lapsedAt is when the lease last lapsed.
	lapsedAt time.Time
	changed  chan struct{}
}

type runKey struct {
	task workload.TaskID
	run  int
}

type simRun struct {
	timer    *time.Timer
	started  time.Time
	duration time.Duration
	// outcome is how the run ends by itself.
	outcome  runner.EndReason
	hangs    bool
	stopping bool
}

// NewFleet returns a fleet without runners.
func NewFleet(work Work) *Fleet {
	return &Fleet{Work: work, StopTime: 50 * time.Millisecond, runners: map[string]*simRunner{}, done: map[workload.TaskID]int{},
		gangs: map[gangKey]map[workload.TaskID]*simRunner{}}
}

// Add starts a runner.
func (f *Fleet) Add(info runner.Info) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runners[info.ID] = &simRunner{info: info, alive: true, booted: time.Now(), running: map[runKey]*simRun{},
		highestRun: map[workload.TaskID]int{}, nextNumber: 1, endRecords: map[int64]*EndRecord{}, changed: make(chan struct{})}
}

// SetFault changes how a runner misbehaves from now on.
func (f *Fleet) SetFault(id string, fault RunnerFault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runners[id].fault = fault
}

// Crash ends a runner and everything on it. Restart starts it again under the same ID.
func (f *Fleet) Crash(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.runners[id]
	if !r.alive {
		return
	}
	r.alive = false
	close(r.changed)
	for key, run := range r.running {
		run.timer.Stop()
		delete(r.running, key)
		f.recordEnd(r, key, 0, EndCrashed)
		f.endGang(key, EndCrashed)
	}
}

// Restart starts a crashed runner again under its ID, without any of its earlier state.
func (f *Fleet) Restart(id string) {
	f.mu.Lock()
	info := f.runners[id].info
	f.mu.Unlock()
	info.Born = time.Now().UnixMilli()
	f.Add(info)
}

// Starts returns the executed starts in order.
func (f *Fleet) Starts() []StartRecord {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]StartRecord(nil), f.starts...)
}

// Overlaps returns the tasks that ran in two places at once.
func (f *Fleet) Overlaps() []workload.TaskID {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]workload.TaskID(nil), f.overlaps...)
}

// Running returns the number of runs on a runner.
func (f *Fleet) Running(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.runners[id].running)
}

// Done returns how often runs of a task ended as done.
func (f *Fleet) Done(task workload.TaskID) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.done[task]
}

func (r *simRunner) clock() time.Duration { return time.Since(r.booted) }

// lockRunner locks f.mu and returns the target's runner. If the runner can't be reached, it waits for the command timeout and
// returns an error with f.mu unlocked.
func (f *Fleet) lockRunner(ctx context.Context, target runner.Target) (*simRunner, RunnerFault, error) {
	f.mu.Lock()
	r := f.runners[target.ID]
	if r != nil && r.alive && r.fault != RunnerUnreachable {
		return r, r.fault, nil
	}
	f.mu.Unlock()
	awaitTimeout(ctx)
	return nil, RunnerWorks, errNoRunnerResponse
}

// awaitTimeout waits until ctx ends or the command timeout has passed.
func awaitTimeout(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(commandTimeout):
	}
}

// Start implements runner.Client.
func (f *Fleet) Start(ctx context.Context, target runner.Target, command runner.Start) (time.Duration, error) {
	r, fault, err := f.lockRunner(ctx, target)
	if err != nil {
		return 0, err
	}
	if fault == RunnerAppliesLate {
		f.mu.Unlock()
		time.AfterFunc(LateDelay, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			if f.runners[target.ID] == r && r.alive {
				_ = f.start(r, command) // the response is never sent
			}
		})
		awaitTimeout(ctx)
		return 0, errNoRunnerResponse
	}
	err = f.start(r, command)
	clock := r.clock()
	f.mu.Unlock()
	if fault == RunnerLosesResponses {
		awaitTimeout(ctx)
		return 0, errNoRunnerResponse
	}
	return clock, err
}

// start executes a start command. The caller holds mu.
func (f *Fleet) start(r *simRunner, command runner.Start) error {
	refuse := func(reason runner.Reason) error { return &runner.RefusedError{Reason: reason, Clock: r.clock()} }
	if command.Token < r.token {
		return refuse(runner.ReasonFenced)
	}
	r.token = command.Token
	r.extendLease(f, command.Deadline)
	key := runKey{command.Task, command.Run}
	switch {
	case r.running[key] != nil:
		return nil
	case command.Run <= r.highestRun[command.Task]:
		return refuse(runner.ReasonOldRun)
	case command.Deadline <= r.clock():
		return refuse(runner.ReasonLate)
	}
	for _, other := range f.runners {
		for running := range other.running {
			if running.task == command.Task && other.alive {
				f.overlaps = append(f.overlaps, command.Task)
			}
		}
	}
	duration, fails := f.Work(command.Task, command.Run)
	fails = fails || r.fault == RunnerFails
	run := &simRun{started: time.Now(), duration: duration, hangs: r.fault == RunnerHangs, outcome: runner.EndDone}
	if fails {
		run.outcome = runner.EndFailed
	}
	run.timer = time.AfterFunc(duration, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if run.hangs {
			return
		}
		r.endRun(f, key, run.outcome)
	})
	r.running[key] = run
	f.joinGang(r, key, run)
	f.starts = append(f.starts, StartRecord{time.Now(), r.info.ID, command.Task, command.Run, command.Token})
	return nil
}

// endRun ends a run and queues the report of its end. The caller holds mu.
func (r *simRunner) endRun(f *Fleet, key runKey, reason runner.EndReason) {
	run := r.running[key]
	if run == nil {
		return
	}
	run.timer.Stop()
	delete(r.running, key)
	r.highestRun[key.task] = max(r.highestRun[key.task], key.run)
	r.ends = append(r.ends, runner.Ended{Number: r.nextNumber, Task: key.task, Run: key.run, Reason: reason})
	f.recordEnd(r, key, r.nextNumber, reason)
	r.nextNumber++
	if reason == runner.EndDone {
		f.done[key.task]++
	}
	close(r.changed)
	r.changed = make(chan struct{})
	f.endGang(key, reason)
}

// extendLease moves the end of the lease and ends all runs if the lease expires. The caller holds mu.
func (r *simRunner) extendLease(f *Fleet, deadline time.Duration) {
	end := r.booted.Add(deadline)
	if deadline <= 0 || !end.After(r.lease) {
		return
	}
	r.lease = end
	time.AfterFunc(time.Until(end), func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if time.Now().Before(r.lease) {
			return
		}
		r.lapsedAt = time.Now()
		for key := range r.running {
			r.endRun(f, key, runner.EndExpired)
		}
	})
}

// Stop implements runner.Client.
func (f *Fleet) Stop(ctx context.Context, target runner.Target, task workload.TaskID, number int, token int64) error {
	r, _, err := f.lockRunner(ctx, target)
	if err != nil {
		return err
	}
	defer f.mu.Unlock()
	if token < r.token {
		return &runner.RefusedError{Reason: runner.ReasonFenced, Clock: r.clock()}
	}
	r.token = token
	key := runKey{task, number}
	run := r.running[key]
	if run == nil {
		r.highestRun[task] = max(r.highestRun[task], number)
		return nil
	}
	if !run.stopping {
		run.stopping = true
		time.AfterFunc(f.StopTime, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			r.endRun(f, key, runner.EndStopped)
		})
	}
	return nil
}

// Pace implements runner.Client. Speeds have no effect here.
func (f *Fleet) Pace(ctx context.Context, target runner.Target, _ workload.TaskID, _, _ int, _ int64) error {
	_, _, err := f.lockRunner(ctx, target)
	if err == nil {
		f.mu.Unlock()
	}
	return err
}

// Hold implements runner.Client.
func (f *Fleet) Hold(ctx context.Context, target runner.Target, command runner.Hold) (runner.Report, error) {
	deadline := time.After(command.Wait)
	var first *simRunner
	for {
		r, _, err := f.lockRunner(ctx, target)
		if err != nil {
			return runner.Report{}, err
		}
		if first != nil && r != first {
			f.mu.Unlock()
			return runner.Report{}, errNoRunnerResponse // the process that got the command has ended
		}
		first = r
		if command.Token < r.token {
			f.mu.Unlock()
			return runner.Report{}, &runner.RefusedError{Reason: runner.ReasonFenced, Clock: r.clock()}
		}
		r.token = command.Token
		r.extendLease(f, command.Deadline)
		for len(r.ends) > 0 && r.ends[0].Number <= command.AckedEnd {
			r.acknowledge(r.ends[0].Number)
			r.ends = r.ends[1:]
		}
		if len(r.ends) > 0 || command.Wait == 0 {
			report := r.report()
			f.mu.Unlock()
			return report, nil
		}
		changed := r.changed
		f.mu.Unlock()
		select {
		case <-ctx.Done():
			return runner.Report{}, ctx.Err()
		case <-changed:
		case <-deadline:
			command.Wait = 0
		}
	}
}

// report lists the current runs and the ends that are not acknowledged. The caller holds the fleet's mu.
func (r *simRunner) report() runner.Report {
	report := runner.Report{Clock: r.clock(), Born: r.info.Born, Ended: append([]runner.Ended(nil), r.ends...)}
	for key, run := range r.running {
		report.Running = append(report.Running, runner.Running{Task: key.task, Run: key.run, Percent: run.percent()})
	}
	sort.Slice(report.Running, func(a, b int) bool {
		return report.Running[a].Task.String() < report.Running[b].Task.String()
	})
	return report
}

// percent returns the progress of a run.
func (r *simRun) percent() int {
	switch {
	case r.hangs:
		return 0
	case r.duration <= 0:
		return 100
	default:
		return min(int(100*time.Since(r.started)/r.duration), 100)
	}
}

// Info returns a runner's description of itself and whether it is alive.
func (f *Fleet) Info(id string) (runner.Info, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.runners[id]
	return r.info, r.alive
}
