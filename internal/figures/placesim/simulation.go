// Package placesim simulates placement in virtual time: the scheduler of one cell, its apply loop, and workers whose tasks
// slow each other down by weights that are not visible to the scheduler. It is a small model for measurements and tests of
// placement decisions, without network, table service or leases.
package placesim

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/currantthread/currantthread/infra"
	"github.com/currantthread/currantthread/interference"
	"github.com/currantthread/currantthread/job"
	"github.com/currantthread/currantthread/sched"
)

// Delays are the delays outside the scheduler that a simulation assumes.
type Delays struct {
	// Step is the time resolution of the simulation.
	Step time.Duration
	// Commit is the duration of a ledger transaction; Spacing is the minimum time between the starts of two transactions.
	Commit, Spacing time.Duration
	// Command is the delay of a command to a worker; Report is the delay of a report from it.
	Command, Report time.Duration
	// Start is the time that a worker needs to start a task; Stop is the time that it needs to stop one, including its
	// checkpoint.
	Start, Stop time.Duration
	// UsageEvery is the interval of a task's usage reports; UsageLag is their delay.
	UsageEvery, UsageLag time.Duration
}

// DefaultDelays returns the delays that the measurements assume.
func DefaultDelays() Delays {
	return Delays{
		Step: 10 * time.Millisecond, Commit: 50 * time.Millisecond, Spacing: 500 * time.Millisecond,
		Command: 5 * time.Millisecond, Report: 5 * time.Millisecond,
		Start: 100 * time.Millisecond, Stop: time.Second,
		UsageEvery: 5 * time.Second, UsageLag: 10 * time.Second,
	}
}

// Epoch is the virtual time at which every simulation starts.
var Epoch = time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)

// Behaviour is the actual behaviour of the tasks of one kind, as opposed to what they declare.
type Behaviour struct {
	// Work is the run time of a task that runs alone and unthrottled; 0 means that the task runs until it is stopped.
	Work time.Duration
	// Slowdown maps a kind to the excess slow-down that a worker full of its tasks causes to tasks of this kind.
	Slowdown map[string]float64
	// UsedFactor is the ratio of used to declared resources; 0 means 1.
	UsedFactor float64
	// Fails makes every attempt fail when it starts.
	Fails bool
}

// Attempt is one attempt of a task on a worker.
type Attempt struct {
	Task       job.Task
	Worker     string
	CPUPercent int
	Progress   time.Duration
	Queued     time.Time
	Started    time.Time
	running    bool
	stopping   bool
	lastReport time.Time
}

// Simulation is the simulation of one cell.
type Simulation struct {
	Scheduler *sched.Scheduler
	Now       time.Time
	Delays    Delays
	Kinds     map[string]*Behaviour
	// Load returns the factor of all excess slow-downs at a time since Epoch; nil means 1.
	Load func(time.Duration) float64
	// Noise is the relative standard deviation of reported slow-downs; Outliers is the fraction of reports that are 5 times
	// too high.
	Noise, Outliers float64
	// Usage enables usage reports.
	Usage bool
	// BadWorkers holds the workers on which every task fails.
	BadWorkers map[string]bool
	// OnStart, OnEnd and OnPlan are called on the events of their names; each may be nil.
	OnStart func(*Attempt)
	OnEnd   func(*Attempt, sched.End)
	OnPlan  func(sched.Plan)
	// OnSample, if not nil, is called once a second with the slow-down of each running service task.
	OnSample func(a *Attempt, slowdown float64)
	// Useful is the completed batch work by kind, in thousandths of a core times seconds.
	Useful map[string]float64

	rng              *rand.Rand
	workers          []string
	capacity         map[string]int64
	attemptsByWorker map[string][]*Attempt
	attempts         map[job.TaskID]*Attempt
	queuedAt         map[job.TaskID]time.Time
	pendingEvents    events
	seq              int
	inFlight         bool
	nextPlan         time.Time
	lastSample       time.Time
}

// New returns a simulation of a cell without workers.
func New(cfg sched.Config, seed uint64) *Simulation {
	return &Simulation{
		Scheduler: sched.New(cfg, interference.New(interference.DefaultConfig())), Now: Epoch, Delays: DefaultDelays(),
		Kinds: map[string]*Behaviour{}, BadWorkers: map[string]bool{}, Useful: map[string]float64{},
		rng: rand.New(rand.NewPCG(seed, 1)), capacity: map[string]int64{}, attemptsByWorker: map[string][]*Attempt{},
		attempts: map[job.TaskID]*Attempt{}, queuedAt: map[job.TaskID]time.Time{},
	}
}

