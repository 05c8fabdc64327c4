package sched

import "slices"

// healthFilter keeps starts away from workers that failed different jobs in a row.
type healthFilter struct{}

func (healthFilter) name() string { return "get no starts after failing different jobs in a row" }
func (healthFilter) cause() Cause { return CauseNoWorker }
func (healthFilter) allows(q *request, w *worker) bool {
	if w.health.bad {
		return false
	}
	return !w.health.probation || len(w.tasks) == 0
}

// failedOnFilter keeps a task away from workers on which it failed before.
type failedOnFilter struct{}

func (failedOnFilter) name() string { return "failed this task before" }
func (failedOnFilter) cause() Cause { return CauseNoWorker }
func (failedOnFilter) allows(q *request, w *worker) bool {
	return len(q.entry.task.FailedOn) == 0 || !slices.Contains(q.entry.task.FailedOn, w.spec.ID)
}
