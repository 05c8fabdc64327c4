package main

import (
	"fmt"
	"os"
	"sort"
	"sync"
	"time"
)

// step is a step of a job as submitted, and how its tasks behave.
type step struct {
	Count           int    `json:"count"`
	CPU             int64  `json:"cpu,omitempty"`
	MemMB           int64  `json:"mem_mb,omitempty"`
	GPU             int64  `json:"gpu,omitempty"`
	EstimatedMs     int64  `json:"estimated_ms,omitempty"`
	After           []int  `json:"after,omitempty"`
	Gang            bool   `json:"gang,omitempty"`
	Requirements    string `json:"requirements,omitempty"`
	AntiAffinity    int    `json:"anti_affinity,omitempty"`
	AllowDuplicates bool   `json:"allow_duplicates,omitempty"`
	LongRunning     bool   `json:"long_running,omitempty"`
	Fills           bool   `json:"fills,omitempty"`
	Image           string `json:"image,omitempty"`
	takes           time.Duration
	fails           func(t taskName, run int) bool
	endsAnyway      bool
}

// job is a job as submitted.
type job struct {
	ID          string `json:"-"`
	Spec        string `json:"spec"`
	Steps       []step `json:"steps"`
	RepeatCount int    `json:"repeat_count,omitempty"`
	StartAtMs   int64  `json:"start_at_ms,omitempty"`
	IntervalMs  int64  `json:"interval_ms,omitempty"`

	// cancelledAt is when a cancellation was acknowledged; zero if none was.
	cancelledAt time.Time
	// acceptedAt is when a submission was answered with 2xx.
	acceptedAt time.Time
	// rejected and otherwise count the answers to submissions.
	rejected, otherwise int
}

// startedRun is a start that a runner has executed.
type startedRun struct {
	at     time.Time
	runner string
	task   taskName
	number int
	token  int64
	how    string // how it ended; empty while it runs
	endAt  time.Time
	acked  bool
}

// contactTime is contact_ms.
const contactTime = 4 * time.Second

// book records what clients, runners and the platform see, and checks the rules.
type book struct {
	mu      sync.Mutex
	began   time.Time
	out     *os.File
	service string
	jobs    map[string]*job
	starts  []*startedRun
	byTask  map[taskName][]*startedRun
	// violations are the rules that were seen broken, by name.
	violations map[string][]string
	// bounds of the rules
	cancelBound time.Duration
	maxAttempts int
	// calmFrom is when the machines are in touch again; starts before it are not judged by rules with a time bound.
	calmFrom time.Time
}

func newBook(path string) (*book, error) {
	out, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &book{began: time.Now(), out: out, service: "belownia", jobs: map[string]*job{}, byTask: map[taskName][]*startedRun{},
		violations: map[string][]string{}, cancelBound: 3 * time.Second, maxAttempts: 3}, nil
}

// note writes a line to the record.
func (b *book) note(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.write(format, args...)
}

func (b *book) write(format string, args ...any) {
	fmt.Fprintf(b.out, "%8.3f  %s\n", time.Since(b.began).Seconds(), fmt.Sprintf(format, args...))
}

// broken records that a rule was broken. The caller holds mu.
func (b *book) broken(rule, format string, args ...any) {
	what := fmt.Sprintf(format, args...)
	b.violations[rule] = append(b.violations[rule], what)
	b.write("BROKEN %s: %s", rule, what)
}

// disruptedUntil records when the last disruption ends. Machines are in touch contactTime after it.
func (b *book) disruptedUntil(t time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if calm := t.Add(contactTime); calm.After(b.calmFrom) {
		b.calmFrom = calm
		b.write("the machines are in touch from %.3f on", calm.Sub(b.began).Seconds())
	}
}

func (b *book) add(j *job) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.jobs[j.ID] = j
}

func (b *book) stepOf(t taskName) *step {
	b.mu.Lock()
	defer b.mu.Unlock()
	j := b.jobs[t.job]
	if j == nil || t.step >= len(j.Steps) {
		return nil
	}
	return &j.Steps[t.step]
}

