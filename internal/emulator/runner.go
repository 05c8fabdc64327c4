package emulator

import (
	"context"
	"errors"
	"sort"
	"sync"
	"time"

	"github.com/currantthread/currantthread/internal/wait"
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
	// RunnerAppliesLate executes starts after LateDelay and never responds to them. If the runner has restarted by then, the new process
	// executes them.
	RunnerAppliesLate
	// RunnerFails fails every task that it starts.
	RunnerFails
	// RunnerHangs starts tasks that make no progress and don't end.
	RunnerHangs
)

// CommandFault is what happens to the commands of one kind that are sent to a runner.
type CommandFault uint8

// Faults of commands.
const (
	// CommandWorks is no fault.
	CommandWorks CommandFault = iota
	// CommandRequestLost means that the runner never receives the command.
	CommandRequestLost
	// CommandResponseLost means that the runner executes the command and the sender receives no response.
	CommandResponseLost
	// CommandAppliedLate means that the runner, or its next process, executes the command after LateDelay and the sender receives no response.
	// Polls have no such fault.
	CommandAppliedLate
)

// CommandFaults are the faults of a runner's commands by kind. They apply in addition to a RunnerFault.
type CommandFaults struct {
	Start, Stop, Hold, Pace CommandFault
	// RefuseStarts is the reason with which starts are refused; empty if they are not.
	RefuseStarts runner.Reason
}

// errNoRunnerResponse is returned for a command that got no response.
var errNoRunnerResponse = errors.New("order has no answer")

// commandTimeout is the time after which a command without a response fails.
const commandTimeout = 700 * time.Millisecond

// Endless is the run time from which a task counts as long-running: it reports 100 percent from its start.
const Endless = 24 * time.Hour

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
	// Gang returns the number of tasks that must run together with a task; 0 or 1 if it runs alone. It may be nil.
	Gang func(task workload.TaskID) int
	// Measure returns what a runner reports as the measurement of a task, and whether it reports one. It may be nil.
	Measure func(task workload.TaskID) (measurement float64, ok bool)
	// Latency is the time that a command takes to a runner, and its response back. It is 0 unless a test sets it.
	Latency time.Duration

	mu      sync.Mutex // guards the fields below and the state of all runners
	runners map[string]*simRunner
	gangs   map[gangKey]map[runKey]*simRunner // members that run, by gang
	starts  []StartRecord
	done    map[workload.TaskID]int
	// overlaps are tasks that ran in two places at once.
	overlaps []workload.TaskID
	ends     []*EndRecord
}

