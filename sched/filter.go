package sched

import (
	"time"

	"github.com/currantthread/currantthread/interference"
	"github.com/currantthread/currantthread/job"
)

// request is a search for a worker for one task.
type request struct {
	entry *entry
	spec  *job.TaskSpec
	// need is the amount to commit.
	need job.Resources
	kind interference.Kind
	now  time.Time
	// nominee is the worker to which the task is nominated, if any. The task may use the resources reserved for it
	// there.
	nominee *worker
	// causedSlowdown is a cached result of Scheduler.causedSlowdown.
	causedSlowdown       float64
	causedSlowdownCached bool
}

func (q *request) latencyCritical() bool { return q.spec.Class == job.ClassService }

// filter rejects workers on which a task may not start.
type filter interface {
	// name is a short phrase for reasons shown to operators, such as "have too little free processor time".
	name() string
	// cause returns what a task waits for if the filter rejects all workers.
	cause() Cause
	// allows reports whether the task may start on w.
	allows(q *request, w *worker) bool
}

// score rates a worker that passed the filters; higher is better, 0 to 1.
type score interface {
	rate(q *request, w *worker) float64
}

type weightedScore struct {
	score  score
	weight float64
}
