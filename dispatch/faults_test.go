package dispatch_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"pgregory.net/rapid"

	"github.com/currantthread/currantthread/dispatch"
	"github.com/currantthread/currantthread/internal/emulator"
	"github.com/currantthread/currantthread/internal/wait"
	"github.com/currantthread/currantthread/observe"
	"github.com/currantthread/currantthread/runner"
	"github.com/currantthread/currantthread/store"
	"github.com/currantthread/currantthread/workload"
)

// process is the node process of one owner. After it was killed, none of its calls has an effect or a response. While it is
// cut off, this applies to its calls to the store.
type process struct {
	store  store.Store
	fleet  *emulator.Fleet
	killed atomic.Bool
	cutOff atomic.Bool
}

var errLost = errors.New("no response")

// callTimeout is longer than the timeouts of the emulated store and runners.
const callTimeout = 2 * time.Second

// call does a call of the process unless it is lost before or during the call.
func call[T any](ctx context.Context, isLost func() bool, do func() (T, error)) (T, error) {
	if !isLost() {
		result, err := do()
		if !isLost() {
			return result, err
		}
	}
	wait.For(ctx, callTimeout)
	var none T
	return none, &store.UnknownOutcomeError{Err: errLost}
}

func (p *process) losesStoreCalls() bool { return p.killed.Load() || p.cutOff.Load() }

func (p *process) Commit(ctx context.Context, txn store.Txn) (int64, error) {
	return call(ctx, p.losesStoreCalls, func() (int64, error) { return p.store.Commit(ctx, txn) })
}

func (p *process) Range(ctx context.Context, table, part, from, to string, limit int) (store.Page, error) {
	return call(ctx, p.losesStoreCalls, func() (store.Page, error) { return p.store.Range(ctx, table, part, from, to, limit) })
}

func (p *process) Feed(ctx context.Context, table string, after int64, timeout time.Duration) (store.Page, error) {
	return call(ctx, p.losesStoreCalls, func() (store.Page, error) { return p.store.Feed(ctx, table, after, timeout) })
}

func (p *process) Start(ctx context.Context, target runner.Target, command runner.Start) (time.Duration, error) {
	return call(ctx, p.killed.Load, func() (time.Duration, error) { return p.fleet.Start(ctx, target, command) })
}

func (p *process) Stop(ctx context.Context, target runner.Target, task workload.TaskID, run int, token int64) error {
	_, err := call(ctx, p.killed.Load, func() (struct{}, error) { return struct{}{}, p.fleet.Stop(ctx, target, task, run, token) })
	return err
}

func (p *process) Hold(ctx context.Context, target runner.Target, command runner.Hold) (runner.Report, error) {
	return call(ctx, p.killed.Load, func() (runner.Report, error) { return p.fleet.Hold(ctx, target, command) })
}

func (p *process) Pace(ctx context.Context, target runner.Target, task workload.TaskID, run, percent int, token int64) error {
	_, err := call(ctx, p.killed.Load, func() (struct{}, error) {
		return struct{}{}, p.fleet.Pace(ctx, target, task, run, percent, token)
	})
	return err
}

// generousAdvisor permits all runners at once: a cell holds a mutex during its requests, and waiting for a mutex stops
// virtual time.
type generousAdvisor struct{}

func (generousAdvisor) Advise(_ context.Context, _ string, _, _ int, runners []string) (map[string]string, time.Duration, error) {
	tickets := map[string]string{}
	for _, id := range runners {
		tickets[id] = "ticket"
	}
	return tickets, 3 * time.Second, nil
}

// rig plays faults against the owners of one cell and checks from outside that every task that can run does.
type rig struct {
	t     *testing.T
	began time.Time
	store *emulator.Store
	fleet *emulator.Fleet

	background sync.WaitGroup // faults in progress
	busy       atomic.Bool    // the serving tasks are over their target

	// takeover holds a value during a takeover. It is a channel because waiting for a mutex stops virtual time.
	takeover chan struct{}
	owners   int

	mu        sync.Mutex // guards the fields below
	cell      *dispatch.Cell
	process   *process
	cancel    context.CancelFunc
	listed    map[string]runner.Info // runners in service discovery
	added     int
	faults    map[string][]*emulator.CommandFaults // active faults by runner
	ending    map[string]bool                      // runners whose process is being ended or restarted
	evacuated map[string]bool
	// runHangs is set if Run of a stopped cell has not returned.
	runHangs bool
	trace    []string
	logs     []*bytes.Buffer
}

