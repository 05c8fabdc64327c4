// Package workload is the model of the jobs that package dispatch runs on the platform's runners: steps of tasks, their
// dependencies, resources and policies, and the states of a job. It does no I/O.
package workload

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	// MaxSpecBytes is the largest specification that a job may carry.
	MaxSpecBytes = 4000
	// MaxSteps bounds the steps of a job.
	MaxSteps = 200
	// MaxTasks bounds the tasks of one occurrence of a job.
	MaxTasks = 10_000
	// MaxOccurrences bounds the occurrences of a job.
	MaxOccurrences = 100_000
	// MaxResource bounds what one task requests on each axis: thousandths of a core, MB and accelerators.
	MaxResource = 100_000_000
	// MaxWork bounds the work of one occurrence in thousandths of a core times milliseconds, 31 years of one core, so that
	// the work of thousands of jobs can be added up in an int64.
	MaxWork = 1e15
	// MaxDuration bounds the estimated time of all steps together and a latency target. Objectives are multiples of it.
	MaxDuration = 366 * 24 * time.Hour
	// MaxSpan bounds the time from the first to the last occurrence of a job.
	MaxSpan = 100 * MaxDuration
	// maxYear is the last year that the stored form of a time can hold.
	maxYear = 9999
)

// Resources is an amount of a runner's resources.
type Resources struct {
	// CPU is in thousandths of a core.
	CPU      int64 `json:"cpu,omitempty"`
	MemoryMB int64 `json:"mem,omitempty"`
	GPU      int64 `json:"gpu,omitempty"`
}

// Add returns r + o.
func (r Resources) Add(o Resources) Resources {
	return Resources{CPU: r.CPU + o.CPU, MemoryMB: r.MemoryMB + o.MemoryMB, GPU: r.GPU + o.GPU}
}

// Sub returns r - o.
func (r Resources) Sub(o Resources) Resources {
	return Resources{CPU: r.CPU - o.CPU, MemoryMB: r.MemoryMB - o.MemoryMB, GPU: r.GPU - o.GPU}
}

// Max returns the larger value of each resource.
func (r Resources) Max(o Resources) Resources {
	return Resources{CPU: max(r.CPU, o.CPU), MemoryMB: max(r.MemoryMB, o.MemoryMB), GPU: max(r.GPU, o.GPU)}
}

// Fits reports whether r fits into free.
func (r Resources) Fits(free Resources) bool {
	return r.CPU <= free.CPU && r.MemoryMB <= free.MemoryMB && r.GPU <= free.GPU
}

// Step is a group of identical tasks.
type Step struct {
	Count     int           `json:"n"`
	Resources Resources     `json:"res"`
	Estimated time.Duration `json:"est,omitempty"`
	// After lists the steps whose tasks must all be done before this step starts.
	After         []int `json:"after,omitempty"`
	Checkpointing bool  `json:"ckpt,omitempty"`
	// Gang tasks start together and end together.
	Gang     bool `json:"gang,omitempty"`
	SameRack bool `json:"same_rack,omitempty"` // stored but not enforced yet
	// Label is a label that the runner must have; empty means any runner.
	Label string `json:"label,omitempty"`
	// DataRack is the rack that is close to the step's data; empty means any.
	DataRack string `json:"data_rack,omitempty"`
	// MaxPerRunner bounds the tasks of the step on one runner; 0 means no bound.
	MaxPerRunner    int    `json:"per_runner,omitempty"`
	AllowDuplicates bool   `json:"dup,omitempty"` // stored but not used yet
	LongRunning     bool   `json:"long,omitempty"`
	Image           string `json:"image,omitempty"`
	// LatencyTarget bounds the tail latency of a serving task; 0 for tasks that serve no requests.
	LatencyTarget time.Duration `json:"target,omitempty"`
	// BestEffort marks best-effort tasks, which use only processor time that other tasks leave idle.
	BestEffort bool `json:"fills,omitempty"`
	// MaxUnavailable bounds the tasks that the system may make unavailable at once; negative means no bound. It is stored
	// but not enforced yet.
	MaxUnavailable int `json:"max_unavail"`
}

// Committed returns the resources that a task of the step takes from a runner's capacity.
func (s *Step) Committed() Resources {
	r := s.Resources
	if s.BestEffort {
		r.CPU = 0
	}
	return r
}

// Policy is the configuration of a job's queue at its submission.
type Policy struct {
	Queue string `json:"queue"`
	// Service names the runners that run the job.
	Service string `json:"service"`
	// Priority 0 comes first.
	Priority    int     `json:"prio,omitempty"`
	MaxAttempts int     `json:"attempts"`
	Stretch     float64 `json:"stretch,omitempty"`
	// Slack is added to Stretch times the critical path to give the completion objective.
	Slack time.Duration `json:"slack,omitempty"`
	// Advised marks queues whose steps may run only on runners that the advice service permits.
	Advised bool `json:"advised,omitempty"`
}

