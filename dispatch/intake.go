package dispatch

import (
	"context"
	"encoding/json"
	"fmt"
	"iter"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/currantthread/currantthread/quota"
	"github.com/currantthread/currantthread/store"
	"github.com/currantthread/currantthread/workload"
)

// Outcome is the result of a submission.
type Outcome uint8

// Outcomes of a submission.
const (
	// OutcomeUnknown means that the job may have been accepted, or may still be.
	OutcomeUnknown Outcome = iota
	// OutcomeAccepted means that the job is durable in this cell.
	OutcomeAccepted
	// OutcomeElsewhere means that another cell has accepted the job.
	OutcomeElsewhere
	// OutcomeRefused means that the job was not accepted and will never run because of this submission.
	OutcomeRefused
	// OutcomeFull means that the cell has no free capacity for the job and did not accept it.
	OutcomeFull
	// OutcomeNotOwner means that this node does not own the cell; nothing was done.
	OutcomeNotOwner
	// OutcomeChanged means that tasks were not taken over because the row of the cell that delegates them has changed.
	OutcomeChanged
	// OutcomeCancelled means that the job was cancelled before it was accepted, and will never run.
	OutcomeCancelled
	// OutcomeConflict means that a job of another organisation has the ID; nothing was done.
	OutcomeConflict
	// OutcomeExcess means that the job was not accepted because the waiting work of its organisation is more than can be done before
	// it has no value any more. The job will never run because of this submission.
	OutcomeExcess
	// OutcomeNoMemory means that the owner of the cell has no memory for the job. The job will never run because of this submission.
	OutcomeNoMemory
	// OutcomeBacklog means that the job was not accepted because of the best-effort work that waits in the cell. The job will never run
	// because of this submission.
	OutcomeBacklog
)

// outcomeNames are the names of outcomes in logs.
var outcomeNames = []string{"unknown", "accepted", "elsewhere", "refused", "full", "not_owner", "changed", "cancelled", "conflict", "excess", "no_memory", "backlog"}

// String returns the name of the outcome.
func (o Outcome) String() string {
	if int(o) >= len(outcomeNames) {
		return "invalid"
	}
	return outcomeNames[o]
}

// submission is a job that waits to become durable.
type submission struct {
	job     *workload.Job
	outcome Outcome
	cell    string // for OutcomeElsewhere
	// replaces is the version of the index row by which other organisations have cancelled a job with the ID; 0 if there is none.
	replaces int64
	done     chan struct{}
	finished bool
	// memory is what reserved counts in; reserved is what the submission takes, in bytes.
	memory   *JobMemory
	reserved int64
}

func (s *submission) finish(outcome Outcome, cell string) {
	if s.finished {
		return
	}
	s.finished = true
	s.outcome, s.cell = outcome, cell
	s.releaseMemory()
	close(s.done)
}

func (s *submission) releaseMemory() {
	s.memory.add(-s.reserved)
	s.reserved = 0
}