const (
	rigRunners = 3
	// discoveryDelay is the time until the owner learns of a change in service discovery.
	discoveryDelay = time.Second
	// removalDelay is the time until service discovery no longer lists a runner that ended.
	removalDelay = 3 * time.Second
)

func newRig(t *testing.T, gang func(workload.TaskID) int, work emulator.Work) *rig {
	r := &rig{t: t, began: time.Now(), store: emulator.NewStore(), fleet: emulator.NewFleet(work), takeover: make(chan struct{}, 1),
		listed: map[string]runner.Info{}, faults: map[string][]*emulator.CommandFaults{}, ending: map[string]bool{}}
	r.fleet.Latency, r.fleet.Gang, r.fleet.Measure = 3*time.Millisecond, gang, r.measure
	for range rigRunners {
		r.addRunner()
	}
	return r
}

// measure returns the tail latency of a serving task in milliseconds.
func (r *rig) measure(task workload.TaskID) (float64, bool) {
	if kindOf(task) != kindLongRunning {
		return 0, false
	}
	if r.busy.Load() {
		return 3 * float64(servingTarget.Milliseconds()), true
	}
	return float64(servingTarget.Milliseconds()) / 5, true
}

func (r *rig) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.trace = append(r.trace, fmt.Sprintf("%7.3f ", time.Since(r.began).Seconds())+fmt.Sprintf(format, args...))
}

// addRunner starts a new runner of 64 cores.
func (r *rig) addRunner() {
	r.mu.Lock()
	id := fmt.Sprintf("r%d", r.added)
	r.added++
	info := runner.Info{ID: id, Service: "kioscos", Addr: id, Domain: "chipre", Born: time.Now().UnixMilli(),
		Capacity: workload.Resources{CPU: 64000, MemoryMB: 256000}}
	r.mu.Unlock()
	r.fleet.Add(info)
	r.announce(info, true)
}

// announce changes a runner's entry in service discovery.
func (r *rig) announce(info runner.Info, present bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if present {
		r.listed[info.ID] = info
	} else {
		delete(r.listed, info.ID)
	}
	if r.cell != nil {
		r.cell.SetRunner(r.t.Context(), info, present)
	}
}

func (r *rig) isListed(id string) (runner.Info, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	info, ok := r.listed[id]
	return info, ok
}

// own makes a new node the owner of the cell. It repeats an acquisition that fails until the store allows it.
func (r *rig) own(predecessorDead bool) {
	r.owners++
	node := fmt.Sprintf("n%d", r.owners)
	p := &process{store: r.store, fleet: r.fleet}
	logs := &bytes.Buffer{}
	logger := observe.NewLogger(logs, "test", node)
	ctx, cancel := context.WithCancel(r.t.Context())
	cfg := dispatch.Config{
		Advisor: generousAdvisor{}, Name: cellName, Part: cellName, IndexPart: func(string) string { return "i0" }, Node: node,
		Addr: node, Incarnation: node, Region: "caldas-centro", Regions: map[string]string{"chipre": "caldas-centro"},
		Lease: lease, Retention: time.Hour, Store: p, Runners: p, Log: logger,
		Metrics: dispatch.NewMetrics(prometheus.NewRegistry()), PredecessorDead: predecessorDead,
	}
	for {
		previous, version, err := dispatch.ReadOwner(ctx, r.store, cellName)
		if err == nil {
			runners := r.listedRunners()
			var c *dispatch.Cell
			if c, err = dispatch.Acquire(ctx, cfg, previous, version, runners); err == nil {
				r.mu.Lock()
				r.cell, r.process, r.cancel, r.logs = c, p, cancel, append(r.logs, logs)
				c.SetEvacuated(r.evacuated)
				for _, info := range slices.SortedFunc(maps.Values(r.listed), byID) {
					c.SetRunner(ctx, info, true)
				}
				r.mu.Unlock()
				go c.Run(ctx)
				r.t.Cleanup(func() {
					cancel()
					<-c.Done()
				})
				r.note("%s owns the cell, predecessor known to have ended: %t", node, predecessorDead)
				return
			}
		}
		r.note("%s can't acquire the cell: %v", node, err)
		time.Sleep(500 * time.Millisecond)
	}
}

