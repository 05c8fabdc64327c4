package control

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"
	"github.com/labstack/echo/v4"

	"github.com/currantthread/currantthread/infra"
	"github.com/currantthread/currantthread/innerproto"
	"github.com/currantthread/currantthread/job"
	"github.com/currantthread/currantthread/ledger"
)

const (
	// scanPageSize is the number of rows read by one scan.
	scanPageSize = 1000
	// readBatchSize is the number of rows read by one read.
	readBatchSize = 500
	// maxListedJobs is the maximum number of jobs in a job list, newest first.
	maxListedJobs = 1000
)

// JobStatus summarizes the state of a job's tasks.
type JobStatus struct {
	Job       job.Job `json:"job"`
	Cancelled bool    `json:"cancelled"`
	// Queued, Assigned, Completed, Failed and Stopped add up to the number of tasks. They are read one after another, so
	// the sum can be off while a task changes its state.
	Queued    int `json:"queued"`
	Assigned  int `json:"assigned"`
	Completed int `json:"completed"`
	Failed    int `json:"failed"`
	Stopped   int `json:"stopped"`
	// Waiting lists the reasons why queued tasks wait.
	Waiting []WaitReason `json:"waiting,omitempty"`
	// Running lists assigned tasks, at most maxListedTasks.
	Running []RunningTask `json:"running,omitempty"`
}

// WaitReason is a human-readable reason why tasks wait, with the number of tasks that it affects.
type WaitReason struct {
	Reason string `json:"reason"`
	Tasks  int    `json:"tasks"`
}

// RunningTask is an assigned task.
type RunningTask struct {
	Task    job.TaskID `json:"task"`
	Cell    string     `json:"cell"`
	Worker  string     `json:"worker"`
	Attempt int        `json:"attempt"`
	State   string     `json:"state"`
}

const maxListedTasks = 100

// submitJob accepts a job. It is idempotent: submitting the same ID and content again changes nothing.
func (a *API) submitJob(c echo.Context) error {
	ctx, cancel := a.withTimeout(c)
	defer cancel()
	var j job.Job
	if err := bind(c, &j); err != nil {
		return a.writeError(c, err)
	}
	if j.ID == "" {
		j.ID = NewJobID()
	}
	if err := validate(j); err != nil {
		return a.writeError(c, err)
	}
	j.SubmittedAt = time.Now().UnixMilli()
	if err := a.submit(ctx, j); err != nil {
		return a.writeError(c, err)
	}
	a.wakeScheds(j.Spec.Constraints.Domain)
	return c.JSON(http.StatusCreated, j)
}

// NewJobID returns a new job ID. IDs sort by time of creation.
func NewJobID() string {
	return "j" + strings.ReplaceAll(uuid.Must(uuid.NewV7()).String(), "-", "")
}

func validate(j job.Job) error {
	problems := j.Validate()
	if strings.ContainsAny(j.ID, "/ ") {
		problems = append(problems, errors.Errorf("id: %q must not contain / or blanks", j.ID))
	}
	if len(problems) == 0 {
		return nil
	}
	lines := make([]string, len(problems))
	for i, problem := range problems {
		lines[i] = problem.Error()
	}
	return &APIError{Code: "invalid", Message: strings.Join(lines, "; ")}
}

// submit writes the job and all its queued tasks in one transaction.
func (a *API) submit(ctx context.Context, j job.Job) error {
	_, err := a.cfg.Store.Commit(ctx, SubmitTxn(j))
	if !infra.IsConflict(err) {
		return err
	}
	existing, readErr := a.readJob(ctx, j.ID)
	if readErr != nil {
		return readErr
	}
	existing.SubmittedAt = j.SubmittedAt
	if existing != j {
		return &APIError{Code: "conflict", Message: "job " + j.ID + " exists with other content"}
	}
	return nil
}