type simRunner struct {
	info    runner.Info
	fault   RunnerFault
	faults  CommandFaults
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

// gangKey identifies one run of a gang.
type gangKey struct {
	job              string
	occurrence, step int
	run              int
}

func (k runKey) gang() gangKey { return gangKey{k.task.Job, k.task.Occurrence, k.task.Step, k.run} }

type simRun struct {
	timer *time.Timer
	end   func() // ends the run when its work is done
	// worked is the work that was done before the share of its speed last changed, at pacedAt.
	worked   time.Duration
	pacedAt  time.Time
	percent  int // share of its full speed
	duration time.Duration
	hangs    bool
	waits    bool // for the other members of its gang
	stopping bool
}

// NewFleet returns a fleet without runners.
func NewFleet(work Work) *Fleet {
	return &Fleet{Work: work, StopTime: 50 * time.Millisecond, runners: map[string]*simRunner{},
		gangs: map[gangKey]map[runKey]*simRunner{}, done: map[workload.TaskID]int{}}
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

// SetCommandFaults changes what happens to a runner's commands from now on. The faults remain after a restart.
func (f *Fleet) SetCommandFaults(id string, faults CommandFaults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runners[id].faults = faults
}

// Crash ends a runner and everything on it. Restart starts it again under the same ID.
func (f *Fleet) Crash(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.runners[id]
	r.alive = false
	for key, run := range r.running {
		run.timer.Stop()
		delete(r.running, key)
		f.recordEnd(r, key, 0, EndCrashed)
		f.endGang(key, runner.EndBroken)
	}
}

// Restart starts a runner again under its ID, without any of its earlier state. It crashes a runner that is alive.
func (f *Fleet) Restart(id string) { f.RestartAt(id, time.Now().UnixMilli()) }

// RestartAt is Restart on a VM whose time of day is born, in milliseconds of Unix time.
func (f *Fleet) RestartAt(id string, born int64) {
	f.Crash(id)
	f.mu.Lock()
	previous := f.runners[id]
	f.mu.Unlock()
	info := previous.info
	info.Born = born
	f.Add(info)
	f.SetCommandFaults(id, previous.faults)
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

// LeaseEnd returns when the lease of a runner expires.
func (f *Fleet) LeaseEnd(id string) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.runners[id].lease
}

// Runs returns the runners on which each task runs.
func (f *Fleet) Runs() map[workload.TaskID][]string {
	f.mu.Lock()
	defer f.mu.Unlock()
	runs := map[workload.TaskID][]string{}
	for id, r := range f.runners {
		for key := range r.running {
			runs[key.task] = append(runs[key.task], id)
		}
	}
	return runs
}

// Speed returns the speed at which a task runs, in percent; 0 if it does not run.
func (f *Fleet) Speed(task workload.TaskID) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.runners {
		for key, run := range r.running {
			if key.task == task {
				return run.percent
			}
		}
	}
	return 0
}

// Done returns how often runs of a task ended as done.
func (f *Fleet) Done(task workload.TaskID) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.done[task]
}

func (r *simRunner) clock() time.Duration { return time.Since(r.booted) }

// lockRunner locks f.mu and returns the target's runner and the fault of commands of one kind. If the command does not
// reach the runner, it waits for the command timeout and returns an error with f.mu unlocked.
func (f *Fleet) lockRunner(ctx context.Context, target runner.Target, kind func(CommandFaults) CommandFault) (*simRunner, CommandFault, error) {
	f.mu.Lock()
	r := f.runners[target.ID]
	if r != nil && r.alive && r.fault != RunnerUnreachable {
		if fault := kind(r.commandFaults()); fault != CommandRequestLost {
			return r, fault, nil
		}
	}
	f.mu.Unlock()
	awaitTimeout(ctx)
	return nil, CommandWorks, errNoRunnerResponse
}

// commandFaults returns the faults of the runner's commands, including those that its RunnerFault implies. The caller
// holds the fleet's mu.
func (r *simRunner) commandFaults() CommandFaults {
	faults := r.faults
	switch r.fault {
	case RunnerLosesResponses:
		faults.Start = CommandResponseLost
	case RunnerAppliesLate:
		faults.Start = CommandAppliedLate
	}
	return faults
}

func startFault(faults CommandFaults) CommandFault { return faults.Start }
func stopFault(faults CommandFaults) CommandFault  { return faults.Stop }
func paceFault(faults CommandFaults) CommandFault  { return faults.Pace }
func holdFault(faults CommandFaults) CommandFault  { return faults.Hold }

// awaitTimeout waits until ctx ends or the command timeout has passed.
func awaitTimeout(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(commandTimeout):
	}
}

// execute executes a command as the fault requires, and returns its error or that of a command without a response. It
// is called with f.mu locked and unlocks it.
func (f *Fleet) execute(ctx context.Context, r *simRunner, fault CommandFault, command func(*simRunner) error) error {
	if fault == CommandAppliedLate {
		f.mu.Unlock()
		time.AfterFunc(LateDelay, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			if present := f.runners[r.info.ID]; present.alive {
				_ = command(present) // the response is never sent
			}
		})
		awaitTimeout(ctx)
		return errNoRunnerResponse
	}
	err := command(r)
	f.mu.Unlock()
	if fault == CommandResponseLost {
		awaitTimeout(ctx)
		return errNoRunnerResponse
	}
	if !wait.For(ctx, f.Latency) {
		return ctx.Err()
	}
	return err
}