func byID(a, b runner.Info) int { return strings.Compare(a.ID, b.ID) }

func (r *rig) listedRunners() []runner.Info {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.SortedFunc(maps.Values(r.listed), byID)
}

func (r *rig) owner() *dispatch.Cell {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cell
}

// addFault adds a fault to those of a runner's commands and returns a function that removes it.
func (r *rig) addFault(id string, fault emulator.CommandFaults) (remove func()) {
	entry := &fault
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults[id] = append(r.faults[id], entry)
	r.setFaults(id)
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		kept := r.faults[id][:0]
		for _, other := range r.faults[id] {
			if other != entry {
				kept = append(kept, other)
			}
		}
		r.faults[id] = kept
		r.setFaults(id)
	}
}

// setFaults applies the active faults of a runner. The caller holds mu.
func (r *rig) setFaults(id string) {
	var merged emulator.CommandFaults
	for _, f := range r.faults[id] {
		merged.Start, merged.Stop = max(merged.Start, f.Start), max(merged.Stop, f.Stop)
		merged.Hold, merged.Pace = max(merged.Hold, f.Hold), max(merged.Pace, f.Pace)
		if f.RefuseStarts != "" {
			merged.RefuseStarts = f.RefuseStarts
		}
	}
	r.fleet.SetCommandFaults(id, merged)
}

// fault is a kind of fault. play injects it and returns when it has ended.
type fault struct {
	name     string
	takeover bool
	play     func(r *rig, id string)
}

// commandFault is a fault of a runner's commands for some time.
func commandFault(name string, faults emulator.CommandFaults, duration time.Duration) fault {
	return fault{name: name, play: func(r *rig, id string) {
		remove := r.addFault(id, faults)
		time.Sleep(duration)
		remove()
	}}
}

// storeFault is a fault of the store for some time.
func storeFault(name string, kind emulator.StoreFault, duration time.Duration) fault {
	return fault{name: name, play: func(r *rig, _ string) {
		r.store.SetFault(kind)
		time.Sleep(duration)
		r.store.SetFault(emulator.StoreWorks)
	}}
}

func takeover(name string, predecessorDead bool, end func(r *rig)) fault {
	return fault{name: name, takeover: true, play: func(r *rig, _ string) {
		r.takeover <- struct{}{}
		defer func() { <-r.takeover }()
		end(r)
		r.own(predecessorDead)
	}}
}

// kill ends the owner's process; other nodes notice after a while.
func kill(r *rig) {
	r.mu.Lock()
	r.process.killed.Store(true)
	r.cancel()
	r.mu.Unlock()
	time.Sleep(1500 * time.Millisecond)
}

// cutOff cuts the owner off from the store, but not from the runners, for longer than another node waits before it takes
// over.
func cutOff(r *rig) {
	r.mu.Lock()
	p := r.process
	r.mu.Unlock()
	p.cutOff.Store(true)
	r.background.Go(func() {
		time.Sleep(storeBound + 3*time.Second)
		p.cutOff.Store(false)
	})
	time.Sleep(3 * time.Second)
}

// release makes the owner release the cell.
func release(r *rig) {
	r.mu.Lock()
	c, stop := r.cell, r.cancel
	r.mu.Unlock()
	stop()
	r.awaitEnd(c)
}

// awaitEnd waits until a stopped cell has ended.
func (r *rig) awaitEnd(c *dispatch.Cell) {
	select {
	case <-c.Done():
	case <-time.After(leaseBound + storeBound):
		r.note("Run of a stopped cell has not returned")
		r.mu.Lock()
		r.runHangs = true
		r.mu.Unlock()
	}
}

// processFault is a fault that ends the process of a runner. It has no effect on a runner that another one is ending or
// has ended.
func processFault(name string, play func(r *rig, info runner.Info)) fault {
	return fault{name: name, play: func(r *rig, id string) {
		r.mu.Lock()
		info, ok := r.listed[id]
		ok = ok && !r.ending[id]
		if ok {
			r.ending[id] = true
		}
		r.mu.Unlock()
		if !ok {
			return
		}
		play(r, info)
		r.mu.Lock()
		r.ending[id] = false
		r.mu.Unlock()
	}}
}

