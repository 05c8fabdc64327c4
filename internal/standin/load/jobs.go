package load

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/juju/errors"

	"github.com/currantthread/currantthread/control"
	"github.com/currantthread/currantthread/ctl"
	"github.com/currantthread/currantthread/internal/standin"
	"github.com/currantthread/currantthread/internal/wait"
	"github.com/currantthread/currantthread/job"
)

const (
	// jobPollInterval is the time between two reads of the status of a job.
	jobPollInterval = 250 * time.Millisecond
	// The numbers of tasks are small, so that a run ends in time.
	standingTasks = 3
	replicas      = 2
)

// TaskReport counts the outcomes of jobs and tasks.
type TaskReport struct {
	BatchTasks     int `json:"batch_tasks"`
	BatchCompleted int `json:"batch_completed"`
	// StandingRunning and ReplicasRunning count the tasks that were running at the same time.
	StandingTasks   int   `json:"standing_tasks"`
	StandingRunning int   `json:"standing_running"`
	StandingStopped int   `json:"standing_stopped"`
	Replicas        int   `json:"replicas"`
	ReplicasRunning int   `json:"replicas_running"`
	ReplicaRuns     int64 `json:"replica_requests"`
	// Attempts counts starts on workers. OverCapacity counts starts above a worker's capacity. TwoPlaces counts pairs of
	// runs of one task that overlapped, and attempts that were started twice.
	Attempts     int64 `json:"attempts"`
	OverCapacity int64 `json:"over_capacity"`
	TwoPlaces    int   `json:"two_places"`

	Violations []Violation `json:"violations,omitempty"`
}

// jobSet is the set of jobs that a run submits.
type jobSet struct {
	client *ctl.Client
	// batchTasks is the number of batch tasks and batchWork the work of each.
	batchTasks               int
	batchWork                time.Duration
	batch, standing, service job.Job
}

func (s *jobSet) submit(ctx context.Context, service string) error {
	small := job.Resources{CPUMilli: 2000, MemoryMiB: 1024}
	s.batch = job.Job{Name: "settlement", Team: "demo", Tasks: s.batchTasks, Spec: job.TaskSpec{
		// The declared run time is a third of the actual one, because declarations in use are far off.
		Class: job.ClassBatch, Priority: job.PriorityBatch, Resources: small, Kind: "settlement",
		RuntimeMillis: s.batchWork.Milliseconds() / 3,
		Payload:       fmt.Sprintf(`{"actual_ms":%d,"checkpoint_ms":1000}`, s.batchWork.Milliseconds()),
	}}
	s.standing = job.Job{Name: "registry", Team: "demo", Tasks: standingTasks, Spec: job.TaskSpec{
		Class: job.ClassStanding, Priority: job.PriorityBatch, Resources: small, Kind: "registry",
	}}
	s.service = job.Job{Name: "more-runners", Team: "demo", Tasks: replicas, Spec: job.TaskSpec{
		Class: job.ClassService, Priority: job.PriorityService, Service: service, Kind: "service",
		Resources: job.Resources{CPUMilli: 8000, MemoryMiB: 16 << 10},
	}}
	for _, j := range []*job.Job{&s.batch, &s.standing, &s.service} {
		j.ID = control.NewJobID()
		if err := s.client.Call(ctx, http.MethodPost, "/jobs", nil, *j, &struct{}{}); err != nil {
			return errors.Annotatef(err, "submit job %s", j.Name)
		}
	}
	return nil
}

func (s *jobSet) status(ctx context.Context, j job.Job) (control.JobStatus, error) {
	var status control.JobStatus
	err := s.client.Call(ctx, http.MethodGet, "/jobs/"+url.PathEscape(j.ID), nil, nil, &status)
	return status, err
}

// awaitStatus polls the status of a job until it is as wanted or ctx ends, and returns the last status.
func (s *jobSet) awaitStatus(ctx context.Context, j job.Job, wanted func(control.JobStatus) bool) control.JobStatus {
	var last control.JobStatus
	for {
		status, err := s.status(ctx, j)
		if err == nil {
			last = status
		}
		if (err == nil && wanted(status)) || !wait.For(ctx, jobPollInterval) {
			return last
		}
	}
}

// awaitAll waits until the batch tasks are complete and the others are running, then cancels the standing tasks.
func (s *jobSet) awaitAll(ctx context.Context, report *TaskReport) {
	report.BatchTasks, report.StandingTasks, report.Replicas = s.batchTasks, standingTasks, replicas
	service := s.awaitStatus(ctx, s.service, func(j control.JobStatus) bool { return j.Assigned == replicas })
	report.ReplicasRunning = service.Assigned
	standing := s.awaitStatus(ctx, s.standing, func(j control.JobStatus) bool { return j.Assigned == standingTasks })
	report.StandingRunning = standing.Assigned
	batch := s.awaitStatus(ctx, s.batch, func(j control.JobStatus) bool { return j.Completed == s.batchTasks })
	report.BatchCompleted = batch.Completed
	query := url.Values{"operator": {"demo"}}
	err := s.client.Call(ctx, http.MethodPost, "/jobs/"+url.PathEscape(s.standing.ID)+"/cancel", query, nil, &struct{}{})
	if err != nil {
		report.addViolation("jobs", "cancel of the standing tasks: %v", err)
		return
	}
	stopped := s.awaitStatus(ctx, s.standing, func(j control.JobStatus) bool { return j.Stopped == standingTasks })
	report.StandingStopped = stopped.Stopped
}

func (r *TaskReport) addViolation(guarantee, format string, args ...any) {
	r.Violations = append(r.Violations, Violation{guarantee, fmt.Sprintf(format, args...)})
}

// check adds the counts of the workers and lists the violations.
func (r *TaskReport) check(counts []standin.FleetCounts, runs []standin.Run) {
	for _, c := range counts {
		r.Attempts += c.Workers.Starts
		r.OverCapacity += c.Workers.OverCapacity
	}
	overlaps := standin.FindOverlaps(runs)
	r.TwoPlaces = len(overlaps)
	for _, o := range overlaps[:min(len(overlaps), maxListed)] {
		r.addViolation("G2", "%s attempt %d on %s and attempt %d on %s", o.First.Ref.Task, o.First.Ref.Attempt,
			o.First.Worker, o.Second.Ref.Attempt, o.Second.Worker)
	}
	if r.OverCapacity > 0 {
		r.addViolation("G1", "%d starts above a worker's capacity", r.OverCapacity)
	}
	r.checkCompletions(runs)
	want := []struct {
		what        string
		got, wanted int
	}{
		{"batch tasks finished", r.BatchCompleted, r.BatchTasks},
		{"standing tasks running", r.StandingRunning, r.StandingTasks},
		{"standing tasks stopped", r.StandingStopped, r.StandingTasks},
		{"replicas running", r.ReplicasRunning, r.Replicas},
	}
	for _, w := range want {
		if w.got != w.wanted {
			r.addViolation("jobs", "%s: %d of %d", w.what, w.got, w.wanted)
		}
	}
}

// checkCompletions checks that no task completed twice. This holds only if no worker is lost between the end of an attempt and
// its report.
func (r *TaskReport) checkCompletions(runs []standin.Run) {
	completed := map[job.TaskID]int{}
	for _, run := range runs {
		if run.End == "completed" {
			completed[run.Ref.Task]++
		}
	}
	twice := 0
	for task, n := range completed {
		if n < 2 {
			continue
		}
		if twice++; twice <= maxListed {
			r.addViolation("G3", "%s completed %d times", task, n)
		}
	}
}
