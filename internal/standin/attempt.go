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
	// failDelay is how long an attempt runs on a worker whose FailAll fault is set.
	failDelay = 50 * time.Millisecond
	// loadRetryInterval is the time between two attempts to read a checkpoint.
	loadRetryInterval = 500 * time.Millisecond
	// defaultWork is the work of a task whose run time is neither declared nor given in the payload.
	defaultWork = time.Second
	// defaultCheckpointWork is the work between two checkpoints of a task whose payload does not set it.
	defaultCheckpointWork = 5 * time.Second
)

// Payload is the part of a task's payload that the simulated worker reads. A payload that is not JSON counts as empty.
type Payload struct {
	// ActualMillis is the actual work in milliseconds at full speed; 0 means the declared run time.
	ActualMillis int64 `json:"actual_ms,omitempty"`
	// FailAfterMillis makes every attempt fail after this amount of work; 0 means never.
	FailAfterMillis int64 `json:"fail_after_ms,omitempty"`
	// CheckpointMillis is the work between two checkpoints; 0 means 5 s, a negative value means none.
	CheckpointMillis int64 `json:"checkpoint_ms,omitempty"`
	// Used is the actual resource usage; zero means the declared resources.
	Used job.Resources `json:"used,omitzero"`
}

// attempt is an attempt that occupies resources of a worker. The worker's mutex guards it.
type attempt struct {
	ref          infra.AttemptRef
	spec         job.TaskSpec
	payload      Payload
	journalIndex int
	replica      Replica
	// loading is set while the checkpoint to resume from is being read, stopping from the stop command on. The attempt makes
	// no progress in either state.
	loading, stopping bool
	cpuPercent        int
	// total and done are work in milliseconds, including that of earlier attempts; total is infinite for a task that
	// does not end by itself. resumed is the work that the attempt resumed from.
	total, done, resumed float64
	// failAt is the work after which the attempt fails.
	failAt float64
	// checkpoint is the key of the newest stored checkpoint, which contains the work saved. saving is set while a checkpoint
	// is being stored.
	checkpoint string
	saved      float64
	saving     bool
	saves      int
	// nextSave is the work at which the next checkpoint is due.
	nextSave float64
	// lastSave is the number of the checkpoint after which a stopping attempt ends.
	lastSave int
}

// savedWork is the content of a checkpoint.
type savedWork struct {
	Ref        infra.AttemptRef `json:"ref"`
	WorkMillis float64          `json:"work_ms"`
}

// startAttempt starts an attempt. The caller holds w.mu.
func (w *Worker) startAttempt(c infra.Command, now time.Time) {
	a := newAttempt(c)
	w.latest[c.Ref.Task] = infra.Report{Ref: c.Ref, State: infra.RunRunning}
	if w.faults.FailAll {
		a.failAt = a.done + float64(failDelay.Milliseconds())
	}
	if a.spec.Class == job.ClassService {
		replica, err := w.cfg.Open(c.Ref, c.Spec)
		if err != nil {
			end := infra.Report{Ref: c.Ref, State: infra.RunFailed, Error: err.Error()}
			w.latest[c.Ref.Task] = end
			w.queueReport(end)
			return
		}
		a.replica = replica
	}
	if len(w.attempts) == 0 {
		// Usage is not measured while the worker is idle.
		w.sampledAt = now
	}
	w.attempts[c.Ref.Task] = a
	a.journalIndex = w.cfg.Journal.recordStart(Run{
		Ref: a.ref, Class: a.spec.Class, Worker: w.cfg.ID, Domain: w.cfg.Domain, StartNanos: now.UnixNano(),
	}, !w.committed().Fits(w.cfg.Capacity))
	w.queueReport(infra.Report{Ref: a.ref, State: infra.RunRunning, Checkpoint: a.checkpoint})
	if a.checkpoint != "" {
		a.loading = true
		go w.loadCheckpoint(a)
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
		a.nextSave = a.checkpointWork()
	}
	return a
}

