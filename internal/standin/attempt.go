package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"time"

	"github.com/currantthread/currantthread/infra"
	"github.com/currantthread/currantthread/job"
)

const (
	// failDelay is how long an attempt on a worker that fails everything runs.
	failDelay = 50 * time.Millisecond
	// loadRetry is the time between two attempts to read a checkpoint.
	loadRetry = 500 * time.Millisecond
	// defaultWork is the work of a task whose run time is neither declared nor given in the payload.
	defaultWork = time.Second
	// defaultCheckpointEvery is the work between two checkpoints of a task that does not name one.
	defaultCheckpointEvery = 5 * time.Second
)

// Payload is what the stand-in worker reads from the payload of a task. A payload that is not JSON counts as empty.
type Payload struct {
	// ActualMillis is the true work in milliseconds at full speed; 0 means the declared run time.
	ActualMillis int64 `json:"actual_ms,omitempty"`
	// FailAfterMillis makes every attempt fail after so much work; 0 means never.
	FailAfterMillis int64 `json:"fail_after_ms,omitempty"`
	// CheckpointMillis is the work between two checkpoints; 0 means 5 s, a negative value means none.
	CheckpointMillis int64 `json:"checkpoint_ms,omitempty"`
	// Used is the true use of resources; zero means the declared one.
	Used job.Resources `json:"used,omitzero"`
}

// attempt is an attempt that occupies its resources. Its worker's mutex owns it.
type attempt struct {
	ref     infra.AttemptRef
	spec    job.TaskSpec
	payload Payload
	journal int
	replica Replica
	// loading is set while the checkpoint to resume from is read, ending once the attempt was told to stop. Neither
	// makes progress.
	loading, ending bool
	cpuPercent      int
	// total and done are work in milliseconds, including that of earlier attempts; total is infinite for a task that
	// does not end by itself. base is the work that the attempt resumed from.
	total, done, base float64
	failAt            float64
	// checkpoint is the newest stored one, which holds the work saved. saving is set while one is being stored.
	checkpoint string
	saved      float64
	saving     bool
	saves      int
	nextSave   float64
	// lastSave is the number of the save that the attempt ends with.
	lastSave int
}

// savedWork is the content of a checkpoint.
type savedWork struct {
	Ref        infra.AttemptRef `json:"ref"`
	WorkMillis float64          `json:"work_ms"`
}

// begin starts an attempt. The caller holds w.mu.
func (w *Worker) begin(c infra.Command, now time.Time) {
	a := newAttempt(c)
	w.seen[c.Ref.Task] = infra.Report{Ref: c.Ref, State: infra.RunRunning}
	if w.faults.FailAll {
		a.failAt = a.done + float64(failDelay.Milliseconds())
	}
	if a.spec.Class == job.ClassService {
		replica, err := w.cfg.Open(c.Ref, c.Spec)
		if err != nil {
			end := infra.Report{Ref: c.Ref, State: infra.RunFailed, Error: err.Error()}
			w.seen[c.Ref.Task] = end
			w.report(end)
			return
		}
		a.replica = replica
	}
	if len(w.attempts) == 0 {
		// Nothing is measured while nothing runs.
		w.sampledAt = now
	}
	w.attempts[c.Ref.Task] = a
	a.journal = w.cfg.Journal.started(Run{
		Ref: a.ref, Class: a.spec.Class, Worker: w.cfg.ID, Domain: w.cfg.Domain, StartNanos: now.UnixNano(),
	}, !w.committed().Fits(w.cfg.Capacity))
	w.report(infra.Report{Ref: a.ref, State: infra.RunRunning, Checkpoint: a.checkpoint})
	if a.checkpoint != "" {
		a.loading = true
		go w.load(a)
	}
}

