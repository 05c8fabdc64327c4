package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/currantthread/currantthread/store"
	"github.com/currantthread/currantthread/workload"
)

// A host that has had no place for a delegated task for returnAfter returns it; see delegation.go. Its row then lists the task as returned, with
// the highest run number and the checkpoint, and from then on it starts the task no more. It tells the origin, which takes the task back as if the
// host had never had it: in a commit that is conditional on the version of the host's row. The message only says that the row is worth reading.

const (
	// returnAfter is how long a delegated task has no place in the host before it is returned.
	returnAfter = 2 * time.Second
	// returnRetry is the pause between two messages about the returned tasks of a job.
	returnRetry = 1 * time.Second
	// maxReturnedJobs bounds the jobs of one message. The origin reads a row for each of them.
	maxReturnedJobs = 20
	// maxReportedWait bounds the wait that a host reports.
	maxReportedWait = 24 * time.Hour
)

// isReturned reports whether a host has returned the unit and does not know yet that the origin has it.
func (u *unit) isReturned() bool { return !u.returnedAt.IsZero() && !u.held }

// returnedUnits returns the units that the origin has to be told of.
func (j *jobState) returnedUnits() []*unit {
	var returned []*unit
	for _, occ := range j.occs {
		for i := range occ.steps {
			for _, u := range occ.steps[i].units {
				if u.isReturned() {
					returned = append(returned, u)
				}
			}
		}
	}
	return returned
}

// mayReturn reports whether a unit that waits belongs to another cell and can be returned. The caller holds mu.
func (c *Cell) mayReturn(u *unit) bool {
	j := u.job
	return u.phase == phaseReady && u.held && u.startsDurably() && j.origin != "" && !j.state.Terminal() && len(u.runs) == 0 &&
		len(j.transfers) == 0 && !c.awaitsUnresolved(u)
}

// returnUnplaced returns the units of other cells that have had no place for returnAfter. The caller holds mu.
func (c *Cell) returnUnplaced(now time.Time) {
	var waiting []*unit
	for _, u := range c.ready {
		if c.mayReturn(u) {
			waiting = append(waiting, u)
		}
	}
	if len(waiting) == 0 {
		return
	}
	packing := c.newRespondingPacking(now)
	packing.placeAll()
	for _, u := range waiting {
		if packing.unplaced[u.def()] <= 0 {
			u.noPlaceSince = time.Time{}
			continue
		}
		packing.unplaced[u.def()]--
		if u.noPlaceSince.Before(u.readyAt) {
			u.noPlaceSince = now
		}
		if now.Sub(u.noPlaceSince) >= returnAfter {
			c.returnUnit(now, u)
		}
	}
}

// returnUnit marks a unit as returned in the job's next row. The caller holds mu.
func (c *Cell) returnUnit(now time.Time, u *unit) {
	c.unqueue(u)
	u.phase, u.held, u.assigned = phaseRemote, false, ""
	u.returnedAt, u.returnDurable, u.noPlaceSince = now, false, time.Time{}
	c.returning[u.job] = true
	c.cfg.Log.WithFields(logrus.Fields{"cell": c.cfg.Name, "request": u.job.def.ID, "task": u.task(0).String(), "origin": u.job.origin,
		"waited_ms": now.Sub(u.waitsSince()).Milliseconds()}).Info("returning a task to its cell, because there is no place for it")
	c.markUrgent(u.job)
}

// applyReturns records which returned units became durable as such with a job's row. The caller holds mu.
func (c *Cell) applyReturns(bj batchJob) {
	for _, u := range bj.returned {
		u.returnDurable = u.isReturned()
	}
}

// returnedTask is a unit of which the origin is told, as returned at a time.
type returnedTask struct {
	unit *unit
	at   time.Time
}