// started records a start on a runner and checks it. The caller holds the fleet's mu.
func (b *book) started(l *life, r *run, o order) {
	s := b.stepOf(r.task)
	var used capacity
	if s != nil {
		used = l.used()
	}
	sameStep := 0
	for _, other := range l.running {
		if other.task.job == r.task.job && other.task.k == r.task.k && other.task.step == r.task.step {
			sameStep++
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.write("%s starts %s run %d, token %d", l.runner.id, r.task, r.number, o.FencingToken)
	record := &startedRun{at: now, runner: l.runner.id, task: r.task, number: r.number, token: o.FencingToken}
	j := b.jobs[r.task.job]
	if j == nil || s == nil {
		b.broken("UNASKED", "%s starts %s, which no client sent", l.runner.id, r.task)
		return
	}
	if o.Spec != j.Spec {
		b.broken("UNASKED", "%s starts %s with another spec", l.runner.id, r.task)
	}
	if !j.cancelledAt.IsZero() && now.Sub(j.cancelledAt) > b.cancelBound && !now.Before(b.calmFrom) {
		b.broken("UNASKED", "%s starts %s %.3f s after the cancelling of its job was acknowledged", l.runner.id, r.task, now.Sub(j.cancelledAt).Seconds())
	}
	if s.Requirements != "" {
		has := false
		for _, label := range l.labels {
			has = has || label == s.Requirements
		}
		if !has {
			b.broken("ROUTE", "%s starts %s, which requires the label %q; its labels are %q", l.runner.id, r.task, s.Requirements, l.labels)
		}
	}
	if s.AntiAffinity > 0 && sameStep > s.AntiAffinity {
		b.broken("ROUTE", "%s has %d tasks of the step of %s, at most %d may be there", l.runner.id, sameStep, r.task, s.AntiAffinity)
	}
	has := l.runner.capacity
	if used.CPU > has.CPU || used.MemMB > has.MemMB || used.GPU > has.GPU {
		b.broken("LIMIT", "%s starts %s and is over its capacity: %+v of %+v", l.runner.id, r.task, used, has)
	}
	failed := 0
	for _, other := range b.byTask[r.task] {
		switch {
		case other.how == "" && !s.AllowDuplicates:
			b.broken("TWICE", "%s starts %s run %d while %s runs run %d", l.runner.id, r.task, r.number, other.runner, other.number)
		case other.how == "done" && other.acked && !s.LongRunning && !s.AllowDuplicates:
			b.broken("TWICE", "%s starts %s run %d after run %d has ended done on %s", l.runner.id, r.task, r.number, other.number, other.runner)
		case other.how == "failed" && other.acked:
			failed++
		}
	}
	if failed >= b.maxAttempts && !s.LongRunning {
		b.broken("BUDGET", "%s starts %s run %d after %d failed runs", l.runner.id, r.task, r.number, failed)
	}
	for _, before := range s.After {
		for i := range j.Steps[before].Count {
			if !b.isDone(taskName{r.task.job, r.task.k, before, i}, j.Steps[before].Gang) {
				b.broken("ORDER", "%s starts %s before step %d is done", l.runner.id, r.task, before)
				break
			}
		}
	}
	if j.StartAtMs > 0 {
		due := time.UnixMilli(j.StartAtMs + int64(r.task.k)*j.IntervalMs)
		if early := due.Sub(now); early > 250*time.Millisecond {
			b.broken("ORDER", "%s starts %s %.3f s before its time", l.runner.id, r.task, early.Seconds())
		}
	}
	b.starts = append(b.starts, record)
	b.byTask[r.task] = append(b.byTask[r.task], record)
}

// isDone reports whether a run of a task has ended done. The caller holds mu.
func (b *book) isDone(t taskName, gang bool) bool {
	for _, r := range b.byTask[t] {
		if r.how == "done" {
			return true
		}
	}
	return gang && t.index > 0 && b.isDone(taskName{t.job, t.k, t.step, 0}, false)
}

func (b *book) find(l *life, t taskName, number int) *startedRun {
	list := b.byTask[t]
	for i := len(list) - 1; i >= 0; i-- {
		if list[i].number == number && list[i].runner == l.runner.id {
			return list[i]
		}
	}
	return nil
}

// ended records the end of a run. The caller holds the fleet's mu.
func (b *book) ended(l *life, r *run, how string, number int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.write("%s ends %s run %d: %s (end %d)", l.runner.id, r.task, r.number, how, number)
	if record := b.find(l, r.task, r.number); record != nil {
		record.how, record.endAt = how, time.Now()
	}
	if j := b.jobs[r.task.job]; how == "alone" && j != nil && j.cancelledAt.IsZero() {
		b.broken("GANG", "%s ends %s run %d alone", l.runner.id, r.task, r.number)
	}
}

// acknowledged records that an end was taken note of. The caller holds the fleet's mu.
func (b *book) acknowledged(l *life, e endedRun) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.write("%s: end %d of %s is taken note of", l.runner.id, e.number, e.task)
	record := b.find(l, e.task, e.run)
	if record == nil || l.lapsedAt.After(record.endAt) {
		// An end before a lapse of the runner's lease counts as not taken note of.
		return
	}
	record.acked = true
	if e.how == "failed" {
		b.checkBudget(e.task)
	}
	if e.how == "done" {
		for _, other := range b.byTask[e.task] {
			if other != record && other.at.After(record.endAt) {
				b.broken("TWICE", "%s run %d started on %s after run %d was done", e.task, other.number, other.runner, e.run)
			}
		}
	}
}

// checkBudget checks that no run of a task began after its last attempt had failed. The caller holds mu.
func (b *book) checkBudget(t taskName) {
	j := b.jobs[t.job]
	if j == nil || j.Steps[t.step].LongRunning {
		return
	}
	var failures []time.Time
	for _, r := range b.byTask[t] {
		if r.how == "failed" && r.acked {
			failures = append(failures, r.endAt)
		}
	}
	if len(failures) < b.maxAttempts {
		return
	}
	sort.Slice(failures, func(x, y int) bool { return failures[x].Before(failures[y]) })
	for _, r := range b.byTask[t] {
		if r.at.After(failures[b.maxAttempts-1]) {
			b.broken("BUDGET", "%s run %d started after %d failed runs", t, r.number, b.maxAttempts)
		}
	}
}

// mostFailures returns the most failed runs of any task of a job.
func (b *book) mostFailures(id string) int {
	most := 0
	gangs := map[taskName]map[int]bool{}
	for t, list := range b.byTask {
		if t.job != id {
			continue
		}
		key := t
		if b.jobs[id].Steps[t.step].Gang {
			key.index = 0
		}
		if gangs[key] == nil {
			gangs[key] = map[int]bool{}
		}
		for _, r := range list {
			if r.how == "failed" {
				gangs[key][r.number] = true
			}
		}
		most = max(most, len(gangs[key]))
	}
	return most
}

// allDone reports whether all tasks of a job have ended done.
func (b *book) allDone(id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	j := b.jobs[id]
	for k := range max(j.RepeatCount, 1) {
		for s := range j.Steps {
			for i := range j.Steps[s].Count {
				if !b.isDone(taskName{id, k, s, i}, j.Steps[s].Gang) {
					return false
				}
			}
		}
	}
	return true
}