// SubmitTxn returns the transaction that writes a new job and its queued tasks. It conflicts on the job's row if the job
// exists.
func SubmitTxn(j job.Job) infra.Txn {
	txn := infra.Txn{
		Conditions: []infra.Condition{{Key: ledger.JobKey(j.ID)}},
		Writes:     []infra.Write{{Key: ledger.JobKey(j.ID), Value: ledger.Encode(j)}},
	}
	for i := range j.Tasks {
		t := job.Task{ID: job.MakeTaskID(j.ID, i), Team: j.Team, Spec: j.Spec, Attempt: 1}
		txn.Writes = append(txn.Writes, infra.Write{Key: ledger.QueueKeyOf(t), Value: ledger.Encode(t)})
	}
	return txn
}

// wakeScheds notifies the sched daemons of a domain, or of all domains if domain is empty, that queues changed. It is an
// optimization: they also scan the queues periodically.
func (a *API) wakeScheds(domain string) {
	req := &innerproto.PokeRequest{}
	if domain != "" {
		req.Domains = []string{domain}
	}
	for _, vm := range a.cfg.VMs() {
		if vm.Role != infra.RoleEntry || (domain != "" && vm.Domain != domain) {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), daemonCallTimeout)
			defer cancel()
			_, _ = a.cfg.Dial(vm.SchedAddr).Poke(ctx, req) // after a lost call the tasks wait for the next scan
		}()
	}
}

func (a *API) readJob(ctx context.Context, id string) (job.Job, error) {
	rows, err := a.cfg.Table.Read(ctx, ledger.JobKey(id))
	if err != nil {
		return job.Job{}, err
	}
	if rows[0].Version == 0 {
		return job.Job{}, errors.NotFoundf("job %s", id)
	}
	return ledger.Decode[job.Job](rows[0].Key, rows[0].Value)
}

func (a *API) listJobs(c echo.Context) error {
	ctx, cancel := a.withTimeout(c)
	defer cancel()
	jobs := []job.Job{}
	err := a.scan(ctx, ledger.JobPrefix, func(row infra.Row) error {
		j, err := ledger.Decode[job.Job](row.Key, row.Value)
		if team := c.QueryParam("team"); team == "" || team == j.Team {
			jobs = append(jobs, j)
		}
		return err
	})
	if err != nil {
		return a.writeError(c, err)
	}
	slices.SortFunc(jobs, func(x, y job.Job) int { return strings.Compare(y.ID, x.ID) })
	return c.JSON(http.StatusOK, jobs[:min(len(jobs), maxListedJobs)])
}

// scan calls visit with each row whose key starts with prefix.
func (a *API) scan(ctx context.Context, prefix string, visit func(infra.Row) error) error {
	after := ""
	for {
		rows, err := a.cfg.Table.Scan(ctx, prefix, after, scanPageSize)
		if err != nil {
			return err
		}
		for _, row := range rows {
			if err := visit(row); err != nil {
				return err
			}
		}
		if len(rows) < scanPageSize {
			return nil
		}
		after = rows[len(rows)-1].Key
	}
}

func (a *API) showJob(c echo.Context) error {
	ctx, cancel := a.withTimeout(c)
	defer cancel()
	status, err := a.jobStatus(ctx, c.Param("id"))
	if err != nil {
		return a.writeError(c, err)
	}
	return c.JSON(http.StatusOK, status)
}

func (a *API) jobStatus(ctx context.Context, id string) (*JobStatus, error) {
	j, err := a.readJob(ctx, id)
	if err != nil {
		return nil, err
	}
	status := &JobStatus{Job: j}
	if err := a.countDone(ctx, status); err != nil {
		return nil, err
	}
	if err := a.countQueued(ctx, status); err != nil {
		return nil, err
	}
	statuses := a.fetchStatuses(ctx, j.Spec.Constraints.Domain, &innerproto.StatusRequest{})
	if err := a.countAssigned(ctx, status, statuses); err != nil {
		return nil, err
	}
	status.Waiting = waitReasons(status, statuses)
	return status, nil
}