// tellOrigins tells the origins of returned units. The caller holds mu.
func (c *Cell) tellOrigins(ctx context.Context, now time.Time) {
	if c.releasing {
		return
	}
	messages, tasks := map[string][]*Delegation{}, map[string][][]returnedTask{}
	for j := range c.returning {
		units := j.returnedUnits()
		if len(units) == 0 || j.state.Terminal() {
			delete(c.returning, j)
			continue
		}
		if j.tellingOrigin || now.Sub(j.originToldAt) < returnRetry || len(messages[j.origin]) >= maxReturnedJobs {
			continue
		}
		message := &Delegation{Origin: j.origin, Job: j.def, Returned: c.cfg.Name}
		var told []returnedTask
		for _, u := range units {
			if u.returnDurable {
				u.beginWait(now)
				message.Tasks = append(message.Tasks, DelegatedTask{Step: u.step, Index: u.first, Run: u.run, WaitedMs: now.Sub(u.waitingSince).Milliseconds()})
				told = append(told, returnedTask{u, u.returnedAt})
			}
		}
		if len(told) == 0 {
			continue
		}
		j.tellingOrigin, j.originToldAt = true, now
		messages[j.origin], tasks[j.origin] = append(messages[j.origin], message), append(tasks[j.origin], told)
	}
	for origin := range messages {
		c.background.Go(func() { c.tellOrigin(ctx, origin, messages[origin], tasks[origin]) })
	}
}