func newAttempt(c infra.Command) *attempt {
	a := &attempt{
		ref: c.Ref, spec: c.Spec, checkpoint: c.Checkpoint,
		cpuPercent: 100, total: math.Inf(1), failAt: math.Inf(1), nextSave: math.Inf(1),
	}
	_ = json.Unmarshal([]byte(c.Spec.Payload), &a.payload)
	if a.spec.Class == job.ClassBatch {
		a.total = float64(defaultWork.Milliseconds())
		if c.Spec.RuntimeMillis > 0 {
			a.total = float64(c.Spec.RuntimeMillis)
		}
		if a.payload.ActualMillis > 0 {
			a.total = float64(a.payload.ActualMillis)
		}
	}
	if a.payload.FailAfterMillis > 0 {
		a.failAt = float64(a.payload.FailAfterMillis)
	}
	if a.spec.Class != job.ClassService && a.payload.CheckpointMillis >= 0 {
		a.nextSave = a.checkpointEvery()
	}
	return a
}

func (a *attempt) checkpointEvery() float64 {
	if a.payload.CheckpointMillis > 0 {
		return float64(a.payload.CheckpointMillis)
	}
	return float64(defaultCheckpointEvery.Milliseconds())
}

// used returns the resources that the attempt uses at its current throttle.
func (a *attempt) used() job.Resources {
	used := a.payload.Used
	if used.IsZero() {
		used = a.spec.Resources
	}
	used.CPUMilli = used.CPUMilli * int64(a.cpuPercent) / 100
	return used
}

func (a *attempt) kind() string {
	if a.spec.Kind != "" {
		return a.spec.Kind
	}
	return string(a.spec.Class) + ":" + a.spec.Service
}

// committed returns the declared sizes of all attempts. The caller holds w.mu.
func (w *Worker) committed() job.Resources {
	var sum job.Resources
	for _, a := range w.attempts {
		sum = sum.Add(a.spec.Resources)
	}
	return sum
}

// slowdown returns the slow-down of a, or of the resident runner for nil. The caller holds w.mu.
func (w *Worker) slowdown(of *attempt) float64 {
	kind := w.cfg.ResidentKind
	var neighbours []neighbour
	if of != nil {
		kind = of.kind()
		if w.cfg.Resident != nil {
			neighbours = append(neighbours, neighbour{w.cfg.ResidentKind, w.cfg.ResidentShare})
		}
	}
	capacity := float64(max(w.cfg.Capacity.CPUMilli, 1))
	for _, a := range w.attempts {
		if a != of && !a.ending && !a.loading {
			neighbours = append(neighbours, neighbour{a.kind(), float64(a.used().CPUMilli) / capacity})
		}
	}
	return w.cfg.Interference.Slowdown(kind, neighbours) / w.speed()
}

func (w *Worker) speed() float64 {
	if w.faults.SpeedPercent <= 0 {
		return 1
	}
	return float64(w.faults.SpeedPercent) / 100
}

// rate returns work in milliseconds for each millisecond. The caller holds w.mu.
func (w *Worker) rate(a *attempt) float64 {
	if a.loading || a.ending {
		return 0
	}
	return float64(a.cpuPercent) / 100 / w.slowdown(a)
}

// timeOf returns when a's work reaches the amount work, or the zero time if it never does. The caller holds w.mu.
func (w *Worker) timeOf(a *attempt, work float64) time.Time {
	rate := w.rate(a)
	if rate <= 0 || math.IsInf(work, 1) {
		return time.Time{}
	}
	millis := max(work-a.done, 0) / rate
	// Rounding up makes sure that the work is done once the time has come.
	return w.settledAt.Add(time.Duration(math.Ceil(millis * float64(time.Millisecond))))
}

// finishTime returns when a completes or fails, or the zero time if it does not by itself. The caller holds w.mu.
func (w *Worker) finishTime(a *attempt) time.Time {
	return w.timeOf(a, min(a.total, a.failAt))
}

// event is the next thing that happens on the worker by itself.
type event struct {
	at     time.Time
	handle func(at time.Time)
}

