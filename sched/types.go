package sched

import "github.com/currantthread/currantthread/job"

// Worker describes a worker of the cell.
type Worker struct {
	ID, Region, Domain, Rack string
	Capacity                 job.Resources
	// Ready is false while the worker must get no starts: it is not attached, not in the VM list, leaving or not polling,
	// or it runs attempts that the ledger does not record.
	Ready bool
}

// Team is the quota and weight of a team.
type Team struct {
	// Quota limits the sum of the declared sizes of the team's tasks; 0 means no limit on that axis.
	Quota job.Resources
	// UsedElsewhere is the team's usage in other cells, as last observed by the cell's owner. It counts against Quota.
	UsedElsewhere job.Resources
	// Weight is the team's share among teams that wait for the same resources; 0 counts as 1.
	Weight int
}

// Allocation is a task assigned to a worker.
type Allocation struct {
	Task   job.Task
	Worker string
	// Commitment is the amount set aside on the worker. On each axis it is at least the declared amount.
	Commitment job.Resources
}

// Action is a kind of preemption.
type Action string

const (
	// ActionThrottle limits the task to CPUPercent of its declared processor time.
	ActionThrottle Action = "throttle"
	// ActionUnthrottle raises that limit to CPUPercent; 0 removes it.
	ActionUnthrottle Action = "unthrottle"
	// ActionEvict stops the task after a checkpoint. Its resources stay committed until Release.
	ActionEvict Action = "evict"
)

// Preemption is an action against a running task.
type Preemption struct {
	Task   job.TaskID
	Worker string
	Action Action
	// CPUPercent is the limit for ActionThrottle and ActionUnthrottle, in percent of the declared processor time.
	CPUPercent int
	// Beneficiary is the task that benefits from the action.
	Beneficiary job.TaskID
}

// Cause is the kind of event that can end the wait of a parked task.
type Cause string

const (
	// CauseCapacity waits for resources to be freed or a worker to be added.
	CauseCapacity Cause = "capacity"
	// CauseNoWorker waits for a worker that can run the task: one that matches its constraints, is ready and is large
	// enough.
	CauseNoWorker Cause = "no-worker"
	// CauseQuota waits for the team's quota or usage to change.
	CauseQuota Cause = "quota"
	// CauseInterference waits for neighbours to change or for newer usage reports.
	CauseInterference Cause = "interference"
	// CauseBadJob waits for an operator: the job fails wherever it runs.
	CauseBadJob Cause = "bad-job"
	// CauseOperator waits for an operator: the task was queued with a reason that keeps it parked.
	CauseOperator Cause = "operator"
)

// Parked reports tasks that were parked for the same reason.
type Parked struct {
	// Task is the first of the tasks.
	Task job.TaskID
	// Tasks counts all of them. They are equal in team, priority, size, kind and constraints.
	Tasks int
	// Cause is what the tasks wait for.
	Cause Cause
	// Reason explains to operators why the tasks cannot start.
	Reason string
	// Permanent is set if only an operator can end the wait. The cell's owner stores Reason in the rows of these tasks.
	Permanent bool
}

// Plan is a set of tentative decisions. The caller passes each plan to exactly one of Commit and Abort.
type Plan struct {
	Starts      []Allocation
	Preemptions []Preemption
	Parked      []Parked
}

// Empty reports whether the plan holds no decisions.
func (p Plan) Empty() bool {
	return len(p.Starts) == 0 && len(p.Preemptions) == 0 && len(p.Parked) == 0
}

// End is the way in which an attempt ended.
type End string

const (
	// EndCompleted is an attempt that finished its work.
	EndCompleted End = "completed"
	// EndStopped is an attempt that was stopped by command.
	EndStopped End = "stopped"
	// EndFailed is an attempt that ended in an error or could not be started.
	EndFailed End = "failed"
	// EndExpired is an attempt whose worker's lease is confirmed to have expired, or that a new incarnation of the
	// worker does not run.
	EndExpired End = "lapsed"
)

// Stats summarises the scheduler's state.
type Stats struct {
	Workers, ReadyWorkers, BadWorkers int
	// Active, Backoff and Parked count queued tasks; Nominated counts those that wait for evictions on a chosen
	// worker.
	Active, Backoff, Parked, Nominated int
	ParkedByCause                      map[Cause]int
	// Planned, Running and Stopping count allocations.
	Planned, Running, Stopping int
	BadJobs                    int
	Committed, Capacity        job.Resources
	// StartsPlanned, EvictionsPlanned and ThrottlesPlanned count decisions since New, including aborted ones.
	StartsPlanned, EvictionsPlanned, ThrottlesPlanned int64
}
