package cell

import (
	"time"

	"github.com/currantthread/currantthread/job"
	"github.com/currantthread/currantthread/platform"
)

// PlanWorker is what the planner knows of a worker.
type PlanWorker struct {
	ID, Region, Domain, Rack string
	Capacity                 job.Resources
	Ready                    bool
}

// Allocation is a task assigned to a worker.
type Allocation struct {
	Task       job.Task
	Worker     string
	Commitment job.Resources
}

// Action is a kind of preemption.
type Action string

const (
	ActionThrottle   Action = "throttle"
	ActionUnthrottle Action = "unthrottle"
	ActionEvict      Action = "evict"
)

// Preemption is an action against a running task.
type Preemption struct {
	Task       job.TaskID
	Worker     string
	Action     Action
	CPUPercent int
	For        job.TaskID
}

// Parked reports tasks that wait for the same reason.
type Parked struct {
	Task      job.TaskID
	Tasks     int
	Reason    string
	Permanent bool
}

// Plan is a set of tentative decisions.
type Plan struct {
	Starts      []Allocation
	Preemptions []Preemption
	Parked      []Parked
}

// End says how an attempt ended.
type End string

const (
	EndCompleted End = "completed"
	EndStopped   End = "stopped"
	EndFailed    End = "failed"
	EndLapsed    End = "lapsed"
)

// Planner makes the placement decisions.
type Planner interface {
	UpsertWorker(w PlanWorker)
	RemoveWorker(id string)
	SetWorkerReady(id string, ready bool)
	Enqueue(t job.Task)
	Dequeue(id job.TaskID)
	Restore(a Allocation)
	Plan(now time.Time, limit int) Plan
	Commit(plan Plan)
	Abort(plan Plan)
	Stopping(id job.TaskID)
	Release(id job.TaskID, end End)
	ReportUsage(worker string, u platform.Usage)
}
