package main

import (
	"context"
	"fmt"
	"slices"
	"sort"
	"time"

	"github.com/currantthread/currantthread/internal/emulator"
	"github.com/currantthread/currantthread/internal/wait"
	"github.com/currantthread/currantthread/runner"
	"github.com/currantthread/currantthread/workload"
)

const (
	// lease is the lease that nodes take of holdMax, with the drift and the slack that they add before they restart a task.
	lease = holdMax*6/10 + 500*time.Millisecond
	// outageTolerance is how long an owner without the store goes on. A successor waits for it and for a lease.
	outageTolerance = 12 * time.Second
	// takeoverTime covers the detection of a dead owner by its missing heartbeats and the delays between the candidates.
	takeoverTime = 6 * time.Second
	// remainingWork covers the longest chain of tasks, one failed run and the time between runs.
	remainingWork = 8 * time.Second
	// settleTimeout is how long the system may take after the last fault until every accepted job is where it should be.
	settleTimeout = takeoverTime + outageTolerance + lease + remainingWork
	// settleInterval is the pause between two looks at all jobs.
	settleInterval = 300 * time.Millisecond
	// steadyTime is for how long the settled state must last.
	steadyTime = time.Second
)

// awaitSettled queries accepted jobs until nothing is missing or the timeout has passed. What is missing then is a violation.
func (s *soak) awaitSettled(ctx context.Context) {
	began := time.Now()
	missing := []string{"nothing was checked"}
	for n := 0; len(missing) > 0 && time.Since(began) < settleTimeout && wait.For(ctx, settleInterval); n++ {
		for i, job := range s.jobs {
			if job.accepted.Load() && !job.ended() {
				s.query(job, s.nodes[(n+i)%len(s.nodes)])
			}
		}
		missing = s.missing()
	}
	s.summary.settled = time.Since(began)
	if len(missing) == 0 && wait.For(ctx, steadyTime) {
		missing = s.missing()
	}
	for _, text := range missing {
		s.violate("%s", text)
	}
}

// missing describes what differs from the state in which every accepted job has ended, or runs if it is long-running, and
// nothing else runs.
func (s *soak) missing() []string {
	var missing []string
	expected := map[workload.TaskID]bool{}
	live := s.platform.fleet.Runs()
	for _, job := range s.jobs {
		switch {
		case !job.accepted.Load() && !job.refused.Load(), job.cancelSent.Load() && !job.cancelled.Load() && job.longRunning():
			// Whether the job was accepted, or cancelled, is not known, so its tasks may run.
			for task := range live {
				expected[task] = expected[task] || task.Job == job.id
			}
		case !job.accepted.Load():
		case job.longRunning() && !job.cancelled.Load():
			for index := range job.Steps[0].Count {
				task := workload.TaskID{Job: job.id, Index: index}
				expected[task] = true
				if len(live[task]) != 1 {
					missing = append(missing, fmt.Sprintf("long-running task %v runs on %v", task, live[task]))
				}
			}
		case !job.ended():
			missing = append(missing, fmt.Sprintf("accepted job %s (%s) is %q", job.id, job.kind, job.state))
		}
	}
	for task, runners := range live {
		if !expected[task] && s.byID[task.Job].ended() {
			missing = append(missing, fmt.Sprintf("task %v of an ended job runs on %v", task, runners))
		}
	}
	sort.Strings(missing)
	return missing
}

// check compares what clients and runners observed with the guarantees.
func (s *soak) check() {
	for _, p := range s.nodes {
		for _, text := range p.selfEnded {
			s.violate("%s", text)
		}
	}
	for _, task := range s.platform.fleet.Overlaps() {
		s.violate("task %v ran in two places at once", task)
	}
	starts := s.platform.fleet.Starts()
	s.summary.starts = len(starts)
	ran := map[string]bool{}
	for _, start := range starts {
		ran[start.Task.Job] = true
		s.checkStart(start)
	}
	s.checkOrder(starts, s.platform.fleet.Ends())
	for _, job := range s.jobs {
		switch {
		case job.accepted.Load():
			s.summary.accepted++
			if job.ended() {
				s.summary.completed++
			}
		case job.refused.Load():
			s.summary.refused++
			if ran[job.id] {
				s.violate("job %s was refused at each attempt and has run", job.id)
			}
		}
	}
}

// checkStart checks a start against its job alone.
func (s *soak) checkStart(start emulator.StartRecord) {
	job := s.byID[start.Task.Job]
	if !job.completedAt.IsZero() && start.At.After(job.completedAt) {
		s.violate("task %v started after its job was shown as completed", start.Task)
	}
	label := job.Steps[start.Task.Step].Requirements
	for _, info := range s.platform.infos {
		if info.ID == start.Runner && label != "" && !slices.Contains(info.Labels, label) {
			s.violate("task %v started on %s, which lacks the label %s", start.Task, start.Runner, label)
		}
	}
}

// event is a start (end is nil) or an end of a run.
type event struct {
	at     time.Time
	task   workload.TaskID
	runner string
	end    *emulator.EndRecord
}

// stepOnRunner identifies the tasks of a step on a runner.
type stepOnRunner struct {
	job              string
	occurrence, step int
	runner           string
}

// checkOrder checks starts against earlier starts and ends: that no task starts after an acknowledged end as done, none before
// the steps that it depends on are done, and not more tasks of a step on a runner than allowed.
func (s *soak) checkOrder(starts []emulator.StartRecord, ends []emulator.EndRecord) {
	events := make([]event, 0, len(starts)+len(ends))
	for _, start := range starts {
		events = append(events, event{start.At, start.Task, start.Runner, nil})
	}
	for i := range ends {
		events = append(events, event{ends[i].At, ends[i].Task, ends[i].Runner, &ends[i]})
	}
	sort.SliceStable(events, func(a, b int) bool { return events[a].at.Before(events[b].at) })
	done, acked, active := map[workload.TaskID]bool{}, map[workload.TaskID]bool{}, map[stepOnRunner]int{}
	for _, e := range events {
		step := s.byID[e.task.Job].Steps[e.task.Step]
		key := stepOnRunner{e.task.Job, e.task.Occurrence, e.task.Step, e.runner}
		if e.end != nil {
			active[key]--
			isDone := e.end.Reason == runner.EndDone
			done[e.task] = done[e.task] || isDone
			acked[e.task] = acked[e.task] || isDone && e.end.Acked
			continue
		}
		active[key]++
		if step.AntiAffinity > 0 && active[key] > step.AntiAffinity {
			s.violate("%d tasks of step %d of job %s run on %s", active[key], e.task.Step, e.task.Job, e.runner)
		}
		if acked[e.task] {
			s.violate("a task of job %s (%s) started after its end as done was acknowledged", e.task.Job, s.byID[e.task.Job].kind)
		}
		for _, before := range step.After {
			for index := range s.byID[e.task.Job].Steps[before].Count {
				task := workload.TaskID{Job: e.task.Job, Occurrence: e.task.Occurrence, Step: before, Index: index}
				if !done[task] {
					s.violate("task %v started before %v was done", e.task, task)
				}
			}
		}
	}
}