// countDone counts the ended tasks by outcome and reads whether the job was cancelled.
func (a *API) countDone(ctx context.Context, status *JobStatus) error {
	rows, err := a.cfg.Table.Read(ctx, ledger.CancelKey(status.Job.ID))
	if err != nil {
		return err
	}
	status.Cancelled = rows[0].Version > 0
	return a.scan(ctx, ledger.DonePrefix(status.Job.ID), func(row infra.Row) error {
		done, err := ledger.Decode[ledger.Done](row.Key, row.Value)
		switch done.Outcome {
		case ledger.OutcomeCompleted:
			status.Completed++
		case ledger.OutcomeFailed:
			status.Failed++
		case ledger.OutcomeCancelled:
			status.Stopped++
		}
		return err
	})
}

// countQueued counts the tasks that have a queue row. Each task has only one possible queue key.
func (a *API) countQueued(ctx context.Context, status *JobStatus) error {
	j := status.Job
	keys := make([]string, j.Tasks)
	for i := range keys {
		keys[i] = ledger.QueueKeyOf(job.Task{ID: job.MakeTaskID(j.ID, i), Spec: j.Spec})
	}
	for batch := range slices.Chunk(keys, readBatchSize) {
		rows, err := a.cfg.Table.Read(ctx, batch...)
		if err != nil {
			return err
		}
		for _, row := range rows {
			if row.Version > 0 {
				status.Queued++
			}
		}
	}
	return nil
}

// countAssigned counts the assigned tasks in the cells that responded and lists the first maxListedTasks of them.
func (a *API) countAssigned(ctx context.Context, status *JobStatus, statuses []DaemonStatus) error {
	for _, cell := range cellsOf(statuses) {
		prefix := ledger.CellTaskPrefix(cell.Cell) + status.Job.ID + "/"
		err := a.scan(ctx, prefix, func(row infra.Row) error {
			assignment, err := ledger.Decode[ledger.Assignment](row.Key, row.Value)
			status.Assigned++
			if len(status.Running) < maxListedTasks {
				status.Running = append(status.Running, RunningTask{
					Task: assignment.Task.ID, Cell: cell.Cell, Worker: assignment.Worker,
					Attempt: assignment.Task.Attempt, State: string(assignment.State),
				})
			}
			return err
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// waitReasons returns the reasons that the cells' owners report for the queued tasks of the job.
func waitReasons(status *JobStatus, statuses []DaemonStatus) []WaitReason {
	if status.Queued == 0 {
		return nil
	}
	reasons := map[string]map[job.TaskID]bool{}
	for _, s := range statuses {
		for _, cell := range s.response.GetCells() {
			for _, parked := range cell.ParkedTasks {
				id := job.TaskID(parked.Task)
				if id.Job() != status.Job.ID {
					continue
				}
				if reasons[parked.Reason] == nil {
					reasons[parked.Reason] = map[job.TaskID]bool{}
				}
				reasons[parked.Reason][id] = true
			}
		}
	}
	var waiting []WaitReason
	for reason, tasks := range reasons {
		waiting = append(waiting, WaitReason{Reason: reason, Tasks: len(tasks)})
	}
	if len(waiting) == 0 {
		waiting = []WaitReason{{Reason: "waits for free capacity in a failure domain that is in", Tasks: status.Queued}}
	}
	slices.SortFunc(waiting, func(x, y WaitReason) int { return strings.Compare(x.Reason, y.Reason) })
	return waiting
}

// cancelJob stores the cancellation. The cells stop the tasks in their next transactions.
func (a *API) cancelJob(c echo.Context) error {
	ctx, cancel := a.withTimeout(c)
	defer cancel()
	id := c.Param("id")
	if _, err := a.readJob(ctx, id); err != nil {
		return a.writeError(c, err)
	}
	value := ledger.Encode(ledger.Cancel{By: c.QueryParam("operator")})
	txn := infra.Txn{Writes: []infra.Write{{Key: ledger.CancelKey(id), Value: value}}}
	if _, err := a.cfg.Store.Commit(ctx, txn); err != nil {
		return a.writeError(c, err)
	}
	a.wakeScheds("")
	return c.JSON(http.StatusOK, struct{}{})
}