// restart crashes a runner and starts it again under its ID.
func restart(name string, born func() int64) fault {
	return processFault(name, func(r *rig, info runner.Info) {
		r.fleet.Crash(info.ID)
		time.Sleep(500 * time.Millisecond)
		r.fleet.RestartAt(info.ID, born())
		time.Sleep(discoveryDelay)
		info, _ = r.fleet.Info(info.ID)
		r.announce(info, true)
	})
}

// leave ends a runner and replaces it by a new one.
func leave(r *rig, info runner.Info) {
	r.fleet.Crash(info.ID)
	time.Sleep(removalDelay)
	r.announce(info, false)
	r.addRunner()
}

const lostResponse, lostRequest, late = emulator.CommandResponseLost, emulator.CommandRequestLost, emulator.CommandAppliedLate

var faults = []fault{
	commandFault("start responses lost", emulator.CommandFaults{Start: lostResponse}, 4*time.Second),
	commandFault("starts lost", emulator.CommandFaults{Start: lostRequest}, 4*time.Second),
	commandFault("starts late", emulator.CommandFaults{Start: late}, 4*time.Second),
	commandFault("stops lost", emulator.CommandFaults{Stop: lostRequest}, lease+2*time.Second),
	commandFault("stops late", emulator.CommandFaults{Stop: late}, 4*time.Second),
	commandFault("poll responses lost", emulator.CommandFaults{Hold: lostResponse}, 4*time.Second),
	commandFault("unhealthy", emulator.CommandFaults{RefuseStarts: runner.ReasonUnhealthy}, 3*time.Second),
	commandFault("no capacity", emulator.CommandFaults{RefuseStarts: runner.ReasonNoCapacity}, 3*time.Second),
	commandFault("short cut", emulator.CommandFaults{Start: lostRequest, Stop: lostRequest, Hold: lostRequest}, 3*time.Second),
	commandFault("long cut", emulator.CommandFaults{Start: lostRequest, Stop: lostRequest, Hold: lostRequest}, lease+4*time.Second),
	commandFault("pace responses lost", emulator.CommandFaults{Pace: lostResponse}, 6*time.Second),
	commandFault("paces late", emulator.CommandFaults{Pace: late}, 6*time.Second),
	{name: "load", play: func(r *rig, _ string) {
		r.busy.Store(true)
		time.Sleep(4 * time.Second)
		r.busy.Store(false)
	}},
	{name: "evacuation", play: func(r *rig, _ string) {
		r.setEvacuated(map[string]bool{"chipre": true})
		time.Sleep(3 * time.Second)
		r.setEvacuated(nil)
	}},
	storeFault("store silent", emulator.StoreSilent, 3*time.Second),
	storeFault("store silent for long", emulator.StoreSilent, 15*time.Second),
	storeFault("store late", emulator.StoreAppliesLate, 3*time.Second),
	restart("restart", func() int64 { return time.Now().UnixMilli() }),
	restart("restart with a lower birth time", func() int64 { return time.Now().Add(-time.Hour).UnixMilli() }),
	processFault("drain", func(r *rig, info runner.Info) {
		info.Draining = true
		r.announce(info, true)
		time.Sleep(4 * time.Second)
		leave(r, info)
	}),
	processFault("crash", leave),
	takeover("kill", false, kill),
	takeover("kill confirmed", true, kill),
	takeover("handover", true, release),
	takeover("owner cut off", false, cutOff),
}

// Kinds of jobs.
const (
	kindOrdinary = iota
	kindLongRunning
	kindGang
	kindAdvised
	kindRepeated
	// kindBestEffort has tasks that use what others leave. Those that share a runner with a long-running task, which serves
	// its own users, are paused while it is over its target.
	kindBestEffort
	kinds
)

var kindNames = [kinds]string{"ordinary", "long-running", "gang", "advised", "repeated", "best-effort"}

var allKinds = []int{kindOrdinary, kindLongRunning, kindGang, kindAdvised, kindRepeated, kindBestEffort}

const (
	workTime       = 2 * time.Second
	bestEffortTime = 8 * time.Second
	gangCount      = 4
	servingTarget  = 100 * time.Millisecond
)

