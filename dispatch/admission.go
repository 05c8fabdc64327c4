package dispatch

import (
	"math"
	"time"

	"github.com/currantthread/currantthread/workload"
)

const (
	// admissionInterval is how often the demand of short tasks is sampled.
	admissionInterval = 500 * time.Millisecond
	// admissionTimeConstant is the time constant of the moving averages. Bursts of users' deployments last about 6 s.
	admissionTimeConstant = 8 * time.Second
	// runnerDiscoveryGrace is how long no new runner may appear before a new owner treats the cell's capacity as known.
	// Service discovery is read every 1.2 s.
	runnerDiscoveryGrace = 1500 * time.Millisecond
	// shortDemandFactor is the multiple of the average demand of short tasks that is kept free of long-running tasks.
	// Demand is bursty, and the part above the average would have to wait for a long-running job to end.
	shortDemandFactor = 2.0
	// Bounds of the reserve, as a share of the capacity. The lower bound leaves capacity to restart long-running tasks
	// of lost runners (scale-ins remove up to a tenth of a cell) and covers fragmentation. The upper bound prevents a
	// backlog of short tasks from causing the refusal of every long-running job.
	minReserve = 0.12
	maxReserve = 0.18
	// Bounds of the Retry-After time for a refused long-running job, also used when the release rate is unknown or close
	// to 0.
	minCapacityWait = 1 * time.Second
	maxCapacityWait = 60 * time.Second
)

// admission limits how much of a cell's capacity long-running jobs may use. Long-running tasks hold their capacity for
// minutes, so once they fill the cell, short tasks starve. Amounts are in thousandths of a core. The zero value has no
// samples.
type admission struct {
	sampledAt time.Time
	// shortDemand is the moving average of the capacity that short tasks have committed or wait for.
	shortDemand float64
	// freedRate is the moving average of the capacity that ended long-running jobs released per second, and
	// freedSinceSample the capacity released since the last sample.
	freedRate        float64
	freedSinceSample int64
}

// sample updates the averages with the current demand of short tasks.
func (a *admission) sample(now time.Time, short int64) {
	if a.sampledAt.IsZero() {
		a.sampledAt, a.shortDemand = now, float64(short)
		return
	}
	passed := now.Sub(a.sampledAt)
	if passed <= 0 {
		return
	}
	kept := decay(passed, admissionTimeConstant)
	a.shortDemand = a.shortDemand*kept + float64(short)*(1-kept)
	a.freedRate = a.freedRate*kept + float64(a.freedSinceSample)/passed.Seconds()*(1-kept)
	a.sampledAt, a.freedSinceSample = now, 0
}

// decay returns the part of a moving average that is kept after a time.
func decay(passed, timeConstant time.Duration) float64 {
	return math.Exp(-float64(passed) / float64(timeConstant))
}

// reserve returns the part of the capacity that is kept free of long-running tasks.
func (a *admission) reserve(capacity int64) int64 {
	share := shortDemandFactor * a.shortDemand / float64(max(capacity, 1))
	return int64(min(max(share, minReserve), maxReserve) * float64(capacity))
}

// CapacityWait estimates when the cell will have capacity for a long-running job with the given demand, in thousandths
// of a core.
func (l *Load) CapacityWait(demand int64) time.Duration {
	missing := demand - l.LongRunningCapacity
	if missing <= 0 || l.CapacityUnknown {
		return minCapacityWait
	}
	if l.LongRunningFreed <= 0 {
		return maxCapacityWait
	}
	wait := time.Duration(float64(missing) / float64(l.LongRunningFreed) * float64(time.Second))
	return min(max(wait, minCapacityWait), maxCapacityWait)
}

// LongRunningDemand returns the processor time that the long-running tasks of a job commit, in thousandths of a core.
func LongRunningDemand(job *workload.Job) int64 {
	demand := int64(0)
	for i := range job.Steps {
		if step := &job.Steps[i]; step.LongRunning {
			demand += step.Committed().CPU * int64(step.Count)
		}
	}
	return demand
}

// longRunningCapacity returns how much more capacity long-running tasks may commit. It counts jobs and runners rather
// than reported runs, so it is also correct while a new owner has not yet polled all runners. The caller holds mu.
func (c *Cell) longRunningCapacity() int64 {
	capacity := int64(0)
	for _, rs := range c.runners {
		if rs.present && !rs.info.Draining && !c.evacuated[rs.info.Domain] {
			capacity += rs.info.Capacity.CPU
		}
	}
	free := capacity - c.admission.reserve(capacity)
	for _, j := range c.jobs {
		if !j.state.Terminal() {
			free -= j.longRunningDemand()
		}
	}
	for s := range c.undecided() {
		free -= LongRunningDemand(s.job)
	}
	return free
}

// sampleAdmission samples the demand of short tasks. It is called on each tick. The caller holds mu.
func (c *Cell) sampleAdmission(now time.Time) {
	if now.Sub(c.admission.sampledAt) < admissionInterval {
		return
	}
	c.runnersKnown = c.runnersKnown || now.Sub(c.runnerAddedAt) > runnerDiscoveryGrace
	short := int64(0)
	isShort := func(def *workload.Step) bool { return !def.LongRunning && !def.BestEffort }
	for _, rs := range c.runners {
		for r := range rs.runs {
			if def := r.unit.def(); isShort(def) {
				short += def.Committed().CPU
			}
		}
	}
	for _, u := range c.ready {
		if def := u.def(); u.phase == phaseReady && !u.waitsForCap && isShort(def) {
			short += def.Committed().CPU * int64(u.size)
		}
	}
	c.admission.sample(now, short)
}