// next returns the earliest event, or one with the zero time. The caller holds w.mu.
func (w *Worker) next() event {
	var first event
	add := func(at time.Time, handle func(time.Time)) {
		if !at.IsZero() && (first.at.IsZero() || at.Before(first.at)) {
			first = event{at, handle}
		}
	}
	for _, a := range w.attempts {
		if a.spec.Class.Exclusive() {
			add(w.leaseUntil, w.lapse)
		}
		add(w.finishTime(a), func(at time.Time) { w.finish(a, at) })
		if !a.saving {
			add(w.timeOf(a, a.nextSave), func(time.Time) { w.save(a) })
		}
	}
	if len(w.attempts) > 0 {
		add(w.sampledAt.Add(usageInterval), w.sample)
	}
	return first
}

// advance applies every event up to now in order of time. After a pause of the process it therefore stops attempts at
// the instant at which the lease ran out. The caller holds w.mu.
func (w *Worker) advance(now time.Time) {
	for !w.dead {
		e := w.next()
		if e.at.IsZero() || e.at.After(now) {
			break
		}
		w.settle(e.at)
		e.handle(e.at)
	}
	w.settle(now)
}

// settle counts the work done up to now. The caller holds w.mu.
func (w *Worker) settle(now time.Time) {
	elapsed := now.Sub(w.settledAt)
	if elapsed <= 0 {
		return
	}
	millis := float64(elapsed) / float64(time.Millisecond)
	work := make(map[*attempt]float64, len(w.attempts))
	for _, a := range w.attempts {
		work[a] = w.rate(a) * millis
	}
	for a, done := range work {
		a.done += done
	}
	w.settledAt = now
}

// wake runs when the timer fires.
func (w *Worker) wake() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.dead {
		return
	}
	w.advance(time.Now())
	w.reschedule()
}

// reschedule sets the timer to the next event and passes slow-downs on to the runners. The caller holds w.mu.
func (w *Worker) reschedule() {
	if w.dead {
		return
	}
	if e := w.next(); !e.at.IsZero() {
		w.timer.Reset(time.Until(e.at))
	} else {
		w.timer.Stop()
	}
	for _, a := range w.attempts {
		if a.replica != nil {
			a.replica.SetSlowdown(w.slowdown(a))
		}
	}
	if w.cfg.Resident != nil {
		w.cfg.Resident.SetSlowdown(w.slowdown(nil))
	}
}

// lapse stops every exclusive attempt because the lease ran out. The caller holds w.mu.
func (w *Worker) lapse(at time.Time) {
	for _, a := range w.attempts {
		if a.spec.Class.Exclusive() {
			w.cfg.Journal.ended(a.journal, at, infra.RunStopped, true)
			w.remove(a, infra.RunStopped, "lease ran out")
		}
	}
}

func (w *Worker) finish(a *attempt, at time.Time) {
	if a.failAt <= a.total {
		w.end(a, at, infra.RunFailed, "task failed")
		return
	}
	w.end(a, at, infra.RunCompleted, "")
}

// end ends an attempt and reports it. The caller holds w.mu.
func (w *Worker) end(a *attempt, at time.Time, state infra.RunState, reason string) {
	w.cfg.Journal.ended(a.journal, at, state, false)
	w.remove(a, state, reason)
}

func (w *Worker) remove(a *attempt, state infra.RunState, reason string) {
	delete(w.attempts, a.ref.Task)
	if a.replica != nil {
		a.replica.Kill()
	}
	end := infra.Report{
		Ref: a.ref, State: state, Checkpoint: a.checkpoint, WorkMillis: int64(a.done - a.base), Error: reason,
	}
	// A later attempt may have been refused while this one ran.
	if w.seen[a.ref.Task].Ref == a.ref {
		w.seen[a.ref.Task] = end
	}
	w.report(end)
}

// finishStop ends an attempt whose stop had to wait.
func (w *Worker) finishStop(a *attempt) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.advance(now)
	if !w.dead && w.find(a.ref) == a {
		w.end(a, now, infra.RunStopped, "")
		w.reschedule()
	}
}