// rigJob returns a job of a kind. Its ID gives the kind.
func rigJob(kind, number int) *workload.Job {
	id := 100*kind + number
	switch kind {
	case kindLongRunning:
		serving := longRunning(rigRunners, 8000)
		serving.Image, serving.LatencyTarget = "serving", servingTarget
		return jobOf(id, serving)
	case kindGang:
		gang := tasks(gangCount, 8000)
		gang.Gang = true
		return jobOf(id, gang)
	case kindRepeated:
		job := jobOf(id, tasks(2, 8000))
		job.Occurrences, job.StartAt, job.Interval = 3, time.Now().Add(time.Second), 3*time.Second
		return job
	case kindBestEffort:
		filler := tasks(4, 8000)
		filler.BestEffort, filler.Image = true, "filler"
		return jobOf(id, filler)
	}
	job := jobOf(id, tasks(4, 8000), tasks(4, 8000))
	job.Policy.Advised = kind == kindAdvised
	return job
}

func kindOf(task workload.TaskID) int {
	var id int
	_, _ = fmt.Sscanf(task.Job, "%x", &id)
	return id / 100
}

// probeID is the job ID of the probe.
const probeID = 100*kinds + 1

func rigWork(task workload.TaskID, _ int) (time.Duration, bool) {
	switch kindOf(task) {
	case kindLongRunning:
		return emulator.Endless, false
	case kindBestEffort:
		return bestEffortTime, false
	case kinds:
		return 10 * probeBound, false
	}
	return workTime, false
}

func rigGang(task workload.TaskID) int {
	if kindOf(task) == kindGang {
		return gangCount
	}
	return 1
}

// Bounds of the time from the end of the last fault until every task runs or is done. They follow from the constants of
// the protocol and of dispatch, not from measurements.
const (
	// leaseBound is when a lease has surely ended on a clock that is 3% slow, with the owner's margin.
	leaseBound = lease*103/100 + 250*time.Millisecond
	// unresolvedBound is the time in which the outcome of a start is determined and the start is repeated: a late command
	// (2 s), two command timeouts (1.4 s), a poll (2 s) and the longest back-off (8 s).
	unresolvedBound = 2*time.Second + 1400*time.Millisecond + 2*time.Second + 8*time.Second
	// workBound covers the work of any job: the longest is that of a best-effort task that is stopped twice for no
	// progress, each time 2.5 s and two polls after a pause. Gangs wait for their members, and jobs repeat, for less.
	workBound = 3*bestEffortTime + 2*(2500*time.Millisecond+2*2*time.Second)
	// storeBound is how long an owner that may be alive is awaited.
	storeBound = 12 * time.Second
	// probeBound is when the tasks of a job that needs all capacity of the runners must run.
	probeBound = 10 * time.Second
)

// setEvacuated sets the evacuated failure domains for this owner and the next ones.
func (r *rig) setEvacuated(domains map[string]bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.evacuated = domains
	r.cell.SetEvacuated(domains)
}

// timedFault is a fault that begins some time after the submission or after the previous fault.
type timedFault struct {
	fault  fault
	after  time.Duration
	runner string
	// overlaps lets the next fault begin after this one has begun rather than after it has ended.
	overlaps bool
}

// scenario is a play of faults.
type scenario struct {
	// kinds are the kinds of the jobs submitted at first, and lateKinds of those submitted when the last fault begins.
	kinds, lateKinds []int
	// prepare sets the condition of the runs before the jobs are submitted; it may be nil.
	prepare func(r *rig)
	series  []timedFault
}

