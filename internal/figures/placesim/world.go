// Package placesim replays placement in virtual time: one cell's scheduler, its apply loop, and workers whose tasks slow
// each other down by weights that the scheduler does not know. It is a small model for figures and tests of placement
// decisions, without network, table or leases.
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

// Delays are the delays outside of the scheduler that a replay assumes.
type Delays struct {
	// Step is the resolution of the replay.
	Step time.Duration
	// Commit is one ledger transaction; Spacing the shortest time between the starts of two.
	Commit, Spacing time.Duration
	// Command is the way of a command to a worker, Report that of a report back.
	Command, Report time.Duration
	// Start is the time from the command to a running task; Stop that from the command to a stopped task, checkpoint
	// included.
	Start, Stop time.Duration
	// UsageEvery is the time between two usage reports of a task, and UsageLag their lag.
	UsageEvery, UsageLag time.Duration
}

// DefaultDelays returns the delays that figures assume.
func DefaultDelays() Delays {
	return Delays{
		Step: 10 * time.Millisecond, Commit: 50 * time.Millisecond, Spacing: 500 * time.Millisecond,
		Command: 5 * time.Millisecond, Report: 5 * time.Millisecond,
		Start: 100 * time.Millisecond, Stop: time.Second,
		UsageEvery: 5 * time.Second, UsageLag: 10 * time.Second,
	}
}

// Epoch is the start of every replay.
var Epoch = time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)

// Behaviour says what the tasks of one kind do, as opposed to what they declare.
type Behaviour struct {
	// Work is the run time alone and unthrottled; 0 means that the task runs until it is stopped.
	Work time.Duration
	// Slowdown is the excess slow-down that a worker full of a kind causes to this one.
	Slowdown map[string]float64
	// UsedFactor is the used part of the declared size; 0 counts as 1.
	UsedFactor float64
	// Fails makes every attempt fail after FailAfter.
	Fails bool
}

// Attempt is a task on a worker.
type Attempt struct {
	Task     job.Task
	Worker   string
	Percent  int
	Progress time.Duration
	Queued   time.Time
	Started  time.Time
	running  bool
	stopping bool
	reported time.Time
}

// World is one replay.
type World struct {
	S      *sched.Scheduler
	Now    time.Time
	Delays Delays
	Kinds  map[string]*Behaviour
	// Load scales all slow-downs, by time since Epoch; nil means 1.
	Load func(time.Duration) float64
	// Noise is the relative deviation of reported slow-downs; Outliers the part of reports that is 5 times too high.
	Noise, Outliers float64
	// Usage turns usage reports on.
	Usage bool
	// BadWorkers fail everything that they start.
	BadWorkers map[string]bool
	// OnStart, OnEnd and OnPlan observe the replay; each may be nil.
	OnStart func(*Attempt)
	OnEnd   func(*Attempt, sched.End)
	OnPlan  func(sched.Plan)
	// Sample observes each service's slow-down once a second.
	Sample func(a *Attempt, slowdown float64)
	// Useful is the batch work done, in milli cores times seconds, by kind.
	Useful map[string]float64

	rng      *rand.Rand
	workers  []string
	capacity map[string]int64
	on       map[string][]*Attempt
	attempts map[job.TaskID]*Attempt
	queuedAt map[job.TaskID]time.Time
	pending  events
	seq      int
	inFlight bool
	nextPlan time.Time
	sampled  time.Time
}

// New returns a replay of an empty cell.
func New(cfg sched.Config, seed uint64) *World {
	return &World{
		S: sched.New(cfg, interference.New(interference.DefaultConfig())), Now: Epoch, Delays: DefaultDelays(),
		Kinds: map[string]*Behaviour{}, BadWorkers: map[string]bool{}, Useful: map[string]float64{},
		rng: rand.New(rand.NewPCG(seed, 1)), capacity: map[string]int64{}, on: map[string][]*Attempt{},
		attempts: map[job.TaskID]*Attempt{}, queuedAt: map[job.TaskID]time.Time{},
	}
}