// Submit makes a job durable in the cell. Submitting a job again that the cell already has is accepted without effect.
// Submit returns OutcomeFull if the cell lacks capacity for a long-running job, or, unless force is set, for the first
// steps of another job. It returns OutcomeNoMemory if the job would take too much of the memory that is left, and OutcomeExcess for a
// job of an organisation that sends more than the cell can do for it. It returns OutcomeBacklog, whatever force is, if the best-effort work
// that waits leaves no time for the job. For OutcomeElsewhere it also returns the name of the
// other cell, which may be this one if the job has an organisation and the cell does not know that of the stored job.
func (c *Cell) Submit(ctx context.Context, job *workload.Job, force bool) (Outcome, string) {
	began := time.Now()
	defer func() { c.cfg.Metrics.submissionTime.Observe(time.Since(began).Seconds()) }()
	c.mu.Lock()
	if !c.awaitOtherOrganisation(ctx, job) {
		c.mu.Unlock()
		return OutcomeUnknown, ""
	}
	if c.lost {
		c.mu.Unlock()
		return OutcomeNotOwner, ""
	}
	if j, ok := c.jobs[job.ID]; ok {
		c.mu.Unlock()
		if !j.def.BelongsTo(job.Organisation) {
			return OutcomeConflict, ""
		}
		if j.origin != "" {
			return OutcomeElsewhere, j.origin
		}
		return OutcomeAccepted, ""
	}
	s := c.waitingSubmission(job.ID)
	if s == nil && c.storeDown {
		c.mu.Unlock()
		return OutcomeRefused, ""
	}
	if s == nil && c.excessOf(began, job) > 0 {
		c.mu.Unlock()
		return OutcomeExcess, ""
	}
	if s == nil && (!force || job.LongRunning()) && !c.hasCapacity(job) {
		c.mu.Unlock()
		return OutcomeFull, ""
	}
	if s == nil && c.refusesBestEffort(began, job) {
		c.mu.Unlock()
		return OutcomeBacklog, ""
	}
	reserved := submissionBytes(job)
	if s == nil && !c.cfg.Memory.reserve(reserved) {
		c.mu.Unlock()
		return OutcomeNoMemory, ""
	}
	if s == nil {
		s = &submission{job: job, done: make(chan struct{}), memory: c.cfg.Memory, reserved: reserved}
		c.submissions = append(c.submissions, s)
		c.countSubmission(began, job)
		c.addSubmitted(job)
		c.urgent = true
		wake(c.flushWake)
	}
	c.mu.Unlock()
	select {
	case <-s.done:
		return s.outcome, s.cell
	case <-ctx.Done():
		return OutcomeUnknown, ""
	case <-c.done:
		return OutcomeUnknown, ""
	}
}

// awaitOtherOrganisation waits for the decision on a submission of another organisation with the same ID. It returns false if ctx or the
// cell ended first. The caller holds mu, which is released meanwhile.
func (c *Cell) awaitOtherOrganisation(ctx context.Context, job *workload.Job) bool {
	for s := c.waitingSubmission(job.ID); s != nil && !s.job.BelongsTo(job.Organisation) && !c.lost; s = c.waitingSubmission(job.ID) {
		if !c.awaitDecision(ctx, s) {
			return false
		}
	}
	return true
}

// awaitDecision waits for the decision on a submission. It returns false if ctx or the cell ended first. The caller holds mu, which is
// released meanwhile.
func (c *Cell) awaitDecision(ctx context.Context, s *submission) bool {
	c.mu.Unlock()
	defer c.mu.Lock()
	select {
	case <-s.done:
		return true
	case <-ctx.Done():
	case <-c.done:
	}
	return false
}

// waitingSubmission returns the undecided submission of a job, which a repeated submission joins. The caller holds mu.
func (c *Cell) waitingSubmission(id string) *submission {
	for s := range c.undecided() {
		if s.job.ID == id {
			return s
		}
	}
	return nil
}

// undecided returns the submissions that wait and those of the commit in flight. The caller holds mu.
func (c *Cell) undecided() iter.Seq[*submission] {
	return func(yield func(*submission) bool) {
		for _, list := range [][]*submission{c.submissions, c.committing} {
			for _, s := range list {
				if !s.finished && !yield(s) {
					return
				}
			}
		}
	}
}

// accept adds a job that has become durable. The caller holds mu.
func (c *Cell) accept(now time.Time, job *workload.Job) {
	if _, ok := c.jobs[job.ID]; ok {
		return
	}
	j := newJobState(job)
	c.addJob(job.ID, j)
	if job.Organisation != "" {
		c.caps.needed.Store(true)
	}
	if job.StartAt.IsZero() {
		c.pending[job.Policy.Queue]++
		c.addOccurrence(j)
	}
	c.cfg.Log.WithFields(logrus.Fields{"request": job.ID, "queue": job.Policy.Queue, "cell": c.cfg.Name, "steps": len(job.Steps),
		"accept_ms": now.Sub(job.AcceptedAt).Milliseconds()}).Info("job accepted")
}

// State returns the client-visible state of a job, and whether the cell has the job.
func (c *Cell) State(id string) (workload.State, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[id]
	if j == nil {
		return "", false
	}
	return j.visible(), true
}

// Organisation returns the organisation of a job, and whether the cell has the job.
func (c *Cell) Organisation(id string) (string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[id]
	if j == nil {
		return "", false
	}
	return j.def.Organisation, true
}

// Cancel cancels a job, whatever its organisation is. See CancelFor.
func (c *Cell) Cancel(ctx context.Context, id string) (found bool, err error) {
	return c.CancelFor(ctx, id, "")
}