// Job is a submitted job and the policy under which it was accepted.
type Job struct {
	ID     string `json:"id"`
	Spec   string `json:"spec,omitempty"`
	Steps  []Step `json:"steps"`
	Policy Policy `json:"policy"`
	// Organisation is the name of the organisation that submitted the job. It is empty for jobs of public queues, of deployments without
	// organisations and of earlier builds.
	Organisation string `json:"org,omitempty"`
	// Occurrences is how often the steps run; 1 for a job without a schedule.
	Occurrences int `json:"occ"`
	// StartAt is when the first occurrence is due; zero means at once.
	StartAt  time.Time     `json:"start_at,omitzero"`
	Interval time.Duration `json:"interval,omitempty"`
	// AcceptedAt is the time of day at the node that accepted the job.
	AcceptedAt time.Time `json:"accepted_at"`
}

// BelongsTo reports whether a caller may act on the job. Callers and jobs without an organisation are not checked.
func (j *Job) BelongsTo(organisation string) bool {
	return organisation == "" || j.Organisation == "" || j.Organisation == organisation
}

// Due returns when an occurrence is due.
func (j *Job) Due(occurrence int) time.Time {
	if j.StartAt.IsZero() {
		return time.Time{}
	}
	return j.StartAt.Add(time.Duration(occurrence) * j.Interval)
}

// LongRunning reports whether the job has tasks that run until it is cancelled.
func (j *Job) LongRunning() bool {
	for i := range j.Steps {
		if j.Steps[i].LongRunning {
			return true
		}
	}
	return false
}

// CriticalPath returns, for each step, the estimated time of the critical path that begins with it.
func (j *Job) CriticalPath() []time.Duration {
	return j.CriticalPathOf(func(step int) time.Duration { return j.Steps[step].Estimated })
}

// CriticalPathOf returns, for each step, the time of the critical path that begins with it if the tasks of a step take the given time.
func (j *Job) CriticalPathOf(runTime func(step int) time.Duration) []time.Duration {
	path := make([]time.Duration, len(j.Steps))
	var visit func(i int) time.Duration
	followers := make([][]int, len(j.Steps))
	for i := range j.Steps {
		for _, before := range j.Steps[i].After {
			followers[before] = append(followers[before], i)
		}
	}
	visited := make([]bool, len(j.Steps))
	visit = func(i int) time.Duration {
		if visited[i] {
			return path[i]
		}
		visited[i] = true
		var longest time.Duration
		for _, f := range followers[i] {
			longest = max(longest, visit(f))
		}
		path[i] = longest + runTime(i)
		return path[i]
	}
	for i := range j.Steps {
		visit(i)
	}
	return path
}

// InvalidError is the reason why a submitted job is not accepted.
type InvalidError struct {
	Field  string
	Reason string
}

// Error implements error.
func (e *InvalidError) Error() string { return fmt.Sprintf("%s: %s", e.Field, e.Reason) }

// Validate returns an *InvalidError for a job that no queue accepts.
func (j *Job) Validate() error {
	if !ValidID(j.ID) {
		return &InvalidError{"id", "must be 16 hexadecimal digits"}
	}
	if len(j.Spec) > MaxSpecBytes {
		return &InvalidError{"spec", fmt.Sprintf("has %d bytes, at most %d are allowed", len(j.Spec), MaxSpecBytes)}
	}
	if err := j.CheckStructure(); err != nil {
		return err
	}
	var estimated time.Duration
	work := 0.0
	for i := range j.Steps {
		step := &j.Steps[i]
		if err := step.checkAmounts(i); err != nil {
			return err
		}
		if estimated += step.Estimated; estimated > MaxDuration {
			return &InvalidError{"steps", fmt.Sprintf("take more than %v", MaxDuration)}
		}
		work += float64(step.Resources.CPU) * float64(step.Count) * float64(step.Estimated.Milliseconds())
	}
	if work > MaxWork {
		return &InvalidError{"steps", "have more work than any number of runners can do"}
	}
	if last := j.Occurrences - 1; last > 0 && j.Interval > MaxSpan/time.Duration(last) {
		return &InvalidError{"interval", fmt.Sprintf("puts the last occurrence more than %v after the first", MaxSpan)}
	}
	if year := j.Due(j.Occurrences - 1).Year(); year > maxYear {
		return &InvalidError{"start_at", fmt.Sprintf("the last occurrence must not be due after the year %d", maxYear)}
	}
	return nil
}

// checkAmounts returns an *InvalidError for amounts with which calculations could overflow.
func (s *Step) checkAmounts(index int) error {
	field := "steps[" + strconv.Itoa(index) + "]"
	switch {
	case s.Resources.CPU > MaxResource || s.Resources.MemoryMB > MaxResource || s.Resources.GPU > MaxResource:
		return &InvalidError{field, fmt.Sprintf("sizes must be at most %d", MaxResource)}
	case s.Estimated > MaxDuration || s.LatencyTarget > MaxDuration:
		return &InvalidError{field, fmt.Sprintf("times must be at most %v", MaxDuration)}
	}
	return nil
}