// Start implements runner.Client.
func (f *Fleet) Start(ctx context.Context, target runner.Target, command runner.Start) (time.Duration, error) {
	if !wait.For(ctx, f.Latency) {
		return 0, ctx.Err()
	}
	r, fault, err := f.lockRunner(ctx, target, startFault)
	if err != nil {
		return 0, err
	}
	clock := r.clock()
	return clock, f.execute(ctx, r, fault, func(r *simRunner) error { return f.start(r, command) })
}

// start executes a start command. The caller holds mu.
func (f *Fleet) start(r *simRunner, command runner.Start) error {
	refuse := func(reason runner.Reason) error { return &runner.RefusedError{Reason: reason, Clock: r.clock()} }
	if r.faults.RefuseStarts == runner.ReasonUnhealthy {
		// An unhealthy runner does nothing at all.
		return refuse(runner.ReasonUnhealthy)
	}
	if command.Token < r.token {
		return refuse(runner.ReasonFenced)
	}
	r.token = command.Token
	r.extendLease(f, command.Deadline)
	key := runKey{command.Task, command.Run}
	switch {
	case r.running[key] != nil:
		return nil
	case r.faults.RefuseStarts != "":
		return refuse(r.faults.RefuseStarts)
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
	run := &simRun{pacedAt: time.Now(), percent: 100, duration: duration, hangs: r.fault == RunnerHangs}
	r.running[key] = run
	f.starts = append(f.starts, StartRecord{time.Now(), r.info.ID, command.Task, command.Run, command.Token})
	reason := runner.EndDone
	if fails {
		reason = runner.EndFailed
	}
	if f.Gang != nil && f.Gang(command.Task) > 1 {
		f.joinGang(r, key, run, reason)
		return nil
	}
	run.end = func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if !run.hangs {
			r.endRun(f, key, reason)
		}
	}
	run.timer = time.AfterFunc(duration, run.end)
	return nil
}

// gangTimeout is how long a member of a gang waits for the others.
const gangTimeout = 3 * time.Second

// joinGang adds a run to its gang, whose work begins when all members are present. The caller holds mu.
func (f *Fleet) joinGang(r *simRunner, key runKey, run *simRun, reason runner.EndReason) {
	members := f.gangs[key.gang()]
	if members == nil {
		members = map[runKey]*simRunner{}
		f.gangs[key.gang()] = members
	}
	members[key] = r
	run.waits = true
	run.timer = time.AfterFunc(gangTimeout, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		r.endRun(f, key, runner.EndAlone)
	})
	if len(members) < f.Gang(key.task) {
		return
	}
	for other, on := range members {
		member := on.running[other]
		member.timer.Stop()
		member.waits, member.pacedAt = false, time.Now()
	}
	run.timer = time.AfterFunc(run.duration, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if !run.hangs {
			r.endRun(f, key, reason)
		}
	})
}

// endGang removes a run from its gang and ends the other members. The caller holds mu.
func (f *Fleet) endGang(ended runKey, reason runner.EndReason) {
	members := f.gangs[ended.gang()]
	delete(f.gangs, ended.gang())
	for key, r := range members {
		if key != ended {
			r.endRun(f, key, reason)
		}
	}
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
	if reason == runner.EndDone {
		f.endGang(key, runner.EndDone)
	} else {
		f.endGang(key, runner.EndBroken)
	}
}

// holdMax is the longest lease that a runner grants.
const holdMax = 10 * time.Second

// extendLease moves the end of the lease and ends all runs if the lease expires. The caller holds mu.
func (r *simRunner) extendLease(f *Fleet, deadline time.Duration) {
	end := r.booted.Add(min(deadline, r.clock()+holdMax))
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
	if !wait.For(ctx, f.Latency) {
		return ctx.Err()
	}
	r, fault, err := f.lockRunner(ctx, target, stopFault)
	if err != nil {
		return err
	}
	return f.execute(ctx, r, fault, func(r *simRunner) error { return f.stop(r, task, number, token) })
}

