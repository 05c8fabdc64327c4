package main

import (
	"errors"
	"net/http"
	"time"
)

func init() {
	cases["cancel"] = struct {
		nodes int
		play  func(w *world, trouble bool) error
	}{3, playCancel}
}

const (
	// lostTime is how long the answers of the store are lost, and lateTime how much later it does the writes: the site file of the
	// users and the list of kinds allow 4.5 s and 1 to 6 s.
	lostTime = 4500 * time.Millisecond
	lateTime = 6 * time.Second
	// cancelSteps is the number of steps of the cancelled job, each of which takes stepTime.
	cancelSteps = 9
	stepTime    = 2 * time.Second
)

// storesJob reports whether a transaction stores a new job.
func storesJob(txn *transaction, id string) bool {
	for _, wr := range txn.Writes {
		if wr.Table == "jobs" && wr.Key == id {
			return true
		}
	}
	return false
}

// playCancel hands a job in while the answers of the store are lost. The client gets no decision within its deadline and
// cancels the job. It is told that there is no such job.
func playCancel(w *world, trouble bool) error {
	w.addRunners(6)
	w.configure(7, w.queue())
	if err := w.startNodes(); err != nil {
		return err
	}
	owner := w.owner()
	if owner == nil {
		return errors.New("no node owns the runners")
	}
	j := &job{ID: "5c0e7a21d94b36f8", Spec: "cancelled"}
	for i := range cancelSteps {
		s := step{Count: 4, CPU: 2000, MemMB: 1000, EstimatedMs: stepTime.Milliseconds(), takes: stepTime}
		if i > 0 {
			s.After = []int{i - 1}
		}
		j.Steps = append(j.Steps, s)
	}
	if trouble {
		until := time.Now().Add(lostTime)
		w.book.disruptedUntil(until)
		w.store.setFault(func(node string, txn *transaction) storeFault {
			if !storesJob(txn, j.ID) || time.Now().After(until) {
				return storeFault{}
			}
			w.book.note("store: a write of %s that stores the job is not answered and done %v later", node, lateTime)
			w.book.disruptedUntil(time.Now().Add(lateTime))
			return storeFault{late: lateTime}
		})
		time.AfterFunc(lostTime, func() {
			w.book.note("store: %d of %d writes were not answered", w.store.faultyWrites(), w.store.allWrites())
		})
	}
	w.store.countFromHere()
	n := w.other(owner)
	w.submit(n, j, clientDeadline)
	for range 5 {
		if status := w.cancel(n, j); status == http.StatusGone || status >= 200 && status < 300 {
			break
		}
		time.Sleep(300 * time.Millisecond)
	}
	for range 12 {
		time.Sleep(stepTime)
		w.state(n, j.ID)
	}
	return nil
}
