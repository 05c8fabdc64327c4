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
	Percent    int
	Progress   time.Duration
	Queued     time.Time
	Started    time.Time
	running    bool
	stopping   bool
	lastReport time.Time
}

// World is one simulation.
type World struct {
	S      *sched.Scheduler
	Now    time.Time
	Delays Delays
	Kinds  map[string]*Behaviour
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
	// Sample, if not nil, is called once a second with the slow-down of each running service task.
	Sample func(a *Attempt, slowdown float64)
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
func New(cfg sched.Config, seed uint64) *World {
	return &World{
		S: sched.New(cfg, interference.New(interference.DefaultConfig())), Now: Epoch, Delays: DefaultDelays(),
		Kinds: map[string]*Behaviour{}, BadWorkers: map[string]bool{}, Useful: map[string]float64{},
		rng: rand.New(rand.NewPCG(seed, 1)), capacity: map[string]int64{}, attemptsByWorker: map[string][]*Attempt{},
		attempts: map[job.TaskID]*Attempt{}, queuedAt: map[job.TaskID]time.Time{},
	}
}

// AddWorkers adds n workers of the size that the first deployments use, with 8 workers per rack.
func (w *World) AddWorkers(n int) {
	const perRack = 8
	for range n {
		i := len(w.workers)
		id := fmt.Sprintf("w%03d", i)
		size := job.Resources{CPUMilli: 64_000, MemoryMiB: 250_000}
		w.workers = append(w.workers, id)
		w.capacity[id] = size.CPUMilli
		w.S.UpsertWorker(sched.Worker{
			ID: id, Region: "caldas-centro", Domain: "chipre", Rack: fmt.Sprintf("r%d", i/perRack), Capacity: size, Ready: true,
		})
	}
}

// Enqueue queues a task. It ignores a task that the scheduler refuses.
func (w *World) Enqueue(t job.Task) {
	if err := w.S.Enqueue(t); err == nil {
		w.queuedAt[t.ID] = w.Now
	}
}

// CancelJob removes the queued tasks of a job and stops its running tasks.
func (w *World) CancelJob(jobID string) {
	w.S.DequeueJob(jobID)
	for id, a := range w.attempts {
		if id.Job() == jobID && !a.stopping {
			w.S.MarkStopping(id)
			a.stopping = true
			w.after(w.Delays.Command+w.Delays.Stop+w.Delays.Report, func() { w.endAttempt(a, sched.EndStopped) })
		}
	}
}

// Attempts returns the attempts that hold resources, ordered by worker.
func (w *World) Attempts() []*Attempt {
	var list []*Attempt
	for _, id := range w.workers {
		list = append(list, w.attemptsByWorker[id]...)
	}
	return list
}

// Run advances the simulation to the given time after Epoch.
func (w *World) Run(until time.Duration) {
	for end := Epoch.Add(until); w.Now.Before(end); {
		w.Now = w.Now.Add(w.Delays.Step)
		for len(w.pendingEvents) > 0 && !w.pendingEvents[0].at.After(w.Now) {
			heap.Pop(&w.pendingEvents).(event).run()
		}
		w.progress()
		w.plan()
	}
}

func (w *World) after(d time.Duration, run func()) {
	w.seq++
	heap.Push(&w.pendingEvents, event{w.Now.Add(d), w.seq, run})
}

// plan is one step of the apply loop. At most one transaction is in flight, and two transactions start at least Spacing
// apart.
func (w *World) plan() {
	if w.inFlight || w.Now.Before(w.nextPlan) {
		return
	}
	const limit = 200
	p := w.S.Plan(w.Now, limit)
	if w.OnPlan != nil {
		w.OnPlan(p)
	}
	if len(p.Starts) == 0 && len(p.Preemptions) == 0 {
		w.S.Commit(p)
		return
	}
	w.inFlight, w.nextPlan = true, w.Now.Add(w.Delays.Spacing)
	w.after(w.Delays.Commit, func() { w.commit(p) })
}

func (w *World) commit(p sched.Plan) {
	w.inFlight = false
	w.S.Advance(w.Now)
	w.S.Commit(p)
	for _, s := range p.Starts {
		a := &Attempt{Task: s.Task, Worker: s.Worker, Queued: w.queuedAt[s.Task.ID]}
		w.attempts[s.Task.ID] = a
		w.attemptsByWorker[s.Worker] = append(w.attemptsByWorker[s.Worker], a)
		w.after(w.Delays.Command+w.Delays.Start, func() { w.started(a) })
	}
	for _, v := range p.Preemptions {
		if a := w.attempts[v.Task]; a != nil {
			w.preempt(a, v)
		}
	}
}

func (w *World) preempt(a *Attempt, v sched.Preemption) {
	if v.Action != sched.ActionEvict {
		w.after(w.Delays.Command, func() { a.Percent = v.CPUPercent })
		return
	}
	w.S.MarkStopping(v.Task)
	a.stopping = true
	w.after(w.Delays.Command+w.Delays.Stop+w.Delays.Report, func() { w.endAttempt(a, sched.EndStopped) })
}

func (w *World) started(a *Attempt) {
	if w.BadWorkers[a.Worker] || w.behaviour(a).Fails {
		w.after(w.Delays.Report, func() { w.endAttempt(a, sched.EndFailed) })
		return
	}
	a.running, a.Started, a.lastReport = true, w.Now, w.Now
	if w.OnStart != nil {
		w.OnStart(a)
	}
}

func (w *World) behaviour(a *Attempt) *Behaviour {
	if b := w.Kinds[a.Task.Spec.Kind]; b != nil {
		return b
	}
	return &Behaviour{}
}

// endAttempt releases the resources of an attempt and calls OnEnd, which may queue the task again.
func (w *World) endAttempt(a *Attempt, end sched.End) {
	if w.attempts[a.Task.ID] != a {
		return
	}
	delete(w.attempts, a.Task.ID)
	list := w.attemptsByWorker[a.Worker]
	for i := range list {
		if list[i] == a {
			w.attemptsByWorker[a.Worker] = append(list[:i:i], list[i+1:]...)
			break
		}
	}
	w.S.Advance(w.Now)
	w.S.Release(a.Task.ID, end)
	if w.OnEnd != nil {
		w.OnEnd(a, end)
	}
}

// Requeue queues the next attempt of a task that was stopped or failed.
func (w *World) Requeue(a *Attempt, end sched.End) {
	t := a.Task
	t.Attempt++
	if end == sched.EndStopped {
		t.Evictions++
	}
	if end == sched.EndFailed {
		t.FailedOn = append(append([]string{}, t.FailedOn...), a.Worker)
	}
	w.Enqueue(t)
}

func (w *World) loadFactor() float64 {
	if w.Load == nil {
		return 1
	}
	return w.Load(w.Now.Sub(Epoch))
}

// progress advances running tasks by one step.
func (w *World) progress() {
	sample := w.Now.Sub(w.lastSample) >= time.Second
	if sample {
		w.lastSample = w.Now
	}
	for _, id := range w.workers {
		shares := map[string]float64{}
		for _, a := range w.attemptsByWorker[id] {
			if a.running {
				shares[a.Task.Spec.Kind] += w.share(a)
			}
		}
		slow := map[string]float64{}
		for kind := range shares {
			slow[kind] = w.slowdown(kind, shares)
		}
		for _, a := range w.attemptsByWorker[id] {
			if a.running {
				w.advanceAttempt(a, slow[a.Task.Spec.Kind], sample)
			}
		}
	}
}

func (w *World) share(a *Attempt) float64 {
	share := float64(a.Task.Spec.Resources.CPUMilli) / float64(w.capacity[a.Worker])
	if a.Percent > 0 {
		share *= float64(a.Percent) / 100
	}
	return share
}

func (w *World) slowdown(kind string, shares map[string]float64) float64 {
	excess := 0.0
	if b := w.Kinds[kind]; b != nil {
		for source, weight := range b.Slowdown {
			excess += weight * shares[source]
		}
	}
	return 1 + excess*w.loadFactor()
}

func (w *World) advanceAttempt(a *Attempt, slowdown float64, sample bool) {
	step := float64(w.Delays.Step) / slowdown
	if a.Percent > 0 {
		step *= float64(a.Percent) / 100
	}
	a.Progress += time.Duration(step)
	service := a.Task.Spec.Class == job.ClassService
	if !service {
		w.Useful[a.Task.Spec.Kind] += float64(a.Task.Spec.Resources.CPUMilli) * step / float64(time.Second)
	}
	if service && sample && w.Sample != nil {
		w.Sample(a, slowdown)
	}
	if w.Usage && w.Now.Sub(a.lastReport) >= w.Delays.UsageEvery {
		w.report(a, slowdown)
	}
	if work := w.behaviour(a).Work; work > 0 && a.Progress >= work && !a.stopping {
		a.running = false
		w.after(w.Delays.Report, func() { w.endAttempt(a, sched.EndCompleted) })
	}
}

// report sends a usage report, which the scheduler receives after UsageLag.
func (w *World) report(a *Attempt, slowdown float64) {
	a.lastReport = w.Now
	measured := slowdown * (1 + w.Noise*w.rng.NormFloat64())
	if w.rng.Float64() < w.Outliers {
		measured *= 5
	}
	used := a.Task.Spec.Resources
	if f := w.behaviour(a).UsedFactor; f > 0 {
		used.CPUMilli, used.MemoryMiB = int64(float64(used.CPUMilli)*f), int64(float64(used.MemoryMiB)*f)
	}
	u := infra.Usage{
		Ref: infra.AttemptRef{Task: a.Task.ID, Attempt: a.Task.Attempt}, Used: used,
		AgeMillis: w.Delays.UsageLag.Milliseconds(), SlowdownPermille: int64(measured * 1000),
		CheckpointAgeMillis: a.Progress.Milliseconds(),
	}
	w.after(w.Delays.UsageLag, func() {
		w.S.Advance(w.Now)
		w.S.ReportUsage(a.Worker, u)
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