// AddWorkers adds n workers of the size that the first deployments use, with 8 workers per rack.
func (sim *Simulation) AddWorkers(n int) {
	const perRack = 8
	for range n {
		i := len(sim.workers)
		id := fmt.Sprintf("w%03d", i)
		size := job.Resources{CPUMilli: 64_000, MemoryMiB: 250_000}
		sim.workers = append(sim.workers, id)
		sim.capacity[id] = size.CPUMilli
		sim.Scheduler.UpsertWorker(sched.Worker{
			ID: id, Region: "caldas-centro", Domain: "chipre", Rack: fmt.Sprintf("r%d", i/perRack), Capacity: size, Ready: true,
		})
	}
}

// Enqueue queues a task. It ignores a task that the scheduler refuses.
func (sim *Simulation) Enqueue(t job.Task) {
	if err := sim.Scheduler.Enqueue(t); err == nil {
		sim.queuedAt[t.ID] = sim.Now
	}
}

// CancelJob removes the queued tasks of a job and stops its running tasks.
func (sim *Simulation) CancelJob(jobID string) {
	sim.Scheduler.DequeueJob(jobID)
	for id, a := range sim.attempts {
		if id.Job() == jobID && !a.stopping {
			sim.Scheduler.MarkStopping(id)
			a.stopping = true
			sim.after(sim.Delays.Command+sim.Delays.Stop+sim.Delays.Report, func() { sim.endAttempt(a, sched.EndStopped) })
		}
	}
}

// Attempts returns the attempts that hold resources, ordered by worker.
func (sim *Simulation) Attempts() []*Attempt {
	var list []*Attempt
	for _, id := range sim.workers {
		list = append(list, sim.attemptsByWorker[id]...)
	}
	return list
}

// Run advances the simulation to the given time after Epoch.
func (sim *Simulation) Run(until time.Duration) {
	for end := Epoch.Add(until); sim.Now.Before(end); {
		sim.Now = sim.Now.Add(sim.Delays.Step)
		for len(sim.pendingEvents) > 0 && !sim.pendingEvents[0].at.After(sim.Now) {
			heap.Pop(&sim.pendingEvents).(event).run()
		}
		sim.progress()
		sim.plan()
	}
}

func (sim *Simulation) after(d time.Duration, run func()) {
	sim.seq++
	heap.Push(&sim.pendingEvents, event{sim.Now.Add(d), sim.seq, run})
}

// plan is one step of the apply loop. At most one transaction is in flight, and two transactions start at least Spacing
// apart.
func (sim *Simulation) plan() {
	if sim.inFlight || sim.Now.Before(sim.nextPlan) {
		return
	}
	const limit = 200
	p := sim.Scheduler.Plan(sim.Now, limit)
	if sim.OnPlan != nil {
		sim.OnPlan(p)
	}
	if len(p.Starts) == 0 && len(p.Preemptions) == 0 {
		sim.Scheduler.Commit(p)
		return
	}
	sim.inFlight, sim.nextPlan = true, sim.Now.Add(sim.Delays.Spacing)
	sim.after(sim.Delays.Commit, func() { sim.commit(p) })
}

func (sim *Simulation) commit(p sched.Plan) {
	sim.inFlight = false
	sim.Scheduler.Advance(sim.Now)
	sim.Scheduler.Commit(p)
	for _, s := range p.Starts {
		a := &Attempt{Task: s.Task, Worker: s.Worker, Queued: sim.queuedAt[s.Task.ID]}
		sim.attempts[s.Task.ID] = a
		sim.attemptsByWorker[s.Worker] = append(sim.attemptsByWorker[s.Worker], a)
		sim.after(sim.Delays.Command+sim.Delays.Start, func() { sim.started(a) })
	}
	for _, v := range p.Preemptions {
		if a := sim.attempts[v.Task]; a != nil {
			sim.preempt(a, v)
		}
	}
}

func (sim *Simulation) preempt(a *Attempt, v sched.Preemption) {
	if v.Action != sched.ActionEvict {
		sim.after(sim.Delays.Command, func() { a.CPUPercent = v.CPUPercent })
		return
	}
	sim.Scheduler.MarkStopping(v.Task)
	a.stopping = true
	sim.after(sim.Delays.Command+sim.Delays.Stop+sim.Delays.Report, func() { sim.endAttempt(a, sched.EndStopped) })
}

func (sim *Simulation) started(a *Attempt) {
	if sim.BadWorkers[a.Worker] || sim.behaviour(a).Fails {
		sim.after(sim.Delays.Report, func() { sim.endAttempt(a, sched.EndFailed) })
		return
	}
	a.running, a.Started, a.lastReport = true, sim.Now, sim.Now
	if sim.OnStart != nil {
		sim.OnStart(a)
	}
}

func (sim *Simulation) behaviour(a *Attempt) *Behaviour {
	if b := sim.Kinds[a.Task.Spec.Kind]; b != nil {
		return b
	}
	return &Behaviour{}
}

