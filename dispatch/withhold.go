package dispatch

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/currantthread/currantthread/internal/wait"
	"github.com/currantthread/currantthread/runner"
	"github.com/currantthread/currantthread/store"
	"github.com/currantthread/currantthread/workload"
)

// A row that the store refuses at each attempt must not hold back the other rows of the cell. It is left out of the
// commits: a submission is refused, and the progress of a job is withheld and tried again later. Until then, no end that changed
// the job is acknowledged to its runner, so that a new owner receives it again.

// withheldRetry is the pause before a withheld row is tried again. Each attempt costs several commits.
const withheldRetry = 10 * time.Second

// withheldRow describes a progress row that is left out of the commits.
type withheldRow struct {
	until time.Time
	// state is that of the job when the row was withheld. The row of another state is tried at once: that of an ended job
	// has no details.
	state workload.State
}

// endOfJob is an end that a runner has reported.
type endOfJob struct {
	number int64
	job    string
	// unit is that of a task that is not part of a gang.
	unit unitKey
}

// checkRowSize returns an error for a value that the store does not take.
func checkRowSize(value []byte) error {
	if len(value) > store.MaxRowBytes {
		return fmt.Errorf("row has %d bytes, at most %d can be stored", len(value), store.MaxRowBytes)
	}
	return nil
}

// withhold leaves the progress row of a job out of the commits for withheldRetry. The job stays dirty. The caller holds mu.
func (c *Cell) withhold(now time.Time, j *jobState, err error) {
	c.withheld[j] = withheldRow{until: now.Add(withheldRetry), state: j.state}
	j.dirty = true
	c.dirty[j] = true
	c.cfg.Log.WithFields(logrus.Fields{"cell": c.cfg.Name, "request": j.def.ID, "error": err.Error()}).Error("progress of a job can't be stored")
}

// isWithheld reports whether the progress row of a job is left out of the commits now. The caller holds mu.
func (c *Cell) isWithheld(now time.Time, j *jobState) bool {
	row, ok := c.withheld[j]
	return ok && now.Before(row.until) && row.state == j.state
}

// recordEnd remembers an end until it is acknowledged. The end numbers of a runner rise until its process restarts.
func (rs *runnerState) recordEnd(e runner.Ended) {
	if last := len(rs.unackedEnds) - 1; last >= 0 && e.Number <= rs.unackedEnds[last].number {
		rs.unackedEnds = nil
	}
	rs.unackedEnds = append(rs.unackedEnds, endOfJob{number: e.Number, job: e.Task.Job, unit: keyOf(e.Task)})
}

// durableEnds returns the number of the last end of a runner that may be acknowledged once all dirty jobs that are not withheld
// are durable: acknowledging an end acknowledges those before it too. The caller holds mu.
func (c *Cell) durableEnds(rs *runnerState) int64 {
	rs.unackedEnds = slices.DeleteFunc(rs.unackedEnds, func(e endOfJob) bool { return e.number <= rs.acked })
	if len(c.withheld) == 0 {
		return rs.processed
	}
	for _, e := range rs.unackedEnds {
		if j := c.jobs[e.job]; j != nil {
			if _, withheld := c.withheld[j]; withheld {
				return min(rs.processed, e.number-1)
			}
		}
	}
	return rs.processed
}

// commitParts commits the contents of a batch that the store refuses at each attempt in smaller batches, and leaves out what it
// refuses by itself. It reports whether the store took everything else.
func (c *Cell) commitParts(ctx context.Context, b *batch, refusal error) bool {
	switch items := b.items(); items {
	case 0:
		// No smaller batch would be taken.
		c.markStoreDown("the store refuses the ownership row")
		wait.For(ctx, commitRetry)
		return false
	case 1:
		if !c.commit(ctx, c.takePart(b, 0)) {
			c.requeue(b)
			return false
		}
		c.leaveOut(b, refusal)
		return true
	default:
		if !c.commit(ctx, c.takePart(b, items/2)) {
			c.requeue(b)
			return false
		}
		return c.commit(ctx, c.takePart(b, b.items()))
	}
}

// items returns the number of changes in a batch besides the ownership row.
func (b *batch) items() int { return len(b.submissions) + len(b.jobs) + len(b.expired) }

// takePart moves changes from a batch that was not applied to a new batch.
func (c *Cell) takePart(b *batch, items int) *batch {
	c.mu.Lock()
	defer c.mu.Unlock()
	part := c.newBatch(time.Now())
	values := make(map[store.Key][]byte, len(b.txn.Writes))
	for _, w := range b.txn.Writes {
		values[w.Key] = w.Value
	}
	n := min(items, len(b.submissions))
	for _, s := range b.submissions[:n] {
		c.addSubmissionRows(part, s, values[c.key(TableJobs, s.job.ID)])
	}
	b.submissions = b.submissions[n:]
	items -= n
	n = min(items, len(b.jobs))
	for _, bj := range b.jobs[:n] {
		c.addProgressRow(part, bj, values[c.key(TableProgress, bj.job.def.ID)])
	}
	b.jobs = b.jobs[n:]
	items -= n
	n = min(items, len(b.expired))
	for _, j := range b.expired[:n] {
		c.addExpired(part, j)
	}
	b.expired = b.expired[n:]
	return part
}

// leaveOut leaves out the only change of a batch that the store refuses because of it.
func (c *Cell) leaveOut(b *batch, refusal error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range b.submissions {
		c.cfg.Log.WithField("request", s.job.ID).WithError(refusal).Error("job can't be stored")
		s.finish(OutcomeRefused, "")
	}
	for _, bj := range b.jobs {
		bj.job.durableWaiters = append(bj.job.durableWaiters, bj.waiters...)
		c.withhold(time.Now(), bj.job, refusal)
	}
	for _, j := range b.expired {
		c.cfg.Log.WithField("request", j.def.ID).WithError(refusal).Error("rows of an ended job can't be deleted")
	}
}
