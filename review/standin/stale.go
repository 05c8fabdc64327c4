package main

import (
	"errors"
	"fmt"
	"net/http"
	"syscall"
	"time"
)

func init() {
	cases["stale"] = struct {
		nodes int
		play  func(w *world, trouble bool) error
	}{3, playStale}
}

const (
	// maxFreeze is the longest time for which an owner stands still, and freezes how often that happens.
	maxFreeze = 4 * time.Second
	freezes   = 13
	// maxPlay is the time after which no more freezes begin.
	maxPlay = 95 * time.Second
	// heartbeatAge is how old the owner's heartbeat is when it freezes, so that a successor comes soon, give or take
	// heartbeatSlack. pollPause is the pause between two looks at the store.
	heartbeatAge   = 700 * time.Millisecond
	heartbeatSlack = 50 * time.Millisecond
	pollPause      = 5 * time.Millisecond
	// successorTime is how long the successor has the runners before some of them crash.
	successorTime = 150 * time.Millisecond
	// staleRunners is the number of runners, and staleCrashes how many of them crash at a time.
	staleRunners, staleCrashes = 29, 4
	// staleJobs is the number of jobs, and staleTasks that of the tasks of each of their steps. They keep the runners busy; each task
	// takes a third of a runner.
	staleJobs, staleTasks = 9, 300
	// restartTime is how long these runners are down.
	restartTime = 60 * time.Millisecond
	// settleTime is the time from the wake of a former owner to the next freeze.
	settleTime = 4 * time.Second
)

// playStale freezes the owner of the runners. Another node takes over and goes on with the job. When the former owner wakes,
// some of the runners have just restarted: those that were the last to answer it, whose answers it reads first.
func playStale(w *world, trouble bool) error {
	w.addRunners(staleRunners)
	w.configure(7, w.queue())
	if err := w.startNodes(); err != nil {
		return err
	}
	for i := range staleJobs {
		j := &job{ID: fmt.Sprintf("5c0e7a21d94b%04d", i), Spec: "stale"}
		for _, takes := range []time.Duration{900 * time.Millisecond, 1300 * time.Millisecond, 1700 * time.Millisecond} {
			j.Steps = append(j.Steps, step{Count: staleTasks, CPU: 21000, MemMB: 8000, EstimatedMs: takes.Milliseconds(), takes: takes})
		}
		if w.submit(w.nodes[0], j, clientDeadline) != http.StatusOK {
			return errors.New("a job was not accepted")
		}
	}
	time.Sleep(4 * time.Second)
	began := time.Now()
	for range freezes {
		if time.Since(began) > maxPlay {
			break
		}
		if !trouble {
			time.Sleep(3*time.Second + settleTime)
			continue
		}
		former := w.owner()
		if former == nil {
			return errors.New("no node owns the runners")
		}
		until := time.Now().Add(maxFreeze)
		for age := time.Duration(0); age < heartbeatAge || age > heartbeatAge+heartbeatSlack; time.Sleep(pollPause) {
			age = time.Since(w.store.lastWritten("nodes", former.name))
			if time.Now().After(until) {
				return errors.New("the owner writes no heartbeats")
			}
		}
		w.book.note("%s freezes", former.name)
		token, froze := w.fleet.highestToken(), time.Now()
		former.signal(syscall.SIGSTOP)
		for w.owner() == former && time.Since(froze) < maxFreeze-restartTime-successorTime {
			time.Sleep(pollPause)
		}
		if successor := w.owner(); successor != nil {
			w.book.note("%s owns the runners", successor.name)
		}
		time.Sleep(successorTime)
		crashing := w.fleet.lastAnswered(token, froze, staleCrashes)
		for _, r := range crashing {
			r.crash()
		}
		time.Sleep(restartTime)
		for _, r := range crashing {
			r.start([]string{"a", "r1-1"})
		}
		former.signal(syscall.SIGCONT)
		w.book.note("%s wakes after %.3f s", former.name, time.Since(froze).Seconds())
		time.Sleep(settleTime)
	}
	return nil
}