// play plays a scenario and returns what broke the invariant: some bounded time after the last fault each ordinary job is
// completed, each long-running task has exactly one run, on a listed runner, no task ran in two places, and all capacity
// of the runners can be used again once the long-running jobs are cancelled.
func (r *rig) play(s scenario) (broken []string) {
	fail := func(format string, args ...any) {
		broken = append(broken, fmt.Sprintf(format, args...))
		r.note("BROKEN: "+format, args...)
	}
	r.own(true)
	time.Sleep(time.Second)
	if s.prepare != nil {
		s.prepare(r)
	}
	var jobs, late []*workload.Job
	accepted := map[*workload.Job]bool{}
	for _, kind := range s.kinds {
		jobs = append(jobs, rigJob(kind, 1))
		if !r.submit(jobs[len(jobs)-1]) {
			fail("job was not accepted")
		}
	}
	bound := leaseBound + unresolvedBound + workBound
	for i, f := range s.series {
		time.Sleep(f.after)
		if f.fault.takeover {
			bound += leaseBound + storeBound
		}
		play := func() {
			r.note("begin: %s on %s", f.fault.name, f.runner)
			f.fault.play(r, f.runner)
			r.note("end: %s", f.fault.name)
		}
		if f.overlaps || i == len(s.series)-1 {
			r.background.Go(play)
		} else {
			play()
		}
	}
	for _, kind := range s.lateKinds {
		job := rigJob(kind, 2)
		accepted[job] = r.submit(job)
		late = append(late, job)
	}
	r.background.Wait()
	r.replaceLostOwner()
	time.Sleep(bound)
	for _, job := range late {
		// A job whose submission had no known outcome may have been accepted.
		if _, found := r.owner().State(job.ID); found {
			jobs = append(jobs, job)
		} else if accepted[job] {
			fail("accepted job %s is not known", job.ID)
		}
	}
	for _, job := range jobs {
		kind := kindOf(workload.TaskID{Job: job.ID})
		if kind == kindLongRunning {
			r.checkLongRunning(job, fail)
		} else if got := state(r.owner(), job); got != workload.StateCompleted {
			fail("%s job is %s", kindNames[kind], got)
		}
	}
	for _, job := range jobs {
		if _, err := r.owner().Cancel(r.t.Context(), job.ID); err != nil {
			fail("cancel: %v", err)
		}
	}
	time.Sleep(time.Second)
	r.probe(fail)
	if r.runHangs {
		fail("Run of a stopped cell has not returned")
	}
	if overlaps := r.fleet.Overlaps(); len(overlaps) > 0 {
		fail("tasks ran in two places at once: %v", overlaps)
	}
	return broken
}

// submit submits a job and reports whether it was accepted. It may be refused, or have no known outcome, during a fault.
func (r *rig) submit(job *workload.Job) bool {
	ctx, cancel := context.WithTimeout(r.t.Context(), 3*time.Second)
	defer cancel()
	outcome, _ := r.owner().Submit(ctx, job, true)
	r.note("job %s: outcome %d", job.ID, outcome)
	return outcome == dispatch.OutcomeAccepted
}

// replaceLostOwner makes a new node the owner if the current one has lost the cell.
func (r *rig) replaceLostOwner() {
	if r.owner().HasLostOwnership() {
		r.note("the owner has lost the cell")
		r.takeover <- struct{}{}
		defer func() { <-r.takeover }()
		r.awaitEnd(r.owner())
		r.own(true)
		time.Sleep(leaseBound)
	}
}

func (r *rig) checkLongRunning(job *workload.Job, fail func(string, ...any)) {
	runs := r.fleet.Runs()
	for index := range job.Steps[0].Count {
		on := runs[workload.TaskID{Job: job.ID, Index: index}]
		if len(on) != 1 {
			fail("long-running task %d has %d runs, on %v", index, len(on), on)
		} else if _, ok := r.isListed(on[0]); !ok {
			fail("long-running task %d runs on %s, which is not listed", index, on[0])
		}
	}
}

// probe submits one task for each runner that needs the whole runner, and checks that all of them run at the same time.
func (r *rig) probe(fail func(string, ...any)) {
	job := jobOf(probeID, tasks(rigRunners, 64000))
	if outcome, _ := r.owner().Submit(r.t.Context(), job, true); outcome != dispatch.OutcomeAccepted {
		fail("probe was not accepted")
		return
	}
	time.Sleep(probeBound)
	on := map[string]bool{}
	for task, runners := range r.fleet.Runs() {
		if task.Job == job.ID {
			on[runners[0]] = true
		}
	}
	if len(on) != rigRunners {
		fail("probe that needs all capacity runs on %d of %d runners", len(on), rigRunners)
	}
}

// playScenario plays a scenario in a bubble and returns what broke the invariant, and the trace. If DISPATCH_TRACE_LOGS is
// set, the trace includes the log lines of all owners.
func playScenario(t *testing.T, s scenario) (broken []string, trace string) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, rigGang, rigWork)
		broken = r.play(s)
		trace = strings.Join(r.trace, "\n")
		if os.Getenv("DISPATCH_TRACE_LOGS") != "" {
			for _, logs := range r.logs {
				trace += "\n" + logs.String()
			}
		}
	})
	return broken, trace
}

