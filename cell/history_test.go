package cell_test

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/currantthread/currantthread/infra"
	"github.com/currantthread/currantthread/job"
)

// run is the actual execution of one attempt on a worker.
type run struct {
	ref         infra.AttemptRef
	worker      string
	domain      string
	incarnation string
	class       job.Class
	resources   job.Resources
	checkpoint  string
	start, end  time.Time
	ended       bool
}

// history records what happened on the workers. The checks of G1 to G4 use nothing else.
type history struct {
	mu         sync.Mutex
	runs       []*run
	outPeriods map[string][]interval // by failure domain: when it was out
	// acknowledged maps an attempt whose end the owner has acknowledged to its last checkpoint.
	acknowledged map[infra.AttemptRef]string
}

// interval is a time interval; it is open if to is zero.
type interval struct{ from, to time.Time }

func newHistory() *history {
	return &history{outPeriods: map[string][]interval{}, acknowledged: map[infra.AttemptRef]string{}}
}

func (h *history) recordStart(r *run) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.runs = append(h.runs, r)
}

func (h *history) recordStop(r *run, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r.end, r.ended = at, true
}

func (h *history) recordDomainOut(domain string, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	// A repeated command while the domain is out changes nothing.
	if list := h.outPeriods[domain]; len(list) == 0 || !list[len(list)-1].to.IsZero() {
		h.outPeriods[domain] = append(list, interval{from: at})
	}
}

func (h *history) recordDomainIn(domain string, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	list := h.outPeriods[domain]
	if len(list) > 0 && list[len(list)-1].to.IsZero() {
		list[len(list)-1].to = at
	}
}

func (h *history) starts() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.runs)
}

// startDeadline is the limit of F7 and G4: how long after an out-command a task may still start.
const startDeadline = 3 * time.Second

// check returns every violation of G1 to G4.
func (h *history) check(capacity map[string]job.Resources) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Concat(h.checkCapacity(capacity), h.checkExclusive(), h.checkResumed(), h.checkDomains())
}

// checkCapacity checks G1: the tasks that run on a worker never exceed its capacity.
func (h *history) checkCapacity(capacity map[string]job.Resources) []string {
	type edge struct {
		at    time.Time
		start bool
		run   *run
	}
	edges := map[string][]edge{}
	for _, r := range h.runs {
		edges[r.worker] = append(edges[r.worker], edge{r.start, true, r})
		if r.ended {
			edges[r.worker] = append(edges[r.worker], edge{r.end, false, r})
		}
	}
	var violations []string
	for _, worker := range sortedKeys(edges) {
		list := edges[worker]
		slices.SortStableFunc(list, func(a, b edge) int {
			if c := a.at.Compare(b.at); c != 0 {
				return c
			}
			// At the same instant, ends come before starts because they free resources.
			if a.start != b.start && a.start {
				return 1
			}
			return -1
		})
		var used job.Resources
		for _, e := range list {
			if !e.start {
				used = used.Sub(e.run.resources)
				continue
			}
			used = used.Add(e.run.resources)
			if !used.Fits(capacity[worker]) {
				violations = append(violations, fmt.Sprintf("G1: %s runs %+v of %+v with %v at %s",
					worker, used, capacity[worker], e.run.ref, e.at.Format(timeFormat)))
			}
		}
	}
	return violations
}

const timeFormat = "15:04:05.000"

func (h *history) byTask() map[job.TaskID][]*run {
	tasks := map[job.TaskID][]*run{}
	for _, r := range h.runs {
		tasks[r.ref.Task] = append(tasks[r.ref.Task], r)
	}
	for _, runs := range tasks {
		slices.SortStableFunc(runs, func(a, b *run) int { return a.start.Compare(b.start) })
	}
	return tasks
}

// checkExclusive checks G2: two attempts of a batch or standing task never overlap.
func (h *history) checkExclusive() []string {
	var violations []string
	tasks := h.byTask()
	for _, id := range sortedKeys(tasks) {
		runs := tasks[id]
		for i, r := range runs {
			for _, earlier := range runs[:i] {
				if r.class.Exclusive() && (!earlier.ended || earlier.end.After(r.start)) {
					violations = append(violations, fmt.Sprintf("G2: %v starts on %s at %s while %v runs on %s (%s to %s)",
						r.ref, r.worker, r.start.Format(timeFormat), earlier.ref, earlier.worker,
						earlier.start.Format(timeFormat), earlier.end.Format(timeFormat)))
				}
			}
		}
	}
	return violations
}

// checkResumed checks G3: each attempt starts once, in order, and from the last checkpoint of the previous attempt.
func (h *history) checkResumed() []string {
	var violations []string
	tasks := h.byTask()
	for _, id := range sortedKeys(tasks) {
		runs := tasks[id]
		for i, r := range runs {
			if i > 0 && runs[i-1].ref.Attempt >= r.ref.Attempt {
				violations = append(violations, fmt.Sprintf("G3: %v starts on %s after %v", r.ref, r.worker, runs[i-1].ref))
			}
			previous := infra.AttemptRef{Task: id, Attempt: r.ref.Attempt - 1}
			want, acknowledged := h.acknowledged[previous]
			if acknowledged && want != "" && r.checkpoint != want {
				violations = append(violations, fmt.Sprintf("G3: %v starts from %q, want %q", r.ref, r.checkpoint, want))
			}
		}
	}
	return violations
}

// checkDomains checks G4: no task starts in a failure domain later than startDeadline after it was taken out.
func (h *history) checkDomains() []string {
	var violations []string
	for _, r := range h.runs {
		for _, out := range h.outPeriods[r.domain] {
			late := r.start.Sub(out.from)
			if late > startDeadline && (out.to.IsZero() || r.start.Before(out.to)) {
				violations = append(violations, fmt.Sprintf("G4: %v starts in %s %s after it was taken out", r.ref, r.domain, late))
			}
		}
	}
	return violations
}

// lastStart returns how long after the latest out-command of a domain its last task started, and how many tasks started
// after the command.
func (h *history) lastStart(domain string) (last time.Duration, count int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := h.outPeriods[domain][len(h.outPeriods[domain])-1]
	for _, r := range h.runs {
		if r.domain == domain && r.start.After(out.from) && (out.to.IsZero() || r.start.Before(out.to)) {
			last = max(last, r.start.Sub(out.from))
			count++
		}
	}
	return last, count
}
