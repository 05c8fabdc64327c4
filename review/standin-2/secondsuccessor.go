package main

import (
	"fmt"
	"sort"
	"time"
)

// takeoverLimit is how long the case waits for a successor.
const takeoverLimit = 10 * time.Second

// secondSuccessor removes the owner and a runner for good, and the owner's successor as it has taken over.
func secondSuccessor(w *world, trouble bool) ([]string, error) {
	if err := w.startAll(); err != nil {
		return nil, errCannotRun{err.Error()}
	}
	jobs := lastingJobs(4)
	for i, j := range jobs {
		w.submit(j, i)
		if !j.accepted {
			return nil, errCannotRun{"a job was not accepted before the disruption"}
		}
	}
	if err := w.awaitAtWork(jobs, 15*time.Second); err != nil {
		return nil, err
	}
	time.Sleep(calmBefore + 2*time.Second)
	lostAt, calmFrom := time.Now(), time.Now()
	if trouble {
		owner, _ := w.ownerRow()
		if owner == nil {
			return nil, errCannotRun{"no machine of the system writes under a condition"}
		}
		lost := w.busiestRunner()
		w.record.note("DISRUPTION: the machine %s and the runner %s are removed for good", owner.name, lost.id)
		lost.crash(true)
		owner.kill()
		successor := owner
		for deadline := time.Now().Add(takeoverLimit); successor == owner; time.Sleep(time.Millisecond) {
			if time.Now().After(deadline) {
				return nil, errCannotRun{"no other machine took over"}
			}
			successor, _ = w.ownerRow()
		}
		successor.kill()
		w.record.note("DISRUPTION: %s, which wrote under the condition last, is removed for good", successor.name)
		calmFrom = time.Now()
	}
	time.Sleep(observed)
	return w.waitedFrom(lostAt, calmFrom), nil
}

// waitedFrom returns the tasks that last whose run ended at the disruption and that did not run for lastingSpan, of which the calmBefore before it
// was calm too, from lastingWait after that run.
func (w *world) waitedFrom(lostAt, calmFrom time.Time) (broken []string) {
	for task, runs := range w.record.byTask() {
		for i, u := range runs {
			if u.ended.IsZero() || u.ended.Before(lostAt) {
				continue
			}
			next := time.Now()
			if i+1 < len(runs) {
				next = runs[i+1].began
			}
			from := u.ended.Add(lastingWait)
			if calm := calmFrom.Add(calmBefore); calm.After(from) {
				from = calm
			}
			waited, limit := next.Sub(u.ended), from.Add(lastingSpan).Sub(u.ended)
			w.record.note("%s waited %.2f s for its next run, allowed are %.2f s", task, waited.Seconds(), limit.Seconds())
			if waited > limit {
				broken = append(broken, fmt.Sprintf("LOST: %s, which lasts, did not run for %.1f s after its run on %s had ended; allowed are %.1f s", task, waited.Seconds(), u.runner, limit.Seconds()))
			}
		}
	}
	sort.Strings(broken)
	return broken
}
