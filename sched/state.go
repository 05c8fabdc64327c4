package sched

import (
	"time"

	"github.com/currantthread/currantthread/interference"
	"github.com/currantthread/currantthread/job"
)

type runState uint8

const (
	statePlanned runState = iota
	stateRunning
	stateStopping
)

// running is an allocation that is planned, running or stopping.
type running struct {
	task   job.Task
	worker *worker
	team   *team
	commit job.Resources
	state  runState
	kind   interference.Kind
	// pos is the index in worker.tasks.
	pos int
	// seq is the place in the queue to which an aborted start returns.
	seq int64
	// dropOnAbort is set if the task was dequeued while its start was planned.
	dropOnAbort bool
	// evicting is set from the plan of an eviction until it is aborted or the task is gone.
	evicting bool
	// cpuPercent is the throttle in force, 1 to 100; 0 means none.
	cpuPercent int
	// throttledAt is when it was first throttled.
	throttledAt time.Time
	startedAt   time.Time
	// shareSince is when the present share began.
	shareSince time.Time
	// excess is the estimated excess slow-down of a service since the last action on its worker; reports is the number
	// of reports in it.
	excess  interference.Estimate
	reports int
	// checkpointAge is the work that a stop would lose, as measured at usageAt.
	checkpointAge time.Duration
	usageAt       time.Time
}

func (r *running) latencyCritical() bool { return r.task.Spec.Class == job.ClassService }

// workLost is the work that stopping r at now without a new checkpoint would lose.
func (r *running) workLost(now time.Time) time.Duration {
	if r.usageAt.IsZero() {
		return max(now.Sub(r.startedAt), 0)
	}
	return r.checkpointAge + max(now.Sub(r.usageAt), 0)
}

// fullShare is the part of its worker's processors that r uses without a throttle.
func (r *running) fullShare() float64 {
	return ratio(r.commit.CPUMilli, r.worker.spec.Capacity.CPUMilli)
}

// share is the part of its worker's processors that r may use now.
func (r *running) share() float64 {
	share := r.fullShare()
	if r.cpuPercent > 0 {
		share *= float64(r.cpuPercent) / 100
	}
	return share
}

type worker struct {
	spec Worker
	// present is false for a worker that was removed, or that is known only from restored allocations.
	present   bool
	committed job.Resources
	// reserved is set aside for tasks nominated to this worker.
	reserved  job.Resources
	nominated []*entry
	tasks     []*running
	services  int
	rack      *rack
	health    workerHealth
	control   workerControl
	// past lists loads that ended, for reports that lag.
	past  []pastLoad
	cache loadCache

	// listPos is the index in Scheduler.list, rackPos that in rack.workers.
	listPos int
	rackPos int
	slots   [indexes]slot
}

// free is the uncommitted capacity. It is negative on an axis if the worker came back smaller.
func (w *worker) free() job.Resources { return w.spec.Capacity.Sub(w.committed) }

// available is the capacity for tasks that are not nominated to the worker.
func (w *worker) available() job.Resources { return w.free().Sub(w.reserved) }

// freeFor is the capacity for a task that is nominated to the worker: what tasks nominated before it leave. Later
// nominations must not delay it.
func (w *worker) freeFor(e *entry) job.Resources {
	free := w.free()
	for _, x := range w.nominated {
		if x == e {
			break
		}
		free = free.Sub(x.held)
	}
	return free
}

func (w *worker) ready() bool { return w.present && w.spec.Ready }

// neighbours lists the present load on w by kind, without the task except.
func (w *worker) neighbours(buf []interference.Neighbour, except *running) []interference.Neighbour {
	buf = buf[:0]
	for _, r := range w.tasks {
		if r != except {
			buf = addNeighbour(buf, r.kind, r.share())
		}
	}
	return buf
}

// fullLoad lists the load on w by kind as if nothing were throttled. Placement uses it: otherwise new tasks would take
// the room that throttles make for services, and would be throttled in turn.
func (w *worker) fullLoad(buf []interference.Neighbour) []interference.Neighbour {
	buf = buf[:0]
	for _, r := range w.tasks {
		buf = addNeighbour(buf, r.kind, r.fullShare())
	}
	return buf
}

func addNeighbour(list []interference.Neighbour, kind interference.Kind, share float64) []interference.Neighbour {
	for i := range list {
		if list[i].Kind == kind {
			list[i].Share += share
			return list
		}
	}
	return append(list, interference.Neighbour{Kind: kind, Share: share})
}

type team struct {
	name   string
	limits Team
	// used is the declared size of the team's allocations in this cell.
	used job.Resources
}

func (t *team) weight() float64 { return float64(max(t.limits.Weight, 1)) }

// share is the dominant share of the team divided by its weight.
func (t *team) share(total job.Resources) float64 {
	share := max(
		ratio(t.used.CPUMilli, total.CPUMilli),
		ratio(t.used.MemoryMiB, total.MemoryMiB),
		ratio(t.used.Accelerators, total.Accelerators),
	)
	return share / t.weight()
}

func ratio(part, total int64) float64 {
	if total <= 0 {
		return 0
	}
	return float64(part) / float64(total)
}
