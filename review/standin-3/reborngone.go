package main

import (
	"errors"
	"fmt"
	"syscall"
	"time"
)

const (
	lastingTasks = 12
	rebornAfter  = 1 * time.Second
	goneAfter    = 3 * time.Second
	cutEndsAfter = 5 * time.Second
	// By the rule LOST a task that lasts may be without a run for 6 s, and then for the 4 s that must be calm and the 3 s in which it does not run.
	lastRunSlack = 6 * time.Second
	calmBefore   = 4 * time.Second
	lostAfter    = 3 * time.Second
	// watchFor is how long the tasks are watched after the last disruption.
	watchFor = 32 * time.Second
)

// playRebornGone: a runner with tasks that last is cut off, its process crashes behind the cut and starts again under its ID. Then the runner is lost
// for good, and the owner loses power at the same moment.
func playRebornGone(w *world, trouble bool) error {
	const job = "5c0e7a21d94b0003"
	task := func(i int) string { return fmt.Sprintf("%s.0.0.%d", job, i) }
	time.Sleep(2 * time.Second)
	if !w.submit(job, map[string]any{"spec": "0:0:12000", "steps": []map[string]any{{"count": lastingTasks, "cpu": 12000, "mem_mb": 1000,
		"estimated_ms": 1000, "long_running": true}}}) {
		return errors.New("the job was not accepted")
	}
	time.Sleep(6 * time.Second)
	for i := range lastingTasks {
		if w.runnerOf(task(i)) == nil {
			return fmt.Errorf("task %s does not run", task(i))
		}
	}
	m := w.runnerOf(task(0))
	lastRun, lastDisruption := time.Now(), time.Now()
	if trouble {
		owner := w.owner()
		if owner == nil {
			return errors.New("no node owns the cell")
		}
		began := time.Now()
		m.setCut(true)
		time.Sleep(rebornAfter)
		m.crash()
		lastRun = time.Now()
		m.restart()
		time.Sleep(time.Until(began.Add(goneAfter)))
		m.mu.Lock()
		m.kill()
		m.mu.Unlock()
		w.record("runner %s is gone for good", m.id)
		owner.signal(syscall.SIGKILL)
		time.Sleep(time.Until(began.Add(cutEndsAfter)))
		w.record("the cut ends, nothing answers at the runner's address")
		lastDisruption = time.Now()
	}
	bound := lastRun.Add(lastRunSlack)
	if calm := lastDisruption.Add(calmBefore); calm.After(bound) {
		bound = calm
	}
	bound = bound.Add(lostAfter)
	missing := map[int]bool{}
	for began := time.Now(); time.Since(began) < watchFor; time.Sleep(20 * time.Millisecond) {
		for i := range lastingTasks {
			runs := w.runnerOf(task(i)) != nil
			switch {
			case !runs && !missing[i] && time.Now().After(bound):
				missing[i] = true
				w.mu.Lock()
				w.breakRule("LOST: %s has not run for %.1f s, the last disruption ended %.1f s ago, and most of the runners' room is free", task(i),
					time.Since(lastRun).Seconds(), time.Since(lastDisruption).Seconds())
				w.mu.Unlock()
			case runs && missing[i]:
				delete(missing, i)
				w.record("%s runs again, %.1f s after its last run", task(i), time.Since(lastRun).Seconds())
			}
		}
	}
	return nil
}