// AddWorkers adds n workers of the shape of the first deployments, 8 to a rack.
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

// Enqueue queues a task.
func (w *World) Enqueue(t job.Task) {
	if err := w.S.Enqueue(t); err == nil {
		w.queuedAt[t.ID] = w.Now
	}
}

// CancelJob drops the queued tasks of a job and stops those that run.
func (w *World) CancelJob(jobID string) {
	w.S.DequeueJob(jobID)
	for id, a := range w.attempts {
		if id.Job() == jobID && !a.stopping {
			w.S.Stopping(id)
			a.stopping = true
			w.after(w.Delays.Command+w.Delays.Stop+w.Delays.Report, func() { w.end(a, sched.EndStopped) })
		}
	}
}

// Attempts returns the tasks that hold resources, by worker, in a fixed order.
func (w *World) Attempts() []*Attempt {
	var list []*Attempt
	for _, id := range w.workers {
		list = append(list, w.on[id]...)
	}
	return list
}

// Run replays until the given time after Epoch.
func (w *World) Run(until time.Duration) {
	for end := Epoch.Add(until); w.Now.Before(end); {
		w.Now = w.Now.Add(w.Delays.Step)
		for len(w.pending) > 0 && !w.pending[0].at.After(w.Now) {
			heap.Pop(&w.pending).(event).do()
		}
		w.progress()
		w.plan()
	}
}

func (w *World) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.pending, event{w.Now.Add(d), w.seq, do})
}

// plan is the apply loop: one transaction in flight, and Spacing between the starts of two.
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
		w.on[s.Worker] = append(w.on[s.Worker], a)
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
	w.S.Stopping(v.Task)
	a.stopping = true
	w.after(w.Delays.Command+w.Delays.Stop+w.Delays.Report, func() { w.end(a, sched.EndStopped) })
}

func (w *World) started(a *Attempt) {
	if w.BadWorkers[a.Worker] || w.behaviour(a).Fails {
		w.after(w.Delays.Report, func() { w.end(a, sched.EndFailed) })
		return
	}
	a.running, a.Started, a.reported = true, w.Now, w.Now
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

// end releases an attempt and queues the task again unless it completed or was cancelled.
func (w *World) end(a *Attempt, end sched.End) {
	if w.attempts[a.Task.ID] != a {
		return
	}
	delete(w.attempts, a.Task.ID)
	list := w.on[a.Worker]
	for i := range list {
		if list[i] == a {
			w.on[a.Worker] = append(list[:i:i], list[i+1:]...)
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

func (w *World) load() float64 {
	if w.Load == nil {
		return 1
	}
	return w.Load(w.Now.Sub(Epoch))
}

// progress advances running tasks by one step.
func (w *World) progress() {
	sample := w.Now.Sub(w.sampled) >= time.Second
	if sample {
		w.sampled = w.Now
	}
	for _, id := range w.workers {
		shares := map[string]float64{}
		for _, a := range w.on[id] {
			if a.running {
				shares[a.Task.Spec.Kind] += w.share(a)
			}
		}
		slow := map[string]float64{}
		for kind := range shares {
			slow[kind] = w.slowdown(kind, shares)
		}
		for _, a := range w.on[id] {
			if a.running {
				w.advance(a, slow[a.Task.Spec.Kind], sample)
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
	return 1 + excess*w.load()
}

func (w *World) advance(a *Attempt, slowdown float64, sample bool) {
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
	if w.Usage && w.Now.Sub(a.reported) >= w.Delays.UsageEvery {
		w.report(a, slowdown)
	}
	if work := w.behaviour(a).Work; work > 0 && a.Progress >= work && !a.stopping {
		a.running = false
		w.after(w.Delays.Report, func() { w.end(a, sched.EndCompleted) })
	}
}

// report sends a usage report, which arrives after the lag.
func (w *World) report(a *Attempt, slowdown float64) {
	a.reported = w.Now
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
	do  func()
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
