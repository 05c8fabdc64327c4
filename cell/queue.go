package cell

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/currantthread/currantthread/infra"
	"github.com/currantthread/currantthread/job"
	"github.com/currantthread/currantthread/ledger"
)

const (
	// maxQueued bounds the queued tasks in memory. Urgent tasks are exempt.
	maxQueued = 5000
	// claimDelay and urgentClaimDelay are how long, per claim rank, a cell waits after it first sees a queued task
	// before it claims the task. This makes conflicts between cells that could all place the task rare.
	claimDelay       = 2 * time.Second
	urgentClaimDelay = 500 * time.Millisecond
)

// entry is a queued task as last read from the table.
type entry struct {
	task      job.Task
	key       string
	version   int64
	firstSeen time.Time
	// claimAt is when this cell may claim the task.
	claimAt   time.Time
	enqueued  bool
	cancelled bool
	// parkPending is set while the write of the parking reason is in flight.
	parkPending bool
}

// queue holds the queued tasks that this cell may claim, and the cancelled jobs. Only the apply loop uses it.
type queue struct {
	entries       map[job.TaskID]*entry
	keys          map[string]*entry
	enqueued      int
	cancelledJobs map[string]bool
}

func newQueue() *queue {
	return &queue{entries: map[job.TaskID]*entry{}, keys: map[string]*entry{}, cancelledJobs: map[string]bool{}}
}

func (q *queue) add(e *entry) {
	if old := q.entries[e.task.ID]; old != nil {
		q.drop(old)
	}
	e.cancelled = q.cancelledJobs[e.task.ID.Job()]
	q.entries[e.task.ID] = e
	q.keys[e.key] = e
}

func (q *queue) drop(e *entry) {
	q.setEnqueued(e, false)
	delete(q.entries, e.task.ID)
	delete(q.keys, e.key)
}

func (q *queue) setEnqueued(e *entry, enqueued bool) {
	if e.enqueued == enqueued {
		return
	}
	e.enqueued = enqueued
	if enqueued {
		q.enqueued++
	} else {
		q.enqueued--
	}
}

func (q *queue) sorted() []*entry {
	return slices.SortedFunc(maps.Values(q.entries), byKey)
}

func byKey(a, b *entry) int { return strings.Compare(a.key, b.key) }

func (q *queue) ofJob(jobID string) []*entry {
	return slices.DeleteFunc(q.sorted(), func(e *entry) bool { return e.task.ID.Job() != jobID })
}

// cancelled returns at most limit queued tasks of cancelled jobs that this cell may remove.
func (q *queue) cancelled(now time.Time, limit int) []*entry {
	if len(q.cancelledJobs) == 0 {
		return nil
	}
	var out []*entry
	for _, e := range q.sorted() {
		if e.cancelled && !now.Before(e.claimAt) && len(out) < limit {
			out = append(out, e)
		}
	}
	return out
}

// mergePage updates the queue from a page that the scanner has read.
func (o *owner) mergePage(page scanPage) {
	now := time.Now()
	if page.prefix == ledger.CancelPrefix {
		for _, row := range page.rows {
			o.cancelJob(strings.TrimPrefix(row.Key, ledger.CancelPrefix))
		}
		return
	}
	seen := map[string]bool{}
	for _, row := range page.rows {
		seen[row.Key] = true
		o.addQueuedRow(row, now)
	}
	for key, e := range o.queue.keys {
		if !seen[key] && page.covers(key) && e.firstSeen.Before(page.sentAt) {
			o.dropEntry(e)
		}
	}
	o.promote(now)
}

func (o *owner) addQueuedRow(row infra.Row, now time.Time) {
	if known := o.queue.keys[row.Key]; known != nil && known.version >= row.Version {
		return
	}
	task, err := ledger.Decode[job.Task](row.Key, row.Value)
	if err != nil || o.tasks[task.ID] != nil {
		return
	}
	if region := task.Spec.Constraints.Region; region != "" && region != o.cfg.Region {
		return
	}
	if old := o.queue.entries[task.ID]; old != nil {
		if old.version >= row.Version {
			return
		}
		o.dropEntry(old)
	}
	if len(o.queue.entries) >= maxQueued && task.Spec.Priority > job.PriorityUrgent {
		return
	}
	delay := claimDelay
	if task.Spec.Priority == job.PriorityUrgent {
		delay = urgentClaimDelay
	}
	o.queue.add(&entry{
		task: task, key: row.Key, version: row.Version, firstSeen: now,
		claimAt: now.Add(time.Duration(o.cfg.ClaimRank(task)) * delay),
	})
}

// requeue adds a task that this cell has just written back to the queue.
func (o *owner) requeue(task job.Task, version int64) {
	now := time.Now()
	o.queue.add(&entry{task: task, key: ledger.QueueKeyOf(task), version: version, firstSeen: now, claimAt: now})
	o.promote(now)
}

// promote enqueues the tasks that this cell may claim now in the planner.
func (o *owner) promote(now time.Time) {
	var due []*entry
	for _, e := range o.queue.entries {
		if !e.enqueued && !e.cancelled && e.task.Parked == "" && !now.Before(e.claimAt) {
			due = append(due, e)
		}
	}
	// A fixed order makes decisions reproducible.
	slices.SortFunc(due, byKey)
	for _, e := range due {
		if err := o.planner.Enqueue(e.task); err != nil {
			// The planner still holds resources for this task, so the row that was read is stale.
			continue
		}
		o.queue.setEnqueued(e, true)
		o.planDue = true
	}
}

func (o *owner) dropEntry(e *entry) {
	if e == nil || o.queue.entries[e.task.ID] != e {
		return
	}
	if e.enqueued {
		o.planner.Dequeue(e.task.ID)
	}
	o.queue.drop(e)
}

// cancelJob stops the job's attempts in this cell and removes its queued tasks from the planner.
func (o *owner) cancelJob(jobID string) {
	if o.queue.cancelledJobs[jobID] {
		return
	}
	o.queue.cancelledJobs[jobID] = true
	for _, a := range sortedTasks(o.tasks) {
		if a.row.Task.ID.Job() == jobID {
			o.requestStop(a, stopCancelled)
		}
	}
	for _, e := range o.queue.ofJob(jobID) {
		e.cancelled = true
		if e.enqueued {
			o.queue.setEnqueued(e, false)
			o.planner.Dequeue(e.task.ID)
		}
	}
	o.planDue = true
}