// endAttempt releases the resources of an attempt and calls OnEnd, which may queue the task again.
func (sim *Simulation) endAttempt(a *Attempt, end sched.End) {
	if sim.attempts[a.Task.ID] != a {
		return
	}
	delete(sim.attempts, a.Task.ID)
	list := sim.attemptsByWorker[a.Worker]
	for i := range list {
		if list[i] == a {
			sim.attemptsByWorker[a.Worker] = append(list[:i:i], list[i+1:]...)
			break
		}
	}
	sim.Scheduler.Advance(sim.Now)
	sim.Scheduler.Release(a.Task.ID, end)
	if sim.OnEnd != nil {
		sim.OnEnd(a, end)
	}
}

// Requeue queues the next attempt of a task that was stopped or failed.
func (sim *Simulation) Requeue(a *Attempt, end sched.End) {
	t := a.Task
	t.Attempt++
	if end == sched.EndStopped {
		t.Evictions++
	}
	if end == sched.EndFailed {
		t.FailedOn = append(append([]string{}, t.FailedOn...), a.Worker)
	}
	sim.Enqueue(t)
}

func (sim *Simulation) loadFactor() float64 {
	if sim.Load == nil {
		return 1
	}
	return sim.Load(sim.Now.Sub(Epoch))
}

// progress advances running tasks by one step.
func (sim *Simulation) progress() {
	sample := sim.Now.Sub(sim.lastSample) >= time.Second
	if sample {
		sim.lastSample = sim.Now
	}
	for _, id := range sim.workers {
		shares := map[string]float64{}
		for _, a := range sim.attemptsByWorker[id] {
			if a.running {
				shares[a.Task.Spec.Kind] += sim.share(a)
			}
		}
		slow := map[string]float64{}
		for kind := range shares {
			slow[kind] = sim.slowdown(kind, shares)
		}
		for _, a := range sim.attemptsByWorker[id] {
			if a.running {
				sim.advanceAttempt(a, slow[a.Task.Spec.Kind], sample)
			}
		}
	}
}

func (sim *Simulation) share(a *Attempt) float64 {
	share := float64(a.Task.Spec.Resources.CPUMilli) / float64(sim.capacity[a.Worker])
	if a.CPUPercent > 0 {
		share *= float64(a.CPUPercent) / 100
	}
	return share
}

func (sim *Simulation) slowdown(kind string, shares map[string]float64) float64 {
	excess := 0.0
	if b := sim.Kinds[kind]; b != nil {
		for source, weight := range b.Slowdown {
			excess += weight * shares[source]
		}
	}
	return 1 + excess*sim.loadFactor()
}

func (sim *Simulation) advanceAttempt(a *Attempt, slowdown float64, sample bool) {
	step := float64(sim.Delays.Step) / slowdown
	if a.CPUPercent > 0 {
		step *= float64(a.CPUPercent) / 100
	}
	a.Progress += time.Duration(step)
	service := a.Task.Spec.Class == job.ClassService
	if !service {
		sim.Useful[a.Task.Spec.Kind] += float64(a.Task.Spec.Resources.CPUMilli) * step / float64(time.Second)
	}
	if service && sample && sim.OnSample != nil {
		sim.OnSample(a, slowdown)
	}
	if sim.Usage && sim.Now.Sub(a.lastReport) >= sim.Delays.UsageEvery {
		sim.report(a, slowdown)
	}
	if work := sim.behaviour(a).Work; work > 0 && a.Progress >= work && !a.stopping {
		a.running = false
		sim.after(sim.Delays.Report, func() { sim.endAttempt(a, sched.EndCompleted) })
	}
}

// report sends a usage report, which the scheduler receives after UsageLag.
func (sim *Simulation) report(a *Attempt, slowdown float64) {
	a.lastReport = sim.Now
	measured := slowdown * (1 + sim.Noise*sim.rng.NormFloat64())
	if sim.rng.Float64() < sim.Outliers {
		measured *= 5
	}
	used := a.Task.Spec.Resources
	if f := sim.behaviour(a).UsedFactor; f > 0 {
		used.CPUMilli, used.MemoryMiB = int64(float64(used.CPUMilli)*f), int64(float64(used.MemoryMiB)*f)
	}
	u := infra.Usage{
		Ref: infra.AttemptRef{Task: a.Task.ID, Attempt: a.Task.Attempt}, Used: used,
		AgeMillis: sim.Delays.UsageLag.Milliseconds(), SlowdownPermille: int64(measured * 1000),
		CheckpointAgeMillis: a.Progress.Milliseconds(),
	}
	sim.after(sim.Delays.UsageLag, func() {
		sim.Scheduler.Advance(sim.Now)
		sim.Scheduler.ReportUsage(a.Worker, u)
	})
}

type event struct {
	at  time.Time
	seq int
	run func()
}

type events []event

func (h events) Len() int { return len(h) }
func (h events) Less(i, j int) bool {
	if c := h[i].at.Compare(h[j].at); c != 0 {
		return c < 0
	}
	return h[i].seq < h[j].seq
}
func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *events) Push(x any)   { *h = append(*h, x.(event)) }
func (h *events) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}