// save stores a checkpoint in the background. The caller holds w.mu.
func (w *Worker) save(a *attempt) {
	if a.nextSave <= a.done {
		a.nextSave = a.done + a.checkpointEvery()
	}
	a.saves++
	number := a.saves
	a.saving = true
	key := fmt.Sprintf("checkpoint/%s/%d-%d", a.ref.Task, a.ref.Attempt, number)
	work := a.done
	data, err := json.Marshal(savedWork{Ref: a.ref, WorkMillis: work})
	if err != nil {
		panic(err) // a struct of numbers and strings always encodes
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), saveTimeout)
		defer cancel()
		err := w.cfg.Objects.Put(ctx, key, data)
		w.saved(a, number, key, work, err)
	}()
}

// saved notes the outcome of save.
func (w *Worker) saved(a *attempt, number int, key string, work float64, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.advance(now)
	if w.dead || w.find(a.ref) != a {
		return
	}
	a.saving = number < a.saves
	if err == nil && work >= a.saved {
		a.checkpoint, a.saved = key, work
		w.cfg.Journal.checkpointed()
	}
	switch {
	case a.ending && number == a.lastSave:
		w.end(a, now, infra.RunStopped, "")
	case err == nil && !a.ending:
		w.report(infra.Report{
			Ref: a.ref, State: infra.RunRunning, Checkpoint: key, WorkMillis: int64(a.done - a.base),
		})
	}
	w.reschedule()
}

// load reads the checkpoint that an attempt resumes from until it succeeds or the attempt ends.
func (w *Worker) load(a *attempt) {
	for {
		ctx, cancel := context.WithTimeout(context.Background(), saveTimeout)
		data, err := w.cfg.Objects.Get(ctx, a.checkpoint)
		cancel()
		if w.loaded(a, data, err) {
			return
		}
		time.Sleep(loadRetry)
	}
}

// loaded notes the outcome of load and reports whether it needs no repeat.
func (w *Worker) loaded(a *attempt, data []byte, err error) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.advance(now)
	if w.dead || w.find(a.ref) != a {
		return true
	}
	var work savedWork
	if err == nil {
		err = json.Unmarshal(data, &work)
	}
	switch {
	case err == nil:
		a.done, a.base, a.saved = work.WorkMillis, work.WorkMillis, work.WorkMillis
		a.nextSave += work.WorkMillis
		a.failAt += work.WorkMillis
		a.loading = false
	case isUnavailable(err):
		return false
	default:
		w.end(a, now, infra.RunFailed, fmt.Sprintf("checkpoint %s: %v", a.checkpoint, err))
	}
	w.reschedule()
	return true
}

// sample measures the usage of all attempts. The caller holds w.mu.
func (w *Worker) sample(at time.Time) {
	w.sampledAt = at
	s := usageSample{at: at}
	for _, a := range w.attempts {
		s.usage = append(s.usage, infra.Usage{
			Ref: a.ref, Used: a.used(), SlowdownPermille: int64(w.slowdown(a) * 1000),
			CheckpointAgeMillis: int64(a.done - max(a.saved, a.base)),
		})
	}
	w.usage = append(w.usage, s)
}

// dueUsage returns the newest measurement that is old enough to be reported and drops it and all older ones. The caller
// holds w.mu.
func (w *Worker) dueUsage(now time.Time) []infra.Usage {
	lag := w.cfg.UsageLag
	if w.faults.UsageLagMillis != nil {
		lag = time.Duration(*w.faults.UsageLagMillis) * time.Millisecond
	}
	var due []infra.Usage
	for len(w.usage) > 0 && !w.usage[0].at.After(now.Add(-lag)) {
		due = w.usage[0].usage
		age := now.Sub(w.usage[0].at).Milliseconds()
		for i := range due {
			due[i].AgeMillis = age
		}
		w.usage = w.usage[1:]
	}
	return due
}