// CancelFor cancels a job that has not ended, and returns once its end is durable. found is false if the cell does not
// have the job, or if the job belongs to another organisation; then nothing is changed. The decision on a submission of the job
// that is under way is awaited.
func (c *Cell) CancelFor(ctx context.Context, id, organisation string) (found bool, err error) {
	c.mu.Lock()
	for s := c.waitingSubmission(id); s != nil && !c.lost; s = c.waitingSubmission(id) {
		c.mu.Unlock()
		select {
		case <-s.done:
		case <-ctx.Done():
			return true, ctx.Err()
		case <-c.done:
			return true, errNotOwner
		}
		c.mu.Lock()
	}
	if c.lost {
		c.mu.Unlock()
		return false, errNotOwner
	}
	j := c.jobs[id]
	if j == nil || !j.def.BelongsTo(organisation) {
		c.mu.Unlock()
		return false, nil
	}
	if j.durableState.Terminal() {
		c.mu.Unlock()
		return true, nil
	}
	if !j.state.Terminal() {
		c.finish(time.Now(), j, workload.StateCancelled, "cancelled by the client")
	}
	durable := make(chan struct{})
	j.durableWaiters = append(j.durableWaiters, durable)
	c.markUrgent(j)
	c.mu.Unlock()
	select {
	case <-durable:
		return true, nil
	case <-ctx.Done():
		return true, ctx.Err()
	case <-c.done:
		return true, errNotOwner
	}
}

// Load describes a cell to nodes that choose a cell for a job.
type Load struct {
	Cell  string `json:"cell"`
	Epoch int64  `json:"epoch"`
	// BacklogMs is how long all runners of the cell together need for the waiting tasks.
	BacklogMs int64 `json:"backlog_ms,omitempty"`
	Runners   int   `json:"runners"`
	// Capacity is the total of all usable runners, and Free the part of it that is not committed, in thousandths of a
	// core.
	Capacity int64 `json:"cap"`
	Free     int64 `json:"free"`
	// LongRunningCapacity is how much more capacity long-running tasks may commit, and LongRunningFreed the capacity that
	// they recently released per second, in thousandths of a core.
	LongRunningCapacity int64 `json:"lroom,omitempty"`
	LongRunningFreed    int64 `json:"lfreed,omitempty"`
	// CapacityUnknown is set while the owner has not learned of all runners of the cell.
	CapacityUnknown bool `json:"cap_unknown,omitempty"`
	// Places counts, for each service and each size of placeSizes, the tasks of that size that fit on the runners now.
	// LongRunningPlaces counts those that fit once the short tasks have ended, beside the long-running tasks that wait.
	Places            map[string][]int `json:"places,omitempty"`
	LongRunningPlaces map[string][]int `json:"lplaces,omitempty"`
	// Pieces and LongRunningPieces are the largest free pieces of capacity behind these counts, by service.
	Pieces            map[string][]Piece `json:"pieces,omitempty"`
	LongRunningPieces map[string][]Piece `json:"lpieces,omitempty"`
	// Pending counts accepted jobs without a started task, by queue.
	Pending map[string]int `json:"pending,omitempty"`
	// Organisations has what organisations use and wait for that use more than half of their limit or have tasks that wait for it.
	Organisations map[string]quota.Demand `json:"orgs,omitempty"`
	// BestEffortWaitMs is, if a job was refused lately because of the cell's best-effort work, how long that leaves no time for another one.
	BestEffortWaitMs int64 `json:"be_wait_ms,omitempty"`
	// ExcessMs is, for each organisation of which a job was refused lately, how long its waiting work leaves no time for another job.
	ExcessMs map[string]int64 `json:"excess,omitempty"`
}

// hasCapacity reports whether the cell has capacity for the first steps of a job. The caller holds mu.
func (c *Cell) hasCapacity(job *workload.Job) bool {
	if longRunning := LongRunningDemand(job); longRunning > 0 {
		return longRunning <= c.longRunningCapacity() && c.hasPlaces(job)
	}
	load := c.currentLoad()
	var demand Demand
	demand.Add(job)
	for s := range c.undecided() {
		demand.Add(s.job)
	}
	if demand.Committed == 0 {
		// The job has only best-effort tasks, which commit no capacity.
		return true
	}
	return load.Free >= demand.Committed
}