// phases bring the runs on the first runner into a phase before a fault begins.
var phases = []struct {
	name    string
	prepare func(r *rig)
	// after is the time from the submission to the fault.
	after time.Duration
	// kinds are those whose runs reach the phase.
	kinds []int
}{
	{name: "starting", prepare: func(r *rig) { r.faultFor("r0", emulator.CommandFaults{Start: lostRequest}, time.Second) },
		after: 200 * time.Millisecond, kinds: allKinds},
	{name: "running", after: time.Second, kinds: allKinds},
	{name: "start unknown", prepare: func(r *rig) {
		r.faultFor("r0", emulator.CommandFaults{Start: lostRequest, Stop: lostRequest}, 3*time.Second)
	}, after: 1500 * time.Millisecond, kinds: allKinds},
	{name: "start unknown for one lease", prepare: func(r *rig) {
		r.faultFor("r0", emulator.CommandFaults{Start: lostRequest, Stop: lostRequest}, lease+3*time.Second)
	}, after: 1500 * time.Millisecond, kinds: allKinds},
	// A run is stopped because it makes no progress, or because its runner drains. Neither applies to gangs.
	{name: "stopping", prepare: func(r *rig) {
		r.fleet.StopTime = 1500 * time.Millisecond
		r.fleet.SetFault("r0", emulator.RunnerHangs)
		r.background.Go(func() {
			time.Sleep(3200 * time.Millisecond)
			r.fleet.SetFault("r0", emulator.RunnerWorks)
		})
	}, after: 5600 * time.Millisecond, kinds: []int{kindOrdinary, kindAdvised}},
	{name: "stopping for a drain", prepare: func(r *rig) {
		r.fleet.StopTime = 1500 * time.Millisecond
		r.background.Go(func() {
			time.Sleep(time.Second)
			info, _ := r.isListed("r0")
			info.Draining = true
			r.announce(info, true)
			time.Sleep(12 * time.Second)
			if info, ok := r.isListed("r0"); ok && info.Draining {
				leave(r, info)
			}
		})
	}, after: 1800 * time.Millisecond, kinds: []int{kindLongRunning}},
}

// faultFor adds a fault of a runner's commands that ends by itself.
func (r *rig) faultFor(id string, faults emulator.CommandFaults, duration time.Duration) {
	remove := r.addFault(id, faults)
	r.background.Go(func() {
		time.Sleep(duration)
		remove()
	})
}

// A fault in any phase of a run must not leave a task without a run, keep its capacity, or start it twice.
func TestEveryTaskRunsAfterAFaultInEachPhase(t *testing.T) {
	for _, phase := range phases {
		for _, kind := range phase.kinds {
			for _, f := range faults {
				t.Run(strings.ReplaceAll(phase.name+"/"+f.name+"/"+kindNames[kind], " ", "_"), func(t *testing.T) {
					t.Parallel()
					broken, trace := playScenario(t, scenario{kinds: []int{kind}, prepare: phase.prepare,
						series: []timedFault{{fault: f, after: phase.after, runner: "r0"}}})
					if len(broken) > 0 {
						t.Errorf("%s\n%s", strings.Join(broken, "\n"), trace)
					}
				})
			}
		}
	}
}

// drawSeries draws a series of faults with random times and runners.
func drawSeries(rt *rapid.T, count int) []timedFault {
	series := make([]timedFault, count)
	for i := range series {
		series[i] = timedFault{
			overlaps: rapid.Bool().Draw(rt, "overlaps"),
			fault:    faults[rapid.IntRange(0, len(faults)-1).Draw(rt, "fault")],
			after:    time.Duration(rapid.IntRange(0, 400).Draw(rt, "after")) * 10 * time.Millisecond,
			runner:   fmt.Sprintf("r%d", rapid.IntRange(0, rigRunners-1).Draw(rt, "runner")),
		}
	}
	return series
}

// Two faults, one after the other or overlapping, must not leave a task without a run, keep its capacity, or start it twice. Each fault alone may be
// handled, and the second one meets the state that handling the first has left.
func TestEveryTaskRunsAfterTwoFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := scenario{series: drawSeries(rt, 2)}
		for kind := range kinds {
			if rapid.Bool().Draw(rt, kindNames[kind]) {
				s.kinds = append(s.kinds, kind)
			}
			if rapid.Bool().Draw(rt, kindNames[kind]+" late") {
				s.lateKinds = append(s.lateKinds, kind)
			}
		}
		if broken, trace := playScenario(t, s); len(broken) > 0 {
			rt.Fatalf("%s\n%s", strings.Join(broken, "\n"), trace)
		}
	})
}
