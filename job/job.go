// Package job is the model of the work that cells place on workers: resources, jobs, tasks and their identities. Package
// workload is the corresponding model for jobs on the platform's runners.
package job

import (
	"fmt"
	"strconv"
	"strings"
)

// Resources is an amount on the three axes that a worker commits.
type Resources struct {
	// CPUMilli is processor time in thousandths of a core.
	CPUMilli int64 `json:"cpu_milli"`
	// MemoryMiB is memory in MiB.
	MemoryMiB int64 `json:"memory_mib"`
	// Accelerators is a count of whole accelerators.
	Accelerators int64 `json:"accelerators"`
}

// Add returns r + o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.CPUMilli + o.CPUMilli, r.MemoryMiB + o.MemoryMiB, r.Accelerators + o.Accelerators}
}

// Sub returns r - o. Axes may become negative.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.CPUMilli - o.CPUMilli, r.MemoryMiB - o.MemoryMiB, r.Accelerators - o.Accelerators}
}

// Fits reports whether r is at most o on every axis.
func (r Resources) Fits(o Resources) bool {
	return r.CPUMilli <= o.CPUMilli && r.MemoryMiB <= o.MemoryMiB && r.Accelerators <= o.Accelerators
}

// Max returns the larger of r and o on each axis.
func (r Resources) Max(o Resources) Resources {
	return Resources{max(r.CPUMilli, o.CPUMilli), max(r.MemoryMiB, o.MemoryMiB), max(r.Accelerators, o.Accelerators)}
}

// IsZero reports whether every axis is zero.
func (r Resources) IsZero() bool { return r == Resources{} }

// Valid reports whether no axis is negative.
func (r Resources) Valid() bool { return r.CPUMilli >= 0 && r.MemoryMiB >= 0 && r.Accelerators >= 0 }

// Class is the kind of work.
type Class string

const (
	// ClassService is a latency-critical service replica. Several replicas may run at once.
	ClassService Class = "service"
	// ClassBatch is work that ends. At most one attempt runs at a time.
	ClassBatch Class = "batch"
	// ClassStanding is work that runs until cancelled. At most one attempt runs at a time.
	ClassStanding Class = "standing"
)

// Exclusive reports whether a task of this class must never run in two places at once.
func (c Class) Exclusive() bool { return c != ClassService }

// Valid reports whether c is one of the declared classes.
func (c Class) Valid() bool { return c == ClassService || c == ClassBatch || c == ClassStanding }

// Priority orders tasks: a lower number goes first. The range is PriorityUrgent to PriorityLowest.
type Priority int

const (
	// PriorityUrgent tasks may evict tasks of PriorityBatch and lower.
	PriorityUrgent Priority = 0
	// PriorityService is the default of services.
	PriorityService Priority = 20
	// PriorityBatch is the default of batch and standing tasks.
	PriorityBatch Priority = 50
	// PriorityLowest is the last to start and the first to be evicted.
	PriorityLowest Priority = 99
)

// Constraints limit where a task may run. An empty field allows everything.
type Constraints struct {
	Region string `json:"region,omitempty"`
	Domain string `json:"domain,omitempty"`
}

// TaskSpec is what an operator declares for each task of a job.
type TaskSpec struct {
	Class     Class     `json:"class"`
	Priority  Priority  `json:"priority"`
	Resources Resources `json:"resources"`
	// RuntimeMillis is the declared run time in milliseconds. It is a hint that may be far off; 0 means unknown.
	RuntimeMillis int64 `json:"runtime_ms,omitempty"`
	// Kind groups tasks that behave alike, for learned interference, such as "settlement".
	Kind        string      `json:"kind,omitempty"`
	Service     string      `json:"service,omitempty"`
	Constraints Constraints `json:"constraints,omitzero"`
	// Payload is passed to the worker unread.
	Payload string `json:"payload,omitempty"`
}

// Job is a set of identical tasks submitted together.
type Job struct {
	ID    string   `json:"id"`
	Name  string   `json:"name"`
	Team  string   `json:"team"`
	Tasks int      `json:"tasks"`
	Spec  TaskSpec `json:"spec"`
	// SubmittedAt is Unix time in milliseconds, for display only.
	SubmittedAt int64 `json:"submitted_at_ms"`
}

// Validate returns every reason why j cannot be accepted.
func (j Job) Validate() []error {
	var errs []error
	if j.Name == "" {
		errs = append(errs, fmt.Errorf("name: must not be empty"))
	}
	if j.Team == "" {
		errs = append(errs, fmt.Errorf("team: must not be empty"))
	}
	if j.Tasks < 1 || j.Tasks > MaxTasksPerJob {
		errs = append(errs, fmt.Errorf("tasks: %d is outside 1 to %d", j.Tasks, MaxTasksPerJob))
	}
	return append(errs, j.Spec.validate()...)
}

// MaxTasksPerJob bounds one job, so that its rows fit into a few transactions.
const MaxTasksPerJob = 10_000

func (s TaskSpec) validate() []error {
	var errs []error
	if !s.Class.Valid() {
		errs = append(errs, fmt.Errorf("spec.class: %q is none of service, batch, standing", s.Class))
	}
	if s.Priority < PriorityUrgent || s.Priority > PriorityLowest {
		errs = append(errs, fmt.Errorf("spec.priority: %d is outside %d to %d", s.Priority, PriorityUrgent, PriorityLowest))
	}
	if !s.Resources.Valid() || s.Resources.IsZero() {
		errs = append(errs, fmt.Errorf("spec.resources: every axis must be 0 or more and one must be above 0"))
	}
	if s.RuntimeMillis < 0 {
		errs = append(errs, fmt.Errorf("spec.runtime_ms: %d is below 0", s.RuntimeMillis))
	}
	if s.Class == ClassService && s.Service == "" {
		errs = append(errs, fmt.Errorf("spec.service: must name the service for class service"))
	}
	return errs
}

// TaskID identifies a task: the job's ID and the index of the task in it, such as "j7/12".
type TaskID string

// MakeTaskID returns the ID of task number index of a job.
func MakeTaskID(jobID string, index int) TaskID {
	return TaskID(jobID + "/" + strconv.Itoa(index))
}

// Job returns the ID of the job that the task belongs to.
func (id TaskID) Job() string {
	jobID, _, _ := strings.Cut(string(id), "/")
	return jobID
}

// Task is one unit of placement with its history.
type Task struct {
	ID   TaskID   `json:"id"`
	Team string   `json:"team"`
	Spec TaskSpec `json:"spec"`
	// Attempt is the number of the current or, while queued, the next attempt; the first is 1.
	Attempt int `json:"attempt"`
	// Checkpoint names the object from which the next attempt resumes; empty means from the start.
	Checkpoint string `json:"checkpoint,omitempty"`
	Evictions  int    `json:"evictions,omitempty"`
	// FailedOn lists the distinct workers on which an attempt failed.
	FailedOn []string `json:"failed_on,omitempty"`
	// Parked is the reason why the task is not retried; empty means that it may start.
	Parked string `json:"parked,omitempty"`
}
