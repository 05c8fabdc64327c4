package sched

import (
	"time"

	"github.com/currantthread/currantthread/fairshare"
	"github.com/currantthread/currantthread/interference"
	"github.com/currantthread/currantthread/job"
)

type runState uint8

const (
	statePlanned runState = iota
	stateRunning
	stateStopping
)

// placedTask is a task that holds resources on a worker: its start is planned, it runs, or it is stopping.
type placedTask struct {
	task       job.Task
	worker     *worker
	team       *team
	commitment job.Resources
	state      runState
	kind       interference.Kind
	// pos is the index in worker.tasks.
	pos int
	// seq is the queue position to which the task returns if its start is aborted.
	seq int64
	// dropOnAbort is set if the task was dequeued while its start was planned.
	dropOnAbort bool
	// evicting is set when an eviction is planned, until the eviction is aborted or the task is released.
	evicting bool
	// cpuPercent is the active throttle, 1 to 100; 0 means none.
	cpuPercent int
	// throttledAt is when cpuPercent last changed from 0 to a throttle.
	throttledAt time.Time
	startedAt   time.Time
	// shareSince is when the current share took effect.
	shareSince time.Time
	// excess is the estimated excess slowdown of a service since the last action on its worker; reports is the number
	// of reports that the estimate includes.
	excess  interference.Estimate
	reports int
	// checkpointAge is the work since the last checkpoint, as measured at usageAt.
	checkpointAge time.Duration
	usageAt       time.Time
}

func (r *placedTask) latencyCritical() bool { return r.task.Spec.Class == job.ClassService }

// workLost is the work that would be lost by stopping r at now without a new checkpoint.
func (r *placedTask) workLost(now time.Time) time.Duration {
	if r.usageAt.IsZero() {
		return max(now.Sub(r.startedAt), 0)
	}
	return r.checkpointAge + max(now.Sub(r.usageAt), 0)
}

// fullShare is the fraction of its worker's processors that r uses when it is not throttled.
func (r *placedTask) fullShare() float64 {
	return ratio(r.commitment.CPUMilli, r.worker.spec.Capacity.CPUMilli)
}

// share is the fraction of its worker's processors that r may use now.
func (r *placedTask) share() float64 {
	share := r.fullShare()
	if r.cpuPercent > 0 {
		share *= float64(r.cpuPercent) / 100
	}
	return share
}

type worker struct {
	spec Worker
	// present is false for a worker that was removed, or that appears only in restored allocations.
	present   bool
	committed job.Resources
	// reserved is set aside for tasks nominated to this worker.
	reserved        job.Resources
	nominated       []*entry
	tasks           []*placedTask
	serviceReplicas int
	rack            *rack
	health          workerHealth
	throttling      throttleState
	// pastLoads lists loads that ended. Usage reports lag, so their measurements may fall into that time.
	pastLoads []pastLoad
	cache     loadCache

	// listPos is the index in Scheduler.workerList, rackPos the index in rack.workers.
	listPos int
	rackPos int
	slots   [indexCount]slot
}

// free is the uncommitted capacity. It is negative on an axis if the worker returned with less capacity.
func (w *worker) free() job.Resources { return w.spec.Capacity.Sub(w.committed) }

// available is the free capacity for tasks that are not nominated to the worker.
func (w *worker) available() job.Resources { return w.free().Sub(w.reserved) }

// freeFor is the free capacity for a task that is nominated to the worker: the free capacity less the reservations of
// tasks nominated before it. Later nominations must not delay it.
func (w *worker) freeFor(e *entry) job.Resources {
	free := w.free()
	for _, x := range w.nominated {
		if x == e {
			break
		}
		free = free.Sub(x.reserved)
	}
	return free
}

func (w *worker) ready() bool { return w.present && w.spec.Ready }

// neighbours lists the current load on w by kind, excluding the task except.
func (w *worker) neighbours(buf []interference.Neighbour, except *placedTask) []interference.Neighbour {
	buf = buf[:0]
	for _, r := range w.tasks {
		if r != except {
			buf = addNeighbour(buf, r.kind, r.share())
		}
	}
	return buf
}

// fullLoad lists the load on w by kind as if no task were throttled. Placement uses it, because new tasks would
// otherwise use the capacity that throttling frees for services, and would then be throttled too.
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
	config Team
	// used is the sum of the declared sizes of the team's allocations in this cell.
	used job.Resources
}

// share is the dominant share of the team divided by its weight.
func (t *team) share(total job.Resources) float64 {
	return fairshare.Share(amounts(t.used), amounts(total), float64(t.config.Weight))
}

func amounts(r job.Resources) fairshare.Amounts {
	return fairshare.Amounts{fairshare.Processors: r.CPUMilli, fairshare.Memory: r.MemoryMiB, fairshare.Accelerators: r.Accelerators}
}

func ratio(part, total int64) float64 {
	if total <= 0 {
		return 0
	}
	return float64(part) / float64(total)
}