// Load returns the cell's load without the places.
func (c *Cell) Load() Load {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.currentLoad()
}

// WithoutPlaces returns the load as nodes need it that only choose a cell for jobs.
func (l Load) WithoutPlaces() Load {
	l.Places, l.LongRunningPlaces, l.Pieces, l.LongRunningPieces, l.Organisations = nil, nil, nil, nil, nil
	return l
}

// LoadWithPlaces returns the cell's load as other nodes need it to choose a host for tasks.
func (c *Cell) LoadWithPlaces() Load {
	c.mu.Lock()
	defer c.mu.Unlock()
	load := c.currentLoad()
	now := time.Now()
	free, longRunning := c.freePlaces(now), c.longRunningPlaces(now)
	load.Places, load.Pieces = free.Counts, free.Pieces
	load.LongRunningPlaces, load.LongRunningPieces = longRunning.Counts, longRunning.Pieces
	load.Organisations = c.demands()
	return load
}

// isUsable reports whether the capacity of a runner counts as the cell's. The caller holds mu.
func (c *Cell) isUsable(now time.Time, rs *runnerState) bool {
	return rs.present && !rs.info.Draining && !c.evacuated[rs.info.Domain] && rs.reachable(now)
}

// currentLoad returns the cell's load. The caller holds mu.
func (c *Cell) currentLoad() Load {
	load := Load{Cell: c.cfg.Name, Epoch: c.epoch, Pending: map[string]int{}, LongRunningCapacity: c.longRunningCapacity(),
		LongRunningFreed: int64(c.admission.freedRate), CapacityUnknown: !c.runnersKnown}
	for queue, n := range c.pending {
		if n > 0 {
			load.Pending[queue] = n
		}
	}
	now := time.Now()
	load.ExcessMs, load.BestEffortWaitMs = c.excessLoad(now), c.recentBestEffortWait(now).Milliseconds()
	for _, rs := range c.runners {
		if c.isUsable(now, rs) {
			load.Runners++
			load.Capacity += rs.info.Capacity.CPU
			load.Free += rs.info.Capacity.CPU
			for r := range rs.runs {
				load.Free -= r.unit.def().Committed().CPU
			}
		}
	}
	var work int64
	for _, u := range c.ready {
		if u.phase == phaseReady && !u.waitsForCap {
			work += u.def().Resources.CPU * int64(u.size) * max(u.def().Estimated.Milliseconds(), 1)
			load.Free -= u.def().Committed().CPU * int64(u.size)
		}
	}
	if load.Capacity > 0 {
		load.BacklogMs = work / load.Capacity
	}
	return load
}

// StoredState reads the state of a job from the store, for nodes that can't reach the cell's owner. found is false if
// the job does not exist or was removed after it ended.
func StoredState(ctx context.Context, s store.Store, part, id string) (state workload.State, found bool, err error) {
	page, err := s.Range(ctx, TableProgress, part, id, id+"\x00", 1)
	if err != nil {
		return "", false, err
	}
	if len(page.Rows) == 0 {
		page, err = s.Range(ctx, TableJobs, part, id, id+"\x00", 1)
		return workload.StateQueued, err == nil && len(page.Rows) > 0, err
	}
	p, err := decodeProgress(page.Rows[0].Value)
	if err != nil {
		return "", false, fmt.Errorf("progress row of job %s: %w", id, err)
	}
	if p.State.Terminal() || !p.Started {
		return p.State, true, nil
	}
	return workload.StateRunning, true, nil
}

// StoredOrganisation reads the organisation of a job from the store. found is false if the job does not exist.
func StoredOrganisation(ctx context.Context, s store.Store, part, id string) (organisation string, found bool, err error) {
	page, err := s.Range(ctx, TableJobs, part, id, id+"\x00", 1)
	if err != nil || len(page.Rows) == 0 {
		return "", false, err
	}
	var job struct {
		Organisation string `json:"org"`
	}
	if err := json.Unmarshal(page.Rows[0].Value, &job); err != nil {
		return "", true, fmt.Errorf("row of job %s: %w", id, err)
	}
	return job.Organisation, true, nil
}
