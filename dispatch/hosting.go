package dispatch

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/currantthread/currantthread/placement"
	"github.com/currantthread/currantthread/store"
	"github.com/currantthread/currantthread/workload"
)

// The host's side of a delegation; see delegation.go.

// TakeOver takes over tasks that another cell delegates, or reserves places for them, and returns an outcome for each delegation once those
// that were taken are durable. It also takes back tasks that another cell returns. OutcomeFull if the cell has no capacity for the tasks, and OutcomeChanged if the origin's row has changed meanwhile.
func (c *Cell) TakeOver(ctx context.Context, ds []*Delegation) []Outcome {
	transfers, outcomes := c.beginTakeOvers(ds)
	for i, t := range transfers {
		if t != nil {
			outcomes[i] = c.await(ctx, t)
		}
	}
	c.takeReturned(ctx, ds, outcomes)
	return outcomes
}

// await returns the outcome of a transfer to this cell.
func (c *Cell) await(ctx context.Context, t *transfer) Outcome {
	select {
	case <-t.done:
	case <-ctx.Done():
		return OutcomeUnknown
	case <-c.done:
		return OutcomeUnknown
	}
	if !t.applied {
		return OutcomeChanged
	}
	return OutcomeAccepted
}

// beginTakeOvers adds a transfer for each delegation to the next rows, or determines its outcome.
func (c *Cell) beginTakeOvers(ds []*Delegation) ([]*transfer, []Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	transfers, outcomes := make([]*transfer, len(ds)), make([]Outcome, len(ds))
	var begun []*transfer
	for i, d := range ds {
		transfers[i], outcomes[i] = c.beginTakeOver(d)
		if transfers[i] != nil {
			begun = append(begun, transfers[i])
		}
	}
	if len(begun) > 0 {
		c.assignTaken(time.Now(), begun)
	}
	return transfers, outcomes
}

// assignTaken chooses runners for units that are taken over, so that the commit that takes them over also makes their assignments
// durable. The others wait for a plan. The caller holds mu.
func (c *Cell) assignTaken(now time.Time, transfers []*transfer) {
	views := c.runnerViews(now)
	byID := make(map[string]*runnerView, len(views))
	for _, v := range views {
		byID[v.candidate.ID] = v
	}
	for _, t := range transfers {
		for _, u := range t.units {
			if u.job.def.Policy.Advised || !c.capAllows(now, u) {
				continue
			}
			service := c.serviceOf(u.job)
			request := c.placementRequest(u, map[string]int{})
			best := placement.Pick(request, serviceCandidates(service, views))
			if best == nil {
				continue
			}
			recordPlacement(best, request)
			c.recordService(u.job, service)
			c.planRun(now, u, u.run+1, byID[best.ID].state)
		}
	}
}

