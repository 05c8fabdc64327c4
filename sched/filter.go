package sched

import (
	"time"

	"github.com/currantthread/currantthread/interference"
	"github.com/currantthread/currantthread/job"
)

// request is a task in search of a worker.
type request struct {
	entry *entry
	spec  *job.TaskSpec
	// need is the commitment sought.
	need job.Resources
	kind interference.Kind
	now  time.Time
	// own allows the resources reserved for this very task.
	own *worker
	// harm is a cached result of Scheduler.harm.
	harm      float64
	harmKnown bool
}

func (q *request) latencyCritical() bool { return q.spec.Class == job.ClassService }

// filter rules out workers.
type filter interface {
	// name is a short phrase for reasons shown to operators, such as "have too few free processors".
	name() string
	// cause says which event can change the verdict.
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