// stop executes a stop command. The caller holds mu.
func (f *Fleet) stop(r *simRunner, task workload.TaskID, number int, token int64) error {
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

// Pace implements runner.Client. It has no effect on gangs.
func (f *Fleet) Pace(ctx context.Context, target runner.Target, task workload.TaskID, number, percent int, token int64) error {
	if !wait.For(ctx, f.Latency) {
		return ctx.Err()
	}
	r, fault, err := f.lockRunner(ctx, target, paceFault)
	if err != nil {
		return err
	}
	return f.execute(ctx, r, fault, func(r *simRunner) error { return f.pace(r, runKey{task, number}, percent, token) })
}

// pace executes a pace command. The caller holds mu.
func (f *Fleet) pace(r *simRunner, key runKey, percent int, token int64) error {
	if token < r.token {
		return &runner.RefusedError{Reason: runner.ReasonFenced, Clock: r.clock()}
	}
	r.token = token
	run := r.running[key]
	if run == nil || run.end == nil {
		return nil
	}
	run.worked, run.pacedAt, run.percent = run.progress(), time.Now(), percent
	run.timer.Stop()
	if left := run.duration - run.worked; percent > 0 {
		run.timer = time.AfterFunc(max(left*100/time.Duration(percent), 1), run.end)
	}
	return nil
}

// progress returns the work that was done.
func (r *simRun) progress() time.Duration {
	return r.worked + time.Since(r.pacedAt)*time.Duration(r.percent)/100
}

// Hold implements runner.Client.
func (f *Fleet) Hold(ctx context.Context, target runner.Target, command runner.Hold) (runner.Report, error) {
	if !wait.For(ctx, f.Latency) {
		return runner.Report{}, ctx.Err()
	}
	deadline := time.After(command.Wait)
	var first *simRunner
	for {
		r, fault, err := f.lockRunner(ctx, target, holdFault)
		if err != nil {
			return runner.Report{}, err
		}
		if first != nil && r != first {
			// The process that received the command has ended.
			f.mu.Unlock()
			return runner.Report{}, errNoRunnerResponse
		}
		if command.Token < r.token {
			f.mu.Unlock()
			return runner.Report{}, &runner.RefusedError{Reason: runner.ReasonFenced, Clock: r.clock()}
		}
		r.token = command.Token
		r.extendLease(f, command.Deadline)
		if first == nil {
			// A poll acknowledges ends when it arrives, not those that occur while it waits.
			r.forgetEnds(command.AckedEnd)
			first = r
		}
		if len(r.ends) > 0 || command.Wait == 0 {
			report := r.report(f)
			f.mu.Unlock()
			if fault == CommandResponseLost {
				awaitTimeout(ctx)
				return runner.Report{}, errNoRunnerResponse
			}
			if !wait.For(ctx, f.Latency) {
				return runner.Report{}, ctx.Err()
			}
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
func (r *simRunner) report(f *Fleet) runner.Report {
	report := runner.Report{Clock: r.clock(), Born: r.info.Born, Ended: append([]runner.Ended(nil), r.ends...)}
	for key, run := range r.running {
		listed := runner.Running{Task: key.task, Run: key.run, Percent: run.percentDone()}
		if f.Measure != nil {
			listed.Measurement, listed.HasMeasurement = f.Measure(key.task)
		}
		report.Running = append(report.Running, listed)
	}
	sort.Slice(report.Running, func(a, b int) bool {
		return report.Running[a].Task.String() < report.Running[b].Task.String()
	})
	return report
}

// percentDone returns the progress of a run.
func (r *simRun) percentDone() int {
	switch {
	case r.hangs, r.waits:
		return 0
	case r.duration <= 0, r.duration >= Endless:
		return 100
	default:
		return min(int(100*r.progress()/r.duration), 100)
	}
}

// Info returns a runner's description of itself and whether it is alive.
func (f *Fleet) Info(id string) (runner.Info, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.runners[id]
	return r.info, r.alive
}