// tellOrigin tells an origin of returned units, those of one job in each message.
func (c *Cell) tellOrigin(ctx context.Context, origin string, messages []*Delegation, tasks [][]returnedTask) {
	outcomes, err := c.ask(ctx, offerCallTimeout, origin, messages)
	if err != nil {
		c.cfg.Log.WithFields(logrus.Fields{"cell": c.cfg.Name, "origin": origin, "jobs": len(messages), "error": err.Error()}).
			Debug("message about returned tasks failed")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, told := range tasks {
		j := told[0].unit.job
		j.tellingOrigin = false
		if outcomes[i] != OutcomeAccepted {
			continue
		}
		for _, task := range told {
			// The unit may have been taken over and returned again meanwhile.
			if u := task.unit; u.isReturned() && u.returnedAt.Equal(task.at) {
				u.returnedAt, u.returnDurable = time.Time{}, false
				u.endWait()
			}
		}
		c.markDirty(j)
	}
}

// takeReturned handles the messages about returned units among those that the cell has received.
func (c *Cell) takeReturned(ctx context.Context, ds []*Delegation, outcomes []Outcome) {
	var messages sync.WaitGroup
	for i, d := range ds {
		if d.Returned != "" {
			messages.Go(func() { outcomes[i] = c.takeBack(ctx, d) })
		}
	}
	messages.Wait()
}

// takeBack takes back the units that a host has returned. OutcomeAccepted means that the store shows for each of them that the host does not
// have it any more.
func (c *Cell) takeBack(ctx context.Context, d *Delegation) Outcome {
	c.mu.Lock()
	units, outcome := c.unitsToTakeBack(d)
	c.mu.Unlock()
	if len(units) == 0 {
		return outcome
	}
	hosted, condition, err := c.readHosted(ctx, d.Returned, d.Job.ID)
	if err != nil {
		return OutcomeUnknown
	}
	c.mu.Lock()
	if units, outcome = c.unitsToTakeBack(d); len(units) == 0 {
		c.mu.Unlock()
		return outcome
	}
	var left []*unit
	for _, u := range units {
		if !hosted.holds(u) {
			left = append(left, u)
		}
	}
	if len(left) == 0 {
		c.mu.Unlock()
		return OutcomeChanged
	}
	t := c.beginTakeBack(left, d.Returned, &hosted, condition)
	c.recordWaits(time.Now(), d)
	c.mu.Unlock()
	if outcome = c.await(ctx, t); outcome != OutcomeAccepted {
		if outcome == OutcomeChanged {
			// The host has taken the units over again.
			c.mu.Lock()
			endWaits(left)
			c.mu.Unlock()
		}
		return outcome
	}
	c.cfg.Log.WithFields(logrus.Fields{"cell": c.cfg.Name, "request": d.Job.ID, "host": d.Returned, "tasks": len(left)}).
		Info("took returned tasks back")
	if len(left) < len(units) {
		return OutcomeChanged
	}
	return OutcomeAccepted
}

// unitsToTakeBack returns the units of a message about returned units that the job's row assigns to the host, or the outcome if there are
// none or they can't be taken back now. The caller holds mu.
func (c *Cell) unitsToTakeBack(d *Delegation) ([]*unit, Outcome) {
	if c.lost {
		return nil, OutcomeNotOwner
	}
	j := c.jobs[d.Job.ID]
	if c.cfg.Peers == nil || j == nil || j.origin != "" {
		return nil, OutcomeRefused
	}
	if j.state.Terminal() || len(j.delegations) > 0 || len(j.transfers) > 0 {
		// The host is told once the end of the job is durable. A delegation in progress takes back what the host does not have.
		return nil, OutcomeUnknown
	}
	var units []*unit
	for _, task := range d.Tasks {
		u := j.delegatedUnit(task)
		if u == nil {
			return nil, OutcomeRefused
		}
		if u.phase == phaseRemote && u.host == d.Returned {
			units = append(units, u)
		}
	}
	return units, OutcomeAccepted
}

// delegatedUnit returns the unit of a task in a delegation, or nil if the job has no such task.
func (j *jobState) delegatedUnit(task DelegatedTask) *unit {
	if task.Step < 0 || task.Index < 0 {
		return nil
	}
	return j.unitOf(workload.TaskID{Job: j.def.ID, Step: task.Step, Index: task.Index})
}

// recordWaits counts the time for which returned units have waited in the host as part of their wait. The caller holds mu.
func (c *Cell) recordWaits(now time.Time, d *Delegation) {
	j := c.jobs[d.Job.ID]
	for _, task := range d.Tasks {
		if u := j.delegatedUnit(task); u.waitingSince.IsZero() {
			waited := min(max(task.WaitedMs, 0), maxReportedWait.Milliseconds())
			u.waitingSince = now.Add(-time.Duration(waited) * time.Millisecond)
		}
	}
}

// readHosted reads what a host has recorded of a job, and returns the condition under which that is still so.
func (c *Cell) readHosted(ctx context.Context, host, id string) (hosted progress, unchanged store.Condition, err error) {
	key := store.Key{Table: TableProgress, Part: c.cfg.Peers.Part(host), Name: id}
	// An old row does no harm: the condition does not hold then.
	row, err := c.readRowSince(ctx, 0, key)
	if err != nil {
		return progress{}, store.Condition{}, err
	}
	if row.Version != 0 {
		if hosted, err = decodeProgress(row.Value); err != nil {
			c.cfg.Log.WithFields(logrus.Fields{"cell": c.cfg.Name, "request": id, "host": host, "error": err.Error()}).
				Error("row of delegated tasks can't be decoded")
			return progress{}, store.Condition{}, err
		}
	}
	return hosted, store.Condition{Key: key, Version: row.Version}, nil
}

// beginTakeBack adds a transfer to the job's next row that takes units back which the host does not have as long as the condition holds.
// The host may have run them before. The caller holds mu.
func (c *Cell) beginTakeBack(units []*unit, host string, hosted *progress, condition store.Condition) *transfer {
	j := units[0].job
	t := &transfer{units: units, host: host, condition: condition, done: make(chan struct{})}
	for _, u := range units {
		u.host = ""
		saved := hosted.unit(u)
		if saved.Run = min(saved.Run, maxRestoredRun); saved.Run > u.run {
			u.run = saved.Run
			if saved.Checkpoint != "" {
				u.checkpoint = saved.Checkpoint
			}
		}
	}
	j.transfers = append(j.transfers, t)
	c.markUrgent(j)
	return t
}

// unit returns what the progress lists of a unit. In the compact form, the run number may be higher than the one of the unit.
func (p *progress) unit(u *unit) unitProgress {
	for _, o := range p.Occs {
		if o.Number != u.occ || u.step >= len(o.Steps) {
			continue
		}
		for _, saved := range o.Steps[u.step].Units {
			if saved.Unit == u.first {
				return saved
			}
		}
	}
	return unitProgress{Unit: u.first, Run: p.HighestRun}
}
