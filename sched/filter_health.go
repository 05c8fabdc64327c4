package sched

import "slices"

// healthFilter rejects workers on which different jobs failed in a row, and busy workers on probation.
type healthFilter struct{}

func (healthFilter) name() string { return "get no starts after failing different jobs in a row" }
func (healthFilter) cause() Cause { return CauseNoWorker }
func (healthFilter) allows(q *request, w *worker) bool {
	if w.health.bad {
		return false
	}
	return !w.health.probation || len(w.tasks) == 0
}

// failedOnFilter rejects workers on which the task failed before.
type failedOnFilter struct{}

func (failedOnFilter) name() string { return "failed this task before" }
func (failedOnFilter) cause() Cause { return CauseNoWorker }
func (failedOnFilter) allows(q *request, w *worker) bool {
	return len(q.entry.task.FailedOn) == 0 || !slices.Contains(q.entry.task.FailedOn, w.spec.ID)
}