// CompactDependencies removes repeated entries from each step's After. A step counts the steps that it waits for.
func (j *Job) CompactDependencies() {
	for i := range j.Steps {
		after := slices.Clone(j.Steps[i].After)
		slices.Sort(after)
		j.Steps[i].After = slices.Compact(after)
	}
}

// CheckStructure returns an *InvalidError for a job that can't be scheduled, whoever encoded it: its steps, tasks or
// occurrences are not within their bounds, or its steps don't follow each other. Every accepted job passes it, whatever the
// limits at its submission were.
func (j *Job) CheckStructure() error {
	if len(j.Steps) == 0 || len(j.Steps) > MaxSteps {
		return &InvalidError{"steps", fmt.Sprintf("has %d entries, 1 to %d are allowed", len(j.Steps), MaxSteps)}
	}
	if j.Occurrences < 1 || j.Occurrences > MaxOccurrences {
		return &InvalidError{"occurrences", fmt.Sprintf("must be 1 to %d", MaxOccurrences)}
	}
	if j.Interval < 0 {
		return &InvalidError{"interval", "must not be negative"}
	}
	total := 0
	for i := range j.Steps {
		if err := j.Steps[i].validate(i, len(j.Steps)); err != nil {
			return err
		}
		total += j.Steps[i].Count
		if total > MaxTasks {
			return &InvalidError{"steps", fmt.Sprintf("has more than %d tasks", MaxTasks)}
		}
	}
	return j.checkAcyclic()
}

func (s *Step) validate(index, steps int) error {
	field := "steps[" + strconv.Itoa(index) + "]"
	switch {
	case s.Count < 1 || s.Count > MaxTasks:
		return &InvalidError{field + ".count", fmt.Sprintf("must be 1 to %d", MaxTasks)}
	case s.Resources.CPU < 0 || s.Resources.MemoryMB < 0 || s.Resources.GPU < 0:
		return &InvalidError{field, "sizes must not be negative"}
	case s.Estimated < 0 || s.LatencyTarget < 0:
		return &InvalidError{field, "times must not be negative"}
	case s.MaxPerRunner < 0:
		return &InvalidError{field, "the bound for each runner must not be negative"}
	}
	for _, before := range s.After {
		if before < 0 || before >= steps || before == index {
			return &InvalidError{field + ".after", fmt.Sprintf("%d is not another step of the job", before)}
		}
	}
	return nil
}

func (j *Job) checkAcyclic() error {
	done := make([]bool, len(j.Steps))
	for left := len(j.Steps); left > 0; {
		progressed := false
		for i := range j.Steps {
			if done[i] || !allDone(done, j.Steps[i].After) {
				continue
			}
			done[i], progressed = true, true
			left--
		}
		if !progressed {
			return &InvalidError{"steps.after", "has a cycle"}
		}
	}
	return nil
}

func allDone(done []bool, steps []int) bool {
	for _, s := range steps {
		if !done[s] {
			return false
		}
	}
	return true
}

// ValidID reports whether id is 16 hexadecimal digits.
func ValidID(id string) bool {
	if len(id) != 16 {
		return false
	}
	for i := range len(id) {
		c := id[i]
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') && (c < 'A' || c > 'F') {
			return false
		}
	}
	return true
}

// TaskID identifies one task.
type TaskID struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// String returns JOB.OCCURRENCE.STEP.INDEX.
func (t TaskID) String() string {
	return t.Job + "." + strconv.Itoa(t.Occurrence) + "." + strconv.Itoa(t.Step) + "." + strconv.Itoa(t.Index)
}

// ParseTaskID parses the format of TaskID.String.
func ParseTaskID(s string) (TaskID, error) {
	parts := strings.Split(s, ".")
	if len(parts) != 4 {
		return TaskID{}, fmt.Errorf("task name %.50q does not have four parts", s)
	}
	var numbers [3]int
	for i, part := range parts[1:] {
		n, err := strconv.Atoi(part)
		if err != nil || n < 0 {
			return TaskID{}, fmt.Errorf("task name %.50q: part %.50q is not a number", s, part)
		}
		numbers[i] = n
	}
	return TaskID{Job: parts[0], Occurrence: numbers[0], Step: numbers[1], Index: numbers[2]}, nil
}

// State is the state of a job as clients see it.
type State string

// States of a job.
const (
	StateQueued    State = "queued"
	StateRunning   State = "running"
	StateCompleted State = "completed"
	StateFailed    State = "failed"
	StateCancelled State = "cancelled"
)

// Terminal reports whether the state never changes again.
func (s State) Terminal() bool {
	return s == StateCompleted || s == StateFailed || s == StateCancelled
}