func (a *attempt) checkpointWork() float64 {
	if a.payload.CheckpointMillis > 0 {
		return float64(a.payload.CheckpointMillis)
	}
	return float64(defaultCheckpointWork.Milliseconds())
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

// slowdown returns the slow-down of an attempt, or of the resident runner if subject is nil. The caller holds w.mu.
func (w *Worker) slowdown(subject *attempt) float64 {
	kind := w.cfg.ResidentKind
	var neighbours []neighbour
	if subject != nil {
		kind = subject.kind()
		if w.cfg.Resident != nil {
			neighbours = append(neighbours, neighbour{w.cfg.ResidentKind, w.cfg.ResidentShare})
		}
	}
	capacity := float64(max(w.cfg.Capacity.CPUMilli, 1))
	for _, a := range w.attempts {
		if a != subject && !a.stopping && !a.loading {
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

// workRate returns the work in milliseconds that a does per millisecond. The caller holds w.mu.
func (w *Worker) workRate(a *attempt) float64 {
	if a.loading || a.stopping {
		return 0
	}
	return float64(a.cpuPercent) / 100 / w.slowdown(a)
}

// timeAtWork returns when the work done by a reaches the given amount, or the zero time if it never does. The caller holds
// w.mu.
func (w *Worker) timeAtWork(a *attempt, work float64) time.Time {
	rate := w.workRate(a)
	if rate <= 0 || math.IsInf(work, 1) {
		return time.Time{}
	}
	millis := max(work-a.done, 0) / rate
	// Rounding up ensures that the work is done at the returned time.
	return w.accruedAt.Add(time.Duration(math.Ceil(millis * float64(time.Millisecond))))
}

// finishTime returns when a completes or fails, or the zero time if it does not end by itself. The caller holds w.mu.
func (w *Worker) finishTime(a *attempt) time.Time {
	return w.timeAtWork(a, min(a.total, a.failAt))
}

// event is a change of the worker's state that is due at a known time.
type event struct {
	at     time.Time
	handle func(at time.Time)
}

// nextEvent returns the earliest event, or one with the zero time if none is due. The caller holds w.mu.
func (w *Worker) nextEvent() event {
	var first event
	add := func(at time.Time, handle func(time.Time)) {
		if !at.IsZero() && (first.at.IsZero() || at.Before(first.at)) {
			first = event{at, handle}
		}
	}
	for _, a := range w.attempts {
		if a.spec.Class.Exclusive() {
			add(w.leaseUntil, w.expireLease)
		}
		add(w.finishTime(a), func(at time.Time) { w.finishAttempt(a, at) })
		if !a.saving {
			add(w.timeAtWork(a, a.nextSave), func(time.Time) { w.saveCheckpoint(a) })
		}
	}
	if len(w.attempts) > 0 {
		add(w.sampledAt.Add(usageInterval), w.measureUsage)
	}
	return first
}

// advance applies every event up to now in order of time. After a pause of the process it thus stops attempts as of the
// instant at which the lease expired. The caller holds w.mu.
func (w *Worker) advance(now time.Time) {
	for !w.dead {
		e := w.nextEvent()
		if e.at.IsZero() || e.at.After(now) {
			break
		}
		w.accrueWork(e.at)
		e.handle(e.at)
	}
	w.accrueWork(now)
}

// accrueWork adds the work done up to now to all attempts. The caller holds w.mu.
func (w *Worker) accrueWork(now time.Time) {
	elapsed := now.Sub(w.accruedAt)
	if elapsed <= 0 {
		return
	}
	millis := float64(elapsed) / float64(time.Millisecond)
	work := make(map[*attempt]float64, len(w.attempts))
	for _, a := range w.attempts {
		work[a] = w.workRate(a) * millis
	}
	for a, done := range work {
		a.done += done
	}
	w.accruedAt = now
}

// onTimer applies the events that are due. The timer calls it.
func (w *Worker) onTimer() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.dead {
		return
	}
	w.advance(time.Now())
	w.reschedule()
}

// reschedule sets the timer to the next event and passes the current slow-downs to the runners. The caller holds w.mu.
func (w *Worker) reschedule() {
	if w.dead {
		return
	}
	if e := w.nextEvent(); !e.at.IsZero() {
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

// expireLease stops every exclusive attempt because the lease expired. The caller holds w.mu.
func (w *Worker) expireLease(at time.Time) {
	for _, a := range w.attempts {
		if a.spec.Class.Exclusive() {
			w.cfg.Journal.recordEnd(a.journalIndex, at, infra.RunStopped, true)
			w.removeAttempt(a, infra.RunStopped, "lease ran out")
		}
	}
}

func (w *Worker) finishAttempt(a *attempt, at time.Time) {
	if a.failAt <= a.total {
		w.endAttempt(a, at, infra.RunFailed, "task failed")
		return
	}
	w.endAttempt(a, at, infra.RunCompleted, "")
}

// endAttempt ends an attempt and reports its end. The caller holds w.mu.
func (w *Worker) endAttempt(a *attempt, at time.Time, state infra.RunState, reason string) {
	w.cfg.Journal.recordEnd(a.journalIndex, at, state, false)
	w.removeAttempt(a, state, reason)
}

func (w *Worker) removeAttempt(a *attempt, state infra.RunState, reason string) {
	delete(w.attempts, a.ref.Task)
	if a.replica != nil {
		a.replica.Kill()
	}
	end := infra.Report{
		Ref: a.ref, State: state, Checkpoint: a.checkpoint, WorkMillis: int64(a.done - a.resumed), Error: reason,
	}
	// The newest report stays if a later attempt was refused while this one ran.
	if w.latest[a.ref.Task].Ref == a.ref {
		w.latest[a.ref.Task] = end
	}
	w.queueReport(end)
}

// finishStop ends a service attempt after its runner was closed.
func (w *Worker) finishStop(a *attempt) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.advance(now)
	if !w.dead && w.findAttempt(a.ref) == a {
		w.endAttempt(a, now, infra.RunStopped, "")
		w.reschedule()
	}
}

// saveCheckpoint stores a checkpoint in the background. The caller holds w.mu.
func (w *Worker) saveCheckpoint(a *attempt) {
	if a.nextSave <= a.done {
		a.nextSave = a.done + a.checkpointWork()
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
		w.finishSave(a, number, key, work, err)
	}()
}

// finishSave records the outcome of saveCheckpoint.
func (w *Worker) finishSave(a *attempt, number int, key string, work float64, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.advance(now)
	if w.dead || w.findAttempt(a.ref) != a {
		return
	}
	a.saving = number < a.saves
	if err == nil && work >= a.saved {
		a.checkpoint, a.saved = key, work
		w.cfg.Journal.recordCheckpoint()
	}
	switch {
	case a.stopping && number == a.lastSave:
		w.endAttempt(a, now, infra.RunStopped, "")
	case err == nil && !a.stopping:
		w.queueReport(infra.Report{
			Ref: a.ref, State: infra.RunRunning, Checkpoint: key, WorkMillis: int64(a.done - a.resumed),
		})
	}
	w.reschedule()
}

// loadCheckpoint reads the checkpoint that an attempt resumes from. It retries until the read succeeds or the attempt ends.
func (w *Worker) loadCheckpoint(a *attempt) {
	for {
		ctx, cancel := context.WithTimeout(context.Background(), saveTimeout)
		data, err := w.cfg.Objects.Get(ctx, a.checkpoint)
		cancel()
		if w.finishLoad(a, data, err) {
			return
		}
		time.Sleep(loadRetryInterval)
	}
}

// finishLoad records the outcome of a read of loadCheckpoint. It returns false if the read must be retried.
func (w *Worker) finishLoad(a *attempt, data []byte, err error) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.advance(now)
	if w.dead || w.findAttempt(a.ref) != a {
		return true
	}
	var work savedWork
	if err == nil {
		err = json.Unmarshal(data, &work)
	}
	switch {
	case err == nil:
		a.done, a.resumed, a.saved = work.WorkMillis, work.WorkMillis, work.WorkMillis
		a.nextSave += work.WorkMillis
		a.failAt += work.WorkMillis
		a.loading = false
	case isUnavailable(err):
		return false
	default:
		w.endAttempt(a, now, infra.RunFailed, fmt.Sprintf("checkpoint %s: %v", a.checkpoint, err))
	}
	w.reschedule()
	return true
}

// measureUsage records the usage of all attempts. The caller holds w.mu.
func (w *Worker) measureUsage(at time.Time) {
	w.sampledAt = at
	s := usageSample{at: at}
	for _, a := range w.attempts {
		s.usage = append(s.usage, infra.Usage{
			Ref: a.ref, Used: a.used(), SlowdownPermille: int64(w.slowdown(a) * 1000),
			CheckpointAgeMillis: int64(a.done - max(a.saved, a.resumed)),
		})
	}
	w.usage = append(w.usage, s)
}

// dueUsage returns the newest measurement that is old enough to be reported, and removes it and all older ones. The caller
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