// beginTakeOver adds the transfer for a delegation to the job's next row, or returns the outcome. The caller holds mu.
func (c *Cell) beginTakeOver(d *Delegation) (*transfer, Outcome) {
	if c.lost {
		return nil, OutcomeNotOwner
	}
	if c.cfg.Peers == nil || d.Origin == c.cfg.Name || d.Version < 1 && !d.Reserve || len(d.Tasks) == 0 || d.Returned != "" {
		return nil, OutcomeRefused
	}
	now := time.Now()
	j := c.jobs[d.Job.ID]
	if d.Reserve {
		if j != nil && (j.origin != d.Origin || j.state.Terminal()) || !c.mayStartDelegations(now) {
			return nil, OutcomeRefused
		}
		return nil, c.reservePlaces(now, d)
	}
	switch {
	case j == nil && !c.cfg.Memory.fits(submissionBytes(d.Job)):
		return nil, OutcomeFull
	case j == nil:
		j = newHostedJob(d)
	case j.origin != d.Origin || j.state.Terminal():
		return nil, OutcomeRefused
	case len(j.transfers) > 0:
		// The request is repeated while the first one is committed, or more tasks follow.
		return nil, OutcomeUnknown
	}
	units, ok := j.unitsToTake(d)
	if !ok {
		return nil, OutcomeRefused
	}
	if len(units) == 0 {
		return nil, OutcomeAccepted
	}
	if !c.mayStartDelegations(now) {
		return nil, OutcomeRefused
	}
	c.dropReservations(d)
	packing := c.newRespondingPacking(now)
	packing.placeAll()
	if !packing.hasPlacesFor(c.serviceOf(j), units) {
		c.reportFull(now, d, packing)
		return nil, OutcomeFull
	}
	t := &transfer{units: units, takesOver: true, done: make(chan struct{}),
		condition: store.Condition{Key: store.Key{Table: TableProgress, Part: c.cfg.Peers.Part(d.Origin), Name: d.Job.ID}, Version: d.Version}}
	if j.rowVersion == 0 {
		row, err := json.Marshal(j.def)
		if err != nil || checkRowSize(row) != nil {
			return nil, OutcomeRefused
		}
		t.jobRow = row
	}
	for _, u := range units {
		u.held = true
	}
	if c.jobs[d.Job.ID] == nil {
		c.addJob(d.Job.ID, j)
	}
	if d.Job.Organisation != "" {
		c.caps.needed.Store(true)
	}
	c.delegating[j] = true
	j.transfers = append(j.transfers, t)
	c.markUrgent(j)
	return t, OutcomeUnknown
}

// newHostedJob returns the state of a job in a host cell that has none of its units yet.
func newHostedJob(d *Delegation) *jobState {
	j := newJobState(d.Job)
	j.origin, j.started, j.nextOcc = d.Origin, true, 1
	occ := j.newOccurrence(0)
	for i := range occ.steps {
		for _, u := range occ.steps[i].units {
			u.phase = phaseRemote
		}
	}
	return j
}

// unitsToTake returns the units of a delegation that the host does not have yet. It returns false if the delegation names a unit that
// can't be delegated.
func (j *jobState) unitsToTake(d *Delegation) (units []*unit, ok bool) {
	for _, task := range d.Tasks {
		if task.Step < 0 || task.Index < 0 || task.Run < 0 {
			return nil, false
		}
		u := j.unitOf(workload.TaskID{Job: d.Job.ID, Step: task.Step, Index: task.Index})
		if u == nil || !u.startsDurably() || slices.Contains(units, u) {
			return nil, false
		}
		if u.held {
			continue
		}
		if !u.isReturned() || task.Run >= u.run {
			// A message about a returned unit may be older than its last run here.
			u.checkpoint = task.Checkpoint
		}
		u.run = min(max(u.run, task.Run), maxRestoredRun)
		units = append(units, u)
	}
	return units, true
}

// startHosted sends the start command of a planned run of another cell's job, unless that job has ended. The origin may have been lost
// before it could tell this cell.
func (c *Cell) startHosted(ctx context.Context, r *run, origin string) {
	c.mu.Lock()
	since := r.unit.job.hostedSince
	c.mu.Unlock()
	// The origin's row names this cell since it has taken tasks over. A read from before that would look like the end of the job.
	row, err := c.readRowSince(ctx, since, store.Key{Table: TableProgress, Part: c.cfg.Peers.Part(origin), Name: r.unit.job.def.ID})
	ended := false
	if err == nil {
		ended, err = isEnded(row)
	}
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if !r.exists() || r.phase != runPlanned || r.stop.wanted || c.releasing || c.lost {
		return
	}
	switch {
	case ended:
		c.finish(now, r.unit.job, workload.StateCancelled, "the job has ended in cell "+origin)
	case err != nil || !c.mayStart() || c.unavailable(now, r.runner) != "":
		c.withdrawStart(r)
	default:
		r.phase, r.startedAt = runStarting, now
		c.commandStart(ctx, now, r)
	}
}
